// Gateway: streams that their callers take up after an interruption. Such a
// stream goes on only at the service and the software version that began it.
#include <algorithm>
#include <limits>
#include <optional>

#include "gateway.h"
#include "gateway_request.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Time after its start for which the origin of a stream is kept, in timeouts of
// its route; kBuildMemory at least.
constexpr int kStreamMemoryTimeouts = 2;
// Time between two records of the origin of one stream.
constexpr auto kOriginRefresh = std::chrono::seconds(2);
// Number of an attempt at a stream whose origin is known.
constexpr uint32_t kFinalAttempt = std::numeric_limits<uint32_t>::max();

}  // namespace

bool Gateway::TakesUpStream(const Request& r) {
  return r.stream() && r.route->resumable && r.facts.last_event;
}

void Gateway::MergeBuilds(absl::Span<const BuildRecord> records,
                          bool complete) {
  builds_.Merge(records, clock_.Now());
  if (complete) builds_complete_at_ = {};
}

bool Gateway::KnowsBuilds(TimePoint now) const {
  return !options_.builds_vary ||
         (now >= builds_complete_at_ && now < list_trusted_until_);
}

std::optional<StreamOrigin> Gateway::SoleOrigin(const Request& r) const {
  TimePoint now = clock_.Now();
  if (!KnowsBuilds(now)) return std::nullopt;
  std::optional<StreamOrigin> sole;
  for (const auto& s : r.route->services) {
    std::vector<std::string> builds = builds_.BuildsOf(s.service, now);
    if (builds.size() > 1) return std::nullopt;
    if (builds.size() == 1 && s.service == r.service->name)
      sole = StreamOrigin{s.service, builds[0]};
  }
  return sole;
}

bool Gateway::MayHaveFewUpstreams(const Request& r) const {
  if (!r.build) return false;
  return builds_.ListsSeveral(r.service->name);
}

void Gateway::DispatchTakenUpStream(Request& r) {
  if (r.facts.resumes.empty() || !options_.find_stream_origin) {
    DispatchFromOrigin(r, SoleOrigin(r));
    return;
  }
  options_.find_stream_origin(
      KeyOfStream(r.facts.resumes),
      [this, seq = r.seq](const std::optional<StreamOrigin>& origin) {
        auto it = requests_.find(seq);
        if (it == requests_.end()) return;
        Request& q = *it->second;
        DispatchFromOrigin(q, origin ? origin : SoleOrigin(q));
      });
}

void Gateway::DispatchFromOrigin(Request& r,
                                 const std::optional<StreamOrigin>& origin) {
  bool routed =
      origin &&
      std::any_of(r.route->services.begin(), r.route->services.end(),
                  [&](const auto& s) { return s.service == origin->service; });
  LogEvent(
      "stream_taken_up",
      {{"request", r.facts.id},
       {"resumes", r.facts.resumes},
       {"build", origin ? origin->build : ""},
       {"known", origin ? 1 : 0},
       {"builds_known", KnowsBuilds(clock_.Now()) ? 1 : 0},
       {"list_trust_ms",
        options_.builds_vary ? ToMs(list_trusted_until_ - clock_.Now()) : -1}});
  if (!routed) {
    FailRequest(r, ErrorKind::kNotRun,
                origin ? "service of the stream has no route"
                       : "version of the stream unknown");
    return;
  }
  r.service = &r.config->services.at(origin->service);
  r.build = origin->build;
  ClassifyRequest(r);
  if (!HasUntriedUpstream(pool_.upstreams(), PlacementRequestFor(r))) {
    FailRequest(r, ErrorKind::kNotRun, "no upstream of the stream's version");
    return;
  }
  DispatchAdmitted(r);
}

// Records where the stream of `r` begins, so that other processes can let it go
// on. Called before the upstream can send an event.
void Gateway::RecordStreamOrigin(Request& r, const std::string& build) {
  if (!options_.on_stream_sent || !r.stream() || !r.route->resumable) return;
  r.origin_recorded_at = clock_.Now();
  bool taken_up = TakesUpStream(r) && !r.facts.resumes.empty();
  StreamRecord record;
  record.key = KeyOfStream(taken_up ? r.facts.resumes : r.facts.id);
  record.attempt = taken_up ? kFinalAttempt : r.origin_number;
  record.origin = {r.service->name, build};
  record.lifetime = std::chrono::duration_cast<Millis>(std::max<Duration>(
      kBuildMemory, r.route->timeout * kStreamMemoryTimeouts));
  options_.on_stream_sent(record);
}

// Records the origin of a stream that lasts long once more: the processes that
// hold its record may have restarted, or others may hold it now.
void Gateway::RefreshStreamOrigin(Request& r, TimePoint now) {
  if (!r.build || r.upstream.empty() ||
      now - r.origin_recorded_at < kOriginRefresh) {
    return;
  }
  RecordStreamOrigin(r, *r.build);
}

}  // namespace medlarwalk
