#include "control_wire.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "json_numbers.h"
#include "packed.h"
#include "replica_codec.h"

namespace medlarwalk {

using nlohmann::json;

namespace {

// Bound of decoded window numbers, so that their differences fit 64 bits.
constexpr int64_t kMaxWindow = int64_t{1} << 60;

json ToJson(const UpstreamInfo& u) {
  return {u.id,           u.service,         u.address.ip,
          u.address.port, u.data_centre,     u.draining,
          u.slots,        u.started_unix_ms, u.build};
}

UpstreamInfo UpstreamFromJson(const json& j) {
  UpstreamInfo u;
  u.id = j.at(0).get<std::string>();
  u.service = j.at(1).get<std::string>();
  u.address.ip = j.at(2).get<std::string>();
  u.address.port = IntegerFromJson<int>(j.at(3));
  u.data_centre = j.at(4).get<std::string>();
  u.draining = j.at(5).get<bool>();
  u.slots = IntegerFromJson<int>(j.at(6));
  u.started_unix_ms = IntegerFromJson<int64_t>(j.at(7));
  if (j.size() > 8) u.build = j.at(8).get<std::string>();
  return u;
}

// Each endpoint takes six bytes: IPv4 address and port, in network byte order.
// The leader receives those of all serving processes several times a second.
constexpr size_t kIpBytes = 4;
constexpr size_t kPackedEndpointBytes = 6;

std::string PackEndpoints(absl::Span<const Endpoint> endpoints) {
  std::string out;
  for (const Endpoint& e : endpoints) {
    std::array<char, kIpBytes> ip{};
    if (inet_pton(AF_INET, e.ip.c_str(), ip.data()) != 1) continue;
    out.append(ip.data(), ip.size());
    out += static_cast<char>(e.port >> 8);
    out += static_cast<char>(e.port);
  }
  return out;
}

std::vector<Endpoint> UnpackEndpoints(absl::string_view packed) {
  std::vector<Endpoint> out;
  while (packed.size() >= kPackedEndpointBytes) {
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, packed.data(), ip.data(), ip.size());
    auto high = static_cast<unsigned char>(packed[kIpBytes]);
    auto low = static_cast<unsigned char>(packed[kIpBytes + 1]);
    out.push_back({ip.data(), high * 256 + low});
    packed.remove_prefix(kPackedEndpointBytes);
  }
  return out;
}

json ToJson(const std::vector<ControlEndpoint>& endpoints) {
  json out = json::array();
  for (const ControlEndpoint& p : endpoints) {
    out.push_back({p.address, p.data_centre});
  }
  return out;
}

std::vector<ControlEndpoint> ControlEndpointsFromJson(const json& j) {
  std::vector<ControlEndpoint> out;
  for (const json& p : j) {
    out.push_back({p.at(0).get<std::string>(), p.at(1).get<std::string>()});
  }
  return out;
}

Document FindDocument(const json& j, const char* name) {
  auto it = j.find(name);
  if (it == j.end()) return nullptr;
  const auto& b = it->get_binary();
  return std::make_shared<const std::string>(b.begin(), b.end());
}

json ToJsonBinary(const std::string& bytes) {
  return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

// Returns the CBOR head of a byte string of length `n`. Always uses the form
// with a four-byte length (RFC 8949, 3.1).
std::string CborByteStringHeader(size_t n) {
  std::string out = "\x5a";
  for (int shift = 24; shift >= 0; shift -= 8) {
    out += static_cast<char>(n >> shift);
  }
  return out;
}

Millis AgeFromJson(const json& j) {
  return Millis(
      std::clamp<int64_t>(IntegerFromJson<int64_t>(j), 0, kMaxAge.count()));
}

// Decodes CBOR and returns the result of `f` on it. Errors: InvalidArgument if
// the bytes are not CBOR or `f` throws a json::exception.
template <typename T, typename F>
absl::StatusOr<T> DecodeCbor(absl::string_view bytes, F f) {
  absl::StatusOr<json> j = FromCbor(bytes);
  if (!j.ok()) return j.status();
  try {
    return f(*j);
  } catch (const json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

}  // namespace

int64_t ServingVersion(absl::Span<const Endpoint> endpoints) {
  return std::max<int64_t>(
      1, static_cast<int64_t>(StableHash(PackEndpoints(endpoints)) >> 1));
}

int64_t EndpointsVersion(const std::vector<ControlEndpoint>& endpoints) {
  std::string text;
  for (const ControlEndpoint& p : endpoints) {
    absl::StrAppend(&text, p.address, " ", p.data_centre, "\n");
  }
  return std::max<int64_t>(1, static_cast<int64_t>(StableHash(text) >> 1));
}

std::string EncodeMemberAddresses(const std::vector<std::string>& control) {
  return ToCbor(json(control));
}

absl::StatusOr<std::vector<std::string>> DecodeMemberAddresses(
    absl::string_view bytes) {
  return DecodeCbor<std::vector<std::string>>(
      bytes, [](const json& j) { return j.get<std::vector<std::string>>(); });
}

json CrashRecordsToJson(absl::Span<const CrashRecord> records, TimePoint now) {
  json out = json::array();
  for (const CrashRecord& r : records) {
    json crashes = json::array();
    for (const Crash& c : r.crashes) {
      crashes.push_back({c.upstream, ToMs(now - c.sent_at), ToMs(now - c.at),
                         c.just_started, IsCleared(r, c)});
      bool coincides = !c.cleared && IsCleared(r, c);
      if (r.is_part() || coincides) crashes.back().push_back(c.request);
      if (coincides) crashes.back().push_back(c.coincident_upstream);
    }
    out.push_back({r.fingerprint, std::move(crashes)});
    if (!r.is_part()) continue;
    out.back().push_back(r.part_position);
    out.back().push_back(r.part_id);
    out.back().push_back(r.served_at == kNever ? -1 : ToMs(now - r.served_at));
    out.back().push_back(r.companions);
  }
  return out;
}

std::vector<CrashRecord> CrashRecordsFromJson(const json& j, TimePoint now) {
  std::vector<CrashRecord> out;
  for (const json& item : j) {
    CrashRecord r;
    r.fingerprint = IntegerFromJson<uint64_t>(item.at(0));
    for (const json& c : item.at(1)) {
      r.crashes.push_back(Crash{IntegerFromJson<uint64_t>(c.at(0)),
                                now - AgeFromJson(c.at(1)),
                                now - AgeFromJson(c.at(2)), c.at(3).get<bool>(),
                                c.at(4).get<bool>()});
      if (c.size() > 5)
        r.crashes.back().request = IntegerFromJson<uint64_t>(c.at(5));
      if (c.size() > 6) {
        r.crashes.back().cleared = false;
        r.crashes.back().coincident_upstream =
            IntegerFromJson<uint64_t>(c.at(6));
      }
    }
    if (item.size() > 5) {
      r.part_position = IntegerFromJson<int>(item.at(2));
      r.part_id = IntegerFromJson<uint64_t>(item.at(3));
      if (IntegerFromJson<int64_t>(item.at(4)) >= 0)
        r.served_at = now - AgeFromJson(item.at(4));
      for (const json& p : item.at(5))
        r.companions.push_back(IntegerFromJson<uint64_t>(p));
    }
    out.push_back(std::move(r));
  }
  return out;
}

std::string EncodeCrashRecords(absl::Span<const CrashRecord> records,
                               TimePoint now) {
  return ToCbor(CrashRecordsToJson(records, now));
}

absl::StatusOr<std::vector<CrashRecord>> DecodeCrashRecords(
    absl::string_view bytes, TimePoint now) {
  return DecodeCbor<std::vector<CrashRecord>>(
      bytes, [now](const json& j) { return CrashRecordsFromJson(j, now); });
}

std::string EncodeLimitRecords(absl::Span<const LimitRecord> records,
                               TimePoint now) {
  json out = json::array();
  for (const LimitRecord& r : records) {
    json per_s = r.per_s ? json(*r.per_s) : json();
    out.push_back(
        {r.upstream, std::move(per_s), ToMs(now - r.at), ToMs(now - r.since)});
  }
  return ToCbor(out);
}

absl::StatusOr<std::vector<LimitRecord>> DecodeLimitRecords(
    absl::string_view bytes, TimePoint now) {
  return DecodeCbor<std::vector<LimitRecord>>(bytes, [now](const json& j) {
    std::vector<LimitRecord> out;
    for (const json& item : j) {
      LimitRecord r;
      r.upstream = item.at(0).get<std::string>();
      if (!item.at(1).is_null()) r.per_s = item.at(1).get<double>();
      r.at = now - AgeFromJson(item.at(2));
      r.since = now - AgeFromJson(item.at(3));
      out.push_back(std::move(r));
    }
    return out;
  });
}

namespace {

// Groups records by process and window. A group lists its accounts, each
// followed by its count.
json UsageRecordsToJson(absl::Span<const UsageRecord> records) {
  std::map<std::pair<uint64_t, int64_t>, json> groups;
  for (const UsageRecord& r : records) {
    json& g = groups[{r.process, r.window}];
    g.push_back(r.account);
    g.push_back(r.count);
  }
  json out = json::array();
  for (auto& [key, g] : groups) {
    out.push_back({key.first, key.second, std::move(g)});
  }
  return out;
}

std::vector<UsageRecord> UsageRecordsFromJson(const json& j) {
  std::vector<UsageRecord> out;
  for (const json& g : j) {
    const json& counts = g.at(2);
    for (size_t i = 0; i + 1 < counts.size(); i += 2) {
      out.push_back({IntegerFromJson<uint64_t>(g.at(0)),
                     IntegerFromJson<int64_t>(g.at(1)),
                     counts.at(i).get<std::string>(),
                     IntegerFromJson<int64_t>(counts.at(i + 1))});
    }
  }
  return out;
}

// A state is its process and last window, and how far the first and the
// finished window are before that one: small numbers are short in CBOR. A state
// without a finished window has no fourth number.
json UsageStatesToJson(absl::Span<const UsageProcessState> states) {
  json out = json::array();
  for (const UsageProcessState& s : states) {
    json item = {s.process, s.last_window, s.last_window - s.first_window};
    if (s.finished_through > 0) {
      item.push_back(s.last_window - s.finished_through);
    }
    out.push_back(std::move(item));
  }
  return out;
}

std::vector<UsageProcessState> UsageStatesFromJson(const json& j) {
  auto window = [](const json& n) {
    return std::clamp(IntegerFromJson<int64_t>(n), -kMaxWindow, kMaxWindow);
  };
  std::vector<UsageProcessState> out;
  for (const json& item : j) {
    UsageProcessState s;
    s.process = IntegerFromJson<uint64_t>(item.at(0));
    s.last_window = window(item.at(1));
    s.first_window = s.last_window - window(item.at(2));
    if (item.size() > 3)
      s.finished_through = s.last_window - window(item.at(3));
    out.push_back(s);
  }
  return out;
}

}  // namespace

std::string EncodeUsageRecords(absl::Span<const UsageRecord> records) {
  return ToCbor(UsageRecordsToJson(records));
}

absl::StatusOr<std::vector<UsageRecord>> DecodeUsageRecords(
    absl::string_view bytes) {
  return DecodeCbor<std::vector<UsageRecord>>(bytes, UsageRecordsFromJson);
}

std::string EncodeUsageStates(absl::Span<const UsageProcessState> states) {
  return ToCbor(UsageStatesToJson(states));
}

absl::StatusOr<std::vector<UsageProcessState>> DecodeUsageStates(
    absl::string_view bytes) {
  return DecodeCbor<std::vector<UsageProcessState>>(bytes, UsageStatesFromJson);
}

json BuildRecordsToJson(absl::Span<const BuildRecord> records) {
  json out = json::array();
  for (const BuildRecord& r : records)
    out.push_back({r.service, r.build, r.age.count()});
  return out;
}

std::vector<BuildRecord> BuildRecordsFromJson(const json& j) {
  std::vector<BuildRecord> out;
  for (const json& r : j) {
    out.push_back({r.at(0).get<std::string>(), r.at(1).get<std::string>(),
                   AgeFromJson(r.at(2))});
  }
  return out;
}

std::string EncodeWatchRequest(const WatchRequest& r) {
  json j = {{"n", r.name},
            {"z", r.data_centre},
            {"p", r.address},
            {"s", r.serves_callers},
            {"w", r.serving_followers},
            {"c", r.config_version},
            {"l", r.list_version},
            {"k", r.endpoints_version},
            {"q", r.quarantine_version},
            {"x", ToJsonBinary(r.crashes)},
            {"b", r.limits_version},
            {"y", ToJsonBinary(r.limits)},
            {"t", r.unix_ms},
            {"u", ToJsonBinary(r.usage)}};
  if (r.config_version == 0 && r.running_ms > 0) j["m"] = r.running_ms;
  // Only deployments that report usage have these.
  if (!r.usage_states.empty()) j["e"] = ToJsonBinary(r.usage_states);
  if (r.usage_copy_received != 0) j["g"] = r.usage_copy_received;
  if (!r.serving_endpoints.empty())
    j["o"] = ToJsonBinary(PackEndpoints(r.serving_endpoints));
  if (r.serving_version != 0) j["v"] = r.serving_version;
  if (r.builds_version != 0) j["h"] = r.builds_version;
  return ToCbor(j);
}

absl::StatusOr<WatchRequest> DecodeWatchRequest(absl::string_view bytes) {
  return DecodeCbor<WatchRequest>(bytes, [](const json& j) {
    WatchRequest r;
    r.name = j.at("n").get<std::string>();
    r.data_centre = j.at("z").get<std::string>();
    r.address = j.at("p").get<std::string>();
    r.serves_callers = j.at("s").get<bool>();
    r.serving_followers = IntegerFromJson<int>(j.at("w"));
    r.config_version = IntegerFromJson<int64_t>(j.at("c"));
    if (j.contains("m")) r.running_ms = AgeFromJson(j.at("m")).count();
    r.list_version = IntegerFromJson<int64_t>(j.at("l"));
    r.endpoints_version = IntegerFromJson<int64_t>(j.at("k"));
    r.quarantine_version = IntegerFromJson<int64_t>(j, "q", 0);
    if (Document d = FindDocument(j, "x")) r.crashes = *d;
    r.limits_version = IntegerFromJson<int64_t>(j, "b", 0);
    if (Document d = FindDocument(j, "y")) r.limits = *d;
    r.unix_ms = IntegerFromJson<int64_t>(j, "t", 0);
    if (Document d = FindDocument(j, "u")) r.usage = *d;
    if (Document d = FindDocument(j, "e")) r.usage_states = *d;
    r.usage_copy_received = IntegerFromJson<int64_t>(j, "g", 0);
    if (Document d = FindDocument(j, "o"))
      r.serving_endpoints = UnpackEndpoints(*d);
    r.serving_version = IntegerFromJson<int64_t>(j, "v", 0);
    r.builds_version = IntegerFromJson<int64_t>(j, "h", 0);
    return r;
  });
}

Payload EncodeWatchReply(const WatchReply& r) {
  json j = {{"a", r.sync_age_ms},    {"c", r.config_version},
            {"g", r.list_age_ms},    {"i", r.list_interval_ms},
            {"s", r.serving_count},  {"m", ToJson(r.control)},
            {"h", r.leader},         {"q", r.quarantine_version},
            {"t", r.unix_ms},        {"f", r.usage_committed_through},
            {"b", r.limits_version}, {"r", r.serving_index},
            {"p", r.list_pages}};
  if (r.usage_copy.number != 0) {
    j["n"] = r.usage_copy.number;
    j["u"] = UsageRecordsToJson(r.usage_copy.report.records);
    j["e"] = UsageStatesToJson(r.usage_copy.report.states);
  }
  if (r.serving) j["o"] = ToJsonBinary(PackEndpoints(*r.serving));
  if (r.list_unread != 0 || r.list_rest_unread)
    j["z"] = {r.list_unread, r.list_rest_unread};
  if (r.builds_version != 0)
    j["v"] = {r.builds_version,
              r.builds ? BuildRecordsToJson(*r.builds) : json()};
  std::string head = ToCbor(j);
  // The documents are appended as the last pairs of the map, so that they need
  // no copy. The first byte of a CBOR map holds its number of pairs if that is
  // below 24; this map has at most 23 pairs.
  head[0] = static_cast<char>(head[0] + (r.config ? 1 : 0) + (r.list ? 1 : 0) +
                              (r.quarantine ? 1 : 0) + (r.limits ? 1 : 0));
  Payload out(std::move(head));
  for (const auto& [name, document] :
       {std::make_pair("d", r.config), std::make_pair("l", r.list),
        std::make_pair("x", r.quarantine), std::make_pair("y", r.limits)}) {
    if (!document) continue;
    out.Append(
        absl::StrCat(ToCbor(name), CborByteStringHeader(document->size())));
    out.Append(document);
  }
  return out;
}

absl::StatusOr<WatchReply> DecodeWatchReply(absl::string_view bytes) {
  return DecodeCbor<WatchReply>(bytes, [](const json& j) {
    WatchReply r;
    r.sync_age_ms = IntegerFromJson<int64_t>(j.at("a"));
    r.config_version = IntegerFromJson<int64_t>(j.at("c"));
    r.list_age_ms = IntegerFromJson<int64_t>(j.at("g"));
    r.list_interval_ms = IntegerFromJson(j, "i", int64_t{0});
    r.list_pages = IntegerFromJson<int>(j, "p", 0);
    if (j.contains("z")) {
      r.list_unread = IntegerFromJson<int>(j["z"].at(0));
      r.list_rest_unread = j["z"].at(1).get<bool>();
    }
    r.serving_count = IntegerFromJson<int>(j.at("s"));
    r.control = ControlEndpointsFromJson(j.at("m"));
    r.leader = j.at("h").get<std::string>();
    r.config = FindDocument(j, "d");
    r.list = FindDocument(j, "l");
    if (Document d = FindDocument(j, "o")) r.serving = UnpackEndpoints(*d);
    r.quarantine_version = IntegerFromJson<int64_t>(j, "q", 0);
    r.quarantine = FindDocument(j, "x");
    r.limits_version = IntegerFromJson<int64_t>(j, "b", 0);
    r.limits = FindDocument(j, "y");
    r.serving_index = IntegerFromJson<int>(j, "r", -1);
    if (j.contains("v")) {
      r.builds_version = IntegerFromJson<int64_t>(j["v"].at(0));
      if (!j["v"].at(1).is_null())
        r.builds = BuildRecordsFromJson(j["v"].at(1));
    }
    r.unix_ms = IntegerFromJson<int64_t>(j, "t", 0);
    r.usage_committed_through = IntegerFromJson<int64_t>(j, "f", 0);
    r.usage_copy.number = IntegerFromJson<int64_t>(j, "n", 0);
    if (r.usage_copy.number != 0) {
      r.usage_copy.report = {UsageRecordsFromJson(j.at("u")),
                             UsageStatesFromJson(j.at("e"))};
    }
    return r;
  });
}

Document EncodeListChange(const ListChange& c) {
  json changed = json::array();
  for (const UpstreamInfo& u : c.changed) changed.push_back(ToJson(u));
  return CompressDocument(ToCbor({{"f", c.from},
                                  {"t", c.to},
                                  {"u", std::move(changed)},
                                  {"g", c.removed_ids}}));
}

absl::StatusOr<ListChange> DecodeListChange(absl::string_view bytes) {
  absl::StatusOr<std::string> text =
      DecompressDocument(bytes, kMaxLinkBodyBytes);
  if (!text.ok()) return text.status();
  return DecodeCbor<ListChange>(*text, [](const json& j) {
    ListChange c;
    c.from = IntegerFromJson<int64_t>(j.at("f"));
    c.to = IntegerFromJson<int64_t>(j.at("t"));
    for (const json& u : j.at("u")) c.changed.push_back(UpstreamFromJson(u));
    c.removed_ids = j.at("g").get<std::vector<std::string>>();
    return c;
  });
}

std::string EncodeListPartRequest(const ListPartRequest& r) {
  return ToCbor({{"t", r.token}, {"n", r.max_pages}});
}

absl::StatusOr<ListPartRequest> DecodeListPartRequest(absl::string_view bytes) {
  return DecodeCbor<ListPartRequest>(bytes, [](const json& j) {
    ListPartRequest r;
    r.token = j.at("t").get<std::string>();
    r.max_pages = IntegerFromJson<int>(j.at("n"));
    return r;
  });
}

Document EncodeListPart(const ListPart& p) {
  json upstreams = json::array();
  for (const UpstreamInfo& u : p.upstreams) upstreams.push_back(ToJson(u));
  return CompressDocument(ToCbor({{"u", std::move(upstreams)},
                                  {"t", p.next_token},
                                  {"n", p.pages},
                                  {"e", p.complete},
                                  {"x", p.unusable_entries},
                                  {"r", p.unread.count},
                                  {"i", p.unread.ids},
                                  {"d", p.unread.rest}}));
}

absl::StatusOr<ListPart> DecodeListPart(absl::string_view bytes) {
  absl::StatusOr<std::string> text =
      DecompressDocument(bytes, kMaxLinkBodyBytes);
  if (!text.ok()) return text.status();
  return DecodeCbor<ListPart>(*text, [](const json& j) {
    ListPart p;
    for (const json& u : j.at("u")) p.upstreams.push_back(UpstreamFromJson(u));
    p.next_token = j.at("t").get<std::string>();
    p.pages = IntegerFromJson<int>(j.at("n"));
    p.complete = j.at("e").get<bool>();
    p.unusable_entries = IntegerFromJson<int>(j.at("x"));
    // Missing in parts from processes of an older version.
    p.unread.count = IntegerFromJson(j, "r", 0);
    p.unread.ids = j.value("i", std::vector<std::string>{});
    p.unread.rest = j.value("d", false);
    return p;
  });
}

}  // namespace medlarwalk
