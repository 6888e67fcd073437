#include "list_parts.h"

#include <algorithm>
#include <utility>

namespace medlarwalk {
namespace {

// Maximum number of readers of one read. Each of them costs a round trip, by
// which the list is known later.
constexpr size_t kMaxReadersPerRead = 4;
// A reader is lost if a part takes longer than this.
constexpr Duration kPartTimeout = Millis(400);
constexpr Duration kTimeoutPerPage = Millis(50);
// Time for which a failed reader gets no parts; doubles with each failure.
constexpr Duration kFirstPause = std::chrono::seconds(2);
constexpr Duration kMaxPause = std::chrono::seconds(16);

}  // namespace

const ListParts::Part& ListParts::Begin(const std::vector<std::string>& readers,
                                        int pages, TimePoint now) {
  began_at_ = now;
  readers_ = {""};
  for (const std::string& r : readers) {
    auto it = failures_.find(r);
    if (it == failures_.end() || now >= it->second.until) readers_.push_back(r);
  }
  // Readers that have left would be kept forever otherwise.
  for (auto it = failures_.begin(); it != failures_.end();) {
    bool forgotten = now >= it->second.until + kMaxPause;
    it = forgotten ? failures_.erase(it) : std::next(it);
  }
  size_t parts = std::min(readers_.size(), kMaxReadersPerRead);
  // A list of one page, or of unknown size, is not worth a round trip.
  if (pages < 2 || parts < 2) return OpenPart("", max_pages_, now);
  int n = static_cast<int>(parts);
  pages_per_part_ = (pages + n - 1) / n;
  return OpenPart(readers_[turn_++ % readers_.size()], pages_per_part_, now);
}

const ListParts::Part& ListParts::Next(TimePoint now) {
  failures_.erase(part_.reader);
  return OpenPart(readers_[turn_++ % readers_.size()], pages_per_part_, now);
}

const ListParts::Part& ListParts::ContinueAlone() {
  return OpenPart("", max_pages_, began_at_);
}

const ListParts::Part& ListParts::OnRefused(TimePoint now) {
  PauseReader(part_.reader, now);
  return ContinueAlone();
}

const ListParts::Part& ListParts::OnLost(TimePoint now) {
  PauseReader(part_.reader, now);
  began_at_ = now;
  return ContinueAlone();
}

const ListParts::Part& ListParts::OpenPart(std::string reader, int pages,
                                           TimePoint now) {
  open_ = true;
  ++part_.number;
  part_.reader = std::move(reader);
  part_.max_pages = pages;
  part_.deadline = now + kPartTimeout + pages * kTimeoutPerPage;
  return part_;
}

void ListParts::PauseReader(const std::string& reader, TimePoint now) {
  Failure& f = failures_[reader];
  f.pause = f.pause == Duration{} ? kFirstPause
                                  : std::min<Duration>(2 * f.pause, kMaxPause);
  f.until = now + f.pause;
}

}  // namespace medlarwalk
