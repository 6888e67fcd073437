// Event log: one line of key=value pairs for each event, through log4cxx.
#ifndef MEDLARWALK_LOG_H_
#define MEDLARWALK_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "absl/strings/string_view.h"

namespace medlarwalk {

// One key and its value, already rendered as text.
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

// Sets up log4cxx to write to standard output. `process` names the role and
// host and is the first pair of every line. `level` is debug, info or warn.
// Call once, before the loop starts.
void InitLog(absl::string_view process, absl::string_view level);

// Renders `event` and `fields` as `event=NAME k=v ...`; values with spaces or
// quotes are quoted. Exposed for tests.
std::string FormatEvent(absl::string_view event,
                        std::initializer_list<Field> fields);

// Writes one event line at info (or warn) level. Never waits: past a limit, or
// when the reader does not keep up, the line is dropped and counted. Thread
// safety: loop thread.
void LogEvent(absl::string_view event, std::initializer_list<Field> fields);
void LogWarn(absl::string_view event, std::initializer_list<Field> fields);

// Lines dropped since the process started.
int64_t LogLinesDropped();

}  // namespace medlarwalk

#endif  // MEDLARWALK_LOG_H_
