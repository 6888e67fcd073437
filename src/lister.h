// Reads the list of upstreams from its external source, page by page, over one
// persistent connection. The caller provides the encoding of requests and the
// decoding of pages.
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
#include "poll_clock.h"
#include "upstream_list.h"

namespace medlarwalk {

// One page of the list.
struct ListPage {
  std::vector<UpstreamInfo> upstreams;
  std::string next_token;    // Token of the next page; empty for the last page.
  int unusable_entries = 0;  // Entries that do not describe an upstream.
  UnreadEntries unread;
};

// The external source of the list.
struct ListSource {
  Endpoint endpoint;
  // Returns the request for the page with this token ("" for the first page).
  std::function<OutgoingRequest(absl::string_view token)> encode;
  // Parses the body of an answer. An entry that cannot be read does not affect
  // the others. Errors: InvalidArgument if the body is not a page at all.
  std::function<absl::StatusOr<ListPage>(absl::string_view body)> decode;
  // Calls per second that the source accepts from all processes together; 0 if
  // unlimited.
  double calls_per_s = 0;
};

// Maximum number of pages. A list with more pages is treated as a loop in the
// source.
inline constexpr int kMaxListPages = 200;

// Size of a list.
struct ListLength {
  size_t upstreams = 0;
  int pages = 0;
};

// Returns the time between two reads of a list of this size. One process
// reads the whole list for all others. A list of thousands of
// upstreams, read as often as a small one, would saturate the network link of
// that host.
// - A small list is read often enough that a draining upstream is known well
//   within the seconds allowed.
// - A long list is read less often, at the same cost per second. The interval
//   stays below half of the shortest time that operators allow.
// - Reads use at most half of the calls that the source accepts, because other
//   processes must reach it too.
Duration ListPollInterval(const ListLength& length, double calls_per_s);

// Reads the list of upstreams. Thread safety: loop thread only.
class Lister {
 public:
  using Done = std::function<void(absl::StatusOr<std::vector<UpstreamInfo>>)>;
  Lister(struct ev_loop* loop, const Clock& clock, ListSource source);
  ~Lister();
  Lister(const Lister&) = delete;
  Lister& operator=(const Lister&) = delete;

  // What becomes of a page that the source rejects for its rate limit. kFail: a
  // rejected first page fails the read, and its caller decides when to read
  // again; other pages are retried.
  enum class OnRejected { kRetry, kEndPart, kFail };
  // Reads the whole list. Precondition: !busy(). Errors: ResourceExhausted if
  // the read fails because the source rejected its first page, otherwise
  // Unavailable.
  void Read(Done done, OnRejected on_rejected = OnRejected::kRetry);
  using PartDone = std::function<void(absl::StatusOr<ListPart>)>;
  // Reads at most `max_pages` pages, from the page with this token ("" for the
  // first page) on. Precondition: !busy(). Errors: Unavailable.
  void ReadPart(const std::string& token, int max_pages, OnRejected on_rejected,
                PartDone done);
  // Records the size of a complete list that was read in parts and what of it
  // is unread, and logs the number of its unusable entries if that has changed.
  void RecordCompleteRead(const ListPart& list);
  // Cancels a read without calling its `done`.
  void Cancel();
  // Retries a page that the source rejected for its rate limit, and fails a
  // read that takes too long. Must be called regularly.
  void Tick();
  bool busy() const { return static_cast<bool>(done_); }
  // Returns the size of the list at the last complete read; zeros before it.
  const ListLength& length() const { return length_; }
  // Returns what the last complete read left unread.
  const UnreadEntries& unread() const { return unread_; }

 private:
  void RequestPage(const std::string& token);
  void OnPageEnd(const std::string& token, CallEnd end,
                 absl::string_view reason);
  void OnPageRejected(const std::string& token);
  void FinishPart(absl::StatusOr<ListPart> r);

  struct ev_loop* loop_;
  const Clock& clock_;
  PollClock poll_clock_;  // The silence of the source is judged at this time.
  ListSource source_;
  std::shared_ptr<Http1Client> client_;
  PartDone done_;
  ListPart part_;  // Pages received in the current read.
  int max_pages_ = 0;
  OnRejected on_rejected_ = OnRejected::kRetry;
  ListLength length_;
  UnreadEntries unread_;
  int logged_unusable_ = 0;  // Number of unusable entries at the last log line.
  int status_ = 0;
  std::string body_;
  TimePoint read_began_at_{};
  TimePoint page_requested_at_{};  // Time when the last page was requested.
  // Token of a page that the source rejected; it is retried.
  std::string deferred_token_;
  // Time at which to retry the rejected page; the epoch if there is none.
  TimePoint retry_at_{};
  int rejections_ = 0;  // Number of rejections of the current page in a row.
  std::minstd_rand random_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LISTER_H_
