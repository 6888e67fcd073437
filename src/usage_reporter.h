// Reports usage to an outside system; one host does it for the whole group. The
// reporter merges the counts of entries, proposes the counts of each window for
// commit and sends the committed reports. This class makes the calls and reads
// the clocks. The leadership and schedule classes of the duty folder decide
// which host sends which report, and when.
#ifndef MEDLARWALK_USAGE_REPORTER_H_
#define MEDLARWALK_USAGE_REPORTER_H_

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control_wire.h"
#include "duty_leadership.h"
#include "group_time.h"
#include "http1_client.h"
#include "metrics.h"
#include "poll_clock.h"
#include "replica.h"
#include "usage_copies.h"
#include "usage_processes.h"
#include "usage_schedule.h"

namespace medlarwalk {

// The outcome of a report, from the outside system's answer.
enum class DutyAnswer {
  kAccepted,
  kRefused,  // The outside system has seen a higher fencing token.
  kFailed,   // Unknown outcome: the report may be accepted already, or later.
};

// The sender of a report and its fencing token.
struct DutyCaller {
  std::string holder;
  uint64_t token = 0;
};

// The destination of reports and their format.
struct UsageOptions {
  std::string name;    // Name of this process's host, as the duty holder.
  Endpoint endpoint;   // Address of the outside system.
  UsagePolicy policy;  // If its window is 0, this process reports no usage.
  DutyLeadershipPolicy
      leadership;  // Rules for when this process may hold the duty.
  // Duty calls per second that the outside system accepts from all processes
  // together; 0 if unlimited.
  double calls_per_s = 0;
  // Writes the request for a report. Its body is a view of `*body`.
  std::function<OutgoingRequest(const DutyCaller&, int64_t window,
                                const UsageCounts&, std::string* body)>
      encode;
  // Interprets the HTTP status of an answer.
  std::function<DutyAnswer(int status)> interpret_status;
};

// Collects, commits and sends usage reports. Thread safety: loop thread only.
class UsageReporter {
 public:
  // `replica` returns this process's replica, or null if there is none.
  UsageReporter(struct ev_loop* loop, const Clock& clock, const WallClock& wall,
                UsageOptions options, std::function<Replica*()> replica,
                ControlMetrics& metrics);
  ~UsageReporter();
  UsageReporter(const UsageReporter&) = delete;
  UsageReporter& operator=(const UsageReporter&) = delete;

  // Records the wall clock time and the usage that a follower reports with its
  // watch.
  void MergeFollowerReport(const WatchRequest& r);
  // Records the group's time, the committed window and the usage copy published
  // by the process that this one follows. Precondition: that process is up to
  // date with a leader.
  void MergePublished(const WatchReply& r);
  // Sets the group's time, the committed window and the usage copy in the reply
  // to a watch of `follower`, and records that the watch served it.
  void FillReply(const std::string& follower, WatchReply* r);
  // Samples the wall clock, commits the window that is due and sends the report
  // that is due. Must be called regularly.
  void Tick();
  // Returns all usage that this process holds.
  const UsageLedger& ledger() const { return ledger_; }
  // Returns the number of the last usage copy received; 0 if none.
  int64_t copy_received() const { return copy_received_; }
  // Returns whether this process is to forward its usage without delay, because
  // a follower has reported usage of a window whose commit may wait for it. The
  // next call returns false until another such report arrives.
  bool TakeOverdueReport();

 private:
  bool reports_usage() const {
    return options_.policy.window > Duration::zero() && options_.encode;
  }
  void SampleOwnClock(TimePoint now);
  void MergeUsage(const WatchRequest& r, const UsageReport& report);
  // Adds the copies held for a previous leader to the usage of this process.
  void TakeOverCopies(uint64_t term);
  void DropCommittedWindows();
  bool IsMember(const std::string& address) const;
  // Proposes the counts of the window that is due, if any, for commit.
  void CommitDueWindow(TimePoint now);
  void OnCommitFinished(const WindowCommit& c, TimePoint began_at,
                        const absl::Status& s);
  // Sends the oldest committed report that is due, if any.
  void SendDueReport(TimePoint now);
  // Returns whether a connection is established; opens one if there is none.
  bool EnsureConnected(TimePoint now);
  // Has a quorum confirm the leadership, then sends the due report.
  void ConfirmLeadershipAndSend(TimePoint now);
  void SendReport(int64_t window, uint64_t token, TimePoint now);
  void OnCallEnded(int64_t window, uint64_t token, bool complete);
  void AbortCall(TimePoint now);
  // Returns this process's replica if it is the leader, otherwise null.
  Replica* LeadingReplica() const;

  struct ev_loop* loop_;
  const Clock& clock_;
  PollClock poll_clock_;  // The silence of a call is judged at this time.
  const WallClock& wall_;
  UsageOptions options_;
  std::function<Replica*()> replica_;
  ControlMetrics& metrics_;
  GroupTime group_time_;
  UsageLedger ledger_;
  UsageCopySender copies_sent_;
  UsageLedger copies_held_;  // Copies held for the leader of copies_term_.
  uint64_t copies_term_ = 0;
  int64_t copy_received_ = 0;
  // The processes that report directly to this one, by the follower's name.
  std::map<std::string, uint64_t> served_processes_;
  bool overdue_report_ = false;
  TimePoint overdue_taken_at_{};
  TimePoint assessed_at_{};  // Last time at which a commit was considered.
  DutyLeadership leadership_;
  UsageDeliveries deliveries_;
  // Newest committed window known to this process.
  int64_t committed_through_ = 0;
  uint64_t deliveries_term_ = 0;  // Term that `deliveries_` belongs to.
  TimePoint own_sample_at_{};
  bool committing_ = false;
  bool confirmation_pending_ = false;
  std::shared_ptr<Http1Client> client_;
  TimePoint next_connect_at_{};
  // State of the call in flight.
  bool call_in_flight_ = false;
  int64_t called_window_ = 0;
  uint64_t called_token_ = 0;
  TimePoint called_at_{};
  int status_ = 0;  // HTTP status of the answer; 0 until it arrives.
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_USAGE_REPORTER_H_
