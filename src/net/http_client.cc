#include "http_client.h"

#include <unistd.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "framing.h"
#include "log.h"
#include "loop_order.h"
#include "tcp.h"

namespace medlarwalk {
namespace {

// Answers of a lower status are interim ones.
constexpr int kFirstFinalStatus = 200;
// How much of the rest of a request is sent after its answer has ended. A
// server that has gone answers it with a reset.
constexpr size_t kProbeBytes = size_t{16} * 1024;

}  // namespace

struct HttpClient::ActiveCall {
  HttpClient* client;
  uint64_t id;
  HttpCall call;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  bool status_reported = false;
  bool cancelled = false;
  bool answered_early = false;  // The answer is whole, the request not sent.
  size_t body_bytes = 0;        // Received so far.
  HeaderList head_fields;       // Of the answer's head that is being read.
  bool head_is_http11 = true;
  // The head of the final answer is complete. libcurl reports success for an
  // answer whose connection closes between two lines of its head.
  bool head_ended = false;
  int send_attempts = 0;  // Number of times libcurl began to send the request.
  curl_socket_t socket = CURL_SOCKET_BAD;
  bool ends_with_connection = false;  // The body has no other end.
  // The connection of an answer that ended with it, until that is confirmed.
  std::shared_ptr<TcpConnection> ended_connection;

  // Reads one line of an answer's head. Returns false if the answer cannot be
  // framed.
  bool ReadHeadLine(absl::string_view line);
  // Decides how the answer whose head was read is framed. Errors:
  // InvalidArgument.
  absl::Status CheckHead();

  // Passes the status and the Content-Type to on_status.
  void ReportStatus() {
    status_reported = true;
    const char* type = nullptr;
    curl_easy_getinfo(easy, CURLINFO_CONTENT_TYPE, &type);
    if (call.on_status) {
      call.on_status(StatusCode(), absl::NullSafeStringView(type));
    }
  }
  // Returns the status code of the last head; 0 before it.
  int StatusCode() const {
    long code = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &code);
    return static_cast<int>(code);
  }
};

struct HttpClient::Socket {
  HttpClient* client;
  curl_socket_t fd;
  ev_io io;
};

HttpClient::HttpClient(struct ev_loop* loop)
    : loop_(loop), multi_(curl_multi_init()) {
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &OnTimerChange);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  InitTimer(&timer_, OnCurlTimeout, 0., 0.);
  timer_.data = this;
  InitTimer(&removal_timer_, OnRemoval, 0., 0.);
  removal_timer_.data = this;
}

HttpClient::~HttpClient() {
  ev_timer_stop(loop_, &timer_);
  ev_timer_stop(loop_, &removal_timer_);
  while (!calls_.empty()) RemoveCall(calls_.begin()->first);
  curl_multi_cleanup(multi_);
}

uint64_t HttpClient::Start(HttpCall call) {
  auto a = std::make_unique<ActiveCall>();
  a->client = this;
  a->id = next_id_++;
  a->call = std::move(call);
  a->easy = curl_easy_init();
  CURL* e = a->easy;
  curl_easy_setopt(e, CURLOPT_URL, a->call.url.c_str());
  curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, a->call.method.c_str());
  if (a->call.method == "POST" || !a->call.body.empty()) {
    curl_easy_setopt(e, CURLOPT_POSTFIELDS, a->call.body.data());
    curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(a->call.body.size()));
  }
  a->headers = curl_slist_append(a->headers, "Expect:");
  for (const auto& h : a->call.headers) {
    a->headers = curl_slist_append(a->headers, h.c_str());
  }
  curl_easy_setopt(e, CURLOPT_HTTPHEADER, a->headers);
  curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, &OnHeadLine);
  curl_easy_setopt(e, CURLOPT_HEADERDATA, a.get());
  curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, &OnWrite);
  curl_easy_setopt(e, CURLOPT_WRITEDATA, a.get());
  curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, &OnCloseSocket);
  curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, this);
  curl_easy_setopt(e, CURLOPT_PRIVATE, a.get());
  curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, &OnPrereq);
  curl_easy_setopt(e, CURLOPT_PREREQDATA, a.get());
  curl_easy_setopt(e, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(a->call.timeout.count()));
  curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(a->call.connect_timeout.count()));
  curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
  uint64_t id = a->id;
  calls_[id] = std::move(a);
  curl_multi_add_handle(multi_, e);
  return id;
}

void HttpClient::Cancel(uint64_t id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  // Only marks the call, which the loop removes later, because an easy handle
  // must not be removed inside its own write callback. The connection of the
  // call is closed with it, so that the upstream aborts the request.
  it->second->cancelled = true;
  it->second->call.on_done = nullptr;
  it->second->call.on_data = nullptr;
  it->second->call.on_status = nullptr;
  ev_timer_start(loop_, &removal_timer_);
}

void HttpClient::RemoveCall(uint64_t id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  it->second->ends_with_connection = false;  // Nothing is left to confirm.
  curl_multi_remove_handle(multi_, it->second->easy);
  curl_easy_cleanup(it->second->easy);
  curl_slist_free_all(it->second->headers);
  calls_.erase(it);
}

int HttpClient::OnPrereq(void* userdata, char*, char*, int, int) {
  auto* a = static_cast<ActiveCall*>(userdata);
  ++a->send_attempts;
  if (a->send_attempts > 1 && a->call.at_most_once)
    return CURL_PREREQFUNC_ABORT;
  return CURL_PREREQFUNC_OK;
}

bool HttpClient::ActiveCall::ReadHeadLine(absl::string_view line) {
  if (status_reported) return true;  // A trailer.
  absl::Status s;
  if (!absl::ConsumeSuffix(&line, "\r\n")) {
    s = absl::InvalidArgumentError("bad line ending");
  } else if (absl::StartsWith(line, "HTTP/")) {
    head_fields.clear();
    head_is_http11 = !absl::StartsWith(line, "HTTP/1.0");
    head_ended = false;
  } else if (!line.empty()) {
    std::pair<absl::string_view, absl::string_view> field =
        absl::StrSplit(line, absl::MaxSplits(':', 1));
    head_fields.emplace_back(field.first, field.second);
  } else {
    s = CheckHead();
    head_ended = StatusCode() >= kFirstFinalStatus;
  }
  if (!s.ok())
    LogWarn("answer_malformed", {{"url", call.url}, {"reason", s.message()}});
  return s.ok();
}

absl::Status HttpClient::ActiveCall::CheckHead() {
  absl::Status s = CheckFields(head_fields);
  if (!s.ok()) return s;
  absl::StatusOr<MessageFraming> framing = DecideAnswerFraming(
      head_is_http11, StatusCode(), call.method == "HEAD", head_fields);
  if (!framing.ok()) return framing.status();
  ends_with_connection = framing->body == BodyFraming::kClose;
  return absl::OkStatus();
}

size_t HttpClient::OnHeadLine(char* ptr, size_t size, size_t n,
                              void* userdata) {
  auto* a = static_cast<ActiveCall*>(userdata);
  return a->ReadHeadLine(absl::string_view(ptr, size * n)) ? size * n : 0;
}

size_t HttpClient::OnWrite(char* ptr, size_t size, size_t n, void* userdata) {
  auto* a = static_cast<ActiveCall*>(userdata);
  if (a->cancelled) return 0;
  if (!a->status_reported) a->ReportStatus();
  if (a->cancelled) return 0;
  a->body_bytes += size * n;
  if (a->body_bytes > a->call.max_body_bytes) return 0;
  if (a->call.on_data) a->call.on_data(absl::string_view(ptr, size * n));
  return a->cancelled ? 0 : size * n;
}

void HttpClient::DeliverFinishedCalls() {
  CURLMsg* msg;
  int messages_left = 0;
  while ((msg = curl_multi_info_read(multi_, &messages_left))) {
    if (msg->msg != CURLMSG_DONE) continue;
    ActiveCall* a = nullptr;
    curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &a);
    CURLcode code = msg->data.result;
    HttpCallResult r;
    r.http_status = a->StatusCode();
    if (code == CURLE_OK && !a->head_ended) {
      r.status = absl::UnavailableError("the answer's head is cut off");
    } else if (code != CURLE_OK && !a->answered_early) {
      r.status = absl::UnavailableError(curl_easy_strerror(code));
      r.never_sent = a->send_attempts == 0;
      r.refused = r.never_sent && code == CURLE_COULDNT_CONNECT;
    } else if (a->ended_connection) {
      continue;
    }
    FinishCall(*a, r);
  }
}

void HttpClient::FinishCall(ActiveCall& a, const HttpCallResult& result) {
  if (result.status.ok() && !a.status_reported) a.ReportStatus();
  auto done = std::move(a.call.on_done);
  bool cancelled = a.cancelled;
  RemoveCall(a.id);
  if (done && !cancelled) done(result);
}

int HttpClient::OnCloseSocket(void* userp, curl_socket_t s) {
  auto* self = static_cast<HttpClient*>(userp);
  for (const auto& [id, a] : self->calls_) {
    if (a->socket == s && a->ends_with_connection && a->head_ended) {
      self->ConfirmEnd(*a, s);
      return 0;
    }
  }
  return close(s);
}

void HttpClient::ConfirmEnd(ActiveCall& a, curl_socket_t s) {
  a.socket = CURL_SOCKET_BAD;
  a.ended_connection = TcpConnection::FromAcceptedSocket(loop_, s);
  a.ended_connection->set_confirm_end(true);
  TcpEvents e;
  e.on_closed = [this, &a](const absl::Status& status) {
    HttpCallResult r;
    r.status = status;
    r.http_status = a.StatusCode();
    FinishCall(a, r);
  };
  a.ended_connection->set_events(std::move(e));
  curl_off_t sent = 0;
  curl_easy_getinfo(a.easy, CURLINFO_SIZE_UPLOAD_T, &sent);
  absl::string_view body = a.call.body;
  // libcurl counts only the bytes of the body; before the first one, a part of
  // the head may be unsent.
  if (sent > 0 && static_cast<size_t>(sent) < body.size()) {
    a.ended_connection->Write(
        body.substr(static_cast<size_t>(sent), kProbeBytes));
  }
}

int HttpClient::OnSocket(CURL* easy, curl_socket_t s, int what, void* userp,
                         void* socketp) {
  auto* self = static_cast<HttpClient*>(userp);
  auto* sock = static_cast<Socket*>(socketp);
  if (what == CURL_POLL_REMOVE) {
    if (sock) {
      ev_io_stop(self->loop_, &sock->io);
      delete sock;
    }
    return 0;
  }
  ActiveCall* a = nullptr;
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &a);
  if (!sock) {
    sock = new Socket{self, s, {}};
    curl_multi_assign(self->multi_, s, sock);
    if (a) a->socket = s;
  } else {
    ev_io_stop(self->loop_, &sock->io);
  }
  if (a && a->head_ended && what == CURL_POLL_OUT) {
    // libcurl has read all of the answer and would go on to send the request,
    // which the server may never read.
    a->answered_early = true;
    ev_timer_start(self->loop_, &self->removal_timer_);
  }
  int events = (what & CURL_POLL_IN ? EV_READ : 0) |
               (what & CURL_POLL_OUT ? EV_WRITE : 0);
  ev_io_init(&sock->io, OnIo, s, events);
  sock->io.data = sock;
  ev_io_start(self->loop_, &sock->io);
  return 0;
}

int HttpClient::OnTimerChange(CURLM*, long timeout_ms, void* userp) {
  auto* self = static_cast<HttpClient*>(userp);
  ev_timer_stop(self->loop_, &self->timer_);
  if (timeout_ms >= 0) {
    ev_timer_set(&self->timer_, static_cast<double>(timeout_ms) / 1000.0, 0.);
    ev_timer_start(self->loop_, &self->timer_);
  }
  return 0;
}

void HttpClient::OnIo(struct ev_loop*, ev_io* w, int revents) {
  auto* sock = static_cast<Socket*>(w->data);
  HttpClient* self = sock->client;
  int flags = (revents & EV_READ ? CURL_CSELECT_IN : 0) |
              (revents & EV_WRITE ? CURL_CSELECT_OUT : 0);
  int running = 0;
  curl_multi_socket_action(self->multi_, sock->fd, flags, &running);
  self->DeliverFinishedCalls();
}

void HttpClient::OnRemoval(struct ev_loop*, ev_timer* w, int) {
  auto* self = static_cast<HttpClient*>(w->data);
  std::vector<uint64_t> ended;
  for (const auto& [id, a] : self->calls_) {
    if (a->cancelled || a->answered_early) ended.push_back(id);
  }
  for (uint64_t id : ended) {
    auto it = self->calls_.find(id);
    if (it == self->calls_.end()) continue;
    HttpCallResult r;
    r.http_status = it->second->StatusCode();
    self->FinishCall(*it->second, r);
  }
}

void HttpClient::OnCurlTimeout(struct ev_loop*, ev_timer* w, int) {
  auto* self = static_cast<HttpClient*>(w->data);
  int running = 0;
  curl_multi_socket_action(self->multi_, CURL_SOCKET_TIMEOUT, 0, &running);
  self->DeliverFinishedCalls();
}

}  // namespace medlarwalk
