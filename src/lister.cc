#include "lister.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "log.h"
#include "random_seed.h"

namespace medlarwalk {
namespace {

constexpr auto kConnectTimeout = Millis(500);
// Time limit for one page. A page that takes longer fails the complete read.
constexpr auto kPageTimeout = Millis(1000);
// Time limit for reading all pages. After this time, the contents of the first
// pages are outdated.
constexpr auto kReadTimeout = std::chrono::seconds(3);
// Delay before retrying a page that the source rejected for its rate limit. The
// source rejects all calls for the rest of the second. Only the rejected page
// is read again: a read that restarted from the first page would use up the
// calls of the next second with the same pages, and would never complete a list
// with more pages than the source accepts calls per second. Each further
// rejection of the page doubles the delay, at most kMaxRetryDoublings times.
constexpr auto kRetryDelay = Millis(150);
constexpr int kMaxRetryDoublings = 2;
constexpr int kHttpTooManyRequests = 429;
// Time between two reads of the list: minimum, maximum, and increase per listed
// upstream.
constexpr Duration kMinInterval = Millis(600);
constexpr Duration kMaxInterval = Millis(1500);
constexpr Duration kIntervalPerUpstream = std::chrono::microseconds(500);
// Maximum share of the calls accepted by the source that reads may use.
constexpr double kMaxCallShare = 0.5;
// Maximum number of pages. A list with more pages is treated as a loop in the
// source.
constexpr int kMaxPages = 200;

}  // namespace

Duration ListPollInterval(const ListLength& length, double calls_per_s) {
  Duration d = std::clamp<Duration>(
      static_cast<int64_t>(length.upstreams) * kIntervalPerUpstream,
      kMinInterval, kMaxInterval);
  if (calls_per_s <= 0) return d;
  return std::max(d,
                  ClampedSeconds(length.pages / (calls_per_s * kMaxCallShare)));
}

Lister::Lister(struct ev_loop* loop, const Clock& clock, ListSource source,
               RejectedRead rejected_read)
    : loop_(loop),
      clock_(clock),
      source_(std::move(source)),
      rejected_read_(rejected_read),
      random_(static_cast<uint32_t>(RandomSeed())) {}

Lister::~Lister() {
  if (client_) client_->Cancel();
}

void Lister::Read(Done done) {
  done_ = std::move(done);
  upstreams_.clear();
  pages_read_ = 0;
  unusable_entries_ = 0;
  rejections_ = 0;
  read_began_at_ = clock_.Now();
  retry_at_ = {};
  RequestPage("");
}

void Lister::Tick() {
  if (!busy()) return;
  TimePoint now = clock_.Now();
  bool deferred = retry_at_ != TimePoint{};
  bool timed_out = now - read_began_at_ >= kReadTimeout ||
                   (!deferred && now - page_requested_at_ >= kPageTimeout);
  if (!timed_out) {
    if (!deferred || now < retry_at_) return;
    retry_at_ = {};
    RequestPage(std::exchange(deferred_token_, ""));
    return;
  }
  if (client_) client_->Cancel();
  client_.reset();
  FinishRead(absl::UnavailableError("timed out"));
}

void Lister::RequestPage(const std::string& token) {
  page_requested_at_ = clock_.Now();
  if (!client_ || !client_->open() ||
      clock_.Now() - client_->idle_since() > client_->max_idle_time()) {
    client_ =
        Http1Client::Open(loop_, clock_, source_.endpoint, kConnectTimeout);
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
  call.on_end = [this, token](CallEnd end, absl::string_view reason) {
    OnPageEnd(token, end, reason);
  };
  client_->Start(std::move(call));
}

void Lister::OnPageEnd(const std::string& token, CallEnd end,
                       absl::string_view reason) {
  if (end == CallEnd::kWhole && status_ == kHttpTooManyRequests) {
    if (pages_read_ == 0 && rejected_read_ == RejectedRead::kFails) {
      FinishRead(absl::ResourceExhaustedError("rejected for its rate limit"));
    } else {
      DeferPage(token);
    }
    return;
  }
  rejections_ = 0;
  if (end != CallEnd::kWhole || status_ != 200) {
    FinishRead(
        absl::UnavailableError(absl::StrCat("status ", status_, " ", reason)));
    return;
  }
  absl::StatusOr<ListPage> page = source_.decode(body_);
  if (!page.ok()) {
    FinishRead(page.status());
    return;
  }
  unusable_entries_ += page->unusable_entries;
  for (UpstreamInfo& u : page->upstreams) {
    upstreams_.push_back(std::move(u));
  }
  ++pages_read_;
  if (page->next_token.empty()) {
    if (unusable_entries_ != logged_unusable_) {
      LogWarn("list_entries_unusable", {{"entries", unusable_entries_}});
      logged_unusable_ = unusable_entries_;
    }
    length_ = {upstreams_.size(), pages_read_};
    FinishRead(std::move(upstreams_));
    return;
  }
  if (pages_read_ >= kMaxPages) {
    FinishRead(absl::UnavailableError("too many pages"));
    return;
  }
  RequestPage(page->next_token);
}

void Lister::DeferPage(const std::string& token) {
  deferred_token_ = token;
  Duration delay =
      kRetryDelay * (1 << std::min(rejections_, kMaxRetryDoublings));
  ++rejections_;
  // Randomizes the delay: processes rejected together must not retry together.
  std::uniform_real_distribution<double> jitter(0.5, 1.5);
  retry_at_ = clock_.Now() + ClampedSeconds(ToSeconds(delay) * jitter(random_));
}

void Lister::FinishRead(absl::StatusOr<std::vector<UpstreamInfo>> r) {
  Done done = std::move(done_);
  done_ = nullptr;
  if (done) done(std::move(r));
}

}  // namespace medlarwalk
