// Stores where streams began at a few other entry processes, and asks these
// processes about a stream that its caller takes up here.
//
// Datagrams fit: a record is stored at several processes, so one that is lost
// costs nothing, and a question is repeated. A connection that silently fails
// would lose every record until its timeout.
#ifndef MEDLARWALK_STREAM_ORIGIN_EXCHANGE_H_
#define MEDLARWALK_STREAM_ORIGIN_EXCHANGE_H_

#include <ev.h>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/types/span.h"
#include "datagram_socket.h"
#include "metrics.h"
#include "poll_clock.h"
#include "stream_origin_table.h"
#include "stream_origin_wire.h"
#include "types.h"

namespace medlarwalk {

// Number of other processes that hold the record of a stream. All of them and
// the process that serves the stream must end for its origin to be lost.
inline constexpr size_t kStreamRecordCopies = 3;

// One exchange per entry process. Thread safety: loop thread only.
class StreamOriginExchange {
 public:
  using Found = std::function<void(const std::optional<StreamOrigin>&)>;

  // Precondition: the referenced arguments outlive this object.
  StreamOriginExchange(struct ev_loop* loop, const Clock& clock,
                       Metrics& metrics, uint64_t random_seed);
  StreamOriginExchange(const StreamOriginExchange&) = delete;
  StreamOriginExchange& operator=(const StreamOriginExchange&) = delete;

  // Binds the address at which other processes reach this one. Errors:
  // Unavailable.
  absl::Status Bind(const Endpoint& at);
  int port() const { return socket_.port(); }
  // Sets the addresses of all entry processes; that of this one may be among
  // them.
  void SetPeers(std::vector<Endpoint> peers);
  // Stores `record` here and at its holders.
  void Record(const StreamRecord& record);
  // Calls `found` with the origin of the stream, or with nullopt if no process
  // that answers in time knows it. May call it before returning.
  void Find(StreamKey key, Found found);
  // Repeats questions, ends those that take too long, and drops expired
  // records. Must be called every few tens of milliseconds.
  void Tick();

 private:
  struct Question {
    StreamKey key = 0;
    Found found;
    TimePoint asked_at{};
    TimePoint sent_at{};
    std::set<std::string> asked;     // Addresses that were asked.
    std::set<std::string> answered;  // Those that do not know the stream.
  };
  void OnDatagram(absl::string_view data, const Endpoint& from);
  void OnQuestion(const StreamOriginMessage& m, const Endpoint& from);
  void OnAnswer(const StreamOriginMessage& m, const Endpoint& from);
  void SendQuestion(uint64_t number, Question& q, TimePoint now);
  void EndQuestion(uint64_t number, const std::optional<StreamOrigin>& origin,
                   absl::string_view how);

  const Clock& clock_;
  PollClock poll_clock_;  // The silence of peers is judged at this time.
  Metrics& metrics_;
  DatagramSocket socket_;
  Endpoint own_;
  std::vector<Endpoint> peers_;  // Without this process.
  StreamOriginTable table_;
  std::mt19937_64 random_;
  std::map<uint64_t, Question> questions_;  // By number.
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_STREAM_ORIGIN_EXCHANGE_H_
