#include "http1.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace medlarwalk {
namespace {

// Memory of a field besides its text, in bytes: a list that grows has room for
// up to twice its fields.
constexpr size_t kBytesPerField =
    2 * sizeof(std::pair<std::string, std::string>);
constexpr int kHttp11 = 11;  // Beast's version number for HTTP/1.1.

namespace beast = boost::beast;
namespace http = boost::beast::http;
using beast::error_code;

absl::string_view ToStringView(beast::string_view s) {
  return {s.data(), s.size()};
}

// Passes the parts of a message parsed by Beast to a MessageSink. Beast finds
// the end of the body; where the decision of framing.h differs, the message is
// malformed.
template <bool kRequest>
class BeastParser : public http::basic_parser<kRequest> {
 public:
  explicit BeastParser(MessageSink* sink) : sink_(sink) {}
  // Returns why the message is malformed; Ok if Beast itself says so.
  const absl::Status& error() const { return error_; }
  void set_answers_head() { answers_head_ = true; }
  size_t field_bytes() const { return field_bytes_; }

 private:
  void on_request_impl(http::verb, beast::string_view method,
                       beast::string_view target, int version,
                       error_code&) override {
    http11_ = head_.accepts_chunked = version >= kHttp11;
    head_.method = std::string(ToStringView(method));
    head_.target = std::string(ToStringView(target));
  }
  void on_response_impl(int code, beast::string_view reason, int version,
                        error_code&) override {
    http11_ = version >= kHttp11;
    head_.status = code;
    head_.reason = std::string(ToStringView(reason));
  }
  void on_field_impl(http::field, beast::string_view name,
                     beast::string_view value, error_code&) override {
    if (head_done_) return;  // Trailers are not forwarded.
    field_bytes_ += kBytesPerField + name.size() + value.size();
    head_.headers.emplace_back(std::string(ToStringView(name)),
                               std::string(ToStringView(value)));
  }
  void on_header_impl(error_code& ec) override {
    head_done_ = true;
    absl::StatusOr<MessageFraming> framing = DecideFraming();
    if (!framing.ok()) {
      Fail(framing.status(), ec);
      return;
    }
    head_.keep_alive = this->keep_alive();
    head_.framing = framing->body;
    if (framing->body == BodyFraming::kLength)
      head_.content_length = framing->length;
    sink_->on_head(std::move(head_));
  }
  void on_body_init_impl(boost::optional<std::uint64_t> const&,
                         error_code&) override {}
  std::size_t on_body_impl(beast::string_view body, error_code&) override {
    sink_->on_body(ToStringView(body));
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, beast::string_view extension,
                            error_code& ec) override {
    absl::Status s = CheckChunkExtension(ToStringView(extension));
    if (!s.ok()) Fail(s, ec);
  }
  std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view body,
                                 error_code&) override {
    sink_->on_body(ToStringView(body));
    return body.size();
  }
  void on_finish_impl(error_code&) override { sink_->on_complete(); }

  absl::StatusOr<MessageFraming> DecideFraming() {
    absl::StatusOr<MessageFraming> framing =
        kRequest ? DecideRequestFraming(http11_, head_.headers)
                 : DecideAnswerFraming(http11_, head_.status, answers_head_,
                                       head_.headers);
    if (framing.ok() && !AgreesWith(*framing))
      return absl::InvalidArgumentError("framing in doubt");
    return framing;
  }

  // Returns whether Beast reads the body as `framing` says.
  bool AgreesWith(const MessageFraming& framing) const {
    switch (framing.body) {
      case BodyFraming::kNone:
        return !kRequest || (!this->chunked() && !this->content_length());
      case BodyFraming::kLength:
        return !this->chunked() && this->content_length() == framing.length;
      case BodyFraming::kChunked:
        return this->chunked() && !this->content_length();
      case BodyFraming::kClose:
        return this->need_eof();
    }
    return false;
  }

  void Fail(absl::Status why, error_code& ec) {
    error_ = std::move(why);
    ec = http::error::bad_field;
  }

  MessageSink* sink_;
  MessageHead head_;
  absl::Status error_;
  bool http11_ = true;
  bool answers_head_ = false;
  bool head_done_ = false;
  size_t field_bytes_ = 0;
};

bool ContainsName(absl::Span<const absl::string_view> names,
                  absl::string_view name) {
  for (absl::string_view n : names) {
    if (absl::EqualsIgnoreCase(name, n)) return true;
  }
  return false;
}

// Returns what the Connection fields of `headers` list.
std::vector<absl::string_view> ConnectionOptions(const HeaderList& headers) {
  std::vector<absl::string_view> out;
  for (const auto& [name, value] : headers) {
    if (!absl::EqualsIgnoreCase(name, "Connection")) continue;
    for (absl::string_view option : absl::StrSplit(value, ','))
      out.push_back(absl::StripAsciiWhitespace(option));
  }
  return out;
}

absl::Status StatusFromBeast(const error_code& ec) {
  if (ec == http::error::header_limit)
    return absl::ResourceExhaustedError(ec.message());
  if (ec == http::error::body_limit) return absl::OutOfRangeError(ec.message());
  return absl::InvalidArgumentError(ec.message());
}

}  // namespace

absl::string_view EndDetectionName(EndDetection by) {
  switch (by) {
    case EndDetection::kLength:
      return "length";
    case EndDetection::kLastChunk:
      return "last_chunk";
    case EndDetection::kClose:
      return "close";
    case EndDetection::kStreamEnd:
      return "stream_end";
  }
  return "";
}

const std::string* MessageHead::Find(absl::string_view name) const {
  for (const auto& [k, v] : headers) {
    if (absl::EqualsIgnoreCase(k, name)) return &v;
  }
  return nullptr;
}

std::string MessageHead::HeaderValue(absl::string_view name) const {
  const std::string* v = Find(name);
  return v ? std::string(absl::StripAsciiWhitespace(*v)) : "";
}

int MessageHead::CountHeaders(absl::string_view name) const {
  int n = 0;
  for (const auto& [k, v] : headers) n += absl::EqualsIgnoreCase(k, name);
  return n;
}

struct Http1Parser::Impl {
  std::optional<BeastParser<true>> request;
  std::optional<BeastParser<false>> answer;
  bool started = false;

  template <typename F>
  auto Visit(F f) {
    return request ? f(*request) : f(*answer);
  }
};

Http1Parser::Http1Parser(Kind kind, uint32_t header_limit, uint64_t body_limit,
                         MessageSink sink)
    : kind_(kind),
      header_limit_(header_limit),
      body_limit_(body_limit),
      sink_(std::move(sink)) {
  CreateParser();
}

Http1Parser::~Http1Parser() = default;

void Http1Parser::CreateParser() {
  impl_ = std::make_unique<Impl>();
  if (kind_ == Kind::kRequest) {
    impl_->request.emplace(&sink_);
  } else {
    impl_->answer.emplace(&sink_);
  }
  impl_->Visit([](auto& p) { p.eager(true); });
  SetLimits(header_limit_, body_limit_);
}

void Http1Parser::SetLimits(uint32_t header_limit, uint64_t body_limit) {
  header_limit_ = header_limit;
  body_limit_ = body_limit;
  impl_->Visit([&](auto& p) {
    p.header_limit(header_limit);
    p.body_limit(body_limit);
  });
}

absl::Status Http1Parser::Feed(std::string* buf) {
  if (done() || buf->empty()) return absl::OkStatus();
  impl_->started = true;
  if (!head_done()) {
    // Beast takes a head only when all of it is there.
    size_t end = buf->find("\r\n\r\n");
    if (end != std::string::npos &&
        HasFoldedField(absl::string_view(*buf).substr(0, end)))
      return absl::InvalidArgumentError("folded field");
  }
  error_code ec;
  size_t taken = 0;
  // put() may stop after the head, so repeat until it consumes nothing more.
  while (taken < buf->size() && !done()) {
    ec = {};
    size_t n = impl_->Visit([&](auto& p) {
      return p.put(
          boost::asio::const_buffer(buf->data() + taken, buf->size() - taken),
          ec);
    });
    taken += n;
    if (ec || n == 0) break;
  }
  buf->erase(0, taken);
  if (ec && ec != http::error::need_more) {
    absl::Status s = impl_->Visit([](auto& p) { return p.error(); });
    return s.ok() ? StatusFromBeast(ec) : s;
  }
  if (done() || !head_done()) return absl::OkStatus();
  // The remaining bytes begin a chunk's line or the trailers.
  if (buf->size() > header_limit_)
    return absl::OutOfRangeError("chunk line or trailers too long");
  if (impl_->Visit([](auto& p) { return p.chunked(); }) &&
      HasOpenQuoteInChunkLine(*buf))
    return absl::InvalidArgumentError("open quote in a chunk extension");
  return absl::OkStatus();
}

absl::Status Http1Parser::FeedEof() {
  if (done()) return absl::OkStatus();
  if (!impl_->started) return absl::InvalidArgumentError("closed");
  error_code ec;
  impl_->Visit([&](auto& p) { p.put_eof(ec); });
  return ec ? StatusFromBeast(ec) : absl::OkStatus();
}

bool Http1Parser::started() const { return impl_->started; }

bool Http1Parser::head_done() const {
  return impl_->Visit([](auto& p) { return p.is_header_done(); });
}

bool Http1Parser::done() const {
  return impl_->Visit([](auto& p) { return p.is_done(); });
}

size_t Http1Parser::head_bytes() const {
  return impl_->Visit([](auto& p) { return p.field_bytes(); });
}

bool Http1Parser::is_close_delimited() const {
  return impl_->Visit([](auto& p) { return p.need_eof(); });
}

EndDetection Http1Parser::end_detection() const {
  return impl_->Visit([](auto& p) {
    if (p.chunked()) return EndDetection::kLastChunk;
    return p.need_eof() ? EndDetection::kClose : EndDetection::kLength;
  });
}

void Http1Parser::PrepareForNextMessage() { CreateParser(); }

void Http1Parser::ExpectNoBody() {
  if (!impl_->answer) return;
  impl_->answer->skip(true);
  impl_->answer->set_answers_head();
}

void AppendHeader(std::string* out, absl::string_view name,
                  absl::string_view value) {
  absl::StrAppend(out, name, ": ", value, "\r\n");
}

bool IsHopByHop(absl::string_view name) {
  static constexpr absl::string_view kNames[] = {
      "connection",        "keep-alive", "proxy-connection", "te",    "trailer",
      "transfer-encoding", "upgrade",    "content-length",   "expect"};
  return ContainsName(kNames, name);
}

HeaderList ForwardedHeaders(const HeaderList& headers,
                            absl::Span<const absl::string_view> end_to_end) {
  std::vector<absl::string_view> options = ConnectionOptions(headers);
  HeaderList out;
  out.reserve(headers.size());
  for (const auto& h : headers) {
    bool listed =
        ContainsName(options, h.first) && !ContainsName(end_to_end, h.first);
    if (!listed && !IsHopByHop(h.first)) out.push_back(h);
  }
  return out;
}

absl::string_view ReasonPhrase(int status) {
  return ToStringView(http::obsolete_reason(static_cast<http::status>(status)));
}

}  // namespace medlarwalk
