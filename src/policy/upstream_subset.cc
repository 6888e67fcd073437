#include "upstream_subset.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace medlarwalk {
namespace {

// Time constant over which the rate of events is smoothed, in seconds.
constexpr double kRateSmoothingSeconds = 10;

}  // namespace

int SubsetSize(const SubsetDemand& demand, const SubsetPolicy& policy) {
  if (demand.idle_time <= Duration::zero()) return demand.upstream_count;
  double warm = demand.requests_per_s * ToSeconds(demand.idle_time) /
                policy.requests_per_idle_time;
  double cover = policy.min_cover * demand.upstream_count /
                 std::max(1, demand.process_count);
  double size = std::max({warm, cover, static_cast<double>(policy.min_size)});
  return static_cast<int>(
      std::min(std::ceil(size), static_cast<double>(demand.upstream_count)));
}

double UpstreamSubset::Distance(int position) const {
  int p = position - first;
  if (IsWhole() || p < 0 || p >= count) return 0;
  int steps = (p - offset + count) % count;
  if (steps >= size) return 1;
  return std::max(0, steps - home + 1) / static_cast<double>(size);
}

UpstreamSubset ComputeSubset(std::optional<ProcessIndex> process, int first,
                             int count, int size) {
  count = std::max(0, count);
  bool known =
      process && process->index >= 0 && process->index < process->process_count;
  if (!known || size >= count) return {first, count, 0, count, count};
  int64_t offset = int64_t{process->index} * count / process->process_count;
  // The homes of all processes together are all upstreams.
  int home = (count + process->process_count - 1) / process->process_count;
  size = std::max(1, size);
  return {first, count, static_cast<int>(offset), size, std::min(home, size)};
}

double EventRate::Decayed(TimePoint now) const {
  double age = std::max(0.0, ToSeconds(now - at_));
  return events_ * std::exp(-age / kRateSmoothingSeconds);
}

void EventRate::Record(TimePoint now) {
  events_ = Decayed(now) + 1;
  at_ = now;
}

double EventRate::PerSecond(TimePoint now) const {
  return Decayed(now) / kRateSmoothingSeconds;
}

}  // namespace medlarwalk
