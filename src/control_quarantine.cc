// The control process's part that keeps and passes on what entries have seen of
// upstreams: which requests crash them, and the limits they name.
#include "absl/status/statusor.h"
#include "control.h"
#include "log.h"
#include "quarantine_store.h"

namespace medlarwalk {
namespace {

// Between two savings of the quarantine: crashes come in clusters.
constexpr auto kSaveInterval = Millis(200);

}  // namespace

// Joins what a follower reports or the leader tells.
void Control::TakeCrashes(absl::string_view encoded, bool from_leader) {
  absl::StatusOr<std::vector<CrashRecord>> r =
      DecodeCrashRecords(encoded, clock_.Now());
  if (!r.ok()) {
    LogWarn("bad_crash_records", {{"error", r.status().message()}});
  } else if (from_leader) {
    quarantine_.TakeTold(*r);
  } else {
    quarantine_.TakeReported(*r);
  }
}

void Control::TakeLimits(absl::string_view encoded, bool from_leader) {
  absl::StatusOr<std::vector<LimitRecord>> r =
      DecodeLimitRecords(encoded, clock_.Now());
  if (!r.ok()) {
    LogWarn("bad_limit_records", {{"error", r.status().message()}});
  } else if (from_leader) {
    limits_.TakeTold(*r);
  } else {
    limits_.TakeReported(*r);
  }
}

// Keeps the quarantine for when every process has ended.
void Control::SaveQuarantine(TimePoint now) {
  if (!replica_ || quarantine_.version() == saved_quarantine_ ||
      now - save_tried_at_ < kSaveInterval) {
    return;
  }
  save_tried_at_ = now;
  absl::Status s = SaveCrashRecords(options_.data_dir, quarantine_.Shared(),
                                    now, options_.before_disk_write);
  if (s.ok()) {
    saved_quarantine_ = quarantine_.version();
  } else {
    LogWarn("store_failed", {{"op", "quarantine"}, {"error", s.message()}});
  }
}

}  // namespace medlarwalk
