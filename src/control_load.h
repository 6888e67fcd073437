// The control process's side of the exchange of engine load: answers the
// reports of entries with the work of all other processes, and sends the sum of
// these reports to each other control process.
//
// Load pattern: entries of several data centres fill the same engines at the
// same time, also during an election. Sums go from each control process to all
// others, not through the leader, and are kept in memory only.
#ifndef MEDLARWALK_CONTROL_LOAD_H_
#define MEDLARWALK_CONTROL_LOAD_H_

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "engine_load_table.h"
#include "engine_load_wire.h"
#include "engine_reporter.h"
#include "h2.h"
#include "link_pool.h"
#include "log_rate_limiter.h"
#include "metrics.h"
#include "relay_log.h"
#include "types.h"

namespace medlarwalk {

// Thread safety: loop thread only.
class ControlLoad {
 public:
  // `peers` returns the addresses of the other control processes. Precondition:
  // the referenced arguments outlive this object.
  ControlLoad(struct ev_loop* loop, const Clock& clock, LinkPool& links,
              std::function<std::vector<std::string>()> peers,
              SharedLoadMetrics& metrics);
  ~ControlLoad();
  ControlLoad(const ControlLoad&) = delete;
  ControlLoad& operator=(const ControlLoad&) = delete;

  // Handles a report or a sum. No timer runs while nothing is reported.
  void HandleRequest(const H2Request& req, std::shared_ptr<H2Stream> stream);

 private:
  // Another process that gets sums from this one.
  struct Receiver {
    PaceThrottle paces;
    TimePoint seen_at{};
    bool in_flight = false;
    TimePoint not_before{};
  };

  static void OnTick(struct ev_loop* loop, ev_timer* w, int revents);
  void Tick();
  // Keeps the items of a message to pass them on.
  void KeepItems(const EngineLoadMessage& m, bool direct, TimePoint now);
  EngineLoadMessage AnswerTo(const EngineLoadMessage& report, TimePoint now);
  void HandleSum(const EngineLoadMessage& m, TimePoint now);
  bool MaySendSumTo(const std::string& address, TimePoint now);
  void SendSums(TimePoint now);
  void SendSumTo(const std::string& address, EngineLoadMessage m,
                 TimePoint now);
  void OnSumSent(uint64_t receiver, int status);
  void CountDropped(absl::string_view why, TimePoint now);
  void RemoveExpired(TimePoint now);

  struct ev_loop* loop_;
  const Clock& clock_;
  LinkPool& links_;
  std::function<std::vector<std::string>()> peers_;
  SharedLoadMetrics& metrics_;
  const uint64_t process_;  // Random id, generated at each start.
  uint64_t seq_ = 0;
  EngineLoadTable table_;
  RelayLog<AccountTokens> accounts_;
  RelayLog<PromisedReturn> returns_;
  // Entries, and control processes by the hash of their address.
  std::map<uint64_t, Receiver> receivers_;
  LogRateLimiter log_limiter_;
  ev_timer tick_{};
  // Expires with this object, before calls on the outliving links end.
  std::shared_ptr<ControlLoad*> self_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_CONTROL_LOAD_H_
