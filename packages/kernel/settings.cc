#include "kernel/settings.h"

#include <gio/gio.h>
#include <glib.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <fstream>
#include <optional>
#include <sstream>

#include "kernel/ini_file.h"

namespace hickorystand {
namespace {

struct Unit {
  std::string_view suffix;
  Duration length;
};

constexpr std::array kUnits = {
    Unit{"ms", std::chrono::milliseconds(1)},
    Unit{"s", std::chrono::seconds(1)},
    Unit{"m", std::chrono::minutes(1)},
    Unit{"h", std::chrono::hours(1)},
};

std::optional<int64_t> ParseInteger(std::string_view text) {
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

// Parses a finite, non-negative decimal number; rejects words such as "nan".
std::optional<double> ParseShare(std::string_view text) {
  double value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() ||
      !std::isfinite(value) || value < 0) {
    return std::nullopt;
  }
  return value;
}

std::string Join(const std::vector<std::string>& words) {
  std::string out;
  for (const std::string& word : words) {
    out += (out.empty() ? "" : ", ") + word;
  }
  return out;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream in(text);
  std::string item;
  while (std::getline(in, item, ';')) {
    if (const std::string trimmed = TrimSpaces(item); !trimmed.empty()) {
      items.push_back(trimmed);
    }
  }
  return items;
}

std::string FullName(std::string_view section, std::string_view key) {
  return std::string(section) + "/" + std::string(key);
}

// Explains how a value violates its rule and what is allowed; empty if the
// value is valid.
std::string CheckValue(const SettingRule& rule, const std::string& value) {
  switch (rule.type) {
    case SettingType::kText:
      return value.empty() ? "is empty; any text is allowed" : "";
    case SettingType::kInteger: {
      const auto number = ParseInteger(value);
      if (!number || *number < rule.minimum || *number > rule.maximum) {
        return "'" + value + "' is not allowed; a whole number from " +
               std::to_string(rule.minimum) + " to " +
               std::to_string(rule.maximum) + " is";
      }
      return "";
    }
    case SettingType::kShare:
      return ParseShare(value) ? ""
                               : "'" + value +
                                     "' is not allowed; a decimal number of "
                                     "at least 0, such as 0.2, is";
    case SettingType::kDuration: {
      const auto length = ParseDuration(value);
      const auto in_range = [&](int64_t ms) {
        return ms >= rule.minimum && ms <= rule.maximum;
      };
      if (!length || !in_range(length->count() / 1000)) {
        return "'" + value +
               "' is not allowed; a length of time such as "
               "250ms, 5s, 10m or 24h" +
               (rule.maximum == INT64_MAX
                    ? std::string()
                    : " from " + std::to_string(rule.minimum) + "ms to " +
                          std::to_string(rule.maximum) + "ms") +
               " is";
      }
      return "";
    }
    case SettingType::kBoolean:
      return value == "true" || value == "false"
                 ? ""
                 : "'" + value + "' is not allowed; true or false is";
    case SettingType::kAddress: {
      const auto address = ParseAddress(value);
      return address ? "" : address.error().message;
    }
    case SettingType::kAddresses: {
      for (const std::string& item : SplitList(value)) {
        if (const auto address = ParseAddress(item); !address) {
          return address.error().message;
        }
      }
      return "";
    }
    case SettingType::kChoice:
      return std::ranges::find(rule.choices, value) != rule.choices.end()
                 ? ""
                 : "'" + value + "' is not allowed; one of " +
                       Join(rule.choices) + " is";
  }
  return "";
}

void CheckUnknown(const std::vector<IniSection>& sections,
                  const std::vector<SettingRule>& rules,
                  IniFaults& faults) {
  std::map<std::string, std::vector<std::string>> known;
  for (const SettingRule& rule : rules) {
    known[rule.section].push_back(rule.key);
  }
  for (const IniSection& section : sections) {
    const auto found = known.find(section.name);
    if (found == known.end()) {
      std::vector<std::string> names;
      for (const auto& [name, keys] : known) {
        names.push_back(name);
      }
      faults.Add(section.line, "[" + section.name +
                                   "]: unknown section; known ones are " +
                                   Join(names));
      continue;
    }
    for (const IniEntry& entry : section.entries) {
      if (std::ranges::find(found->second, entry.key) == found->second.end()) {
        faults.Add(entry.line, "[" + section.name + "] " + entry.key +
                                   ": unknown key; known ones are " +
                                   Join(found->second));
      }
    }
  }
}

}  // namespace

Result<Settings> Settings::Load(const std::string& path,
                                const std::vector<SettingRule>& rules) {
  std::ifstream in(path);
  if (!in) {
    return Fail(ErrorKind::kBadSetting, path + ": the file can't be read");
  }
  std::stringstream text;
  text << in.rdbuf();
  return Parse(text.str(), path, rules);
}

Result<Settings> Settings::Parse(const std::string& text,
                                 const std::string& name,
                                 const std::vector<SettingRule>& rules) {
  IniFaults faults(name);
  const std::vector<IniSection> sections = ReadIni(text, faults);
  CheckUnknown(sections, rules, faults);
  Settings settings;
  for (const SettingRule& rule : rules) {
    const std::string full = FullName(rule.section, rule.key);
    const IniSection* section = FindSection(sections, rule.section);
    const IniEntry* entry =
        section == nullptr ? nullptr : section->Find(rule.key);
    if (entry == nullptr) {
      if (rule.required) {
        faults.Add(1, "[" + rule.section + "] " + rule.key + ": is missing; " +
                          rule.help);
      }
      settings.values[full] = rule.fallback;
      continue;
    }
    if (const std::string problem = CheckValue(rule, entry->value);
        !problem.empty()) {
      faults.Add(entry->line,
                 "[" + rule.section + "] " + rule.key + ": " + problem);
    }
    settings.values[full] = entry->value;
  }
  if (!faults.Text().empty()) {
    return Fail(ErrorKind::kBadSetting, faults.Text());
  }
  return settings;
}

const std::string& Settings::Text(std::string_view section,
                                  std::string_view key) const {
  const auto found = this->values.find(FullName(section, key));
  assert(found != this->values.end() && "the schema has no such setting");
  return found->second;
}

int64_t Settings::Integer(std::string_view section,
                          std::string_view key) const {
  const auto number = ParseInteger(this->Text(section, key));
  assert(number && "the setting is not a whole number in the schema");
  return *number;
}

double Settings::Share(std::string_view section, std::string_view key) const {
  const auto number = ParseShare(this->Text(section, key));
  assert(number && "the setting is not a share in the schema");
  return *number;
}

Duration Settings::Length(std::string_view section,
                          std::string_view key) const {
  const auto length = ParseDuration(this->Text(section, key));
  assert(length && "the setting is not a length of time in the schema");
  return *length;
}

bool Settings::Flag(std::string_view section, std::string_view key) const {
  return this->Text(section, key) == "true";
}

std::vector<std::string> Settings::List(std::string_view section,
                                        std::string_view key) const {
  return SplitList(this->Text(section, key));
}

Result<Duration> ParseDuration(std::string_view text) {
  const size_t digits =
      std::min(text.find_first_not_of("0123456789."), text.size());
  const auto number = ParseShare(text.substr(0, digits));
  const auto unit =
      std::ranges::find(kUnits, text.substr(digits), &Unit::suffix);
  constexpr double kMaxSeconds = 100.0 * 365 * 24 * 3600;  // 100 years
  if (!number || unit == kUnits.end() ||
      *number * ToSeconds(unit->length) > kMaxSeconds) {
    return Fail(ErrorKind::kBadSetting,
                "'" + std::string(text) + "' is not a length of time");
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(unit->length) * *number);
}

Result<SocketAddress> ParseAddress(std::string_view text) {
  const auto invalid = [&] {
    return Fail(ErrorKind::kBadSetting,
                "'" + std::string(text) +
                    "' is not allowed; IP:PORT or [IPv6]:PORT is");
  };
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return invalid();
  }
  std::string host(text.substr(0, colon));
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  g_autoptr(GInetAddress) address =
      g_inet_address_new_from_string(host.c_str());
  const auto port = ParseInteger(text.substr(colon + 1));
  if (address == nullptr || !port || *port < 1 || *port > UINT16_MAX) {
    return invalid();
  }
  const bool ipv6 = g_inet_address_get_family(address) == G_SOCKET_FAMILY_IPV6;
  if (ipv6 != bracketed) {
    return invalid();
  }
  return SocketAddress{host, static_cast<uint16_t>(*port)};
}

}  // namespace hickorystand
