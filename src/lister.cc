#include "lister.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "log.h"
#include "random_seed.h"

namespace medlarwalk {
namespace {

constexpr auto kConnectTimeout = Millis(500);
// A page that has not come after this is given up, and the reading with it.
constexpr auto kPageTimeout = Millis(1000);
// So is a reading that is not whole after this, counted over all its pages:
// what its first pages said is too old by then.
constexpr auto kReadTimeout = std::chrono::seconds(3);
// A source that is asked more often than it allows refuses the rest of a
// second; beginning anew would use that up with the same first pages each time,
// and a list of more pages than it allows a second would never be read.
constexpr auto kPutOff = Millis(150);
constexpr int kTooManyCalls = 429;
// Between readings: the least, the most, and for each upstream of the list.
constexpr Duration kLeastInterval = Millis(600);
constexpr Duration kMostInterval = Millis(1500);
constexpr Duration kIntervalOfUpstream = std::chrono::microseconds(500);
constexpr double kShareOfCalls = 0.5;
// A list of more pages than this is taken for a loop in the source.
constexpr int kMaxPages = 200;

}  // namespace

Duration ListInterval(const ListLength& length, double calls_per_s) {
  Duration d = std::clamp<Duration>(
      static_cast<int64_t>(length.upstreams) * kIntervalOfUpstream,
      kLeastInterval, kMostInterval);
  if (calls_per_s <= 0) return d;
  return std::max(d,
                  BoundedSeconds(length.pages / (calls_per_s * kShareOfCalls)));
}

Lister::Lister(struct ev_loop* loop, const Clock& clock, ListSource source)
    : loop_(loop),
      clock_(clock),
      source_(std::move(source)),
      random_(static_cast<uint32_t>(RandomSeed())) {}

Lister::~Lister() {
  if (client_) client_->Cancel();
}

void Lister::Read(Done done) {
  done_ = std::move(done);
  list_.clear();
  pages_ = 0;
  unusable_ = 0;
  began_ = clock_.Now();
  ask_again_at_ = {};
  Page("");
}

void Lister::Tick() {
  if (!busy()) return;
  TimePoint now = clock_.Now();
  bool put_off = ask_again_at_ != TimePoint{};
  bool late = now - began_ >= kReadTimeout ||
              (!put_off && now - asked_at_ >= kPageTimeout);
  if (!late) {
    if (!put_off || now < ask_again_at_) return;
    ask_again_at_ = {};
    Page(std::exchange(put_off_page_, ""));
    return;
  }
  if (client_) client_->Cancel();
  client_.reset();
  End(absl::UnavailableError("timed out"));
}

void Lister::Page(const std::string& token) {
  asked_at_ = clock_.Now();
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
  call.on_end = [this, token](CallEnd end, absl::string_view why) {
    PageDone(token, end, why);
  };
  client_->Start(std::move(call));
}

void Lister::PageDone(const std::string& token, CallEnd end,
                      absl::string_view why) {
  if (end == CallEnd::kWhole && status_ == kTooManyCalls) {
    put_off_page_ = token;
    // Many may have been refused at once: they do not come back together.
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    ask_again_at_ =
        clock_.Now() + BoundedSeconds(ToSeconds(kPutOff) * spread(random_));
    return;
  }
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
    list_.push_back(std::move(u));
  }
  ++pages_;
  if (page->next.empty()) {
    if (unusable_ != unusable_told_) {
      LogWarn("list_entries_unusable", {{"entries", unusable_}});
      unusable_told_ = unusable_;
    }
    length_ = {list_.size(), pages_};
    End(std::move(list_));
    return;
  }
  if (pages_ >= kMaxPages) {
    End(absl::UnavailableError("too many pages"));
    return;
  }
  Page(page->next);
}

void Lister::End(absl::StatusOr<std::vector<UpstreamInfo>> r) {
  Done done = std::move(done_);
  done_ = nullptr;
  if (done) done(std::move(r));
}

}  // namespace medlarwalk
