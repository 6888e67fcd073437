// Recent consumption of the client accounts, and the order in which their
// waiting requests are served. Pure; callers pass the current time.
//
// Load pattern: one account sends thousands of requests a second, many times
// its usual load, while others send their usual or one request at a time. In
// arrival order each account gets what it asks for in proportion: the account
// that sends most takes nearly all slots, and everyone is rejected with it.
#ifndef MEDLARWALK_ACCOUNT_SHARES_H_
#define MEDLARWALK_ACCOUNT_SHARES_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "types.h"

namespace medlarwalk {

// Identifies a client account in messages. Two accounts with one key have one
// share.
using AccountKey = uint32_t;

// Returns the key of the account `name`, the same in every process. Thread
// safe.
AccountKey KeyOfAccount(absl::string_view name);

// Tokens of one account in one interval: prompt tokens sent to engines and
// output tokens received from them. Zero tokens mean that the account asked for
// service and got none; it counts among the accounts that share.
struct AccountUse {
  AccountKey account = 0;
  int64_t tokens = 0;
};

struct AccountSharesPolicy {
  // Time constant of the decay of consumption. It spans several requests of an
  // account that sends one at a time, and is over soon after a burst.
  Duration decay = std::chrono::seconds(4);
  // Time after its last use or request for which an account shares.
  Duration active = std::chrono::seconds(4);
  // Time after the last MergeOthers for which the figures of other processes
  // count.
  Duration others_valid = std::chrono::seconds(1);
  // An account is above its equal share from this multiple of it, so that
  // accounts with equal loads are not held for small differences.
  double above_factor = 1.25;
  // Maximum number of accounts with recorded consumption.
  size_t max_accounts = 4096;
};

// One waiting request, as far as its place in the order depends on it.
struct AccountClaim {
  AccountKey account = 0;
  int64_t tokens = 0;  // Prompt tokens.
};

// Consumption of the accounts at the services with shared load. Thread safety:
// loop thread only.
class AccountShares {
 public:
  explicit AccountShares(const AccountSharesPolicy& policy) : policy_(policy) {}

  // Records that `account` asks for service, whether or not it gets any.
  void RecordRequest(AccountKey account, TimePoint now);
  // Records prompt tokens sent or output tokens received for `account` by this
  // process.
  void RecordUse(AccountKey account, int64_t tokens, TimePoint now);

  // Adds what all other processes together used in one interval: the summed
  // records of their TakeOwnUse(). Must be called for every interval in which
  // they were heard of, also with an empty span: `others_valid` after the last
  // call, decisions use this process's own figures alone, until the next call.
  void MergeOthers(absl::Span<const AccountUse> others, TimePoint now);
  // Returns this process's use since the last call, for the other processes: at
  // most `max` accounts, most tokens first. Use of further accounts is kept for
  // the next call.
  std::vector<AccountUse> TakeOwnUse(size_t max);

  // Returns the decayed consumption of `account`, in tokens.
  double Consumption(AccountKey account, TimePoint now) const;
  // Returns whether `account` has consumed more than its equal share of what
  // all active accounts have. False if no other account is active.
  bool IsAboveEqualShare(AccountKey account, TimePoint now);
  // Returns the positions in `claims`, which are given in order of arrival, in
  // the order in which they are to be served: the next is always the oldest
  // claim of the account with the least consumption, counting the claims before
  // it. Accounts with equal consumption, and the claims of one account, keep
  // their order of arrival.
  std::vector<size_t> ServingOrder(absl::Span<const AccountClaim> claims,
                                   TimePoint now) const;

 private:
  struct Account {
    // Decayed tokens at the time `at`.
    double own = 0;
    double others = 0;
    TimePoint at{};
    TimePoint active_at{};
    int64_t unreported = 0;  // Own tokens since the last TakeOwnUse().
    bool report = false;     // Whether the next TakeOwnUse() includes it.
  };
  Account& Touch(AccountKey account, TimePoint now);
  double Total(const Account& a, TimePoint now) const;
  void UpdateEqualShare(TimePoint now);
  void RemoveOneAccount(TimePoint now);

  AccountSharesPolicy policy_;
  std::unordered_map<AccountKey, Account> accounts_;
  TimePoint merged_at_{};
  bool merged_ = false;
  double equal_share_ = 0;
  int active_accounts_ = 0;
  TimePoint equal_share_at_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_ACCOUNT_SHARES_H_
