#include "own_api.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/strip.h"
#include "nlohmann/json.hpp"

namespace medlarwalk {
namespace {

using nlohmann::json;

constexpr char kChatPath[] = "/v1/chat/completions";
constexpr char kServicePrefix[] = "/v1/services/";
// Upstreams one request may be sent to.
constexpr int kMaxAttempts = 3;
// A stream has no end of its own by this interface: this long is a fault.
constexpr auto kLongestAnswer = std::chrono::minutes(10);
// Of a prompt, so many first characters make it one to keep at one engine.
constexpr size_t kPrefixChars = 64;
// Text to tokens, roughly.
constexpr int64_t kCharsPerToken = 4;

absl::string_view PathOf(const MessageHead& head) {
  absl::string_view target = head.target;
  return target.substr(0, target.find('?'));
}

std::string ModelPath(absl::string_view model) {
  return absl::StrCat("/model/", model, "/");
}

std::string ServicePath(absl::string_view name) {
  return absl::StrCat("/service/", name, "/");
}

// The service of the core that `u` belongs to.
std::string ServiceOf(const UpstreamSettings& u) {
  if (u.kind != "engine") return u.name;
  std::set<std::string> models(u.models.begin(), u.models.end());
  return absl::StrCat("models:", absl::StrJoin(models, ","));
}

// What all entries together may send to `u` at once.
int SlotsOf(const Settings& s, const UpstreamSettings& u) {
  auto entries =
      std::count_if(s.hosts.begin(), s.hosts.end(),
                    [](const HostSettings& h) { return h.role == "entry"; });
  return u.max_in_flight * static_cast<int>(entries);
}

std::string ErrorBody(ErrorKind kind, absl::string_view why) {
  return json{{"error", {{"code", AnswerFor(kind).code}, {"message", why}}}}
      .dump();
}

// Checks account and class; returns the class.
absl::StatusOr<const ClassSettings*> CheckCaller(const Settings& s,
                                                 const MessageHead& head) {
  if (head.method != "POST") {
    return MakeError(ErrorKind::kBadRequest, "only POST is served");
  }
  std::string name = head.Value(kHeaderAccount);
  const AccountSettings* account = s.FindAccount(name);
  if (!account) {
    return MakeError(ErrorKind::kUnknownAccount,
                     absl::StrCat("unknown client account '", name, "'"));
  }
  std::string klass = head.Value(kHeaderClass);
  const ClassSettings* c = s.FindClass(klass);
  const auto& open = account->classes;
  if (!c || std::find(open.begin(), open.end(), klass) == open.end()) {
    return MakeError(
        ErrorKind::kUnknownClass,
        absl::StrCat("class '", klass, "' is not open to this account"));
  }
  return c;
}

// What an OpenAI-style body says of its request.
absl::Status ReadChat(const Settings& s, absl::string_view body,
                      RequestFacts* f) {
  json doc = json::parse(body, nullptr, false);
  if (doc.is_discarded() || !doc.is_object()) {
    return MakeError(ErrorKind::kBadRequest, "body is not a JSON object");
  }
  std::string model;
  if (doc.contains("model") && doc["model"].is_string()) model = doc["model"];
  bool served = std::any_of(
      s.upstreams.begin(), s.upstreams.end(), [&](const UpstreamSettings& u) {
        return std::find(u.models.begin(), u.models.end(), model) !=
               u.models.end();
      });
  if (!served) {
    return MakeError(ErrorKind::kUnknownModel,
                     absl::StrCat("no upstream serves model '", model, "'"));
  }
  f->path = ModelPath(model);
  bool streams = doc.contains("stream") && doc["stream"].is_boolean() &&
                 doc["stream"].get<bool>();
  f->kind = streams ? RequestKind::kStream : RequestKind::kOnce;
  if (doc.contains("max_tokens") && doc["max_tokens"].is_number_integer()) {
    f->most_output_tokens = doc["max_tokens"];
  }
  int64_t chars = 0;
  std::string first;
  if (doc.contains("messages") && doc["messages"].is_array()) {
    for (const json& m : doc["messages"]) {
      if (!m.is_object() || !m.contains("content")) continue;
      if (!m["content"].is_string()) continue;
      std::string text = m["content"];
      if (chars == 0) first = text.substr(0, kPrefixChars);
      chars += static_cast<int64_t>(text.size());
    }
  }
  f->prompt_tokens = chars / kCharsPerToken;
  // One shared part and the request's own.
  f->parts = {{StableHash(first), f->prompt_tokens}, {0, 0}};
  return absl::OkStatus();
}

absl::Status ReadService(const Settings& s, absl::string_view path,
                         RequestFacts* f) {
  absl::string_view rest = path.substr(sizeof(kServicePrefix) - 1);
  size_t slash = rest.find('/');
  absl::string_view name = rest.substr(0, slash);
  const UpstreamSettings* u = s.FindUpstream(name);
  if (!u || u->kind != "service" || slash == absl::string_view::npos) {
    return MakeError(ErrorKind::kUnknownModel,
                     absl::StrCat("no plain service '", name, "'"));
  }
  f->path = ServicePath(name);
  f->kind = RequestKind::kOnce;
  return absl::OkStatus();
}

absl::StatusOr<RequestFacts> ReadRequest(const Settings& s,
                                         const MessageHead& head,
                                         absl::string_view body) {
  absl::StatusOr<const ClassSettings*> c = CheckCaller(s, head);
  if (!c.ok()) return c.status();
  RequestFacts f;
  f.host = (*c)->name;
  absl::string_view path = PathOf(head);
  absl::Status st = path == kChatPath ? ReadChat(s, body, &f)
                    : absl::StartsWith(path, kServicePrefix)
                        ? ReadService(s, path, &f)
                        : MakeError(ErrorKind::kBadRequest, "no such route");
  if (!st.ok()) return st;
  std::string key = head.Value(kHeaderIdempotencyKey);
  f.repeatable = key.empty() && head.Value(kHeaderNotRepeatable).empty();
  // The agent that a key leads to keeps the record of what ran under it.
  if (!key.empty()) f.pinned = std::max<uint64_t>(1, StableHash(key));
  int64_t ms = 0;
  if (absl::SimpleAtoi(head.Value(kHeaderDeadlineMs), &ms) && ms > 0) {
    f.patience = BoundedMs(static_cast<double>(ms));
  }
  return f;
}

// For the agent beside the upstream; it calls the path named here.
OutgoingRequest WriteRequest(const MessageHead& head, const ForwardFacts& f,
                             absl::string_view body) {
  OutgoingRequest out;
  out.method = "POST";
  out.body = body;
  absl::string_view path = PathOf(head);
  if (absl::ConsumePrefix(&path, kServicePrefix)) {
    path = path.substr(path.find('/'));
  }
  out.target = std::string(path);
  out.headers = {{kH2Upstream, f.upstream_id},
                 {kH2RequestId, f.id},
                 {"content-type", "application/json"}};
  std::string key = head.Value(kHeaderIdempotencyKey);
  if (!key.empty()) out.headers.emplace_back(kH2IdempotencyKey, key);
  if (!key.empty() || !head.Value(kHeaderNotRepeatable).empty()) {
    out.headers.emplace_back(kH2NotRepeatable, "1");
  }
  return out;
}

AnswerFacts ReadAnswer(const MessageHead& head) {
  AnswerFacts f;
  ErrorKind kind = KindFromCode(head.Value(kH2ErrorKind));
  f.not_run = kind == ErrorKind::kNotRun || kind == ErrorKind::kDraining ||
              kind == ErrorKind::kNoUpstream;
  f.signed_whole = head.Find(kH2ErrorKind) == nullptr;
  f.upstream_end = head.Value(kH2UpstreamEnd);
  return f;
}

Refusal WriteRefusal(ErrorKind kind, absl::string_view why,
                     Duration retry_after) {
  Refusal r;
  r.headers = {{"Content-Type", "application/json"}};
  if (AnswerFor(kind).retry_after) {
    double seconds = std::max(1.0, std::ceil(ToSeconds(retry_after)));
    r.headers.emplace_back("Retry-After",
                           absl::StrCat(static_cast<int64_t>(seconds)));
  }
  r.body = ErrorBody(kind, why);
  return r;
}

}  // namespace

Dialect OwnDialect(std::shared_ptr<const Settings> settings,
                   const std::string& entry) {
  Dialect d;
  auto next = std::make_shared<uint64_t>(0);
  d.read_request = [settings, entry, next](const MessageHead& head,
                                           absl::string_view body) {
    absl::StatusOr<RequestFacts> f = ReadRequest(*settings, head, body);
    if (f.ok()) f->id = absl::StrCat(entry, "-", ++*next);
    return f;
  };
  d.write_request = WriteRequest;
  d.read_answer = ReadAnswer;
  // What agents say to entries is not for callers.
  d.passes_on = [](absl::string_view name) {
    return !absl::StartsWith(name, "mw-");
  };
  d.write_refusal = WriteRefusal;
  return d;
}

RoutingConfig OwnRouting(const Settings& settings) {
  RoutingConfig c;
  c.version = settings.version;
  c.limits.body_bytes = kMaxBodyBytes;
  // For each path its services, each weighted by its upstreams.
  std::map<std::string, std::map<std::string, double>> paths;
  for (const UpstreamSettings& u : settings.upstreams) {
    std::string service = ServiceOf(u);
    ServiceRule& rule = c.services[service];
    rule.name = service;
    rule.max_connections = std::max(rule.max_connections, u.max_in_flight);
    if (u.kind == "engine") {
      rule.engine = EngineLimits{SlotsOf(settings, u)};
      for (const std::string& m : u.models) paths[ModelPath(m)][service] += 1;
    } else {
      paths[ServicePath(u.name)][service] = 1;
    }
  }
  for (const ClassSettings& k : settings.classes) {
    for (const auto& [path, services] : paths) {
      RouteRule r;
      r.name = absl::StrCat(k.name, path);
      r.host = k.name;
      r.path_prefix = path;
      r.timeout = kLongestAnswer;
      r.latency_target = k.first_token_target;
      r.pause_target = k.between_tokens_target;
      r.tier = k.tier;
      for (const auto& [s, n] : services) r.services.push_back({s, n});
      r.max_attempts = kMaxAttempts;
      r.label = k.name;
      c.routes.push_back(std::move(r));
    }
  }
  IndexConfig(&c);
  return c;
}

std::vector<UpstreamInfo> OwnUpstreams(const Settings& settings) {
  std::vector<UpstreamInfo> list;
  for (const UpstreamSettings& u : settings.upstreams) {
    const HostSettings* agent = settings.FindHost(u.agent);
    UpstreamInfo i;
    i.id = u.name;
    i.service = ServiceOf(u);
    i.address = Endpoint{agent->address, agent->port};
    i.data_centre = agent->data_centre;
    i.slots = SlotsOf(settings, u);
    list.push_back(std::move(i));
  }
  return list;
}

}  // namespace medlarwalk
