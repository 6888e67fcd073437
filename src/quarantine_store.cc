#include "quarantine_store.h"

#include <unistd.h>

#include <utility>

#include "control_wire.h"
#include "log.h"
#include "replica_store.h"

namespace medlarwalk {

using nlohmann::json;

namespace {

std::string QuarantinePath(const std::string& dir) {
  return dir + "/quarantine";
}

}  // namespace

absl::Status SaveCrashRecords(const std::string& dir,
                              absl::Span<const CrashRecord> records,
                              TimePoint now, const BeforeWrite& before_write) {
  absl::StatusOr<std::string> bytes =
      FrameRecord(CrashRecordsToJson(records, now));
  if (!bytes.ok()) return bytes.status();
  absl::StatusOr<int> fd =
      ReplaceFile(QuarantinePath(dir), *bytes, before_write);
  if (!fd.ok()) return fd.status();
  close(*fd);
  return SyncDir(dir);
}

std::vector<CrashRecord> LoadCrashRecords(const std::string& dir,
                                          TimePoint now) {
  absl::StatusOr<std::string> bytes = ReadFile(QuarantinePath(dir));
  if (!bytes.ok()) return {};
  size_t bytes_read = 0;
  std::vector<json> saved_records = ReadRecords(*bytes, &bytes_read);
  if (saved_records.empty()) {
    LogWarn("quarantine_unreadable", {{"bytes", bytes->size()}});
    return {};
  }
  try {
    return CrashRecordsFromJson(saved_records.front(), now);
  } catch (const json::exception& e) {
    LogWarn("quarantine_unreadable", {{"error", e.what()}});
    return {};
  }
}

}  // namespace medlarwalk
