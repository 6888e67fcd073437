#include "settings.h"

#include <fstream>
#include <set>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace medlarwalk {
namespace {

using nlohmann::json;

// An error in the settings, with the JSON path of the invalid value.
struct SettingsFault {
  std::string path;
  std::string reason;
};

// Reads one JSON object. Each getter checks type and range and throws
// SettingsFault with the path. RejectUnreadKeys() throws for keys that no
// getter has read.
class ObjectReader {
 public:
  ObjectReader(const json& value, std::string path)
      : value_(value), path_(std::move(path)) {
    if (!value_.is_object()) throw SettingsFault{path_, "must be an object"};
  }

  // Rejects any key that was not read. Call after all getters.
  void RejectUnreadKeys() const {
    for (const auto& [key, unused] : value_.items()) {
      if (!seen_.count(key)) {
        throw SettingsFault{Path(key), "unknown key"};
      }
    }
  }

  std::string Path(absl::string_view key) const {
    return absl::StrCat(path_, ".", key);
  }

  const json* Find(const std::string& key, bool required) {
    seen_.insert(key);
    auto it = value_.find(key);
    if (it == value_.end()) {
      if (required) throw SettingsFault{Path(key), "missing"};
      return nullptr;
    }
    return &*it;
  }

  std::string String(const std::string& key, bool required = true,
                     std::string fallback = "") {
    const json* v = Find(key, required);
    if (!v) return fallback;
    if (!v->is_string()) throw SettingsFault{Path(key), "must be a string"};
    std::string s = v->get<std::string>();
    if (s.empty()) throw SettingsFault{Path(key), "must not be empty"};
    return s;
  }

  int64_t Int(const std::string& key, int64_t lo, int64_t hi,
              bool required = true, int64_t fallback = 0) {
    const json* v = Find(key, required);
    if (!v) return fallback;
    if (!v->is_number_integer()) {
      throw SettingsFault{Path(key), "must be a whole number"};
    }
    int64_t n = v->get<int64_t>();
    if (n < lo || n > hi) {
      throw SettingsFault{Path(key),
                          absl::StrCat("must be from ", lo, " to ", hi)};
    }
    return n;
  }

  bool Bool(const std::string& key, bool fallback) {
    const json* v = Find(key, false);
    if (!v) return fallback;
    if (!v->is_boolean())
      throw SettingsFault{Path(key), "must be true or false"};
    return v->get<bool>();
  }

  std::vector<std::string> Strings(const std::string& key, bool required) {
    std::vector<std::string> out;
    const json* v = Find(key, required);
    if (!v) return out;
    if (!v->is_array()) throw SettingsFault{Path(key), "must be an array"};
    for (size_t i = 0; i < v->size(); ++i) {
      if (!(*v)[i].is_string()) {
        throw SettingsFault{absl::StrCat(Path(key), "[", i, "]"),
                            "must be a string"};
      }
      out.push_back((*v)[i].get<std::string>());
    }
    return out;
  }

  // Calls `each(element, path)` for each element of the array with key `key`.
  template <typename F>
  void Array(const std::string& key, F each) {
    const json* v = Find(key, true);
    if (!v->is_array()) throw SettingsFault{Path(key), "must be an array"};
    for (size_t i = 0; i < v->size(); ++i) {
      each((*v)[i], absl::StrCat(Path(key), "[", i, "]"));
    }
  }

 private:
  const json& value_;
  std::string path_;
  std::set<std::string> seen_;
};

constexpr int kMaxPort = 65535;
constexpr int kMaxTier = 15;
constexpr int kMaxTargetMs = 3'600'000;

HostSettings ReadHost(const json& v, const std::string& path) {
  ObjectReader r(v, path);
  HostSettings h;
  h.name = r.String("name");
  h.role = r.String("role");
  if (h.role != "entry" && h.role != "agent" && h.role != "control") {
    throw SettingsFault{r.Path("role"), "must be entry, agent or control"};
  }
  h.data_centre = r.String("data_centre");
  h.address = r.String("address");
  h.port = static_cast<int>(r.Int("port", 1, kMaxPort));
  h.metrics_port = static_cast<int>(r.Int("metrics_port", 0, kMaxPort, false));
  r.RejectUnreadKeys();
  return h;
}

ClassSettings ReadClass(const json& v, const std::string& path) {
  ObjectReader r(v, path);
  ClassSettings c;
  c.name = r.String("name");
  c.tier = static_cast<Tier>(r.Int("tier", 0, kMaxTier));
  c.first_token_target = Millis(r.Int("first_token_ms", 1, kMaxTargetMs));
  c.between_tokens_target = Millis(r.Int("between_tokens_ms", 1, kMaxTargetMs));
  r.RejectUnreadKeys();
  return c;
}

AccountSettings ReadAccount(const json& v, const std::string& path) {
  ObjectReader r(v, path);
  AccountSettings a;
  a.name = r.String("name");
  a.classes = r.Strings("classes", true);
  a.max_in_flight =
      static_cast<int>(r.Int("max_in_flight", 0, 1'000'000, false));
  r.RejectUnreadKeys();
  return a;
}

UpstreamSettings ReadUpstream(const json& v, const std::string& path) {
  ObjectReader r(v, path);
  UpstreamSettings u;
  u.name = r.String("name");
  u.kind = r.String("kind");
  if (u.kind != "engine" && u.kind != "service") {
    throw SettingsFault{r.Path("kind"), "must be engine or service"};
  }
  u.agent = r.String("agent");
  u.url = r.String("url");
  u.models = r.Strings("models", u.kind == "engine");
  u.checks_fencing = r.Bool("checks_fencing", false);
  u.max_in_flight = static_cast<int>(r.Int("max_in_flight", 1, 100'000));
  r.RejectUnreadKeys();
  return u;
}

EntryPolicy ReadEntryPolicy(const json& v, const std::string& path) {
  ObjectReader r(v, path);
  EntryPolicy p;
  p.queue_limit = static_cast<int>(r.Int("queue_limit", 1, 1'000'000));
  p.starvation_bound = Millis(r.Int("starvation_bound_ms", 1, kMaxTargetMs));
  p.retry_budget_percent =
      static_cast<int>(r.Int("retry_budget_percent", 0, 100));
  p.ping_interval = Millis(r.Int("ping_interval_ms", 10, 600'000, false, 1000));
  p.ping_timeout = Millis(r.Int("ping_timeout_ms", 10, 600'000, false, 3000));
  p.shared_load = r.Bool("shared_load", false);
  p.timed_placement = r.Bool("timed_placement", false);
  p.return_precedence = r.Bool("return_precedence", false);
  if (p.timed_placement && !p.shared_load)
    throw SettingsFault{r.Path("timed_placement"), "needs shared_load"};
  if (p.return_precedence && !p.shared_load)
    throw SettingsFault{r.Path("return_precedence"), "needs shared_load"};
  r.RejectUnreadKeys();
  return p;
}

template <typename T>
void RequireUniqueNames(const std::vector<T>& items, const std::string& key) {
  std::set<std::string> names;
  for (size_t i = 0; i < items.size(); ++i) {
    if (!names.insert(items[i].name).second) {
      throw SettingsFault{absl::StrCat("$.", key, "[", i, "].name"),
                          absl::StrCat("duplicate name '", items[i].name, "'")};
    }
  }
}

// Checks that names are unique and that every referenced name is declared.
void CheckReferences(const Settings& s) {
  RequireUniqueNames(s.hosts, "hosts");
  RequireUniqueNames(s.classes, "classes");
  RequireUniqueNames(s.accounts, "accounts");
  RequireUniqueNames(s.upstreams, "upstreams");
  std::set<std::string> models(s.models.begin(), s.models.end());
  for (size_t i = 0; i < s.accounts.size(); ++i) {
    for (size_t j = 0; j < s.accounts[i].classes.size(); ++j) {
      if (!s.FindClass(s.accounts[i].classes[j])) {
        throw SettingsFault{
            absl::StrCat("$.accounts[", i, "].classes[", j, "]"),
            absl::StrCat("class '", s.accounts[i].classes[j],
                         "' is not declared")};
      }
    }
  }
  for (size_t i = 0; i < s.upstreams.size(); ++i) {
    const UpstreamSettings& u = s.upstreams[i];
    const HostSettings* agent = s.FindHost(u.agent);
    if (!agent || agent->role != "agent") {
      throw SettingsFault{
          absl::StrCat("$.upstreams[", i, "].agent"),
          absl::StrCat("agent host '", u.agent, "' is not declared")};
    }
    for (size_t j = 0; j < u.models.size(); ++j) {
      if (!models.count(u.models[j])) {
        throw SettingsFault{
            absl::StrCat("$.upstreams[", i, "].models[", j, "]"),
            absl::StrCat("model '", u.models[j], "' is not declared")};
      }
    }
  }
}

}  // namespace

namespace {

// Returns the element of `items` named `name`, or nullptr.
template <typename T>
const T* FindByName(const std::vector<T>& items, absl::string_view name) {
  for (const auto& it : items) {
    if (it.name == name) return &it;
  }
  return nullptr;
}

}  // namespace

const HostSettings* Settings::FindHost(absl::string_view name) const {
  return FindByName(hosts, name);
}
const ClassSettings* Settings::FindClass(absl::string_view name) const {
  return FindByName(classes, name);
}
const AccountSettings* Settings::FindAccount(absl::string_view name) const {
  return FindByName(accounts, name);
}
const UpstreamSettings* Settings::FindUpstream(absl::string_view name) const {
  return FindByName(upstreams, name);
}

absl::StatusOr<Settings> ParseSettings(absl::string_view json_text) {
  json doc = json::parse(json_text, nullptr, /*allow_exceptions=*/false);
  if (doc.is_discarded()) {
    return absl::InvalidArgumentError("settings: $: not valid JSON");
  }
  try {
    ObjectReader r(doc, "$");
    Settings s;
    s.version = r.Int("version", 1, INT64_MAX);
    r.Array("hosts", [&](const json& v, const std::string& p) {
      s.hosts.push_back(ReadHost(v, p));
    });
    r.Array("classes", [&](const json& v, const std::string& p) {
      s.classes.push_back(ReadClass(v, p));
    });
    r.Array("accounts", [&](const json& v, const std::string& p) {
      s.accounts.push_back(ReadAccount(v, p));
    });
    s.models = r.Strings("models", true);
    r.Array("upstreams", [&](const json& v, const std::string& p) {
      s.upstreams.push_back(ReadUpstream(v, p));
    });
    s.entry = ReadEntryPolicy(*r.Find("entry", true), "$.entry");
    r.RejectUnreadKeys();
    CheckReferences(s);
    return s;
  } catch (const SettingsFault& f) {
    return absl::InvalidArgumentError(
        absl::StrCat("settings: ", f.path, ": ", f.reason));
  }
}

absl::StatusOr<Settings> LoadSettings(const std::string& path) {
  std::ifstream in(path);
  if (!in)
    return absl::NotFoundError(absl::StrCat("settings: cannot read ", path));
  std::stringstream buf;
  buf << in.rdbuf();
  return ParseSettings(buf.str());
}

std::string DefaultSettingsJson(int base_port) {
  json hosts = json::array();
  hosts.push_back({{"name", "control-1"},
                   {"role", "control"},
                   {"data_centre", "pit-a"},
                   {"address", "127.0.0.1"},
                   {"port", base_port}});
  for (int i = 0; i < 2; ++i) {
    hosts.push_back({{"name", absl::StrCat("entry-", i + 1)},
                     {"role", "entry"},
                     {"data_centre", i == 0 ? "pit-a" : "pit-b"},
                     {"address", "127.0.0.1"},
                     {"port", base_port + 10 + i}});
  }
  json upstreams = json::array();
  for (int i = 0; i < 4; ++i) {
    std::string agent = absl::StrCat("agent-", i + 1);
    hosts.push_back({{"name", agent},
                     {"role", "agent"},
                     {"data_centre", i % 2 ? "pit-b" : "pit-a"},
                     {"address", "127.0.0.1"},
                     {"port", base_port + 20 + i},
                     {"metrics_port", base_port + 30 + i}});
    json u = {
        {"name", i < 3 ? absl::StrCat("ledgerhand-", i + 1) : "scalehouse-1"},
        {"kind", i < 3 ? "engine" : "service"},
        {"agent", agent},
        {"url", absl::StrCat("http://127.0.0.1:", base_port + 40 + i)},
        {"max_in_flight", 16}};
    if (i < 3) u["models"] = {"ledgerhand"};
    upstreams.push_back(u);
  }
  json doc = {
      {"version", 1},
      {"hosts", hosts},
      {"classes",
       {{{"name", "gate-release"},
         {"tier", 0},
         {"first_token_ms", 500},
         {"between_tokens_ms", 60}},
        {{"name", "ticket-lookup"},
         {"tier", 1},
         {"first_token_ms", 800},
         {"between_tokens_ms", 80}},
        {{"name", "settlement-draft"},
         {"tier", 3},
         {"first_token_ms", 8000},
         {"between_tokens_ms", 200}}}},
      {"accounts",
       {{{"name", "pit-a-scalehouse"},
         {"classes", {"gate-release", "ticket-lookup"}}},
        {{"name", "county-roads"},
         {"classes", {"ticket-lookup", "settlement-draft"}}}}},
      {"models", {"ledgerhand"}},
      {"upstreams", upstreams},
      {"entry",
       {{"queue_limit", 512},
        {"starvation_bound_ms", 4000},
        {"retry_budget_percent", 10},
        {"ping_interval_ms", 1000},
        {"ping_timeout_ms", 3000}}},
  };
  return doc.dump(2);
}

}  // namespace medlarwalk
