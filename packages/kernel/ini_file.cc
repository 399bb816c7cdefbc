#include "kernel/ini_file.h"

#include <glib.h>

#include <algorithm>
#include <memory>
#include <sstream>

namespace hickorystand {
namespace {

struct KeyFileFree {
  void operator()(GKeyFile* file) const { g_key_file_free(file); }
};

using KeyFilePtr = std::unique_ptr<GKeyFile, KeyFileFree>;

// Collects the line number of each section and key. GKeyFile keeps no line
// numbers and merges duplicates silently, so the text is scanned separately.
std::vector<IniSection> ReadOutline(const std::string& text,
                                    IniFaults& faults) {
  std::vector<IniSection> sections;
  std::istringstream in(text);
  std::string raw;
  for (int number = 1; std::getline(in, raw); ++number) {
    const std::string line = TrimSpaces(raw);
    if (line.empty() || line[0] == '#') {
      continue;
    }
    if (line[0] == '[') {
      const std::string name = line.substr(1, line.find(']') - 1);
      if (const auto* first = FindSection(sections, name)) {
        faults.Add(number, "[" + name +
                               "]: duplicate section; first defined "
                               "in line " +
                               std::to_string(first->line));
      }
      sections.push_back({.name = name, .line = number});
    } else if (!sections.empty()) {
      IniSection& section = sections.back();
      const std::string key = TrimSpaces(line.substr(0, line.find('=')));
      if (section.Find(key) != nullptr) {
        faults.Add(number, "[" + section.name + "] " + key + ": duplicate key");
      }
      section.entries.push_back({.key = key, .line = number});
    }
  }
  return sections;
}

}  // namespace

void IniFaults::Add(int line, const std::string& what) {
  this->text += (this->text.empty() ? "" : "\n") + this->file + ":" +
                std::to_string(line) + ": " + what;
}

const IniEntry* IniSection::Find(std::string_view key) const {
  const auto found = std::ranges::find(this->entries, key, &IniEntry::key);
  return found == this->entries.end() ? nullptr : &*found;
}

std::vector<IniSection> ReadIni(const std::string& text, IniFaults& faults) {
  std::vector<IniSection> sections = ReadOutline(text, faults);
  const KeyFilePtr file(g_key_file_new());
  g_autoptr(GError) error = nullptr;
  if (!g_key_file_load_from_data(file.get(), text.data(), text.size(),
                                 G_KEY_FILE_NONE, &error)) {
    faults.Add(1, error->message);
    return {};
  }
  for (IniSection& section : sections) {
    for (IniEntry& entry : section.entries) {
      g_autofree char* raw = g_key_file_get_value(
          file.get(), section.name.c_str(), entry.key.c_str(), nullptr);
      entry.value = raw == nullptr ? "" : TrimSpaces(raw);
    }
  }
  return sections;
}

const IniSection* FindSection(const std::vector<IniSection>& sections,
                              std::string_view name) {
  const auto found = std::ranges::find(sections, name, &IniSection::name);
  return found == sections.end() ? nullptr : &*found;
}

std::string TrimSpaces(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) {
    return "";
  }
  const size_t last = text.find_last_not_of(" \t\r");
  return std::string(text.substr(first, last - first + 1));
}

}  // namespace hickorystand
