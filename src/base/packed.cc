#include "packed.h"

#include <zlib.h>

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

// The first byte of RFC 1950 for the window that zlib writes with: 'x'.
constexpr char kPackedFirst = 0x78;
// Routes differ in few bytes, so that the fastest level is close to the best.
constexpr int kLevel = Z_BEST_SPEED;
constexpr size_t kFirstGuess = size_t{64} * 1024;

}  // namespace

Document Pack(absl::string_view text) {
  uLongf n = compressBound(text.size());
  std::string out(n, '\0');
  compress2(reinterpret_cast<Bytef*>(&out[0]), &n,
            reinterpret_cast<const Bytef*>(text.data()), text.size(), kLevel);
  out.resize(n);
  out.shrink_to_fit();
  return std::make_shared<const std::string>(std::move(out));
}

absl::StatusOr<std::string> Unpack(absl::string_view packed, size_t most) {
  if (packed.empty() || packed[0] != kPackedFirst) return std::string(packed);
  z_stream z{};
  if (inflateInit(&z) != Z_OK) {
    return absl::InvalidArgumentError("no memory to unpack");
  }
  z.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(packed.data()));
  z.avail_in = static_cast<uInt>(packed.size());
  std::string out;
  int rc = Z_OK;
  while (rc == Z_OK && out.size() < most + 1) {
    // One byte more than allowed tells what is too large.
    size_t room =
        std::min(std::max(out.size(), kFirstGuess), most + 1 - out.size());
    size_t from = out.size();
    out.resize(from + room);
    z.next_out = reinterpret_cast<Bytef*>(&out[from]);
    z.avail_out = static_cast<uInt>(room);
    rc = inflate(&z, Z_NO_FLUSH);
    out.resize(from + room - z.avail_out);
  }
  inflateEnd(&z);
  if (out.size() > most) {
    return absl::InvalidArgumentError(
        absl::StrCat("larger than ", most, " bytes"));
  }
  if (rc != Z_STREAM_END) {
    return absl::InvalidArgumentError("damaged: it does not unpack");
  }
  return out;
}

}  // namespace medlarwalk
