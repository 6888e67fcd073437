#include "source_read_pacer.h"

#include <algorithm>

namespace medlarwalk {
namespace {

// Range of the random factor of the time between two reads, after a read that
// succeeded and after one that failed. Processes that failed together must not
// read together again.
constexpr double kMinJitter = 0.75;
constexpr double kMaxJitter = 1.25;
constexpr double kMinFailureJitter = 0.5;
constexpr double kMaxFailureJitter = 1.5;

}  // namespace

void SourceReadPacer::RecordProcessCount(TimePoint now, int processes) {
  bool expired = now - processes_set_at_ > policy_.memory;
  if (processes < processes_ && !expired) return;
  processes_ = std::max(1, processes);
  processes_set_at_ = now;
}

void SourceReadPacer::RecordCallsPerRead(int calls) {
  if (calls > 0) calls_per_read_ = calls;
}

bool SourceReadPacer::BeginRead(TimePoint now, bool out_of_date) {
  if (!out_of_date) {
    next_read_at_.reset();
    return false;
  }
  if (!next_read_at_) {
    Duration spread = Interval() - policy_.min_interval;
    next_read_at_ = std::max(not_before_, now + Jittered(spread, 0, 1));
  }
  if (now < *next_read_at_) return false;
  not_before_ = now + Jittered(Interval(), kMinJitter, kMaxJitter);
  next_read_at_ = not_before_;
  return true;
}

void SourceReadPacer::RecordReadEnd(TimePoint now, SourceReadEnd end) {
  if (now - rejected_at_ > policy_.memory) rejections_ = 0;
  if (end == SourceReadEnd::kWhole) {
    failures_ = 0;
    return;
  }
  if (end == SourceReadEnd::kRejected) {
    ++rejections_;
    rejected_at_ = now;
  } else {
    ++failures_;
  }
  not_before_ =
      now + Jittered(Interval(), kMinFailureJitter, kMaxFailureJitter);
  next_read_at_ = not_before_;
}

Duration SourceReadPacer::Interval() const {
  Duration d = policy_.min_interval;
  if (policy_.calls_per_s > 0) {
    d = std::max(d, ClampedSeconds(processes_ * calls_per_read_ /
                                   (policy_.calls_per_s * policy_.share)));
  }
  return d * (1 << std::min(failures_ + rejections_, policy_.max_doublings));
}

Duration SourceReadPacer::Jittered(Duration d, double low, double high) {
  std::uniform_real_distribution<double> factor(low, high);
  return ClampedSeconds(ToSeconds(d) * factor(random_));
}

}  // namespace medlarwalk
