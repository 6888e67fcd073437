// The gateway's part that takes an upstream's answer: what is passed on as it
// comes, what is held until whole, what is not believed.
#include "absl/strings/str_cat.h"
#include "gateway.h"
#include "gateway_request.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Answers that are not streams are held until whole, up to this.
constexpr size_t kMostHeldAnswer = 4 << 20;
// A caller that reads more slowly than its upstream sends holds this much.
constexpr size_t kMostUnsent = size_t{256} * 1024;

}  // namespace

bool Gateway::OnHead(Request& r, const MessageHead& head) {
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
  r.progress_at = now;
  if (UpstreamBoard* u = pool_.Find(r.upstream)) {
    u->quiet_since = now;
    if (f.has_load) NoteReport(*u, f.running, f.waiting, now);
    NoteLimit(r, *u, f);
    if (!f.other_upstream) NoteRest(r, *u, f.rest);
    if (!f.other_upstream && f.leaving && pool_.NoteLeaving(r.upstream)) {
      LogEvent("upstream_says_leaving", {{"upstream", r.upstream},
                                         {"request", r.facts.id},
                                         {"in_flight", u->in_flight}});
    }
  }
  r.answer = head;
  r.answer_facts = std::move(f);
  r.have_head = true;
  r.head_at = now;
  if (!r.answer_facts.not_run) r.maybe_run = true;
  r.relaying = r.stream() && success && r.answer_facts.signed_whole;
  bool first_token_follows = r.service->engine && success;
  if (!r.answer_facts.not_run && !first_token_follows) NoteRun(r);
  return true;
}

// Counts a request of an account that has begun to run, once however often it
// is sent. An engine begins it with its first token, or when it answers that it
// failed; a plain service before it answers at all.
void Gateway::NoteRun(Request& r) {
  if (r.run_noted || !options_.on_run || r.account.empty()) return;
  r.run_noted = true;
  options_.on_run(r.account);
}

void Gateway::OnBody(Request& r, absl::string_view data) {
  TimePoint now = clock_.Now();
  r.progress_at = now;
  if (UpstreamBoard* u = pool_.Find(r.upstream)) u->quiet_since = now;
  if (r.reading) {
    PromptRead(r, now);
    // Before anyone who comes now: those who wait were here first.
    ServeWaiting();
  }
  if (!r.relaying) {
    r.held.append(data.data(), data.size());
    if (r.held.size() > kMostHeldAnswer) {
      AttemptFailed(r, CallEnd::kBrokenOff, "answer too large");
    }
    return;
  }
  uint64_t seq = r.seq;
  int attempt = r.attempt;
  bool whole = r.splitter.Feed(
      data, [&](absl::string_view event) { return RelayEvent(r, event); });
  if (!Find(seq, attempt)) return;
  if (!whole) {
    AttemptFailed(r, CallEnd::kBrokenOff, "events out of order");
    return;
  }
  if (r.exchange->unsent() > kMostUnsent) {
    r.connection->PauseRead(true);
    r.exchange->set_on_drained([this, seq, attempt] {
      if (Request* q = Find(seq, attempt)) q->connection->PauseRead(false);
    });
  }
}

// The first of the answer's body has come: the prompt has been read.
void Gateway::PromptRead(Request& r, TimePoint now) {
  r.reading = false;
  ReadingGate& gate = GateFor(r.service->name);
  gate.Ended(r.tier);
  Duration took = now - r.sent_at;
  gate.NoteFirstEvent(took, r.route->latency_target);
  UpstreamBoard* u = pool_.Find(r.upstream);
  if (!u) return;
  --u->reading;
  NoteFirstEvent(*u, took, r.route->latency_target, options_.placement);
}

// Passes one event on. Returns false when it does not follow the last one.
bool Gateway::RelayEvent(Request& r, absl::string_view event) {
  std::optional<int64_t> id = EventId(event);
  if (id && r.last_event) {
    if (*id <= *r.last_event) return true;  // Sent again by a resumed run.
    if (*id != *r.last_event + 1) return false;
  }
  if (r.service->engine && r.events == 0) {
    parts_.Note(r.facts.parts, r.upstream, clock_.Now());
  }
  if (r.service->engine) NoteRun(r);
  if (!r.stream_started) {
    r.exchange->StartAnswer(r.answer.status, r.answer.reason,
                            HeadersOf(r.answer));
    r.stream_started = true;
    r.first_event_at = clock_.Now();
    metrics_.ObserveFirstToken(
        LabelOf(r), ToSeconds(r.first_event_at - r.exchange->arrived));
  }
  TimePoint now = clock_.Now();
  if (r.events > 0) NotePauseOf(r, now);
  if (r.shape == WorkShape::kDecode) NotePaceOf(r, now);
  r.last_event_at = now;
  r.exchange->Write(event);
  if (id) r.last_event = id;
  ++r.events;
  return true;
}

// Notes the time since the last event, which one of this attempt follows.
void Gateway::NotePauseOf(Request& r, TimePoint now) {
  Duration pause = now - r.last_event_at;
  if (pause > r.longest_pause) {
    r.longest_pause = pause;
    r.longest_pause_at = r.upstream;
  }
  bool same_upstream = r.last_event_at > r.sent_at;
  if (UpstreamBoard* u = pool_.Find(r.upstream); u && same_upstream) {
    NoteEventGap(*u, pause);
  }
  if (r.shape != WorkShape::kDecode || !same_upstream) return;
  NotePause(ToSeconds(pause) / ToSeconds(r.route->pause_target), now,
            options_.placement, &demand_[r.service->name]);
}

// Notes how fast events follow each other, a few in a row at a time: single
// ones are moved together and apart on their way.
void Gateway::NotePaceOf(Request& r, TimePoint now) {
  constexpr int kEventsInRow = 8;
  if (r.pace_from < r.sent_at) {
    r.pace_from = now;
    r.pace_events = 0;
    return;
  }
  if (++r.pace_events < kEventsInRow) return;
  if (UpstreamBoard* u = pool_.Find(r.upstream)) {
    NotePace(*u, (now - r.pace_from) / kEventsInRow);
    paces_changed_ = true;
  }
  r.pace_from = now;
  r.pace_events = 0;
}

void Gateway::OnEnd(Request& r, CallEnd end, absl::string_view why) {
  TimePoint now = clock_.Now();
  if (end != CallEnd::kWhole) {
    AttemptFailed(r, end, why);
    return;
  }
  r.end_known_by = std::string(why);
  UpstreamBoard* u = pool_.Find(r.upstream);
  bool success = r.answer.status / 100 == 2;
  if (success && !r.answer_facts.signed_whole) {
    AttemptFailed(r, CallEnd::kNoAnswer, "success without signature");
    return;
  }
  if (r.answer_facts.not_run || r.answer.status / 100 == 5) {
    AttemptFailed(r, CallEnd::kWhole,
                  r.answer_facts.not_run
                      ? absl::StrCat("refused ", r.answer.status)
                      : absl::StrCat("status ", r.answer.status));
    return;
  }
  if (r.relaying && r.splitter.pending() > 0) {
    AttemptFailed(r, CallEnd::kBrokenOff, "ends inside an event");
    return;
  }
  if (u) NoteSuccess(*u, now);
  if (success) quarantine_.NoteServed(r.asks);
  served_at_[r.service->name] = now;
  ReleaseUpstream(r);
  if (r.stream_started && !r.relaying) {
    // The stream's head is out: another answer cannot follow it.
    Fail(r, ErrorKind::kOutcomeUnknown,
         absl::StrCat("status ", r.answer.status, " on resuming"));
    ServeWaiting();
    return;
  }
  if (r.stream_started) {
    r.exchange->Finish();
  } else {
    // Also a stream without events: whole as it is.
    AnswerWhole(r);
  }
  Finish(r, "answered", absl::StrCat(r.answer.status));
  ServeWaiting();
}

void Gateway::AnswerWhole(Request& r) {
  r.exchange->Respond(r.answer.status, HeadersOf(r.answer), r.held);
}

HeaderList Gateway::HeadersOf(const MessageHead& answer) const {
  HeaderList out;
  for (const auto& h : answer.headers) {
    if (IsHopByHop(h.first)) continue;
    if (dialect_.passes_on && !dialect_.passes_on(h.first)) continue;
    out.push_back(h);
  }
  return out;
}

}  // namespace medlarwalk
