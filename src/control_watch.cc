// The control process's part that tells its followers what is new.
#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "control.h"
#include "log.h"

namespace medlarwalk {
namespace {

// A watch with nothing new is answered after this, which also tells the
// asker that this process is still there and in step.
constexpr auto kWatchHold = Millis(400);

}  // namespace

int Control::DirectServing() const {
  int n = 0;
  for (const auto& [name, f] : followers_) n += f.serves_callers;
  return n;
}

int Control::TotalServing() const {
  if (!IsLeader()) return std::max(serving_from_leader_, DirectServing());
  int n = DirectServing();
  for (const auto& [name, f] : followers_) n += f.watchers;
  return n;
}

// Counted through: at the leader first those who follow it in person, then
// those of each follower in turn; elsewhere from what the leader has told.
int Control::PlaceOf(const std::string& follower) const {
  int place = IsLeader() ? 0 : place_from_leader_;
  // Forgotten while its watch is open: this process stood still.
  auto asker = followers_.find(follower);
  if (place < 0 || asker == followers_.end()) return -1;
  bool serves = asker->second.serves_callers;
  if (!serves) place += DirectServing();
  for (const auto& [name, f] : followers_) {
    if (name == follower) break;
    if (serves) {
      place += f.serves_callers;
    } else {
      place += f.watchers;
    }
  }
  return place;
}

std::string Control::DataCentreOf(const std::string& address) const {
  if (address == options_.peer.ToString()) return options_.data_centre;
  for (const auto& [name, f] : followers_) {
    if (f.address == address) return f.data_centre;
  }
  auto it = data_centres_.find(address);
  return it == data_centres_.end() ? "" : it->second;
}

// The control processes, each with its data centre as far as it is known: those
// who follow here in person, the others as the leader told.
std::vector<ControlPlace> Control::Places() const {
  std::vector<std::string> addresses = told_members_;
  if (replica_) {
    addresses.clear();
    for (const Member& m : replica_->members()) addresses.push_back(m.address);
  }
  std::vector<ControlPlace> out;
  for (std::string& a : addresses) {
    std::string data_centre = DataCentreOf(a);
    out.push_back({std::move(a), std::move(data_centre)});
  }
  return out;
}

void Control::OnLeaderReply(const WatchReply& r, bool in_step) {
  if (r.quarantine) TakeCrashes(*r.quarantine, true);
  if (r.limits) TakeLimits(*r.limits, true);
  if (!in_step || IsLeader()) return;
  serving_from_leader_ = r.serving;
  place_from_leader_ = r.place;
  told_leader_ = r.leader;
  told_at_ = clock_.Now();
  usage_.TakeTold(r);
  if (!r.control.empty()) data_centres_.clear();
  for (const ControlPlace& p : r.control) {
    data_centres_[p.address] = p.data_centre;
  }
  if (r.list_age_ms >= 0) {
    list_read_at_ = clock_.Now() - Millis(r.list_age_ms);
    list_interval_ = Millis(r.list_interval_ms);
  }
  quarantine_known_ = true;
  if (r.list) TakeListFrom(r);
}

void Control::TakeListFrom(const WatchReply& r) {
  absl::StatusOr<ListChange> c = DecodeListChange(*r.list);
  bool fits = c.ok() && list_.Apply(*c);
  if (!fits) {
    LogWarn("list_unfit", {{"held", list_.version()},
                           {"from", c.ok() ? c->from : -1},
                           {"to", c.ok() ? c->to : -1}});
  }
  // What does not fit is asked for as a whole.
  leader_watch_.state().list_version = fits ? list_.version() : 0;
  if (fits) AnswerWatchers();
}

WatchReply Control::MakeReply(const WatchRequest& r) {
  WatchReply w;
  TimePoint now = clock_.Now();
  if (replica_) {
    Duration age = replica_->StepAge();
    w.age_ms = age == Duration::max() ? -1 : ToMs(age);
    w.config_version = replica_->config_version();
    if (w.config_version > r.config_version) w.config = replica_->config();
    if (std::optional<Member> l = replica_->Leader()) w.leader = l->address;
  }
  std::vector<ControlPlace> places = Places();
  if (PlacesVersion(places) != r.places_version) w.control = std::move(places);
  if (list_.version() != 0 && list_.version() != r.list_version) {
    w.list = list_.EncodedSince(r.list_version);
  }
  if (list_read_at_ != TimePoint{}) w.list_age_ms = ToMs(now - list_read_at_);
  w.list_interval_ms = ToMs(list_interval_);
  w.serving = TotalServing();
  w.place = PlaceOf(r.name);
  usage_.Fill(&w);
  w.quarantine_version = quarantine_.version();
  if (w.quarantine_version != r.quarantine_version) {
    w.quarantine = std::make_shared<const std::string>(
        EncodeCrashRecords(quarantine_.Shared(), now));
  }
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
  f.seen = clock_.Now();
  f.data_centre = r->data_centre;
  f.address = r->address;
  f.serves_callers = r->serves_callers;
  f.watchers = r->watchers;
  TimePoint now = clock_.Now();
  bool reported = !r->crashes.empty() || !r->limits.empty();
  if (!r->crashes.empty()) TakeCrashes(r->crashes, false);
  r->crashes.clear();
  if (!r->limits.empty()) TakeLimits(r->limits, false);
  r->limits.clear();
  usage_.TakeReport(*r);
  r->usage.clear();
  watchers_.push_back(Watcher{*std::move(r), reported, std::move(stream), now,
                              now + kWatchHold});
  ConfirmForNew();
  AnswerWatchers();
}

// Whether what this process holds may be told to `w`. One that holds nothing
// yet would obey the first configuration it is told, for as long as it takes
// to hear of a newer one: it is told only what the leader has confirmed since
// it asked.
bool Control::MayTell(const Watcher& w) const {
  if (w.request.config_version > 0) return true;
  return quarantine_known_ && confirmed_from_ >= w.since && replica_ &&
         replica_->config_version() >= confirmed_version_;
}

// Answers each watch that has something new, or whose time is up; all of them
// when this process is not in step, so that their askers turn elsewhere.
void Control::AnswerWatchers() {
  TimePoint now = clock_.Now();
  bool lost = !replica_ || replica_->StepAge() > kLeaderlessAfter;
  std::vector<Watcher> keep;
  std::vector<Watcher> due = std::move(watchers_);
  watchers_.clear();
  for (Watcher& w : due) {
    if (w.stream->closed()) continue;
    bool told = MayTell(w);
    bool fresh =
        told &&
        ((replica_ && replica_->config_version() > w.request.config_version) ||
         (list_.version() && list_.version() != w.request.list_version) ||
         quarantine_.version() != w.request.quarantine_version ||
         limits_.version() != w.request.limits_version);
    // Whoever reports waits to hear that it has arrived.
    bool heard = told && w.reported;
    if (!fresh && !heard && !lost && now < w.until) {
      keep.push_back(std::move(w));
      continue;
    }
    WatchReply reply = MakeReply(w.request);
    if (!told) {
      reply.age_ms = -1;
      reply.config = nullptr;
    }
    if (reply.list) {
      bool known = list_.Knows(w.request.list_version);
      metrics_.CountListTold(known ? "difference" : "whole",
                             reply.list->size());
    }
    metrics_.CountWatch(reply.config ? "config"
                        : reply.list ? "list"
                                     : "nothing");
    w.stream->Respond(200, {}, EncodeWatchReply(reply));
  }
  // Answering may have let new watches in.
  for (Watcher& w : keep) watchers_.push_back(std::move(w));
}

// Has the leader confirm the newest version while anyone who holds nothing yet
// waits for it; one question for all of them.
void Control::ConfirmForNew() {
  if (confirming_ || !replica_) return;
  bool needed =
      std::any_of(watchers_.begin(), watchers_.end(), [&](const Watcher& w) {
        return w.request.config_version == 0 && confirmed_from_ < w.since;
      });
  if (!needed) return;
  confirming_ = true;
  TimePoint from = clock_.Now();
  ConfirmAnywhere(from + kLeaderWait, [this, from](absl::StatusOr<int64_t> v) {
    confirming_ = false;
    if (!v.ok()) return;
    confirmed_from_ = from;
    confirmed_version_ = *v;
    AnswerWatchers();
  });
}

void Control::ConfirmHere(ConfirmDone done) {
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

void Control::ConfirmAnywhere(TimePoint until, ConfirmDone done) {
  AtLeader(
      kConfirmPath, until, [this, done] { ConfirmHere(done); },
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
