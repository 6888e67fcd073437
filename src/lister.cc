#include "lister.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "log.h"

namespace medlarwalk {
namespace {

constexpr auto kConnectTimeout = Millis(500);
// A reading that is not whole after this is given up; the next starts anew.
constexpr auto kReadTimeout = Millis(1000);
// A list of more pages than this is taken for a loop in the source.
constexpr int kMaxPages = 200;

}  // namespace

bool SameUpstreams(const UpstreamList& a, const UpstreamList& b) {
  return std::equal(
      a.upstreams.begin(), a.upstreams.end(), b.upstreams.begin(),
      b.upstreams.end(), [](const UpstreamInfo& x, const UpstreamInfo& y) {
        return x.id == y.id && x.born == y.born && x.service == y.service &&
               x.address == y.address && x.data_centre == y.data_centre &&
               x.leaving == y.leaving && x.slots == y.slots &&
               (x.warmup_left > Duration::zero()) ==
                   (y.warmup_left > Duration::zero());
      });
}

Lister::Lister(struct ev_loop* loop, const Clock& clock, ListSource source)
    : loop_(loop), clock_(clock), source_(std::move(source)) {}

Lister::~Lister() {
  if (client_) client_->Cancel();
}

void Lister::Read(Done done) {
  done_ = std::move(done);
  list_ = {};
  pages_ = 0;
  unusable_ = 0;
  began_ = clock_.Now();
  Page("");
}

void Lister::Tick() {
  if (!busy() || clock_.Now() - began_ < kReadTimeout) return;
  if (client_) client_->Cancel();
  client_.reset();
  End(absl::UnavailableError("timed out"));
}

void Lister::Page(const std::string& token) {
  if (!client_ || !client_->open() ||
      clock_.Now() - client_->idle_since() > client_->keep_for()) {
    client_ = Http1Client::Open(loop_, clock_, source_.at, kConnectTimeout);
  }
  body_.clear();
  status_ = 0;
  UpstreamCall call;
  call.request = source_.encode(token);
  call.on_head = [this](const MessageHead& h) {
    status_ = h.status;
    return true;
  };
  call.on_body = [this](absl::string_view d) {
    body_.append(d.data(), d.size());
  };
  call.on_end = [this](CallEnd end, absl::string_view why) {
    PageDone(end, why);
  };
  client_->Start(std::move(call));
}

void Lister::PageDone(CallEnd end, absl::string_view why) {
  if (end != CallEnd::kWhole || status_ != 200) {
    End(absl::UnavailableError(absl::StrCat("status ", status_, " ", why)));
    return;
  }
  absl::StatusOr<ListPage> page = source_.decode(body_);
  if (!page.ok()) {
    End(page.status());
    return;
  }
  unusable_ += page->unusable;
  for (UpstreamInfo& u : page->upstreams) {
    list_.upstreams.push_back(std::move(u));
  }
  if (page->next.empty()) {
    if (unusable_ != unusable_told_) {
      LogWarn("list_entries_unusable", {{"entries", unusable_}});
      unusable_told_ = unusable_;
    }
    // Unlike any other reading's, also of another process.
    list_.version = static_cast<int64_t>(
        StableHash(absl::StrCat(clock_.Now().time_since_epoch().count(), ".",
                                ++readings_)) >>
        1);
    End(std::move(list_));
    return;
  }
  if (++pages_ >= kMaxPages) {
    End(absl::UnavailableError("too many pages"));
    return;
  }
  Page(page->next);
}

void Lister::End(absl::StatusOr<UpstreamList> r) {
  Done done = std::move(done_);
  done_ = nullptr;
  if (done) done(std::move(r));
}

}  // namespace medlarwalk
