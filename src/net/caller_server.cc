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

// Interval of the check for idle and slow callers, in seconds.
constexpr double kTimeoutCheckSeconds = 0.25;
// Bytes that are buffered of what a caller sends ahead while its previous
// request is being answered. The rest is read after the answer.
constexpr size_t kMaxUnparsedBytes = 1 << 20;
// Minimum idle time before a connection may be closed for others' room or at a
// stop. If it became idle more recently, its first or next request may already
// be in transit.
constexpr Millis kMinIdle(20);
// Interval of eviction attempts while new callers wait, in seconds.
constexpr double kEvictionSeconds = 0.025;
// Time after its beginning at which an unfinished request may be given up for
// others' room, if no connection is idle.
constexpr Millis kMinUnfinished(1000);
// One eviction closes at least 1/kEvictOneIn of the evictable connections,
// because scanning all connections for each new caller would cost more than
// serving the callers.
constexpr size_t kEvictOneIn = 8;
// Time without bytes of the caller for which a connection stays open after its
// last answer, unless the caller closes it. A close with unread bytes resets
// the connection, and so do bytes that arrive after a close; the reset may
// overtake the answer.
constexpr Millis kLastAnswerLinger(1000);
// Time after its last answer at which a caller that sends on is closed.
constexpr Millis kMaxLastAnswerLinger(10'000);
// Time without progress after which a caller counts as one that does not read
// its answer. Slow readers take bytes in steps of half a socket buffer.
constexpr Duration kUnreadTimeout = Millis(2500);
// Time without progress after which a caller's answer may be given up if the
// answers of all callers take too much memory: several round trips.
constexpr Duration kMinUnreadTime = Millis(100);
// Multiple of the limit of unsent bytes beyond which kMinUnreadTime does not
// count: many answers may be complete within it.
constexpr size_t kMaxUnsentFactor = 2;
// Unsent bytes of an answer from which it is checked at once whether all take
// too much memory.
constexpr size_t kLargeUnsentBytes = size_t{64} * 1024;
// Time after which a caller whose request found no memory may return.
constexpr absl::string_view kRetryAfterSeconds = "1";
// Limits of a server of probes and metrics. Its connections are part of the
// reserved descriptors.
constexpr uint64_t kMaxProbeBodyBytes = uint64_t{64} * 1024;
constexpr size_t kMaxProbeRequestBytes = size_t{1} << 20;
constexpr size_t kMaxProbeConnections = 24;
// Descriptors reserved for links, listeners, logs and files.
constexpr size_t kReservedDescriptors = 100;

// Returns the HTTP status that answers a request that Http1Parser refuses with
// `s`.
int StatusOfParseError(const absl::Status& s) {
  if (absl::IsResourceExhausted(s)) return 431;
  return absl::IsOutOfRange(s) ? 413 : 400;
}

}  // namespace

// One caller's connection. It reads a request, waits until the request is
// answered, then reads the next request.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(CallerServer* server, std::shared_ptr<TcpConnection> tcp)
      : server_(server),
        tcp_(std::move(tcp)),
        parser_(
            Http1Parser::Kind::kRequest, server->limits_.header_bytes,
            server->limits_.body_bytes,
            MessageSink{[this](MessageHead h) { OnRequestHead(std::move(h)); },
                        [this](absl::string_view d) { AppendBody(d); },
                        [this] { request_done_ = true; }}),
        last_activity_(server->clock_.Now()),
        limits_(server->limits_) {}

  void Start() {
    TcpEvents e;
    e.on_data = [this](absl::string_view d) { shared_from_this()->OnData(d); };
    e.on_closed = [this](absl::Status) { shared_from_this()->Disconnect(); };
    e.on_drained = [this] {
      auto self = shared_from_this();
      if (ending()) last_activity_ = ended_at_ = server_->clock_.Now();
      if (exchange_ && exchange_->on_drained_) exchange_->on_drained_();
      if (may_parse()) ContinueParsing();
    };
    tcp_->set_events(std::move(e));
  }

  // Closes the connection and notifies the handler of a request in progress.
  // Called when the caller disconnected, the connection failed or the server
  // gives up the connection.
  void Disconnect() {
    auto self = shared_from_this();
    auto ex = std::move(exchange_);
    tcp_->Close();
    server_->connections_.erase(this);
    CountHeldBytes(0);
    if (!ex) return;
    ex->connection_ = nullptr;
    auto f = std::move(ex->on_disconnect_);
    ex->on_drained_ = nullptr;
    if (answering_ && f) f();
  }

  // Closes the connection because of `why`, a decision of this process. Logs it
  // if a request or an answer may be lost with it.
  void GiveUp(absl::string_view why) {
    bool unread = has_unread();
    bool undelivered = undelivered_bytes() > 0;
    if (answering_ || reading() || unread || undelivered || discarded_ > 0) {
      LogWarn("caller_given_up", {{"why", why},
                                  {"answering", answering_ ? 1 : 0},
                                  {"reading", reading() ? 1 : 0},
                                  {"unread", unread ? 1 : 0},
                                  {"unsent", unsent()},
                                  {"unacked", tcp_->unacknowledged()},
                                  {"discarded", discarded_},
                                  {"answered_before", answered_}});
    }
    Disconnect();
  }

  // Closes the connection without a callback: its server is being destroyed.
  void Drop() {
    DetachExchange();
    // A close with unread bytes would take the answer with it. Where there is
    // none, the reset tells the caller that its request was not read.
    if (undelivered_bytes() > 0) tcp_->DiscardReceived();
    tcp_->Close();
  }

  void Send(absl::string_view data) { tcp_->Write(data); }
  // Sends a whole answer; what is not sent at once is not copied.
  void SendWhole(std::string answer) {
    tcp_->Write(std::make_shared<const std::string>(std::move(answer)));
  }
  size_t unsent() const { return tcp_->unsent(); }
  // Returns the bytes of answers that the caller's host has not acknowledged.
  size_t undelivered_bytes() const {
    return tcp_->unsent() + tcp_->unacknowledged();
  }

  // Closes the connection or prepares it for the next request after a complete
  // answer.
  void OnAnswerDone() {
    auto self = shared_from_this();
    DetachExchange();
    RecordProgress();
    answering_ = false;
    ++answered_;
    last_activity_ = server_->clock_.Now();
    limits_ = server_->limits_;
    if (unsent() >= kLargeUnsentBytes) server_->LimitUnsentBytes();
    if (!tcp_->open()) return;
    if (close_after_) {
      last_answer_done_ = true;
      ended_at_ = last_activity_;
      ReleaseUnparsed();
      UpdateReadPaused();
      UpdateHeldBytes();
      tcp_->ShutdownAfterWrites();
      return;
    }
    PrepareForNextRequest();
    ContinueParsing();
  }

  // Ends the connection before the end of the answer, as after a last answer:
  // the caller may not have read a whole answer before it.
  void Abort() {
    auto self = shared_from_this();
    // Resets the connection if the answer was begun without a length. After an
    // orderly close, the interrupted answer would look complete.
    bool reset = exchange_ && exchange_->started_ && !exchange_->chunked_;
    DetachExchange();
    if (reset) {
      server_->connections_.erase(this);
      CountHeldBytes(0);
      tcp_->CloseWithReset();
      return;
    }
    RecordProgress();
    answering_ = false;
    close_after_ = last_answer_done_ = true;
    ended_at_ = last_activity_ = server_->clock_.Now();
    ReleaseUnparsed();
    UpdateReadPaused();
    UpdateHeldBytes();
    tcp_->ShutdownAfterWrites();
  }

  // Counts what this connection holds in the server's sum.
  void UpdateHeldBytes() {
    if (!tcp_->open()) return;
    size_t bytes = AheadBytes();
    if (!ending() && parser_.started()) bytes += parser_.head_bytes();
    if (exchange_) bytes += exchange_->body.capacity();
    CountHeldBytes(bytes);
  }
  // Returns the memory that this caller's requests take, in bytes, as counted
  // in the server's sum.
  size_t held_bytes() const { return held_bytes_; }
  // Returns the part of held_bytes() of a complete request.
  size_t complete_bytes() const {
    return answering_ ? held_bytes_ - std::min(held_bytes_, AheadBytes()) : 0;
  }
  // Returns what can be refused or dropped now: a request that is being read,
  // or what was sent ahead of one that is being answered.
  HeldRequest Refusable(TimePoint now) const {
    size_t bytes = answering_ ? AheadBytes() : held_bytes_;
    return {ending() ? 0 : bytes, now - last_received_at_};
  }
  // Gives up what Refusable() counts. A request that is being answered goes on;
  // what was sent after it is discarded, and its connection then closes.
  void RefuseForMemory() {
    if (!answering_) {
      Refuse(503, "no memory for the request");
      return;
    }
    LogWarn("sent_ahead_dropped", {{"bytes", unparsed_.size()}});
    close_after_ = drops_ahead_ = true;
    ReleaseUnparsed();
    UpdateReadPaused();
    UpdateHeldBytes();
  }

  // Returns whether a request is being read or answered, or the caller is still
  // reading an answer.
  bool busy() {
    if (answering_ || reading()) return true;
    RecordProgress();
    return unsent() > 0 &&
           server_->poll_clock_.Now() - progress_at_ <= kUnreadTimeout;
  }
  // Returns the time for which the caller has read nothing of its complete
  // answer; zero if the answer is being made or has been read.
  Duration UnreadTime() {
    if (!unread()) return Duration::zero();
    RecordProgress();
    return std::max(Duration::zero(),
                    server_->poll_clock_.Now() - progress_at_);
  }
  // Returns whether the caller has not read all of a complete answer.
  bool unread() const { return !answering_ && unsent() > 0; }
  // Returns when the request that is being read began to arrive.
  TimePoint request_began_at() const { return head_started_at_; }
  // Returns whether a request is being read.
  bool reading() const { return parser_.started() && !answering_ && !ending(); }
  bool caller_left() const { return tcp_->PeerClosed(); }
  TimePoint last_activity() const { return last_activity_; }
  bool has_unread() const { return tcp_->HasUnreadData(); }
  // Returns whether received bytes wait to be read as a request.
  bool has_unread_request() const { return !ending() && has_unread(); }
  bool keeps_open() const { return !close_after_; }
  void CloseAfterThisAnswer() { close_after_ = true; }
  // Returns whether the server plans to stop and the caller waits for no
  // further answer.
  bool ClosesAfterThisAnswer() const {
    return server_->closing_after_answers_ && !has_buffered_request();
  }

  // Closes the connection if a request head has not arrived within
  // header_timeout of its first byte, if no byte of a request body has arrived
  // within header_timeout, or if no request has begun within idle_timeout of
  // the last answer. `now` is the time up to which input has been read.
  void CloseIfTimedOut(TimePoint now) {
    if (answering_) {
      // The loop reports no end of a connection that is not being read.
      if (read_paused_ && tcp_->PeerClosed()) Disconnect();
      return;
    }
    if (unsent() > 0) {
      RecordProgress();
      if (now - progress_at_ > std::max(idle_timeout(), kUnreadTimeout))
        GiveUp("answer unread");
      return;
    }
    if (ending()) {
      Duration linger = sends_on() ? header_timeout() : kLastAnswerLinger;
      if (now - last_activity_ > linger ||
          now - ended_at_ > kMaxLastAnswerLinger)
        GiveUp(refused_ ? "refused" : "last answer sent");
      return;
    }
    Duration limit = parser_.started() ? header_timeout() : idle_timeout();
    // A body may take longer than the timeout as long as data keeps arriving.
    bool reading_head = parser_.started() && !parser_.head_done();
    TimePoint since = reading_head ? head_started_at_ : last_activity_;
    if (now - since > limit && !has_unread_request())
      GiveUp(parser_.started() ? "request incomplete" : "idle");
  }
  void CloseIfIdle() {
    if (server_->clock_.Now() - last_activity_ < kMinIdle) return;
    if (!busy() && !lingers() && !delivering() && !has_unread_request())
      GiveUp("draining");
  }
  // Returns whether the last answer is sent and the caller, which may still be
  // sending, has not closed the connection.
  bool lingers() const { return ending() && unsent() == 0; }
  // Returns whether the caller has gone on sending after its last answer. What
  // a refused caller sends is no reason to wait for it.
  bool sends_on() const { return ending() && !refused_ && discarded_ > 0; }
  // Returns whether the caller's host has not acknowledged an answer that was
  // sent a short time ago. If a request crossed the close of the connection,
  // the reset that follows would overtake the answer.
  bool delivering() const {
    return server_->clock_.Now() - last_activity_ <= kUnreadTimeout &&
           tcp_->unacknowledged() > 0;
  }

 private:
  // Returns whether bytes of a request that was sent ahead have been read.
  // Blank lines between requests are none.
  bool has_buffered_request() const {
    return unparsed_.find_first_not_of("\r\n") != std::string::npos;
  }
  // Returns whether the last answer is complete. The caller's bytes are read
  // and discarded until it closes the connection.
  bool ending() const { return last_answer_done_ || refused_; }
  // A shorter timeout does not apply to a wait that has begun: the caller may
  // still rely on the longer one.
  Duration header_timeout() const {
    return std::max(limits_.header_timeout, server_->limits_.header_timeout);
  }
  Duration idle_timeout() const {
    return std::max(limits_.idle_timeout, server_->limits_.idle_timeout);
  }

  // Records that the caller has read a part of its answer, if it has.
  void RecordProgress() {
    size_t n = unsent();
    if (n < unsent_before_ || answering_) progress_at_ = server_->clock_.Now();
    unsent_before_ = n;
  }

  void PrepareForNextRequest() {
    parser_.PrepareForNextMessage();
    request_done_ = false;
  }

  void DetachExchange() {
    if (!exchange_) return;
    exchange_->connection_ = nullptr;
    exchange_->on_disconnect_ = nullptr;
    exchange_->on_drained_ = nullptr;
    exchange_.reset();
  }

  void OnRequestHead(MessageHead head) {
    exchange_ = std::make_shared<CallerExchange>();
    if (!head.keep_alive) close_after_ = true;
    exchange_->bodyless_ = head.method == "HEAD";
    exchange_->chunked_ = head.accepts_chunked;
    const std::string* expect = head.Find("Expect");
    if (expect && absl::EqualsIgnoreCase(*expect, "100-continue")) {
      tcp_->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    exchange_->head = std::move(head);
  }

  void OnData(absl::string_view data) {
    if (ending()) {
      discarded_ += data.size();
      if (sends_on()) last_activity_ = server_->clock_.Now();
      return;
    }
    last_received_at_ = server_->clock_.Now();
    if (!answering_) last_activity_ = last_received_at_;
    if (drops_ahead_) return;
    unparsed_.append(data.data(), data.size());
    if (may_parse()) ParseBuffered();
    if (unparsed_.empty()) ReleaseUnparsed();
    UpdateReadPaused();
    if (!tcp_->open()) return;
    UpdateHeldBytes();
    server_->LimitRequestBytes();
  }

  void AppendBody(absl::string_view d) {
    std::string& body = exchange_->body;
    size_t size = body.size() + d.size();
    // Growth by doubling would take up to twice a length that is known.
    if (exchange_->head.content_length && size > body.capacity()) {
      body.reserve(std::min<size_t>(*exchange_->head.content_length,
                                    std::max(size, 2 * body.capacity())));
    }
    body.append(d.data(), d.size());
  }

  // Frees the buffer; clear() would keep its memory.
  void ReleaseUnparsed() { std::string().swap(unparsed_); }

  // Returns the bytes of what the caller sent after the request that is being
  // answered, in this process and, while reading is paused, in its socket.
  size_t AheadBytes() const {
    return unparsed_.capacity() + (read_paused_ ? tcp_->unread() : 0);
  }

  // Replaces this connection's part of the server's sum.
  void CountHeldBytes(size_t bytes) {
    server_->request_bytes_ += bytes - held_bytes_;
    held_bytes_ = bytes;
  }

  // Returns whether the next request may be read. The requests of a caller that
  // does not read its answers would otherwise add answers without end, and it
  // would always count as one that is being answered.
  bool may_parse() const {
    return !answering_ && !ending() && unsent() < kLargeUnsentBytes;
  }

  void ContinueParsing() {
    if (!unparsed_.empty()) ParseBuffered();
    UpdateReadPaused();
    UpdateHeldBytes();
  }

  // Stops reading while no request may be parsed and the buffer is full.
  void UpdateReadPaused() {
    read_paused_ =
        !may_parse() && !ending() && unparsed_.size() > kMaxUnparsedBytes;
    tcp_->SetReadPaused(read_paused_);
  }

  // Parses the buffered bytes and handles pipelined requests one after the
  // other. If a request is answered at once, this is called from within itself;
  // the outer call then handles the next request.
  void ParseBuffered() {
    if (parsing_) return;
    parsing_ = true;
    bool more = true;
    while (more && may_parse() && tcp_->open() && !unparsed_.empty()) {
      // The last request of a connection may arrive in several pieces: only its
      // end ends the parsing.
      more = ParseRequest() && !close_after_;
    }
    parsing_ = false;
  }

  void BeginRequest() {
    head_started_at_ = server_->clock_.Now();
    limits_ = server_->limits_;
    parser_.SetLimits(limits_.header_bytes, limits_.body_bytes);
  }

  // Returns whether a complete request was passed to the handler.
  bool ParseRequest() {
    if (!parser_.started()) BeginRequest();
    absl::Status s = parser_.Feed(&unparsed_);
    if (!s.ok()) {
      Refuse(StatusOfParseError(s), s.message());
      return false;
    }
    if (!request_done_) return false;
    if (!server_->MayPassOnRequest(exchange_->body.capacity() +
                                   parser_.head_bytes())) {
      Refuse(503, "no memory for the request");
      return false;
    }
    answering_ = true;
    exchange_->connection_ = this;
    exchange_->arrived = server_->clock_.Now();
    auto ex = exchange_;
    server_->handler_(ex);
    return true;
  }

  // Answers `status` to a request that has not been passed on, and from then on
  // discards what the caller sends.
  void Refuse(int status, absl::string_view reason) {
    LogWarn(status == 503 ? "request_refused" : "request_malformed",
            {{"status", status},
             {"reason", reason},
             {"held_bytes", held_bytes_},
             {"held_by_all", server_->request_bytes_},
             {"answered_before", answered_}});
    if (server_->on_refused_) server_->on_refused_(reason);
    std::string out =
        absl::StrCat("HTTP/1.1 ", status, " ", ReasonPhrase(status), "\r\n",
                     "Content-Length: 0\r\nConnection: close\r\n");
    if (status == 503) AppendHeader(&out, "Retry-After", kRetryAfterSeconds);
    tcp_->Write(absl::StrCat(out, "\r\n"));
    tcp_->ShutdownAfterWrites();
    DetachExchange();
    ReleaseUnparsed();
    parser_.Reset();
    close_after_ = refused_ = true;
    UpdateHeldBytes();
    progress_at_ = last_activity_ = ended_at_ = server_->clock_.Now();
    unsent_before_ = unsent();
  }

  CallerServer* server_;
  std::shared_ptr<TcpConnection> tcp_;
  Http1Parser parser_;
  std::string unparsed_;
  std::shared_ptr<CallerExchange> exchange_;
  bool request_done_ = false;
  bool answering_ = false;
  bool read_paused_ = false;
  bool parsing_ = false;  // ParseBuffered() is running.
  bool close_after_ = false;
  // A request was refused as malformed: no byte after it is read as a request.
  bool refused_ = false;
  int answered_ = 0;               // Requests answered on this connection.
  bool last_answer_done_ = false;  // No request is read any more.
  size_t discarded_ = 0;           // Bytes received while ending().
  bool drops_ahead_ = false;  // What is sent after this request is discarded.
  size_t held_bytes_ = 0;     // Counted in the server's sum.
  TimePoint last_received_at_{};
  size_t unsent_before_ = 0;  // unsent() at the last RecordProgress().
  TimePoint progress_at_{};   // When the caller last read a part.
  TimePoint last_activity_;
  TimePoint ended_at_{};         // When the last answer was complete and sent.
  TimePoint head_started_at_{};  // When the current request began to arrive.
  // The limits at the start of the current request or idle period.
  CallerLimits limits_;
};

void CallerExchange::SendHead(int status, absl::string_view reason,
                              const HeaderList& headers,
                              absl::string_view framing) {
  if (connection_->ClosesAfterThisAnswer()) connection_->CloseAfterThisAnswer();
  if (reason.empty()) reason = ReasonPhrase(status);
  std::string out = absl::StrCat("HTTP/1.1 ", status, " ", reason, "\r\n");
  for (const auto& [k, v] : headers) AppendHeader(&out, k, v);
  absl::StrAppend(&out, framing);
  if (!connection_->keeps_open()) AppendHeader(&out, "Connection", "close");
  absl::StrAppend(&out, "\r\n");
  started_ = true;
  connection_->Send(out);
}

void CallerExchange::Respond(int status, const HeaderList& headers,
                             absl::string_view body) {
  if (disconnected() || started_) return;
  if (connection_->ClosesAfterThisAnswer()) connection_->CloseAfterThisAnswer();
  std::string out =
      absl::StrCat("HTTP/1.1 ", status, " ", ReasonPhrase(status), "\r\n");
  for (const auto& [k, v] : headers) AppendHeader(&out, k, v);
  if (status != 204 && status != 304) {
    AppendHeader(&out, "Content-Length", absl::StrCat(body.size()));
  }
  if (!connection_->keeps_open()) AppendHeader(&out, "Connection", "close");
  absl::StrAppend(&out, "\r\n");
  if (!bodyless_ && status != 204 && status != 304) {
    out.reserve(out.size() + body.size());
    out.append(body.data(), body.size());
  }
  started_ = true;
  connection_->SendWhole(std::move(out));
  connection_->OnAnswerDone();
}

void CallerExchange::StartAnswer(int status, absl::string_view reason,
                                 const HeaderList& headers) {
  if (disconnected() || started_) return;
  if (!chunked_) connection_->CloseAfterThisAnswer();
  SendHead(status, reason, headers,
           chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
}

void CallerExchange::EndAnswerWithClose() { chunked_ = false; }

void CallerExchange::Write(absl::string_view data) {
  if (disconnected() || data.empty() || bodyless_) return;
  if (!chunked_) {
    connection_->Send(data);
    return;
  }
  connection_->Send(absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n"));
}

void CallerExchange::FinishAnswer() {
  if (disconnected()) return;
  if (!bodyless_ && chunked_) connection_->Send("0\r\n\r\n");
  connection_->OnAnswerDone();
}

void CallerExchange::Abort() {
  if (disconnected()) return;
  connection_->Abort();
}

bool CallerExchange::CallerLeft() const {
  return disconnected() || connection_->caller_left();
}

size_t CallerExchange::unsent() const {
  return disconnected() ? 0 : connection_->unsent();
}

size_t MaxCallerConnections(size_t descriptors) {
  return descriptors > 2 * kReservedDescriptors
             ? (descriptors - kReservedDescriptors) / 2
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
      poll_clock_(loop, clock),
      handler_(std::move(handler)),
      listener_(loop, [this](std::shared_ptr<TcpConnection> tcp) {
        auto c = std::make_shared<CallerConnection>(this, std::move(tcp));
        connections_[c.get()] = c;
        c->Start();
        EvictIdleConnections();
      }) {
  InitTimer(&eviction_timer_, OnEvictionTimer, kEvictionSeconds,
            kEvictionSeconds);
  eviction_timer_.data = this;
  InitTimer(&timeout_check_timer_, OnTimeoutCheck, kTimeoutCheckSeconds,
            kTimeoutCheckSeconds);
  timeout_check_timer_.data = this;
  ev_timer_start(loop_, &timeout_check_timer_);
}

CallerServer::~CallerServer() {
  ev_timer_stop(loop_, &timeout_check_timer_);
  ev_timer_stop(loop_, &eviction_timer_);
  for (auto& [p, c] : connections_) c->Drop();
}

void CallerServer::LimitToProbes() {
  limits_.body_bytes = kMaxProbeBodyBytes;
  max_request_bytes_ = kMaxProbeRequestBytes;
  max_connections_ = kMaxProbeConnections;
}

absl::Status CallerServer::Listen(const Endpoint& at) {
  return listener_.Listen(at);
}

void CallerServer::StopAccepting() {
  closing_after_answers_ = true;
  listener_.AcceptPending();
  listener_.Stop();
  CloseIdleConnections();
}

void CallerServer::CloseIdleConnections() {
  std::vector<std::shared_ptr<CallerConnection>> all;
  for (auto& [p, c] : connections_) all.push_back(c);
  for (auto& c : all) c->CloseIfIdle();
}

std::vector<std::shared_ptr<CallerConnection>>
CallerServer::EvictableConnections() const {
  std::vector<std::shared_ptr<CallerConnection>> out;
  TimePoint now = clock_.Now();
  for (const auto& [p, c] : connections_) {
    if (!c->busy() && now - c->last_activity() >= kMinIdle) out.push_back(c);
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return a->last_activity() < b->last_activity();
  });
  return out;
}

void CallerServer::EvictIdleConnections() {
  bool accepting = connections_.size() < max_connections_;
  if (!accepting) {
    std::vector<std::shared_ptr<CallerConnection>> idle =
        EvictableConnections();
    size_t excess = connections_.size() - max_connections_;
    size_t to_close =
        excess == 0 ? 0 : std::max(excess, idle.size() / kEvictOneIn);
    size_t closed = 0;
    size_t not_examined = idle.size();
    for (const auto& c : idle) {
      if (closed == to_close) break;
      --not_examined;
      if (c->has_unread() || c->delivering()) continue;
      c->GiveUp("room for others");
      ++closed;
    }
    if (connections_.size() >= max_connections_) EvictUnfinishedRequests();
    accepting = not_examined > 0 || connections_.size() < max_connections_;
    if (!accepting && !ev_is_active(&eviction_timer_)) {
      LogWarn("callers_wait", {{"connections", connections_.size()}});
    }
  }
  listener_.SetPaused(!accepting);
  if (accepting) {
    ev_timer_stop(loop_, &eviction_timer_);
  } else {
    ev_timer_start(loop_, &eviction_timer_);
  }
}

void CallerServer::EvictUnfinishedRequests() {
  TimePoint now = clock_.Now();
  std::vector<std::shared_ptr<CallerConnection>> unfinished;
  for (const auto& [p, c] : connections_) {
    if (c->reading() && now - c->request_began_at() >= kMinUnfinished)
      unfinished.push_back(c);
  }
  std::sort(unfinished.begin(), unfinished.end(),
            [](const auto& a, const auto& b) {
              return a->request_began_at() < b->request_began_at();
            });
  unfinished.resize((unfinished.size() + kEvictOneIn - 1) / kEvictOneIn);
  for (const auto& c : unfinished) c->GiveUp("unfinished, room for others");
}

void CallerServer::LimitUnsentBytes() {
  struct UnreadAnswer {
    Duration unread_time;
    size_t bytes;
    std::shared_ptr<CallerConnection> connection;
  };
  std::vector<UnreadAnswer> unread;
  size_t total = 0;
  for (const auto& [p, c] : connections_) {
    total += c->unsent();
    if (c->unread()) unread.push_back({c->UnreadTime(), c->unsent(), c});
  }
  if (total <= max_unsent_bytes_) return;
  std::sort(unread.begin(), unread.end(), [](const auto& a, const auto& b) {
    return a.unread_time > b.unread_time;
  });
  for (const UnreadAnswer& u : unread) {
    if (total <= max_unsent_bytes_) return;
    if (u.unread_time < kMinUnreadTime &&
        total / kMaxUnsentFactor <= max_unsent_bytes_)
      return;
    u.connection->GiveUp("memory for others");
    total -= u.bytes;
  }
}

void CallerServer::LimitRequestBytes() {
  size_t limit = RequestBytesLimit();
  if (request_bytes_ <= limit) return;
  std::vector<std::shared_ptr<CallerConnection>> all;
  std::vector<HeldRequest> held;
  TimePoint now = clock_.Now();
  for (const auto& [p, c] : connections_) {
    HeldRequest h = c->Refusable(now);
    if (h.bytes == 0) continue;
    all.push_back(c);
    held.push_back(h);
  }
  for (size_t i : ChooseRefused(held, request_bytes_, limit))
    all[i]->RefuseForMemory();
}

bool CallerServer::MayPassOnRequest(size_t bytes) const {
  size_t limit = RequestBytesLimit();
  // Far below the limit, no scan of all connections is needed.
  if (request_bytes_ + bytes <= limit / 2) return true;
  size_t complete = 0;
  for (const auto& [p, c] : connections_) complete += c->complete_bytes();
  return MayPassOn(bytes, complete, limit);
}

void CallerServer::OnEvictionTimer(struct ev_loop*, ev_timer* w, int) {
  static_cast<CallerServer*>(w->data)->EvictIdleConnections();
}

int CallerServer::requests_in_progress() const {
  int n = 0;
  for (const auto& [p, c] : connections_)
    n += c->busy() || c->sends_on() || c->has_unread_request();
  return n;
}

int CallerServer::undelivered_answers() const {
  int n = 0;
  for (const auto& [p, c] : connections_) n += c->undelivered_bytes() > 0;
  return n;
}

void CallerServer::OnTimeoutCheck(struct ev_loop*, ev_timer* w, int) {
  auto* self = static_cast<CallerServer*>(w->data);
  TimePoint now = self->poll_clock_.Now();
  std::vector<std::shared_ptr<CallerConnection>> all;
  for (auto& [p, c] : self->connections_) all.push_back(c);
  for (auto& c : all) c->CloseIfTimedOut(now);
  self->LimitUnsentBytes();
  // No event tells that bytes arrive in the socket of a paused connection, so
  // they are counted here.
  for (auto& [p, c] : self->connections_) c->UpdateHeldBytes();
  self->LimitRequestBytes();
}

}  // namespace medlarwalk
