// Reads the list of upstreams from its outside source, page by page, on one
// kept connection. How a page is asked for and read is passed in.
#ifndef MEDLARWALK_LISTER_H_
#define MEDLARWALK_LISTER_H_

#include <ev.h>

#include <functional>
#include <memory>
#include <string>

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
  using Done = std::function<void(absl::StatusOr<UpstreamList>)>;
  Lister(struct ev_loop* loop, const Clock& clock, ListSource source);
  ~Lister();
  Lister(const Lister&) = delete;
  Lister& operator=(const Lister&) = delete;

  // Reads the whole list. Precondition: !busy(). Errors: Unavailable.
  void Read(Done done);
  // Gives up a reading that takes longer than its timeout; call regularly.
  void Tick();
  bool busy() const { return static_cast<bool>(done_); }

 private:
  void Page(const std::string& token);
  void PageDone(CallEnd end, absl::string_view why);
  void End(absl::StatusOr<UpstreamList> r);

  struct ev_loop* loop_;
  const Clock& clock_;
  ListSource source_;
  std::shared_ptr<Http1Client> client_;
  Done done_;
  UpstreamList list_;
  int pages_ = 0;
  int unusable_ = 0;       // In this reading.
  int unusable_told_ = 0;  // To the log.
  int status_ = 0;
  std::string body_;
  TimePoint began_{};
  int64_t readings_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LISTER_H_
