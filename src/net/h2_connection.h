// A TCP connection with an nghttp2 session, for server and client. Internal to
// h2.cc.
#ifndef MEDLARWALK_H2_CONNECTION_H_
#define MEDLARWALK_H2_CONNECTION_H_

#include <ev.h>
#include <netinet/in.h>
#include <nghttp2/nghttp2.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "framing.h"
#include "h2.h"
#include "log.h"
#include "loop_order.h"
#include "tcp.h"

namespace medlarwalk {

inline constexpr size_t kH2ReadBlock = size_t{16} * 1024;

inline nghttp2_nv MakeNv(const std::string& name, const std::string& value) {
  return {reinterpret_cast<uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

// A TCP connection with an nghttp2 session. Owns the socket, the session and
// the streams. Exactly one of `server` and `client` is set.
class H2Connection {
 public:
  H2Connection(struct ev_loop* loop, int fd, H2Server* server, H2Client* client,
               bool connecting)
      : loop_(loop),
        fd_(fd),
        server_(server),
        client_(client),
        connected_(!connecting) {
    nghttp2_session_callbacks* cbs;
    nghttp2_session_callbacks_new(&cbs);
    nghttp2_session_callbacks_set_on_begin_headers_callback(cbs,
                                                            &OnBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(cbs, &OnHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(cbs, &OnFrameRecv);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(cbs,
                                                              &OnDataChunk);
    nghttp2_session_callbacks_set_on_stream_close_callback(cbs, &OnStreamClose);
    if (server_) {
      nghttp2_session_server_new(&session_, cbs, this);
    } else {
      nghttp2_session_client_new(&session_, cbs, this);
    }
    nghttp2_session_callbacks_del(cbs);
    nghttp2_settings_entry settings[] = {
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 4096},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, 1 << 20}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, 2);
    ev_io_init(&read_io_, OnReadable, fd_, EV_READ);
    ev_set_priority(&read_io_, kLinkPriority);
    read_io_.data = this;
    ev_io_init(&write_io_, OnWritable, fd_, EV_WRITE);
    ev_set_priority(&write_io_, kLinkPriority);
    write_io_.data = this;
    ev_io_start(loop_, &read_io_);
    if (connecting) ev_io_start(loop_, &write_io_);
  }

  ~H2Connection() {
    ev_io_stop(loop_, &read_io_);
    ev_io_stop(loop_, &write_io_);
    CloseSecondAttempt();
    close(fd_);
    nghttp2_session_del(session_);
    for (auto& [id, s] : server_streams_) {
      ReleaseBody(s);
      CloseServerStream(*s.answer);
    }
  }

  // Client only: opens a stream for `call`. Returns the stream id, or 0 on
  // failure.
  int32_t Submit(H2Call call) {
    std::vector<nghttp2_nv> nva;
    std::string method = ":method", path = ":path", scheme = ":scheme",
                authority = ":authority", http = "http", host = "medlarwalk";
    nva.push_back(MakeNv(method, call.method));
    nva.push_back(MakeNv(path, call.path));
    nva.push_back(MakeNv(scheme, http));
    nva.push_back(MakeNv(authority, host));
    for (const auto& [k, v] : call.headers) nva.push_back(MakeNv(k, v));
    bool has_body = !call.body.empty();
    auto body = std::make_unique<Payload>(std::move(call.body));
    nghttp2_data_provider provider{};
    provider.source.ptr = body.get();
    provider.read_callback = &ReadRequestBody;
    int32_t id =
        nghttp2_submit_request(session_, nullptr, nva.data(), nva.size(),
                               has_body ? &provider : nullptr, nullptr);
    if (id < 0) return 0;
    client_streams_[id] =
        ClientStream{std::move(call), std::move(body), 0, {}, 0, false, false};
    Flush();
    return id;
  }

  // Client only: resets the stream without calling its on_close.
  void Cancel(int32_t id) {
    auto it = client_streams_.find(id);
    if (it == client_streams_.end()) return;
    client_streams_.erase(it);
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    Flush();
  }

  void SendPing() {
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    ping_outstanding_ = true;
    Flush();
  }

  void SendGoAway() {
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session_),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    Flush();
  }

  // Server only: closes every stream without its callback.
  void DropServerStreams() {
    auto streams = std::move(server_streams_);
    server_streams_.clear();
    for (auto& [id, s] : streams) {
      ReleaseBody(s);
      s.answer->on_close_ = nullptr;
      CloseServerStream(*s.answer);
    }
  }

  // Client only: ends every call with `status` after the connection is lost.
  void FailAllCalls(const absl::Status& status) {
    auto calls = std::move(client_streams_);
    client_streams_.clear();
    for (auto& [id, c] : calls) {
      bool never_sent = !connected_ || id > last_processed_id_;
      if (c.call.on_close) c.call.on_close(status, never_sent);
    }
  }

  bool request_allowed() const {
    return nghttp2_session_check_request_allowed(session_) != 0;
  }
  int open_streams() const {
    return static_cast<int>(server_ ? server_streams_.size()
                                    : client_streams_.size());
  }
  // Returns the number of bytes that wait to be sent.
  size_t queued_bytes() const {
    size_t n = send_buffer_.size();
    for (const auto& [id, c] : client_streams_) n += c.body->size();
    for (const auto& [id, s] : server_streams_)
      n += s.answer->unsent_body_.size();
    return n;
  }
  size_t unacknowledged_bytes() const { return UnacknowledgedBytes(fd_); }
  bool connected() const { return connected_; }
  bool ping_outstanding() const { return ping_outstanding_; }
  TimePoint ping_sent_at() const { return ping_sent_at_; }
  // Returns the time since which a ping has been outstanding and no bytes have
  // been received, or `now` when no ping is outstanding. Any received bytes
  // count, because the answer to a ping may be queued behind a lot of other
  // data.
  TimePoint SilentSince(TimePoint now) {
    if (data_received_) last_received_at_ = now;
    data_received_ = false;
    return ping_outstanding_ ? std::max(ping_sent_at_, last_received_at_) : now;
  }
  TimePoint opened_at() const { return opened_at_; }
  void set_opened_at(TimePoint t) { opened_at_ = last_attempt_at_ = t; }
  TimePoint last_attempt_at() const { return last_attempt_at_; }

  // Client only: adds connecting socket `fd` as a second attempt beside the
  // first one, and closes an earlier second attempt. The attempt that is
  // established first carries the session.
  void SetSecondAttempt(int fd, TimePoint now) {
    CloseSecondAttempt();
    second_fd_ = fd;
    last_attempt_at_ = now;
    ev_io_init(&second_io_, OnSecondAttemptDone, fd, EV_WRITE);
    ev_set_priority(&second_io_, kLinkPriority);
    second_io_.data = this;
    ev_io_start(loop_, &second_io_);
  }
  void set_ping_sent_at(TimePoint t) { ping_sent_at_ = t; }

  // Server only: starts the answer of `s`. Called through H2Stream.
  void SubmitAnswer(H2Stream& s, int status, const HeaderList& headers) {
    std::vector<nghttp2_nv> nva;
    std::string key = ":status", value = std::to_string(status);
    nva.push_back(MakeNv(key, value));
    for (const auto& [k, v] : headers) nva.push_back(MakeNv(k, v));
    nghttp2_data_provider provider{};
    provider.source.ptr = &s;
    provider.read_callback = &ReadAnswerBody;
    nghttp2_submit_response(session_, s.id_, nva.data(), nva.size(), &provider);
    Flush();
  }

  // Server only: resets the stream of `s`.
  void ResetStream(H2Stream& s) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, s.id_,
                              NGHTTP2_INTERNAL_ERROR);
    Flush();
  }

  // Server only: resumes sending the answer of `s` after data was added.
  void ResumeAnswer(H2Stream& s) {
    if (s.send_deferred_) {
      s.send_deferred_ = false;
      nghttp2_session_resume_data(session_, s.id_);
    }
    Flush();
  }

  // Writes the pending output of nghttp2 to the socket. Does nothing inside a
  // callback of nghttp2, where sending is not allowed.
  void Flush() {
    if (in_callback_ || dead_ || closing_ || send_failed_) return;
    if (!connected_) {
      // Nothing is sent before the connection is established, because a second
      // attempt may replace the socket.
      ev_io_start(loop_, &write_io_);
      return;
    }
    for (;;) {
      if (!send_buffer_.empty()) {
        ssize_t n =
            send(fd_, send_buffer_.data(), send_buffer_.size(), MSG_NOSIGNAL);
        if (n < 0) {
          if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINPROGRESS) {
            ev_io_start(loop_, &write_io_);
            return;
          }
          HandleSendFailure();
          return;
        }
        send_buffer_.erase(0, static_cast<size_t>(n));
        if (!send_buffer_.empty()) {
          ev_io_start(loop_, &write_io_);
          return;
        }
      }
      const uint8_t* data;
      ssize_t n = nghttp2_session_mem_send(session_, &data);
      if (n < 0) {
        MarkDead();
        return;
      }
      if (n == 0) break;
      send_buffer_.append(reinterpret_cast<const char*>(data),
                          static_cast<size_t>(n));
    }
    ev_io_stop(loop_, &write_io_);
    if (!nghttp2_session_want_read(session_) &&
        !nghttp2_session_want_write(session_)) {
      EndSession();
    }
  }

 private:
  struct ClientStream {
    H2Call call;
    std::unique_ptr<Payload> body;
    int status;
    std::map<std::string, std::string> headers;
    size_t answer_bytes;  // Received of the answer's body.
    bool response_reported;
    bool end_stream_received;  // The peer sent END_STREAM: the answer is
                               // complete.
  };
  struct ServerStream {
    H2Request request;
    std::shared_ptr<H2Stream> answer;
  };

  // Server only: resets a stream whose request has not been processed, because
  // the bodies of all streams take too much memory.
  void RefuseStream(ServerStream& s, int32_t id) {
    LogWarn("stream_refused", {{"path", s.request.path},
                               {"bytes", s.request.body.size()},
                               {"bytes_of_all", server_->body_bytes_}});
    ReleaseBody(s);
    server_streams_.erase(id);
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id,
                              NGHTTP2_REFUSED_STREAM);
  }

  // Server only: frees the request's body, which counts in the server's sum.
  void ReleaseBody(ServerStream& s) {
    server_->body_bytes_ -= s.request.body.size();
    std::string().swap(s.request.body);
  }

  static void CloseServerStream(H2Stream& s) {
    bool unfinished = !s.finished_;
    s.closed_ = true;
    s.connection_ = nullptr;
    if (unfinished && s.on_close_) s.on_close_();
  }

  // Client only: logs `event`, resets stream `id` alone, because the other
  // calls of the connection are sound, and fails its call. The peer may have
  // processed the request.
  void FailCall(int32_t id, absl::string_view event, absl::string_view why) {
    H2Call& call = client_streams_.at(id).call;
    LogWarn(event, {{"path", call.path}, {"reason", why}});
    auto on_close = std::move(call.on_close);
    Cancel(id);
    if (on_close) on_close(absl::UnavailableError(why), false);
  }

  // Ends the connection after the last frame of the session. A server whose
  // answers are all sent closes only its own side and leaves the rest to the
  // peer, which may not have received their ends yet: after a close, the next
  // frame of the peer would be answered with a reset and the kernel would
  // discard what it has not delivered.
  void EndSession() {
    if (!server_ || !server_streams_.empty()) {
      MarkDead();
      return;
    }
    closing_ = true;
    shutdown(fd_, SHUT_WR);
  }

  // Ends the connection. A client first reads what was received before: it may
  // hold the GOAWAY that tells which requests were not processed.
  void HandleSendFailure() {
    if (server_) {
      MarkDead();
      return;
    }
    send_failed_ = true;
    ev_io_stop(loop_, &write_io_);
    ev_feed_event(loop_, &read_io_, EV_READ);
  }

  // Marks the connection as unusable and schedules its deletion by the owner.
  void MarkDead() {
    if (dead_) return;
    dead_ = true;
    ev_io_stop(loop_, &read_io_);
    ev_io_stop(loop_, &write_io_);
    CloseSecondAttempt();
    ev_feed_event(loop_, &read_io_, EV_CUSTOM);
    // EV_CUSTOM makes OnReadable delete the connection later, outside any
    // callback of nghttp2.
    ev_io_start(loop_, &read_io_);
  }

  // Makes the owner delete this connection.
  void RemoveFromOwner() {
    if (server_) {
      server_->RemoveConnection(this);
    } else {
      client_->OnConnectionLost(this);
    }
  }

  static void OnReadable(struct ev_loop*, ev_io* w, int revents) {
    auto* c = static_cast<H2Connection*>(w->data);
    if (c->dead_ || (revents & EV_CUSTOM)) {
      if (c->dead_) c->RemoveFromOwner();
      return;
    }
    char buf[kH2ReadBlock];
    for (;;) {
      ssize_t n = read(c->fd_, buf, sizeof(buf));
      if (n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
        c->MarkDead();
        return;
      }
      if (n < 0) {
        if (c->send_failed_) {
          c->MarkDead();
          return;
        }
        break;
      }
      c->data_received_ = true;
      if (c->closing_) continue;
      c->in_callback_ = true;
      ssize_t used = nghttp2_session_mem_recv(
          c->session_, reinterpret_cast<uint8_t*>(buf), static_cast<size_t>(n));
      c->in_callback_ = false;
      if (used < 0) {
        c->MarkDead();
        return;
      }
    }
    c->Flush();
  }

  static bool HasSocketError(int fd) {
    int err = 0;
    socklen_t len = sizeof(err);
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len);
    return err != 0;
  }

  static void OnWritable(struct ev_loop*, ev_io* w, int) {
    auto* c = static_cast<H2Connection*>(w->data);
    if (!c->connected_) {
      c->CloseSecondAttempt();
      if (HasSocketError(c->fd_)) {
        c->MarkDead();
        return;
      }
      c->connected_ = true;
    }
    c->Flush();
  }

  // Continues on the socket of the second attempt if it is established. If the
  // peer refused it, the peer is up but not listening, and the connection ends.
  static void OnSecondAttemptDone(struct ev_loop*, ev_io* w, int) {
    auto* c = static_cast<H2Connection*>(w->data);
    if (HasSocketError(c->second_fd_)) {
      c->MarkDead();
      return;
    }
    ev_io_stop(c->loop_, &c->second_io_);
    ev_io_stop(c->loop_, &c->read_io_);
    ev_io_stop(c->loop_, &c->write_io_);
    close(c->fd_);
    c->fd_ = std::exchange(c->second_fd_, -1);
    ev_io_set(&c->read_io_, c->fd_, EV_READ);
    ev_io_set(&c->write_io_, c->fd_, EV_WRITE);
    ev_io_start(c->loop_, &c->read_io_);
    c->connected_ = true;
    c->Flush();
  }

  void CloseSecondAttempt() {
    if (second_fd_ < 0) return;
    ev_io_stop(loop_, &second_io_);
    close(std::exchange(second_fd_, -1));
  }

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame,
                            void* user) {
    auto* c = static_cast<H2Connection*>(user);
    if (c->server_ && frame->hd.type == NGHTTP2_HEADERS &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      auto answer = std::make_shared<H2Stream>();
      answer->connection_ = c;
      answer->id_ = frame->hd.stream_id;
      c->server_streams_[frame->hd.stream_id] = ServerStream{{}, answer};
    }
    auto it = c->client_streams_.find(frame->hd.stream_id);
    if (it != c->client_streams_.end() && !it->second.response_reported) {
      // Drops the fields of an interim answer.
      it->second.status = 0;
      it->second.headers.clear();
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                      const uint8_t* name, size_t namelen, const uint8_t* value,
                      size_t valuelen, uint8_t, void* user) {
    auto* c = static_cast<H2Connection*>(user);
    std::string k(reinterpret_cast<const char*>(name), namelen);
    std::string v(reinterpret_cast<const char*>(value), valuelen);
    int32_t id = frame->hd.stream_id;
    if (c->server_) {
      auto it = c->server_streams_.find(id);
      bool trailer = frame->headers.cat != NGHTTP2_HCAT_REQUEST;
      if (it == c->server_streams_.end() || trailer) return 0;
      if (k == ":method") {
        it->second.request.method = v;
      } else if (k == ":path") {
        it->second.request.path = v;
      } else if (k[0] != ':') {
        it->second.request.headers[k] = v;
      }
    } else {
      auto it = c->client_streams_.find(id);
      bool trailer =
          it != c->client_streams_.end() && it->second.response_reported;
      if (it == c->client_streams_.end() || trailer) return 0;
      if (k == ":status") {
        it->second.status = std::atoi(v.c_str());
      } else {
        it->second.headers[k] = v;
      }
    }
    return 0;
  }

  static int OnFrameRecv(nghttp2_session*, const nghttp2_frame* frame,
                         void* user) {
    auto* c = static_cast<H2Connection*>(user);
    int32_t id = frame->hd.stream_id;
    if (frame->hd.type == NGHTTP2_PING &&
        (frame->hd.flags & NGHTTP2_FLAG_ACK)) {
      c->ping_outstanding_ = false;
      if (c->client_) c->client_->OnPingAnswered(c);
      return 0;
    }
    if (c->server_) {
      bool end = frame->hd.flags & NGHTTP2_FLAG_END_STREAM;
      if ((frame->hd.type == NGHTTP2_HEADERS ||
           frame->hd.type == NGHTTP2_DATA) &&
          end) {
        auto it = c->server_streams_.find(id);
        if (it != c->server_streams_.end()) {
          c->server_->handler_(it->second.request, it->second.answer);
          it = c->server_streams_.find(id);
          if (it != c->server_streams_.end()) c->ReleaseBody(it->second);
        }
      }
      return 0;
    }
    if (frame->hd.type == NGHTTP2_GOAWAY) {
      c->last_processed_id_ = frame->goaway.last_stream_id;
      return 0;
    }
    bool headers = frame->hd.type == NGHTTP2_HEADERS;
    if (!headers && frame->hd.type != NGHTTP2_DATA) return 0;
    auto it = c->client_streams_.find(id);
    if (it == c->client_streams_.end()) return 0;
    it->second.end_stream_received = frame->hd.flags & NGHTTP2_FLAG_END_STREAM;
    bool interim = it->second.status / 100 == 1;
    if (headers && !interim && !it->second.response_reported) {
      if (!IsStatus(it->second.status)) {
        c->FailCall(id, "answer_malformed", "bad status");
        return 0;
      }
      it->second.response_reported = true;
      if (it->second.call.on_response) {
        it->second.call.on_response(it->second.status, it->second.headers);
      }
    }
    return 0;
  }

  static int OnDataChunk(nghttp2_session*, uint8_t, int32_t id,
                         const uint8_t* data, size_t len, void* user) {
    auto* c = static_cast<H2Connection*>(user);
    absl::string_view chunk(reinterpret_cast<const char*>(data), len);
    if (c->server_) {
      auto it = c->server_streams_.find(id);
      if (it != c->server_streams_.end()) {
        if (it->second.request.body.size() + len > kMaxLinkBodyBytes) {
          return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        if (c->server_->body_bytes_ + len > kMaxLinkBodiesBytes) {
          c->RefuseStream(it->second, id);
          return 0;
        }
        c->server_->body_bytes_ += len;
        it->second.request.body.append(chunk.data(), chunk.size());
      }
      return 0;
    }
    auto it = c->client_streams_.find(id);
    if (it == c->client_streams_.end()) return 0;
    it->second.answer_bytes += len;
    if (it->second.answer_bytes > it->second.call.max_body_bytes) {
      c->FailCall(id, "answer_too_long", "answer too long");
    } else if (it->second.call.on_data) {
      it->second.call.on_data(chunk);
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session*, int32_t id, uint32_t error_code,
                           void* user) {
    auto* c = static_cast<H2Connection*>(user);
    if (c->server_) {
      auto it = c->server_streams_.find(id);
      if (it == c->server_streams_.end()) return 0;
      std::shared_ptr<H2Stream> answer = it->second.answer;
      c->ReleaseBody(it->second);
      c->server_streams_.erase(it);
      CloseServerStream(*answer);
      return 0;
    }
    auto it = c->client_streams_.find(id);
    if (it == c->client_streams_.end()) return 0;
    ClientStream s = std::move(it->second);
    c->client_streams_.erase(it);
    if (!s.call.on_close) return 0;
    // A reset with NO_ERROR before END_STREAM means that the peer does not need
    // the rest of the request; the answer is still incomplete.
    if (error_code == NGHTTP2_NO_ERROR && s.end_stream_received) {
      s.call.on_close(absl::OkStatus(), false);
    } else {
      bool refused = error_code == NGHTTP2_REFUSED_STREAM;
      s.call.on_close(
          absl::UnavailableError(absl::StrCat(
              "stream reset: ", nghttp2_http2_strerror(error_code))),
          refused);
    }
    return 0;
  }

  static ssize_t ReadRequestBody(nghttp2_session*, int32_t, uint8_t* buf,
                                 size_t length, uint32_t* flags,
                                 nghttp2_data_source* source, void*) {
    auto* body = static_cast<Payload*>(source->ptr);
    size_t n = body->Dequeue(buf, length);
    if (body->empty()) *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(n);
  }

  static ssize_t ReadAnswerBody(nghttp2_session*, int32_t, uint8_t* buf,
                                size_t length, uint32_t* flags,
                                nghttp2_data_source* source, void*) {
    auto* s = static_cast<H2Stream*>(source->ptr);
    size_t n = s->unsent_body_.Dequeue(buf, length);
    if (s->unsent_body_.empty()) {
      if (s->finished_) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
      } else if (n == 0) {
        s->send_deferred_ = true;
        return NGHTTP2_ERR_DEFERRED;
      }
    }
    return static_cast<ssize_t>(n);
  }

  struct ev_loop* loop_;
  int fd_;
  H2Server* server_;
  H2Client* client_;
  nghttp2_session* session_ = nullptr;
  ev_io read_io_{};
  ev_io write_io_{};
  // Socket of the second connection attempt; -1 if there is none.
  int second_fd_ = -1;
  ev_io second_io_{};
  bool connected_;
  bool dead_ = false;
  bool closing_ = false;  // This side is closed; what is received is discarded.
  bool in_callback_ = false;
  bool ping_outstanding_ = false;
  bool data_received_ =
      false;  // Whether bytes were received since the last SilentSince().
  TimePoint last_received_at_{};
  TimePoint ping_sent_at_{};
  TimePoint opened_at_{};
  TimePoint last_attempt_at_{};
  std::string send_buffer_;
  std::map<int32_t, ClientStream> client_streams_;
  std::map<int32_t, ServerStream> server_streams_;
  bool send_failed_ = false;
  // Client only: the last stream that the peer may process, from its GOAWAY.
  int32_t last_processed_id_ = std::numeric_limits<int32_t>::max();
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_H2_CONNECTION_H_
