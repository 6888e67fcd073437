#include "framing.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace medlarwalk {
namespace {

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

absl::string_view TrimBlanks(absl::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t'))
    s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t'))
    s.remove_suffix(1);
  return s;
}

// The fields of a head that decide its framing.
struct FramingFields {
  int codings = 0;  // Transfer codings, of all fields together.
  bool has_coding_field = false;
  bool other_coding = false;  // A coding that is not `chunked`.
  int lengths = 0;            // Fields that state a length.
  bool bad_length = false;
  bool lengths_differ = false;
  uint64_t length = 0;
  int hosts = 0;
};

void AddCodings(absl::string_view value, FramingFields* f) {
  f->has_coding_field = true;
  // A list may have empty elements (RFC 9110, section 5.6.1).
  for (absl::string_view coding : absl::StrSplit(value, ',')) {
    coding = TrimBlanks(coding);
    if (coding.empty()) continue;
    ++f->codings;
    f->other_coding |= !absl::EqualsIgnoreCase(coding, "chunked");
  }
}

void AddLength(absl::string_view value, FramingFields* f) {
  value = TrimBlanks(value);
  uint64_t n = 0;
  bool digits = !value.empty();
  for (char c : value) digits &= absl::ascii_isdigit(c);
  if (!digits || !absl::SimpleAtoi(value, &n)) {
    f->bad_length = true;
    return;
  }
  f->lengths_differ |= f->lengths > 0 && n != f->length;
  ++f->lengths;
  f->length = n;
}

FramingFields CollectFields(const HeaderList& headers) {
  FramingFields f;
  for (const auto& [name, value] : headers) {
    if (absl::EqualsIgnoreCase(name, "Transfer-Encoding")) {
      AddCodings(value, &f);
    } else if (absl::EqualsIgnoreCase(name, "Content-Length")) {
      AddLength(value, &f);
    } else if (absl::EqualsIgnoreCase(name, "Host")) {
      ++f.hosts;
    }
  }
  return f;
}

bool IsTokenCharacter(char c) {
  return absl::ascii_isalnum(c) ||
         absl::StrContains("!#$%&'*+-.^_`|~", absl::string_view(&c, 1));
}

bool HasControlCharacter(absl::string_view s) {
  for (char c : s) {
    if (absl::ascii_iscntrl(c) && c != '\t') return true;
  }
  return false;
}

absl::Status Malformed(absl::string_view why) {
  return absl::InvalidArgumentError(why);
}

// Decides what the fields say, whatever kind of message they belong to.
// Returns kClose if they say nothing.
absl::StatusOr<MessageFraming> FramingFromFields(bool http11,
                                                 const FramingFields& f) {
  if (f.has_coding_field) {
    if (!http11) return Malformed("Transfer-Encoding in HTTP/1.0");
    if (f.other_coding || f.codings != 1)
      return Malformed("Transfer-Encoding is not chunked");
    if (f.lengths > 0 || f.bad_length)
      return Malformed("Transfer-Encoding and Content-Length");
    return MessageFraming{BodyFraming::kChunked, 0};
  }
  if (f.bad_length) return Malformed("bad Content-Length");
  if (f.lengths_differ) return Malformed("Content-Length given twice");
  if (f.lengths > 0) return MessageFraming{BodyFraming::kLength, f.length};
  return MessageFraming{BodyFraming::kClose, 0};
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

absl::StatusOr<MessageFraming> DecideRequestFraming(bool http11,
                                                    const HeaderList& headers) {
  FramingFields f = CollectFields(headers);
  if (f.hosts > 1) return Malformed("Host given twice");
  if (f.lengths > 1) return Malformed("Content-Length given twice");
  absl::StatusOr<MessageFraming> framing = FramingFromFields(http11, f);
  if (framing.ok() && framing->body == BodyFraming::kClose)
    framing->body = BodyFraming::kNone;
  return framing;
}

bool IsStatus(int status) {
  return status >= kMinStatus && status <= kMaxStatus;
}

absl::StatusOr<MessageFraming> DecideAnswerFraming(bool http11, int status,
                                                   bool answers_head,
                                                   const HeaderList& headers) {
  if (!IsStatus(status)) return Malformed("bad status");
  if (status == kSwitchingProtocols) return Malformed("switches protocols");
  if (answers_head || status / 100 == 1 || status == kNoContent ||
      status == kNotModified) {
    return MessageFraming{};
  }
  return FramingFromFields(http11, CollectFields(headers));
}

absl::Status CheckFields(const HeaderList& headers) {
  for (const auto& [name, value] : headers) {
    bool token = !name.empty();
    for (char c : name) token &= IsTokenCharacter(c);
    if (!token) return Malformed("bad field name");
    if (HasControlCharacter(value)) return Malformed("bad field value");
  }
  return absl::OkStatus();
}

bool HasFoldedField(absl::string_view head) {
  for (size_t at = head.find('\n'); at != absl::string_view::npos;
       at = head.find('\n', at + 1)) {
    if (at + 1 < head.size() && (head[at + 1] == ' ' || head[at + 1] == '\t'))
      return true;
  }
  return false;
}

absl::Status CheckChunkExtension(absl::string_view extension) {
  return HasControlCharacter(extension)
             ? Malformed("control character in a chunk extension")
             : absl::OkStatus();
}

bool HasOpenQuoteInChunkLine(absl::string_view rest) {
  if (absl::StartsWith(rest, "\r\n")) rest.remove_prefix(2);
  size_t end = rest.find("\r\n");
  if (end == absl::string_view::npos) return false;
  bool quoted = false;
  for (size_t i = 0; i < end; ++i) {
    if (quoted && rest[i] == '\\') {
      ++i;
    } else if (rest[i] == '"') {
      quoted = !quoted;
    }
  }
  return quoted;
}

}  // namespace medlarwalk
