#include "control.h"

#include <algorithm>
#include <limits>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "build_history_store.h"
#include "heap_use.h"
#include "log.h"
#include "loop_order.h"
#include "packed.h"
#include "quarantine_store.h"
#include "random_seed.h"
#include "replica_codec.h"

namespace medlarwalk {
namespace {

constexpr double kTickSeconds = 0.02;
// Rate at which a control process without a leader reads the upstream list
// itself, as a share of the usual read rate.
constexpr double kLeaderlessListRate = 0.4;
// Time without a watch after which a follower is no longer counted.
constexpr auto kFollowerTimeout = std::chrono::seconds(3);
// Time without a watch after which a follower is given no parts of the upstream
// list to read. Exceeds the time for which a watch is held open.
constexpr auto kListReaderTimeout = Millis(900);
// Time for which a process without a disk relies on the leader that its last
// watch answer named.
constexpr auto kAnnouncedLeaderTtl = std::chrono::seconds(1);
constexpr auto kMemberAnnouncementInterval = Millis(300);
// Maximum bytes of configurations in flight from this process to the leader.
// All forwarding members share the leader's link of 100 Mbit/s, which transmits
// this many bytes within half a second.
constexpr size_t kMaxForwardedBytes = size_t{1} << 20;
constexpr auto kStoreRetryInterval = std::chrono::seconds(1);
// Size of the kept history of list changes, as a number of changed upstreams. A
// fleet of hundreds replaces this many in a minute. A follower that was away
// for longer receives the complete list.
constexpr size_t kMaxListChanges = 256;
// Heap usage is logged when it has changed by kMemoryStep bytes, at most once
// per kMemoryLogInterval.
constexpr size_t kMemoryStep = size_t{4} << 20;
constexpr auto kMemoryLogInterval = Millis(100);

std::string NewMemberId() { return absl::StrCat(absl::Hex(RandomSeed())); }

}  // namespace

int HttpStatusOf(const absl::Status& s) {
  if (s.ok()) return 200;
  return absl::IsInvalidArgument(s) ? 400 : 503;
}

Control::Control(struct ev_loop* loop, const Clock& clock,
                 const WallClock& wall, ControlOptions options)
    : loop_(loop),
      clock_(clock),
      wall_(wall),
      options_(std::move(options)),
      store_(options_.data_dir, options_.before_disk_write),
      peer_server_(loop,
                   [this](const H2Request& r, std::shared_ptr<H2Stream> s) {
                     HandlePeerRequest(r, std::move(s));
                   }),
      loop_watch_(
          loop, clock,
          [this](Duration d) { metrics_.ObserveLoopIteration(ToSeconds(d)); }),
      poll_clock_(loop, clock),
      links_(loop, clock),
      load_(
          loop, clock, links_, [this] { return OtherControls(); },
          metrics_.shared_load()),
      forwarded_changes_(kMaxForwardedBytes,
                         [this](int64_t, Document document, SubmitDone done) {
                           ForwardToLeader(std::move(document),
                                           std::move(done));
                         }),
      lister_(loop, clock, options_.list, links_),
      usage_(
          loop, clock, wall, options_.usage, [this] { return replica_.get(); },
          metrics_),
      reports_(quarantine_, limits_, usage_.ledger(), wall),
      leader_watch_(
          loop, clock,
          [&] {
            WatchOptions o;
            o.name = options_.name;
            o.data_centre = options_.data_centre;
            o.address = options_.peer.ToString();
            o.reports = &reports_;
            o.longest_iteration = [this] {
              return loop_watch_.longest_iteration();
            };
            return o;
          }(),
          {},
          [this](const WatchReply& r, bool in_sync) {
            OnLeaderReply(r, in_sync);
          }),
      list_history_(kMaxListChanges, EncodeListChange) {
  // Claims to hold the highest version, so that the leader sends no
  // configurations in watch answers. Configurations arrive through the
  // replicated log.
  leader_watch_.next_request().config_version =
      std::numeric_limits<int64_t>::max();
  InitTimer(&tick_, OnTick, kTickSeconds, kTickSeconds);
  tick_.data = this;
}

Control::~Control() { ev_timer_stop(loop_, &tick_); }

absl::Status Control::Start() {
  int port = options_.peer_listen_port ? options_.peer_listen_port
                                       : options_.peer.port;
  absl::Status s = peer_server_.Listen(options_.peer.ip, port);
  if (!s.ok()) return s;
  if (keeps_state()) {
    OpenStore();
    leader_watch_.SetPaused(true);
  } else {
    leader_watch_.set_seeds(options_.seeds);
  }
  ev_timer_start(loop_, &tick_);
  leader_watch_.Start();
  LogEvent("control_started", {{"peer", options_.peer.ToString()},
                               {"bootstrap", options_.bootstrap},
                               {"seeds", options_.seeds.size()}});
  return absl::OkStatus();
}

void Control::set_seeds(std::vector<std::string> seeds) {
  options_.seeds = std::move(seeds);
  if (replica_) replica_->set_seeds(options_.seeds);
  if (!keeps_state()) leader_watch_.set_seeds(options_.seeds);
}

// Opens the replica on the stored state. Returns false if the disk cannot be
// read or written; the caller retries later. Until then, this process does not
// vote.
bool Control::OpenStore() {
  store_tried_at_ = clock_.Now();
  absl::StatusOr<StoredState> stored = store_.Load();
  if (!stored.ok() && !absl::IsNotFound(stored.status())) {
    LogWarn("store_failed",
            {{"op", "load"}, {"error", stored.status().message()}});
    return false;
  }
  quarantine_complete_ = stored.ok() || options_.bootstrap;
  if (!stored.ok()) {
    StoredState fresh;
    std::string own_address = options_.peer.ToString();
    bool founder = options_.bootstrap &&
                   std::find(options_.seeds.begin(), options_.seeds.end(),
                             own_address) != options_.seeds.end();
    // Derives the ids of founders from their addresses, so that founders know
    // each other's ids without communication. This happens only at the first
    // start of the whole system.
    fresh.self =
        Member{founder ? absl::StrCat("founder-", own_address) : NewMemberId(),
               own_address};
    if (founder) {
      for (const std::string& a : options_.seeds) {
        fresh.snapshot.members.push_back(
            Member{absl::StrCat("founder-", a), a});
      }
    }
    absl::Status s = store_.ReplaceState(fresh);
    if (!s.ok()) {
      LogWarn("store_failed", {{"op", "create"}, {"error", s.message()}});
      return false;
    }
    stored = std::move(fresh);
  }
  TimePoint now = clock_.Now();
  quarantine_.MergeReported(
      LoadCrashRecords(options_.data_dir, {now, wall_.UnixNow()}));
  saved_quarantine_version_ = quarantine_.version();
  std::optional<std::vector<BuildRecord>> builds =
      LoadBuilds(options_.data_dir);
  builds_complete_ = builds.has_value() || options_.bootstrap;
  if (builds) builds_.Merge(*builds, now);
  saved_builds_version_ = builds ? builds_.version() : 0;
  LogEvent("store_opened", {{"id", stored->self.id},
                            {"term", stored->term},
                            {"snapshot", stored->snapshot.index},
                            {"entries", stored->log.size()},
                            {"version", stored->snapshot.version},
                            {"builds", builds ? builds->size() : 0},
                            {"builds_known", builds_complete_ ? 1 : 0}});
  ReplicaOptions o;
  o.tolerated_failures = options_.tolerated_failures;
  Replica::Hooks h;
  h.send = [this](const Member& to, const ReplicaMessage& m) {
    SendToPeer(to, m);
  };
  h.on_config_committed = [this](int64_t version, const Document& config) {
    LogEvent("config_committed",
             {{"version", version}, {"bytes", config->size()}});
    AnswerWatches();
  };
  h.on_leader_change = [this] { FollowLeader(); };
  replica_ = std::make_unique<Replica>(clock_, o, store_, *std::move(stored),
                                       options_.seeds, h, RandomSeed());
  return true;
}

bool Control::IsLeader() const {
  return replica_ && replica_->role() == ReplicaRole::kLeader;
}

std::optional<Member> Control::Leader() const {
  if (replica_) return replica_->Leader();
  if (announced_leader_.empty() ||
      clock_.Now() - leader_announced_at_ > kAnnouncedLeaderTtl) {
    return std::nullopt;
  }
  return Member{"", announced_leader_};
}

// Sends a message to a member. At most one message with log entries or a
// snapshot is in flight per member. Until it is answered, further messages are
// sent as heartbeats, without entries or snapshot. This bounds the bytes queued
// on a slow link. A link that stops accepting bytes fails its pings and is
// closed, which ends the call.
void Control::SendToPeer(const Member& to, const ReplicaMessage& m) {
  if (!links_.LinkTo(to.address).usable()) return;
  bool carries_load = !m.entries.empty() || m.snapshot;
  if (carries_load && !members_with_load_in_flight_.insert(to.address).second) {
    ReplicaMessage heartbeat = m;
    heartbeat.entries.clear();
    heartbeat.snapshot.reset();
    SendToPeer(to, heartbeat);
    return;
  }
  links_.Post(
      to.address, kReplicaPath, Payload(EncodeMessage(m)),
      [this, carries_load, address = to.address](int status,
                                                 const std::string& body) {
        if (carries_load) members_with_load_in_flight_.erase(address);
        if (status != 200 || body.empty() || !replica_) return;
        absl::StatusOr<ReplicaMessage> reply = DecodeMessage(body);
        if (!reply.ok()) {
          LogWarn("bad_peer_message", {{"error", reply.status().message()}});
          return;
        }
        replica_->HandleMessage(*reply);
      });
}

void Control::HandlePeerRequest(const H2Request& req,
                                std::shared_ptr<H2Stream> stream) {
  if (req.path == kWatchPath) {
    HandleWatch(req, std::move(stream));
    return;
  }
  if (req.path == kMemberAnnouncementPath) {
    HandleMemberAnnouncement(req, std::move(stream));
    return;
  }
  if (req.path == kReplicaPath) {
    HandleReplica(req, std::move(stream));
    return;
  }
  if (req.path == kEngineLoadPath) {
    load_.HandleRequest(req, std::move(stream));
    return;
  }
  if (req.path == kSubmitPath) {
    absl::StatusOr<std::string> text =
        DecompressDocument(req.body, kMaxLinkBodyBytes);
    absl::StatusOr<int64_t> version =
        text.ok() ? options_.validate(*text) : text.status();
    if (!version.ok()) {
      stream->Respond(400, {}, std::string(version.status().message()));
      return;
    }
    auto document = std::make_shared<const std::string>(req.body);
    SubmitLocally(std::move(document), *version, [stream](absl::Status s) {
      stream->Respond(HttpStatusOf(s), {}, std::string(s.message()));
    });
    return;
  }
  if (req.path == kConfirmPath) {
    ConfirmVersionLocally([stream](absl::StatusOr<int64_t> v) {
      stream->Respond(HttpStatusOf(v.status()), {},
                      v.ok() ? absl::StrCat(*v) : "");
    });
    return;
  }
  if (req.path == kListPartPath) {
    lister_.HandlePartRequest(req, std::move(stream));
    return;
  }
  if (req.path == kReadPath) {
    ReadLocally([stream](absl::StatusOr<std::string> r) {
      int status = absl::IsNotFound(r.status()) ? kNoConfigurationStatus
                                                : HttpStatusOf(r.status());
      stream->Respond(status, {}, r.ok() ? *r : "");
    });
    return;
  }
  stream->Respond(404, {}, "");
}

void Control::HandleReplica(const H2Request& req,
                            std::shared_ptr<H2Stream> stream) {
  absl::StatusOr<ReplicaMessage> m = DecodeMessage(req.body);
  if (!m.ok()) {
    LogWarn("bad_peer_message", {{"error", m.status().message()}});
    stream->Respond(400, {}, "");
    return;
  }
  // The sender may just have started, after the last attempt to connect to it.
  if (!m->from.address.empty()) links_.LinkTo(m->from.address).OnPeerAlive();
  std::optional<ReplicaMessage> reply;
  if (replica_) {
    reply = replica_->HandleMessage(*m);
  } else if (m->type == ReplicaMessage::Type::kJoin) {
    reply.emplace();
    reply->type = ReplicaMessage::Type::kJoinReply;
    for (const std::string& a : announced_members_) {
      reply->members.push_back(Member{"", a});
    }
  }
  stream->Respond(200, {}, reply ? EncodeMessage(*reply) : "");
}

void Control::HandleMemberAnnouncement(const H2Request& req,
                                       std::shared_ptr<H2Stream> stream) {
  absl::StatusOr<std::vector<std::string>> members =
      DecodeMemberAddresses(req.body);
  stream->Respond(members.ok() ? 200 : 400, {}, "");
  if (!members.ok() || replica_ || members->empty()) return;
  if (announced_members_ != *members) {
    LogEvent("members_told", {{"members", members->size()}});
  }
  announced_members_ = *std::move(members);
  std::vector<std::string> seeds = options_.seeds;
  seeds.insert(seeds.end(), announced_members_.begin(),
               announced_members_.end());
  leader_watch_.set_seeds(std::move(seeds));
}

ControlMetrics::Memory Control::MeasureMemory() const {
  ControlMetrics::Memory m;
  if (replica_) {
    if (replica_->config()) m.config = replica_->config()->size();
    m.log = replica_->log_bytes();
    m.log_entries = replica_->log_entries();
  }
  m.peers = links_.queued_bytes();
  m.watchers = peer_server_.queued_bytes();
  HeapUse heap = ReadHeapUse();
  m.heap = heap.in_use;
  m.heap_reserved = heap.held;
  return m;
}

// Logs the memory use when it has changed by kMemoryStep. If the process is
// killed for its memory, the last of these log lines show what the memory
// held.
void Control::LogMemoryChange(TimePoint now) {
  if (now - memory_logged_at_ < kMemoryLogInterval) return;
  size_t held = ReadHeapUse().held;
  size_t change = held > logged_heap_held_ ? held - logged_heap_held_
                                           : logged_heap_held_ - held;
  if (change < kMemoryStep) return;
  logged_heap_held_ = held;
  memory_logged_at_ = now;
  ControlMetrics::Memory m = MeasureMemory();
  LogEvent("memory", {{"heap", m.heap},
                      {"held", m.heap_reserved},
                      {"config", m.config},
                      {"log", m.log},
                      {"entries", m.log_entries},
                      {"peers", m.peers},
                      {"watchers", m.watchers},
                      {"waiting", pending_watches_.size()}});
}

std::string Control::Metrics() {
  ControlMetrics::State s;
  s.memory = MeasureMemory();
  TimePoint now = clock_.Now();
  s.leader = IsLeader();
  s.followers = followers_.size();
  if (replica_) {
    s.term = replica_->term();
    s.config_version = replica_->config_version();
    s.voters = replica_->members().size();
    Duration age = replica_->TimeSinceInSync();
    if (age != Duration::max()) s.in_sync_age_s = ToSeconds(age);
  }
  s.quarantined = quarantine_.quarantined_count();
  s.quarantined_parts = quarantine_.blamed_part_count();
  if (list_read_at_ != TimePoint{})
    s.list_age_s = ToSeconds(now - list_read_at_);
  metrics_.SetState(s);
  return metrics_.Render();
}

// Sends the addresses of the group's members to those seeds that are not
// members.
void Control::AnnounceMembers(TimePoint now) {
  if (!replica_ || now - members_announced_at_ < kMemberAnnouncementInterval)
    return;
  members_announced_at_ = now;
  std::vector<std::string> members;
  for (const Member& m : replica_->members()) members.push_back(m.address);
  if (members.empty()) return;
  for (const std::string& seed : options_.seeds) {
    if (seed == options_.peer.ToString() ||
        std::find(members.begin(), members.end(), seed) != members.end()) {
      continue;
    }
    if (!links_.LinkTo(seed).usable()) continue;
    links_.Post(seed, kMemberAnnouncementPath,
                Payload(EncodeMemberAddresses(members)), nullptr);
  }
}

void Control::FollowLeader() {
  std::optional<Member> leader = Leader();
  bool follow = leader && !IsLeader();
  leader_watch_.SetPaused(!follow);
  if (follow) leader_watch_.Pin(leader->address);
}

void Control::OnTick(struct ev_loop*, ev_timer* w, int) {
  static_cast<Control*>(w->data)->Tick();
}

void Control::Tick() {
  TimePoint now = clock_.Now();
  if (!replica_ && keeps_state() &&
      now - store_tried_at_ > kStoreRetryInterval) {
    OpenStore();
  }
  if (replica_) replica_->Tick(poll_clock_.Now());
  AnnounceMembers(now);
  RemoveSilentFollowers();
  leader_watch_.next_request().serving_followers = DirectServingCount();
  leader_watch_.next_request().serving_endpoints = DirectServingEndpoints();
  quarantine_.Tick(now);
  SaveQuarantine(now);
  builds_.RemoveExpired(now);
  if (now - builds_save_tried_at_ >= kBuildsSaveInterval) SaveBuildHistory(now);
  limits_.RemoveStaleLimits(
      [this](const std::string& id) {
        return list_history_.list().Find(id) != nullptr;
      },
      now);
  usage_.Tick();
  leader_watch_.next_request().usage_copy_received = usage_.copy_received();
  bool overdue_usage = usage_.TakeOverdueReport();
  if (overdue_usage) reports_.ReportUsageNext();
  if (reports_.has_urgent() || overdue_usage) leader_watch_.RestartWatch();
  ConfirmVersionForNewWatches();
  AnswerWatches();
  PollList(now);
  RetryWaitingCalls(now);
  LogMemoryChange(now);
}

void Control::RemoveSilentFollowers() {
  TimePoint polled_at = poll_clock_.Now();
  for (auto it = followers_.begin(); it != followers_.end();) {
    bool silent = polled_at - it->second.last_seen > kFollowerTimeout;
    it = silent ? followers_.erase(it) : std::next(it);
  }
}

void Control::PollList(TimePoint now) {
  lister_.Tick();
  bool leaderless = replica_ && !IsLeader() &&
                    replica_->TimeSinceLeaderContact() > kLeaderlessTimeout;
  if (!IsLeader() && !leaderless) {
    // A list that this process began to read as the leader may be older than
    // that of the new leader.
    lister_.Cancel();
    return;
  }
  if (lister_.busy()) return;
  // All members may be without a leader at once: each uses only its share of
  // the calls that the list's source accepts.
  size_t readers = leaderless ? replica_->members().size() : 1;
  list_interval_ =
      ListPollInterval(lister_.length(), options_.list.calls_per_s /
                                             static_cast<double>(readers));
  if (leaderless) {
    list_interval_ =
        ClampedSeconds(ToSeconds(list_interval_) / kLeaderlessListRate);
  }
  if (now - list_polled_at_ < list_interval_) return;
  list_polled_at_ = now;
  lister_.Read(ListReaders(), [this](absl::StatusOr<SharedLister::ReadList> r) {
    OnListRead(std::move(r));
  });
}

// Returns the control processes that can read parts of the upstream list for
// this process. While the source does not answer there are none: each of them
// would only add calls.
std::vector<std::string> Control::ListReaders() const {
  std::vector<std::string> out;
  if (!IsLeader() || list_source_lost_) return out;
  TimePoint polled_at = poll_clock_.Now();
  for (const auto& [name, f] : followers_) {
    if (!f.address.empty() && polled_at - f.last_seen <= kListReaderTimeout) {
      out.push_back(f.address);
    }
  }
  return out;
}

void Control::OnListRead(absl::StatusOr<SharedLister::ReadList> r) {
  if (!r.ok()) {
    if (!list_source_lost_) {
      LogWarn("list_lost", {{"error", r.status().message()}});
    }
    list_source_lost_ = true;
    return;
  }
  if (list_source_lost_) LogEvent("list_regained", {});
  list_source_lost_ = false;
  list_read_at_ = r->read_at;
  list_pages_ = lister_.length().pages;
  int64_t previous_version = list_history_.version();
  list_unread_ = lister_.unread().count;
  list_rest_unread_ = lister_.unread().rest;
  metrics_.SetListUnread(list_unread_, list_rest_unread_);
  if (!list_history_.Replace(KeepUnread(
          std::move(r->upstreams), lister_.unread(), list_history_.list()))) {
    return;
  }
  LogEvent("list_changed", {{"version", list_history_.version()},
                            {"from", previous_version},
                            {"upstreams", list_history_.list().size()}});
  leader_watch_.next_request().list_version = list_history_.version();
  RecordBuilds(clock_.Now());
  AnswerWatches();
}

}  // namespace medlarwalk
