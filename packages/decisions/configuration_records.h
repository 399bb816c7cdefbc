// The text form of the configuration: records of named string fields. Used by
// the operators' files, the key-value service and the command line.
//
// A record is named by its kind and id, such as account/acme. One table defines
// the type, the allowed values and the default of each field.
//
// Index
//   FieldSchema, RecordSchema   fields of each kind; AllRecordSchemas()
//   Record                      one record as text
//   ListRecords, AddRecord      conversion between Configuration and records
//   CheckReferences             checks across records
//   DiffConfigurations          the records that differ

#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/configuration.h"
#include "kernel/error.h"

namespace hickorystand {

// One field of a kind of record, for validation, help and documentation.
struct FieldSchema {
  std::string name;
  std::string allowed;   // for messages: "a number from 0 to 100"
  std::string fallback;  // default, as text; empty if required
  std::string help;      // one sentence
  bool required = false;
  bool site_overridable = false;  // a site's overlay may set it

  bool operator==(const FieldSchema&) const = default;
};

// One kind of record.
struct RecordSchema {
  std::string kind;  // account, key, service, site or endpoint
  std::string help;
  std::vector<FieldSchema> fields;

  // The field with a name; null if there is none.
  const FieldSchema* Find(std::string_view name) const;

  bool operator==(const RecordSchema&) const = default;
};

// All kinds, each after the kinds that it refers to, which is the order in
// which records can be added.
std::span<const RecordSchema> AllRecordSchemas();

// The schema of a kind; null if the kind is unknown.
const RecordSchema* FindRecordSchema(std::string_view kind);

// One record as text.
struct Record {
  std::string kind;
  std::string id;
  std::map<std::string, std::string> fields;

  // kind/id, as in the key-value service and in messages.
  std::string Name() const { return this->kind + "/" + this->id; }

  auto operator<=>(const Record&) const = default;
};

// The name of a role in configuration files and in orders.
std::string NameOfRole(EndpointRole role);

// The name of a limit's unit in configuration files.
std::string NameOfUnit(LimitUnit unit);

// Parses kind/id into a record without fields; kBadRequest if the kind is
// unknown or the id is invalid.
Result<Record> RecordFromName(std::string_view name);

// Validates an id; returns an error message, or an empty string if it is valid.
// Ids appear in URLs, file sections and logs, so they may contain only letters,
// digits and . _ -
std::string CheckId(std::string_view kind, std::string_view id);

// Validates the text of a field; returns an error message that names the
// allowed values, or an empty string if it is valid. An unknown kind or field
// is a programming error and is asserted.
std::string CheckField(std::string_view kind,
                       std::string_view field,
                       const std::string& text);

// All records of a configuration, sorted by name. Every field is written out,
// so that new defaults in a later version don't change an accepted
// configuration.
std::vector<Record> ListRecords(const Configuration& configuration);

// Adds a record to a configuration, or replaces the one of the same name.
// Missing fields get their defaults; unknown fields are ignored, as a newer
// version may have written them. The error (kBadSetting) names the field and
// its allowed values.
Result<Configuration> AddRecord(Configuration configuration,
                                const Record& record);

// Same as AddRecord(), in place; true on success.
Result<bool> PutRecord(Configuration& configuration, const Record& record);

// Removes a record; false if there was none.
bool RemoveRecord(Configuration& configuration,
                  std::string_view kind,
                  const std::string& id);

// A field that is inconsistent with the rest of the configuration.
struct RecordFault {
  std::string record;  // kind/id
  std::string field;
  std::string what;

  // kind/id: field: what
  std::string Text() const;

  auto operator<=>(const RecordFault&) const = default;
};

// Checks references between records and combinations of fields; empty if the
// configuration is consistent.
std::vector<RecordFault> CheckReferences(const Configuration& configuration);

// The difference of one record between two configurations.
struct RecordChange {
  enum class Kind { kAdded, kChanged, kRemoved };

  Kind kind = Kind::kAdded;
  std::string name;                           // kind/id
  std::map<std::string, std::string> before;  // the fields that differ
  std::map<std::string, std::string> after;

  // Such as "changed account/acme: weight 1 -> 2".
  std::string Text() const;

  bool operator==(const RecordChange&) const = default;
};

// All differences between two configurations, sorted by name. Ignores their
// revisions.
std::vector<RecordChange> DiffConfigurations(const Configuration& from,
                                             const Configuration& to);

}  // namespace hickorystand
