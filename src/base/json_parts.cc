#include "json_parts.h"

#include <cstddef>
#include <vector>

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
  std::vector<bool> open;  // Of the awaited brackets, whether each is a '}'.
  while (at < text.size()) {
    char c = text[at];
    if (c == '"') {
      at = EndOfString(text, at);
      continue;
    }
    if (open.empty() && (c == '}' || c == ']' || c == ',')) return at;
    if (c == '{' || c == '[') open.push_back(c == '{');
    if (!open.empty() && c == (open.back() ? '}' : ']')) open.pop_back();
    ++at;
  }
  return absl::string_view::npos;
}

using OnPart =
    std::function<void(absl::string_view name, absl::string_view value)>;

// Reads the name and the colon that begin at `text[*at]` and moves `*at` behind
// them. Returns false if they are not there.
bool ReadName(absl::string_view text, size_t* at, absl::string_view* name) {
  if (*at >= text.size() || text[*at] != '"') return false;
  size_t end = EndOfString(text, *at);
  if (end == absl::string_view::npos) return false;
  *name = text.substr(*at + 1, end - *at - 2);
  *at = text.find_first_not_of(" \t\r\n", end);
  if (*at == absl::string_view::npos || text[*at] != ':') return false;
  ++*at;
  return true;
}

bool Split(absl::string_view text, char open, char close, const OnPart& f) {
  text = absl::StripAsciiWhitespace(text);
  if (text.empty() || text.front() != open) return false;
  size_t at = 1;
  for (bool first = true;; first = false) {
    while (at < text.size() && absl::ascii_isspace(text[at])) ++at;
    if (at < text.size() && text[at] == close && first) break;
    absl::string_view name;
    if (open == '{' && !ReadName(text, &at, &name)) return false;
    size_t end = EndOfValue(text, at);
    f(name, absl::StripAsciiWhitespace(text.substr(at, end - at)));
    if (end == absl::string_view::npos) return false;
    at = end;
    if (text[at] != ',') break;
    ++at;
  }
  return at < text.size() && text[at] == close && at + 1 == text.size();
}

}  // namespace

bool ForEachJsonMember(absl::string_view text,
                       const std::function<void(absl::string_view name,
                                                absl::string_view value)>& f) {
  return Split(text, '{', '}', f);
}

bool ForEachJsonElement(absl::string_view text,
                        const std::function<void(absl::string_view value)>& f) {
  return Split(text, '[', ']',
               [&f](absl::string_view, absl::string_view value) { f(value); });
}

}  // namespace medlarwalk
