// Crash records and upstream limits in the control process: merges what entries
// and the leader report, and saves the quarantine to disk.
#include "absl/status/statusor.h"
#include "build_history_store.h"
#include "control.h"
#include "log.h"
#include "quarantine_store.h"

namespace medlarwalk {
namespace {

// Minimum time between two saves of the quarantine. Crashes come in clusters,
// and one save covers several of them.
constexpr auto kQuarantineSaveInterval = Millis(200);

}  // namespace

// Merges encoded crash records that a follower reported or the leader
// published.
void Control::MergeCrashRecords(absl::string_view encoded, bool from_leader) {
  absl::StatusOr<std::vector<CrashRecord>> r =
      DecodeCrashRecords(encoded, clock_.Now());
  if (!r.ok()) {
    LogWarn("bad_crash_records", {{"error", r.status().message()}});
  } else if (from_leader) {
    quarantine_.MergePublished(*r);
  } else {
    quarantine_.MergeReported(*r);
  }
}

// Merges encoded limits that a follower reported or the leader published.
void Control::MergeLimitRecords(absl::string_view encoded, bool from_leader) {
  absl::StatusOr<std::vector<LimitRecord>> r =
      DecodeLimitRecords(encoded, clock_.Now());
  if (!r.ok()) {
    LogWarn("bad_limit_records", {{"error", r.status().message()}});
  } else if (from_leader) {
    limits_.MergePublished(*r);
  } else {
    limits_.MergeReported(*r);
  }
}

// Saves a changed quarantine to disk, so that it survives a restart of all
// processes.
void Control::SaveQuarantine(TimePoint now) {
  if (!replica_ || quarantine_.version() == saved_quarantine_version_ ||
      now - quarantine_save_tried_at_ < kQuarantineSaveInterval) {
    return;
  }
  quarantine_save_tried_at_ = now;
  absl::Status s =
      SaveCrashRecords(options_.data_dir, quarantine_.RecordsToPublish(),
                       {now, wall_.UnixNow()}, options_.before_disk_write);
  if (s.ok()) {
    saved_quarantine_version_ = quarantine_.version();
  } else {
    LogWarn("store_failed", {{"op", "quarantine"}, {"error", s.message()}});
  }
}

void Control::RecordBuilds(TimePoint now) {
  if (builds_recorded_since_ == kNever) builds_recorded_since_ = now;
  builds_.RecordList(list_history_.list().All(), now);
  SaveBuildHistory(now);
}

void Control::SaveBuildHistory(TimePoint now) {
  if (!replica_ || builds_.version() == saved_builds_version_ ||
      !BuildsKnown(now)) {
    return;
  }
  builds_save_tried_at_ = now;
  absl::Status s = SaveBuilds(options_.data_dir, builds_.Records(now),
                              options_.before_disk_write);
  if (s.ok()) {
    saved_builds_version_ = builds_.version();
  } else {
    LogWarn("store_failed", {{"op", "builds"}, {"error", s.message()}});
  }
}

bool Control::BuildsKnown(TimePoint now) const {
  return builds_complete_ || (builds_recorded_since_ != kNever &&
                              now - builds_recorded_since_ >= kBuildMemory);
}

}  // namespace medlarwalk
