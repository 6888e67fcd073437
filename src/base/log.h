// Event log: writes one line of key=value pairs per event, through log4cxx.
#ifndef MEDLARWALK_LOG_H_
#define MEDLARWALK_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace medlarwalk {

// One key-value pair of a log line, with the value rendered as text.
struct Field {
  Field(absl::string_view k, absl::string_view v) : key(k), value(v) {}
  Field(absl::string_view k, const char* v) : key(k), value(v) {}
  Field(absl::string_view k, const std::string& v) : key(k), value(v) {}
  Field(absl::string_view k, long long v) : key(k), value(std::to_string(v)) {}
  Field(absl::string_view k, unsigned long long v)
      : key(k), value(std::to_string(v)) {}
  Field(absl::string_view k, int v) : key(k), value(std::to_string(v)) {}
  Field(absl::string_view k, long v) : key(k), value(std::to_string(v)) {}
  Field(absl::string_view k, unsigned long v)
      : key(k), value(std::to_string(v)) {}
  Field(absl::string_view k, double v) : key(k), value(std::to_string(v)) {}
  std::string key;
  std::string value;
};

// Configures log4cxx to write to standard output. `process` names the role and
// host and becomes the first pair of every line. `level` is debug, info or
// warn. Must be called once, before the event loop starts.
void InitLog(absl::string_view process, absl::string_view level);

// Returns `event` and `fields` rendered as `event=NAME k=v ...`; values with
// spaces or quotes are quoted. Exposed for tests.
std::string FormatEvent(absl::string_view event,
                        absl::Span<const Field> fields);

// Writes one event line at info level. Never blocks: a line is dropped and
// counted when the rate limit is exceeded or the reader of the log does not
// keep up. Thread safety: loop thread only.
void LogEvent(absl::string_view event, std::initializer_list<Field> fields);
void LogEvent(absl::string_view event, absl::Span<const Field> fields);
// Writes one event line at warn level. The rate limit and thread safety are
// those of LogEvent().
void LogWarn(absl::string_view event, std::initializer_list<Field> fields);

// Returns whether a line written now would not be dropped.
bool LogAcceptsLine();

// Returns the number of log lines dropped since the process started.
int64_t LogLinesDropped();

}  // namespace medlarwalk

#endif  // MEDLARWALK_LOG_H_
