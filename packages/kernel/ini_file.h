// INI files, parsed with GKeyFile, with the line number of every section and
// key for error messages.
//
//   IniFaults faults("host.ini");
//   const auto sections = ReadIni(text, faults);
//   if (!faults.Text().empty()) { ... }
//
// Index
//   IniFaults              the faults found in one file
//   IniSection, IniEntry   one section and one of its keys
//   ReadIni, FindSection   parsing and lookup
//   TrimSpaces             a text without surrounding white space

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

  // Adds a fault, which is reported as "FILE:LINE: what".
  void Add(int line, const std::string& what);

  // All faults, one per line; empty if there is none.
  const std::string& Text() const { return this->text; }
  const std::string& File() const { return this->file; }

 private:
  std::string file;
  std::string text;
};

// One key of a section with its value.
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;

  auto operator<=>(const IniEntry&) const = default;
};

// One section with its keys in file order.
struct IniSection {
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;

  // The entry of a key; null if there is none.
  const IniEntry* Find(std::string_view key) const;

  auto operator<=>(const IniSection&) const = default;
};

// Parses a file's text. Syntax errors and duplicate sections and keys are added
// to the faults.
std::vector<IniSection> ReadIni(const std::string& text, IniFaults& faults);

// The section with a name; null if there is none.
const IniSection* FindSection(const std::vector<IniSection>& sections,
                              std::string_view name);

// A text without leading and trailing spaces, tabs and carriage returns.
std::string TrimSpaces(std::string_view text);

}  // namespace hickorystand
