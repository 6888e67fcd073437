#include "control_wire.h"

#include "absl/strings/str_cat.h"
#include "json_numbers.h"
#include "replica_codec.h"

namespace medlarwalk {

using nlohmann::json;

namespace {

json ListToJson(const UpstreamList& l) {
  json items = json::array();
  for (const UpstreamInfo& u : l.upstreams) {
    items.push_back({u.id, u.service, u.address.ip, u.address.port,
                     u.data_centre, u.leaving, u.slots, ToMs(u.warmup_left),
                     u.born});
  }
  return {{"v", l.version}, {"u", std::move(items)}};
}

UpstreamList ListFromJson(const json& j) {
  UpstreamList l;
  l.version = WholeNumber<int64_t>(j.at("v"));
  for (const json& i : j.at("u")) {
    UpstreamInfo u;
    u.id = i.at(0).get<std::string>();
    u.service = i.at(1).get<std::string>();
    u.address.ip = i.at(2).get<std::string>();
    u.address.port = WholeNumber<int>(i.at(3));
    u.data_centre = i.at(4).get<std::string>();
    u.leaving = i.at(5).get<bool>();
    u.slots = WholeNumber<int>(i.at(6));
    u.warmup_left = BoundedMs(i.at(7).get<double>());
    // Not told by processes of an earlier version.
    if (i.size() > 8) u.born = WholeNumber<int64_t>(i.at(8));
    l.upstreams.push_back(std::move(u));
  }
  return l;
}

// What stands before `n` bytes in CBOR: their type and number, in the form of
// four bytes whatever the number (RFC 8949, 3.1).
std::string BytesHeader(size_t n) {
  std::string out = "\x5a";
  for (int shift = 24; shift >= 0; shift -= 8) {
    out += static_cast<char>(n >> shift);
  }
  return out;
}

// Decodes CBOR and runs `f` on it, turning a malformed value into an error.
template <typename T, typename F>
absl::StatusOr<T> Decode(absl::string_view bytes, F f) {
  absl::StatusOr<json> j = FromCbor(bytes);
  if (!j.ok()) return j.status();
  try {
    return f(*j);
  } catch (const json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

}  // namespace

std::string EncodeHello(const std::vector<std::string>& control) {
  return ToCbor(json(control));
}

absl::StatusOr<std::vector<std::string>> DecodeHello(absl::string_view bytes) {
  return Decode<std::vector<std::string>>(
      bytes, [](const json& j) { return j.get<std::vector<std::string>>(); });
}

std::string EncodeWatchRequest(const WatchRequest& r) {
  return ToCbor({{"n", r.name},
                 {"s", r.serves_callers},
                 {"w", r.watchers},
                 {"c", r.config_version},
                 {"l", r.list_version}});
}

absl::StatusOr<WatchRequest> DecodeWatchRequest(absl::string_view bytes) {
  return Decode<WatchRequest>(bytes, [](const json& j) {
    WatchRequest r;
    r.name = j.at("n").get<std::string>();
    r.serves_callers = j.at("s").get<bool>();
    r.watchers = WholeNumber<int>(j.at("w"));
    r.config_version = WholeNumber<int64_t>(j.at("c"));
    r.list_version = WholeNumber<int64_t>(j.at("l"));
    return r;
  });
}

Payload EncodeWatchReply(const WatchReply& r) {
  json j = {{"a", r.age_ms},  {"c", r.config_version}, {"g", r.list_age_ms},
            {"s", r.serving}, {"m", r.control},        {"h", r.leader}};
  if (r.list) j["l"] = ListToJson(*r.list);
  if (!r.config) return Payload(ToCbor(j));
  // The document is the map's last pair, so that its bytes may be anyone's.
  std::string head = ToCbor(j);
  ++head[0];  // A map's first byte counts its pairs: fewer than 23.
  head += ToCbor("d");
  absl::StrAppend(&head, BytesHeader(r.config->size()));
  return {std::move(head), r.config};
}

absl::StatusOr<WatchReply> DecodeWatchReply(absl::string_view bytes) {
  return Decode<WatchReply>(bytes, [](const json& j) {
    WatchReply r;
    r.age_ms = WholeNumber<int64_t>(j.at("a"));
    r.config_version = WholeNumber<int64_t>(j.at("c"));
    r.list_age_ms = WholeNumber<int64_t>(j.at("g"));
    r.serving = WholeNumber<int>(j.at("s"));
    r.control = j.at("m").get<std::vector<std::string>>();
    r.leader = j.at("h").get<std::string>();
    if (j.contains("d")) {
      const auto& b = j["d"].get_binary();
      r.config = std::make_shared<const std::string>(b.begin(), b.end());
    }
    if (j.contains("l")) r.list = ListFromJson(j["l"]);
    return r;
  });
}

}  // namespace medlarwalk
