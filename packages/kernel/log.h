// Logs: short sentences, each with the prefix of the part that speaks.
//
//   LogInfo(kPart, "Request sent.", {{"request", id.Text()},
//                                    {"endpoint", choice.Text()}});
//
// prints in text form
//   2026-01-31T12:00:00.000Z info  router: Request sent. request=r1 endpoint=e4
// and in JSON form one object a line. Keys of client accounts must never be
// passed as a field; tests search the logs for them.

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

// One named value beside the sentence.
struct LogField {
  std::string_view name;
  std::string value;
};

using LogFields = std::initializer_list<LogField>;

// How this process writes its log.
struct LogOptions {
  LogLevel level = LogLevel::kInfo;
  bool json = false;
  std::string file;  // empty: standard error
  // Instead of standard error; a line that can't be written at once is dropped.
  bool standard_output = false;
};

// Sets up logging; call once, before any task starts.
void StartLog(const LogOptions& options);

// Sets the least level that is written from now on.
void SetLogLevel(LogLevel level);

// Lines dropped since the start because nobody read standard output.
int64_t LogLinesDropped();

// Writes one line, unless its level is below the one set.
void LogLine(LogLevel level,
             std::string_view part,
             std::string_view sentence,
             LogFields fields);

// As LogLine(), with fields whose number is known only when it runs.
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

// The level of a name (debug, info, warning, error); false if there is none.
bool ParseLogLevel(std::string_view name, LogLevel& level);

// Bounds how often one kind of line is written. Without it a caller who sends
// bad requests in a loop fills the log and slows everybody down.
class LogLimiter {
 public:
  // Allows `burst` lines at once and one more each `interval`.
  LogLimiter(int burst, Duration interval);

  // Whether a line may be written now.
  bool Allow(Instant now);

  // How many lines were held back since the last one that was allowed.
  int64_t Suppressed() const { return this->suppressed; }

 private:
  int burst;
  Duration interval;
  double tokens;
  Instant last{};
  int64_t suppressed = 0;
};

}  // namespace hickorystand
