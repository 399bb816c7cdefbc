// Host settings: one INI file, checked whole against a schema before anything
// starts. A wrong file is refused with file, line, key and what is allowed.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"
#include "kernel/time.h"

namespace hickorystand {

// What a setting's value must look like.
enum class SettingType {
  kText,       // any text, not empty
  kInteger,    // a whole number within [minimum, maximum]
  kShare,      // a decimal number of at least 0, such as 0.2
  kDuration,   // a number with unit: 250ms, 5s, 10m, 24h
  kBoolean,    // true or false
  kAddress,    // IP:PORT, or [IPv6]:PORT
  kAddresses,  // addresses separated by ';'
  kChoice,     // one of `choices`
};

// One setting that may stand in the file.
struct SettingRule {
  std::string section;
  std::string key;
  SettingType type = SettingType::kText;
  std::string fallback;  // used when absent; empty and required: must be given
  bool required = false;
  int64_t minimum = 0;
  int64_t maximum = INT64_MAX;
  std::vector<std::string> choices;
  std::string help;  // one sentence for docs and error messages
};

// The checked settings of one process.
class Settings {
 public:
  // Reads and checks a file. The error's message lists every fault found, one
  // a line, as FILE:LINE: [section] key: what is wrong; what is allowed.
  static Result<Settings> Load(const std::string& path,
                               const std::vector<SettingRule>& rules);

  // As Load(), from text; `name` stands for the file in messages.
  static Result<Settings> Parse(const std::string& text,
                                const std::string& name,
                                const std::vector<SettingRule>& rules);

  // The value of a setting. Asking for one that the schema lacks, or as
  // another type than it has, is a fault of the program and is asserted.
  const std::string& Text(std::string_view section, std::string_view key) const;
  int64_t Integer(std::string_view section, std::string_view key) const;
  double Share(std::string_view section, std::string_view key) const;
  Duration Length(std::string_view section, std::string_view key) const;
  bool Flag(std::string_view section, std::string_view key) const;
  std::vector<std::string> List(std::string_view section,
                                std::string_view key) const;

 private:
  std::map<std::string, std::string, std::less<>> values;
};

// Reads a length of time such as 250ms, 5s, 10m or 24h.
Result<Duration> ParseDuration(std::string_view text);

// An IP address with a port.
struct SocketAddress {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
};

// Reads IP:PORT or [IPv6]:PORT. Names are refused: hosts talk by IP numbers.
Result<SocketAddress> ParseAddress(std::string_view text);

}  // namespace hickorystand
