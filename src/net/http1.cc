#include "http1.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

constexpr int kHttp11 = 11;  // Beast's version number for HTTP/1.1.

namespace beast = boost::beast;
namespace http = boost::beast::http;
using beast::error_code;

absl::string_view ToStringView(beast::string_view s) {
  return {s.data(), s.size()};
}

// Passes the parts of a message parsed by Beast to a MessageSink.
template <bool kRequest>
class BeastParser : public http::basic_parser<kRequest> {
 public:
  explicit BeastParser(MessageSink* sink) : sink_(sink) {}

 private:
  void on_request_impl(http::verb, beast::string_view method,
                       beast::string_view target, int version,
                       error_code&) override {
    head_.accepts_chunked = version >= kHttp11;
    head_.method = std::string(ToStringView(method));
    head_.target = std::string(ToStringView(target));
  }
  void on_response_impl(int code, beast::string_view reason, int,
                        error_code&) override {
    head_.status = code;
    head_.reason = std::string(ToStringView(reason));
  }
  void on_field_impl(http::field, beast::string_view name,
                     beast::string_view value, error_code&) override {
    if (head_done_) return;  // Trailers are not forwarded.
    head_.headers.emplace_back(std::string(ToStringView(name)),
                               std::string(ToStringView(value)));
  }
  void on_header_impl(error_code&) override {
    head_done_ = true;
    head_.keep_alive = this->keep_alive();
    auto n = this->content_length();
    if (n) head_.content_length = *n;
    head_.framing = this->chunked()    ? BodyFraming::kChunked
                    : n                ? BodyFraming::kLength
                    : this->need_eof() ? BodyFraming::kClose
                                       : BodyFraming::kNone;
    sink_->on_head(std::move(head_));
  }
  void on_body_init_impl(boost::optional<std::uint64_t> const&,
                         error_code&) override {}
  std::size_t on_body_impl(beast::string_view body, error_code&) override {
    sink_->on_body(ToStringView(body));
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, beast::string_view,
                            error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view body,
                                 error_code&) override {
    sink_->on_body(ToStringView(body));
    return body.size();
  }
  void on_finish_impl(error_code&) override { sink_->on_complete(); }

  MessageSink* sink_;
  MessageHead head_;
  bool head_done_ = false;
};

absl::Status StatusFromBeast(const error_code& ec) {
  if (ec == http::error::body_limit || ec == http::error::header_limit) {
    return absl::ResourceExhaustedError(ec.message());
  }
  return absl::InvalidArgumentError(ec.message());
}

}  // namespace

absl::string_view BodyFramingName(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kNone:
      return "none";
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunked:
      return "chunked";
    case BodyFraming::kClose:
      return "close";
  }
  return "";
}

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
  impl_->Visit([this](auto& p) {
    p.eager(true);
    p.header_limit(header_limit_);
    p.body_limit(body_limit_);
  });
}

absl::Status Http1Parser::Feed(std::string* buf) {
  if (done() || buf->empty()) return absl::OkStatus();
  impl_->started = true;
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
  if (ec && ec != http::error::need_more) return StatusFromBeast(ec);
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
  if (impl_->answer) impl_->answer->skip(true);
}

void AppendHeader(std::string* out, absl::string_view name,
                  absl::string_view value) {
  absl::StrAppend(out, name, ": ", value, "\r\n");
}

bool IsHopByHop(absl::string_view name) {
  static constexpr absl::string_view kNames[] = {
      "connection",        "keep-alive", "proxy-connection", "te",    "trailer",
      "transfer-encoding", "upgrade",    "content-length",   "expect"};
  for (absl::string_view n : kNames) {
    if (absl::EqualsIgnoreCase(name, n)) return true;
  }
  return false;
}

absl::string_view ReasonPhrase(int status) {
  return ToStringView(http::obsolete_reason(static_cast<http::status>(status)));
}

}  // namespace medlarwalk
