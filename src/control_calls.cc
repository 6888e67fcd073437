// Operators' calls to the control process. A process that is not the leader
// forwards them to the leader.
#include "absl/strings/str_cat.h"
#include "control.h"
#include "log.h"
#include "packed.h"

namespace medlarwalk {
namespace {

absl::string_view CallOutcome(const absl::Status& s) {
  if (s.ok()) return "ok";
  return absl::IsInvalidArgument(s) ? "invalid" : "unavailable";
}

}  // namespace

// Retries the calls that waited for a leader, if one is known by now. Fails
// those past their deadline.
void Control::RetryWaitingCalls(TimePoint now) {
  std::vector<WaitingCall> calls = std::move(waiting_calls_);
  waiting_calls_.clear();
  bool leader_known = IsLeader() || Leader().has_value();
  for (WaitingCall& w : calls) {
    if (leader_known) {
      w.retry();
    } else if (now >= w.deadline) {
      w.give_up();
    } else {
      waiting_calls_.push_back(std::move(w));
    }
  }
}

// Calls `retry` once a leader is known, or `give_up` at `deadline`.
void Control::QueueUntilLeaderKnown(TimePoint deadline,
                                    std::function<void()> retry,
                                    std::function<void()> give_up) {
  if (clock_.Now() >= deadline) {
    give_up();
    return;
  }
  waiting_calls_.push_back(
      WaitingCall{std::move(retry), std::move(give_up), deadline});
}

void Control::SubmitLocally(Document document, int64_t version,
                            SubmitDone done) {
  if (!replica_) {
    done(absl::UnavailableError("no store"));
    return;
  }
  // A submission of the committed version or a lower one succeeds without the
  // leader, because the committed configuration is durable.
  if (version <= replica_->config_version()) {
    done(absl::OkStatus());
    return;
  }
  replica_->Propose(version, std::move(document), std::move(done));
}

void Control::SubmitConfig(std::string document, SubmitDone done) {
  absl::StatusOr<int64_t> version = options_.validate(document);
  if (!version.ok()) {
    LogEvent("config_refused", {{"why", version.status().message()}});
    metrics_.ObserveCall("submit", CallOutcome(version.status()), 0);
    done(version.status());
    return;
  }
  int64_t version_number = *version;
  size_t bytes = document.size();
  TimePoint start = clock_.Now();
  SubmitOrForward(CompressDocument(document), version_number,
                  start + kLeaderWait,
                  [this, version_number, start, bytes,
                   done = std::move(done)](absl::Status s) {
                    LogEvent("config_submitted",
                             {{"version", version_number},
                              {"bytes", bytes},
                              {"ms", ToMs(clock_.Now() - start)},
                              {"outcome", s.ok() ? "ok" : s.message()}});
                    metrics_.ObserveCall("submit", CallOutcome(s),
                                         ToSeconds(clock_.Now() - start));
                    done(s);
                  });
}

// Submits the document at the leader, here or there, and calls `done` with the
// result. If the leader is lost before it answers, the same version is
// submitted again until `deadline`: committed twice, it takes effect once.
void Control::SubmitOrForward(Document document, int64_t version,
                              TimePoint deadline, SubmitDone done) {
  SubmitDone finish = [this, document, version, deadline,
                       done](absl::Status s) {
    if (!absl::IsUnavailable(s)) {
      done(std::move(s));
      return;
    }
    QueueUntilLeaderKnown(
        deadline,
        [this, document, version, deadline, done] {
          SubmitOrForward(document, version, deadline, done);
        },
        [done, s] { done(s); });
  };
  if (replica_ && (IsLeader() || version <= replica_->config_version())) {
    SubmitLocally(std::move(document), version, std::move(finish));
    return;
  }
  if (!Leader()) {
    finish(absl::UnavailableError("no leader"));
    return;
  }
  forwarded_changes_.SendOrHold(version, std::move(document),
                                std::move(finish));
}

void Control::ForwardToLeader(Document document, SubmitDone done) {
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

void Control::ReadLocally(ReadDone done) {
  if (!replica_) {
    done(absl::UnavailableError("no store"));
    return;
  }
  replica_->ReadBarrier([this, done = std::move(done)](absl::Status s) {
    if (!s.ok()) {
      done(s);
    } else if (!replica_->config()) {
      done(absl::NotFoundError("no configuration yet"));
    } else {
      done(*replica_->config());
    }
  });
}

void Control::ReadConfig(ReadDone done) {
  TimePoint start = clock_.Now();
  ReadFromLeader(start + kLeaderWait,
                 [this, start, done = std::move(done)](
                     const absl::StatusOr<std::string>& r) {
                   metrics_.ObserveCall("read", CallOutcome(r.status()),
                                        ToSeconds(clock_.Now() - start));
                   done(r.ok() ? DecompressDocument(*r, kMaxLinkBodyBytes) : r);
                 });
}

void Control::ReadFromLeader(TimePoint deadline, ReadDone done) {
  CallLeader(
      kReadPath, deadline, [this](ReadDone d) { ReadLocally(std::move(d)); },
      done);
}

// Calls `run_locally` if this process is the leader. Otherwise posts to `path`
// at the leader, once a leader is known. Passes the answer to `done`. A call
// that ends with the leader to which it was sent is made again until
// `deadline`; it must have no effect.
void Control::CallLeader(const char* path, TimePoint deadline,
                         LocalCall run_locally, ReadDone done) {
  ReadDone finish = [this, path, deadline, run_locally,
                     done](absl::StatusOr<std::string> r) {
    if (!absl::IsUnavailable(r.status())) {
      done(std::move(r));
      return;
    }
    QueueUntilLeaderKnown(
        deadline,
        [this, path, deadline, run_locally, done] {
          CallLeader(path, deadline, run_locally, done);
        },
        [done, r] { done(r); });
  };
  if (IsLeader()) {
    run_locally(finish);
    return;
  }
  std::optional<Member> leader = Leader();
  if (!leader) {
    finish(absl::UnavailableError("no leader"));
    return;
  }
  links_.Post(leader->address, path, Payload(),
              [finish](int status, const std::string& body) {
                if (status == 200) {
                  finish(body);
                } else if (status == kNoConfigurationStatus) {
                  finish(absl::NotFoundError("no configuration yet"));
                } else {
                  finish(absl::UnavailableError("leader cannot tell"));
                }
              });
}

}  // namespace medlarwalk
