// Snapshots of the replicated log: installation on followers and compaction.
#include <algorithm>

#include "log.h"
#include "replica.h"

namespace medlarwalk {
namespace {

// Delay before the next compaction after a snapshot could not be written.
constexpr auto kCompactionRetryDelay = std::chrono::seconds(1);

}  // namespace

ReplicaMessage Replica::HandleInstallSnapshot(const ReplicaMessage& m) {
  ReplicaMessage reply = MakeMessage(ReplicaMessage::Type::kAppendReply);
  if (!AcceptLeader(m, &reply)) return reply;
  if (!m.snapshot) {
    reply.index = commit_index_;
    return reply;
  }
  if (m.snapshot->index > commit_index_ && !InstallSnapshot(*m.snapshot)) {
    return reply;
  }
  reply.ok = true;
  reply.index = std::max(commit_index_, m.snapshot->index);
  RecordUpToDateTime(m);
  return reply;
}

// Replaces the log up to `snapshot.index`, which is not committed here yet.
// Entries after it stay if the log agrees with the snapshot: this replica may
// have acknowledged them. Returns false if the store failed.
bool Replica::InstallSnapshot(const Snapshot& snapshot) {
  StoredState state;
  state.self = self_;
  state.term = term_;
  state.voted_for = voted_for_;
  state.snapshot = snapshot;
  if (TermAt(snapshot.index) == snapshot.term) {
    for (uint64_t i = snapshot.index + 1; i <= LastLogIndex(); ++i) {
      state.log.push_back(EntryAt(i));
    }
  }
  absl::Status status = store_.ReplaceState(state);
  if (!status.ok()) {
    disk_backoff_until_ = clock_.Now() + kDiskErrorBackoff;
    LogWarn("store_failed", {{"op", "install"}, {"error", status.message()}});
    return false;
  }
  snapshot_ = snapshot;
  log_.assign(state.log.begin(), state.log.end());
  log_bytes_ = 0;
  for (const LogEntry& e : log_) log_bytes_ += EntryBytes(e);
  applied_log_bytes_ = 0;
  commit_index_ = applied_index_ = snapshot_.index;
  duties_ = snapshot_.duties;
  ReloadMembersFromLog();
  if (snapshot_.version > config_version_) {
    config_version_ = snapshot_.version;
    config_ = snapshot_.config;
    if (hooks_.on_config_committed)
      hooks_.on_config_committed(config_version_, config_);
  }
  return true;
}

void Replica::MaybeCompactLog() {
  // The bytes in the log trigger a compaction only when they reach twice the
  // size of the newest configuration. Each snapshot writes that configuration
  // again; with this limit, snapshots are the smaller part of all writes.
  size_t min_bytes =
      std::max(options_.compact_bytes, 2 * (config_ ? config_->size() : 0));
  if (applied_index_ - snapshot_.index < options_.compact_entries &&
      applied_log_bytes_ < min_bytes) {
    return;
  }
  if (clock_.Now() < compact_not_before_) return;
  StoredState state;
  state.self = self_;
  state.term = term_;
  state.voted_for = voted_for_;
  state.snapshot.index = applied_index_;
  state.snapshot.term = TermAt(applied_index_);
  state.snapshot.version = config_version_;
  state.snapshot.config = config_;
  state.snapshot.duties = duties_;
  state.snapshot.members = snapshot_.members;
  for (const LogEntry& e : log_) {
    if (e.index <= applied_index_) {
      if (e.kind == EntryKind::kMembers) state.snapshot.members = e.members;
    } else {
      state.log.push_back(e);
    }
  }
  absl::Status status = store_.ReplaceState(state);
  if (!status.ok()) {
    LogWarn("store_failed", {{"op", "compact"}, {"error", status.message()}});
    // Compaction is not retried at each entry, because the disk may be slow or
    // full.
    compact_not_before_ = clock_.Now() + kCompactionRetryDelay;
    return;
  }
  snapshot_ = std::move(state.snapshot);
  log_.assign(state.log.begin(), state.log.end());
  log_bytes_ -= applied_log_bytes_;
  applied_log_bytes_ = 0;
}

}  // namespace medlarwalk
