#include "ctl/configuration_files.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

#include "decisions/configuration_records.h"
#include "kernel/ini_file.h"

namespace hickorystand {
namespace {

// Whether a kind can have a section without an id, which sets the defaults of
// all its records.
bool HasDefaults(const std::string& kind) {
  return kind == "site" || kind == "endpoint";
}

// The section and line that last set a field.
struct Place {
  const IniFaults* file = nullptr;
  int line = 0;
  std::string section;
};

// A section's heading: [kind id], or [kind] for the defaults of a kind.
struct Heading {
  std::string kind;
  std::string id;
};

Heading ReadHeading(const std::string& name) {
  const size_t space = name.find(' ');
  if (space == std::string::npos) {
    return {.kind = name};
  }
  return {.kind = name.substr(0, space),
          .id = TrimSpaces(name.substr(space + 1))};
}

std::string FieldNames(const RecordSchema& schema) {
  std::string names;
  for (const FieldSchema& field : schema.fields) {
    names += (names.empty() ? "" : ", ") + field.name;
  }
  return names;
}

// Parses the files and merges them into one configuration. Collects all faults,
// so that one run reports them together.
class FileReader {
 public:
  Result<ConfigurationInput> Read(
      const ConfigurationFile& base,
      const std::vector<ConfigurationFile>& overlays) {
    this->files.reserve(overlays.size() + 1);
    this->ReadFile(base, false);
    for (const ConfigurationFile& overlay : overlays) {
      this->ReadFile(overlay, true);
    }
    ConfigurationInput input{.warnings = this->warnings};
    if (!this->Failed()) {
      this->Build(input.configuration);
    }
    if (this->Failed()) {
      return Fail(ErrorKind::kBadSetting, this->FaultText());
    }
    return input;
  }

 private:
  using Fields = std::map<std::string, std::string>;

  void ReadFile(const ConfigurationFile& file, bool overlay) {
    IniFaults& faults = this->files.emplace_back(file.name);
    const std::vector<IniSection> sections = ReadIni(file.text, faults);
    std::string site;
    if (overlay) {
      site = this->FindOverlaySite(sections, faults);
      if (site.empty()) {
        return;
      }
    }
    for (const IniSection& section : sections) {
      this->ReadSection(section, site, faults);
    }
  }

  // The site that an overlay is for. If it names none, adds a fault and returns
  // an empty string.
  std::string FindOverlaySite(const std::vector<IniSection>& sections,
                              IniFaults& faults) {
    std::string site;
    for (const IniSection& section : sections) {
      const Heading heading = ReadHeading(section.name);
      if (heading.kind != "site" || heading.id.empty()) {
        continue;
      }
      if (!site.empty()) {
        faults.Add(section.line, "[" + section.name +
                                     "]: an overlay is for one site; this one "
                                     "is for '" +
                                     site + "'");
      }
      site = heading.id;
    }
    if (site.empty()) {
      faults.Add(1,
                 "an overlay says by a section [site ID] which site it is "
                 "for; there is none");
    }
    return site;
  }

  void ReadSection(const IniSection& section,
                   const std::string& site,
                   IniFaults& faults) {
    const Heading heading = ReadHeading(section.name);
    const RecordSchema* schema = FindRecordSchema(heading.kind);
    const std::string title = "[" + section.name + "]";
    if (heading.kind == "key") {
      faults.Add(section.line, title +
                                   ": keys don't stand in files; make one "
                                   "with 'hickoryctl key add ACCOUNT'");
    } else if (schema == nullptr) {
      faults.Add(section.line, title +
                                   ": unknown section; [account ID], "
                                   "[service ID], [site ID], [site], "
                                   "[endpoint ID] and [endpoint] are known");
    } else if (heading.id.empty() &&
               (!HasDefaults(heading.kind) || !site.empty())) {
      faults.Add(section.line, title + ": an id is missing; [" + heading.kind +
                                   " ID] is "
                                   "allowed" +
                                   (site.empty() ? "" : " in an overlay"));
    } else if (!site.empty() && !HasDefaults(heading.kind)) {
      faults.Add(section.line, title +
                                   ": is the same at every site; state it "
                                   "in the base file");
    } else if (const std::string why =
                   heading.id.empty() ? "" : CheckId(heading.kind, heading.id);
               !why.empty()) {
      faults.Add(section.line, title + ": " + why);
    } else {
      this->ReadEntries(section, heading, *schema, site, faults);
    }
  }

  void ReadEntries(const IniSection& section,
                   const Heading& heading,
                   const RecordSchema& schema,
                   const std::string& site,
                   IniFaults& faults) {
    const std::string name = heading.kind + "/" + heading.id;
    const std::string title = "[" + section.name + "] ";
    Fields& fields =
        heading.id.empty() ? this->defaults[heading.kind] : this->records[name];
    const bool known = this->places.contains(name);
    this->places[name].try_emplace("",
                                   Place{&faults, section.line, section.name});
    for (const IniEntry& entry : section.entries) {
      if (schema.Find(entry.key) == nullptr) {
        faults.Add(entry.line, title + entry.key + ": unknown key; " +
                                   FieldNames(schema) + " are known");
        continue;
      }
      if (const std::string why =
              CheckField(heading.kind, entry.key, entry.value);
          !why.empty()) {
        faults.Add(entry.line, title + entry.key + ": " + why);
        continue;
      }
      if (!site.empty()) {
        this->WarnIfRedundant(heading, schema, known, entry,
                              faults.File() + ":" + std::to_string(entry.line) +
                                  ": " + title + entry.key + ": ");
      }
      fields[entry.key] = entry.value;
      this->places[name][entry.key] = Place{&faults, entry.line, section.name};
    }
    if (!site.empty() && heading.kind == "endpoint") {
      this->SetEndpointSite(section, fields, site, faults);
    }
  }

  // Adds a warning if an overlay sets a field to the value that the site would
  // have without it: such an entry masks later changes of the base file at this
  // site.
  void WarnIfRedundant(const Heading& heading,
                       const RecordSchema& schema,
                       bool known,
                       const IniEntry& entry,
                       const std::string& place) {
    std::optional<std::string> holds;
    if (known &&
        this->records[heading.kind + "/" + heading.id].contains(entry.key)) {
      holds = this->records[heading.kind + "/" + heading.id][entry.key];
    } else if (this->defaults[heading.kind].contains(entry.key)) {
      holds = this->defaults[heading.kind][entry.key];
    } else if (!schema.Find(entry.key)->required) {
      holds = schema.Find(entry.key)->fallback;
    }
    if (holds == entry.value) {
      this->warnings.push_back(place + "'" + entry.value +
                               "' holds here anyway; leave it out");
    }
  }

  void SetEndpointSite(const IniSection& section,
                       Fields& fields,
                       const std::string& site,
                       IniFaults& faults) {
    const auto [at, fresh] = fields.try_emplace("data_centre", site);
    if (!fresh && at->second != site) {
      faults.Add(section.line, "[" + section.name +
                                   "] data_centre: stands at '" + at->second +
                                   "', but this overlay is for '" + site + "'");
    }
  }

  void Build(Configuration& configuration) {
    for (const RecordSchema& schema : AllRecordSchemas()) {
      for (const auto& [name, stated] : this->records) {
        if (name.starts_with(schema.kind + "/")) {
          this->BuildRecord(schema, name, stated, configuration);
        }
      }
    }
    for (const RecordFault& fault : CheckReferences(configuration)) {
      this->AddFault(fault.record, fault.field, fault.what);
    }
  }

  void BuildRecord(const RecordSchema& schema,
                   const std::string& name,
                   const Fields& stated,
                   Configuration& configuration) {
    Record record{.kind = schema.kind,
                  .id = name.substr(schema.kind.size() + 1),
                  .fields = stated};
    record.fields.insert(this->defaults[schema.kind].begin(),
                         this->defaults[schema.kind].end());
    for (const FieldSchema& field : schema.fields) {
      if (field.required && !record.fields.contains(field.name)) {
        this->AddFault(name, field.name,
                       "is missing; " + field.allowed + " is needed");
        return;
      }
    }
    // "plain" is the only role that endpoints of a plain service can have.
    if (schema.kind == "endpoint" && !record.fields.contains("role")) {
      const auto service =
          configuration.services.find(ServiceId(record.fields.at("service")));
      if (service != configuration.services.end() &&
          service->second.kind == ServiceKind::kPlain) {
        record.fields["role"] = "plain";
      }
    }
    if (const auto put = PutRecord(configuration, record); !put) {
      this->AddFault(name, "", put.error().message);
    }
  }

  // Adds a fault at the line that set the field, or else at the line of the
  // record's section.
  void AddFault(const std::string& record,
                const std::string& field,
                const std::string& what) {
    const auto& stated = this->places.at(record);
    const auto found = stated.find(field);
    const Place& place = found == stated.end() ? stated.at("") : found->second;
    auto& file =
        this->files.at(static_cast<size_t>(place.file - this->files.data()));
    file.Add(place.line, "[" + place.section + "] " + field + ": " + what);
  }

  bool Failed() const {
    return std::ranges::any_of(this->files, [](const IniFaults& faults) {
      return !faults.Text().empty();
    });
  }

  std::string FaultText() const {
    std::string text;
    for (const IniFaults& faults : this->files) {
      text +=
          (text.empty() || faults.Text().empty() ? "" : "\n") + faults.Text();
    }
    return text;
  }

  std::vector<IniFaults> files;  // never reallocated: Place points into it
  std::map<std::string, Fields> records;
  std::map<std::string, Fields> defaults;                      // by kind
  std::map<std::string, std::map<std::string, Place>> places;  // "": section
  std::vector<std::string> warnings;
};

void WriteSchema(const RecordSchema& schema, std::ostream& out) {
  out << "## [" << schema.kind << " ID]\n\n" << schema.help << "\n\n";
  if (HasDefaults(schema.kind)) {
    out << "A section [" << schema.kind
        << "] in the base file states what holds for all of them.\n\n";
  }
  out << "| key | allowed | default | in an overlay | meaning |\n"
         "|---|---|---|---|---|\n";
  for (const FieldSchema& field : schema.fields) {
    const std::string fallback =
        field.required ? "must be given"
                       : (field.fallback.empty() ? "nothing" : field.fallback);
    out << "| " << field.name << " | " << field.allowed << " | " << fallback
        << " | " << (field.site_overridable ? "yes" : "no") << " | "
        << field.help << " |\n";
  }
  out << "\n";
}

constexpr const char* kPageStart =
    R"(# Configuration

Operators describe the fleet in one base file, and in an overlay for each site
that states only where that site differs. `hickoryctl check base.ini dc1.ini`
reads them, `hickoryctl diff` shows what would change, and `hickoryctl apply`
puts them in force and says so for each data centre.

- Sections are written `[kind id]`. Ids are up to 64 letters, digits and `. _ -`.
- An overlay names its site by a section `[site ID]`. Endpoints that stand in it
  are at that site. Accounts and services are the same everywhere, so they stand
  in the base file only.
- An overlay that repeats what holds anyway is a warning: it would hide a later
  change of the base file from its site. An unknown key is an error.
- Keys of accounts never stand in files: `hickoryctl key add ACCOUNT` makes one,
  prints it once and stores its SHA-256 only.
- Records in force that no file names are kept, unless `apply --prune` is given.

The settings of a single host are no part of these files. They stand in the file
that `hickorystandd --config` reads: docs/OPERATIONS.md lists those of relay
hosts. One of them decides how relay hosts admit requests:

- `[admission] ordered` is `auto`, `on` or `off`; default `auto`. It says which
  services are contended. Their requests are admitted in order of urgency and
  account, and the speed of their endpoints is estimated one by one. `auto`: those
  whose endpoints state their pace; `on`: all; `off`: none. It takes a restart and
  should be the same at all hosts.

This page is written by `hickoryctl schema`; a test keeps the two in step.

)";

}  // namespace

Result<ConfigurationInput> ReadConfigurationFiles(
    const ConfigurationFile& base,
    const std::vector<ConfigurationFile>& overlays) {
  return FileReader().Read(base, overlays);
}

Result<ConfigurationFile> LoadConfigurationFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return Fail(ErrorKind::kBadSetting, path + ": the file can't be read");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ConfigurationFile{.name = path, .text = text.str()};
}

std::string ConfigurationPage() {
  std::ostringstream out;
  out << kPageStart;
  for (const RecordSchema& schema : AllRecordSchemas()) {
    if (schema.kind != "key") {
      WriteSchema(schema, out);
    }
  }
  std::string page = out.str();
  page.pop_back();
  return page;
}

}  // namespace hickorystand
