#include "json_parts.h"

#include <cstddef>
#include <string>

#include "absl/strings/ascii.h"

namespace medlarwalk {
namespace {

// Returns the position after the string that begins at `text[at]`, or npos if
// it does not end.
size_t EndOfString(absl::string_view text, size_t at) {
  for (++at; at < text.size(); ++at) {
    if (text[at] == '\\') {
      ++at;
    } else if (text[at] == '"') {
      return at + 1;
    }
  }
  return absl::string_view::npos;
}

// Returns the position of the comma or closing bracket that ends the value
// beginning at `text[at]`, or npos if the text ends within the value. A closing
// bracket of the other kind closes nothing.
size_t EndOfValue(absl::string_view text, size_t at) {
  std::string open;  // The closing brackets that are awaited.
  while (at < text.size()) {
    char c = text[at];
    if (c == '"') {
      at = EndOfString(text, at);
      continue;
    }
    if (open.empty() && (c == '}' || c == ']' || c == ',')) return at;
    if (c == '{') open += '}';
    if (c == '[') open += ']';
    if (!open.empty() && c == open.back()) open.pop_back();
    ++at;
  }
  return absl::string_view::npos;
}

JsonParts Split(absl::string_view text, char open, char close) {
  JsonParts out;
  text = absl::StripAsciiWhitespace(text);
  if (text.empty() || text.front() != open) return out;
  size_t at = 1;
  for (;;) {
    while (at < text.size() && absl::ascii_isspace(text[at])) ++at;
    if (at < text.size() && text[at] == close && out.parts.empty()) break;
    JsonParts::Part part;
    if (open == '{') {
      if (at >= text.size() || text[at] != '"') return out;
      size_t end = EndOfString(text, at);
      if (end == absl::string_view::npos) return out;
      part.name = text.substr(at + 1, end - at - 2);
      at = text.find_first_not_of(" \t\r\n", end);
      if (at == absl::string_view::npos || text[at] != ':') return out;
      ++at;
    }
    size_t end = EndOfValue(text, at);
    part.value = absl::StripAsciiWhitespace(text.substr(at, end - at));
    out.parts.push_back(part);
    if (end == absl::string_view::npos) return out;
    at = end;
    if (text[at] != ',') break;
    ++at;
  }
  out.complete = at < text.size() && text[at] == close && at + 1 == text.size();
  return out;
}

}  // namespace

JsonParts SplitJsonObject(absl::string_view text) {
  return Split(text, '{', '}');
}

JsonParts SplitJsonArray(absl::string_view text) {
  return Split(text, '[', ']');
}

}  // namespace medlarwalk
