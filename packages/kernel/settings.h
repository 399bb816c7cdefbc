// Settings of a process: one INI file, fully validated against a schema at
// start-up. Errors name the file, line, key and what is allowed.
//
//   const auto settings = Settings::Load(path, rules);
//   if (settings) { Listen(settings->Text("gateway", "listen")); }
//
// Index
//   SettingType, SettingRule       the schema
//   Settings                       the validated values
//   ParseDuration, ParseAddress    values outside of a settings file

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

// The format of a setting's value.
enum class SettingType {
  kText,       // any non-empty text
  kInteger,    // an integer within [minimum, maximum]
  kShare,      // a decimal number of at least 0, such as 0.2
  kDuration,   // a number with unit: 250ms, 5s, 10m, 24h
  kBoolean,    // true or false
  kAddress,    // IP:PORT, or [IPv6]:PORT
  kAddresses,  // addresses separated by ';'
  kChoice,     // one of `choices`
};

// The schema of one setting. `minimum` and `maximum` apply to integers, and to
// durations in milliseconds.
struct SettingRule {
  std::string section;
  std::string key;
  SettingType type = SettingType::kText;
  std::string fallback;  // used when absent; unused if required
  bool required = false;
  int64_t minimum = 0;
  int64_t maximum = INT64_MAX;
  std::vector<std::string> choices;
  std::string help;  // one sentence for docs and error messages
};

// The validated settings of one process.
class Settings {
 public:
  // Reads and validates a file. The error's message lists every fault, one per
  // line, as FILE:LINE: [section] key: what is wrong; what is allowed.
  static Result<Settings> Load(const std::string& path,
                               const std::vector<SettingRule>& rules);

  // Like Load(), from text; `name` is the file name in messages.
  static Result<Settings> Parse(const std::string& text,
                                const std::string& name,
                                const std::vector<SettingRule>& rules);

  // The value of a setting. Reading one that is not in the schema, or with
  // another type, is a programming error and fails an assertion.
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

// Parses a duration such as 250ms, 5s, 10m or 24h, of at most 100 years.
Result<Duration> ParseDuration(std::string_view text);

// An IP address with a port.
struct SocketAddress {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
};

// Parses IP:PORT or [IPv6]:PORT. Host names are rejected, because hosts connect
// by IP address only.
Result<SocketAddress> ParseAddress(std::string_view text);

}  // namespace hickorystand
