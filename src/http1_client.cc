#include "http1_client.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace medlarwalk {
namespace {

constexpr uint32_t kAnswerHeaderLimit = 64 * 1024;
// No answer is refused for its size here; what is held in memory is bounded
// by whoever collects it.
constexpr uint64_t kAnswerBodyLimit = 1ull << 40;
// How long a kept connection is trusted while idle if the upstream does not
// say.
constexpr auto kDefaultKeep = std::chrono::seconds(4);
// Taken off the time the upstream states, in whole seconds, so that a request
// does not cross its close.
constexpr auto kKeepMargin = Millis(800);

// The idle time in a Keep-Alive header ("timeout=5, max=100"), or `otherwise`.
Duration KeepFor(const MessageHead& head, Duration otherwise) {
  const std::string* v = head.Find("Keep-Alive");
  if (!v) return otherwise;
  for (absl::string_view part : absl::StrSplit(*v, ',')) {
    part = absl::StripAsciiWhitespace(part);
    int seconds;
    if (absl::StartsWithIgnoreCase(part, "timeout=") &&
        absl::SimpleAtoi(part.substr(8), &seconds)) {
      Duration d = std::chrono::seconds(seconds);
      return d > 2 * kKeepMargin ? d - kKeepMargin : d / 2;
    }
  }
  return otherwise;
}

}  // namespace

std::string EncodeRequest(const OutgoingRequest& r) {
  std::string out = absl::StrCat(r.method, " ", r.target, " HTTP/1.1\r\n");
  out.reserve(out.size() + r.body.size() + 1024);
  for (const auto& [k, v] : r.headers) AppendHeader(&out, k, v);
  absl::StrAppend(&out, "\r\n", r.body);
  return out;
}

Http1Client::Http1Client(struct ev_loop*, const Clock& clock)
    : clock_(clock),
      parser_(Http1Parser::Kind::kAnswer, kAnswerHeaderLimit, kAnswerBodyLimit,
              MessageSink{
                  [this](MessageHead head) {
                    if (head.status / 100 == 1) return;
                    if (!head.keep_alive) reusable_ = false;
                    keep_for_ = KeepFor(head, keep_for_);
                    ours_ = call_.on_head && call_.on_head(head);
                  },
                  [this](absl::string_view data) {
                    if (ours_ && call_.on_body) call_.on_body(data);
                  },
                  [this] { message_end_ = true; },
              }),
      keep_for_(kDefaultKeep) {}

Http1Client::~Http1Client() { Close(); }

std::shared_ptr<Http1Client> Http1Client::Open(struct ev_loop* loop,
                                               const Clock& clock,
                                               const Endpoint& to,
                                               Duration connect_timeout) {
  auto c = std::make_shared<Http1Client>(loop, clock);
  c->idle_since_ = clock.Now();
  c->tcp_ = TcpConnection::Connect(loop, to, connect_timeout);
  Http1Client* p = c.get();
  TcpEvents e;
  e.on_connected = [p] { p->shared_from_this()->OnConnected(); };
  e.on_data = [p](absl::string_view d) { p->shared_from_this()->OnData(d); };
  e.on_closed = [p](absl::Status s) { p->shared_from_this()->OnClosed(s); };
  c->tcp_->set_events(std::move(e));
  return c;
}

void Http1Client::Start(UpstreamCall call) {
  call_ = std::move(call);
  request_ = EncodeRequest(call_.request);
  head_method_ = call_.request.method == "HEAD";
  busy_ = true;
  sent_ = false;
  ours_ = false;
  message_end_ = false;
  parser_.Reset();
  if (head_method_) parser_.ExpectNoBody();
  if (established()) OnConnected();
}

void Http1Client::OnConnected() {
  if (!busy_ || sent_) return;
  sent_ = true;
  tcp_->Write(request_);
  request_.clear();
}

void Http1Client::OnData(absl::string_view data) {
  if (!busy_) {
    // Bytes after a whole answer belong to no request: drop the connection.
    Close();
    return;
  }
  in_.append(data.data(), data.size());
  while (busy_ && !in_.empty()) {
    in_callback_ = true;
    absl::Status s = parser_.Feed(&in_);
    in_callback_ = false;
    if (!busy_) {  // A callback cancelled the call.
      call_ = {};
      return;
    }
    if (!s.ok()) {
      Close();
      End(ours_ ? CallEnd::kBrokenOff : CallEnd::kNoAnswer,
          absl::StrCat("not HTTP: ", s.message()));
      return;
    }
    if (!message_end_) return;
    OnMessageEnd();
  }
}

void Http1Client::OnMessageEnd() {
  message_end_ = false;
  if (!ours_) {
    // An answer to an earlier request, or an interim one: go on to the next.
    if (!reusable_) {
      Close();
      End(CallEnd::kNoAnswer, "closed after another answer");
      return;
    }
    parser_.Reset();
    if (head_method_) parser_.ExpectNoBody();
    return;
  }
  // Bytes beyond the answer, or a request not read to its end, make the
  // connection useless: what follows could be taken for another answer, and
  // the rest of the body for another request.
  if (!in_.empty() || !reusable_ || (tcp_ && tcp_->unsent() > 0)) Close();
  End(CallEnd::kWhole, EndName(parser_.end_known_by()));
}

void Http1Client::OnClosed(const absl::Status& status) {
  if (!busy_) return;
  std::string why =
      status.ok() ? "closed by peer" : std::string(status.message());
  if (!sent_) {
    End(CallEnd::kNotSent, why);
    return;
  }
  // Only an orderly close may end an answer that has no length: a reset one
  // is not complete.
  if (status.ok() && ours_ && parser_.ends_with_connection() &&
      parser_.FeedEnd().ok()) {
    message_end_ = false;
    End(CallEnd::kWhole, EndName(EndKnownBy::kClose));
    return;
  }
  End(ours_ ? CallEnd::kBrokenOff : CallEnd::kNoAnswer, why);
}

void Http1Client::End(CallEnd end, absl::string_view why) {
  busy_ = false;
  idle_since_ = clock_.Now();
  auto f = std::move(call_.on_end);
  call_ = {};
  std::string reason(why);
  if (f) f(end, reason);
}

void Http1Client::Cancel() {
  busy_ = false;
  if (!in_callback_) call_ = {};
  Close();
}

void Http1Client::Close() {
  if (tcp_) tcp_->Close();
}

void Http1Client::PauseRead(bool paused) {
  if (tcp_) tcp_->PauseRead(paused);
}

}  // namespace medlarwalk
