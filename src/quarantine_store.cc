#include "quarantine_store.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "control_wire.h"
#include "log.h"
#include "replica_store.h"

namespace medlarwalk {

using nlohmann::json;

namespace {

constexpr char kSavedAtKey[] = "unix_ms";
constexpr char kRecordsKey[] = "records";

std::string QuarantinePath(const std::string& dir) {
  return dir + "/quarantine";
}

}  // namespace

absl::Status SaveCrashRecords(const std::string& dir,
                              absl::Span<const CrashRecord> records,
                              const SaveTime& at,
                              const BeforeWrite& before_write,
                              const FileSystem& files) {
  absl::StatusOr<std::string> bytes =
      FrameRecord({{kSavedAtKey, at.unix_ms.count()},
                   {kRecordsKey, CrashRecordsToJson(records, at.now)}});
  if (!bytes.ok()) return bytes.status();
  absl::StatusOr<int> fd =
      ReplaceFile(files, QuarantinePath(dir), *bytes, before_write);
  if (!fd.ok()) return fd.status();
  close(*fd);
  return SyncDir(files, dir);
}

std::vector<CrashRecord> LoadCrashRecords(const std::string& dir,
                                          const SaveTime& at) {
  absl::StatusOr<std::string> bytes = ReadFile(QuarantinePath(dir));
  if (!bytes.ok()) return {};
  size_t bytes_read = 0;
  std::vector<json> saved_records = ReadRecords(*bytes, &bytes_read);
  if (saved_records.empty()) {
    LogWarn("quarantine_unreadable", {{"bytes", bytes->size()}});
    return {};
  }
  try {
    const json& saved = saved_records.front();
    // Files of earlier versions hold the records alone.
    if (saved.is_array()) return CrashRecordsFromJson(saved, at.now);
    Millis saved_at(saved.at(kSavedAtKey).get<int64_t>());
    Millis since_save = std::clamp(at.unix_ms - saved_at, Millis(0), kMaxAge);
    return CrashRecordsFromJson(saved.at(kRecordsKey), at.now - since_save);
  } catch (const json::exception& e) {
    LogWarn("quarantine_unreadable", {{"error", e.what()}});
    return {};
  }
}

}  // namespace medlarwalk
