// HTTP client toward upstreams: libcurl's multi interface driven from the
// process's libev loop (socket-action style). Bodies stream in as they come.
#ifndef MEDLARWALK_HTTP_CLIENT_H_
#define MEDLARWALK_HTTP_CLIENT_H_

#include <curl/curl.h>
#include <ev.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "types.h"

namespace medlarwalk {

// How one call ended.
struct HttpCallResult {
  absl::Status status;  // Transport outcome; ok when an answer came whole.
  int http_status = 0;
  // True when the upstream is known never to have received the request:
  // libcurl never reached the point of sending it (its pre-request callback
  // did not run). The final error code alone cannot tell: on a reused
  // connection that died, libcurl quietly resends on a fresh one, and a
  // failed connect there reads "couldn't connect" though the first send
  // may have run.
  bool never_sent = false;
};

// One call to make.
struct HttpCall {
  std::string method = "POST";
  std::string url;
  std::vector<std::string> headers;  // "Name: value".
  std::string body;
  Millis timeout{30000};
  Millis connect_timeout{1000};
  // Send at most once: libcurl's own resend on a fresh connection is
  // aborted, for calls that must not be repeated.
  bool at_most_once = false;
  // Called once, with the status code and the Content-Type (empty when there
  // is none), before the first body bytes.
  std::function<void(int http_status, absl::string_view content_type)>
      on_status;
  // Called with each piece of the body as it arrives.
  std::function<void(absl::string_view data)> on_data;
  // Called once at the end, unless the call was cancelled.
  std::function<void(const HttpCallResult& result)> on_done;
};

// The client. Thread safety: loop thread only.
class HttpClient {
 public:
  explicit HttpClient(struct ev_loop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts `call`; returns its id. Its callbacks run from the loop later.
  uint64_t Start(HttpCall call);
  // Ends the call without calling on_done. Safe from within its callbacks.
  void Cancel(uint64_t id);
  // Calls in progress.
  size_t active() const { return calls_.size(); }

 private:
  struct Active;
  struct Socket;
  static int OnSocket(CURL* easy, curl_socket_t s, int what, void* userp,
                      void* socketp);
  static int OnTimerChange(CURLM* multi, long timeout_ms, void* userp);
  static void OnIo(struct ev_loop* loop, ev_io* w, int revents);
  static void OnTimer(struct ev_loop* loop, ev_timer* w, int revents);
  static void OnReap(struct ev_loop* loop, ev_timer* w, int revents);
  static size_t OnWrite(char* ptr, size_t size, size_t n, void* userdata);
  static int OnPrereq(void* userdata, char* conn_primary_ip,
                      char* conn_local_ip, int conn_primary_port,
                      int conn_local_port);
  void Drain();
  void Remove(uint64_t id);

  struct ev_loop* loop_;
  CURLM* multi_;
  ev_timer timer_{};
  ev_timer reap_{};  // Takes cancelled calls out.
  uint64_t next_id_ = 1;
  std::map<uint64_t, std::unique_ptr<Active>> calls_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_HTTP_CLIENT_H_
