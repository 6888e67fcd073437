// Reads the list of upstreams from its outside source, page by page, on one
// kept connection. How a page is asked for and read is passed in.
#ifndef MEDLARWALK_LISTER_H_
#define MEDLARWALK_LISTER_H_

#include <ev.h>

#include <functional>
#include <memory>
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
};

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
  // Pages of the last whole reading; 0 before it.
  int pages_of_list() const { return pages_of_list_; }

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
  int pages_of_list_ = 0;
  int unusable_ = 0;       // In this reading.
  int unusable_told_ = 0;  // To the log.
  int status_ = 0;
  std::string body_;
  TimePoint began_{};
  TimePoint asked_at_{};      // For the page under way.
  std::string put_off_page_;  // The source would not give it yet.
  TimePoint ask_again_at_{};  // For it; the epoch when none is put off.
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LISTER_H_
