#include "http1_client.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace medlarwalk {
namespace {

constexpr uint32_t kAnswerHeaderLimit = 64 * 1024;
constexpr size_t kReservedHeadBytes = 1024;
// Size from which a shared body is held in place of a copy.
constexpr size_t kMinSharedBytes = size_t{16} * 1024;
// Size limit of an answer's body, in effect none: the owner of the call limits
// how much of an answer it keeps in memory.
constexpr uint64_t kAnswerBodyLimit = 1ull << 40;
// Limits of what a call skips before its own answer: interim answers, and
// answers to other requests. An upstream that sends more would occupy the call
// until its deadline.
constexpr size_t kMaxSkippedBytes = size_t{4} << 20;
constexpr int kMaxSkippedAnswers = 1000;
// Time for which an idle connection may be reused if the upstream states no
// idle time.
constexpr auto kDefaultKeepAliveTime = std::chrono::seconds(4);
// Subtracted from the idle time that the upstream states, which is in whole
// seconds, so that no request is sent while the upstream closes the connection.
constexpr auto kKeepAliveMargin = Millis(800);

// Returns how long an idle connection may be reused according to the Keep-Alive
// header ("timeout=5, max=100"), or `otherwise` if it states no timeout.
Duration KeepAliveTime(const MessageHead& head, Duration fallback) {
  const std::string* v = head.Find("Keep-Alive");
  if (!v) return fallback;
  for (absl::string_view part : absl::StrSplit(*v, ',')) {
    part = absl::StripAsciiWhitespace(part);
    int seconds;
    if (absl::StartsWithIgnoreCase(part, "timeout=") &&
        absl::SimpleAtoi(part.substr(8), &seconds)) {
      Duration d = std::chrono::seconds(seconds);
      return d > 2 * kKeepAliveMargin ? d - kKeepAliveMargin : d / 2;
    }
  }
  return fallback;
}

}  // namespace

std::string EncodeRequest(const OutgoingRequest& r) {
  std::string out = absl::StrCat(r.method, " ", r.target, " HTTP/1.1\r\n");
  out.reserve(out.size() + r.body.size() + kReservedHeadBytes);
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
                    tcp_->set_confirm_end(head.framing == BodyFraming::kClose);
                    keep_alive_time_ = KeepAliveTime(head, keep_alive_time_);
                    answers_call_ = call_.on_head && call_.on_head(head);
                  },
                  [this](absl::string_view data) {
                    if (busy_ && answers_call_ && call_.on_body)
                      call_.on_body(data);
                  },
                  [this] { message_end_ = true; },
              }),
      keep_alive_time_(kDefaultKeepAliveTime) {}

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
  is_head_request_ = call_.request.method == "HEAD";
  // A small body goes into one packet with the head.
  if (call_.request.shared_body &&
      call_.request.body.size() >= kMinSharedBytes) {
    shared_body_ = std::move(call_.request.shared_body);
    call_.request.body = {};
  }
  request_ = std::make_shared<const std::string>(EncodeRequest(call_.request));
  call_.request = {};
  busy_ = true;
  sent_ = false;
  answers_call_ = false;
  message_end_ = false;
  skipped_bytes_ = 0;
  skipped_answers_ = 0;
  parser_.PrepareForNextMessage();
  if (is_head_request_) parser_.ExpectNoBody();
  if (established()) OnConnected();
}

void Http1Client::OnConnected() {
  if (!busy_ || sent_) return;
  sent_ = true;
  tcp_->Write(std::move(request_));
  if (shared_body_) tcp_->Write(std::move(shared_body_));
}

void Http1Client::OnData(absl::string_view data) {
  if (!busy_) {
    // Bytes received while no call is active belong to no request, so the
    // connection cannot be reused.
    Close();
    return;
  }
  received_.append(data.data(), data.size());
  while (busy_ && !received_.empty()) {
    in_callback_ = true;
    size_t unread = received_.size();
    absl::Status s = parser_.Feed(&received_);
    in_callback_ = false;
    if (!busy_) {  // A callback has cancelled the call.
      call_ = {};
      return;
    }
    if (!s.ok()) {
      FailCall(absl::StrCat("not HTTP: ", s.message()));
      return;
    }
    if (!answers_call_ && !MaySkip(unread - received_.size())) {
      FailCall("too much before the answer");
      return;
    }
    if (!message_end_) return;
    OnMessageEnd();
  }
}

bool Http1Client::MaySkip(size_t bytes) {
  skipped_bytes_ += bytes;
  skipped_answers_ += message_end_;
  return skipped_bytes_ <= kMaxSkippedBytes &&
         skipped_answers_ <= kMaxSkippedAnswers;
}

void Http1Client::FailCall(absl::string_view why) {
  Close();
  EndCall(answers_call_ ? CallEnd::kInterrupted : CallEnd::kNoAnswer, why);
}

void Http1Client::OnMessageEnd() {
  message_end_ = false;
  if (!answers_call_) {
    // The message was an interim answer or the answer to an earlier request:
    // skip it.
    if (!reusable_) {
      Close();
      EndCall(CallEnd::kNoAnswer, "closed after another answer");
      return;
    }
    parser_.PrepareForNextMessage();
    if (is_head_request_) parser_.ExpectNoBody();
    return;
  }
  // The connection cannot be reused in two cases. Bytes that follow the answer
  // would be parsed as the next answer. If the request is not completely sent,
  // the upstream would parse the rest of its body as the next request.
  if (!received_.empty() || !reusable_ || (tcp_ && tcp_->unsent() > 0)) Close();
  EndCall(CallEnd::kWhole, EndDetectionName(parser_.end_detection()));
}

void Http1Client::OnClosed(const absl::Status& status) {
  if (!busy_) return;
  std::string why =
      status.ok() ? "closed by peer" : std::string(status.message());
  if (!sent_) {
    EndCall(CallEnd::kNotSent, why);
    return;
  }
  // An answer without a length is complete only if the connection was closed in
  // an orderly way; after a reset it is truncated.
  if (status.ok() && answers_call_ && parser_.is_close_delimited() &&
      parser_.FeedEof().ok()) {
    message_end_ = false;
    EndCall(CallEnd::kWhole, EndDetectionName(EndDetection::kClose));
    return;
  }
  EndCall(answers_call_ ? CallEnd::kInterrupted : CallEnd::kNoAnswer, why);
}

void Http1Client::EndCall(CallEnd end, absl::string_view why) {
  busy_ = false;
  ReleaseRequest();
  idle_since_ = clock_.Now();
  auto f = std::move(call_.on_end);
  call_ = {};
  std::string reason(why);
  if (f) f(end, reason);
}

void Http1Client::ReleaseRequest() {
  request_.reset();
  shared_body_.reset();
}

void Http1Client::Cancel() {
  busy_ = false;
  ReleaseRequest();
  if (!in_callback_) call_ = {};
  Close();
}

void Http1Client::Close() {
  if (tcp_) tcp_->Close();
}

void Http1Client::SetReadPaused(bool paused) {
  if (tcp_) tcp_->SetReadPaused(paused);
}

}  // namespace medlarwalk
