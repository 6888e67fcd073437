#include "caller_server.h"

#include <sys/resource.h>

#include <algorithm>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "log.h"
#include "loop_order.h"

namespace medlarwalk {
namespace {

// How often idle and slow callers are looked for.
constexpr double kSweepSeconds = 0.25;
// A caller that still sends after its request was refused is read no longer
// than this many bytes.
constexpr size_t kMaxPipelined = 1 << 20;
// A connection idle for less is not closed to make room: its first request, or
// the next one, may just be on its way.
constexpr Millis kLeastIdle(20);
// While newcomers wait, how often room is looked for.
constexpr double kRoomSeconds = 0.025;
// Of those that may be closed, this part goes at once: looking through all
// connections for each newcomer would cost more than the newcomers.
constexpr size_t kClosedAtOnce = 8;
// Descriptors for links, listeners, logs and files.
constexpr size_t kOwnDescriptors = 100;

}  // namespace

// One caller's connection: reads a request, waits for its answer, goes on.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(CallerServer* server, std::shared_ptr<TcpConnection> tcp)
      : server_(server),
        tcp_(std::move(tcp)),
        parser_(Http1Parser::Kind::kRequest, server->limits_.header_bytes,
                server->limits_.body_bytes,
                MessageSink{[this](MessageHead h) { OnHead(std::move(h)); },
                            [this](absl::string_view d) {
                              exchange_->body.append(d.data(), d.size());
                            },
                            [this] { request_done_ = true; }}),
        since_(server->clock_.Now()) {}

  void Start() {
    TcpEvents e;
    e.on_data = [this](absl::string_view d) { shared_from_this()->OnData(d); };
    e.on_closed = [this](absl::Status) { shared_from_this()->Drop(); };
    e.on_drained = [this] {
      auto self = shared_from_this();
      if (exchange_ && exchange_->on_drained_) exchange_->on_drained_();
    };
    tcp_->set_events(std::move(e));
  }

  // The caller left or the connection failed.
  void Drop() {
    auto self = shared_from_this();
    auto ex = std::move(exchange_);
    tcp_->Close();
    server_->connections_.erase(this);
    if (!ex) return;
    ex->connection_ = nullptr;
    auto f = std::move(ex->on_gone_);
    ex->on_drained_ = nullptr;
    if (answering_ && f) f();
  }

  void Send(absl::string_view data) { tcp_->Write(data); }
  size_t unsent() const { return tcp_->unsent(); }

  // The answer is complete.
  void AnswerDone() {
    auto self = shared_from_this();
    DetachExchange();
    answering_ = false;
    since_ = server_->clock_.Now();
    if (close_after_) {
      server_->connections_.erase(this);
      tcp_->CloseAfterWrites();
      if (tcp_->open()) Linger();
      return;
    }
    NextRequest();
    // Pipelined bytes are parsed from the loop, not from inside the answer.
    if (!in_.empty()) Parse();
  }

  // Ends the connection now, whatever was promised.
  void Abort() {
    auto self = shared_from_this();
    // Without a length an orderly close would say that the answer is whole.
    bool reset = exchange_ && exchange_->started_ && !exchange_->chunked_;
    DetachExchange();
    server_->connections_.erase(this);
    if (reset) {
      tcp_->Reset();
      return;
    }
    tcp_->CloseAfterWrites();
    if (tcp_->open()) Linger();
  }

  bool busy() const { return answering_ || parser_.started(); }
  TimePoint since() const { return since_; }
  bool has_unread() const { return tcp_->HasUnread(); }
  bool keep_open() const { return !close_after_; }
  void MarkClose() { close_after_ = true; }
  bool server_closing() const { return server_->closing_; }

  // Closes what is idle or slow past its limit.
  void Sweep(TimePoint now) {
    if (answering_) return;
    Duration limit = parser_.started() ? server_->limits_.header_timeout
                                       : server_->limits_.idle_timeout;
    // A body may take longer than a head, as long as it moves.
    if (now - since_ > limit) Drop();
  }
  void CloseIfIdle() {
    if (!busy()) Drop();
  }

 private:
  void NextRequest() {
    parser_.Reset();
    request_done_ = false;
  }

  void DetachExchange() {
    if (!exchange_) return;
    exchange_->connection_ = nullptr;
    exchange_->on_gone_ = nullptr;
    exchange_->on_drained_ = nullptr;
    exchange_.reset();
  }

  // Keeps the socket until its buffer is written.
  void Linger() {
    auto keep = tcp_;
    TcpEvents e;
    e.on_drained = [keep]() mutable { keep.reset(); };
    tcp_->set_events(std::move(e));
  }

  void OnHead(MessageHead head) {
    exchange_ = std::make_shared<CallerExchange>();
    if (!head.keep_alive) close_after_ = true;
    exchange_->bodyless_ = head.method == "HEAD";
    exchange_->chunked_ = head.reads_chunks;
    const std::string* expect = head.Find("Expect");
    if (expect && absl::EqualsIgnoreCase(*expect, "100-continue")) {
      tcp_->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    exchange_->head = std::move(head);
  }

  void OnData(absl::string_view data) {
    if (!answering_) since_ = server_->clock_.Now();
    in_.append(data.data(), data.size());
    if (!answering_) {
      Parse();
    } else if (in_.size() > kMaxPipelined) {
      Drop();
    }
  }

  void Parse() {
    absl::Status s = parser_.Feed(&in_);
    if (!s.ok()) {
      Refuse(absl::IsResourceExhausted(s) ? (parser_.head_done() ? 413 : 431)
                                          : 400);
      return;
    }
    if (!request_done_) return;
    // Two ways to say where the body ends are a way to smuggle a request.
    if (exchange_->head.Count("Content-Length") > 1 ||
        exchange_->head.Count("Host") > 1) {
      Refuse(400);
      return;
    }
    answering_ = true;
    exchange_->connection_ = this;
    exchange_->arrived = server_->clock_.Now();
    auto ex = exchange_;
    server_->handler_(ex);
  }

  void Refuse(int status) {
    close_after_ = true;
    std::string out =
        absl::StrCat("HTTP/1.1 ", status, " ", ReasonPhrase(status),
                     "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    tcp_->Write(out);
    answering_ = false;
    AnswerDone();
  }

  CallerServer* server_;
  std::shared_ptr<TcpConnection> tcp_;
  Http1Parser parser_;
  std::string in_;
  std::shared_ptr<CallerExchange> exchange_;
  bool request_done_ = false;
  bool answering_ = false;
  bool close_after_ = false;
  TimePoint since_;
};

void CallerExchange::SendHead(int status, absl::string_view reason,
                              const HeaderList& headers,
                              absl::string_view framing) {
  if (connection_->server_closing()) connection_->MarkClose();
  if (reason.empty()) reason = ReasonPhrase(status);
  std::string out = absl::StrCat("HTTP/1.1 ", status, " ", reason, "\r\n");
  for (const auto& [k, v] : headers) AppendHeader(&out, k, v);
  absl::StrAppend(&out, framing);
  if (!connection_->keep_open()) AppendHeader(&out, "Connection", "close");
  absl::StrAppend(&out, "\r\n");
  started_ = true;
  connection_->Send(out);
}

void CallerExchange::Respond(int status, const HeaderList& headers,
                             absl::string_view body) {
  if (gone() || started_) return;
  if (connection_->server_closing()) connection_->MarkClose();
  std::string out =
      absl::StrCat("HTTP/1.1 ", status, " ", ReasonPhrase(status), "\r\n");
  for (const auto& [k, v] : headers) AppendHeader(&out, k, v);
  if (status != 204 && status != 304) {
    AppendHeader(&out, "Content-Length", absl::StrCat(body.size()));
  }
  if (!connection_->keep_open()) AppendHeader(&out, "Connection", "close");
  absl::StrAppend(&out, "\r\n");
  if (!bodyless_ && status != 204 && status != 304) {
    absl::StrAppend(&out, body);
  }
  started_ = true;
  connection_->Send(out);
  connection_->AnswerDone();
}

void CallerExchange::StartAnswer(int status, absl::string_view reason,
                                 const HeaderList& headers) {
  if (gone() || started_) return;
  if (!chunked_) connection_->MarkClose();
  SendHead(status, reason, headers,
           chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
}

void CallerExchange::EndWithConnection() { chunked_ = false; }

void CallerExchange::Write(absl::string_view data) {
  if (gone() || data.empty() || bodyless_) return;
  if (!chunked_) {
    connection_->Send(data);
    return;
  }
  connection_->Send(absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n"));
}

void CallerExchange::Finish() {
  if (gone()) return;
  if (!bodyless_ && chunked_) connection_->Send("0\r\n\r\n");
  connection_->AnswerDone();
}

void CallerExchange::Abort() {
  if (gone()) return;
  connection_->Abort();
}

size_t CallerExchange::unsent() const {
  return gone() ? 0 : connection_->unsent();
}

size_t CallersFor(size_t descriptors) {
  return descriptors > 2 * kOwnDescriptors ? (descriptors - kOwnDescriptors) / 2
                                           : descriptors / 4;
}

size_t DescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<size_t>(limit.rlim_cur);
}

CallerServer::CallerServer(struct ev_loop* loop, const Clock& clock,
                           Handler handler)
    : loop_(loop),
      clock_(clock),
      handler_(std::move(handler)),
      listener_(loop, [this](std::shared_ptr<TcpConnection> tcp) {
        auto c = std::make_shared<CallerConnection>(this, std::move(tcp));
        connections_[c.get()] = c;
        c->Start();
        MakeRoom();
      }) {
  InitTimer(&room_, OnRoom, kRoomSeconds, kRoomSeconds);
  room_.data = this;
  InitTimer(&sweep_, OnSweep, kSweepSeconds, kSweepSeconds);
  sweep_.data = this;
  ev_timer_start(loop_, &sweep_);
}

CallerServer::~CallerServer() {
  ev_timer_stop(loop_, &sweep_);
  ev_timer_stop(loop_, &room_);
}

absl::Status CallerServer::Listen(const Endpoint& at) {
  return listener_.Listen(at);
}

void CallerServer::StopAccepting() {
  closing_ = true;
  listener_.Stop();
  CloseIdle();
}

void CallerServer::CloseIdle() {
  std::vector<std::shared_ptr<CallerConnection>> all;
  for (auto& [p, c] : connections_) all.push_back(c);
  for (auto& c : all) c->CloseIfIdle();
}

std::vector<std::shared_ptr<CallerConnection>> CallerServer::Closable() const {
  std::vector<std::shared_ptr<CallerConnection>> out;
  TimePoint now = clock_.Now();
  for (const auto& [p, c] : connections_) {
    if (!c->busy() && now - c->since() >= kLeastIdle) out.push_back(c);
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return a->since() < b->since();
  });
  return out;
}

void CallerServer::MakeRoom() {
  bool room = connections_.size() < most_connections_;
  if (!room) {
    std::vector<std::shared_ptr<CallerConnection>> idle = Closable();
    size_t excess = connections_.size() - most_connections_;
    size_t closing =
        excess == 0 ? 0 : std::max(excess, idle.size() / kClosedAtOnce);
    size_t closed = 0;
    size_t left = idle.size();
    for (const auto& c : idle) {
      if (closed == closing) break;
      --left;
      if (c->has_unread()) continue;
      c->Drop();
      ++closed;
    }
    room = left > 0 || connections_.size() < most_connections_;
    if (!room && !ev_is_active(&room_)) {
      LogWarn("callers_wait", {{"connections", connections_.size()}});
    }
  }
  listener_.Pause(!room);
  if (room) {
    ev_timer_stop(loop_, &room_);
  } else {
    ev_timer_start(loop_, &room_);
  }
}

void CallerServer::OnRoom(struct ev_loop*, ev_timer* w, int) {
  static_cast<CallerServer*>(w->data)->MakeRoom();
}

int CallerServer::busy() const {
  int n = 0;
  for (const auto& [p, c] : connections_) n += c->busy();
  return n;
}

void CallerServer::OnSweep(struct ev_loop*, ev_timer* w, int) {
  auto* self = static_cast<CallerServer*>(w->data);
  TimePoint now = self->clock_.Now();
  std::vector<std::shared_ptr<CallerConnection>> all;
  for (auto& [p, c] : self->connections_) all.push_back(c);
  for (auto& c : all) c->Sweep(now);
}

}  // namespace medlarwalk
