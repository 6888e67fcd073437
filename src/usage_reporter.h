// Reports usage to an outside system, one host for the whole group: joins what
// entries have counted, has a window's report committed, and sends what is
// committed. What is decided when lies in duty_turn and usage_schedule; this
// does the input and output.
#ifndef MEDLARWALK_USAGE_REPORTER_H_
#define MEDLARWALK_USAGE_REPORTER_H_

#include <ev.h>

#include <functional>
#include <memory>
#include <string>

#include "control_wire.h"
#include "duty_turn.h"
#include "group_time.h"
#include "http1_client.h"
#include "metrics.h"
#include "replica.h"
#include "usage_book.h"
#include "usage_schedule.h"

namespace medlarwalk {

// What an answer to a report says of it.
enum class DutyAnswer {
  kAccepted,
  kRefused,  // A holder with a higher token has acted.
  kFailed,   // It may or may not have been taken, or will be later.
};

// Who sends a report, and under which token.
struct DutyCaller {
  std::string holder;
  uint64_t token = 0;
};

// Where reports go, and how they are written there.
struct UsageOptions {
  std::string name;  // Of this process's host, as a holder.
  Endpoint at;
  UsagePolicy policy;  // No window: this process reports nothing.
  DutyTurnPolicy turn;
  // Calls on duties a second that the outside system takes from all processes;
  // 0: any number.
  double calls_per_s = 0;
  // The request's body is a view of `*body`.
  std::function<OutgoingRequest(const DutyCaller&, int64_t window,
                                const UsageCounts&, std::string* body)>
      encode;
  std::function<DutyAnswer(int status)> read;
};

// Thread safety: loop thread only.
class UsageReporter {
 public:
  // `replica`: this process's, or null while it has none.
  UsageReporter(struct ev_loop* loop, const Clock& clock, const WallClock& wall,
                UsageOptions options, std::function<Replica*()> replica,
                ControlMetrics& metrics);
  ~UsageReporter();
  UsageReporter(const UsageReporter&) = delete;
  UsageReporter& operator=(const UsageReporter&) = delete;

  // Joins what a follower told with its watch.
  void TakeReport(const WatchRequest& r);
  // Takes what the process that is followed told, in step with a leader.
  void TakeTold(const WatchReply& r);
  // Sets in `r` what followers are told.
  void Fill(WatchReply* r) const;
  void Tick();
  const UsageBook& book() const { return book_; }

 private:
  bool reports() const {
    return options_.policy.window > Duration::zero() && options_.encode;
  }
  void NoteOwnTime(TimePoint now);
  // Has the window that is due committed.
  void Fix(TimePoint now);
  void NoteFixed(int64_t window, TimePoint began, const absl::Status& s);
  // Sends the oldest committed report that is due.
  void Send(TimePoint now);
  // Whether a call can be made at once.
  bool Connected(TimePoint now);
  void Confirm(TimePoint now);
  void Call(int64_t window, uint64_t token, TimePoint now);
  void CallEnded(int64_t window, uint64_t token, bool whole);
  void GiveUpCall(TimePoint now);
  // Of this process's replica, if it leads.
  Replica* Leading() const;

  struct ev_loop* loop_;
  const Clock& clock_;
  const WallClock& wall_;
  UsageOptions options_;
  std::function<Replica*()> replica_;
  ControlMetrics& metrics_;
  GroupTime time_;
  UsageBook book_;
  DutyTurn turn_;
  UsageSendings sendings_;
  int64_t told_fixed_ = 0;
  uint64_t led_term_ = 0;  // That the sendings belong to.
  TimePoint own_time_at_{};
  bool fixing_ = false;
  bool confirming_ = false;
  std::shared_ptr<Http1Client> client_;
  TimePoint connect_not_before_{};
  // The call under way.
  bool calling_ = false;
  int64_t called_window_ = 0;
  uint64_t called_token_ = 0;
  TimePoint called_at_{};
  int status_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_USAGE_REPORTER_H_
