#include "native_api.h"

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
// Maximum number of upstreams to which the gateway sends one request.
constexpr int kMaxAttempts = 3;
// Number of leading characters for prefix affinity: prompts that have these
// characters in common prefer the same engine.
constexpr size_t kAffinityPrefixChars = 64;
// Approximate number of characters per token, to estimate the length of a
// prompt.
constexpr int64_t kCharsPerToken = 4;

absl::string_view PathWithoutQuery(const MessageHead& head) {
  absl::string_view target = head.target;
  return target.substr(0, target.find('?'));
}

std::string ModelPath(absl::string_view model) {
  return absl::StrCat("/model/", model, "/");
}

std::string ServicePath(absl::string_view name) {
  return absl::StrCat("/service/", name, "/");
}

// Returns the name of the core's service to which `u` belongs.
std::string CoreServiceName(const UpstreamSettings& u) {
  if (u.kind != "engine") return u.name;
  std::set<std::string> models(u.models.begin(), u.models.end());
  return absl::StrCat("models:", absl::StrJoin(models, ","));
}

// Returns the number of requests that all entries together may have in flight
// at `u`.
int TotalSlots(const Settings& s, const UpstreamSettings& u) {
  auto entries =
      std::count_if(s.hosts.begin(), s.hosts.end(),
                    [](const HostSettings& h) { return h.role == "entry"; });
  return u.max_in_flight * static_cast<int>(entries);
}

std::string ErrorBody(ErrorKind kind, absl::string_view reason) {
  return json{
      {"error", {{"code", ErrorAnswerFor(kind).code}, {"message", reason}}}}
      .dump();
}

// Checks the method, client account and class of a request. Returns the class.
absl::StatusOr<const ClassSettings*> CheckAccountAndClass(
    const Settings& s, const MessageHead& head) {
  if (head.method != "POST") {
    return MakeError(ErrorKind::kBadRequest, "only POST is served");
  }
  std::string name = head.HeaderValue(kHeaderAccount);
  const AccountSettings* account = s.FindAccount(name);
  if (!account) {
    return MakeError(ErrorKind::kUnknownAccount,
                     absl::StrCat("unknown client account '", name, "'"));
  }
  std::string klass = head.HeaderValue(kHeaderClass);
  const ClassSettings* c = s.FindClass(klass);
  const auto& allowed_classes = account->classes;
  if (!c || std::find(allowed_classes.begin(), allowed_classes.end(), klass) ==
                allowed_classes.end()) {
    return MakeError(
        ErrorKind::kUnknownClass,
        absl::StrCat("class '", klass, "' is not open to this account"));
  }
  return c;
}

// Reads the body of an OpenAI-style chat request into `facts`.
absl::Status ReadChatRequest(const Settings& s, absl::string_view body,
                             RequestFacts* facts) {
  json doc = json::parse(body, nullptr, false);
  if (doc.is_discarded() || !doc.is_object()) {
    return MakeError(ErrorKind::kBadRequest, "body is not a JSON object");
  }
  std::string model;
  if (doc.contains("model") && doc["model"].is_string()) model = doc["model"];
  bool model_served = std::any_of(
      s.upstreams.begin(), s.upstreams.end(), [&](const UpstreamSettings& u) {
        return std::find(u.models.begin(), u.models.end(), model) !=
               u.models.end();
      });
  if (!model_served) {
    return MakeError(ErrorKind::kUnknownModel,
                     absl::StrCat("no upstream serves model '", model, "'"));
  }
  facts->path = ModelPath(model);
  bool streams = doc.contains("stream") && doc["stream"].is_boolean() &&
                 doc["stream"].get<bool>();
  facts->kind = streams ? RequestKind::kStream : RequestKind::kAtMostOnce;
  if (doc.contains("max_tokens") && doc["max_tokens"].is_number_integer()) {
    facts->max_output_tokens = doc["max_tokens"];
  }
  int64_t prompt_chars = 0;
  std::string first_text;
  if (doc.contains("messages") && doc["messages"].is_array()) {
    for (const json& m : doc["messages"]) {
      if (!m.is_object() || !m.contains("content")) continue;
      if (!m["content"].is_string()) continue;
      std::string text = m["content"];
      if (prompt_chars == 0) first_text = text.substr(0, kAffinityPrefixChars);
      prompt_chars += static_cast<int64_t>(text.size());
    }
  }
  facts->prompt_tokens = prompt_chars / kCharsPerToken;
  // The prompt has one part shared with other prompts and one part that only
  // this request has.
  facts->parts = {{StableHash(first_text), facts->prompt_tokens}, {0, 0}};
  return absl::OkStatus();
}

absl::Status ReadServiceRequest(const Settings& s, absl::string_view path,
                                RequestFacts* facts) {
  absl::string_view name_and_path = path.substr(sizeof(kServicePrefix) - 1);
  size_t slash = name_and_path.find('/');
  absl::string_view name = name_and_path.substr(0, slash);
  const UpstreamSettings* u = s.FindUpstream(name);
  if (!u || u->kind != "service" || slash == absl::string_view::npos) {
    return MakeError(ErrorKind::kUnknownModel,
                     absl::StrCat("no plain service '", name, "'"));
  }
  facts->path = ServicePath(name);
  facts->kind = RequestKind::kAtMostOnce;
  return absl::OkStatus();
}

absl::StatusOr<RequestFacts> ReadRequest(const Settings& s,
                                         const MessageHead& head,
                                         absl::string_view body) {
  absl::StatusOr<const ClassSettings*> c = CheckAccountAndClass(s, head);
  if (!c.ok()) return c.status();
  RequestFacts facts;
  facts.host = (*c)->name;
  facts.account = head.HeaderValue(kHeaderAccount);
  absl::string_view path = PathWithoutQuery(head);
  absl::Status st = path == kChatPath ? ReadChatRequest(s, body, &facts)
                    : absl::StartsWith(path, kServicePrefix)
                        ? ReadServiceRequest(s, path, &facts)
                        : MakeError(ErrorKind::kBadRequest, "no such route");
  if (!st.ok()) return st;
  std::string key = head.HeaderValue(kHeaderIdempotencyKey);
  facts.repeatable =
      key.empty() && head.HeaderValue(kHeaderNotRepeatable).empty();
  // Requests with the same idempotency key go to the same upstream, because the
  // ledger of its agent records whether one of them was started.
  if (!key.empty()) facts.pinned = std::max<uint64_t>(1, StableHash(key));
  int64_t ms = 0;
  if (absl::SimpleAtoi(head.HeaderValue(kHeaderDeadlineMs), &ms) && ms > 0) {
    facts.time_limit = ClampedMs(static_cast<double>(ms));
  }
  return facts;
}

// Writes the request to the agent. The agent calls its upstream at the path of
// this request.
OutgoingRequest WriteRequest(const MessageHead& head, const ForwardFacts& facts,
                             absl::string_view body) {
  OutgoingRequest out;
  out.method = "POST";
  out.body = body;
  absl::string_view path = PathWithoutQuery(head);
  if (absl::ConsumePrefix(&path, kServicePrefix)) {
    path = path.substr(path.find('/'));
  }
  out.target = std::string(path);
  out.headers = {{kH2Upstream, facts.upstream_id},
                 {kH2RequestId, facts.id},
                 {"content-type", "application/json"}};
  std::string key = head.HeaderValue(kHeaderIdempotencyKey);
  if (!key.empty()) out.headers.emplace_back(kH2IdempotencyKey, key);
  if (!key.empty() || !head.HeaderValue(kHeaderNotRepeatable).empty()) {
    out.headers.emplace_back(kH2NotRepeatable, "1");
  }
  return out;
}

AnswerFacts ReadAnswer(const MessageHead& head) {
  AnswerFacts facts;
  ErrorKind kind = ErrorKindFromCode(head.HeaderValue(kH2ErrorKind));
  facts.not_run = kind == ErrorKind::kNotRun || kind == ErrorKind::kDraining ||
                  kind == ErrorKind::kNoUpstream;
  facts.has_signature = head.Find(kH2ErrorKind) == nullptr;
  facts.termination_id = head.HeaderValue(kH2UpstreamEnd);
  return facts;
}

ErrorResponse WriteRefusal(ErrorKind kind, absl::string_view reason,
                           Duration retry_after) {
  ErrorResponse r;
  r.headers = {{"Content-Type", "application/json"}};
  if (ErrorAnswerFor(kind).retry_after) {
    double seconds = std::max(1.0, std::ceil(ToSeconds(retry_after)));
    r.headers.emplace_back("Retry-After",
                           absl::StrCat(static_cast<int64_t>(seconds)));
  }
  r.body = ErrorBody(kind, reason);
  return r;
}

}  // namespace

Dialect NativeApiDialect(std::shared_ptr<const Settings> settings,
                         const std::string& entry) {
  Dialect d;
  auto next_request_number = std::make_shared<uint64_t>(0);
  d.read_request = [settings, entry, next_request_number](
                       const MessageHead& head, absl::string_view body) {
    absl::StatusOr<RequestFacts> facts = ReadRequest(*settings, head, body);
    if (facts.ok())
      facts->id = absl::StrCat(entry, "-", ++*next_request_number);
    return facts;
  };
  d.write_request = WriteRequest;
  d.read_answer = ReadAnswer;
  // Agents' headers with the prefix "mw-" are meant for entries and are not
  // forwarded to callers.
  d.forwards_header = [](absl::string_view name) {
    return !absl::StartsWith(name, "mw-");
  };
  d.write_error_response = WriteRefusal;
  return d;
}

RoutingConfig RoutingFromSettings(const Settings& settings) {
  RoutingConfig c;
  c.version = settings.version;
  c.limits.body_bytes = kMaxBodyBytes;
  // Services to which each path routes, with their weights. The weight of a
  // service is its number of upstreams.
  std::map<std::string, std::map<std::string, double>> paths;
  for (const UpstreamSettings& u : settings.upstreams) {
    std::string service = CoreServiceName(u);
    ServiceRule& rule = c.services[service];
    rule.name = service;
    rule.max_connections = std::max(rule.max_connections, u.max_in_flight);
    if (u.kind == "engine") {
      rule.engine = EngineLimits{TotalSlots(settings, u)};
      rule.shared_load = settings.entry.shared_load;
      rule.timed_placement = settings.entry.timed_placement;
      rule.return_precedence = settings.entry.return_precedence;
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
      r.timeout = kMaxAnswerTime;
      r.latency_target = k.first_token_target;
      r.event_gap_target = k.between_tokens_target;
      r.tier = k.tier;
      for (const auto& [s, n] : services) r.services.push_back({s, n});
      r.max_attempts = kMaxAttempts;
      r.label = k.name;
      c.routes.push_back(std::move(r));
    }
  }
  BuildConfigIndexes(&c);
  return c;
}

std::vector<UpstreamInfo> UpstreamsFromSettings(const Settings& settings) {
  std::vector<UpstreamInfo> list;
  for (const UpstreamSettings& u : settings.upstreams) {
    const HostSettings* agent = settings.FindHost(u.agent);
    UpstreamInfo i;
    i.id = u.name;
    i.service = CoreServiceName(u);
    i.address = Endpoint{agent->address, agent->port};
    i.data_centre = agent->data_centre;
    i.slots = TotalSlots(settings, u);
    list.push_back(std::move(i));
  }
  return list;
}

}  // namespace medlarwalk
