// Where recent streams began. A stream may go on only at the service and the
// software version that began it, and its caller may take it up at any entry
// process.
//
// Load pattern: thousands of streams begin every second, and all streams of an
// entry process break off when it ends. What it alone knew of them is lost, so
// a few other processes hold a copy. Each stream's holders follow from a hash:
// every process holds as much as the others, whatever their number.
#ifndef MEDLARWALK_STREAM_ORIGIN_TABLE_H_
#define MEDLARWALK_STREAM_ORIGIN_TABLE_H_

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/types/span.h"
#include "endpoint.h"
#include "types.h"

namespace medlarwalk {

// Hash of the id of the caller's attempt that began a stream.
using StreamKey = uint64_t;

inline StreamKey KeyOfStream(absl::string_view attempt_id) {
  return StableHash(attempt_id);
}

// Service and software version of the upstream that began a stream.
struct StreamOrigin {
  std::string service;
  std::string build;
  bool operator==(const StreamOrigin& o) const {
    return service == o.service && build == o.build;
  }
};

// A stream that was sent to an upstream.
struct StreamRecord {
  StreamKey key = 0;
  // Number of the upstream's attempt at the stream. Before its first event a
  // stream may be sent to several upstreams, and the last one begins it.
  uint32_t attempt = 0;
  StreamOrigin origin;
  // Time for which the record is kept.
  Millis lifetime{};
};

// The records that one process holds. Thread safety: none.
class StreamOriginTable {
 public:
  // Of more than `max_records` records, those that expire first are dropped.
  explicit StreamOriginTable(size_t max_records) : max_records_(max_records) {}

  // Stores `record`, unless a record of a later attempt is held.
  void Record(const StreamRecord& record, TimePoint now);
  // Returns the origin of the stream, or nullptr if it is not known.
  const StreamOrigin* Find(StreamKey key, TimePoint now) const;
  void RemoveExpired(TimePoint now);
  size_t size() const { return records_.size(); }

 private:
  struct Entry {
    uint32_t attempt = 0;
    StreamOrigin origin;
    TimePoint expires_at{};
  };
  void RemoveFirst();

  size_t max_records_;
  std::unordered_map<StreamKey, Entry> records_;
  std::set<std::pair<TimePoint, StreamKey>> by_expiry_;
};

// Returns the first `count` of `peers` in the order of a hash of each peer and
// `key`. All processes with the same peers compute the same order; adding or
// removing one leaves the order of the others.
std::vector<Endpoint> HoldersOf(StreamKey key, absl::Span<const Endpoint> peers,
                                size_t count);

}  // namespace medlarwalk

#endif  // MEDLARWALK_STREAM_ORIGIN_TABLE_H_
