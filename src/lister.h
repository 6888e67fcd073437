// Reads the list of upstreams from its outside source, page by page, on one
// kept connection. How a page is asked for and read is passed in.
#ifndef MEDLARWALK_LISTER_H_
#define MEDLARWALK_LISTER_H_

#include <ev.h>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "http1_client.h"
#include "upstream_list.h"

namespace medlarwalk {

// One page of the list.
struct ListPage {
  std::vector<UpstreamInfo> upstreams;
  std::string next;  // Empty on the last page.
  int unusable = 0;  // Entries that name no upstream.
};

// The outside source of the list.
struct ListSource {
  Endpoint at;
  // The request for the page `token` ("" for the first).
  std::function<OutgoingRequest(absl::string_view token)> encode;
  std::function<absl::StatusOr<ListPage>(absl::string_view body)> decode;
  // Calls a second that it takes from all processes together; 0: any number.
  double calls_per_s = 0;
};

// How long a list is.
struct ListLength {
  size_t upstreams = 0;
  int pages = 0;
};

// The time from one reading of a list of that length to the next. Load pattern:
// one process reads the list for all, and each reading is as long as the list:
// of thousands of upstreams, read as often as a small one, it fills the link of
// its host. A small list is read often enough that a leaving upstream is known
// well within the seconds allowed; a long one less often, so that reading costs
// the same, but still within half of the least time that operators allow; and
// never at more than half of the calls that the source takes, as others must
// reach it, too.
Duration ListInterval(const ListLength& length, double calls_per_s);

// Thread safety: loop thread only.
class Lister {
 public:
  using Done = std::function<void(absl::StatusOr<std::vector<UpstreamInfo>>)>;
  Lister(struct ev_loop* loop, const Clock& clock, ListSource source);
  ~Lister();
  Lister(const Lister&) = delete;
  Lister& operator=(const Lister&) = delete;

  // Reads the whole list. Precondition: !busy(). Errors: Unavailable.
  void Read(Done done);
  // Goes on with a page that the source would not give yet, and gives up a
  // reading that takes too long; call regularly.
  void Tick();
  bool busy() const { return static_cast<bool>(done_); }
  // Of the last whole reading; nothing before it.
  const ListLength& length() const { return length_; }

 private:
  void Page(const std::string& token);
  void PageDone(const std::string& token, CallEnd end, absl::string_view why);
  void End(absl::StatusOr<std::vector<UpstreamInfo>> r);

  struct ev_loop* loop_;
  const Clock& clock_;
  ListSource source_;
  std::shared_ptr<Http1Client> client_;
  Done done_;
  std::vector<UpstreamInfo> list_;
  int pages_ = 0;  // Read so far.
  ListLength length_;
  int unusable_ = 0;       // In this reading.
  int unusable_told_ = 0;  // To the log.
  int status_ = 0;
  std::string body_;
  TimePoint began_{};
  TimePoint asked_at_{};      // For the page under way.
  std::string put_off_page_;  // The source would not give it yet.
  TimePoint ask_again_at_{};  // For it; the epoch when none is put off.
  std::minstd_rand random_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LISTER_H_
