#include "log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <poll.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "log_rate_limiter.h"

namespace medlarwalk {
namespace {

std::string& ProcessName() {
  static std::string name = "medlarwalk";
  return name;
}

log4cxx::LoggerPtr Logger() {
  static log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("medlarwalk");
  return logger;
}

// Sustained log lines per second, and burst size in lines. The rate is several
// times what a busy entry writes, and a tenth of the rate that would take a
// noticeable share of the entry's CPU time.
constexpr double kLinesPerSecond = 400;
constexpr double kLineBurst = 2000;

LogRateLimiter& RateLimiter() {
  static LogRateLimiter log_rate_limiter(kLinesPerSecond, kLineBurst);
  return log_rate_limiter;
}

// Returns whether standard output accepts a line without blocking.
bool IsStdoutWritable() {
  pollfd p{STDOUT_FILENO, POLLOUT, 0};
  return poll(&p, 1, 0) != 0;
}

// Returns whether a line may be written now. Also logs how many lines were
// dropped since the last such report.
bool AllowLine() {
  if (!RateLimiter().AllowLine(BootClock().Now(), IsStdoutWritable()))
    return false;
  if (int64_t n = RateLimiter().TakeUnreported()) {
    LOG4CXX_WARN(Logger(), FormatEvent("lines_dropped", {{"lines", n}}));
  }
  return true;
}

bool NeedsQuotes(absl::string_view v) {
  if (v.empty()) return true;
  for (char c : v) {
    if (c == ' ' || c == '"' || c == '=' || c == '\n') return true;
  }
  return false;
}

void AppendValue(std::string& out, absl::string_view v) {
  if (!NeedsQuotes(v)) {
    out.append(v.data(), v.size());
    return;
  }
  out.push_back('"');
  for (char c : v) {
    if (c == '"' || c == '\\') out.push_back('\\');
    out.push_back(c == '\n' ? ' ' : c);
  }
  out.push_back('"');
}

}  // namespace

void InitLog(absl::string_view process, absl::string_view level) {
  ProcessName() = std::string(process);
  auto layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("ts=%d{ISO8601} level=%p %m%n"));
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, LOG4CXX_STR("System.out"));
  log4cxx::BasicConfigurator::configure(appender);
  auto root = log4cxx::Logger::getRootLogger();
  if (level == "debug") {
    root->setLevel(log4cxx::Level::getDebug());
  } else if (level == "warn") {
    root->setLevel(log4cxx::Level::getWarn());
  } else {
    root->setLevel(log4cxx::Level::getInfo());
  }
}

std::string FormatEvent(absl::string_view event,
                        absl::Span<const Field> fields) {
  std::string out = absl::StrCat("proc=", ProcessName(), " event=");
  AppendValue(out, event);
  for (const Field& f : fields) {
    out.push_back(' ');
    out.append(f.key);
    out.push_back('=');
    AppendValue(out, f.value);
  }
  return out;
}

void LogEvent(absl::string_view event, std::initializer_list<Field> fields) {
  if (!Logger()->isInfoEnabled() || !AllowLine()) return;
  LOG4CXX_INFO(Logger(), FormatEvent(event, fields));
}

void LogEvent(absl::string_view event, absl::Span<const Field> fields) {
  if (!Logger()->isInfoEnabled() || !AllowLine()) return;
  LOG4CXX_INFO(Logger(), FormatEvent(event, fields));
}

void LogWarn(absl::string_view event, std::initializer_list<Field> fields) {
  if (!AllowLine()) return;
  LOG4CXX_WARN(Logger(), FormatEvent(event, fields));
}

bool LogAcceptsLine() {
  return RateLimiter().HasRoom(BootClock().Now()) && IsStdoutWritable();
}

int64_t LogLinesDropped() { return RateLimiter().dropped(); }

}  // namespace medlarwalk
