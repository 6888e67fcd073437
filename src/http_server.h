// HTTP/1.1 server toward callers and scrapers: libmicrohttpd driven from the
// process's libev loop through its epoll descriptor. Answers may be given
// later than the request arrives (the connection is suspended meanwhile) and
// may be streamed (chunked), as server-sent events need.
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

// One request as received; header names are lower case.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  // The header's value, or "" when absent. `name` is lower case.
  std::string Header(const std::string& name) const;
};

// The answer side of one request. Exactly one of Respond or StartStream is
// called, once; after StartStream, Write any number of times, then Finish.
// Calls after the caller went away are ignored. Thread safety: loop thread.
class HttpExchange {
 public:
  void Respond(int status, const HeaderList& headers, std::string body);
  void StartStream(int status, const HeaderList& headers);
  void Write(absl::string_view data);
  void Finish();
  // Ends a started stream without its last chunk and closes the connection,
  // so the caller cannot take a cut answer for a whole one.
  void Abort();
  // Whether the caller's connection has ended.
  bool closed() const { return closed_; }
  // Called once if the connection ends before the answer was finished.
  void set_on_close(std::function<void()> f) { on_close_ = std::move(f); }

 private:
  friend class HttpServer;
  enum class State { kPending, kWhole, kStream };
  void Wake();

  class HttpServer* server_ = nullptr;
  MHD_Connection* connection_ = nullptr;
  State state_ = State::kPending;
  bool suspended_ = false;
  bool dispatched_ = false;
  bool finished_ = false;
  bool closed_ = false;
  bool queued_ = false;
  bool aborted_ = false;
  int status_ = 200;
  HeaderList headers_;
  std::string body_;
  HttpRequest request_;
  std::function<void()> on_close_;
};

// Called once per request, when its body has arrived.
using HttpHandler =
    std::function<void(const HttpRequest&, std::shared_ptr<HttpExchange>)>;

// The server. Thread safety: loop thread only.
class HttpServer {
 public:
  HttpServer(struct ev_loop* loop, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts listening on `address:port` (an IPv4 number). Errors: Unavailable
  // when the port cannot be bound.
  absl::Status Listen(const std::string& address, int port);
  // Stops accepting new connections; open ones go on. For a planned stop.
  void StopAccepting();
  // Requests whose answer is not finished.
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
  static void OnTimer(struct ev_loop* loop, ev_timer* w, int revents);
  MHD_Result Queue(HttpExchange& ex);
  void Run();
  void Kick();

  struct ev_loop* loop_;
  HttpHandler handler_;
  MHD_Daemon* daemon_ = nullptr;
  ev_io io_{};
  ev_timer timer_{};
  int open_requests_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_HTTP_SERVER_H_
