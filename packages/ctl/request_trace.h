// What happened to one request, read from the structured log lines of relay
// hosts.
//
//   RequestTrace trace("72adbe3f3c42dcf2");
//   trace.Read("front-1", stream);     // once for each host
//   trace.Finish();
//   out << trace.Text();
//
// Index
//   LogEntry       one line about the request
//   ForeignLines   lines of an input that no host wrote
//   RequestTrace   reads the inputs, and explains the request

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

// One line about the request.
struct LogEntry {
  std::string time;  // UTC with milliseconds, as in 2026-01-31T12:00:00.000Z
  int64_t unix_ms = 0;
  size_t place = 0;  // among all lines about the request, as read
  std::string host;
  std::string part;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;

  // A field's value; empty if there is none.
  std::string_view At(std::string_view name) const;

  // What the host was for the request: "ingress" or "scheduler"; "host" for
  // lines of other parts.
  std::string_view Role() const;
};

// Lines of an input that no host wrote.
struct ForeignLines {
  std::string input;
  int64_t count = 0;
  int64_t first = 0;  // its number, from 1

  bool operator==(const ForeignLines&) const = default;
};

class RequestTrace {
 public:
  // Lines that are kept of one request, and the length up to which a line is
  // read. They bound the memory that inputs of any size take.
  static constexpr size_t kMostEntries = 1000;
  static constexpr size_t kLongestLine = size_t{16} << 10;

  explicit RequestTrace(std::string request) : request(std::move(request)) {}

  // Reads lines of a host, up to the end. A file name before a line's JSON
  // object, as grep writes it, names the host of this line instead. False if
  // the input has lines, but none of a host.
  bool Read(const std::string& host, std::istream& in);

  // Orders what was read by time. To be called once, after the last Read().
  void Finish();

  bool Empty() const { return this->entries.empty(); }
  const std::vector<LogEntry>& Entries() const { return this->entries; }
  const std::vector<ForeignLines>& Foreign() const { return this->foreign; }
  int64_t Dropped() const { return this->dropped; }

  // The line that ended the request for its caller; null if there is none.
  const LogEntry* End() const;

  // How the request ended, by which host, and whether an endpoint ran it.
  std::string Outcome() const;

  // Where the request was, and for how many milliseconds, in order.
  std::vector<std::pair<std::string, int64_t>> Stays() const;

  // The whole, for a person or as a document.
  std::string Text() const;
  JsonWriter Document() const;

 private:
  // Whether a host wrote the line.
  bool ReadLine(const std::string& host, std::string_view line);
  std::vector<std::string> MissingHosts() const;

  std::string request;
  std::vector<LogEntry> entries;
  std::vector<ForeignLines> foreign;
  int64_t dropped = 0;  // lines about the request beyond the bound
};

// The host that a log file is named after: "front-1" of "logs/front-1.log".
std::string HostOfLog(std::string_view path);

// A line in plain words.
std::string Explain(const LogEntry& entry);

}  // namespace hickorystand
