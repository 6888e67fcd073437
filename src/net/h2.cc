#include "h2.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "absl/strings/str_cat.h"
#include "h2_connection.h"
#include "log.h"
#include "loop_order.h"

namespace medlarwalk {

namespace {

// Delay before a new connection attempt after a connection has failed. It
// prevents a rapid sequence of failing attempts while an agent is dead.
constexpr auto kReconnectBackoff = std::chrono::milliseconds(200);

// Time limits of a connection attempt: initial and largest. The initial limit
// is short, because a reachable host answers within a round trip.
// The limit doubles after each failure, because a round trip takes longer over
// a link where packets queue. With a limit below that round trip, no attempt
// would ever succeed, and the attempts would lengthen the queue.
constexpr auto kConnectTimeout = std::chrono::milliseconds(300);
constexpr auto kMaxConnectTimeout = std::chrono::milliseconds(1200);
// Number of times within the time limit of an attempt at which another socket
// sends a new first packet. A host that is just starting loses the earlier
// ones, and the kernel retransmits them only after a second.
constexpr int kFirstPacketsPerAttempt = 4;

}  // namespace

std::string H2Request::Header(const std::string& name) const {
  auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

void H2Stream::Respond(int status, const HeaderList& headers, Payload body) {
  if (closed_ || started_) return;
  started_ = true;
  finished_ = true;
  unsent_body_ = std::move(body);
  connection_->SubmitAnswer(*this, status, headers);
}

void H2Stream::StartStream(int status, const HeaderList& headers) {
  if (closed_ || started_) return;
  started_ = true;
  connection_->SubmitAnswer(*this, status, headers);
}

void H2Stream::Write(absl::string_view data) {
  if (closed_ || !started_ || finished_) return;
  unsent_body_.Append(data);
  connection_->ResumeAnswer(*this);
}

void H2Stream::FinishStream() {
  if (closed_ || finished_) return;
  finished_ = true;
  if (started_) connection_->ResumeAnswer(*this);
}

void H2Stream::Abort() {
  if (closed_ || finished_) return;
  finished_ = true;
  connection_->ResetStream(*this);
}

H2Server::H2Server(struct ev_loop* loop, H2Handler handler)
    : loop_(loop),
      handler_(std::move(handler)),
      acceptor_(
          loop, [this](int fd) { OnAccepted(fd); }, kLinkPriority) {}

H2Server::~H2Server() {
  acceptor_.Stop();
  for (auto& [p, c] : connections_) c->DropServerStreams();
}

absl::Status H2Server::Listen(const std::string& address, int port) {
  return acceptor_.Listen(Endpoint{address, port});
}

void H2Server::StopAccepting() {
  // A peer whose connection waits in the backlog may have sent requests; only a
  // GOAWAY tells it that they were not processed.
  acceptor_.AcceptPending();
  acceptor_.Stop();
  for (auto& [p, c] : connections_) c->SendGoAway();
}

int H2Server::open_streams() const {
  int n = 0;
  for (const auto& [p, c] : connections_) n += c->open_streams();
  return n;
}

size_t H2Server::queued_bytes() const {
  size_t n = 0;
  for (const auto& [p, c] : connections_) n += c->queued_bytes();
  return n;
}

size_t H2Server::unacknowledged_bytes() const {
  size_t n = 0;
  for (const auto& [p, c] : connections_) n += c->unacknowledged_bytes();
  return n;
}

void H2Server::OnAccepted(int fd) {
  PrepareConnection(fd);
  auto c = std::make_unique<H2Connection>(loop_, fd, this, nullptr, false);
  H2Connection* p = c.get();
  connections_[p] = std::move(c);
  p->Flush();
}

void H2Server::RemoveConnection(H2Connection* c) { connections_.erase(c); }

H2Client::H2Client(struct ev_loop* loop, const Clock& clock,
                   std::string address, int port, Millis ping_interval,
                   Millis ping_timeout, Millis max_silence)
    : loop_(loop),
      clock_(clock),
      poll_clock_(loop, clock),
      address_(std::move(address)),
      port_(port),
      initial_connect_timeout_(std::min<Millis>(ping_timeout, kConnectTimeout)),
      connect_timeout_(initial_connect_timeout_),
      ping_interval_(ping_interval),
      ping_timeout_(ping_timeout),
      max_silence_(std::max(ping_timeout, max_silence)) {
  double tick =
      std::chrono::duration<double>(std::min(ping_interval_, ping_timeout_))
          .count() /
      4;
  InitTimer(&ping_timer_, OnPingTimer, tick, tick);
  ping_timer_.data = this;
  ev_timer_start(loop_, &ping_timer_);
}

H2Client::~H2Client() {
  ev_timer_stop(loop_, &ping_timer_);
  auto connections = std::move(retired_connections_);
  retired_connections_.clear();
  if (connection_) connections.push_back({std::move(connection_), {}, false});
  for (auto& r : connections) {
    r.connection->FailAllCalls(absl::CancelledError("client closed"));
  }
}

int H2Client::OpenSocket(bool* connecting) const {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  PrepareConnection(fd);
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons(static_cast<uint16_t>(port_));
  inet_pton(AF_INET, address_.c_str(), &addr.sin_addr);
  int rc = connect(fd, reinterpret_cast<sockaddr*>(&addr), sizeof(addr));
  *connecting = rc != 0;
  return fd;
}

bool H2Client::Connect() {
  bool connecting = false;
  int fd = OpenSocket(&connecting);
  if (fd < 0) {
    if (!suspect_) {
      LogWarn("no_socket", {{"peer", absl::StrCat(address_, ":", port_)},
                            {"why", std::strerror(errno)}});
    }
    last_failure_ = clock_.Now();
    suspect_ = true;
    return false;
  }
  connection_ =
      std::make_unique<H2Connection>(loop_, fd, nullptr, this, connecting);
  connection_->set_ping_sent_at(clock_.Now());
  connection_->set_opened_at(clock_.Now());
  return true;
}

int32_t H2Client::Submit(H2Call call) {
  if (connection_ && !connection_->request_allowed()) {
    // The peer sent GOAWAY: open streams finish on the old connection, and new
    // streams use a new one.
    retired_connections_.push_back({std::move(connection_), {}, true});
  }
  if (!connection_ && !Connect()) {
    if (call.on_close) {
      call.on_close(absl::UnavailableError("no socket"), true);
    }
    return 0;
  }
  int32_t handle = ++next_handle_;
  auto on_close = [this, handle, f = std::move(call.on_close)](
                      const absl::Status& status, bool never_sent) {
    streams_.erase(handle);
    if (f) f(status, never_sent);
  };
  call.on_close = on_close;
  streams_[handle] = {connection_.get(), 0};
  int32_t id = connection_->Submit(std::move(call));
  if (id == 0) {
    on_close(absl::UnavailableError("cannot open stream"), true);
    return 0;
  }
  auto it = streams_.find(handle);
  if (it != streams_.end()) it->second.id = id;
  return handle;
}

void H2Client::Cancel(int32_t handle) {
  auto it = streams_.find(handle);
  if (it == streams_.end()) return;
  StreamLocation at = it->second;
  streams_.erase(it);
  at.connection->Cancel(at.id);
}

bool H2Client::IsSilent() const {
  TimePoint now = poll_clock_.Now();
  return connection_ && now - connection_->SilentSince(now) > ping_timeout_;
}

bool H2Client::healthy() const {
  return connection_ && connection_->connected() && !IsSilent();
}

bool H2Client::usable() const { return !suspect_ && !IsSilent(); }

void H2Client::OnPeerAlive() {
  if (connection_ && connection_->connected()) return;
  suspect_ = false;
  if (!connection_) {
    Connect();
    return;
  }
  bool connecting = false;
  int fd = OpenSocket(&connecting);
  if (fd >= 0) connection_->SetSecondAttempt(fd, clock_.Now());
}

int H2Client::open_streams() const {
  return connection_ ? connection_->open_streams() : 0;
}

size_t H2Client::queued_bytes() const {
  return connection_ ? connection_->queued_bytes() : 0;
}

// Sends pings on schedule and replaces the connection when the peer does not
// answer within the timeout. Without pings, a connection that failed silently
// would look open forever.
void H2Client::OnPingTimer(struct ev_loop*, ev_timer* w, int) {
  auto* self = static_cast<H2Client*>(w->data);
  TimePoint now = self->poll_clock_.Now();
  self->CloseRetiredConnections(now);
  if (self->suspect_ && !self->connection_ &&
      now - *self->last_failure_ >= kReconnectBackoff) {
    // Probe the peer with a new connection that sends its first PING
    // immediately.
    if (!self->Connect()) return;
    self->connection_->set_ping_sent_at(now - self->ping_interval_);
  }
  H2Connection* c = self->connection_.get();
  if (!c) return;
  if (!c->connected()) {
    // Gives up the attempt after a time limit: a host without power or behind a
    // network partition never answers.
    if (now - c->opened_at() > self->connect_timeout_) {
      self->connect_timeout_ =
          std::min<Millis>(2 * self->connect_timeout_, kMaxConnectTimeout);
      self->AbandonConnect();
    } else if (now - c->last_attempt_at() >=
               self->connect_timeout_ / kFirstPacketsPerAttempt) {
      bool connecting = false;
      int fd = self->OpenSocket(&connecting);
      if (fd >= 0) c->SetSecondAttempt(fd, self->clock_.Now());
    }
    return;
  }
  self->connect_timeout_ = self->initial_connect_timeout_;
  if (self->IsSilent()) {
    self->RetireSilentConnection();
  } else {
    self->PingIfDue(*c, now);
  }
}

void H2Client::PingIfDue(H2Connection& c, TimePoint now) {
  if (c.ping_outstanding() || now - c.ping_sent_at() < ping_interval_) return;
  c.set_ping_sent_at(clock_.Now());
  c.SendPing();
}

void H2Client::RecordSilence(absl::string_view why) {
  ++dead_connections_;
  last_failure_ = clock_.Now();
  // Log the loss of a connection once, and not each failed probe that follows.
  if (!suspect_) {
    LogWarn("connection_silent",
            {{"peer", absl::StrCat(address_, ":", port_)},
             {"why", why},
             {"calls", connection_->open_streams()},
             {"unread_ms", ToMs(clock_.Now() - poll_clock_.Now())}});
  }
  suspect_ = true;
}

void H2Client::RetireSilentConnection() {
  RecordSilence("ping unanswered");
  retired_connections_.push_back({std::move(connection_), {}, false});
  CloseRetiredConnections(poll_clock_.Now());
}

void H2Client::AbandonConnect() {
  RecordSilence("connect timed out");
  auto abandoned = std::move(connection_);
  abandoned->FailAllCalls(absl::UnavailableError("connect timed out"));
}

void H2Client::OnPingAnswered(H2Connection* c) {
  suspect_ = false;
  for (RetiredConnection& r : retired_connections_) {
    if (r.connection.get() != c && !r.draining && !r.peer_answered_at)
      r.peer_answered_at = poll_clock_.Now();
  }
}

bool H2Client::IsLost(RetiredConnection& r, TimePoint now) const {
  TimePoint silent_since = r.connection->SilentSince(now);
  if (r.peer_answered_at && *r.peer_answered_at <= silent_since)
    r.peer_answered_at.reset();
  return now - silent_since > max_silence_ ||
         (r.peer_answered_at && now - *r.peer_answered_at > ping_timeout_);
}

void H2Client::CloseRetiredConnections(TimePoint now) {
  std::vector<RetiredConnection> kept;
  std::vector<RetiredConnection> lost;
  for (RetiredConnection& r : retired_connections_) {
    if (r.connection->open_streams() == 0) continue;
    PingIfDue(*r.connection, now);
    (IsLost(r, now) ? lost : kept).push_back(std::move(r));
  }
  retired_connections_ = std::move(kept);
  for (RetiredConnection& r : lost) {
    LogWarn("connection_lost", {{"peer", absl::StrCat(address_, ":", port_)},
                                {"calls", r.connection->open_streams()},
                                {"peer_answers", r.peer_answered_at ? 1 : 0}});
    r.connection->FailAllCalls(absl::UnavailableError("ping unanswered"));
  }
}

void H2Client::OnConnectionLost(H2Connection* c) {
  for (auto it = retired_connections_.begin(); it != retired_connections_.end();
       ++it) {
    if (it->connection.get() != c) continue;
    auto dead = std::move(it->connection);
    retired_connections_.erase(it);
    dead->FailAllCalls(absl::UnavailableError("connection lost"));
    return;
  }
  if (connection_.get() != c) return;
  last_failure_ = clock_.Now();
  suspect_ = true;
  auto dead = std::move(connection_);
  dead->FailAllCalls(absl::UnavailableError("connection lost"));
}

}  // namespace medlarwalk
