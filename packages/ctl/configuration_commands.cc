// Commands on the configuration as a whole: check, diff, apply, show, schema.

#include <algorithm>

#include "ctl/command.h"
#include "ctl/configuration_files.h"
#include "decisions/configuration_records.h"

namespace hickorystand {
namespace {

// Reads the base file and the overlays, and prints warnings.
Result<ConfigurationInput> ReadFiles(CtlSession& session,
                                     const Invocation& invocation) {
  std::vector<ConfigurationFile> files;
  for (const std::string& path : invocation.arguments) {
    auto file = LoadConfigurationFile(path);
    if (!file) {
      return tl::unexpected(file.error());
    }
    files.push_back(std::move(*file));
  }
  const ConfigurationFile base = files.front();
  files.erase(files.begin());
  auto input = ReadConfigurationFiles(base, files);
  if (input) {
    for (const std::string& warning : input->warnings) {
      session.Out().Notice("warning: " + warning);
    }
  }
  return input;
}

// Merges the configuration of the files with the API keys in force. Records
// that are in no file are retained and listed in `kept`, unless `prune` is set:
// the files may be older than records that another operator created at the
// command line.
Configuration MergeWithInForce(const Configuration& files,
                               const Configuration& in_force,
                               bool prune,
                               std::vector<std::string>& kept) {
  Configuration wanted = files;
  for (const Record& record : ListRecords(in_force)) {
    const bool key = record.kind == "key";
    const auto stated = ListRecords(files);
    const bool named =
        std::ranges::find(stated, record.Name(), &Record::Name) != stated.end();
    if (named || (prune && !key)) {
      continue;
    }
    if (key && prune &&
        !files.accounts.contains(AccountId(record.fields.at("account")))) {
      continue;  // removed with its account
    }
    // Can't fail: the stored configuration was checked when it was read.
    static_cast<void>(PutRecord(wanted, record));
    if (!key) {
      kept.push_back(record.Name());
    }
  }
  return wanted;
}

Result<bool> Check(CtlSession& session, const Invocation& invocation) {
  const auto input = ReadFiles(session, invocation);
  if (!input) {
    return tl::unexpected(input.error());
  }
  const Configuration& read = input->configuration;
  session.Out().Line(
      "The files are right: " + std::to_string(read.accounts.size()) +
      " accounts, " + std::to_string(read.services.size()) + " services, " +
      std::to_string(read.sites.size()) + " sites, " +
      std::to_string(read.endpoints.size()) + " endpoints.");
  JsonWriter out;
  out.BeginObject().Name("warnings").BeginArray();
  for (const std::string& warning : input->warnings) {
    out.Value(warning);
  }
  session.Out().Document(out.EndArray().EndObject());
  return true;
}

Result<bool> Apply(CtlSession& session, const Invocation& invocation) {
  const auto input = ReadFiles(session, invocation);
  if (!input) {
    return tl::unexpected(input.error());
  }
  std::vector<std::string> kept;
  const auto edit = [&](const Configuration& in_force) {
    kept.clear();
    return Result<Configuration>(MergeWithInForce(
        input->configuration, in_force, invocation.Has("prune"), kept));
  };
  auto result = session.ChangeAndWait(edit, !invocation.Has("no-wait"));
  for (const std::string& name : kept) {
    session.Out().Notice("kept: " + name +
                         " stands in no file; --prune removes it");
  }
  return result;
}

Result<bool> Diff(CtlSession& session, const Invocation& invocation) {
  const auto input = ReadFiles(session, invocation);
  if (!input) {
    return tl::unexpected(input.error());
  }
  const auto stored = session.Read();
  if (!stored) {
    return tl::unexpected(stored.error());
  }
  std::vector<std::string> kept;
  const auto changes = DiffConfigurations(
      *stored->configuration,
      MergeWithInForce(input->configuration, *stored->configuration,
                       invocation.Has("prune"), kept));
  for (const RecordChange& change : changes) {
    session.Out().Line(change.Text());
  }
  if (changes.empty()) {
    session.Out().Line("No difference.");
  }
  JsonWriter out;
  out.BeginObject().Member("revision", stored->head.revision).Name("changes");
  WriteChanges(changes, out);
  session.Out().Document(out.EndObject());
  return true;
}

// Whether a record applies to a site.
bool AppliesToSite(const Record& record, const std::string& site) {
  if (record.kind == "site") {
    return record.id == site;
  }
  return record.kind != "endpoint" || record.fields.at("data_centre") == site;
}

Result<bool> Show(CtlSession& session, const Invocation& invocation) {
  const auto stored = session.Read();
  if (!stored) {
    return tl::unexpected(stored.error());
  }
  const std::string site = invocation.Value("site");
  if (!site.empty() &&
      !stored->configuration->sites.contains(DataCentreId(site))) {
    return Fail(ErrorKind::kNotFound, "there is no site '" + site + "'");
  }
  session.Out().Line("# revision " + std::to_string(stored->head.revision));
  JsonWriter out;
  out.BeginObject()
      .Member("revision", stored->head.revision)
      .Name("records")
      .BeginObject();
  for (const Record& record : ListRecords(*stored->configuration)) {
    if (record.kind == "key" ||
        (!site.empty() && !AppliesToSite(record, site))) {
      continue;
    }
    session.Out().Line("\n[" + record.kind + " " + record.id + "]");
    out.Name(record.Name()).BeginObject();
    for (const auto& [field, text] : record.fields) {
      session.Out().Line(field + " = " + text);
      out.Member(field, text);
    }
    out.EndObject();
  }
  session.Out().Document(out.EndObject().EndObject());
  return true;
}

Result<bool> Schema(CtlSession& session, const Invocation& /*invocation*/) {
  session.Out().Out() << ConfigurationPage();
  return true;
}

}  // namespace

std::vector<Command> ConfigurationCommands() {
  const std::vector<CommandOption> prune = {
      {"prune", "also remove records that are in no file"}};
  std::vector<CommandOption> apply = prune;
  apply.push_back({"no-wait", "don't wait until it is in force"});
  return {
      {.name = "check",
       .arguments = "BASE [OVERLAY...]",
       .summary = "Check the files; touches nothing.",
       .help = "Reads the base file and the overlays of the sites and reports "
               "every fault with file, line and what is allowed.",
       .examples = {"hickoryctl check base.ini dc1.ini dc2.ini"},
       .min_arguments = 1,
       .run = &Check},
      {.name = "diff",
       .arguments = "BASE [OVERLAY...]",
       .summary = "Show what apply would change.",
       .help = "Compares the files with the configuration in the key-value "
               "service.",
       .examples = {"hickoryctl diff base.ini dc1.ini dc2.ini"},
       .min_arguments = 1,
       .options = prune,
       .run = &Diff},
      {.name = "apply",
       .arguments = "BASE [OVERLAY...]",
       .summary = "Put the files in force.",
       .help = "Changes the configuration in one step, and says for each data "
               "centre when it is in force. If somebody else changed it "
               "meanwhile, nothing is changed and the error names who changed "
               "what. Keys of accounts are left as they are.",
       .examples = {"hickoryctl apply base.ini dc1.ini dc2.ini",
                    "hickoryctl apply base.ini dc1.ini --prune --no-wait"},
       .min_arguments = 1,
       .options = apply,
       .run = &Apply},
      {.name = "show",
       .arguments = "",
       .summary = "Print the configuration in the service.",
       .help = "Prints every record with all its fields, without keys. With "
               "--site only the records that apply to that site.",
       .examples = {"hickoryctl show --site dc1"},
       .max_arguments = 0,
       .options = {{"site", "only records that apply to this site", true}},
       .run = &Show},
      {.name = "schema",
       .arguments = "",
       .summary = "Print the page of all sections and keys.",
       .help = "Writes docs/CONFIGURATION.md.",
       .examples = {"hickoryctl schema > docs/CONFIGURATION.md"},
       .max_arguments = 0,
       .run = &Schema},
  };
}

}  // namespace hickorystand
