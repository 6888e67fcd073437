#include "replica_codec.h"

#include "json_numbers.h"

namespace medlarwalk {

using nlohmann::json;

namespace {

// Documents are encoded as byte strings, because a configuration body sent by
// an operator may not be valid UTF-8.
json DocumentToJson(const Document& document) {
  if (!document) return json::binary({});
  return json::binary(std::vector<uint8_t>(document->begin(), document->end()));
}

Document DocumentFromJson(const json& j) {
  const auto& bytes = j.get_binary();
  return std::make_shared<const std::string>(bytes.begin(), bytes.end());
}

json MembersToJson(const std::vector<Member>& members) {
  json out = json::array();
  for (const Member& m : members) out.push_back(ToJson(m));
  return out;
}

std::vector<Member> MembersFromJson(const json& j) {
  std::vector<Member> out;
  for (const json& m : j) out.push_back(MemberFromJson(m));
  return out;
}

// A SAX handler that only checks the nesting depth. The JSON library parses
// nested values recursively, so a message of only opening arrays would overflow
// the stack and crash the process.
class NestingDepthLimit : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(size_t) override { return ++depth_ <= kMaxDepth; }
  bool start_array(size_t) override { return ++depth_ <= kMaxDepth; }
  bool end_object() override { return --depth_ >= 0; }
  bool end_array() override { return --depth_ >= 0; }
  bool parse_error(size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  // Maximum nesting depth. Messages of medlarwalk have at most 5 levels: the
  // message, its entries, one entry, its members, one member.
  static constexpr int kMaxDepth = 16;
  int depth_ = 0;
};

json DutyToJson(const DutyRecord& record) {
  return {record.subject, record.number, DocumentToJson(record.content),
          record.accepted_through};
}

DutyRecord DutyFromJson(const json& j) {
  DutyRecord record;
  record.subject = j.at(0).get<std::string>();
  record.number = IntegerFromJson<int64_t>(j.at(1));
  record.content = DocumentFromJson(j.at(2));
  record.accepted_through = IntegerFromJson<int64_t>(j.at(3));
  return record;
}

json DutiesToJson(const DutyLog& duties) {
  json out = json::array();
  for (const auto& [subject, state] : duties.subjects()) {
    json open = json::array();
    for (const auto& [number, content] : state.open) {
      open.push_back({number, DocumentToJson(content)});
    }
    out.push_back({subject, state.committed_through, state.accepted_through,
                   std::move(open)});
  }
  return out;
}

DutyLog DutiesFromJson(const json& j) {
  DutyLog duties;
  for (const json& item : j) {
    DutyLog::Subject state;
    state.committed_through = IntegerFromJson<int64_t>(item.at(1));
    state.accepted_through = IntegerFromJson<int64_t>(item.at(2));
    for (const json& record : item.at(3)) {
      state.open[IntegerFromJson<int64_t>(record.at(0))] =
          DocumentFromJson(record.at(1));
    }
    duties.Restore(item.at(0).get<std::string>(), std::move(state));
  }
  return duties;
}

}  // namespace

json ToJson(const Member& m) { return json::array({m.id, m.address}); }

Member MemberFromJson(const json& j) {
  return Member{j.at(0).get<std::string>(), j.at(1).get<std::string>()};
}

json ToJson(const LogEntry& e) {
  json j = {{"i", e.index}, {"t", e.term}, {"k", static_cast<int>(e.kind)}};
  if (e.kind == EntryKind::kConfig) {
    j["v"] = e.version;
    j["d"] = DocumentToJson(e.config);
  }
  if (e.kind == EntryKind::kMembers) j["m"] = MembersToJson(e.members);
  if (e.kind == EntryKind::kDuty) j["u"] = DutyToJson(e.duty);
  return j;
}

LogEntry EntryFromJson(const json& j) {
  LogEntry e;
  e.index = IntegerFromJson<uint64_t>(j.at("i"));
  e.term = IntegerFromJson<uint64_t>(j.at("t"));
  int kind = IntegerFromJson<int>(j.at("k"));
  if (kind < 0 || kind > static_cast<int>(EntryKind::kDuty)) {
    throw json::other_error::create(501, "unknown entry kind", nullptr);
  }
  e.kind = static_cast<EntryKind>(kind);
  if (e.kind == EntryKind::kConfig) {
    e.version = IntegerFromJson<int64_t>(j.at("v"));
    e.config = DocumentFromJson(j.at("d"));
  }
  if (e.kind == EntryKind::kMembers) e.members = MembersFromJson(j.at("m"));
  if (e.kind == EntryKind::kDuty) e.duty = DutyFromJson(j.at("u"));
  return e;
}

json ToJson(const Snapshot& s) {
  json j = {{"i", s.index},
            {"t", s.term},
            {"v", s.version},
            {"d", DocumentToJson(s.config)},
            {"m", MembersToJson(s.members)}};
  if (!s.duties.subjects().empty()) j["u"] = DutiesToJson(s.duties);
  return j;
}

Snapshot SnapshotFromJson(const json& j) {
  Snapshot s;
  s.index = IntegerFromJson<uint64_t>(j.at("i"));
  s.term = IntegerFromJson<uint64_t>(j.at("t"));
  s.version = IntegerFromJson<int64_t>(j.at("v"));
  if (s.version > 0) s.config = DocumentFromJson(j.at("d"));
  s.members = MembersFromJson(j.at("m"));
  if (j.contains("u")) s.duties = DutiesFromJson(j["u"]);
  return s;
}

std::string ToCbor(const json& j) {
  std::vector<uint8_t> bytes = json::to_cbor(j);
  return std::string(bytes.begin(), bytes.end());
}

absl::StatusOr<json> FromCbor(absl::string_view bytes) {
  // The JSON library throws on excessive sizes even with exceptions turned off.
  try {
    NestingDepthLimit depth_limit;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &depth_limit,
                         json::input_format_t::cbor)) {
      return absl::InvalidArgumentError("not CBOR, or nested too deep");
    }
    return json::from_cbor(bytes.begin(), bytes.end());
  } catch (const json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

std::string EncodeMessage(const ReplicaMessage& m) {
  json j = {{"y", static_cast<int>(m.type)},
            {"f", ToJson(m.from)},
            {"t", m.term},
            {"p", m.pre_vote},
            {"o", m.ok},
            {"i", m.index},
            {"l", m.log_term},
            {"c", m.commit_index},
            {"r", m.round}};
  if (!m.entries.empty()) {
    json entries = json::array();
    for (const LogEntry& e : m.entries) entries.push_back(ToJson(e));
    j["e"] = std::move(entries);
  }
  if (m.snapshot) j["s"] = ToJson(*m.snapshot);
  if (!m.members.empty()) j["m"] = MembersToJson(m.members);
  return ToCbor(j);
}

absl::StatusOr<ReplicaMessage> DecodeMessage(absl::string_view bytes) {
  absl::StatusOr<json> decoded = FromCbor(bytes);
  if (!decoded.ok()) return decoded.status();
  const json& j = *decoded;
  try {
    ReplicaMessage m;
    int type = IntegerFromJson<int>(j.at("y"));
    if (type < 0 || type > static_cast<int>(ReplicaMessage::Type::kJoinReply)) {
      return absl::InvalidArgumentError("unknown message type");
    }
    m.type = static_cast<ReplicaMessage::Type>(type);
    m.from = MemberFromJson(j.at("f"));
    m.term = IntegerFromJson<uint64_t>(j.at("t"));
    m.pre_vote = j.at("p").get<bool>();
    m.ok = j.at("o").get<bool>();
    m.index = IntegerFromJson<uint64_t>(j.at("i"));
    m.log_term = IntegerFromJson<uint64_t>(j.at("l"));
    m.commit_index = IntegerFromJson<uint64_t>(j.at("c"));
    m.round = IntegerFromJson<uint64_t>(j.at("r"));
    if (j.contains("e")) {
      for (const json& e : j["e"]) m.entries.push_back(EntryFromJson(e));
    }
    if (j.contains("s")) m.snapshot = SnapshotFromJson(j["s"]);
    if (j.contains("m")) m.members = MembersFromJson(j["m"]);
    return m;
  } catch (const json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

}  // namespace medlarwalk
