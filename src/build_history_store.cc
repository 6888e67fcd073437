#include "build_history_store.h"

#include <unistd.h>

#include "control_wire.h"
#include "log.h"
#include "replica_store.h"

namespace medlarwalk {

using nlohmann::json;

namespace {

std::string BuildsPath(const std::string& dir) { return dir + "/builds"; }

}  // namespace

absl::Status SaveBuilds(const std::string& dir,
                        absl::Span<const BuildRecord> records,
                        const BeforeWrite& before_write,
                        const FileSystem& files) {
  absl::StatusOr<std::string> bytes = FrameRecord(BuildRecordsToJson(records));
  if (!bytes.ok()) return bytes.status();
  absl::StatusOr<int> fd =
      ReplaceFile(files, BuildsPath(dir), *bytes, before_write);
  if (!fd.ok()) return fd.status();
  close(*fd);
  return SyncDir(files, dir);
}

std::optional<std::vector<BuildRecord>> LoadBuilds(const std::string& dir) {
  absl::StatusOr<std::string> bytes = ReadFile(BuildsPath(dir));
  if (!bytes.ok()) return std::nullopt;
  size_t bytes_read = 0;
  std::vector<json> saved = ReadRecords(*bytes, &bytes_read);
  try {
    if (!saved.empty()) return BuildRecordsFromJson(saved.front());
  } catch (const json::exception&) {
  }
  LogWarn("builds_unreadable", {{"bytes", bytes->size()}});
  return std::nullopt;
}

}  // namespace medlarwalk
