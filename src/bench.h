// The built-in benchmark: runs the queueing and placement decisions and a naive
// baseline (any free upstream, first come first served) over one trace, on a
// manual clock. It reports a signature over all decisions, which reveals any
// change in behaviour, and the decision cost per request of both policies, so
// that their speed is compared within one run.
#ifndef MEDLARWALK_BENCH_H_
#define MEDLARWALK_BENCH_H_

#include <cstdint>
#include <string>

namespace medlarwalk {

// Results of one benchmark run.
struct BenchReport {
  uint64_t signature = 0;  // Hash of all decisions of the tiered policy.
  int requests = 0;
  int top_tier_shed = 0;  // Top-tier requests rejected; must be 0.
  int top_tier_served = 0;
  int lowest_tier_served = 0;  // Must be > 0: the lowest tier must not starve.
  double max_lowest_wait_s =
      0;  // Longest wait of a served lowest-tier request.
  int naive_top_tier_refused =
      0;                      // Top-tier requests that the baseline rejected.
  double ns_per_request = 0;  // Decision cost of the tiered policy.
  double naive_ns_per_request = 0;  // Decision cost of the baseline.
};

// Runs the benchmark over a trace of `requests` requests generated from `seed`.
BenchReport RunBench(int requests, uint64_t seed);

// Returns the report as lines of text; the first line is the signature.
std::string FormatBench(const BenchReport& r);

}  // namespace medlarwalk

#endif  // MEDLARWALK_BENCH_H_
