// The replica's file: what was synced is read back; a torn, missing or
// spoiled tail ends it without an error and without inventing anything.
#include "replica_store.h"

#include <fstream>
#include <random>
#include <sstream>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "procs.h"
#include "replica_codec.h"

using namespace medlarwalk;
using medlarwalk::testing::TempDir;

namespace {

LogEntry Entry(uint64_t index, int64_t version) {
  LogEntry e;
  e.index = index;
  e.term = 1;
  e.kind = EntryKind::kConfig;
  e.version = version;
  e.data = std::make_shared<const std::string>(
      absl::StrCat("doc ", version, std::string(50, 'x')));
  return e;
}

StoredState Fresh() {
  StoredState s;
  s.self = Member{"id", "10.0.0.1:1"};
  s.snapshot.members = {s.self};
  return s;
}

std::string ReadAll(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::stringstream buf;
  buf << in.rdbuf();
  return buf.str();
}

// A folder whose file holds ten entries.
std::string TenEntries() {
  std::string dir = TempDir();
  FileReplicaStore store(dir);
  CHECK_TRUE(absl::IsNotFound(store.Load().status()));
  CHECK_TRUE(store.Rewrite(Fresh()).ok());
  CHECK_TRUE(store.SaveVote(1, "id").ok());
  for (uint64_t i = 1; i <= 10; ++i) {
    CHECK_TRUE(store.Append({Entry(i, static_cast<int64_t>(i))}).ok());
  }
  return dir;
}

}  // namespace

TEST_GROUP(replica_store){};

TEST(replica_store, ReadsBackWhatWasWritten) {
  std::string dir = TenEntries();
  FileReplicaStore store(dir);
  absl::StatusOr<StoredState> s = store.Load();
  CHECK_TRUE(s.ok());
  LONGS_EQUAL(10, s->log.size());
  LONGS_EQUAL(1, s->term);
  STRCMP_EQUAL("id", s->voted_for.c_str());
  CHECK_TRUE(store.Truncate(6).ok());
  CHECK_TRUE(store.Append({Entry(6, 60)}).ok());
  FileReplicaStore again(dir);
  s = again.Load();
  LONGS_EQUAL(6, s->log.size());
  LONGS_EQUAL(60, s->log.back().version);
}

// Symptom: after a loss of power the process does not start, or starts
// without what it had acknowledged. Sequence: power goes while the newest
// record is being written. Cause: that record is torn at any byte; the
// reader must keep all before it, and what is appended next must not follow
// the torn bytes.
TEST(replica_store, ATornTailCostsOnlyTheTornRecord) {
  std::string dir = TenEntries();
  std::string whole = ReadAll(dir + "/replica.log");
  for (size_t cut = whole.size() - 120; cut < whole.size(); ++cut) {
    std::ofstream(dir + "/replica.log", std::ios::binary)
        << whole.substr(0, cut);
    FileReplicaStore store(dir);
    absl::StatusOr<StoredState> s = store.Load();
    CHECK_TRUE(s.ok());
    size_t kept = s->log.size();
    CHECK_TRUE(kept >= 8 && kept < 10);
    CHECK_TRUE(store.Append({Entry(kept + 1, 99)}).ok());
    FileReplicaStore again(dir);
    s = again.Load();
    LONGS_EQUAL(kept + 1, s->log.size());
    LONGS_EQUAL(99, s->log.back().version);
  }
}

// Hundreds of changes, then a restart: the state is there.
TEST(replica_store, RestartAfterHundredsOfChanges) {
  std::string dir = TempDir();
  {
    FileReplicaStore store(dir);
    CHECK_TRUE(store.Rewrite(Fresh()).ok());
    for (uint64_t i = 1; i <= 400; ++i) {
      CHECK_TRUE(store.Append({Entry(i, static_cast<int64_t>(i))}).ok());
    }
  }
  FileReplicaStore store(dir);
  absl::StatusOr<StoredState> s = store.Load();
  CHECK_TRUE(s.ok());
  LONGS_EQUAL(400, s->log.back().version);
}

// Fuzz: bit flips, cuts and random bytes in the file never crash the reader,
// and it never returns a record that was not written.
TEST(replica_store, FuzzedFilesGiveOnlyWrittenRecords) {
  std::string dir = TenEntries();
  std::string whole = ReadAll(dir + "/replica.log");
  size_t taken = 0;
  std::vector<nlohmann::json> written = ReadRecords(whole, &taken);
  LONGS_EQUAL(whole.size(), taken);
  std::mt19937_64 random(42);
  for (int i = 0; i < 10000; ++i) {
    std::string bytes = whole;
    int flips = 1 + static_cast<int>(random() % 4);
    for (int k = 0; k < flips; ++k) {
      bytes[random() % bytes.size()] ^= static_cast<char>(1 << (random() % 8));
    }
    if (random() % 3 == 0) bytes.resize(random() % bytes.size());
    if (random() % 5 == 0) {
      for (char& c : bytes) c = static_cast<char>(random());
    }
    std::vector<nlohmann::json> got = ReadRecords(bytes, &taken);
    CHECK_TRUE(got.size() <= written.size());
    for (size_t k = 0; k < got.size(); ++k) CHECK_TRUE(got[k] == written[k]);
  }
}

// Fuzz: messages between control processes.
// Found by fuzzing. Symptom: a process ends by its stack. Sequence: a message
// of nothing but opening arrays, far below the size allowed. Cause: the library
// reads what is nested by recursion.
TEST(replica_store, DeeplyNestedBytesAreAnError) {
  CHECK_FALSE(FromCbor(std::string(size_t{1} << 20, '\x81')).ok());
  CHECK_FALSE(FromCbor(std::string(size_t{1} << 20, '\x9f')).ok());
}

TEST(replica_store, FuzzedMessagesAreErrorsOrMessages) {
  ReplicaMessage m;
  m.type = ReplicaMessage::Type::kAppend;
  m.from = Member{"id", "10.0.0.1:1"};
  m.entries = {Entry(1, 1), Entry(2, 2)};
  m.snapshot = Snapshot{};
  m.members = {m.from};
  std::string whole = EncodeMessage(m);
  CHECK_TRUE(DecodeMessage(whole).ok());
  std::mt19937_64 random(43);
  for (int i = 0; i < 10000; ++i) {
    std::string bytes = whole;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 2) bytes.resize(random() % bytes.size());
    absl::StatusOr<ReplicaMessage> d = DecodeMessage(bytes);
    if (!d.ok()) CHECK_TRUE(absl::IsInvalidArgument(d.status()));
  }
}
