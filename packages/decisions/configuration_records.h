// The configuration as records of named texts: one notation for the files that
// operators write, for the key-value service and for the command line.
//
// A record is named by its kind and id, such as account/acme; each of its
// fields is a text that one table describes (type, what is allowed, default).
//
// Index
//   FieldSchema, RecordSchema   what may stand in a record; AllRecordSchemas()
//   Record                      one record as text
//   ListRecords, AddRecord      between Configuration and records
//   CheckReferences             what no single record can show
//   DiffConfigurations          what a change changes

#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/configuration.h"
#include "kernel/error.h"

namespace hickorystand {

// One field of a kind of record, for checks, help and documentation.
struct FieldSchema {
  std::string name;
  std::string allowed;   // in words, for messages: "a number from 0 to 100"
  std::string fallback;  // its text when it is left out
  std::string help;      // one sentence
  bool required = false;
  bool site_differs = false;  // a site's overlay may state it

  bool operator==(const FieldSchema&) const = default;
};

// One kind of record.
struct RecordSchema {
  std::string kind;  // account, key, service, site or endpoint
  std::string help;
  std::vector<FieldSchema> fields;

  // The field of a name; null if there is none.
  const FieldSchema* Find(std::string_view name) const;

  bool operator==(const RecordSchema&) const = default;
};

// All kinds, in the order in which they can be added: what others refer to
// comes first.
std::span<const RecordSchema> AllRecordSchemas();

// The schema of a kind; null if there is none.
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

// A role's name, as operators write it and as orders spell it.
std::string NameOfRole(EndpointRole role);

// What a limit counts, as operators write it.
std::string NameOfUnit(LimitUnit unit);

// Splits kind/id; kBadRequest if the kind is unknown or the id is none.
Result<Record> RecordFromName(std::string_view name);

// Why a text can't be an id of a record; empty if it can. Ids travel in URLs,
// file sections and logs, so they are letters, digits and . _ - only.
std::string CheckId(std::string_view kind, std::string_view id);

// Why a text can't stand in a field, with what is allowed; empty if it can.
// An unknown kind or field is a fault of the program and is asserted.
std::string CheckField(std::string_view kind,
                       std::string_view field,
                       const std::string& text);

// All records of a configuration, sorted by name, with every field stated: a
// later program's defaults must not change what was accepted under these.
std::vector<Record> ListRecords(const Configuration& configuration);

// Puts a record into a configuration, in place of one of the same name. Fields
// left out get their defaults; ones that the schema lacks are passed over, as a
// newer program may have written them. The error names the field and what is
// allowed there.
Result<Configuration> AddRecord(Configuration configuration,
                                const Record& record);

// As AddRecord(), in place.
Result<bool> PutRecord(Configuration& configuration, const Record& record);

// Takes a record out; false if there was none.
bool RemoveRecord(Configuration& configuration,
                  std::string_view kind,
                  const std::string& id);

// What is wrong with a field of a record in view of the others.
struct RecordFault {
  std::string record;  // kind/id
  std::string field;
  std::string what;

  // kind/id: field: what
  std::string Text() const;

  auto operator<=>(const RecordFault&) const = default;
};

// References between records that lead nowhere and combinations that make no
// sense; empty if all is well.
std::vector<RecordFault> CheckReferences(const Configuration& configuration);

// What became of one record between two configurations.
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

// All changes between two configurations, sorted by name. Revisions don't
// count.
std::vector<RecordChange> DiffConfigurations(const Configuration& from,
                                             const Configuration& to);

}  // namespace hickorystand
