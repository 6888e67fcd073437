// CBOR encoding (with nlohmann-json) of replica messages, log entries and
// snapshots, for the links between control processes and for the store.
#ifndef MEDLARWALK_REPLICA_CODEC_H_
#define MEDLARWALK_REPLICA_CODEC_H_

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "nlohmann/json.hpp"
#include "replica.h"

namespace medlarwalk {

std::string EncodeMessage(const ReplicaMessage& m);
// Errors: InvalidArgument if `bytes` are not a valid message.
absl::StatusOr<ReplicaMessage> DecodeMessage(absl::string_view bytes);

nlohmann::json ToJson(const LogEntry& e);
nlohmann::json ToJson(const Snapshot& s);
nlohmann::json ToJson(const Member& m);
// The FromJson functions throw nlohmann::json::exception if the value is
// malformed.
LogEntry EntryFromJson(const nlohmann::json& j);
Snapshot SnapshotFromJson(const nlohmann::json& j);
Member MemberFromJson(const nlohmann::json& j);

// Returns `j` encoded as CBOR.
std::string ToCbor(const nlohmann::json& j);
// Decodes CBOR. Errors: InvalidArgument if `bytes` are malformed or nested too
// deeply.
absl::StatusOr<nlohmann::json> FromCbor(absl::string_view bytes);

}  // namespace medlarwalk

#endif  // MEDLARWALK_REPLICA_CODEC_H_
