// Follows the control processes: holds a watch at one of them and changes to
// another when it does not answer or is itself out of step with a leader.
#ifndef MEDLARWALK_WATCH_CLIENT_H_
#define MEDLARWALK_WATCH_CLIENT_H_

#include <ev.h>

#include <functional>
#include <string>
#include <vector>

#include "control_wire.h"
#include "link_pool.h"
#include "types.h"
#include "watch_reports.h"

namespace medlarwalk {

struct WatchOptions {
  std::string name;
  bool serves_callers = false;
  // A watch is held for less than this; one of which nothing has come for so
  // long is given up and another control process asked. An answer that takes
  // longer in all is none the worse: by the next process it would, too.
  Duration answer_timeout = Millis(900);
  // The answerer must have been in step with a leader this lately.
  Duration max_age = Millis(800);
  std::string data_centre;  // Control processes there are asked first.
  std::string address;      // Where others may ask this process, if they may.
  // The longest turn of the loop of late, for the log; may be empty.
  std::function<Duration()> longest_turn;
  // What goes to the process that is followed; may be null.
  WatchReports* reports = nullptr;
};

// Thread safety: loop thread only.
class WatchClient {
 public:
  using OnReply = std::function<void(const WatchReply&, bool in_step)>;
  // `seeds`: addresses ("ip:port") of control processes.
  WatchClient(struct ev_loop* loop, const Clock& clock, WatchOptions options,
              std::vector<std::string> seeds, OnReply on_reply);
  ~WatchClient();
  WatchClient(const WatchClient&) = delete;
  WatchClient& operator=(const WatchClient&) = delete;

  void Start();
  // Follows only this address from now on ("" for any): a control process
  // follows its leader.
  void Pin(const std::string& address);
  // Stops or resumes asking: a leader follows nobody.
  void Pause(bool paused);
  // Asks at once, with what is there to report, where nothing of the answer
  // under way has come.
  void AskAgain();
  void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  // What the asker holds and says of itself, sent with the next watch.
  WatchRequest& state() { return state_; }

 private:
  static void OnTick(struct ev_loop* loop, ev_timer* w, int revents);
  void Ask();
  void GiveUpAsk();
  void Answered(uint64_t ask, const std::string& body, bool ok);
  void NextTarget(absl::string_view why);
  std::vector<std::string> Targets() const;
  void ChooseTarget(TimePoint now);

  struct ev_loop* loop_;
  const Clock& clock_;
  WatchOptions options_;
  std::vector<std::string> seeds_;
  std::vector<ControlPlace> known_;
  OnReply on_reply_;
  LinkPool links_;
  WatchRequest state_;
  std::string pinned_;
  std::string target_;
  uint64_t ask_ = 0;  // Number of the watch under way.
  bool asking_ = false;
  bool paused_ = false;
  int32_t stream_ = 0;
  TimePoint began_at_{};  // When the answer's first bytes came.
  TimePoint heard_at_{};  // The last bytes, or when it was asked for.
  TimePoint not_before_{};
  TimePoint turned_away_at_{};  // From a target that failed.
  int misses_ = 0;
  ev_timer tick_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_WATCH_CLIENT_H_
