#include "stream_origin_wire.h"

#include <algorithm>

#include "json_numbers.h"
#include "nlohmann/json.hpp"
#include "replica_codec.h"

namespace medlarwalk {
namespace {

using nlohmann::json;

// Upper bound of a decoded lifetime.
constexpr int64_t kMaxLifetimeMs = int64_t{3600} * 1000;

StreamOriginMessage FromJson(const json& j) {
  StreamOriginMessage m;
  int kind = IntegerFromJson<int>(j.at(0));
  if (kind < 0 || kind > static_cast<int>(StreamOriginMessage::Kind::kAnswer))
    throw json::other_error::create(502, "unknown kind", nullptr);
  m.kind = static_cast<StreamOriginMessage::Kind>(kind);
  m.number = IntegerFromJson<uint64_t>(j.at(1));
  m.record.key = IntegerFromJson<uint64_t>(j.at(2));
  if (j.size() == 3) return m;
  m.known = true;
  m.record.attempt = IntegerFromJson<uint32_t>(j.at(3));
  m.record.origin.service = j.at(4).get<std::string>();
  m.record.origin.build = j.at(5).get<std::string>();
  m.record.lifetime = Millis(std::clamp<int64_t>(
      IntegerFromJson<int64_t>(j.at(6)), 0, kMaxLifetimeMs));
  return m;
}

}  // namespace

std::string EncodeStreamOrigin(const StreamOriginMessage& m) {
  json j = {static_cast<int>(m.kind), m.number, m.record.key};
  if (m.known) {
    j.push_back(m.record.attempt);
    j.push_back(m.record.origin.service);
    j.push_back(m.record.origin.build);
    j.push_back(m.record.lifetime.count());
  }
  return ToCbor(j);
}

absl::StatusOr<StreamOriginMessage> DecodeStreamOrigin(
    absl::string_view bytes) {
  absl::StatusOr<json> j = FromCbor(bytes);
  if (!j.ok()) return j.status();
  try {
    return FromJson(*j);
  } catch (const json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

}  // namespace medlarwalk
