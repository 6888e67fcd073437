// Gateway: client accounts. Counts late requests by account, records what the
// accounts consume at services with shared load, and holds requests of accounts
// above their equal share behind waiting ones.
#include "gateway.h"
#include "gateway_request.h"

namespace medlarwalk {
namespace {

// Output tokens of a running stream are recorded in steps of this many events.
constexpr int kRecordedEvents = 16;
// Minimum time between two passes over the waiting requests that held requests
// start. An account that sends thousands a second would otherwise start one
// with each request.
constexpr auto kHeldDispatchInterval = Millis(5);

}  // namespace

void Gateway::CountIfLate(const Request& r, TimePoint now) {
  Duration target = r.route->latency_target;
  if (target > Duration::zero() && now - r.exchange->arrived > target)
    metrics_.CountAccountLate(r.account);
}

const AccountShares* Gateway::SharesFor(const std::string& service) const {
  auto it = config_->services.find(service);
  bool shared = it != config_->services.end() && it->second.shared_load;
  return shared ? &account_shares_ : nullptr;
}

bool Gateway::MustQueue(const Request& r) {
  TimePoint now = clock_.Now();
  return r.service->shared_load && r.sends == 0 &&
         account_shares_.IsAboveEqualShare(r.account_key, now) &&
         waiting_queue_.LessServedAccountWaits(
             r.service->name, r.rank, r.account_key, account_shares_, now);
}

void Gateway::DispatchHeldRequest() {
  TimePoint now = clock_.Now();
  if (now - held_dispatch_at_ < kHeldDispatchInterval) return;
  held_dispatch_at_ = now;
  DispatchWaitingRequests();
}

void Gateway::RecordPromptUse(Request& r) {
  if (!r.service->shared_load || r.prompt_recorded) return;
  r.prompt_recorded = true;
  account_shares_.RecordUse(r.account_key, r.facts.prompt_tokens, clock_.Now());
}

// An event is one output token. The tokens of an answer that is not streamed
// are the caller's estimate.
void Gateway::RecordOutputUse(Request& r, bool ended) {
  if (!r.service || !r.service->shared_load) return;
  int64_t tokens = r.events - r.recorded_events;
  if (!ended && tokens < kRecordedEvents) return;
  r.recorded_events = r.events;
  if (ended && !r.stream() && r.have_head && r.answer.status / 100 == 2)
    tokens += r.facts.expected_output_tokens;
  if (tokens > 0)
    account_shares_.RecordUse(r.account_key, tokens, clock_.Now());
}

}  // namespace medlarwalk
