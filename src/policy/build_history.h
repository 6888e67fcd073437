// Which software versions the upstreams of each service have run of late. Pure;
// callers pass the current time.
//
// A stream goes on only at the version that began it. Where that is not known,
// it may go on only if no other version can have begun it: the list that shows
// a single version is not enough, because the last upstream of another one may
// have left while streams of it are to be taken up.
#ifndef MEDLARWALK_BUILD_HISTORY_H_
#define MEDLARWALK_BUILD_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "types.h"
#include "upstream_list.h"

namespace medlarwalk {

// Time after the start of a stream for which it may be taken up, at least.
inline constexpr auto kBuildMemory = std::chrono::seconds(60);

// A software version that upstreams of a service run or have run.
struct BuildRecord {
  std::string service;
  std::string build;
  Millis age{};  // Time since it was last known to be listed.
};

// The versions listed within kBuildMemory. Thread safety: loop thread only.
class BuildHistory {
 public:
  // Records a list of upstreams.
  void RecordList(absl::Span<const UpstreamInfo> listed, TimePoint now);
  // Adds what another process knows or what was saved.
  void Merge(absl::Span<const BuildRecord> records, TimePoint now);
  // Forgets versions that have been gone for kBuildMemory.
  void RemoveExpired(TimePoint now);

  // Returns the versions that `service` has run of late.
  std::vector<std::string> BuildsOf(absl::string_view service,
                                    TimePoint now) const;
  // Returns whether upstreams of several versions are listed.
  bool ListsSeveral(absl::string_view service) const;
  // Returns all records.
  std::vector<BuildRecord> Records(TimePoint now) const;
  // Returns a hash of the services and versions, without their ages; never 0.
  int64_t version() const { return version_; }

 private:
  // Bounds the memory that another process's records can take.
  static constexpr size_t kMaxRecords = 4096;

  struct State {
    bool listed = false;
    TimePoint seen_at{};  // When it was last known to be listed.
  };
  using Key = std::pair<std::string, std::string>;  // Service and version.
  void UpdateVersion();

  std::map<Key, State> states_;
  int64_t version_ = 1;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_BUILD_HISTORY_H_
