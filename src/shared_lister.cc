#include "shared_lister.h"

#include <algorithm>
#include <utility>

#include "control_wire.h"
#include "log.h"

namespace medlarwalk {
namespace {

constexpr int kHttpOk = 200;

}  // namespace

SharedLister::SharedLister(struct ev_loop* loop, const Clock& clock,
                           ListSource source, LinkPool& links)
    : clock_(clock),
      poll_clock_(loop, clock),
      links_(links),
      lister_(loop, clock, std::move(source)) {}

void SharedLister::Read(const std::vector<std::string>& readers, Done done) {
  done_ = std::move(done);
  read_so_far_ = {};
  RequestPart(parts_.Begin(readers, lister_.length().pages, clock_.Now()));
}

void SharedLister::Cancel() {
  if (!done_) return;
  if (open_request_) {
    links_.LinkTo(parts_.part().reader).Cancel(open_request_);
  } else {
    lister_.Cancel();
  }
  open_request_ = 0;
  parts_.End();
  done_ = nullptr;
}

void SharedLister::Tick() {
  lister_.Tick();
  if (done_ && parts_.IsOverdue(poll_clock_.Now())) RestartAlone("silent");
}

void SharedLister::RequestPart(const ListParts::Part& part) {
  if (!part.reader.empty()) {
    RequestPartFrom(part);
    return;
  }
  lister_.ReadPart(
      read_so_far_.next_token, part.max_pages, Lister::OnRejected::kRetry,
      [this](absl::StatusOr<ListPart> r) { OnPart(std::move(r)); });
}

void SharedLister::RequestPartFrom(const ListParts::Part& part) {
  part_requested_at_ = clock_.Now();
  ListPartRequest r{read_so_far_.next_token, part.max_pages};
  uint64_t number = part.number;
  int32_t request =
      links_.Post(part.reader, kListPartPath, Payload(EncodeListPartRequest(r)),
                  [this, number](int status, const std::string& body) {
                    OnAnswer(number, status, body);
                  });
  // The call may have failed at once, and another part may be open.
  if (parts_.Awaits(number)) open_request_ = request;
}

void SharedLister::OnAnswer(uint64_t number, int status,
                            const std::string& body) {
  if (!parts_.Awaits(number)) return;
  open_request_ = 0;
  if (status == 0) {
    RestartAlone("no answer");
    return;
  }
  absl::StatusOr<ListPart> part = DecodeListPart(body);
  if (status == kHttpOk && part.ok()) {
    OnPart(std::move(part));
    return;
  }
  LogEvent("list_part_refused",
           {{"reader", parts_.part().reader}, {"status", status}});
  RequestPart(parts_.OnRefused(clock_.Now()));
}

void SharedLister::OnPart(absl::StatusOr<ListPart> r) {
  if (!r.ok()) {
    Finish(r.status());
    return;
  }
  read_so_far_.upstreams.insert(read_so_far_.upstreams.end(),
                                std::make_move_iterator(r->upstreams.begin()),
                                std::make_move_iterator(r->upstreams.end()));
  read_so_far_.unusable_entries += r->unusable_entries;
  Append(std::move(r->unread), &read_so_far_.unread);
  read_so_far_.pages += r->pages;
  read_so_far_.next_token = std::move(r->next_token);
  if (r->complete) {
    lister_.RecordCompleteRead(read_so_far_);
    Finish(ReadList{std::move(read_so_far_.upstreams), parts_.began_at()});
    return;
  }
  if (read_so_far_.pages >= kMaxListPages) {
    Finish(absl::UnavailableError("too many pages"));
    return;
  }
  bool all_pages = r->pages >= parts_.part().max_pages;
  RequestPart(all_pages ? parts_.Next(clock_.Now()) : parts_.ContinueAlone());
}

// Begins the read again without other readers. The parts read so far are
// dropped: they have grown old while this process waited, and the pages of the
// source may have shifted against them.
void SharedLister::RestartAlone(absl::string_view why) {
  TimePoint now = clock_.Now();
  LogEvent("list_reader_lost", {{"reader", parts_.part().reader},
                                {"why", why},
                                {"waited_ms", ToMs(now - part_requested_at_)}});
  std::string reader = parts_.part().reader;
  read_so_far_ = {};
  const ListParts::Part& part = parts_.OnLost(now);
  int32_t request = std::exchange(open_request_, 0);
  if (request) links_.LinkTo(reader).Cancel(request);
  RequestPart(part);
}

void SharedLister::Finish(absl::StatusOr<ReadList> r) {
  parts_.End();
  Done done = std::move(done_);
  done_ = nullptr;
  done(std::move(r));
}

void SharedLister::HandlePartRequest(const H2Request& req,
                                     std::shared_ptr<H2Stream> stream) {
  absl::StatusOr<ListPartRequest> r = DecodeListPartRequest(req.body);
  if (!r.ok()) {
    stream->Respond(400, {}, "");
    return;
  }
  if (done_) {
    stream->Respond(503, {}, "");
    return;
  }
  if (std::shared_ptr<H2Stream> old = std::move(served_)) {
    lister_.Cancel();
    old->Respond(503, {}, "");
  }
  served_ = std::move(stream);
  int pages = std::clamp(r->max_pages, 1, kMaxListPages);
  lister_.ReadPart(r->token, pages, Lister::OnRejected::kEndPart,
                   [this](absl::StatusOr<ListPart> part) {
                     std::shared_ptr<H2Stream> s = std::move(served_);
                     if (!part.ok()) {
                       s->Respond(502, {}, "");
                       return;
                     }
                     s->Respond(kHttpOk, {},
                                Payload("", EncodeListPart(*part)));
                   });
}

}  // namespace medlarwalk
