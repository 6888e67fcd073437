#include "relay_log.h"

#include "absl/container/flat_hash_map.h"

namespace medlarwalk {

std::vector<AccountTokens> SumByAccount(
    const std::vector<RelayLog<AccountTokens>::Row>& rows) {
  absl::flat_hash_map<uint32_t, int64_t> sums;
  for (const auto& r : rows) sums[r.item.account] += r.item.tokens;
  std::vector<AccountTokens> out;
  out.reserve(sums.size());
  for (const auto& [account, tokens] : sums) out.push_back({account, tokens});
  size_t kept = std::min(out.size(), kMaxAccountItems);
  std::partial_sort(out.begin(), out.begin() + static_cast<ptrdiff_t>(kept),
                    out.end(),
                    [](const AccountTokens& a, const AccountTokens& b) {
                      return std::make_pair(-a.tokens, a.account) <
                             std::make_pair(-b.tokens, b.account);
                    });
  out.resize(kept);
  return out;
}

std::vector<PromisedReturn> NewestReturns(
    const std::vector<RelayLog<PromisedReturn>::Row>& rows, TimePoint now) {
  std::vector<PromisedReturn> out;
  size_t n = std::min(rows.size(), kMaxReturnItems);
  for (auto it = rows.rbegin(); it != rows.rbegin() + static_cast<ptrdiff_t>(n);
       ++it) {
    PromisedReturn r = it->item;
    r.remaining -= Millis(ToMs(now - it->received_at));
    out.push_back(r);
  }
  return out;
}

}  // namespace medlarwalk
