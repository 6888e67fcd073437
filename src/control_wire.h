// What passes between control processes and those that follow them: the watch
// (CBOR over HTTP/2) by which configurations and the upstream list spread, the
// list as what has changed since the version that the asker holds.
#ifndef MEDLARWALK_CONTROL_WIRE_H_
#define MEDLARWALK_CONTROL_WIRE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "limit_book.h"
#include "nlohmann/json.hpp"
#include "payload.h"
#include "quarantine.h"
#include "upstream_list.h"
#include "usage_book.h"

namespace medlarwalk {

// Paths of the links between our own processes.
inline constexpr char kReplicaPath[] = "/replica";  // A replica message.
inline constexpr char kWatchPath[] = "/watch";      // A watch request.
inline constexpr char kSubmitPath[] = "/submit";    // A configuration.
inline constexpr char kReadPath[] = "/read";        // Read of the newest one.
inline constexpr char kHelloPath[] = "/hello";      // Where the group is.
inline constexpr char kConfirmPath[] = "/confirm";  // The newest version.

// Asks for what is newer than the asker holds. Held back for a while when
// there is nothing.
struct WatchRequest {
  std::string name;         // Of the asker.
  std::string data_centre;  // Where it is.
  std::string address;      // Where others may ask it; empty: nowhere.
  bool serves_callers = false;
  int watchers = 0;  // Serving processes that follow the asker in turn.
  int64_t config_version = 0;
  int64_t list_version = 0;
  int64_t places_version = 0;  // Of the control processes it knows.
  int64_t quarantine_version = 0;
  // What it reports: an array of crash records, encoded; "" for none.
  std::string crashes;
  int64_t limits_version = 0;
  // Limits of upstreams that it heard of, encoded; "" for none.
  std::string limits;
  // Its time of day, in ms since the start of 1970; 0: not told.
  int64_t unix_ms = 0;
  // Its usage records, encoded; "" for none.
  std::string usage;
};

// A control process, and where it is; "" where that is not known.
struct ControlPlace {
  std::string address;
  std::string data_centre;
};

// Tells one set of places from another; never 0.
int64_t PlacesVersion(const std::vector<ControlPlace>& places);

struct WatchReply {
  // How long ago the answerer was surely in step with a leader, in ms;
  // negative when it never was.
  int64_t age_ms = -1;
  int64_t config_version = 0;
  Document config;  // When newer than asked for, else null.
  Document list;    // A ListChange when another than asked for, else null.
  int64_t quarantine_version = 0;
  // Crash records, encoded, when others than asked for, else null.
  Document quarantine;
  int64_t limits_version = 0;
  // Limits of upstreams, encoded, when others than asked for, else null.
  Document limits;
  // How long ago the list was read, in ms; negative when never. And the time
  // from one reading to the next.
  int64_t list_age_ms = -1;
  int64_t list_interval_ms = 0;
  int serving = 0;  // Processes that serve callers, as far as known.
  // The asker's place among these, or the first of those that follow it;
  // negative: not known.
  int place = -1;
  // All that are known, when others than the asker knows, else none.
  std::vector<ControlPlace> control;
  std::string leader;  // Address of the leader, if known.
  // The group's time, in ms since the start of 1970; 0: not known.
  int64_t unix_ms = 0;
  // Usage of windows through this one is fixed; 0: none.
  int64_t usage_fixed = 0;
};

// The addresses of the group's members, told to processes that seeds name but
// that keep no state: after a start they know of nobody else.
std::string EncodeHello(const std::vector<std::string>& control);
absl::StatusOr<std::vector<std::string>> DecodeHello(absl::string_view bytes);
// How long ago each crash was goes with the records: clocks differ.
nlohmann::json CrashRecordsToJson(absl::Span<const CrashRecord> records,
                                  TimePoint now);
// Throws nlohmann::json::exception on a malformed value.
std::vector<CrashRecord> CrashRecordsFromJson(const nlohmann::json& j,
                                              TimePoint now);
std::string EncodeCrashRecords(absl::Span<const CrashRecord> records,
                               TimePoint now);
// Errors: InvalidArgument.
absl::StatusOr<std::vector<CrashRecord>> DecodeCrashRecords(
    absl::string_view bytes, TimePoint now);
std::string EncodeLimitRecords(absl::Span<const LimitRecord> records,
                               TimePoint now);
// Errors: InvalidArgument.
absl::StatusOr<std::vector<LimitRecord>> DecodeLimitRecords(
    absl::string_view bytes, TimePoint now);
std::string EncodeUsageRecords(absl::Span<const UsageRecord> records);
// Errors: InvalidArgument.
absl::StatusOr<std::vector<UsageRecord>> DecodeUsageRecords(
    absl::string_view bytes);
std::string EncodeWatchRequest(const WatchRequest& r);
absl::StatusOr<WatchRequest> DecodeWatchRequest(absl::string_view bytes);
// Documents are not copied: all askers' replies share them.
Payload EncodeWatchReply(const WatchReply& r);
absl::StatusOr<WatchReply> DecodeWatchReply(absl::string_view bytes);
// Packed: the ids and addresses of a whole list have much in common.
Document EncodeListChange(const ListChange& c);
// Errors: InvalidArgument.
absl::StatusOr<ListChange> DecodeListChange(absl::string_view bytes);

}  // namespace medlarwalk

#endif  // MEDLARWALK_CONTROL_WIRE_H_
