#include "ledger.h"

#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

namespace {

std::string TempLedgerPath() {
  char tmpl[] = "/tmp/mw-ledger-XXXXXX";
  std::string dir = mkdtemp(tmpl);
  return dir + "/ledger.jsonl";
}

LedgerKeyState BeginRequest(Ledger& l, const std::string& key, uint64_t fp,
                            const LedgerEntry** e = nullptr) {
  LedgerKeyState v;
  const LedgerEntry* unused;
  CHECK_TRUE(l.BeginRequest(key, fp, &v, e ? e : &unused).ok());
  return v;
}

}  // namespace

TEST_GROUP(ledger) { std::string path = TempLedgerPath(); };

// Guards against billing a ticket twice. The caller loses the answer and
// resends with the same key; the resend must get the stored answer, without a
// second call to the service.
TEST(ledger, ResendGetsStoredAnswer) {
  Ledger l(path);
  CHECK_TRUE(l.Open().ok());
  CHECK(BeginRequest(l, "t-1", 7) == LedgerKeyState::kNew);
  CHECK(BeginRequest(l, "t-1", 7) == LedgerKeyState::kRunning);
  CHECK_TRUE(l.CompleteRequest("t-1", 200, "billed").ok());
  const LedgerEntry* e;
  CHECK(BeginRequest(l, "t-1", 7, &e) == LedgerKeyState::kCompleted);
  STRCMP_EQUAL("billed", e->body.c_str());
  CHECK(BeginRequest(l, "t-1", 8) == LedgerKeyState::kKeyReused);
}

// Guards against a ledger that is kept only in memory, so that a ticket is
// billed twice. The agent is killed before the answer and restarted, then the
// caller resends. A request with a started key may have run and must not run
// again, and a resend with a completed key must get the stored answer.
TEST(ledger, RestartKeepsStartedAndDoneKeys) {
  {
    Ledger l(path);
    CHECK_TRUE(l.Open().ok());
    BeginRequest(l, "started", 1);
    BeginRequest(l, "finished", 2);
    CHECK_TRUE(l.CompleteRequest("finished", 200, "ok").ok());
  }
  Ledger again(path);
  CHECK_TRUE(again.Open().ok());
  CHECK(BeginRequest(again, "started", 1) == LedgerKeyState::kMayHaveRun);
  CHECK(BeginRequest(again, "finished", 2) == LedgerKeyState::kCompleted);
}

TEST(ledger, AbandonedKeyMayRunAgain) {
  Ledger l(path);
  CHECK_TRUE(l.Open().ok());
  BeginRequest(l, "k", 1);
  CHECK_TRUE(l.AbandonRequest("k").ok());
  CHECK(BeginRequest(l, "k", 1) == LedgerKeyState::kNew);
}

// Guards against a ledger that does not open after a power loss. The power
// fails during an append, which leaves an incomplete last line that no request
// depends on. The line must be dropped and all other records kept.
TEST(ledger, IncompleteLastLineIsDropped) {
  {
    Ledger l(path);
    CHECK_TRUE(l.Open().ok());
    BeginRequest(l, "a", 1);
  }
  std::ofstream(path, std::ios::app) << "{\"op\":\"sta";
  Ledger l(path);
  CHECK_TRUE(l.Open().ok());
  CHECK(BeginRequest(l, "a", 1) == LedgerKeyState::kMayHaveRun);
}

// Guards against a ledger that forgets a key, or that does not open, after a
// power loss: the next record must not be written onto the incomplete line.
TEST(ledger, RecordsAfterIncompleteLineAreKept) {
  for (const char* torn : {"{\"op\":\"sta", "{\"op\":\"start\",\"k\":\"t\"}"}) {
    std::string torn_path = TempLedgerPath();
    {
      Ledger l(torn_path);
      CHECK_TRUE(l.Open().ok());
      BeginRequest(l, "a", 1);
    }
    std::ofstream(torn_path, std::ios::app) << torn;
    for (const char* key : {"b", "c"}) {
      Ledger l(torn_path);
      CHECK_TRUE(l.Open().ok());
      CHECK(BeginRequest(l, key, 1) == LedgerKeyState::kNew);
    }
    Ledger l(torn_path);
    CHECK_TRUE(l.Open().ok());
    for (const char* key : {"a", "b", "c"}) {
      CHECK(BeginRequest(l, key, 1) == LedgerKeyState::kMayHaveRun);
    }
    CHECK(BeginRequest(l, "t", 1) == LedgerKeyState::kNew);
  }
}

// Guards against a ledger that does not open after the disk was full: a record
// that could be written only in part must not stay in the file.
TEST(ledger, PartlyWrittenRecordIsRemoved) {
  {
    Ledger l(path);
    CHECK_TRUE(l.Open().ok());
    BeginRequest(l, "a", 1);
    rlimit unlimited{};
    getrlimit(RLIMIT_FSIZE, &unlimited);
    rlimit full = unlimited;
    full.rlim_cur = std::filesystem::file_size(path) + 5;
    auto old_handler = std::signal(SIGXFSZ, SIG_IGN);
    setrlimit(RLIMIT_FSIZE, &full);
    LedgerKeyState state;
    const LedgerEntry* e;
    bool recorded = l.BeginRequest("b", 1, &state, &e).ok();
    setrlimit(RLIMIT_FSIZE, &unlimited);
    std::signal(SIGXFSZ, old_handler);
    CHECK_FALSE(recorded);
    CHECK(BeginRequest(l, "b", 1) == LedgerKeyState::kNew);
    CHECK(BeginRequest(l, "c", 1) == LedgerKeyState::kNew);
  }
  Ledger l(path);
  CHECK_TRUE(l.Open().ok());
  for (const char* key : {"a", "b", "c"}) {
    CHECK(BeginRequest(l, key, 1) == LedgerKeyState::kMayHaveRun);
  }
}

// Compaction bounds the number of records over hundreds of changes, and the
// compacted ledger opens after a restart.
TEST(ledger, CompactionKeepsStateAcrossRestart) {
  {
    Ledger l(path);
    CHECK_TRUE(l.Open().ok());
    for (int i = 0; i < 300; ++i) {
      std::string k = "k" + std::to_string(i % 20);
      LedgerKeyState v;
      const LedgerEntry* e;
      CHECK_TRUE(l.BeginRequest(k, 1, &v, &e).ok());
      if (v == LedgerKeyState::kNew)
        CHECK_TRUE(l.CompleteRequest(k, 200, k).ok());
      if (i % 3 == 0) CHECK_TRUE(l.AbandonRequest(k).ok());
    }
    CHECK(l.log_records() <= 2 * l.size() + 64);
  }
  // The last round abandoned the keys whose last index is divisible by 3.
  Ledger l(path);
  CHECK_TRUE(l.Open().ok());
  for (int i = 280; i < 300; ++i) {
    std::string k = "k" + std::to_string(i % 20);
    const LedgerEntry* e;
    LedgerKeyState state = BeginRequest(l, k, 1, &e);
    if (i % 3 == 0) {
      CHECK(state == LedgerKeyState::kNew);
      continue;
    }
    CHECK(state == LedgerKeyState::kCompleted);
    STRCMP_EQUAL(k.c_str(), e->body.c_str());
  }
}

// Guards against a request that runs twice. The start record of its key is the
// record that triggers a compaction; the compacted file must hold the key.
TEST(ledger, KeyThatTriggersCompactionIsKept) {
  {
    Ledger l(path);
    CHECK_TRUE(l.Open().ok());
    for (int i = 0; i < 32; ++i) {
      std::string k = "k" + std::to_string(i);
      CHECK(BeginRequest(l, k, 1) == LedgerKeyState::kNew);
      CHECK_TRUE(l.CompleteRequest(k, 200, k).ok());
    }
    CHECK(BeginRequest(l, "last", 7) == LedgerKeyState::kNew);
  }
  {
    Ledger l(path);
    CHECK_TRUE(l.Open().ok());
    CHECK(BeginRequest(l, "last", 7) == LedgerKeyState::kMayHaveRun);
    CHECK_TRUE(l.CompleteRequest("last", 200, "answer").ok());
  }
  Ledger l(path);
  CHECK_TRUE(l.Open().ok());
  CHECK(BeginRequest(l, "last", 7) == LedgerKeyState::kCompleted);
}

// Guards against an agent that terminates at startup because a record in the
// ledger file has a value of the wrong type, for which the JSON library throws
// an exception.
TEST(ledger, RecordWithWrongValueTypeIsDataLoss) {
  std::ofstream(path) << "{\"k\":1,\"op\":\"start\"}\n"
                      << "{\"k\":\"a\",\"op\":\"start\",\"fp\":1}\n";
  Ledger l(path);
  CHECK_TRUE(absl::IsDataLoss(l.Open()));
}
