// Commands on single records: accounts, services, sites and API keys.

#include <glib.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <random>

#include "ctl/command.h"
#include "decisions/configuration_records.h"

namespace hickorystand {
namespace {

constexpr int kKeyBytes = 32;
// Characters of a key's hash that lists show; enough to tell keys apart.
constexpr size_t kDisplayedHashLength = 12;

// Characters that a hash prefix given as an argument must have at least.
constexpr size_t kMinHashPrefixLength = 8;

// Parses FIELD=VALUE arguments into a record.
Result<bool> ReadFields(const std::vector<std::string>& arguments,
                        Record& record) {
  const RecordSchema* schema = FindRecordSchema(record.kind);
  assert(schema != nullptr && "a command names a kind that exists");
  for (const std::string& argument : arguments) {
    const size_t equals = argument.find('=');
    const std::string field = argument.substr(0, equals);
    if (equals == std::string::npos || schema->Find(field) == nullptr) {
      std::string known;
      for (const FieldSchema& each : schema->fields) {
        known += (known.empty() ? "" : ", ") + each.name;
      }
      return Fail(ErrorKind::kBadRequest,
                  "'" + argument +
                      "': FIELD=VALUE is allowed, where FIELD is "
                      "one of " +
                      known);
    }
    const std::string text = argument.substr(equals + 1);
    if (const std::string why = CheckField(record.kind, field, text);
        !why.empty()) {
      return Fail(ErrorKind::kBadRequest, field + ": " + why);
    }
    record.fields[field] = text;
  }
  return true;
}

// Finds a record by name; null if there is none.
const Record* Find(const std::vector<Record>& records,
                   const std::string& name) {
  const auto found = std::ranges::find(records, name, &Record::Name);
  return found == records.end() ? nullptr : &*found;
}

// Adds a record, or changes the given fields of an existing one.
Result<bool> Add(CtlSession& session,
                 const Invocation& invocation,
                 const std::string& kind) {
  Record stated{.kind = kind, .id = invocation.arguments.front()};
  if (const std::string why = CheckId(kind, stated.id); !why.empty()) {
    return Fail(ErrorKind::kBadRequest, why);
  }
  auto fields = ReadFields(
      {invocation.arguments.begin() + 1, invocation.arguments.end()}, stated);
  if (!fields) {
    return fields;
  }
  return session.ChangeAndWait(
      [&](const Configuration& in_force) {
        Record record = stated;
        const std::vector<Record> records = ListRecords(in_force);
        if (const Record* old = Find(records, stated.Name())) {
          record.fields.insert(old->fields.begin(), old->fields.end());
        }
        return AddRecord(in_force, record);
      },
      !invocation.Has("no-wait"));
}

Result<bool> List(CtlSession& session,
                  const Invocation& /*invocation*/,
                  const std::string& kind) {
  const auto stored = session.Read();
  if (!stored) {
    return tl::unexpected(stored.error());
  }
  JsonWriter out;
  out.BeginObject();
  for (const Record& record : ListRecords(*stored->configuration)) {
    if (record.kind != kind) {
      continue;
    }
    std::string line = record.id;
    out.Name(record.id).BeginObject();
    for (const auto& [field, text] : record.fields) {
      line += "  " + field + "=" + text;
      out.Member(field, text);
    }
    out.EndObject();
    session.Out().Line(line);
  }
  session.Out().Document(out.EndObject());
  return true;
}

Result<bool> Remove(CtlSession& session,
                    const Invocation& invocation,
                    const std::string& kind) {
  const std::string& id = invocation.arguments.front();
  return session.ChangeAndWait(
      [&](const Configuration& in_force) -> Result<Configuration> {
        Configuration wanted = in_force;
        if (!RemoveRecord(wanted, kind, id)) {
          return Fail(ErrorKind::kNotFound,
                      "there is no " + kind + " '" + id + "'");
        }
        // Removes the account's keys too, since they are unusable without it.
        if (kind == "account") {
          std::erase_if(wanted.keys, [&](const auto& key) {
            return key.second.account.Text() == id;
          });
        }
        return wanted;
      },
      !invocation.Has("no-wait"));
}

template <
    const char* kind,
    Result<bool> (*work)(CtlSession&, const Invocation&, const std::string&)>
Result<bool> Of(CtlSession& session, const Invocation& invocation) {
  return work(session, invocation, kind);
}

constexpr char kAccount[] = "account";
constexpr char kService[] = "service";
constexpr char kSite[] = "site";

std::string Hash(const std::string& key) {
  g_autofree char* hash =
      g_compute_checksum_for_string(G_CHECKSUM_SHA256, key.c_str(), -1);
  return hash;
}

// Makes an unguessable API key from the system's random source.
std::string MakeKey() {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::random_device random;
  std::string key = "hs-";
  for (int i = 0; i < kKeyBytes; ++i) {
    const unsigned int bits = random();
    key += kDigits[bits & 15];
    key += kDigits[bits >> 4 & 15];
  }
  return key;
}

Result<bool> KeyAdd(CtlSession& session, const Invocation& invocation) {
  const std::string& account = invocation.arguments.front();
  const std::string key = MakeKey();
  const std::string hash = Hash(key);
  const auto applied = session.Change(
      [&](const Configuration& in_force) -> Result<Configuration> {
        if (!in_force.accounts.contains(AccountId(account))) {
          return Fail(ErrorKind::kNotFound,
                      "there is no account '" + account + "'");
        }
        return AddRecord(
            in_force,
            {.kind = "key", .id = hash, .fields = {{"account", account}}});
      });
  if (!applied) {
    return tl::unexpected(applied.error());
  }
  session.Out().Line(key);
  session.Out().Notice("This is the only time that the key is shown. It is " +
                       hash.substr(0, kDisplayedHashLength) +
                       " in lists, and in force within seconds.");
  session.Out().Document(JsonWriter()
                             .BeginObject()
                             .Member("key", key)
                             .Member("hash", hash)
                             .Member("account", account)
                             .Member("revision", applied->revision)
                             .EndObject());
  return true;
}

Result<bool> KeyList(CtlSession& session, const Invocation& invocation) {
  const auto stored = session.Read();
  if (!stored) {
    return tl::unexpected(stored.error());
  }
  JsonWriter out;
  out.BeginArray();
  for (const auto& [hash, key] : stored->configuration->keys) {
    if (!invocation.arguments.empty() &&
        key.account.Text() != invocation.arguments.front()) {
      continue;
    }
    session.Out().Line(hash.substr(0, kDisplayedHashLength) +
                       "  account=" + key.account.Text());
    out.BeginObject()
        .Member("hash", hash)
        .Member("account", key.account.Text())
        .EndObject();
  }
  session.Out().Document(out.EndArray());
  return true;
}

// The hash of the key that a prefix of the hash identifies. kBadRequest if the
// prefix is too short or ambiguous, kNotFound if no key has it.
Result<std::string> FindKey(const Configuration& configuration,
                            const std::string& start) {
  if (start.size() < kMinHashPrefixLength) {
    return Fail(ErrorKind::kBadRequest,
                "give at least " + std::to_string(kMinHashPrefixLength) +
                    " characters of the hash that 'key list' shows");
  }
  std::string found;
  for (const auto& [hash, key] : configuration.keys) {
    if (hash.starts_with(start)) {
      if (!found.empty()) {
        return Fail(ErrorKind::kBadRequest,
                    "'" + start +
                        "' names more than one key; give more of "
                        "the hash");
      }
      found = hash;
    }
  }
  if (found.empty()) {
    return Fail(ErrorKind::kNotFound, "there is no key '" + start + "'");
  }
  return found;
}

Result<bool> KeyWithdraw(CtlSession& session, const Invocation& invocation) {
  return session.ChangeAndWait(
      [&](const Configuration& in_force) -> Result<Configuration> {
        const auto hash = FindKey(in_force, invocation.arguments.front());
        if (!hash) {
          return tl::unexpected(hash.error());
        }
        Configuration wanted = in_force;
        RemoveRecord(wanted, "key", *hash);
        return wanted;
      },
      !invocation.Has("no-wait"));
}

const std::vector<CommandOption> kNoWaitOptions = {
    {"no-wait", "don't wait until it is in force"}};

template <const char* kind>
void AddKindCommands(std::vector<Command>& commands,
                     const std::string& what,
                     const std::string& example) {
  const std::string name = kind;
  commands.push_back(
      {.name = name + " add",
       .arguments = "ID [FIELD=VALUE...]",
       .summary = "Add " + what + ", or change fields of one.",
       .help = "Fields that you don't name keep their value, or get their "
               "default. 'hickoryctl schema' prints all of them.",
       .examples = {"hickoryctl " + name + " add " + example},
       .min_arguments = 1,
       .options = kNoWaitOptions,
       .run = &Of<kind, &Add>});
  commands.push_back({.name = name + " list",
                      .arguments = "",
                      .summary = "List all of them.",
                      .help = "Prints one a line, with its fields.",
                      .examples = {"hickoryctl " + name + " list --json"},
                      .max_arguments = 0,
                      .run = &Of<kind, &List>});
  commands.push_back(
      {.name = name + " remove",
       .arguments = "ID",
       .summary = "Remove " + what + ".",
       .help = "Refused while others refer to it, but for the keys of an "
               "account, which go with it.",
       .examples = {"hickoryctl " + name + " remove " +
                    example.substr(0, example.find(' '))},
       .min_arguments = 1,
       .max_arguments = 1,
       .options = kNoWaitOptions,
       .run = &Of<kind, &Remove>});
}

}  // namespace

std::vector<Command> RecordCommands() {
  std::vector<Command> commands;
  AddKindCommands<kAccount>(commands, "a client account", "acme weight=2");
  AddKindCommands<kService>(commands, "a service", "filing kind=plain floor=2");
  AddKindCommands<kSite>(commands, "a data centre",
                         "dc3 cut_off_key_limit=12h");
  commands.push_back(
      {.name = "key add",
       .arguments = "ACCOUNT",
       .summary = "Make a key for an account and print it once.",
       .help = "Only the key's SHA-256 is stored, so it can't be shown again.",
       .examples = {"hickoryctl key add acme"},
       .min_arguments = 1,
       .max_arguments = 1,
       .run = &KeyAdd});
  commands.push_back({.name = "key list",
                      .arguments = "[ACCOUNT]",
                      .summary = "List keys by the start of their hash.",
                      .help = "Keys themselves are not known to the system.",
                      .examples = {"hickoryctl key list acme"},
                      .max_arguments = 1,
                      .run = &KeyList});
  commands.push_back(
      {.name = "key withdraw",
       .arguments = "HASH",
       .summary = "Withdraw a key, and say where it no longer works.",
       .help =
           "HASH is what 'key list' shows. Says for each data centre when "
           "the key has stopped working, and names the hosts that can't be "
           "reached: there it still works until they receive the change, or "
           "for their site's cut_off_key_limit at most. Requests that run "
           "already finish.",
       .examples = {"hickoryctl key withdraw 3f9a02c41b7d"},
       .min_arguments = 1,
       .max_arguments = 1,
       .options = kNoWaitOptions,
       .run = &KeyWithdraw});
  return commands;
}

}  // namespace hickorystand
