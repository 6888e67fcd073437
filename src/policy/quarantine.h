// Requests that crash what runs them, and are therefore sent nowhere.
//
// Load pattern: one caller's request ends each engine that begins to run it,
// with everything else that runs there; its caller comes again under a new id,
// at any entry, as fast as engines come back. Counted alone, crashes would
// convict whoever stood beside: so a request is refused only for crashes that
// no other request accounts for, and is cleared of those before it was served.
//
// Records only grow, and are joined: it makes no difference in which order, how
// often or through whom processes hear of them.
#ifndef MEDLARWALK_QUARANTINE_H_
#define MEDLARWALK_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "change_reports.h"
#include "request_print.h"
#include "types.h"

namespace medlarwalk {

// An upstream that ended while it had a request.
struct Crash {
  uint64_t upstream = 0;  // Hash of its id.
  TimePoint sent_at{};    // When it was given the request.
  TimePoint at{};
  // The request had just begun to run there, as far as could be seen.
  bool just_begun = false;
  // Not its doing: it was served later, or another upstream, which did not have
  // it, ended at the same moment.
  bool cleared = false;
};

// The crashes one request was there at.
struct CrashRecord {
  RequestPrint asks = 0;
  std::vector<Crash> crashes;
};

struct QuarantinePolicy {
  int crashes = 3;  // That make a request one that crashes upstreams.
  // The same where another was at all of them too: which of the two did it is
  // known as soon as one crash has only one of them. And where it had not just
  // begun each time, as most of those who stand beside have not.
  int crashes_if_unsure = 5;
  // A crash is another one only if the request was sent there after the one
  // before, as far as clocks agree: a loss of power ends many upstreams at
  // once, whatever they run.
  Duration clock_slack = Millis(5);
  // Ends of upstreams closer together than this are of one cause. A request
  // that was moved from the first may have been under way to the second.
  Duration apart = Millis(20);
  Duration memory = std::chrono::hours(1);  // Since the last crash.
  size_t most_records = 4096;
  size_t most_shared = 256;  // Told to all: those refused, then the newest.
  size_t most_crashes = 16;  // Of one record: the newest ones.
};

// The requests that account for crashes, those for most of them first: each for
// `policy.crashes` that are not accounted for by those before it.
std::vector<RequestPrint> CrashingRequests(absl::Span<const CrashRecord> all,
                                           const QuarantinePolicy& policy);

// Thread safety: loop thread only.
class Quarantine {
 public:
  explicit Quarantine(QuarantinePolicy policy = {}) : policy_(policy) {}

  // `upstream` ended while it had `asks`, as `crash` tells but for its id.
  void NoteCrash(RequestPrint asks, absl::string_view upstream, Crash crash);
  // `asks` was served: none of the crashes so far was its doing.
  void NoteServed(RequestPrint asks);
  // Joins what those who report here have noted. ChangedSince tells it on.
  void TakeReported(absl::Span<const CrashRecord> records);
  // Joins what the process holds that this one reports to.
  void TakeTold(absl::Span<const CrashRecord> records);
  // Forgets what is too old.
  void Tick(TimePoint now);

  // Whether `asks` is to be sent nowhere, and for how long from `now`.
  bool Refuses(RequestPrint asks) const { return refused_.count(asks) > 0; }
  Duration RefusedFor(RequestPrint asks, TimePoint now) const;
  // Grows whenever a request is refused that was not, or freed.
  uint64_t verdicts() const { return verdicts_; }
  size_t refused() const { return refused_.size(); }

  // Number of the last record noted or reported here.
  uint64_t seq() const { return seq_; }
  // Those noted or reported after `seq`, the newest `most`.
  std::vector<CrashRecord> ChangedSince(uint64_t seq, size_t most) const;
  // What all processes should know: requests beside more than one crash, sorted
  // by what they ask.
  std::vector<CrashRecord> Shared() const;
  // Tells the contents of Shared(); 0 where there are none.
  int64_t version() const { return version_; }

 private:
  struct Entry {
    CrashRecord record;
    uint64_t seq = 0;
  };
  // Joins one record; whether anything was new.
  bool Join(const CrashRecord& r, bool tell_on);
  void NoteEnd(const Crash& c);
  // Clears each crash of `r` of which one request cannot be the cause.
  void ClearCommon(CrashRecord& r) const;
  void Take(absl::Span<const CrashRecord> records, bool tell_on);
  void Bound();
  // Sets who is refused, and the version of what is told.
  void Judge();
  void Convict(absl::Span<const RequestPrint> crashing);
  // The records of more than one crash.
  std::vector<CrashRecord> BesideMore() const;

  QuarantinePolicy policy_;
  std::unordered_map<RequestPrint, Entry> entries_;
  std::map<uint64_t, TimePoint> ended_;  // By upstream, as first heard.
  std::multimap<TimePoint, uint64_t> ends_;
  std::set<RequestPrint> refused_;
  uint64_t verdicts_ = 0;
  uint64_t seq_ = 0;
  int64_t version_ = 0;
  TimePoint looked_at_{};  // For what is too old.
};

using CrashReports = ChangeReports<Quarantine>;

}  // namespace medlarwalk

#endif  // MEDLARWALK_QUARANTINE_H_
