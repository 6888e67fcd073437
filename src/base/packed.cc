#include "packed.h"

#include <zlib.h>

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

// The first byte of an RFC 1950 stream with the window size that zlib uses:
// 'x'.
constexpr char kZlibFirstByte = 0x78;
// The fastest compression level of zlib. The routes of a configuration differ
// in few bytes, so the result is nearly as small as that of the best level.
constexpr int kCompressionLevel = Z_BEST_SPEED;
constexpr size_t kInitialOutputBytes = size_t{64} * 1024;

}  // namespace

Document CompressDocument(absl::string_view text) {
  uLongf compressed_size = compressBound(text.size());
  std::string compressed(compressed_size, '\0');
  compress2(reinterpret_cast<Bytef*>(&compressed[0]), &compressed_size,
            reinterpret_cast<const Bytef*>(text.data()), text.size(),
            kCompressionLevel);
  compressed.resize(compressed_size);
  compressed.shrink_to_fit();
  return std::make_shared<const std::string>(std::move(compressed));
}

absl::StatusOr<std::string> DecompressDocument(absl::string_view packed,
                                               size_t max_bytes) {
  if (packed.empty() || packed[0] != kZlibFirstByte) return std::string(packed);
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return absl::InvalidArgumentError("no memory to unpack");
  }
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(packed.data()));
  stream.avail_in = static_cast<uInt>(packed.size());
  std::string text;
  int rc = Z_OK;
  while (rc == Z_OK && text.size() < max_bytes + 1) {
    // Decompresses at most one byte more than `max_bytes`: the extra byte shows
    // that the text is too large.
    size_t chunk_size = std::min(std::max(text.size(), kInitialOutputBytes),
                                 max_bytes + 1 - text.size());
    size_t old_size = text.size();
    text.resize(old_size + chunk_size);
    stream.next_out = reinterpret_cast<Bytef*>(&text[old_size]);
    stream.avail_out = static_cast<uInt>(chunk_size);
    rc = inflate(&stream, Z_NO_FLUSH);
    text.resize(old_size + chunk_size - stream.avail_out);
  }
  inflateEnd(&stream);
  if (text.size() > max_bytes) {
    return absl::InvalidArgumentError(
        absl::StrCat("larger than ", max_bytes, " bytes"));
  }
  if (rc != Z_STREAM_END) {
    return absl::InvalidArgumentError("damaged: it does not unpack");
  }
  return text;
}

}  // namespace medlarwalk
