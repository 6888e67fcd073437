// The control process's part that takes operators' calls, and passes them on to
// the leader where it is none.
#include "absl/strings/str_cat.h"
#include "control.h"
#include "log.h"
#include "packed.h"

namespace medlarwalk {
namespace {

absl::string_view OutcomeOf(const absl::Status& s) {
  if (s.ok()) return "ok";
  return absl::IsInvalidArgument(s) ? "invalid" : "unavailable";
}

}  // namespace

// Calls that waited for a leader.
void Control::ServeWaiting(TimePoint now) {
  std::vector<Waiting> due = std::move(waiting_);
  waiting_.clear();
  bool known = Leader().has_value();
  for (Waiting& w : due) {
    if (known) {
      w.retry();
    } else if (now >= w.until) {
      w.give_up();
    } else {
      waiting_.push_back(std::move(w));
    }
  }
}

// Calls `retry` once a leader is known, or `give_up` at `until`.
void Control::AwaitLeader(TimePoint until, std::function<void()> retry,
                          std::function<void()> give_up) {
  if (clock_.Now() >= until) {
    give_up();
    return;
  }
  waiting_.push_back(Waiting{std::move(retry), std::move(give_up), until});
}

void Control::SubmitHere(Document document, int64_t version, SubmitDone done) {
  if (!replica_) {
    done(absl::UnavailableError("no store"));
    return;
  }
  // What is committed is durable, so a version that is not higher needs
  // nothing more, whoever leads now.
  if (version <= replica_->config_version()) {
    done(absl::OkStatus());
    return;
  }
  replica_->Propose(version, std::move(document), std::move(done));
}

void Control::Submit(std::string document, SubmitDone done) {
  absl::StatusOr<int64_t> version = options_.validate(document);
  if (!version.ok()) {
    LogEvent("config_refused", {{"why", version.status().message()}});
    metrics_.ObserveCall("submit", OutcomeOf(version.status()), 0);
    done(version.status());
    return;
  }
  int64_t v = *version;
  size_t bytes = document.size();
  TimePoint from = clock_.Now();
  SubmitAnywhere(
      Pack(document), v, from + kLeaderWait,
      [this, v, from, bytes, done = std::move(done)](absl::Status s) {
        LogEvent("config_submitted",
                 {{"version", v},
                  {"bytes", bytes},
                  {"ms", ToMs(clock_.Now() - from)},
                  {"outcome", s.ok() ? "ok" : s.message()}});
        metrics_.ObserveCall("submit", OutcomeOf(s),
                             ToSeconds(clock_.Now() - from));
        done(s);
      });
}

void Control::SubmitAnywhere(Document document, int64_t version,
                             TimePoint until, SubmitDone done) {
  if (replica_ && (IsLeader() || version <= replica_->config_version())) {
    SubmitHere(std::move(document), version, std::move(done));
    return;
  }
  if (!Leader()) {
    AwaitLeader(
        until,
        [this, document, version, until, done] {
          SubmitAnywhere(document, version, until, done);
        },
        [done] { done(absl::UnavailableError("no leader")); });
    return;
  }
  forwards_.Offer(version, std::move(document), std::move(done));
}

void Control::Forward(Document document, SubmitDone done) {
  std::optional<Member> leader = Leader();
  if (!leader) {
    done(absl::UnavailableError("no leader"));
    return;
  }
  links_.Post(
      leader->address, kSubmitPath, Payload("", std::move(document)),
      [done](int status, const std::string& body) {
        if (status == 200) {
          done(absl::OkStatus());
        } else if (status == 400) {
          done(absl::InvalidArgumentError(body));
        } else {
          done(absl::UnavailableError(body.empty() ? "leader lost" : body));
        }
      });
}

void Control::ReadHere(ReadDone done) {
  if (!replica_) {
    done(absl::UnavailableError("no store"));
    return;
  }
  replica_->ReadBarrier([this, done = std::move(done)](absl::Status s) {
    if (!s.ok()) {
      done(s);
    } else if (!replica_->config()) {
      done(absl::UnavailableError("no configuration yet"));
    } else {
      done(*replica_->config());
    }
  });
}

void Control::Read(ReadDone done) {
  TimePoint from = clock_.Now();
  ReadAnywhere(from + kLeaderWait, [this, from, done = std::move(done)](
                                       const absl::StatusOr<std::string>& r) {
    metrics_.ObserveCall("read", OutcomeOf(r.status()),
                         ToSeconds(clock_.Now() - from));
    done(r.ok() ? Unpack(*r, kMaxLinkBodyBytes) : r);
  });
}

void Control::ReadAnywhere(TimePoint until, ReadDone done) {
  AtLeader(
      kReadPath, until, [this, done] { ReadHere(done); }, done);
}

// Runs `here` if this process leads, else asks the leader, once one is known.
void Control::AtLeader(const char* path, TimePoint until,
                       std::function<void()> here, ReadDone done) {
  if (IsLeader()) {
    here();
    return;
  }
  if (!Leader()) {
    AwaitLeader(
        until,
        [this, path, until, here, done] { AtLeader(path, until, here, done); },
        [done] { done(absl::UnavailableError("no leader")); });
    return;
  }
  links_.Post(Leader()->address, path, Payload(),
              [done](int status, const std::string& body) {
                if (status == 200) {
                  done(body);
                } else {
                  done(absl::UnavailableError("leader cannot tell"));
                }
              });
}

}  // namespace medlarwalk
