// What the commands of hickoryctl share: output, access to the key-value
// service and to the hosts, and configuration changes, from the write to the
// service until the new revision is in force at all hosts.
//
//   Output output(std::cout, std::cerr, false);
//   CtlSession session(settings, output);
//   const auto result = session.ChangeAndWait(edit, true);
//
// Index
//   CtlSettings     addresses, token, author and timeouts
//   Output          prints text or JSON
//   InForceReport   which hosts have a revision in force
//   CtlSession      one run of hickoryctl

#pragma once

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "ctl/admin_client.h"
#include "decisions/configuration_codec.h"
#include "kernel/error.h"
#include "kernel/settings.h"
#include "platform/blocking_store.h"

namespace hickorystand {

// The schema of the client's INI file.
const std::vector<SettingRule>& CtlSettingRules();

// The settings of one run.
struct CtlSettings {
  std::string store_plugin = "etcd-json";
  std::vector<SocketAddress> store;
  std::vector<SocketAddress> admin;
  std::string admin_token;
  std::string author;                          // recorded with each change
  Duration timeout = std::chrono::seconds(2);  // of one request
  Duration wait = std::chrono::seconds(15);    // until in force
};

// Prints the output of a command. In JSON mode `out` receives a single document
// and nothing else; in text mode lines are printed and flushed immediately.
class Output {
 public:
  Output(std::ostream& out, std::ostream& error, bool json)
      : out(out), error(error), json(json) {}

  bool IsJson() const { return this->json; }

  // Prints a line of text; ignored in JSON mode.
  void Line(const std::string& text);

  // Prints a line to the error stream, in both modes.
  void Notice(const std::string& text);

  // Prints the JSON document; ignored in text mode.
  void Document(const JsonWriter& document);

  std::ostream& Out() { return this->out; }

 private:
  std::ostream& out;
  std::ostream& error;
  bool json;
};

// Which hosts have a revision in force.
struct InForceReport {
  struct DataCentre {
    DataCentreId id;
    int64_t hosts = 0;
    std::vector<HostId> behind;  // at a lower revision
  };

  int64_t revision = 0;
  std::vector<DataCentre> data_centres;
  std::vector<SocketAddress> unreachable;

  // True if every host answered and has the revision.
  bool InForceEverywhere() const;
};

// One run of hickoryctl. Connects to the key-value service and to the hosts on
// first use. All calls block.
class CtlSession {
 public:
  CtlSession(CtlSettings settings, Output& output);

  Output& Out() { return this->output; }
  AdminClient& Admin();

  // Reads the configuration from the key-value service. kBadSetting if no
  // address is configured, kPlatformDown if the service can't be read.
  Result<StoredConfiguration> Read();

  // Changes the configuration. If a reply is lost, retries with backoff until
  // it is certain whether the change was applied.
  Result<ConfigurationChange::Applied> Change(ConfigurationChange::Edit edit);

  // Calls Change(), and with `wait` also WaitInForce(); prints the changes and
  // the result. kTimeout if the revision is not in force at all hosts within
  // CtlSettings::wait; the change is not undone then.
  Result<bool> ChangeAndWait(const ConfigurationChange::Edit& edit, bool wait);

  // Polls all hosts until the revision is in force at each of them, or
  // CtlSettings::wait has passed. Prints a line for each data centre once all
  // its hosts that answer have the revision.
  InForceReport WaitInForce(int64_t revision);

 private:
  BlockingStore& Store();
  StoreReply Transact(const StoreTransaction& transaction);

  CtlSettings settings;
  Output& output;
  std::unique_ptr<BlockingStore> store;
  std::unique_ptr<AdminClient> admin;
};

// A random UUID, which identifies the change of this run among those of all
// other runs and programs.
std::string RandomToken();

// Writes changes as a JSON array. API keys are named by their whole hash.
void WriteChanges(const std::vector<RecordChange>& changes, JsonWriter& out);

}  // namespace hickorystand
