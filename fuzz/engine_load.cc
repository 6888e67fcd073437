// Fuzz target: the codec of engine load, and the tables that a decoded message
// changes. A decoded message survives encoding and decoding.
#include <string>

#include "engine_load_wire.h"
#include "fuzz/fuzz.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwalk;
  auto m = DecodeEngineLoad(fuzzing::Text(data, size));
  if (!m.ok()) {
    MEDLARWALK_EXPECT(!m.status().message().empty());
    return 0;
  }
  std::string again = EncodeEngineLoad(*m);
  auto second = DecodeEngineLoad(again);
  MEDLARWALK_EXPECT(second.ok());
  MEDLARWALK_EXPECT(EncodeEngineLoad(*second) == again);
  const TimePoint now{std::chrono::hours(1000)};
  EngineLoadTable table;
  table.ApplyReport({m->process, m->seq, m->base_seq, m->records}, now);
  table.ApplySum(m->process, m->seq, {m->records, m->oldest, m->processes},
                 m->arrivals, now);
  EngineLoadMessage answer;
  answer.records = table.SumWithout(m->process, now + Millis(900)).records;
  MEDLARWALK_EXPECT(DecodeEngineLoad(EncodeEngineLoad(answer)).ok());
  return 0;
}
