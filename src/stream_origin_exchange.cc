#include "stream_origin_exchange.h"

#include <algorithm>
#include <utility>

#include "log.h"

namespace medlarwalk {
namespace {

// Bound of the memory that records use: a few MB.
constexpr size_t kMaxRecords = 20'000;
// Processes that are asked, beyond the number of copies: the process that
// stored a record may have known fewer or more processes.
constexpr size_t kMoreAsked = 2;
// Time after which a question is repeated, and longest wait for an answer. The
// caller of the stream has waited since it broke off.
constexpr auto kQuestionRepeat = Millis(50);
constexpr auto kQuestionTimeout = Millis(200);

}  // namespace

StreamOriginExchange::StreamOriginExchange(struct ev_loop* loop,
                                           const Clock& clock, Metrics& metrics,
                                           uint64_t random_seed)
    : clock_(clock),
      poll_clock_(loop, clock),
      metrics_(metrics),
      socket_(loop, [this](absl::string_view data,
                           const Endpoint& from) { OnDatagram(data, from); }),
      table_(kMaxRecords),
      random_(random_seed) {}

absl::Status StreamOriginExchange::Bind(const Endpoint& at) {
  absl::Status s = socket_.Bind(at);
  own_ = Endpoint{at.ip, socket_.port()};
  return s;
}

void StreamOriginExchange::SetPeers(std::vector<Endpoint> peers) {
  peers.erase(std::remove(peers.begin(), peers.end(), own_), peers.end());
  peers_ = std::move(peers);
  metrics_.SetEntryPeers(peers_.size());
}

void StreamOriginExchange::Record(const StreamRecord& record) {
  table_.Record(record, clock_.Now());
  StreamOriginMessage m;
  m.record = record;
  m.known = true;
  std::string bytes = EncodeStreamOrigin(m);
  for (const Endpoint& to : HoldersOf(record.key, peers_, kStreamRecordCopies))
    socket_.Send(to, bytes);
}

void StreamOriginExchange::Find(StreamKey key, Found found) {
  TimePoint now = clock_.Now();
  if (const StreamOrigin* o = table_.Find(key, now)) {
    metrics_.CountStreamOriginLookup("held");
    found(*o);
    return;
  }
  uint64_t number = random_();
  Question& q = questions_[number];
  q.key = key;
  q.found = std::move(found);
  q.asked_at = now;
  SendQuestion(number, q, now);
}

void StreamOriginExchange::SendQuestion(uint64_t number, Question& q,
                                        TimePoint now) {
  q.sent_at = now;
  StreamOriginMessage m;
  m.kind = StreamOriginMessage::Kind::kQuestion;
  m.number = number;
  m.record.key = q.key;
  std::string bytes = EncodeStreamOrigin(m);
  for (const Endpoint& to :
       HoldersOf(q.key, peers_, kStreamRecordCopies + kMoreAsked)) {
    std::string address = to.ToString();
    if (q.answered.count(address)) continue;
    q.asked.insert(std::move(address));
    socket_.Send(to, bytes);
  }
}

void StreamOriginExchange::OnDatagram(absl::string_view data,
                                      const Endpoint& from) {
  absl::StatusOr<StreamOriginMessage> m = DecodeStreamOrigin(data);
  if (!m.ok()) return;
  switch (m->kind) {
    case StreamOriginMessage::Kind::kRecord:
      if (m->known) table_.Record(m->record, clock_.Now());
      break;
    case StreamOriginMessage::Kind::kQuestion:
      OnQuestion(*m, from);
      break;
    case StreamOriginMessage::Kind::kAnswer:
      OnAnswer(*m, from);
      break;
  }
}

void StreamOriginExchange::OnQuestion(const StreamOriginMessage& m,
                                      const Endpoint& from) {
  StreamOriginMessage answer;
  answer.kind = StreamOriginMessage::Kind::kAnswer;
  answer.number = m.number;
  answer.record.key = m.record.key;
  if (const StreamOrigin* o = table_.Find(m.record.key, clock_.Now())) {
    answer.known = true;
    answer.record.origin = *o;
  }
  socket_.Send(from, EncodeStreamOrigin(answer));
}

void StreamOriginExchange::OnAnswer(const StreamOriginMessage& m,
                                    const Endpoint& from) {
  auto it = questions_.find(m.number);
  if (it == questions_.end() || it->second.key != m.record.key) return;
  Question& q = it->second;
  if (m.known) {
    EndQuestion(m.number, m.record.origin, "answered");
    return;
  }
  q.answered.insert(from.ToString());
  bool all = std::includes(q.answered.begin(), q.answered.end(),
                           q.asked.begin(), q.asked.end());
  if (all) EndQuestion(m.number, std::nullopt, "unknown");
}

void StreamOriginExchange::EndQuestion(
    uint64_t number, const std::optional<StreamOrigin>& origin,
    absl::string_view how) {
  auto node = questions_.extract(number);
  Question& q = node.mapped();
  metrics_.CountStreamOriginLookup(how);
  LogEvent("stream_origin", {{"key", absl::StrCat(absl::Hex(q.key))},
                             {"result", how},
                             {"service", origin ? origin->service : ""},
                             {"build", origin ? origin->build : ""},
                             {"asked", q.asked.size()},
                             {"answered", q.answered.size()},
                             {"waited_ms", ToMs(clock_.Now() - q.asked_at)}});
  q.found(origin);
}

void StreamOriginExchange::Tick() {
  TimePoint now = clock_.Now();
  table_.RemoveExpired(now);
  std::vector<uint64_t> over;
  for (auto& [number, q] : questions_) {
    if (poll_clock_.Now() - q.asked_at >= kQuestionTimeout) {
      over.push_back(number);
    } else if (now - q.sent_at >= kQuestionRepeat) {
      SendQuestion(number, q, now);
    }
  }
  for (uint64_t number : over) EndQuestion(number, std::nullopt, "silent");
}

}  // namespace medlarwalk
