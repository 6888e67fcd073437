// Replays demand against several entries that place requests by predicted times
// on shared load of 150 to 250 ms age, and engines that prefill what is queued
// between decode steps. Manual time, no network.
#ifndef MEDLARWALK_TEST_TIMED_REPLAY_H_
#define MEDLARWALK_TEST_TIMED_REPLAY_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "own_engine_work.h"
#include "tier_admission.h"
#include "timed_placement.h"
#include "timed_service.h"

namespace medlarwalk::testing {

// One kind of request. Times in milliseconds, prompts in tokens.
struct ReplayKind {
  int tier = 0;
  double target_ms = 250, gap_ms = 200;
  int own = 500, shared = 200, subjects = 1, events = 40;
  bool packed = true;
  std::function<double(double t_s)> per_s;  // Of all entries together.
  // Results.
  int asked = 0, served = 0, late = 0, gap_broken = 0, rejected = 0;
};

struct ReplayRequest {
  ReplayKind* kind = nullptr;
  uint64_t part = 0;
  size_t entry = 0, engine = 0;
  int left_to_prefill = 0, steps = 0, events = 0;
  double arrived = 0, sent = 0, last = 0, first = -1, longest = 0, ahead = 0;
  AttemptWork work;
};

struct ReplayEngine {
  double rate = 157, step_ms = 5, busy_until = 0;
  std::deque<ReplayRequest*> queue;  // Awaiting prefill.
  std::vector<ReplayRequest*> running;
};

struct ReplayEntry {
  std::vector<UpstreamState> upstreams;
  TimedService service{ForecastPolicy{}};
  TierAdmission admission{TierAdmissionPolicy{}};
  std::vector<ReplayRequest*> waiting;  // Most urgent first.
};

class Replay {
 public:
  Replay(size_t entry_count, size_t engine_count)
      : engines(engine_count), entries_(entry_count) {
    for (ReplayEntry& entry : entries_) {
      entry.upstreams.resize(engine_count);
      for (size_t i = 0; i < engine_count; ++i) {
        entry.upstreams[i].info.id = "e" + std::to_string(i);
        entry.upstreams[i].info.service = "s";
        entry.upstreams[i].engine_key = static_cast<EngineKey>(i + 1);
      }
      RankUpstreams(absl::MakeSpan(entry.upstreams));
    }
  }
  // Runs until `until_s`. `kinds`: most urgent tier first.
  void Run(std::vector<ReplayKind>& kinds, double until_s) {
    for (; t_ < until_s * 1000; ++t_) {
      Share();
      for (ReplayKind& k : kinds) Arrive(k);
      for (ReplayEntry& entry : entries_) TryWaiting(entry);
      for (ReplayEngine& e : engines) {
        if (t_ < e.busy_until) continue;
        if (e.busy_until > 0) FinishStep(e);
        StartStep(e);
      }
    }
  }
  std::vector<ReplayEngine> engines;
  TimedPolicy policy;
  bool shared_load = true;
  int slots = 96;
  int chunk = 40000;  // Prompt tokens that an engine prefills in one step.
  int sent_behind_more_urgent = 0;  // In the same pass over waiting requests.

 private:
  TimePoint Now() const { return TimePoint{} + Millis(100000 + Ms()); }
  int64_t Ms() const { return static_cast<int64_t>(t_); }

  // Entries report each 100 ms; a report is used 150 to 250 ms later.
  void Share() {
    if (Ms() % 100 == 0) {
      snapshots_.push_back({{}, std::vector<EnginePace>(engines.size())});
      for (ReplayEntry& entry : entries_) {
        snapshots_.back().own.emplace_back();
        for (size_t i = 0; i < engines.size(); ++i) {
          UpstreamState& u = entry.upstreams[i];
          snapshots_.back().own.back().push_back(u.own_work);
          snapshots_.back().paces[i].Merge(
              entry.service.forecast.PaceToPublish(u.observed_pace, Now()));
        }
      }
      if (snapshots_.size() > 3) snapshots_.pop_front();
    }
    for (size_t n = 0; Ms() % 25 == 0 && n < entries_.size(); ++n) Refresh(n);
  }

  void Refresh(size_t n) {
    ReplayEntry& entry = entries_[n];
    bool told = shared_load && snapshots_.size() == 3;
    const Snapshot& view = snapshots_[told && Ms() % 100 >= 50 ? 1 : 0];
    RefreshService(entry.upstreams, "s", &entry.service);
    auto published = [&](EngineKey key) {
      EnginePace p = told ? view.paces[key - 1] : EnginePace{};
      p.age += Millis(200);
      return p;
    };
    RefreshPaces(absl::MakeSpan(entry.upstreams), published, Now(),
                 &entry.service);
    EngineWork mean;
    for (UpstreamState& u : entry.upstreams) mean.Add(u.own_work);
    mean.Scale(1.0 / static_cast<double>(engines.size()));
    for (size_t i = 0; i < engines.size(); ++i) {
      UpstreamState& u = entry.upstreams[i];
      u.others_work = EstimateOthersWork(u.own_work, mean,
                                         static_cast<int>(entries_.size()));
      if (told) u.others_work = {};
      for (size_t o = 0; told && o < entries_.size(); ++o) {
        if (o != n) u.others_work.Add(view.own[o][i]);
      }
    }
  }

  void Arrive(ReplayKind& kind) {
    double expected = kind.per_s(t_ / 1000) / 1000;
    std::poisson_distribution<int> count(expected);
    for (int n = expected > 0 ? count(random_) : 0; n > 0; --n) {
      ReplayRequest* r = &all_.emplace_back();
      r->kind = &kind;
      r->part = 1 + random_() % static_cast<uint64_t>(kind.subjects);
      r->entry = random_() % entries_.size();
      r->arrived = t_;
      ++kind.asked;
      Insert(r, &entries_[r->entry].waiting);
    }
  }

  // Inserts behind all requests of the same or a more urgent tier.
  template <typename Queue>
  static void Insert(ReplayRequest* r, Queue* queue) {
    queue->insert(std::find_if(queue->begin(), queue->end(),
                               [&](ReplayRequest* o) {
                                 return o->kind->tier > r->kind->tier;
                               }),
                  r);
  }

  // Tries new requests at once, waiting ones each 25 ms.
  void TryWaiting(ReplayEntry& entry) {
    Tier refused = 1000;
    std::vector<ReplayRequest*> still_waiting;
    for (ReplayRequest* r : entry.waiting) {
      bool due = static_cast<int64_t>(t_ - r->arrived) % 25 == 0;
      TimedRuling ruling = due ? Place(r, entry) : TimedRuling::kWait;
      if (ruling == TimedRuling::kWait) still_waiting.push_back(r);
      if (ruling == TimedRuling::kSend && refused < r->kind->tier)
        ++sent_behind_more_urgent;
      if (ruling != TimedRuling::kReject) continue;
      ++r->kind->rejected;
      entry.admission.RecordRejection(r->kind->tier, Now());
      refused = std::min(refused, r->kind->tier);
    }
    entry.waiting = std::move(still_waiting);
  }

  TimedRuling Place(ReplayRequest* r, ReplayEntry& entry) {
    const ReplayKind& k = *r->kind;
    double left_ms = k.target_ms - (t_ - r->arrived);
    if (!entry.admission.MayStart(k.tier, Now()))
      return left_ms > 0 ? TimedRuling::kWait : TimedRuling::kReject;
    TimedRequest request{
        k.tier,   k.packed, k.shared >= k.own / 4, k.target_ms, left_ms,
        k.gap_ms, 0};
    auto& candidates = entry.service.candidates;
    candidates.clear();
    size_t home = 0;
    for (size_t i : entry.service.order) {
      const UpstreamState& u = entry.upstreams[i];
      TimedEngine e;
      e.index = i;
      e.work = u.own_work;
      e.work.Add(u.others_work);
      e.forecast = u.forecast;
      e.slots = slots;
      e.affinity_hash =
          StableHash(u.info.id, r->part * 8 + static_cast<uint64_t>(k.tier));
      e.own_tokens = k.own + 0.1 * k.shared;
      if (u.own_work.awaiting_first_event > 0)
        e.silent_ms = ToSeconds(Now() - u.awaiting_since) * 1000;
      candidates.push_back(e);
      if (e.affinity_hash > candidates[home].affinity_hash)
        home = candidates.size() - 1;
    }
    candidates[home].own_tokens = k.own;
    OthersView view{static_cast<int>(entries_.size()),
                    shared_load ? Duration(Millis(200)) : Duration(-1)};
    RecordTry(request, k.own, Now(), &entry.service);
    TimedDecision d = ChooseEngine(
        absl::MakeSpan(candidates), request,
        EstimateUnseenWork(entry.service, view, Now()), random_, policy);
    if (d.ruling != TimedRuling::kSend) return d.ruling;
    entry.admission.RecordDispatch(k.tier, Now());
    const TimedEngine& chosen = candidates[d.engine];
    RecordTimedSend(request, chosen.own_tokens, Now(), &entry.service);
    r->engine = chosen.index;
    r->sent = t_;
    r->left_to_prefill = static_cast<int>(chosen.own_tokens);
    r->ahead = d.tokens_ahead;
    r->work.level = k.tier;
    r->work.pending_prefill = r->left_to_prefill;
    r->work.gap_target = Millis(static_cast<int>(k.gap_ms));
    UpstreamState& u = entry.upstreams[chosen.index];
    if (u.own_work.awaiting_first_event == 0) u.awaiting_since = Now();
    CountSentWork(&r->work, u);
    Insert(r, &engines[chosen.index].queue);
    return d.ruling;
  }

  void EmitEvent(ReplayRequest* r) {
    ReplayEntry& entry = entries_[r->entry];
    UpstreamState& u = entry.upstreams[r->engine];
    ServiceForecast& forecast = entry.service.forecast;
    constexpr double kNetworkMs = 10;
    if (r->events++ == 0) {
      r->first = t_ + kNetworkMs - r->arrived;
      u.awaiting_since = Now();
      forecast.RecordFirstEvent(
          {r->ahead, static_cast<double>(r->work.pending_prefill),
           t_ + kNetworkMs - r->sent},
          Now(), &u.observed_pace);
      CountFirstEvent(&r->work, u);
    } else {
      r->longest = std::max(r->longest, t_ - r->last);
      double pending = PendingTokens(u.own_work) + PendingTokens(u.others_work);
      forecast.RecordEventGap(ClampedSeconds((t_ - r->last) / 1000),
                              static_cast<int64_t>(pending), Now(),
                              &u.observed_pace);
    }
    r->last = t_;
    ReplayKind& k = *r->kind;
    if (r->events < k.events) return;
    CountEndedWork(&r->work, u);
    k.late += r->first > k.target_ms;
    k.gap_broken += r->longest > k.gap_ms;
    k.served += r->first <= k.target_ms && r->longest <= k.gap_ms;
  }

  // Ends a step: each running stream has one more token, each third an event.
  void FinishStep(ReplayEngine& e) {
    e.busy_until = 0;
    std::vector<ReplayRequest*> running;
    for (ReplayRequest* r : e.running) {
      if (r->steps++ % 3 == 0) EmitEvent(r);
      if (r->events < r->kind->events) running.push_back(r);
    }
    e.running = std::move(running);
  }

  // Begins a step: a chunk of the queued prompts and a token of each stream.
  void StartStep(ReplayEngine& e) {
    int used = 0;
    while (!e.queue.empty() && used < chunk &&
           e.running.size() < static_cast<size_t>(slots)) {
      ReplayRequest* r = e.queue.front();
      int n = std::min(chunk - used, r->left_to_prefill);
      used += n;
      r->left_to_prefill -= n;
      if (r->left_to_prefill > 0) break;
      e.queue.pop_front();
      e.running.push_back(r);
    }
    if (e.running.empty() && used == 0) return;
    e.busy_until = t_ + used / e.rate + e.step_ms +
                   0.05 * static_cast<double>(e.running.size());
  }

  struct Snapshot {
    std::vector<std::vector<EngineWork>> own;  // By entry and engine.
    std::vector<EnginePace> paces;             // By engine.
  };
  std::deque<Snapshot> snapshots_;
  std::vector<ReplayEntry> entries_;
  std::deque<ReplayRequest> all_;
  std::mt19937_64 random_{7};
  double t_ = 0;  // Milliseconds.
};

}  // namespace medlarwalk::testing

#endif  // MEDLARWALK_TEST_TIMED_REPLAY_H_
