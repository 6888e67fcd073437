// HTTP/1.1 server for callers and metrics scrapers: libmicrohttpd, driven by
// the libev loop through its epoll descriptor. A handler may answer after it
// has returned (the connection is suspended until then) and may stream its
// answer in chunks, as server-sent events need.
#ifndef MEDLARWALK_HTTP_SERVER_H_
#define MEDLARWALK_HTTP_SERVER_H_

#include <ev.h>
#include <microhttpd.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "types.h"

namespace medlarwalk {

// One received HTTP request; header names are lower case.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  // Returns the value of header `name`, or "" if absent. `name` must be lower
  // case.
  std::string Header(const std::string& name) const;
};

// Sends the answer to one request. The handler calls either Respond() once, or
// StartStream() once, Write() any number of times and then FinishStream().
// Calls after the caller has disconnected are ignored. Thread safety: loop
// thread only.
class HttpExchange {
 public:
  void Respond(int status, const HeaderList& headers, std::string body);
  void StartStream(int status, const HeaderList& headers);
  void Write(absl::string_view data);
  void FinishStream();
  // Ends a stream without its last chunk and closes the connection, so that the
  // caller cannot mistake a truncated answer for a complete one.
  void Abort();
  // Returns whether the caller's connection has ended.
  bool closed() const { return closed_; }
  // Sets a callback that runs once if the connection ends before the answer is
  // finished.
  void set_on_close(std::function<void()> f) { on_close_ = std::move(f); }

 private:
  friend class HttpServer;
  enum class State { kPending, kComplete, kStream };
  // Resumes the suspended connection, so that MHD asks for the answer again.
  void ResumeConnection();

  class HttpServer* server_ = nullptr;
  MHD_Connection* connection_ = nullptr;
  State state_ = State::kPending;
  bool suspended_ = false;
  bool dispatched_ = false;
  bool finished_ = false;
  bool closed_ = false;
  bool answer_queued_ = false;
  bool aborted_ = false;
  int status_ = 200;
  HeaderList headers_;
  std::string body_;
  HttpRequest request_;
  std::function<void()> on_close_;
};

// Called once per request, when its body is complete.
using HttpHandler =
    std::function<void(const HttpRequest&, std::shared_ptr<HttpExchange>)>;

// An HTTP/1.1 server. Thread safety: loop thread only.
class HttpServer {
 public:
  HttpServer(struct ev_loop* loop, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts to listen on `address:port`; `address` is a numeric IPv4 address.
  // Errors: InvalidArgument when `address` is malformed, Unavailable when the
  // port cannot be bound.
  absl::Status Listen(const std::string& address, int port);
  // Stops accepting new connections; open connections continue. For a planned
  // stop.
  void StopAccepting();
  // Returns the number of requests that are not finished.
  int open_requests() const { return open_requests_; }

 private:
  friend class HttpExchange;
  static MHD_Result OnAccess(void* cls, MHD_Connection* connection,
                             const char* url, const char* method,
                             const char* version, const char* upload_data,
                             size_t* upload_data_size, void** con_cls);
  static void OnCompleted(void* cls, MHD_Connection* connection, void** con_cls,
                          MHD_RequestTerminationCode toe);
  static ssize_t ReadStream(void* cls, uint64_t pos, char* buf, size_t max);
  static void OnIo(struct ev_loop* loop, ev_io* w, int revents);
  static void OnDaemonTimeout(struct ev_loop* loop, ev_timer* w, int revents);
  MHD_Result QueueAnswer(HttpExchange& ex);
  // Runs MHD once and sets the timer to MHD's next timeout.
  void RunDaemon();
  // Schedules RunDaemon() from the loop. MHD notices a resumed connection only
  // when RunDaemon() runs once more. Running it from the loop prevents nested
  // callbacks.
  void ScheduleDaemonRun();

  struct ev_loop* loop_;
  HttpHandler handler_;
  MHD_Daemon* daemon_ = nullptr;
  ev_io io_{};
  ev_timer timer_{};
  int open_requests_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_HTTP_SERVER_H_
