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
// Size at which a page is cut off, so that it cannot exhaust the memory of this
// process.
constexpr size_t kMaxPageBytes = size_t{8} << 20;
// Time between two reads of the list: minimum, maximum, and increase per listed
// upstream.
constexpr Duration kMinInterval = Millis(600);
constexpr Duration kMaxInterval = Millis(1500);
constexpr Duration kIntervalPerUpstream = std::chrono::microseconds(500);
// Maximum share of the calls accepted by the source that reads may use.
constexpr double kMaxCallShare = 0.5;

}  // namespace

Duration ListPollInterval(const ListLength& length, double calls_per_s) {
  Duration d = std::clamp<Duration>(
      static_cast<int64_t>(length.upstreams) * kIntervalPerUpstream,
      kMinInterval, kMaxInterval);
  if (calls_per_s <= 0) return d;
  return std::max(d,
                  ClampedSeconds(length.pages / (calls_per_s * kMaxCallShare)));
}

Lister::Lister(struct ev_loop* loop, const Clock& clock, ListSource source)
    : loop_(loop),
      clock_(clock),
      poll_clock_(loop, clock),
      source_(std::move(source)),
      random_(static_cast<uint32_t>(RandomSeed())) {}

Lister::~Lister() {
  if (client_) client_->Cancel();
}

void Lister::Read(Done done, OnRejected on_rejected) {
  ReadPart("", kMaxListPages, on_rejected,
           [this, done = std::move(done)](absl::StatusOr<ListPart> r) {
             if (!r.ok()) {
               done(r.status());
               return;
             }
             if (!r->complete) {
               done(absl::UnavailableError("too many pages"));
               return;
             }
             RecordCompleteRead(*r);
             done(std::move(r->upstreams));
           });
}

void Lister::ReadPart(const std::string& token, int max_pages,
                      OnRejected on_rejected, PartDone done) {
  done_ = std::move(done);
  part_ = {};
  max_pages_ = max_pages;
  on_rejected_ = on_rejected;
  rejections_ = 0;
  read_began_at_ = clock_.Now();
  retry_at_ = {};
  RequestPage(token);
}

void Lister::RecordCompleteRead(const ListPart& list) {
  length_ = {list.upstreams.size(), list.pages};
  bool changed = list.unusable_entries != logged_unusable_ ||
                 list.unread.count != unread_.count ||
                 list.unread.rest != unread_.rest;
  unread_ = list.unread;
  if (!changed) return;
  LogWarn("list_entries_unusable", {{"entries", list.unusable_entries},
                                    {"unread", unread_.count},
                                    {"rest_unread", unread_.rest ? 1 : 0}});
  logged_unusable_ = list.unusable_entries;
}

void Lister::Cancel() {
  if (client_) client_->Cancel();
  client_.reset();
  done_ = nullptr;
}

void Lister::Tick() {
  if (!busy()) return;
  TimePoint polled_at = poll_clock_.Now();
  bool deferred = retry_at_ != TimePoint{};
  bool timed_out =
      polled_at - read_began_at_ >= kReadTimeout ||
      (!deferred && polled_at - page_requested_at_ >= kPageTimeout);
  if (!timed_out) {
    if (!deferred || clock_.Now() < retry_at_) return;
    retry_at_ = {};
    RequestPage(std::exchange(deferred_token_, ""));
    return;
  }
  if (client_) client_->Cancel();
  client_.reset();
  FinishPart(absl::UnavailableError("timed out"));
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
  call.on_body = [this, token](absl::string_view d) {
    size_t room = kMaxPageBytes - body_.size();
    body_.append(d.data(), std::min(room, d.size()));
    if (d.size() <= room) return;
    // The part of the page received so far is used as a page that breaks off.
    client_->Cancel();
    client_.reset();
    OnPageEnd(token, CallEnd::kWhole, "page too large");
  };
  call.on_end = [this, token](CallEnd end, absl::string_view reason) {
    OnPageEnd(token, end, reason);
  };
  client_->Start(std::move(call));
}

void Lister::OnPageEnd(const std::string& token, CallEnd end,
                       absl::string_view reason) {
  if (end == CallEnd::kWhole && status_ == kHttpTooManyRequests) {
    OnPageRejected(token);
    return;
  }
  rejections_ = 0;
  if (end != CallEnd::kWhole || status_ != 200) {
    FinishPart(
        absl::UnavailableError(absl::StrCat("status ", status_, " ", reason)));
    return;
  }
  absl::StatusOr<ListPage> page = source_.decode(body_);
  if (!page.ok()) {
    FinishPart(page.status());
    return;
  }
  part_.unusable_entries += page->unusable_entries;
  Append(std::move(page->unread), &part_.unread);
  for (UpstreamInfo& u : page->upstreams) {
    part_.upstreams.push_back(std::move(u));
  }
  ++part_.pages;
  part_.complete = page->next_token.empty();
  part_.next_token = page->next_token;
  if (part_.complete || part_.pages >= max_pages_) {
    FinishPart(std::move(part_));
    return;
  }
  RequestPage(page->next_token);
}

void Lister::OnPageRejected(const std::string& token) {
  if (on_rejected_ == OnRejected::kEndPart) {
    part_.next_token = token;
    FinishPart(std::move(part_));
    return;
  }
  if (on_rejected_ == OnRejected::kFail && part_.pages == 0) {
    FinishPart(absl::ResourceExhaustedError("rejected for its rate limit"));
    return;
  }
  deferred_token_ = token;
  Duration delay =
      kRetryDelay * (1 << std::min(rejections_, kMaxRetryDoublings));
  ++rejections_;
  // Randomizes the delay: processes rejected together must not retry together.
  std::uniform_real_distribution<double> jitter(0.5, 1.5);
  retry_at_ = clock_.Now() + ClampedSeconds(ToSeconds(delay) * jitter(random_));
}

void Lister::FinishPart(absl::StatusOr<ListPart> r) {
  PartDone done = std::move(done_);
  done_ = nullptr;
  if (done) done(std::move(r));
}

}  // namespace medlarwalk
