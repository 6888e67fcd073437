// HTTP client for upstreams: libcurl's multi interface, driven by the libev
// loop through curl_multi_socket_action(). Streams the bodies of answers.
#ifndef MEDLARWALK_HTTP_CLIENT_H_
#define MEDLARWALK_HTTP_CLIENT_H_

#include <curl/curl.h>
#include <ev.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "types.h"

namespace medlarwalk {

// The result of one call.
struct HttpCallResult {
  absl::Status status;  // Transport outcome; Ok when the answer is complete.
  int http_status = 0;
  // True when the upstream certainly did not receive the request: libcurl never
  // ran its pre-request callback, so it sent nothing. The final error code is
  // not sufficient: when a reused connection fails, libcurl silently resends on
  // a new one, and reports a failure to connect there as "couldn't connect"
  // although the first attempt may have run.
  bool never_sent = false;
  // True when nothing listens at the address: the connection was refused. False
  // when it was not established in time, since the upstream may only be busy.
  bool refused = false;
};

// A call to make.
struct HttpCall {
  std::string method = "POST";
  std::string url;
  std::vector<std::string> headers;  // Lines of the form "Name: value".
  std::string body;
  Millis timeout{30000};
  Millis connect_timeout{1000};
  // Aborts the call when libcurl would resend the request on a new connection.
  // For requests that must not be repeated.
  bool at_most_once = false;
  // Size in bytes at which an answer's body is cut off; the call then fails.
  size_t max_body_bytes = std::numeric_limits<size_t>::max();
  // Called once before the first bytes of the body, with the status code and
  // the Content-Type (empty if absent).
  std::function<void(int http_status, absl::string_view content_type)>
      on_status;
  // Called with each part of the body as it arrives.
  std::function<void(absl::string_view data)> on_data;
  // Called once at the end, unless the call was cancelled.
  std::function<void(const HttpCallResult& result)> on_done;
};

// An HTTP client for concurrent calls. Thread safety: loop thread only.
class HttpClient {
 public:
  explicit HttpClient(struct ev_loop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts `call` and returns its id. Its callbacks run later, from the loop.
  uint64_t Start(HttpCall call);
  // Ends the call without calling on_done. Safe from within its callbacks.
  void Cancel(uint64_t id);
  // Returns the number of calls in progress.
  size_t active() const { return calls_.size(); }

 private:
  struct ActiveCall;
  struct Socket;
  static int OnSocket(CURL* easy, curl_socket_t s, int what, void* userp,
                      void* socketp);
  static int OnCloseSocket(void* userp, curl_socket_t s);
  static int OnTimerChange(CURLM* multi, long timeout_ms, void* userp);
  static void OnIo(struct ev_loop* loop, ev_io* w, int revents);
  static void OnCurlTimeout(struct ev_loop* loop, ev_timer* w, int revents);
  static void OnRemoval(struct ev_loop* loop, ev_timer* w, int revents);
  static size_t OnHeadLine(char* ptr, size_t size, size_t n, void* userdata);
  static size_t OnWrite(char* ptr, size_t size, size_t n, void* userdata);
  static int OnPrereq(void* userdata, char* conn_primary_ip,
                      char* conn_local_ip, int conn_primary_port,
                      int conn_local_port);
  // Takes over the socket `s` that libcurl would close, to see whether a reset
  // follows the end of the answer of `a`.
  void ConfirmEnd(ActiveCall& a, curl_socket_t s);
  // Finishes the calls that libcurl has ended, unless the end of their answer
  // is still to be confirmed.
  void DeliverFinishedCalls();
  // Calls on_done of `a` and removes it.
  void FinishCall(ActiveCall& a, const HttpCallResult& result);
  void RemoveCall(uint64_t id);

  struct ev_loop* loop_;
  CURLM* multi_;
  ev_timer timer_{};
  // Removes calls that were cancelled, and ends those that were answered early.
  ev_timer removal_timer_{};
  uint64_t next_id_ = 1;
  std::map<uint64_t, std::unique_ptr<ActiveCall>> calls_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_HTTP_CLIENT_H_
