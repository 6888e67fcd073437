// Tests of the compression of documents: DecompressDocument returns the
// original text or an error.
#include "packed.h"

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"

using namespace medlarwalk;

namespace {

// Returns a document of `routes` routes that differ as much as an operator's
// routes do.
std::string RoutesDocument(int routes) {
  std::string out = R"({"version":7,"routes":[)";
  for (int i = 0; i < routes; ++i) {
    absl::StrAppend(&out, R"({"name":"r-)", i, R"(","host":"h.example",)",
                    R"("path":"/p/)", i, R"(/","timeout":1500},)");
  }
  return out + "]}";
}

}  // namespace

TEST_GROUP(packed){};

TEST(packed, UnpackRestoresTheText) {
  for (int routes : {0, 1, 30, 3000}) {
    std::string text = RoutesDocument(routes);
    Document packed = CompressDocument(text);
    absl::StatusOr<std::string> unpacked =
        DecompressDocument(*packed, text.size());
    CHECK_TRUE(unpacked.ok());
    CHECK_TRUE(text == *unpacked);
  }
  CHECK_TRUE(DecompressDocument(*CompressDocument(""), 10)->empty());
}

// Guards against slow delivery of a large configuration: after 3,000 routes
// were added, it occupied the link of each entry for half a second.
TEST(packed, ManyRoutesCompressToATenth) {
  std::string text = RoutesDocument(3000);
  CHECK_TRUE(CompressDocument(text)->size() * 10 < text.size());
}

// DecompressDocument accepts uncompressed documents, which processes of an
// earlier version store and send.
TEST(packed, UncompressedDocumentIsReturnedUnchanged) {
  CHECK_EQUAL(std::string("{}"), *DecompressDocument("{}", 10));
  CHECK_EQUAL(std::string(), *DecompressDocument("", 10));
}

// DecompressDocument returns an error for a truncated document. For a document
// with one changed byte it returns an error or the original text, never another
// text.
TEST(packed, DamagedDocumentIsAnError) {
  std::string text = RoutesDocument(30);
  std::string packed = *CompressDocument(text);
  for (size_t n = 1; n < packed.size(); ++n) {
    CHECK_FALSE(DecompressDocument(packed.substr(0, n), text.size()).ok());
  }
  for (size_t i = 1; i < packed.size(); ++i) {
    std::string damaged = packed;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x10);
    absl::StatusOr<std::string> unpacked =
        DecompressDocument(damaged, text.size());
    CHECK_TRUE(!unpacked.ok() || *unpacked == text);
  }
}

// Guards against memory exhaustion by a small document: four kilobytes may
// expand to four megabytes. DecompressDocument must detect that the text is too
// large without decompressing all of it.
TEST(packed, OversizedDocumentIsAnError) {
  std::string text(4 << 20, 'x');
  Document packed = CompressDocument(text);
  CHECK_FALSE(DecompressDocument(*packed, text.size() - 1).ok());
  CHECK_TRUE(DecompressDocument(*packed, text.size()).ok());
}
