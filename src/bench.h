// The built-in bench: a deterministic run of the decisions (waiting, placement)
// and of the naive baseline (any free upstream, first come) over one trace, on
// a manual clock. It prints a signature of every decision, so that any change
// in behaviour shows in the commit that made it, and the cost per request of
// each policy, so that speed is compared in one run.
#ifndef MEDLARWALK_BENCH_H_
#define MEDLARWALK_BENCH_H_

#include <cstdint>
#include <string>

namespace medlarwalk {

// Figures of one bench run.
struct BenchReport {
  uint64_t signature = 0;  // Hash of all decisions of our policy.
  int requests = 0;
  int top_tier_shed = 0;  // Must be 0.
  int top_tier_served = 0;
  int lowest_tier_served = 0;  // Must be > 0: no starvation.
  double max_lowest_wait_s =
      0;  // Longest wait of a served lowest-tier request.
  int naive_top_tier_refused =
      0;                      // What the naive baseline does to the top tier.
  double ns_per_request = 0;  // Our policy's decision cost.
  double naive_ns_per_request = 0;  // The baseline's.
};

// Runs the bench over `requests` requests from `seed`.
BenchReport RunBench(int requests, uint64_t seed);

// The report as lines of text; the first line is the signature.
std::string FormatBench(const BenchReport& r);

}  // namespace medlarwalk

#endif  // MEDLARWALK_BENCH_H_
