// The one closed list of error kinds and the table from kind to the answer a
// caller gets. Every refusal, give-up and failure in medlarwalk is one of
// these kinds; absl::Status carries it between functions.
#ifndef MEDLARWALK_ERRORS_H_
#define MEDLARWALK_ERRORS_H_

#include <string_view>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace medlarwalk {

// Each kind names one reason a request was not served as asked. The list is
// closed: a new reason is a new kind here, a row in the table, and a metric
// label.
enum class ErrorKind {
  kBadRequest,        // The request is malformed.
  kUnknownAccount,    // The client account is not declared.
  kUnknownClass,      // The class of work is not declared or not allowed.
  kUnknownModel,      // No upstream is declared for the model.
  kOverloaded,        // Queue full: refused before it was queued.
  kTargetUnmeetable,  // Would wait past its class target: refused at once.
  kShed,              // Removed from the queue for a higher tier's request.
  kNoUpstream,        // No live upstream serves the model now.
  kNotRun,            // The upstream never received it: safe to resend.
  kOutcomeUnknown,    // It may have run: a resend with the same key is safe.
  kStillRunning,      // A request with this idempotency key is in progress.
  kKeyReused,         // The idempotency key was used for another request.
  kDraining,          // The process is stopping and takes no new work.
  kStaleFencing,      // An order carried an old fencing number.
  kNoConfiguration,   // No configuration is known here yet.
  kUnknownRoute,      // No route leads where the request asks.
  kUnknownKey,        // The caller's key is not, or no longer, held.
  kTimedOut,          // Its time is over; it may have run.
  kNotRunInTime,      // Its time is over; no upstream ever received it.
  kQuarantined,       // It has crashed upstreams that ran it.
  kInternal,          // A fault of ours.
};

// Number of kinds, for tables and tests.
inline constexpr int kErrorKindCount =
    static_cast<int>(ErrorKind::kInternal) + 1;

// What the caller is told for one kind.
struct Answer {
  int http_status;
  absl::string_view code;  // Stable machine-readable code and metric label.
  bool retry_after;        // Whether a Retry-After header is sent.
  bool not_run;            // Whether the answer promises the request never ran.
};

// The row of the kind-to-answer table for `kind`. Thread safe.
const Answer& AnswerFor(ErrorKind kind);

// A status that carries `kind` and a human-readable `message`.
absl::Status MakeError(ErrorKind kind, absl::string_view message);

// The kind carried by `status`; kInternal when it carries none. Precondition:
// `status` is not ok.
ErrorKind KindOf(const absl::Status& status);

// The kind whose code is `code`; kInternal when none matches.
ErrorKind KindFromCode(absl::string_view code);

}  // namespace medlarwalk

#endif  // MEDLARWALK_ERRORS_H_
