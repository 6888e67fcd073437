// Watches in the control process: publishes new configurations, lists, crash
// records and limits to the followers.
#include <algorithm>
#include <tuple>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "control.h"
#include "log.h"

namespace medlarwalk {
namespace {

// A watch is answered after this time even if nothing is new. The answer shows
// the follower that this process is alive and in sync with the leader.
constexpr auto kWatchHoldTime = Millis(400);
// Time for which a confirmation of the newest version holds, from the request.
// A change must be in force within two seconds of its acknowledgment.
constexpr auto kConfirmationTtl = Millis(1500);
// Time for which a follower without a configuration stays while the newest
// version is being confirmed. A confirmation takes several disk writes of
// several hosts, and another control process would begin anew.
constexpr auto kMaxConfirmationWait = std::chrono::seconds(3);

}  // namespace

int Control::DirectServingCount() const {
  int n = 0;
  for (const auto& [name, f] : followers_) n += f.serves_callers;
  return n;
}

int Control::TotalServingCount() const {
  if (!IsLeader()) return std::max(leader_serving_count_, DirectServingCount());
  int n = DirectServingCount();
  for (const auto& [name, f] : followers_) n += f.serving_followers;
  return n;
}

std::vector<Endpoint> Control::DirectServingEndpoints() const {
  std::vector<Endpoint> out;
  for (const auto& [name, f] : followers_) {
    if (!f.serves_callers) continue;
    out.insert(out.end(), f.serving_endpoints.begin(),
               f.serving_endpoints.end());
  }
  return out;
}

std::vector<Endpoint> Control::ServingEndpoints() const {
  std::vector<Endpoint> out;
  if (!IsLeader()) out = leader_serving_endpoints_;
  for (const auto& [name, f] : followers_) {
    out.insert(out.end(), f.serving_endpoints.begin(),
               f.serving_endpoints.end());
  }
  auto key = [](const Endpoint& e) { return std::tie(e.ip, e.port); };
  std::sort(out.begin(), out.end(), [&](const Endpoint& a, const Endpoint& b) {
    return key(a) < key(b);
  });
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

// Returns the index of `follower` among all serving processes; -1 if unknown.
// For a control process, this is the index of the first serving process that
// follows it. The leader numbers its direct serving followers first, then those
// of each control process that follows it. Any other process numbers its
// followers from the index that the leader assigned to it.
int Control::ServingIndexOf(const std::string& follower) const {
  int index = IsLeader() ? 0 : leader_serving_index_;
  // The follower may be missing from `followers_` although its watch is open:
  // it timed out while this process was stalled.
  auto record = followers_.find(follower);
  if (index < 0 || record == followers_.end()) return -1;
  bool serves = record->second.serves_callers;
  if (!serves) index += DirectServingCount();
  for (const auto& [name, f] : followers_) {
    if (name == follower) break;
    if (serves) {
      index += f.serves_callers;
    } else {
      index += f.serving_followers;
    }
  }
  return index;
}

std::string Control::DataCentreOf(const std::string& address) const {
  if (address == options_.peer.ToString()) return options_.data_centre;
  for (const auto& [name, f] : followers_) {
    if (f.address == address) return f.data_centre;
  }
  auto it = data_centre_by_address_.find(address);
  return it == data_centre_by_address_.end() ? "" : it->second;
}

// Returns the control processes, each with its data centre if known. The data
// centre of a follower is taken from its watch request, that of another process
// from the leader's watch answer.
std::vector<ControlEndpoint> Control::ControlEndpoints() const {
  std::vector<std::string> addresses = announced_members_;
  if (replica_) {
    addresses.clear();
    for (const Member& m : replica_->members()) addresses.push_back(m.address);
  }
  std::vector<ControlEndpoint> out;
  for (std::string& a : addresses) {
    std::string data_centre = DataCentreOf(a);
    out.push_back({std::move(a), std::move(data_centre)});
  }
  return out;
}

std::vector<std::string> Control::OtherControls() const {
  std::vector<std::string> out;
  for (ControlEndpoint& e : ControlEndpoints()) {
    if (e.address != options_.peer.ToString())
      out.push_back(std::move(e.address));
  }
  return out;
}

void Control::OnLeaderReply(const WatchReply& r, bool in_sync) {
  if (r.quarantine) MergeCrashRecords(*r.quarantine, true);
  if (r.limits) MergeLimitRecords(*r.limits, true);
  if (!in_sync || IsLeader()) return;
  if (r.serving) {
    leader_serving_endpoints_ = *r.serving;
    leader_watch_.next_request().serving_version = ServingVersion(*r.serving);
  }
  leader_serving_count_ = r.serving_count;
  leader_serving_index_ = r.serving_index;
  announced_leader_ = r.leader;
  leader_announced_at_ = clock_.Now();
  usage_.MergePublished(r);
  if (!r.control.empty()) data_centre_by_address_.clear();
  for (const ControlEndpoint& p : r.control) {
    data_centre_by_address_[p.address] = p.data_centre;
  }
  if (r.list_age_ms >= 0) {
    list_read_at_ = clock_.Now() - Millis(r.list_age_ms);
    list_interval_ = Millis(r.list_interval_ms);
    list_pages_ = r.list_pages;
    list_unread_ = r.list_unread;
    list_rest_unread_ = r.list_rest_unread;
    metrics_.SetListUnread(list_unread_, list_rest_unread_);
  }
  quarantine_complete_ = true;
  if (r.builds) builds_.Merge(*r.builds, clock_.Now());
  builds_complete_ |= r.builds_version != 0;
  leader_watch_.next_request().builds_version = r.builds_version;
  if (r.list) ApplyListChange(r);
}

void Control::ApplyListChange(const WatchReply& r) {
  absl::StatusOr<ListChange> c = DecodeListChange(*r.list);
  bool applied = c.ok() && list_history_.Apply(*c);
  if (!applied) {
    LogWarn("list_unfit", {{"held", list_history_.version()},
                           {"from", c.ok() ? c->from : -1},
                           {"to", c.ok() ? c->to : -1}});
  }
  // If the change does not apply to the list held here, version 0 in the next
  // watch requests the complete list.
  leader_watch_.next_request().list_version =
      applied ? list_history_.version() : 0;
  if (!applied) return;
  RecordBuilds(clock_.Now());
  AnswerWatches();
}

WatchReply Control::MakeWatchReply(const WatchRequest& r) {
  WatchReply w;
  TimePoint now = clock_.Now();
  if (replica_) {
    Duration age = replica_->TimeSinceInSync();
    w.sync_age_ms = age == Duration::max() ? -1 : ToMs(age);
    w.config_version = replica_->config_version();
    if (w.config_version > r.config_version) w.config = replica_->config();
    if (std::optional<Member> l = replica_->Leader()) w.leader = l->address;
  }
  std::vector<ControlEndpoint> endpoints = ControlEndpoints();
  if (EndpointsVersion(endpoints) != r.endpoints_version)
    w.control = std::move(endpoints);
  if (list_history_.version() != 0 &&
      list_history_.version() != r.list_version) {
    w.list = list_history_.EncodedChangeSince(r.list_version);
  }
  if (list_read_at_ != TimePoint{}) w.list_age_ms = ToMs(now - list_read_at_);
  w.list_interval_ms = ToMs(list_interval_);
  w.list_pages = list_pages_;
  w.list_unread = list_unread_;
  w.list_rest_unread = list_rest_unread_;
  w.serving_count = TotalServingCount();
  w.serving_index = ServingIndexOf(r.name);
  std::vector<Endpoint> serving = ServingEndpoints();
  if (ServingVersion(serving) != r.serving_version)
    w.serving = std::move(serving);
  usage_.FillReply(r.name, &w);
  w.quarantine_version = quarantine_.version();
  if (w.quarantine_version != r.quarantine_version) {
    w.quarantine = std::make_shared<const std::string>(
        EncodeCrashRecords(quarantine_.RecordsToPublish(), now));
  }
  if (BuildsKnown(now)) w.builds_version = builds_.version();
  if (w.builds_version != 0 && w.builds_version != r.builds_version)
    w.builds = builds_.Records(now);
  w.limits_version = limits_.version();
  if (w.limits_version != r.limits_version) {
    w.limits = std::make_shared<const std::string>(
        EncodeLimitRecords(limits_.All(), now));
  }
  return w;
}

void Control::HandleWatch(const H2Request& req,
                          std::shared_ptr<H2Stream> stream) {
  absl::StatusOr<WatchRequest> r = DecodeWatchRequest(req.body);
  if (!r.ok()) {
    LogWarn("bad_watch", {{"error", r.status().message()}});
    stream->Respond(400, {}, "");
    return;
  }
  Follower& f = followers_[r->name];
  f.last_seen = clock_.Now();
  f.data_centre = r->data_centre;
  f.address = r->address;
  f.serves_callers = r->serves_callers;
  f.serving_followers = r->serving_followers;
  f.serving_endpoints = std::move(r->serving_endpoints);
  TimePoint now = clock_.Now();
  if (r->config_version > 0) {
    f.unconfigured_since = kNever;
  } else if (f.unconfigured_since == kNever) {
    f.unconfigured_since = now;
  }
  TimePoint unconfigured_since = f.unconfigured_since;
  TimePoint follower_started = now - Millis(r->running_ms);
  bool has_reports = !r->crashes.empty() || !r->limits.empty();
  if (!r->crashes.empty()) MergeCrashRecords(r->crashes, false);
  r->crashes.clear();
  if (!r->limits.empty()) MergeLimitRecords(r->limits, false);
  r->limits.clear();
  usage_.MergeFollowerReport(*r);
  r->usage.clear();
  r->usage_states.clear();
  pending_watches_.push_back(
      PendingWatch{*std::move(r), has_reports, std::move(stream),
                   follower_started, unconfigured_since, now + kWatchHoldTime});
  ConfirmVersionForNewWatches();
  AnswerWatches();
}

// Returns whether the leader has confirmed, lately and after the follower
// started, which version is the newest committed one.
bool Control::VersionConfirmedFor(const PendingWatch& w, TimePoint now) const {
  return confirm_requested_at_ >= w.follower_started &&
         now - confirm_requested_at_ <= kConfirmationTtl;
}

// Returns whether this process may send its configuration to `w`. A follower
// that already has a configuration may always receive it. One without may
// receive only the version that was the newest when it started, or a newer one:
// it could otherwise apply a stale one and keep it until a newer one arrives. A
// follower without a configuration also receives none while this process may
// lack crash records.
bool Control::MayPublishTo(const PendingWatch& w, TimePoint now) const {
  if (w.request.config_version > 0) return true;
  return quarantine_complete_ && VersionConfirmedFor(w, now) && replica_ &&
         replica_->config_version() >= confirmed_version_;
}

// Returns whether `w` must be answered for the versions of upstreams. Followers
// of earlier releases state no version and would be answered without a pause.
bool Control::HasNewBuildsFor(const PendingWatch& w, TimePoint now) const {
  return w.request.builds_version != 0 && BuildsKnown(now) &&
         builds_.version() != w.request.builds_version;
}

// Answers each watch for which there is news or whose deadline has passed. If
// this process is out of sync with the leader, answers all watches, so that the
// followers switch to another control process.
void Control::AnswerWatches() {
  TimePoint now = clock_.Now();
  bool out_of_sync =
      !replica_ || replica_->TimeSinceInSync() > kLeaderlessTimeout;
  std::vector<PendingWatch> keep;
  std::vector<PendingWatch> watches = std::move(pending_watches_);
  pending_watches_.clear();
  for (PendingWatch& w : watches) {
    if (w.stream->closed()) continue;
    bool may_publish = MayPublishTo(w, now);
    bool has_news =
        may_publish &&
        ((replica_ && replica_->config_version() > w.request.config_version) ||
         (list_history_.version() &&
          list_history_.version() != w.request.list_version) ||
         quarantine_.version() != w.request.quarantine_version ||
         HasNewBuildsFor(w, now) ||
         limits_.version() != w.request.limits_version);
    // A follower that sent reports waits for their acknowledgment, so its watch
    // is answered even if there is no news.
    bool must_acknowledge = may_publish && w.has_reports;
    if (!has_news && !must_acknowledge && !out_of_sync && now < w.deadline) {
      keep.push_back(std::move(w));
      continue;
    }
    WatchReply reply = MakeWatchReply(w.request);
    if (!may_publish) {
      reply.config = nullptr;
      bool confirming = !out_of_sync && quarantine_complete_ &&
                        now - w.unconfigured_since < kMaxConfirmationWait;
      if (!confirming) {
        reply.sync_age_ms = -1;
        auto f = followers_.find(w.request.name);
        if (f != followers_.end()) f->second.unconfigured_since = kNever;
      }
    }
    if (reply.list) {
      bool version_known =
          list_history_.HasChangesSince(w.request.list_version);
      metrics_.CountPublishedList(version_known ? "difference" : "whole",
                                  reply.list->size());
    }
    metrics_.CountAnsweredWatch(reply.config ? "config"
                                : reply.list ? "list"
                                             : "nothing");
    w.stream->Respond(200, {}, EncodeWatchReply(reply));
  }
  // Appends the remaining watches instead of assigning them, because sending
  // the answers may have added new watches to `pending_watches_`.
  for (PendingWatch& w : keep) pending_watches_.push_back(std::move(w));
}

// Asks the leader to confirm the newest configuration version if a follower
// without a configuration waits for the confirmation. One request serves all
// such followers.
void Control::ConfirmVersionForNewWatches() {
  if (confirming_version_ || !replica_) return;
  TimePoint requested_at = clock_.Now();
  bool needed = std::any_of(pending_watches_.begin(), pending_watches_.end(),
                            [&](const PendingWatch& w) {
                              return w.request.config_version == 0 &&
                                     !VersionConfirmedFor(w, requested_at);
                            });
  if (!needed) return;
  confirming_version_ = true;
  ConfirmVersionAtLeader(requested_at + kLeaderWait,
                         [this, requested_at](absl::StatusOr<int64_t> v) {
                           confirming_version_ = false;
                           if (!v.ok()) return;
                           confirm_requested_at_ = requested_at;
                           confirmed_version_ = *v;
                           AnswerWatches();
                         });
}

void Control::ConfirmVersionLocally(ConfirmDone done) {
  if (!replica_) {
    done(absl::UnavailableError("no store"));
    return;
  }
  replica_->ReadBarrier([this, done = std::move(done)](const absl::Status& s) {
    if (s.ok()) {
      done(replica_->config_version());
    } else {
      done(s);
    }
  });
}

void Control::ConfirmVersionAtLeader(TimePoint deadline, ConfirmDone done) {
  CallLeader(
      kConfirmPath, deadline,
      [this](ReadDone d) {
        ConfirmVersionLocally([d](const absl::StatusOr<int64_t>& v) {
          d(v.ok() ? absl::StatusOr<std::string>(absl::StrCat(*v))
                   : v.status());
        });
      },
      [done](const absl::StatusOr<std::string>& r) {
        int64_t version;
        if (r.ok() && absl::SimpleAtoi(*r, &version)) {
          done(version);
        } else {
          done(r.ok() ? absl::UnavailableError("leader's answer unreadable")
                      : r.status());
        }
      });
}

}  // namespace medlarwalk
