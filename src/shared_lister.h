// Reads the list of upstreams together with other control processes: the
// process that needs the list (the leader) asks others to read pages for it and
// assembles them. duty/list_parts decides who reads which pages.
#ifndef MEDLARWALK_SHARED_LISTER_H_
#define MEDLARWALK_SHARED_LISTER_H_

#include <ev.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "h2.h"
#include "link_pool.h"
#include "list_parts.h"
#include "lister.h"
#include "poll_clock.h"

namespace medlarwalk {

// Reads a list for this process, and parts of lists for other processes. Thread
// safety: loop thread only.
class SharedLister {
 public:
  // A complete list.
  struct ReadList {
    std::vector<UpstreamInfo> upstreams;
    // Every page was read at or after this time.
    TimePoint read_at{};
  };
  using Done = std::function<void(absl::StatusOr<ReadList>)>;

  // `links` must outlive this object.
  SharedLister(struct ev_loop* loop, const Clock& clock, ListSource source,
               LinkPool& links);
  ~SharedLister() { Cancel(); }
  SharedLister(const SharedLister&) = delete;
  SharedLister& operator=(const SharedLister&) = delete;

  // Reads the whole list. `readers` are the addresses of the control processes
  // that can read parts of it; without any, this process reads alone.
  // Precondition: !busy(). Errors: Unavailable.
  void Read(const std::vector<std::string>& readers, Done done);
  // Ends a read for this process without calling its `done`.
  void Cancel();
  // Notices lost readers. Must be called regularly.
  void Tick();
  // Whether a read for this process or for another one is in progress.
  bool busy() const { return done_ || lister_.busy(); }
  const ListLength& length() const { return lister_.length(); }
  // Returns what the last complete read left unread.
  const UnreadEntries& unread() const { return lister_.unread(); }

  // Answers another process's request to read a part. Refuses it while this
  // process reads for itself. A new request ends the one before, whose sender
  // no longer waits.
  void HandlePartRequest(const H2Request& req,
                         std::shared_ptr<H2Stream> stream);

 private:
  void RequestPart(const ListParts::Part& part);
  void RequestPartFrom(const ListParts::Part& part);
  void OnAnswer(uint64_t number, int status, const std::string& body);
  void OnPart(absl::StatusOr<ListPart> r);
  void RestartAlone(absl::string_view why);
  void Finish(absl::StatusOr<ReadList> r);

  const Clock& clock_;
  PollClock poll_clock_;  // The silence of a reader is judged at this time.
  LinkPool& links_;
  Lister lister_;
  ListParts parts_{kMaxListPages};
  Done done_;
  ListPart read_so_far_;
  TimePoint part_requested_at_{};
  // Handle of the open request to another process; 0 if there is none.
  int32_t open_request_ = 0;
  // Stream of the part that is read for another process.
  std::shared_ptr<H2Stream> served_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_SHARED_LISTER_H_
