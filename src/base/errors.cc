#include "errors.h"

#include <array>
#include <string>

#include "absl/strings/cord.h"

namespace medlarwalk {
namespace {

constexpr char kPayloadUrl[] = "medlarwalk/kind";

// The answers to callers, indexed by ErrorKind. A 503 answer asks the caller to
// retry later and always carries Retry-After. A 409 answer reports a conflict:
// either of the idempotency key or of a stale fencing number. A 502 answer
// reports an upstream failure after the request may have started.
constexpr std::array<ErrorAnswer, kErrorKindCount> kAnswers = {{
    {400, "bad_request", false, true},
    {403, "unknown_account", false, true},
    {403, "unknown_class", false, true},
    {404, "unknown_model", false, true},
    {429, "overloaded", true, true},
    {503, "target_unmeetable", true, true},
    {503, "shed", true, true},
    {503, "no_upstream", true, true},
    {503, "not_run", true, true},
    {502, "outcome_unknown", true, false},
    {409, "still_running", true, false},
    {422, "key_reused", false, true},
    {503, "draining", true, true},
    {409, "stale_fencing", false, true},
    {503, "no_configuration", true, true},
    {404, "unknown_route", false, true},
    {401, "unknown_key", false, true},
    {504, "timed_out", false, false},
    {503, "not_run_in_time", true, true},
    {503, "quarantined", true, true},
    {500, "internal", false, false},
}};

absl::StatusCode StatusCodeFor(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kBadRequest:
    case ErrorKind::kKeyReused:
      return absl::StatusCode::kInvalidArgument;
    case ErrorKind::kUnknownAccount:
    case ErrorKind::kUnknownClass:
    case ErrorKind::kUnknownKey:
      return absl::StatusCode::kPermissionDenied;
    case ErrorKind::kTimedOut:
      return absl::StatusCode::kDeadlineExceeded;
    case ErrorKind::kUnknownRoute:
    case ErrorKind::kUnknownModel:
      return absl::StatusCode::kNotFound;
    case ErrorKind::kOverloaded:
    case ErrorKind::kTargetUnmeetable:
    case ErrorKind::kShed:
      return absl::StatusCode::kResourceExhausted;
    case ErrorKind::kStillRunning:
    case ErrorKind::kStaleFencing:
      return absl::StatusCode::kFailedPrecondition;
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kInternal:
      return absl::StatusCode::kInternal;
    default:
      return absl::StatusCode::kUnavailable;
  }
}

}  // namespace

const ErrorAnswer& ErrorAnswerFor(ErrorKind kind) {
  return kAnswers[static_cast<size_t>(kind)];
}

absl::Status MakeError(ErrorKind kind, absl::string_view message) {
  absl::Status status(StatusCodeFor(kind), message);
  status.SetPayload(kPayloadUrl, absl::Cord(ErrorAnswerFor(kind).code));
  return status;
}

ErrorKind ErrorKindOf(const absl::Status& status) {
  auto payload = status.GetPayload(kPayloadUrl);
  if (!payload) return ErrorKind::kInternal;
  return ErrorKindFromCode(std::string(*payload));
}

ErrorKind ErrorKindFromCode(absl::string_view code) {
  for (int i = 0; i < kErrorKindCount; ++i) {
    if (kAnswers[i].code == code) return static_cast<ErrorKind>(i);
  }
  return ErrorKind::kInternal;
}

}  // namespace medlarwalk
