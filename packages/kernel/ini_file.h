// An INI file with the line of every section and key, for messages that point
// at what is wrong. GKeyFile reads it.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorystand {

// The faults found in one file, in the order in which they were added.
class IniFaults {
 public:
  explicit IniFaults(std::string file) : file(std::move(file)) {}

  // Adds FILE:LINE: what.
  void Add(int line, const std::string& what);

  // All faults, one a line; empty if there is none.
  const std::string& Text() const { return this->text; }
  const std::string& File() const { return this->file; }

 private:
  std::string file;
  std::string text;
};

// One key of a section.
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;

  auto operator<=>(const IniEntry&) const = default;
};

// One section.
struct IniSection {
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;

  const IniEntry* Find(std::string_view key) const;

  auto operator<=>(const IniSection&) const = default;
};

// Reads a file's text. Bad syntax, and sections and keys that stand twice, are
// added to the faults.
std::vector<IniSection> ReadIni(const std::string& text, IniFaults& faults);

// The section of a name; null if there is none.
const IniSection* FindSection(const std::vector<IniSection>& sections,
                              std::string_view name);

// A text without the spaces around it.
std::string TrimSpaces(std::string_view text);

}  // namespace hickorystand
