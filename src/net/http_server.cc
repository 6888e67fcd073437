#include "http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <cstring>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "loop_order.h"
#include "types.h"

namespace medlarwalk {
namespace {

// Target of MHD's per-request pointer: keeps the exchange alive until MHD has
// completed the request.
struct ExchangeHolder {
  std::shared_ptr<HttpExchange> exchange;
};

constexpr size_t kStreamBlock = size_t{16} * 1024;
constexpr unsigned kConnectionTimeoutSeconds = 300;

MHD_Result CollectHeader(void* cls, MHD_ValueKind, const char* key,
                         const char* value) {
  auto* headers = static_cast<std::map<std::string, std::string>*>(cls);
  (*headers)[absl::AsciiStrToLower(key)] = value ? value : "";
  return MHD_YES;
}

void AddHeaders(MHD_Response* response, const HeaderList& headers) {
  for (const auto& [k, v] : headers) {
    MHD_add_response_header(response, k.c_str(), v.c_str());
  }
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

void HttpExchange::Respond(int status, const HeaderList& headers,
                           std::string body) {
  if (closed_ || state_ != State::kPending) return;
  state_ = State::kComplete;
  status_ = status;
  headers_ = headers;
  body_ = std::move(body);
  finished_ = true;
  ResumeConnection();
}

void HttpExchange::StartStream(int status, const HeaderList& headers) {
  if (closed_ || state_ != State::kPending) return;
  state_ = State::kStream;
  status_ = status;
  headers_ = headers;
  ResumeConnection();
}

void HttpExchange::Write(absl::string_view data) {
  if (closed_ || state_ != State::kStream || finished_) return;
  body_.append(data.data(), data.size());
  ResumeConnection();
}

void HttpExchange::FinishStream() {
  if (closed_ || finished_) return;
  finished_ = true;
  ResumeConnection();
}

void HttpExchange::Abort() {
  if (closed_ || finished_) return;
  aborted_ = true;
  finished_ = true;
  if (state_ == State::kPending) state_ = State::kStream;
  ResumeConnection();
}

void HttpExchange::ResumeConnection() {
  if (suspended_ && connection_) {
    suspended_ = false;
    MHD_resume_connection(connection_);
  }
  if (server_) server_->ScheduleDaemonRun();
}

HttpServer::HttpServer(struct ev_loop* loop, HttpHandler handler)
    : loop_(loop), handler_(std::move(handler)) {
  InitTimer(&timer_, OnDaemonTimeout, 0., 0.);
  timer_.data = this;
}

HttpServer::~HttpServer() {
  ev_io_stop(loop_, &io_);
  ev_timer_stop(loop_, &timer_);
  if (daemon_) MHD_stop_daemon(daemon_);
}

absl::Status HttpServer::Listen(const std::string& address, int port) {
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons(static_cast<uint16_t>(port));
  if (inet_pton(AF_INET, address.c_str(), &addr.sin_addr) != 1) {
    return absl::InvalidArgumentError(absl::StrCat("bad address ", address));
  }
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO;
  daemon_ = MHD_start_daemon(
      flags, static_cast<uint16_t>(port), nullptr, nullptr, &OnAccess, this,
      MHD_OPTION_SOCK_ADDR, &addr, MHD_OPTION_NOTIFY_COMPLETED, &OnCompleted,
      this, MHD_OPTION_CONNECTION_TIMEOUT, kConnectionTimeoutSeconds,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (!daemon_) {
    return absl::UnavailableError(
        absl::StrCat("cannot listen on ", address, ":", port));
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init(&io_, OnIo, info->epoll_fd, EV_READ);
  io_.data = this;
  ev_io_start(loop_, &io_);
  ScheduleDaemonRun();
  return absl::OkStatus();
}

void HttpServer::StopAccepting() {
  if (daemon_) MHD_quiesce_daemon(daemon_);
}

MHD_Result HttpServer::OnAccess(void* cls, MHD_Connection* connection,
                                const char* url, const char* method,
                                const char*, const char* upload_data,
                                size_t* upload_data_size, void** con_cls) {
  auto* self = static_cast<HttpServer*>(cls);
  auto* holder = static_cast<ExchangeHolder*>(*con_cls);
  if (!holder) {
    holder = new ExchangeHolder{std::make_shared<HttpExchange>()};
    HttpExchange& ex = *holder->exchange;
    ex.server_ = self;
    ex.connection_ = connection;
    ex.request_.method = method;
    ex.request_.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              &ex.request_.headers);
    *con_cls = holder;
    ++self->open_requests_;
    return MHD_YES;
  }
  HttpExchange& ex = *holder->exchange;
  if (*upload_data_size) {
    if (ex.request_.body.size() + *upload_data_size > kMaxBodyBytes) {
      return MHD_NO;
    }
    ex.request_.body.append(upload_data, *upload_data_size);
    *upload_data_size = 0;
    return MHD_YES;
  }
  if (!ex.dispatched_) {
    ex.dispatched_ = true;
    self->handler_(ex.request_, holder->exchange);
  }
  if (ex.state_ == HttpExchange::State::kPending) {
    ex.suspended_ = true;
    MHD_suspend_connection(connection);
    return MHD_YES;
  }
  return self->QueueAnswer(ex);
}

MHD_Result HttpServer::QueueAnswer(HttpExchange& ex) {
  if (ex.answer_queued_) return MHD_YES;
  ex.answer_queued_ = true;
  MHD_Response* response;
  if (ex.state_ == HttpExchange::State::kComplete) {
    response = MHD_create_response_from_buffer(ex.body_.size(), ex.body_.data(),
                                               MHD_RESPMEM_MUST_COPY);
  } else {
    response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, kStreamBlock,
                                                 &ReadStream, &ex, nullptr);
  }
  AddHeaders(response, ex.headers_);
  MHD_Result ret = MHD_queue_response(
      ex.connection_, static_cast<unsigned>(ex.status_), response);
  MHD_destroy_response(response);
  return ret;
}

ssize_t HttpServer::ReadStream(void* cls, uint64_t, char* buf, size_t max) {
  auto* ex = static_cast<HttpExchange*>(cls);
  if (ex->aborted_) return MHD_CONTENT_READER_END_WITH_ERROR;
  if (!ex->body_.empty()) {
    size_t n = std::min(max, ex->body_.size());
    std::copy_n(ex->body_.data(), n, buf);
    ex->body_.erase(0, n);
    return static_cast<ssize_t>(n);
  }
  if (ex->finished_) return MHD_CONTENT_READER_END_OF_STREAM;
  // Nothing to send yet. Suspend the connection until Write() or FinishStream()
  // resumes it; otherwise MHD would call this function in a busy loop.
  ex->suspended_ = true;
  MHD_suspend_connection(ex->connection_);
  return 0;
}

void HttpServer::OnCompleted(void* cls, MHD_Connection*, void** con_cls,
                             MHD_RequestTerminationCode) {
  auto* self = static_cast<HttpServer*>(cls);
  auto* holder = static_cast<ExchangeHolder*>(*con_cls);
  if (!holder) return;
  std::shared_ptr<HttpExchange> ex = std::move(holder->exchange);
  delete holder;
  *con_cls = nullptr;
  --self->open_requests_;
  bool unfinished = !ex->finished_ || !ex->body_.empty();
  ex->closed_ = true;
  ex->connection_ = nullptr;
  ex->server_ = nullptr;
  if (unfinished && ex->on_close_) ex->on_close_();
}

void HttpServer::RunDaemon() {
  MHD_run(daemon_);
  MHD_UNSIGNED_LONG_LONG ms = 0;
  ev_timer_stop(loop_, &timer_);
  if (MHD_get_timeout(daemon_, &ms) == MHD_YES) {
    ev_timer_set(&timer_, static_cast<double>(ms) / 1000.0, 0.);
    ev_timer_start(loop_, &timer_);
  }
}

void HttpServer::ScheduleDaemonRun() {
  if (!daemon_) return;
  ev_timer_stop(loop_, &timer_);
  ev_timer_set(&timer_, 0., 0.);
  ev_timer_start(loop_, &timer_);
}

void HttpServer::OnIo(struct ev_loop*, ev_io* w, int) {
  static_cast<HttpServer*>(w->data)->RunDaemon();
}

void HttpServer::OnDaemonTimeout(struct ev_loop*, ev_timer* w, int) {
  static_cast<HttpServer*>(w->data)->RunDaemon();
}

}  // namespace medlarwalk
