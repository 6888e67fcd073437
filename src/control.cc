#include "control.h"

#include <algorithm>
#include <limits>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
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
// A control process without a leader reads the list itself, this much less
// often: any number of them may do so at once.
constexpr double kLoneListShare = 0.4;
// A follower not heard for this long is no longer counted.
constexpr auto kFollowerGone = std::chrono::seconds(3);
// How long a process without a disk believes in the leader it was told of.
constexpr auto kToldLeaderTrust = std::chrono::seconds(1);
constexpr auto kHelloInterval = Millis(300);
// Bytes of changes under way to the leader: half a second of its link of
// 100 Mbit/s, shared with the other members that pass changes on.
constexpr size_t kMostForwarded = size_t{1} << 20;
constexpr auto kStoreRetry = std::chrono::seconds(1);
// Changes of the list that are kept, in upstreams: what a fleet of hundreds
// sees in a minute of replacements. Who was away for longer is told it whole.
constexpr size_t kListChanges = 256;
// Memory is told in the log when it has moved by this much, at most this often.
constexpr size_t kMemoryStep = size_t{4} << 20;
constexpr auto kMemoryTellInterval = Millis(100);

std::string NewId() { return absl::StrCat(absl::Hex(RandomSeed())); }

}  // namespace

int StatusOf(const absl::Status& s) {
  if (s.ok()) return 200;
  return absl::IsInvalidArgument(s) ? 400 : 503;
}

Control::Control(struct ev_loop* loop, const Clock& clock,
                 const WallClock& wall, ControlOptions options)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      store_(options_.data_dir, options_.before_disk_write),
      server_(loop,
              [this](const H2Request& r, std::shared_ptr<H2Stream> s) {
                HandlePeer(r, std::move(s));
              }),
      turns_(loop, clock,
             [this](Duration d) { metrics_.ObserveTurn(ToSeconds(d)); }),
      links_(loop, clock),
      forwards_(kMostForwarded,
                [this](int64_t, Document document, SubmitDone done) {
                  Forward(std::move(document), std::move(done));
                }),
      lister_(loop, clock, options_.list),
      usage_(
          loop, clock, wall, options_.usage, [this] { return replica_.get(); },
          metrics_),
      reports_(quarantine_, limits_, usage_.book(), wall),
      leader_watch_(
          loop, clock,
          [&] {
            WatchOptions o;
            o.name = options_.name;
            o.data_centre = options_.data_centre;
            o.address = options_.peer.ToString();
            o.reports = &reports_;
            o.longest_turn = [this] { return turns_.longest(); };
            return o;
          }(),
          {},
          [this](const WatchReply& r, bool in_step) {
            OnLeaderReply(r, in_step);
          }),
      list_(kListChanges, EncodeListChange) {
  // Configurations come through the log, not through this watch.
  leader_watch_.state().config_version = std::numeric_limits<int64_t>::max();
  InitTimer(&tick_, OnTick, kTickSeconds, kTickSeconds);
  tick_.data = this;
}

Control::~Control() { ev_timer_stop(loop_, &tick_); }

absl::Status Control::Start() {
  int port = options_.peer_listen_port ? options_.peer_listen_port
                                       : options_.peer.port;
  absl::Status s = server_.Listen(options_.peer.ip, port);
  if (!s.ok()) return s;
  if (keeps_state()) {
    OpenStore();
    leader_watch_.Pause(true);
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

// Opens the replica on what the disk holds. A disk that cannot be read or
// written now is tried again; until then this process votes on nothing.
bool Control::OpenStore() {
  store_tried_at_ = clock_.Now();
  absl::StatusOr<StoredState> st = store_.Load();
  if (!st.ok() && !absl::IsNotFound(st.status())) {
    LogWarn("store_failed", {{"op", "load"}, {"error", st.status().message()}});
    return false;
  }
  quarantine_known_ = st.ok() || options_.bootstrap;
  if (!st.ok()) {
    StoredState fresh;
    std::string own = options_.peer.ToString();
    bool founder = options_.bootstrap &&
                   std::find(options_.seeds.begin(), options_.seeds.end(),
                             own) != options_.seeds.end();
    // Founders know each other's ids without talking: these follow from the
    // addresses, once only, at the first start of the whole system.
    fresh.self = Member{founder ? absl::StrCat("founder-", own) : NewId(), own};
    if (founder) {
      for (const std::string& a : options_.seeds) {
        fresh.snapshot.members.push_back(
            Member{absl::StrCat("founder-", a), a});
      }
    }
    absl::Status s = store_.Rewrite(fresh);
    if (!s.ok()) {
      LogWarn("store_failed", {{"op", "create"}, {"error", s.message()}});
      return false;
    }
    st = std::move(fresh);
  }
  TimePoint now = clock_.Now();
  quarantine_.TakeReported(LoadCrashRecords(options_.data_dir, now));
  saved_quarantine_ = quarantine_.version();
  LogEvent("store_opened", {{"id", st->self.id},
                            {"term", st->term},
                            {"snapshot", st->snapshot.index},
                            {"entries", st->log.size()},
                            {"version", st->snapshot.version}});
  ReplicaOptions o;
  o.tolerate = options_.tolerate;
  Replica::Hooks h;
  h.send = [this](const Member& to, const ReplicaMessage& m) {
    SendToPeer(to, m);
  };
  h.on_config = [this](int64_t version, const Document& config) {
    LogEvent("config_committed",
             {{"version", version}, {"bytes", config->size()}});
    AnswerWatchers();
  };
  h.on_change = [this] { FollowLeader(); };
  replica_ = std::make_unique<Replica>(clock_, o, store_, *std::move(st),
                                       options_.seeds, h, RandomSeed());
  return true;
}

bool Control::IsLeader() const {
  return replica_ && replica_->role() == ReplicaRole::kLeader;
}

std::optional<Member> Control::Leader() const {
  if (replica_) return replica_->Leader();
  if (told_leader_.empty() || clock_.Now() - told_at_ > kToldLeaderTrust) {
    return std::nullopt;
  }
  return Member{"", told_leader_};
}

// One message with entries or a snapshot at a time goes to a member: while one
// is under way, the next goes without its load, as a heartbeat. What waits on a
// link is thus bounded, however slow it is; a link that takes nothing any more
// is dropped by its pings, which ends the call.
void Control::SendToPeer(const Member& to, const ReplicaMessage& m) {
  if (!links_.To(to.address).usable()) return;
  bool loaded = !m.entries.empty() || m.snapshot;
  if (loaded && !load_under_way_.insert(to.address).second) {
    ReplicaMessage light = m;
    light.entries.clear();
    light.snapshot.reset();
    SendToPeer(to, light);
    return;
  }
  links_.Post(
      to.address, kReplicaPath, Payload(EncodeMessage(m)),
      [this, loaded, address = to.address](int status,
                                           const std::string& body) {
        if (loaded) load_under_way_.erase(address);
        if (status != 200 || body.empty() || !replica_) return;
        absl::StatusOr<ReplicaMessage> reply = DecodeMessage(body);
        if (!reply.ok()) {
          LogWarn("bad_peer_message", {{"error", reply.status().message()}});
          return;
        }
        replica_->Handle(*reply);
      });
}

void Control::HandlePeer(const H2Request& req,
                         std::shared_ptr<H2Stream> stream) {
  if (req.path == kWatchPath) {
    HandleWatch(req, std::move(stream));
    return;
  }
  if (req.path == kHelloPath) {
    HandleHello(req, std::move(stream));
    return;
  }
  if (req.path == kReplicaPath) {
    HandleReplica(req, std::move(stream));
    return;
  }
  if (req.path == kSubmitPath) {
    absl::StatusOr<std::string> text = Unpack(req.body, kMaxLinkBodyBytes);
    absl::StatusOr<int64_t> version =
        text.ok() ? options_.validate(*text) : text.status();
    if (!version.ok()) {
      stream->Respond(400, {}, std::string(version.status().message()));
      return;
    }
    auto document = std::make_shared<const std::string>(req.body);
    SubmitHere(std::move(document), *version, [stream](absl::Status s) {
      stream->Respond(StatusOf(s), {}, std::string(s.message()));
    });
    return;
  }
  if (req.path == kConfirmPath) {
    ConfirmHere([stream](absl::StatusOr<int64_t> v) {
      stream->Respond(StatusOf(v.status()), {}, v.ok() ? absl::StrCat(*v) : "");
    });
    return;
  }
  if (req.path == kReadPath) {
    ReadHere([stream](absl::StatusOr<std::string> r) {
      stream->Respond(StatusOf(r.status()), {}, r.ok() ? *r : "");
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
  std::optional<ReplicaMessage> reply;
  if (replica_) {
    reply = replica_->Handle(*m);
  } else if (m->type == ReplicaMessage::Type::kJoin) {
    reply.emplace();
    reply->type = ReplicaMessage::Type::kJoinReply;
    for (const std::string& a : told_members_) {
      reply->members.push_back(Member{"", a});
    }
  }
  stream->Respond(200, {}, reply ? EncodeMessage(*reply) : "");
}

void Control::HandleHello(const H2Request& req,
                          std::shared_ptr<H2Stream> stream) {
  absl::StatusOr<std::vector<std::string>> members = DecodeHello(req.body);
  stream->Respond(members.ok() ? 200 : 400, {}, "");
  if (!members.ok() || replica_ || members->empty()) return;
  if (told_members_ != *members) {
    LogEvent("members_told", {{"members", members->size()}});
  }
  told_members_ = *std::move(members);
  std::vector<std::string> ask = options_.seeds;
  ask.insert(ask.end(), told_members_.begin(), told_members_.end());
  leader_watch_.set_seeds(std::move(ask));
}

ControlMetrics::Memory Control::MemoryNow() const {
  ControlMetrics::Memory m;
  if (replica_) {
    if (replica_->config()) m.config = replica_->config()->size();
    m.log = replica_->log_bytes();
    m.log_entries = replica_->log_entries();
  }
  m.peers = links_.queued_bytes();
  m.watchers = server_.queued_bytes();
  HeapUse heap = ReadHeapUse();
  m.heap = heap.in_use;
  m.heap_held = heap.held;
  return m;
}

// One line when what fills the memory has changed much: a process that ends
// for its memory leaves in them what filled it.
void Control::NoteMemory(TimePoint now) {
  if (now - memory_told_at_ < kMemoryTellInterval) return;
  size_t held = ReadHeapUse().held;
  size_t moved =
      held > memory_told_ ? held - memory_told_ : memory_told_ - held;
  if (moved < kMemoryStep) return;
  memory_told_ = held;
  memory_told_at_ = now;
  ControlMetrics::Memory m = MemoryNow();
  LogEvent("memory", {{"heap", m.heap},
                      {"held", m.heap_held},
                      {"config", m.config},
                      {"log", m.log},
                      {"entries", m.log_entries},
                      {"peers", m.peers},
                      {"watchers", m.watchers},
                      {"waiting", watchers_.size()}});
}

std::string Control::Metrics() {
  ControlMetrics::State s;
  s.memory = MemoryNow();
  TimePoint now = clock_.Now();
  s.leader = IsLeader();
  s.followers = followers_.size();
  if (replica_) {
    s.term = replica_->term();
    s.config_version = replica_->config_version();
    s.voters = replica_->members().size();
    Duration age = replica_->StepAge();
    if (age != Duration::max()) s.step_age_s = ToSeconds(age);
  }
  s.quarantined = quarantine_.refused();
  if (list_read_at_ != TimePoint{})
    s.list_age_s = ToSeconds(now - list_read_at_);
  metrics_.Set(s);
  return metrics_.Render();
}

// Tells seeds that are no members where the group is.
void Control::SayHello(TimePoint now) {
  if (!replica_ || now - hello_at_ < kHelloInterval) return;
  hello_at_ = now;
  std::vector<std::string> members;
  for (const Member& m : replica_->members()) members.push_back(m.address);
  if (members.empty()) return;
  for (const std::string& seed : options_.seeds) {
    if (seed == options_.peer.ToString() ||
        std::find(members.begin(), members.end(), seed) != members.end()) {
      continue;
    }
    if (!links_.To(seed).usable()) continue;
    links_.Post(seed, kHelloPath, Payload(EncodeHello(members)), nullptr);
  }
}

void Control::FollowLeader() {
  std::optional<Member> l = Leader();
  bool follow = l && !IsLeader();
  leader_watch_.Pause(!follow);
  if (follow) leader_watch_.Pin(l->address);
}

void Control::OnTick(struct ev_loop*, ev_timer* w, int) {
  static_cast<Control*>(w->data)->Tick();
}

void Control::Tick() {
  TimePoint now = clock_.Now();
  if (!replica_ && keeps_state() && now - store_tried_at_ > kStoreRetry) {
    OpenStore();
  }
  if (replica_) replica_->Tick();
  SayHello(now);
  for (auto it = followers_.begin(); it != followers_.end();) {
    it = now - it->second.seen > kFollowerGone ? followers_.erase(it)
                                               : std::next(it);
  }
  leader_watch_.state().watchers = DirectServing();
  quarantine_.Tick(now);
  SaveQuarantine(now);
  limits_.Keep(
      [this](const std::string& id) {
        return list_.list().Find(id) != nullptr;
      },
      now);
  usage_.Tick();
  if (reports_.urgent()) leader_watch_.AskAgain();
  ConfirmForNew();
  AnswerWatchers();
  PollList(now);
  ServeWaiting(now);
  NoteMemory(now);
}

void Control::PollList(TimePoint now) {
  lister_.Tick();
  if (lister_.busy() || !replica_) return;
  bool lone = !IsLeader() && replica_->LeaderAge() > kLeaderlessAfter;
  if (!IsLeader() && !lone) return;
  list_interval_ = ListInterval(lister_.length(), options_.list.calls_per_s);
  if (lone) {
    list_interval_ = BoundedSeconds(ToSeconds(list_interval_) / kLoneListShare);
  }
  if (now - polled_at_ < list_interval_) return;
  polled_at_ = now;
  lister_.Read([this, now](absl::StatusOr<std::vector<UpstreamInfo>> r) {
    if (!r.ok()) {
      if (!list_lost_) {
        LogWarn("list_lost", {{"error", r.status().message()}});
      }
      list_lost_ = true;
      return;
    }
    if (list_lost_) LogEvent("list_regained", {});
    list_lost_ = false;
    list_read_at_ = now;
    int64_t before = list_.version();
    if (!list_.Replace(*std::move(r))) return;
    LogEvent("list_changed", {{"version", list_.version()},
                              {"from", before},
                              {"upstreams", list_.list().size()}});
    leader_watch_.state().list_version = list_.version();
    AnswerWatchers();
  });
}

}  // namespace medlarwalk
