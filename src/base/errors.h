// The closed list of error kinds, and the table that maps each kind to the
// answer sent to the caller. Every rejection, timeout and failure in medlarwalk
// is one of these kinds; absl::Status carries it between functions.
#ifndef MEDLARWALK_ERRORS_H_
#define MEDLARWALK_ERRORS_H_

#include <string_view>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace medlarwalk {

// A reason why a request was not served. The list is closed: a new reason needs
// a new kind here and a row in the table of answers. The code in that row is
// also a metric label.
enum class ErrorKind {
  kBadRequest,        // The request is malformed.
  kUnknownAccount,    // The client account is not declared.
  kUnknownClass,      // The class of work is not declared or not allowed.
  kUnknownModel,      // No upstream is declared for the model.
  kOverloaded,        // Rejected because the queue is full.
  kTargetUnmeetable,  // Rejected: the wait would exceed the class target.
  kShed,              // Removed from the queue for a higher-tier request.
  kNoUpstream,        // No available upstream serves the model.
  kNotRun,            // No upstream received the request: safe to resend.
  // The request may have run. Safe to resend with the same idempotency key.
  kOutcomeUnknown,
  kStillRunning,     // A request with this idempotency key is running.
  kKeyReused,        // The idempotency key was used for another request.
  kDraining,         // The process is stopping and accepts no new requests.
  kStaleFencing,     // The order carried an old fencing number.
  kNoConfiguration,  // The process has no configuration yet.
  kUnknownRoute,     // No route matches the request.
  kUnknownKey,       // No account has the caller's API key.
  kTimedOut,         // The deadline has passed; the request may have run.
  kNotRunInTime,  // The deadline has passed; no upstream received the request.
  kQuarantined,   // The request has crashed upstreams that ran it.
  kInternal,      // A fault in medlarwalk itself.
};

// Number of error kinds, for tables and tests.
inline constexpr int kErrorKindCount =
    static_cast<int>(ErrorKind::kInternal) + 1;

// The answer that a caller gets for one error kind.
struct ErrorAnswer {
  int http_status;
  absl::string_view code;  // Stable machine-readable code; metric label.
  bool retry_after;        // Whether a Retry-After header is sent.
  bool not_run;            // Whether the answer promises the request never ran.
};

// Returns the answer that is sent to the caller of a request that failed with
// `kind`. Thread safe.
const ErrorAnswer& ErrorAnswerFor(ErrorKind kind);

// Returns a status that carries `kind` and a human-readable `message`.
absl::Status MakeError(ErrorKind kind, absl::string_view message);

// Returns the kind carried by `status`; kInternal when it carries none.
// Precondition: `status` is not ok.
ErrorKind ErrorKindOf(const absl::Status& status);

// Returns the kind whose code is `code`; kInternal when none matches.
ErrorKind ErrorKindFromCode(absl::string_view code);

}  // namespace medlarwalk

#endif  // MEDLARWALK_ERRORS_H_
