// Messages of engine load between processes (CBOR over HTTP/2). An entry posts
// reports to a control process and is answered with the sum of the others;
// control processes post sums to each other.
//
// Load pattern: each entry gets the load of all engines ten times a second,
// over links whose budget other traffic shares. A record takes about 12 bytes:
// numbers are rounded to one byte, exact to 31 and within 1/32 above.
#ifndef MEDLARWALK_ENGINE_LOAD_WIRE_H_
#define MEDLARWALK_ENGINE_LOAD_WIRE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "engine_load_table.h"
#include "relay_log.h"

namespace medlarwalk {

// HTTP/2 path of these messages.
inline constexpr char kEngineLoadPath[] = "/engine-load";

// Maximum number of engines, and of new reporters, in one message.
inline constexpr size_t kMaxLoadRecords = 4096;

struct EngineLoadMessage {
  enum class Kind {
    kReport,  // From an entry: its own work.
    kSum,     // From a control process: the work of those that report to it.
    kAnswer,  // To an entry: the work of all others.
  };
  Kind kind = Kind::kReport;
  uint64_t process = 0;  // Random id of the sender, new at each start.
  // Number of the report or sum, increasing; in an answer, that of the report.
  uint64_t seq = 0;
  // Report to which the records are the changes; 0: the records are complete.
  uint64_t base_seq = 0;
  // In an answer: the report was not applied; a complete one is needed.
  bool send_complete = false;
  // Age of the oldest report that counts wholly in the records, and number of
  // the summed processes.
  Millis oldest{};
  int processes = 0;
  std::vector<EngineRecord> records;
  // In a sum: processes that recently began to report to the sender.
  std::vector<ReportingProcess> arrivals;
  // Items that the receiver has not got yet; at most kMaxAccountItems and
  // kMaxReturnItems. Promises are the newest first.
  std::vector<AccountTokens> accounts;
  std::vector<PromisedReturn> returns;
};

// Encodes a message. Leaves out what exceeds the maximum numbers.
std::string EncodeEngineLoad(const EngineLoadMessage& m);
// Errors: InvalidArgument if `bytes` are malformed.
absl::StatusOr<EngineLoadMessage> DecodeEngineLoad(absl::string_view bytes);

}  // namespace medlarwalk

#endif  // MEDLARWALK_ENGINE_LOAD_WIRE_H_
