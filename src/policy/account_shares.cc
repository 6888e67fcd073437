#include "account_shares.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <tuple>

namespace medlarwalk {
namespace {

// Interval at which the equal share is computed anew: it is asked for with each
// request, and computing it looks at every account.
constexpr auto kEqualShareInterval = Millis(50);

}  // namespace

AccountKey KeyOfAccount(absl::string_view name) {
  return static_cast<AccountKey>(StableHash(name));
}

// Returns the record of `account`, decayed to `now`.
AccountShares::Account& AccountShares::Touch(AccountKey account,
                                             TimePoint now) {
  auto it = accounts_.find(account);
  if (it == accounts_.end()) {
    if (accounts_.size() >= policy_.max_accounts) RemoveOneAccount(now);
    it = accounts_.emplace(account, Account{}).first;
    it->second.at = now;
  }
  Account& a = it->second;
  double factor = std::exp(-ToSeconds(now - a.at) / ToSeconds(policy_.decay));
  a.own *= factor;
  a.others *= factor;
  a.at = now;
  a.active_at = now;
  return a;
}

// Removes the account with the least consumption.
void AccountShares::RemoveOneAccount(TimePoint now) {
  auto it = std::min_element(
      accounts_.begin(), accounts_.end(), [&](const auto& a, const auto& b) {
        return Total(a.second, now) < Total(b.second, now);
      });
  if (it != accounts_.end()) accounts_.erase(it);
}

double AccountShares::Total(const Account& a, TimePoint now) const {
  bool others_count = merged_ && now - merged_at_ <= policy_.others_valid;
  return (a.own + (others_count ? a.others : 0)) *
         std::exp(-ToSeconds(now - a.at) / ToSeconds(policy_.decay));
}

void AccountShares::RecordRequest(AccountKey account, TimePoint now) {
  Touch(account, now).report = true;
}

void AccountShares::RecordUse(AccountKey account, int64_t tokens,
                              TimePoint now) {
  Account& a = Touch(account, now);
  a.own += static_cast<double>(tokens);
  a.unreported += tokens;
  a.report = true;
}

void AccountShares::MergeOthers(absl::Span<const AccountUse> others,
                                TimePoint now) {
  for (const AccountUse& use : others) {
    Touch(use.account, now).others +=
        static_cast<double>(std::max<int64_t>(0, use.tokens));
  }
  merged_at_ = now;
  merged_ = true;
}

std::vector<AccountUse> AccountShares::TakeOwnUse(size_t max) {
  std::vector<AccountUse> out;
  for (const auto& [key, a] : accounts_) {
    if (a.report) out.push_back({key, a.unreported});
  }
  std::sort(
      out.begin(), out.end(), [](const AccountUse& a, const AccountUse& b) {
        return std::tie(b.tokens, a.account) < std::tie(a.tokens, b.account);
      });
  if (out.size() > max) out.resize(max);
  for (const AccountUse& use : out) {
    Account& a = accounts_[use.account];
    a.unreported = 0;
    a.report = false;
  }
  return out;
}

double AccountShares::Consumption(AccountKey account, TimePoint now) const {
  auto it = accounts_.find(account);
  return it == accounts_.end() ? 0 : Total(it->second, now);
}

// Computes the equal share, and drops the accounts that no longer matter.
void AccountShares::UpdateEqualShare(TimePoint now) {
  if (active_accounts_ > 0 && now - equal_share_at_ < kEqualShareInterval)
    return;
  equal_share_at_ = now;
  double sum = 0;
  active_accounts_ = 0;
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    double total = Total(it->second, now);
    bool active = now - it->second.active_at <= policy_.active;
    if (!active && !it->second.report && total < 1) {
      it = accounts_.erase(it);
      continue;
    }
    if (active) {
      sum += total;
      ++active_accounts_;
    }
    ++it;
  }
  equal_share_ = active_accounts_ > 0 ? sum / active_accounts_ : 0;
}

bool AccountShares::IsAboveEqualShare(AccountKey account, TimePoint now) {
  UpdateEqualShare(now);
  return active_accounts_ > 1 &&
         Consumption(account, now) > policy_.above_factor * equal_share_;
}

std::vector<size_t> AccountShares::ServingOrder(
    absl::Span<const AccountClaim> claims, TimePoint now) const {
  std::unordered_map<AccountKey, std::deque<size_t>> by_account;
  for (size_t i = 0; i < claims.size(); ++i)
    by_account[claims[i].account].push_back(i);
  // Accounts by consumption, then by the arrival of their oldest claim.
  using Head = std::pair<double, size_t>;
  std::priority_queue<Head, std::vector<Head>, std::greater<>> heads;
  for (const auto& [account, positions] : by_account)
    heads.push({Consumption(account, now), positions.front()});
  std::vector<size_t> out;
  out.reserve(claims.size());
  while (!heads.empty()) {
    auto [consumption, i] = heads.top();
    heads.pop();
    out.push_back(i);
    std::deque<size_t>& positions = by_account[claims[i].account];
    positions.pop_front();
    if (positions.empty()) continue;
    heads.push({consumption + std::max(1.0, double(claims[i].tokens)),
                positions.front()});
  }
  return out;
}

}  // namespace medlarwalk
