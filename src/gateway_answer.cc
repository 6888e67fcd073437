// Gateway: handling of an upstream's answer. Signed successful streams are
// relayed event by event. Other answers are buffered until they are complete.
// An answer is not trusted if it belongs to another request, or if it reports
// success without the upstream's signature.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway.h"
#include "gateway_request.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Maximum size of a buffered answer. Answers that are not streams are buffered
// until they are complete; of a stream, so is each event.
constexpr size_t kMaxHeldAnswerBytes = 4 << 20;
// An answer that does not fit the buffers takes the place of another one that
// is this many times as large, which may have no end.
constexpr size_t kMuchLarger = 4;
// Unsent bytes of one caller's answer at which reading from the upstream pauses
// until the caller has read them all.
constexpr size_t kMaxUnsentBytes = size_t{256} * 1024;
// Sum of these limits over all callers.
constexpr size_t kMaxUnsentBytesOfAll = size_t{16} * 1024 * 1024;

}  // namespace

size_t UnsentBytesLimit(size_t callers) {
  return std::min(kMaxUnsentBytes,
                  kMaxUnsentBytesOfAll / std::max<size_t>(callers, 1));
}

bool Gateway::OnAnswerHead(Request& r, const MessageHead& head) {
  AnswerFacts f = dialect_.read_answer(head);
  TimePoint now = clock_.Now();
  bool success = head.status / 100 == 2;
  if (f.echoed_id && *f.echoed_id != r.facts.id &&
      (!f.echoed_id->empty() || success)) {
    LogEvent("answer_skipped", {{"request", r.facts.id},
                                {"upstream", r.upstream},
                                {"bears", *f.echoed_id}});
    return false;
  }
  if (f.echoed_id && *f.echoed_id != r.facts.id) {
    LogEvent("answer_unbound", {{"request", r.facts.id},
                                {"upstream", r.upstream},
                                {"status", head.status}});
    std::optional<std::string> echoed_id = std::move(f.echoed_id);
    f = {};
    f.echoed_id = std::move(echoed_id);
    f.unbound = true;
  }
  r.progress_at = now;
  if (UpstreamState* u = pool_.Find(r.upstream)) {
    u->last_activity_at = now;
    if (f.has_load) RecordLoadReport(*u, f.running, f.waiting, now);
    RecordAnnouncedLimit(r, *u, f);
    if (!f.other_upstream) RecordBackoff(r, *u, f.backoff);
    if (!f.other_upstream && f.draining && pool_.RecordDraining(r.upstream)) {
      LogEvent("upstream_says_leaving", {{"upstream", r.upstream},
                                         {"request", r.facts.id},
                                         {"in_flight", u->in_flight}});
    }
  }
  r.answer = head;
  r.answer_facts = std::move(f);
  r.have_head = true;
  r.head_at = now;
  if (!r.answer_facts.not_run) r.may_have_run = true;
  r.relaying = r.stream() && success && r.answer_facts.has_signature;
  bool first_token_follows = r.service->engine && success;
  if (!r.answer_facts.not_run && !first_token_follows) CountAccountRequest(r);
  return true;
}

// Counts a request of a client account once when it has begun to run,
// regardless of retries. A request to an engine counts as begun when its first
// token or an error answer arrives. A request to a plain service has already
// begun when its answer arrives.
void Gateway::CountAccountRequest(Request& r) {
  if (r.run_counted || !options_.on_request_run || r.account.empty()) return;
  r.run_counted = true;
  options_.on_request_run(r.account);
}

void Gateway::OnAnswerBody(Request& r, absl::string_view data) {
  TimePoint now = clock_.Now();
  r.progress_at = now;
  if (UpstreamState* u = pool_.Find(r.upstream)) {
    u->last_activity_at = now;
    if (r.service->timed_placement && r.work.engine != 0 &&
        !r.work.first_event && r.relaying)
      RecordTimedFirstEvent(r, *u, now);
    CountFirstEvent(&r.work, *u);
  }
  if (r.first_event_pending && r.relaying) {
    r.first_event_pending = false;
    if (UpstreamState* u = pool_.Find(r.upstream))
      RecordFirstEventTime(*u, now - r.sent_at, now);
  }
  if (r.prefill_pending) {
    OnPrefillDone(r, now);
    // Requests that already wait get the freed slot before new requests.
    DispatchWaitingRequests();
  }
  if (!r.relaying) {
    r.buffered_body.append(data.data(), data.size());
    if (!FitsBuffers(r))
      HandleFailedAttempt(r, CallEnd::kInterrupted, "answer too large");
    return;
  }
  uint64_t seq = r.seq;
  int attempt = r.attempt;
  bool whole = r.splitter.Feed(
      data, [&](absl::string_view event) { return RelayEvent(r, event); });
  if (!FindAttempt(seq, attempt)) return;
  if (!whole) {
    HandleFailedAttempt(r, CallEnd::kInterrupted, "events out of order");
    return;
  }
  if (!FitsBuffers(r)) {
    HandleFailedAttempt(r, CallEnd::kInterrupted, "event too large");
    return;
  }
  if (r.exchange->unsent() > UnsentBytesLimit(requests_.size()))
    PauseReading(r);
}

// Stops reading from the upstream until the caller has read its answer so far.
void Gateway::PauseReading(Request& r) {
  r.read_paused = true;
  r.connection->SetReadPaused(true);
  r.exchange->set_on_drained([this, seq = r.seq, attempt = r.attempt] {
    Request* q = FindAttempt(seq, attempt);
    if (!q || !q->read_paused) return;
    q->read_paused = false;
    q->progress_at = clock_.Now();
    q->connection->SetReadPaused(false);
  });
}

// Counts the bytes that the attempt buffers. Returns whether they fit the
// limits.
bool Gateway::FitsBuffers(Request& r) {
  size_t n = r.buffered_body.size() + r.splitter.pending();
  buffered_bytes_ += n - r.buffered_bytes;
  r.buffered_bytes = n;
  if (n > kMaxHeldAnswerBytes) return false;
  while (n > 0 && buffered_bytes_ > options_.max_buffered_bytes) {
    if (!CutLargestBuffer(kMuchLarger * n)) return false;
  }
  return true;
}

// Ends the attempt that buffers the most bytes. Returns false if it buffers
// less than `min_bytes`.
bool Gateway::CutLargestBuffer(size_t min_bytes) {
  uint64_t seq = 0;
  const Attempt* largest = nullptr;
  auto consider = [&](uint64_t s, const Attempt& a) {
    if (a.buffered_bytes < min_bytes) return;
    min_bytes = a.buffered_bytes;
    largest = &a;
    seq = s;
  };
  for (const auto& [s, r] : requests_) {
    consider(s, *r);
    for (const auto& other : r->others) consider(s, *other);
  }
  Request* r = largest ? FindAttempt(seq, largest->attempt) : nullptr;
  if (!r) return false;
  HandleFailedAttempt(*r, CallEnd::kInterrupted, "largest of too many answers");
  return true;
}

void Gateway::DiscardBufferedBody(Attempt& a) {
  buffered_bytes_ -= std::exchange(a.buffered_bytes, 0);
  // An assignment would keep the memory.
  std::string().swap(a.buffered_body);
  a.splitter = EventSplitter();
}

// Records that the engine has finished the prefill. Called when the first bytes
// of the answer's body arrive.
void Gateway::OnPrefillDone(Request& r, TimePoint now) {
  r.prefill_pending = false;
  PrefillLimiter& limiter = PrefillLimiterFor(r.service->name);
  limiter.RecordPrefillEnd(r.tier);
  Duration elapsed = now - r.sent_at;
  limiter.RecordFirstEvent(elapsed, r.route->latency_target);
  UpstreamState* u = pool_.Find(r.upstream);
  if (!u) return;
  --u->prefills_in_flight;
  u->own_prefill_tiers.Remove(r.tier);
  RecordFirstEvent(*u, elapsed, r.route->latency_target, options_.placement);
}

// Relays one event to the caller. Returns false if the event's id does not
// follow the id of the last relayed event.
bool Gateway::RelayEvent(Request& r, absl::string_view event) {
  std::optional<int64_t> id = ParseEventId(event);
  if (id && r.last_event) {
    // After a resumption, the upstream repeats events that the caller already
    // has.
    if (*id <= *r.last_event) return true;
    if (*id != *r.last_event + 1) return false;
  }
  EndSupersededAttempts(r);
  if (r.service->engine && r.events == 0) {
    prefix_cache_index_.RecordPrefilled(r.facts.parts, r.upstream,
                                        clock_.Now());
  }
  if (r.service->engine) CountAccountRequest(r);
  if (!r.stream_started) {
    r.exchange->StartAnswer(r.answer.status, r.answer.reason,
                            HeadersForCaller(r.answer));
    r.stream_started = true;
    r.first_event_at = clock_.Now();
    metrics_.ObserveFirstToken(
        MetricLabel(r), ToSeconds(r.first_event_at - r.exchange->arrived));
    CountIfLate(r, r.first_event_at);
  }
  TimePoint now = clock_.Now();
  TrackSteadyAnswer(r, now);
  if (r.events > 0) MeasureEventGap(r, now);
  if (r.shape == WorkShape::kDecode) MeasureDecodePace(r, now);
  r.last_event_at = now;
  r.exchange->Write(event);
  if (id) r.last_event = id;
  if (const UpstreamState* u = pool_.Find(r.upstream); u && !r.build)
    r.build = u->info.build;
  ++r.events;
  RecordOutputUse(r, false);
  return true;
}

// Records the parts of the prompt as harmless once events have arrived steadily
// for a while. A long gap starts the time anew: after a freeze of this process,
// events that arrived before it would seem to be far apart.
void Gateway::TrackSteadyAnswer(Request& r, TimePoint now) {
  if (r.attempt_began_at == TimePoint{}) {
    r.attempt_began_at = r.steady_since = now;
    return;
  }
  if (now - r.last_event_at >= kBeginsAnswerWindow) r.steady_since = now;
  if (!r.served_recorded && now - r.steady_since >= kBeginsAnswerWindow)
    RecordServedParts(r);
}

void Gateway::RecordServedParts(Request& r) {
  r.served_recorded = true;
  TimePoint began =
      r.attempt_began_at == TimePoint{} ? r.head_at : r.attempt_began_at;
  quarantine_.RecordServedParts(r.crash_keys, began);
}

// Returns whether the complete answer of `r` proves that the upstream did not
// crash under it. The end of an answer that ends with its connection may be the
// end of the upstream.
bool Gateway::ProvesServed(const Request& r) {
  return r.end_detected_by != EndDetectionName(EndDetection::kClose);
}

// Records the gap between the previous event and the current one.
void Gateway::MeasureEventGap(Request& r, TimePoint now) {
  Duration gap = now - r.last_event_at;
  if (gap > r.longest_gap) {
    r.longest_gap = gap;
    r.longest_gap_upstream = r.upstream;
  }
  bool same_upstream = r.last_event_at > r.sent_at;
  if (UpstreamState* u = pool_.Find(r.upstream); u && same_upstream) {
    RecordEventGap(*u, gap, now);
    if (r.service->timed_placement) RecordTimedEventGap(r, *u, gap, now);
  }
  if (r.shape != WorkShape::kDecode || !same_upstream) return;
  RecordEventGapShare(ToSeconds(gap) / ToSeconds(r.route->event_gap_target),
                      now, options_.placement,
                      &decode_demand_[r.service->name]);
}

// Records the decode pace as a mean over a few consecutive events. Single gaps
// vary too much, because the network delays events unevenly.
void Gateway::MeasureDecodePace(Request& r, TimePoint now) {
  constexpr int kPaceWindowEvents = 8;
  if (r.pace_window_start < r.sent_at) {
    r.pace_window_start = now;
    r.pace_window_events = 0;
    return;
  }
  if (++r.pace_window_events < kPaceWindowEvents) return;
  if (UpstreamState* u = pool_.Find(r.upstream)) {
    RecordDecodePace(*u, (now - r.pace_window_start) / kPaceWindowEvents, now);
    decode_paces_changed_ = true;
  }
  r.pace_window_start = now;
  r.pace_window_events = 0;
}

void Gateway::OnCallEnd(Request& r, CallEnd end, absl::string_view why) {
  TimePoint now = clock_.Now();
  if (end != CallEnd::kWhole) {
    HandleFailedAttempt(r, end, why);
    return;
  }
  r.end_detected_by = std::string(why);
  UpstreamState* u = pool_.Find(r.upstream);
  bool success = r.answer.status / 100 == 2;
  if (success && !r.answer_facts.has_signature) {
    HandleFailedAttempt(r, CallEnd::kNoAnswer, "success without signature");
    return;
  }
  if (r.answer_facts.unbound) {
    HandleFailedAttempt(r, CallEnd::kNoAnswer, "answer names no request");
    return;
  }
  bool unconfirmed = r.answer_facts.unconfirmed_not_run && !r.repeatable();
  if (r.answer_facts.not_run || unconfirmed || r.answer.status / 100 == 5) {
    HandleFailedAttempt(r, CallEnd::kWhole,
                        r.answer_facts.not_run
                            ? absl::StrCat("refused ", r.answer.status)
                            : absl::StrCat("status ", r.answer.status));
    return;
  }
  if (r.relaying && r.splitter.pending() > 0) {
    HandleFailedAttempt(r, CallEnd::kInterrupted, "ends inside an event");
    return;
  }
  if (!r.others.empty() && r.stream_started && !r.relaying) {
    // The caller already has the head of this stream.
    HandleFailedAttempt(r, CallEnd::kWhole,
                        absl::StrCat("status ", r.answer.status));
    return;
  }
  EndSupersededAttempts(r);
  if (u) RecordSuccess(*u, now);
  if (success) hold_trials_.End(r.seq, TrialEnd::kAnswered, now);
  if (success && ProvesServed(r)) {
    quarantine_.RecordServed(r.fingerprint);
    RecordServedParts(r);
  } else {
    CheckForUpstreamTermination(r, CallEnd::kWhole);
  }
  last_answered_at_[r.service->name] = now;
  ReleaseUpstream(r, r);
  if (r.stream_started && !r.relaying) {
    // The caller already has the head of this stream, so it cannot get another
    // answer.
    FailRequest(r, ErrorKind::kOutcomeUnknown,
                absl::StrCat("status ", r.answer.status, " on resuming"));
    DispatchWaitingRequests();
    return;
  }
  if (r.stream_started) {
    r.exchange->FinishAnswer();
  } else {
    // A stream that was complete without any event is also answered here.
    SendBufferedAnswer(r);
  }
  FinishRequest(r, "answered", absl::StrCat(r.answer.status));
  DispatchWaitingRequests();
}

void Gateway::SendBufferedAnswer(Request& r) {
  CountIfLate(r, clock_.Now());
  r.exchange->Respond(r.answer.status, HeadersForCaller(r.answer),
                      r.buffered_body);
}

HeaderList Gateway::HeadersForCaller(const MessageHead& answer) const {
  HeaderList out = ForwardedHeaders(answer.headers, dialect_.end_to_end);
  if (dialect_.forwards_header) {
    auto withheld = [this](const auto& h) {
      return !dialect_.forwards_header(h.first);
    };
    out.erase(std::remove_if(out.begin(), out.end(), withheld), out.end());
  }
  return out;
}

}  // namespace medlarwalk
