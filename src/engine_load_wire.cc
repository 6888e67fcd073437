#include "engine_load_wire.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "json_numbers.h"
#include "replica_codec.h"

namespace medlarwalk {

using nlohmann::json;

namespace {

// Units in which values are sent. Tokens of memory are summed over all streams
// of an engine, so they need the widest range.
constexpr int64_t kMemoryUnit = 8;       // Tokens.
constexpr int64_t kGapTargetUnit = 10;   // Milliseconds.
constexpr double kPrefillRateUnit = 10;  // Per token and millisecond.
constexpr int64_t kPaceAgeUnit = 10;     // Milliseconds.

// Bits of a record's first byte after its key: which values follow. The lowest
// kUrgencyLevels bits stand for the levels of pending prefill.
constexpr uint8_t kHasStreams = 0x10;
constexpr uint8_t kHasPace = 0x20;
constexpr uint8_t kAllBits = 0x3f;
static_assert(kUrgencyLevels == 4);

// Bounds of decoded numbers that are not rounded.
constexpr int64_t kMaxTokens = int64_t{1} << 40;
constexpr int64_t kMaxRemainingMs = 600'000;
constexpr int64_t kMaxAgeMs = 60'000;
constexpr int kMaxProcesses = 1'000'000;
constexpr Tier kMaxTier = 255;
// Position of the streams by level in a message.
constexpr size_t kLevelsIndex = 11;

// Rounded numbers: below 32 as they are, above with five significant bits.
constexpr int64_t kExactBelow = 32;
constexpr int kMaxShift = 14;
constexpr int64_t kMaxRounded = (kExactBelow - 1) << kMaxShift;

enum class Rounding { kNearest, kDown };

uint8_t RoundToByte(int64_t n, Rounding rounding = Rounding::kNearest) {
  if (n < kExactBelow) return static_cast<uint8_t>(std::max<int64_t>(n, 0));
  n = std::min(n, kMaxRounded);
  int shift = 1;
  while (shift < kMaxShift && n >> shift >= kExactBelow) ++shift;
  int64_t half = rounding == Rounding::kNearest ? int64_t{1} << (shift - 1) : 0;
  int64_t mantissa = (n + half) >> shift;
  if (mantissa >= kExactBelow && shift < kMaxShift) mantissa >>= 1, ++shift;
  mantissa = std::min(mantissa, kExactBelow - 1);
  return static_cast<uint8_t>(kExactBelow + int64_t{shift - 1} * 16 + mantissa -
                              16);
}

int64_t FromByte(uint8_t code) {
  if (code < kExactBelow) return code;
  int64_t above = code - kExactBelow;
  return (16 + above % 16) << (above / 16 + 1);
}

// Values that are not zero must not become zero by their unit.
int64_t InUnits(int64_t n, int64_t unit) {
  if (n <= 0) return 0;
  return std::clamp<int64_t>(n / unit + (n % unit * 2 >= unit), 1, kMaxRounded);
}

void PutFixed(uint64_t n, int bytes, std::string* out) {
  for (int i = 0; i < bytes; ++i) out->push_back(static_cast<char>(n >> 8 * i));
}

void PutVarint(uint64_t n, std::string* out) {
  for (; n >= 0x80; n >>= 7) out->push_back(static_cast<char>(n | 0x80));
  out->push_back(static_cast<char>(n));
}

// Reads a byte string. After a read beyond its end or a malformed number, ok()
// is false and all further values are 0.
class Reader {
 public:
  explicit Reader(const std::vector<uint8_t>& bytes)
      : next_(bytes.data()), end_(bytes.data() + bytes.size()) {}

  bool ok() const { return ok_; }
  bool at_end() const { return !ok_ || next_ == end_; }
  void Fail() { ok_ = false; }
  uint8_t Byte() {
    if (next_ == end_) Fail();
    return ok_ ? *next_++ : 0;
  }
  uint64_t Fixed(int bytes) {
    uint64_t n = 0;
    for (int i = 0; i < bytes; ++i) n |= static_cast<uint64_t>(Byte()) << 8 * i;
    return n;
  }
  uint64_t Varint() {
    uint64_t n = 0;
    for (int shift = 0; shift < 63; shift += 7) {
      uint8_t b = Byte();
      n |= static_cast<uint64_t>(b & 0x7f) << shift;
      if (b < 0x80) return n;
    }
    Fail();
    return 0;
  }

 private:
  const uint8_t* next_;
  const uint8_t* end_;
  bool ok_ = true;
};

void PutByte(uint8_t b, std::string* out) {
  out->push_back(static_cast<char>(b));
}

void PutRecord(const EngineRecord& r, std::string* out) {
  PutFixed(r.engine, 4, out);
  const EngineWork& w = r.work;
  uint8_t bits = 0;
  for (size_t i = 0; i < w.pending_prefill.size(); ++i)
    if (w.pending_prefill[i] > 0) bits |= 1 << i;
  if (w.awaiting_first_event > 0 || w.generating > 0 || w.memory_tokens > 0)
    bits |= kHasStreams;
  if (!r.pace.empty()) bits |= kHasPace;
  PutByte(bits, out);
  for (int64_t tokens : w.pending_prefill)
    if (tokens > 0) PutByte(RoundToByte(tokens), out);
  if (bits & kHasStreams) {
    PutByte(RoundToByte(w.awaiting_first_event), out);
    PutByte(RoundToByte(w.generating), out);
    // Rounded down: no stream's target may be taken for wider than it is.
    int64_t gap = w.tightest_gap_target.count();
    gap = gap <= 0 ? 0 : std::max<int64_t>(1, gap / kGapTargetUnit);
    PutByte(RoundToByte(gap, Rounding::kDown), out);
    PutByte(RoundToByte(InUnits(w.memory_tokens, kMemoryUnit)), out);
  }
  if (bits & kHasPace) {
    double rate = std::clamp(r.pace.prefill_tokens_per_ms, 0.0, 1e6);
    PutByte(RoundToByte(std::llround(rate * kPrefillRateUnit)), out);
    PutByte(RoundToByte(r.pace.idle_event_gap.count()), out);
    PutByte(RoundToByte(r.pace.longest_event_gap.count()), out);
    PutByte(RoundToByte(r.pace.age.count() / kPaceAgeUnit), out);
  }
}

EngineRecord ReadRecord(Reader& in) {
  EngineRecord r;
  r.engine = static_cast<EngineKey>(in.Fixed(4));
  uint8_t bits = in.Byte();
  if (bits & ~kAllBits) in.Fail();
  EngineWork& w = r.work;
  for (size_t i = 0; i < w.pending_prefill.size(); ++i)
    if (bits & 1 << i) w.pending_prefill[i] = FromByte(in.Byte());
  if (bits & kHasStreams) {
    w.awaiting_first_event = static_cast<int>(FromByte(in.Byte()));
    w.generating = static_cast<int>(FromByte(in.Byte()));
    w.tightest_gap_target = Millis(FromByte(in.Byte()) * kGapTargetUnit);
    w.memory_tokens = FromByte(in.Byte()) * kMemoryUnit;
  }
  if (bits & kHasPace) {
    r.pace.prefill_tokens_per_ms =
        static_cast<double>(FromByte(in.Byte())) / kPrefillRateUnit;
    r.pace.idle_event_gap = Millis(FromByte(in.Byte()));
    r.pace.longest_event_gap = Millis(FromByte(in.Byte()));
    r.pace.age = Millis(FromByte(in.Byte()) * kPaceAgeUnit);
  }
  return r;
}

// Bits of a record's level part: the levels, after the most urgent, of which
// the engine has streams.
void PutLevels(const EngineRecord& r, std::string* out) {
  uint8_t bits = 0;
  for (size_t i = 1; i < r.work.streams.size(); ++i)
    if (r.work.streams[i] > 0) bits |= 1 << i;
  PutByte(bits, out);
  for (size_t i = 1; i < r.work.streams.size(); ++i)
    if (bits & 1 << i) PutByte(RoundToByte(r.work.streams[i]), out);
}

EngineWork ReadLevels(Reader& in) {
  EngineWork w;
  uint8_t bits = in.Byte();
  if (bits & 1 || bits >> kUrgencyLevels) in.Fail();
  for (size_t i = 1; i < w.streams.size(); ++i)
    if (bits & 1 << i) w.streams[i] = static_cast<int>(FromByte(in.Byte()));
  return w;
}

bool TellsLevels(const EngineRecord& r) {
  return std::any_of(r.work.streams.begin() + 1, r.work.streams.end(),
                     [](int n) { return n > 0; });
}

void PutArrival(const ReportingProcess& p, std::string* out) {
  PutFixed(p.process, 8, out);
  PutVarint(p.seq & ((uint64_t{1} << 62) - 1), out);
}

ReportingProcess ReadArrival(Reader& in) {
  ReportingProcess p;
  p.process = in.Fixed(8);
  p.seq = in.Varint();
  return p;
}

void PutAccount(const AccountTokens& a, std::string* out) {
  PutFixed(a.account, 4, out);
  PutVarint(static_cast<uint64_t>(std::clamp<int64_t>(a.tokens, 0, kMaxTokens)),
            out);
}

AccountTokens ReadAccount(Reader& in) {
  AccountTokens a;
  a.account = static_cast<uint32_t>(in.Fixed(4));
  uint64_t tokens = in.Varint();
  if (tokens > static_cast<uint64_t>(kMaxTokens)) in.Fail();
  a.tokens = static_cast<int64_t>(tokens);
  return a;
}

// The remaining time is sent as the time until the promise is forgotten, which
// is not negative.
void PutReturn(const PromisedReturn& r, std::string* out) {
  PutFixed(r.fingerprint, 4, out);
  PutByte(static_cast<uint8_t>(std::clamp(r.tier, 0, kMaxTier)), out);
  PutVarint(static_cast<uint64_t>(std::clamp<int64_t>(
                (r.remaining + kReturnGrace).count(), 0, kMaxRemainingMs)),
            out);
}

PromisedReturn ReadReturn(Reader& in) {
  PromisedReturn r;
  r.fingerprint = static_cast<uint32_t>(in.Fixed(4));
  r.tier = in.Byte();
  uint64_t ms = in.Varint();
  if (ms > static_cast<uint64_t>(kMaxRemainingMs)) in.Fail();
  r.remaining = Millis(static_cast<int64_t>(ms)) - kReturnGrace;
  return r;
}

template <typename T, typename Put>
json PackItems(const std::vector<T>& items, size_t max_items, Put put) {
  std::string bytes;
  for (size_t i = 0; i < std::min(items.size(), max_items); ++i)
    put(items[i], &bytes);
  return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

template <typename T, typename Read>
bool UnpackItems(const json& j, size_t max_items, Read read,
                 std::vector<T>* out) {
  Reader in(j.get_binary());
  while (!in.at_end()) {
    if (out->size() >= max_items) return false;
    out->push_back(read(in));
  }
  return in.ok();
}

// The level parts of all records, in their order. Processes of earlier releases
// send none and skip it.
void AppendLevels(const EngineLoadMessage& m, json* message) {
  if (std::none_of(m.records.begin(), m.records.end(), TellsLevels)) return;
  message->push_back(PackItems(m.records, kMaxLoadRecords, PutLevels));
}

bool DecodeLevels(const json& message, EngineLoadMessage* m) {
  if (message.size() <= kLevelsIndex) return true;
  std::vector<EngineWork> levels;
  if (!UnpackItems(message.at(kLevelsIndex), kMaxLoadRecords, ReadLevels,
                   &levels) ||
      levels.size() != m->records.size()) {
    return false;
  }
  for (size_t i = 0; i < levels.size(); ++i)
    m->records[i].work.streams = levels[i].streams;
  return true;
}

int64_t BoundedInteger(const json& j, int64_t max) {
  return std::clamp<int64_t>(IntegerFromJson<int64_t>(j), 0, max);
}

}  // namespace

std::string EncodeEngineLoad(const EngineLoadMessage& m) {
  json message = json::array(
      {static_cast<int>(m.kind), m.process, m.seq, m.base_seq, m.send_complete,
       std::clamp<int64_t>(m.oldest.count(), 0, kMaxAgeMs),
       std::clamp(m.processes, 0, kMaxProcesses),
       PackItems(m.records, kMaxLoadRecords, PutRecord),
       PackItems(m.arrivals, kMaxLoadRecords, PutArrival),
       PackItems(m.accounts, kMaxAccountItems, PutAccount),
       PackItems(m.returns, kMaxReturnItems, PutReturn)});
  AppendLevels(m, &message);
  return ToCbor(message);
}

absl::StatusOr<EngineLoadMessage> DecodeEngineLoad(absl::string_view bytes) {
  absl::StatusOr<json> decoded = FromCbor(bytes);
  if (!decoded.ok()) return decoded.status();
  const json& j = *decoded;
  try {
    EngineLoadMessage m;
    int kind = IntegerFromJson<int>(j.at(0));
    if (kind < 0 || kind > static_cast<int>(EngineLoadMessage::Kind::kAnswer))
      return absl::InvalidArgumentError("unknown kind of engine load");
    m.kind = static_cast<EngineLoadMessage::Kind>(kind);
    m.process = IntegerFromJson<uint64_t>(j.at(1));
    m.seq = IntegerFromJson<uint64_t>(j.at(2));
    m.base_seq = IntegerFromJson<uint64_t>(j.at(3));
    m.send_complete = j.at(4).get<bool>();
    m.oldest = Millis(BoundedInteger(j.at(5), kMaxAgeMs));
    m.processes = static_cast<int>(BoundedInteger(j.at(6), kMaxProcesses));
    if (!UnpackItems(j.at(7), kMaxLoadRecords, ReadRecord, &m.records) ||
        !UnpackItems(j.at(8), kMaxLoadRecords, ReadArrival, &m.arrivals) ||
        !UnpackItems(j.at(9), kMaxAccountItems, ReadAccount, &m.accounts) ||
        !UnpackItems(j.at(10), kMaxReturnItems, ReadReturn, &m.returns) ||
        !DecodeLevels(j, &m)) {
      return absl::InvalidArgumentError("malformed items of engine load");
    }
    return m;
  } catch (const json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

}  // namespace medlarwalk
