// Structured log lines: a short sentence with fields, prefixed with the name of
// the component that logs it.
//
//   LogInfo(kPart, "Request sent.", {{"request", id.Text()},
//                                    {"endpoint", choice.Text()}});
//
// is written in text form as
//   2026-01-31T12:00:00.000Z info  router: Request sent. request=r1 endpoint=e4
// and in JSON form as one object per line. API keys of client accounts must
// never be passed as a field; tests search the logs for them.
//
// Index
//   LogLevel, LogField, LogOptions      types
//   StartLog, SetLogLevel               set-up
//   LogDebug ... LogError, LogLineWith  writing
//   LogLimiter                          limits the rate of one kind of line

#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/time.h"

namespace hickorystand {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One named value of a log line.
struct LogField {
  std::string_view name;
  std::string value;
};

using LogFields = std::initializer_list<LogField>;

// How this process writes its log. The output is the file, standard error, or
// standard output.
struct LogOptions {
  LogLevel level = LogLevel::kInfo;
  bool json = false;
  std::string file;  // empty: standard error
  // Log to standard output; lines that would block are dropped.
  bool standard_output = false;
};

// Sets up logging; call once, before any task starts.
void StartLog(const LogOptions& options);

// Sets the lowest level that is written.
void SetLogLevel(LogLevel level);

// Lines dropped since the start because standard output was not writable.
int64_t LogLinesDropped();

// Writes one line, unless its level is below the configured one.
void LogLine(LogLevel level,
             std::string_view part,
             std::string_view sentence,
             LogFields fields);

// Like LogLine(), for a number of fields that is known only at run time.
void LogLineWith(LogLevel level,
                 std::string_view part,
                 std::string_view sentence,
                 std::span<const LogField> fields);

inline void LogDebug(std::string_view part,
                     std::string_view sentence,
                     LogFields fields = {}) {
  LogLine(LogLevel::kDebug, part, sentence, fields);
}
inline void LogInfo(std::string_view part,
                    std::string_view sentence,
                    LogFields fields = {}) {
  LogLine(LogLevel::kInfo, part, sentence, fields);
}
inline void LogWarning(std::string_view part,
                       std::string_view sentence,
                       LogFields fields = {}) {
  LogLine(LogLevel::kWarning, part, sentence, fields);
}
inline void LogError(std::string_view part,
                     std::string_view sentence,
                     LogFields fields = {}) {
  LogLine(LogLevel::kError, part, sentence, fields);
}

// Parses a level name (debug, info, warning, error); false if it is unknown.
bool ParseLogLevel(std::string_view name, LogLevel& level);

// A token bucket that limits how often one kind of line is written. Without it
// a caller that sends bad requests in a loop would fill the log and slow down
// all other requests.
class LogLimiter {
 public:
  // Allows a burst of `burst` lines, and one more line per `interval`.
  LogLimiter(int burst, Duration interval);

  // Whether a line may be written now; consumes a token if so.
  bool Allow(Instant now);

  // Lines suppressed since the last one that was allowed.
  int64_t Suppressed() const { return this->suppressed; }

 private:
  int burst;
  Duration interval;
  double tokens;
  Instant last{};
  int64_t suppressed = 0;
};

}  // namespace hickorystand
