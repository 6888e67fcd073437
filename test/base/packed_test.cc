// Compressed documents: what comes out is what went in, or an error.
#include "packed.h"

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"

using namespace medlarwalk;

namespace {

// A document of `routes` that differ as an operator's do.
std::string Routes(int routes) {
  std::string out = R"({"version":7,"routes":[)";
  for (int i = 0; i < routes; ++i) {
    absl::StrAppend(&out, R"({"name":"r-)", i, R"(","host":"h.example",)",
                    R"("path":"/p/)", i, R"(/","timeout":1500},)");
  }
  return out + "]}";
}

}  // namespace

TEST_GROUP(packed){};

TEST(packed, ComesBackAsItWas) {
  for (int routes : {0, 1, 30, 3000}) {
    std::string text = Routes(routes);
    Document d = Pack(text);
    absl::StatusOr<std::string> back = Unpack(*d, text.size());
    CHECK_TRUE(back.ok());
    CHECK_TRUE(text == *back);
  }
  CHECK_TRUE(Unpack(*Pack(""), 10)->empty());
}

// 3,000 routes more cost each entry half a second of its link.
TEST(packed, ManyRoutesShrinkToATenth) {
  std::string text = Routes(3000);
  CHECK_TRUE(Pack(text)->size() * 10 < text.size());
}

// A process of an earlier version keeps and sends documents as they are.
TEST(packed, APlainDocumentIsTakenAsItStands) {
  CHECK_EQUAL(std::string("{}"), *Unpack("{}", 10));
  CHECK_EQUAL(std::string(), *Unpack("", 10));
}

// Cut anywhere, or with any byte changed, it is an error or, where the change
// does not matter, the same document: never another one.
TEST(packed, ADamagedOneIsAnError) {
  std::string text = Routes(30);
  std::string packed = *Pack(text);
  for (size_t n = 1; n < packed.size(); ++n) {
    CHECK_FALSE(Unpack(packed.substr(0, n), text.size()).ok());
  }
  for (size_t i = 1; i < packed.size(); ++i) {
    std::string bad = packed;
    bad[i] = static_cast<char>(bad[i] ^ 0x10);
    absl::StatusOr<std::string> back = Unpack(bad, text.size());
    CHECK_TRUE(!back.ok() || *back == text);
  }
}

// Four kilobytes that stand for four megabytes must not be unpacked whole to
// learn that they are too many.
TEST(packed, NoMoreThanAllowedIsUnpacked) {
  std::string text(4 << 20, 'x');
  Document d = Pack(text);
  CHECK_FALSE(Unpack(*d, text.size() - 1).ok());
  CHECK_TRUE(Unpack(*d, text.size()).ok());
}
