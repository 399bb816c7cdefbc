// Reconstructs what happened to one request from the structured log lines
// (JSON) of relay hosts.
//
//   RequestTrace trace("72adbe3f3c42dcf2");
//   trace.Read("front-1", stream);     // once per log
//   trace.Finish();
//   out << trace.Text();
//
// Index
//   LogEntry       one log line about the request
//   SkippedLines   lines of an input that are not log lines of a relay host
//   RequestTrace   reads the logs and reports the course of the request

#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/json.h"

namespace hickorystand {

// One log line about the request.
struct LogEntry {
  std::string time;  // UTC with milliseconds, as in 2026-01-31T12:00:00.000Z
  int64_t unix_ms = 0;
  size_t place = 0;  // index among the entries in the order of reading
  std::string host;
  std::string part;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;

  // The value of a field; empty if the line doesn't have it.
  std::string_view At(std::string_view name) const;

  // The role in which the host wrote the line: "ingress" or "scheduler"; "host"
  // for lines of other log parts.
  std::string_view Role() const;
};

// Counts the lines of an input that are not log lines of a relay host.
struct SkippedLines {
  std::string input;
  int64_t count = 0;
  int64_t first = 0;  // line number of the first, from 1

  bool operator==(const SkippedLines&) const = default;
};

// Collects the log lines of one request and derives its outcome. Times are in
// milliseconds, by the clock of the host that wrote the line.
class RequestTrace {
 public:
  // Number of lines that are kept, and bytes of a line that are read. They
  // bound the memory that inputs of any size take.
  static constexpr size_t kMaxEntries = 1000;
  static constexpr size_t kMaxLineBytes = size_t{16} << 10;

  explicit RequestTrace(std::string request) : request(std::move(request)) {}

  // Reads the log of `host` until the end of the stream. If a line has a file
  // name before its JSON object, as in the output of grep, then the host of
  // this line is the one the file is named after. Returns false if the input
  // has lines, but no log line of a relay host.
  bool Read(const std::string& host, std::istream& in);

  // Sorts the lines by time. Call once, after the last Read().
  void Finish();

  bool Empty() const { return this->entries.empty(); }
  const std::vector<LogEntry>& Entries() const { return this->entries; }
  const std::vector<SkippedLines>& Skipped() const { return this->skipped; }
  int64_t Dropped() const { return this->dropped; }

  // The line of the answer or event that ended the request for its caller; null
  // if there is none.
  const LogEntry* End() const;

  // States how the request ended, at which host, and at which endpoints it was
  // sent to run.
  std::string Outcome() const;

  // The places where the request was and the milliseconds spent at each, in
  // order of time.
  std::vector<std::pair<std::string, int64_t>> TimeByPlace() const;

  // The full report, as text or as a JSON document.
  std::string Text() const;
  JsonWriter Document() const;

 private:
  // Returns whether this is a log line of a relay host; stores it if it is
  // about the request.
  bool ReadLine(const std::string& host, std::string_view line);
  std::vector<std::string> MissingHosts() const;

  std::string request;
  std::vector<LogEntry> entries;
  std::vector<SkippedLines> skipped;
  int64_t dropped = 0;  // lines about the request beyond kMaxEntries
};

// The host after which a log file is named: "front-1" for "logs/front-1.log".
std::string HostFromLogPath(std::string_view path);

// Describes a log line in a sentence for operators.
std::string Explain(const LogEntry& entry);

}  // namespace hickorystand
