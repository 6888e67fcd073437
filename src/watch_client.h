// Follows the control processes: keeps a watch open at one of them. Switches to
// another if that one does not answer or is out of sync with the leader.
#ifndef MEDLARWALK_WATCH_CLIENT_H_
#define MEDLARWALK_WATCH_CLIENT_H_

#include <ev.h>

#include <functional>
#include <string>
#include <vector>

#include "control_wire.h"
#include "link_pool.h"
#include "poll_clock.h"
#include "types.h"
#include "watch_reports.h"

namespace medlarwalk {

struct WatchOptions {
  std::string name;
  bool serves_callers = false;
  // Time without received bytes after which a watch is canceled and another
  // control process is tried. Must exceed the time for which a control process
  // holds a watch open. The total time of an answer is not limited: a large
  // answer would be as slow from any other control process.
  Duration answer_timeout = Millis(900);
  // The answering process must have been in sync with a leader within this
  // time; see WatchReply::sync_age_ms.
  Duration max_age = Millis(800);
  // Data centre whose control processes are preferred.
  std::string data_centre;
  std::string address;  // Address where others can watch this process, or "".
  // Returns the longest recent loop iteration, for the log. May be empty.
  std::function<Duration()> longest_iteration;
  // Records to report to the followed process. May be null.
  WatchReports* reports = nullptr;
};

// Watches one control process at a time. Thread safety: loop thread only.
class WatchClient {
 public:
  using OnReply = std::function<void(const WatchReply&, bool in_sync)>;
  // `seeds` are addresses ("ip:port") of control processes.
  WatchClient(struct ev_loop* loop, const Clock& clock, WatchOptions options,
              std::vector<std::string> seeds, OnReply on_reply);
  ~WatchClient();
  WatchClient(const WatchClient&) = delete;
  WatchClient& operator=(const WatchClient&) = delete;

  void Start();
  // Follows only this address from now on, or any control process if it is "".
  // Control processes pin the leader.
  void Pin(const std::string& address);
  // Stops or resumes sending watches. The leader pauses: it follows no process.
  void SetPaused(bool paused);
  // Replaces the open watch with a new one, which carries the pending reports.
  // Does nothing if no watch is open or its answer has begun to arrive.
  void RestartWatch();
  void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  // Returns the addresses of all known control processes: the followed one,
  // then the others in the order in which they would be tried.
  std::vector<std::string> Targets() const;
  // Returns the request that the next watch sends. Callers set in it the
  // versions that they hold.
  WatchRequest& next_request() { return next_request_; }

 private:
  static void OnTick(struct ev_loop* loop, ev_timer* w, int revents);
  void SendWatch();
  void CancelWatch();
  void OnAnswer(uint64_t watch_number, const std::string& body, bool ok);
  void SwitchTarget(absl::string_view reason);
  std::vector<std::string> OrderedTargets() const;
  void ChooseTarget(TimePoint now);

  struct ev_loop* loop_;
  const Clock& clock_;
  PollClock poll_clock_;  // The silence of a target is judged at this time.
  WatchOptions options_;
  std::vector<std::string> seeds_;
  std::vector<ControlEndpoint> known_endpoints_;
  OnReply on_reply_;
  LinkPool links_;
  WatchRequest next_request_;
  std::string pinned_;
  std::string target_;
  uint64_t watch_number_ = 0;  // Number of the last watch sent.
  bool watch_open_ = false;
  bool paused_ = false;
  int32_t stream_ = 0;
  // Time when the answer's first bytes arrived; the epoch before that.
  TimePoint answer_began_at_{};
  // Time when the last bytes arrived. Before the first bytes, the time when the
  // watch was sent.
  TimePoint last_bytes_at_{};
  TimePoint no_watch_before_{};
  TimePoint started_at_{};        // When the first watch was sent.
  TimePoint target_failed_at_{};  // Time of the last failure of a target.
  // Number of failed targets since the last answer that was in sync with a
  // leader.
  int consecutive_failures_ = 0;
  ev_timer tick_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_WATCH_CLIENT_H_
