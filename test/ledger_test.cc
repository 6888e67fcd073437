#include "ledger.h"

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

namespace {

std::string TempPath() {
  char tmpl[] = "/tmp/mw-ledger-XXXXXX";
  std::string dir = mkdtemp(tmpl);
  return dir + "/ledger.jsonl";
}

LedgerVerdict Begin(Ledger& l, const std::string& key, uint64_t fp,
                    const LedgerEntry** e = nullptr) {
  LedgerVerdict v;
  const LedgerEntry* unused;
  CHECK_TRUE(l.Begin(key, fp, &v, e ? e : &unused).ok());
  return v;
}

}  // namespace

TEST_GROUP(ledger) { std::string path = TempPath(); };

// Symptom: a ticket billed twice. Sequence: the caller loses the answer and
// resends with the same key. Cause: no memory of keys. The resend gets the
// stored answer and the service is not called again.
TEST(ledger, ResendGetsStoredAnswer) {
  Ledger l(path);
  CHECK_TRUE(l.Open().ok());
  CHECK(Begin(l, "t-1", 7) == LedgerVerdict::kNew);
  CHECK(Begin(l, "t-1", 7) == LedgerVerdict::kRunning);
  CHECK_TRUE(l.Complete("t-1", 200, "billed").ok());
  const LedgerEntry* e;
  CHECK(Begin(l, "t-1", 7, &e) == LedgerVerdict::kDone);
  STRCMP_EQUAL("billed", e->body.c_str());
  CHECK(Begin(l, "t-1", 8) == LedgerVerdict::kKeyReused);
}

// Symptom: after an agent restart a resend runs the billing again.
// Sequence: start recorded, agent killed before the answer, restarted,
// caller resends. Cause: an in-memory ledger. The durable one says
// "outcome unknown" and never runs it again; a finished one replays.
TEST(ledger, RestartKeepsStartedAndDoneKeys) {
  {
    Ledger l(path);
    CHECK_TRUE(l.Open().ok());
    Begin(l, "started", 1);
    Begin(l, "finished", 2);
    CHECK_TRUE(l.Complete("finished", 200, "ok").ok());
  }
  Ledger again(path);
  CHECK_TRUE(again.Open().ok());
  CHECK(Begin(again, "started", 1) == LedgerVerdict::kUnknown);
  CHECK(Begin(again, "finished", 2) == LedgerVerdict::kDone);
}

TEST(ledger, AbandonedKeyMayRunAgain) {
  Ledger l(path);
  CHECK_TRUE(l.Open().ok());
  Begin(l, "k", 1);
  CHECK_TRUE(l.Abandon("k").ok());
  CHECK(Begin(l, "k", 1) == LedgerVerdict::kNew);
}

// Symptom: the ledger refuses to open after a crash mid-write. Sequence:
// power lost while appending. Cause: a torn last line. It was never synced,
// so never promised to anyone: dropped, and the rest is kept.
TEST(ledger, TornLastLineIsDropped) {
  {
    Ledger l(path);
    CHECK_TRUE(l.Open().ok());
    Begin(l, "a", 1);
  }
  std::ofstream(path, std::ios::app) << "{\"op\":\"sta";
  Ledger l(path);
  CHECK_TRUE(l.Open().ok());
  CHECK(Begin(l, "a", 1) == LedgerVerdict::kUnknown);
}

// Hundreds of changes, then a restart: compaction bounds the file and the
// state comes back whole.
TEST(ledger, CompactionKeepsStateAcrossRestart) {
  {
    Ledger l(path);
    CHECK_TRUE(l.Open().ok());
    for (int i = 0; i < 300; ++i) {
      std::string k = "k" + std::to_string(i % 20);
      LedgerVerdict v;
      const LedgerEntry* e;
      CHECK_TRUE(l.Begin(k, 1, &v, &e).ok());
      if (v == LedgerVerdict::kNew) CHECK_TRUE(l.Complete(k, 200, k).ok());
      if (i % 3 == 0) CHECK_TRUE(l.Abandon(k).ok());
    }
    CHECK(l.log_records() <= 2 * l.size() + 64);
  }
  Ledger l(path);
  CHECK_TRUE(l.Open().ok());
  CHECK(l.size() > 0);
}

// Symptom: an agent ends by itself at its start. Cause: a record of its file
// with a value of another type, which the JSON library answers by throwing.
TEST(ledger, ARecordOfAnotherTypeIsDataLoss) {
  std::ofstream(path) << "{\"k\":1,\"op\":\"start\"}\n"
                      << "{\"k\":\"a\",\"op\":\"start\",\"fp\":1}\n";
  Ledger l(path);
  CHECK_TRUE(absl::IsDataLoss(l.Open()));
}
