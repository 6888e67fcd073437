// Fingerprint of a request: a hash of its target, account and body. A caller
// that retries a request gives it a new id, but the fingerprint stays the same,
// in every process and in every run.
#ifndef MEDLARWALK_REQUEST_FINGERPRINT_H_
#define MEDLARWALK_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "types.h"

namespace medlarwalk {

using RequestFingerprint = uint64_t;

// Returns the fingerprint of a request for `target` (path and query) with
// `body` by client account `account` ("" if there is none). Thread safe.
inline RequestFingerprint ComputeFingerprint(absl::string_view target,
                                             absl::string_view account,
                                             absl::string_view body) {
  return StableHash(body, StableHash(account, StableHash(target)));
}

// Returns the fingerprint of the prompt part with id `part_id`. It is the same
// for all requests with this part, whatever else they hold. Thread safe.
inline RequestFingerprint ComputePartFingerprint(uint64_t part_id) {
  return StableHash(absl::StrCat("prompt part ", absl::Hex(part_id)));
}

// Returns the key of all requests by `account` on the route named `route`.
// Thread safe.
inline uint64_t ComputeAccountRouteKey(absl::string_view account,
                                       absl::string_view route) {
  return StableHash(route, StableHash(account, StableHash("account on route")));
}

// Returns the fingerprint as logs show it: 16 hexadecimal digits.
inline std::string FingerprintToHex(RequestFingerprint p) {
  return absl::StrCat(absl::Hex(p, absl::kZeroPad16));
}

// Returns the ids of prompt parts as logs show them: hexadecimal, separated by
// commas, at most kMaxLoggedParts of them.
inline std::string PartsToHex(absl::Span<const uint64_t> part_ids) {
  constexpr size_t kMaxLoggedParts = 8;
  std::string out;
  for (uint64_t id : part_ids.subspan(0, kMaxLoggedParts))
    absl::StrAppend(&out, out.empty() ? "" : ",", absl::Hex(id));
  return out;
}

}  // namespace medlarwalk

#endif  // MEDLARWALK_REQUEST_FINGERPRINT_H_
