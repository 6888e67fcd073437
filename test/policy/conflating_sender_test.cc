#include "conflating_sender.h"

#include <memory>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

TEST_GROUP(conflating_sender){};

// Guards against the use of a destroyed sender: the result of a change may
// destroy it while another change is pending.
TEST(conflating_sender, ResultMayDestroyTheSender) {
  std::vector<ConflatingSender::Done> sent;
  auto sender = std::make_unique<ConflatingSender>(
      1, [&sent](int64_t, const Document&, ConflatingSender::Done done) {
        sent.push_back(std::move(done));
      });
  auto document = std::make_shared<const std::string>("document");
  int results = 0;
  sender->SendOrHold(1, document, [&](const absl::Status&) {
    ++results;
    sender.reset();
  });
  sender->SendOrHold(2, document, [&](const absl::Status&) { ++results; });
  ConflatingSender::Done first = sent.front();
  first(absl::OkStatus());
  LONGS_EQUAL(1, sent.size());
  LONGS_EQUAL(1, results);
}
