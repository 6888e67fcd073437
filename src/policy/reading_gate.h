// How many long prompts one entry process keeps under way at all engines of a
// service together.
//
// Load pattern: more long prompts than the engines can read, of several tiers,
// sent by many entries, each of which sees one engine too seldom to learn
// anything from it. What is sent beyond the engines' capacity waits there in
// the order it came, where it can neither be ordered by tier nor refused. The
// limit follows the first events of all engines together: down a little for
// each that came late against its target, up while it binds and they come in
// time.
#ifndef MEDLARWALK_READING_GATE_H_
#define MEDLARWALK_READING_GATE_H_

#include <algorithm>
#include <map>

#include "types.h"

namespace medlarwalk {

struct ReadingGatePolicy {
  double start = 16;
  // Never fewer: an entry that sends nothing learns nothing.
  double least = 2;
  double most = 512;
  // A first event is late past this share of its latency target. An engine that
  // always has a prompt to read puts a chunk of one into every step: tokens
  // then take ten times as long, and streams end at their deadline.
  double late_share = 0.3;
  double backoff = 0.97;  // Of the limit, for each late first event.
  double step = 0.2;      // Onto the limit, for each in time while it binds.
  // Prompts more urgent than the least urgent under way may fill the limit this
  // many times: when it binds it is the least urgent that wait, not all alike.
  double urgent_headroom = 2;
};

// Thread safety: loop thread only.
class ReadingGate {
 public:
  explicit ReadingGate(const ReadingGatePolicy& policy)
      : policy_(policy), limit_(policy.start) {}

  // Whether a request of `tier` may be sent. Less urgent ones under way do not
  // count against it: what is already sent of these must not turn it away.
  bool open(Tier tier) const {
    int n = 0;
    for (const auto& [t, under_way] : under_way_) {
      if (t <= tier) n += under_way;
    }
    bool least = under_way_.empty() || tier >= under_way_.rbegin()->first;
    double most = least ? limit_ : limit_ * policy_.urgent_headroom;
    return n < static_cast<int>(most);
  }
  void Sent(Tier tier) { ++under_way_[tier]; }
  // The prompt was read or its request ended otherwise.
  void Ended(Tier tier) { --under_way_[tier]; }
  // The first event came `took` after the prompt was sent.
  void NoteFirstEvent(Duration took, Duration target) {
    double share = ToSeconds(took) / std::max(1e-3, ToSeconds(target));
    if (share > policy_.late_share) {
      limit_ = std::max(policy_.least, limit_ * policy_.backoff);
    } else if (under_way() + 1 >= static_cast<int>(limit_)) {
      limit_ = std::min(policy_.most, limit_ + policy_.step);
    }
  }
  double limit() const { return limit_; }
  int under_way() const {
    int n = 0;
    for (const auto& [t, under_way] : under_way_) n += under_way;
    return n;
  }

 private:
  ReadingGatePolicy policy_;
  double limit_;
  std::map<Tier, int> under_way_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_READING_GATE_H_
