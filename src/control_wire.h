// Messages between control processes and their followers: the watch (CBOR over
// HTTP/2), which publishes configurations and the upstream list. The list is
// sent as a difference from the version that the follower holds.
#ifndef MEDLARWALK_CONTROL_WIRE_H_
#define MEDLARWALK_CONTROL_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "build_history.h"
#include "nlohmann/json.hpp"
#include "payload.h"
#include "quarantine.h"
#include "rate_limit_table.h"
#include "upstream_list.h"
#include "usage_copies.h"
#include "usage_processes.h"
#include "usage_table.h"

namespace medlarwalk {

// HTTP/2 paths of calls between medlarwalk processes.
inline constexpr char kReplicaPath[] = "/replica";  // Replication messages.
inline constexpr char kWatchPath[] = "/watch";      // Watch requests.
inline constexpr char kSubmitPath[] = "/submit";    // Submits a configuration.
inline constexpr char kReadPath[] = "/read";  // Reads the newest configuration.
inline constexpr int kNoConfigurationStatus = 404;  // Answer to kReadPath.
// Announces the group's members.
inline constexpr char kMemberAnnouncementPath[] = "/hello";
// Confirms the newest configuration version.
inline constexpr char kConfirmPath[] = "/confirm";
// Reads a part of the upstream list for the leader.
inline constexpr char kListPartPath[] = "/list-part";

// Requests everything newer than the versions that the follower holds. If
// nothing is newer, the control process holds the request open for a while.
struct WatchRequest {
  std::string name;         // Name of the follower.
  std::string data_centre;  // Data centre of the follower.
  std::string address;      // Address where others can watch it, or "".
  bool serves_callers = false;
  // Number of serving processes that watch this follower directly.
  int serving_followers = 0;
  int64_t config_version = 0;
  // Time since the follower's first watch; sent only without a configuration.
  int64_t running_ms = 0;
  int64_t list_version = 0;
  // Addresses at which entry processes reach the serving processes that follow
  // the sender directly, or the sender itself if it serves callers.
  std::vector<Endpoint> serving_endpoints;
  // ServingVersion() of the addresses known to the follower; 0: none.
  int64_t serving_version = 0;
  // EndpointsVersion() of the control processes known to the follower.
  int64_t endpoints_version = 0;
  int64_t quarantine_version = 0;
  // Reported crash records, encoded as an array; "" if there are none.
  std::string crashes;
  int64_t limits_version = 0;
  // Reported limits of upstreams, encoded; "" if there are none.
  std::string limits;
  int64_t builds_version = 0;  // WatchReply::builds_version of the last reply.
  // Time on the follower's wall clock, in Unix milliseconds; 0 if not given.
  int64_t unix_ms = 0;
  // Reported usage records, encoded; "" if there are none.
  std::string usage;
  // Reported states of processes that count usage, encoded; "" if there are
  // none.
  std::string usage_states;
  // Number of the last usage copy received; 0 if none.
  int64_t usage_copy_received = 0;
};

// Address and data centre of a control process. The data centre is "" if it is
// unknown.
struct ControlEndpoint {
  std::string address;
  std::string data_centre;
};

// Returns a hash that identifies a sorted list of serving processes; never 0.
int64_t ServingVersion(absl::Span<const Endpoint> endpoints);

// Returns a hash that identifies the set of endpoints; never 0.
int64_t EndpointsVersion(const std::vector<ControlEndpoint>& endpoints);

// Encoding of versions of upstreams, in messages and on disk.
nlohmann::json BuildRecordsToJson(absl::Span<const BuildRecord> records);
// Throws nlohmann::json::exception if `j` is malformed.
std::vector<BuildRecord> BuildRecordsFromJson(const nlohmann::json& j);

struct WatchReply {
  // Time since the answering process was last known to be in sync with a
  // leader, in ms; negative if it never was.
  int64_t sync_age_ms = -1;
  int64_t config_version = 0;
  Document config;  // Null unless it is newer than the follower's version.
  // A ListChange; null if the follower holds the newest list.
  Document list;
  int64_t quarantine_version = 0;
  // Encoded crash records; null if the follower holds the newest
  // quarantine_version.
  Document quarantine;
  int64_t limits_version = 0;
  // Encoded limits of upstreams; null if the follower holds the newest
  // limits_version.
  Document limits;
  // BuildHistory::version() of the answering process; 0 if it may lack versions
  // that have left within kBuildMemory.
  int64_t builds_version = 0;
  // Nullopt if the follower holds the newest builds_version.
  std::optional<std::vector<BuildRecord>> builds;
  // Time since the upstream list was read from its source, in ms; negative if
  // it was never read.
  int64_t list_age_ms = -1;
  // Time between two reads of the upstream list, in ms.
  int64_t list_interval_ms = 0;
  // Number of calls that the last complete read of the upstream list took; 0 if
  // unknown.
  int list_pages = 0;
  // Number of entries of the upstream list that could not be read, and whether
  // others may follow them unread.
  int list_unread = 0;
  bool list_rest_unread = false;
  int serving_count = 0;  // Number of known processes that serve callers.
  // Index of the follower among the serving processes; negative if unknown. For
  // a control process, this is the index of the first serving process that
  // follows it.
  int serving_index = -1;
  // Addresses of all known serving processes, sorted; nullopt if the follower
  // knows the same ones.
  std::optional<std::vector<Endpoint>> serving;
  // All known control processes; empty if the follower knows the same ones.
  std::vector<ControlEndpoint> control;
  std::string leader;  // Address of the leader; "" if unknown.
  // The group's time, in Unix milliseconds; 0 if unknown.
  int64_t unix_ms = 0;
  // Newest usage window up to which the usage of all windows is committed; 0 if
  // there is none.
  int64_t usage_committed_through = 0;
  // A copy of usage that the answering process received; its number is 0 if
  // there is none.
  UsageCopy usage_copy;
};

// Asks a control process to read pages of the upstream list.
struct ListPartRequest {
  std::string token;  // Token of the first page; "" for the begin of the list.
  int max_pages = 0;
};

// Encodes the addresses of the group's members. Members send them to seeds that
// keep no state, because a process without state knows only its own seeds after
// a start.
std::string EncodeMemberAddresses(const std::vector<std::string>& control);
absl::StatusOr<std::vector<std::string>> DecodeMemberAddresses(
    absl::string_view bytes);
// Upper bound for decoded ages; larger ages are clamped to it.
inline constexpr Millis kMaxAge = std::chrono::hours(24);
// Encodes times as ages relative to `now`, because the clocks of hosts differ.
nlohmann::json CrashRecordsToJson(absl::Span<const CrashRecord> records,
                                  TimePoint now);
// Throws nlohmann::json::exception if `j` is malformed.
std::vector<CrashRecord> CrashRecordsFromJson(const nlohmann::json& j,
                                              TimePoint now);
std::string EncodeCrashRecords(absl::Span<const CrashRecord> records,
                               TimePoint now);
// Errors: InvalidArgument if `bytes` are malformed.
absl::StatusOr<std::vector<CrashRecord>> DecodeCrashRecords(
    absl::string_view bytes, TimePoint now);
std::string EncodeLimitRecords(absl::Span<const LimitRecord> records,
                               TimePoint now);
// Errors: InvalidArgument if `bytes` are malformed.
absl::StatusOr<std::vector<LimitRecord>> DecodeLimitRecords(
    absl::string_view bytes, TimePoint now);
std::string EncodeUsageRecords(absl::Span<const UsageRecord> records);
// Errors: InvalidArgument if `bytes` are malformed.
absl::StatusOr<std::vector<UsageRecord>> DecodeUsageRecords(
    absl::string_view bytes);
std::string EncodeUsageStates(absl::Span<const UsageProcessState> states);
// Errors: InvalidArgument if `bytes` are malformed.
absl::StatusOr<std::vector<UsageProcessState>> DecodeUsageStates(
    absl::string_view bytes);
std::string EncodeWatchRequest(const WatchRequest& r);
absl::StatusOr<WatchRequest> DecodeWatchRequest(absl::string_view bytes);
// Encodes a reply without copying its documents: the replies to all followers
// share them.
Payload EncodeWatchReply(const WatchReply& r);
absl::StatusOr<WatchReply> DecodeWatchReply(absl::string_view bytes);
// Encodes and compresses a change. The ids and addresses of a list are similar
// and compress well.
Document EncodeListChange(const ListChange& c);
// Errors: InvalidArgument if `bytes` are malformed.
absl::StatusOr<ListChange> DecodeListChange(absl::string_view bytes);

std::string EncodeListPartRequest(const ListPartRequest& r);
// Errors: InvalidArgument if `bytes` are malformed.
absl::StatusOr<ListPartRequest> DecodeListPartRequest(absl::string_view bytes);
// Encodes and compresses a part.
Document EncodeListPart(const ListPart& p);
// Errors: InvalidArgument if `bytes` are malformed.
absl::StatusOr<ListPart> DecodeListPart(absl::string_view bytes);

}  // namespace medlarwalk

#endif  // MEDLARWALK_CONTROL_WIRE_H_
