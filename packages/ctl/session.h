// What every command of the operators' client works with: its output, the
// key-value service, the entry hosts, and a change of the configuration from
// its start to its being in force.
//
// Index
//   CtlSettings   where the service and the hosts are
//   Output        what is printed, as text or as JSON
//   CtlSession       one run of the client

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

// The settings of the client: the schema of its INI file.
const std::vector<SettingRule>& CtlSettingRules();

// Where the service and the hosts are.
struct CtlSettings {
  std::string store_plugin = "etcd-json";
  std::vector<SocketAddress> store;
  std::vector<SocketAddress> admin;
  std::string admin_token;
  std::string author;  // who is named as having made a change
  Duration timeout = std::chrono::seconds(2);  // of one call
  Duration wait = std::chrono::seconds(15);    // for a change to be in force
};

// What a command prints. In JSON form all goes into one document on `out`, and
// only that; in text form lines go out as they come.
class Output {
 public:
  Output(std::ostream& out, std::ostream& error, bool json)
      : out(out), error(error), json(json) {}

  bool IsJson() const { return this->json; }

  // A line of text; nothing in JSON form.
  void Line(const std::string& text);

  // A line for a person, on the error stream in both forms.
  void Notice(const std::string& text);

  // The document; nothing in text form.
  void Document(const JsonWriter& document);

  std::ostream& Out() { return this->out; }

 private:
  std::ostream& out;
  std::ostream& error;
  bool json;
};

// How a change came into force.
struct InForceReport {
  struct DataCentre {
    DataCentreId id;
    int64_t hosts = 0;
    std::vector<HostId> behind;  // still at a lower revision
  };

  int64_t revision = 0;
  std::vector<DataCentre> data_centres;
  std::vector<SocketAddress> unreachable;

  // Everybody who answered has it, and everybody answered.
  bool Everywhere() const;
};

// One run of the client.
class CtlSession {
 public:
  CtlSession(CtlSettings settings, Output& output);

  Output& Out() { return this->output; }
  AdminClient& Admin();

  // The configuration as it lies in the service.
  Result<StoredConfiguration> Read();

  // Changes the configuration; a lost reply is tried again until it is certain
  // whether the change took effect.
  Result<ConfigurationChange::Applied> Change(ConfigurationChange::Edit edit);

  // As Change(), then says for each data centre when it is in force, unless not
  // wanted, and prints the whole. kTimeout if it isn't in force everywhere in
  // time; the change stands nevertheless.
  Result<bool> ChangeAndWait(const ConfigurationChange::Edit& edit, bool wait);

  // Polls all hosts until they have a revision, printing each data centre as it
  // gets there.
  InForceReport WaitInForce(int64_t revision);

 private:
  BlockingStore& Store();
  StoreReply Transact(const StoreTransaction& transaction);

  CtlSettings settings;
  Output& output;
  std::unique_ptr<BlockingStore> store;
  std::unique_ptr<AdminClient> admin;
};

// A text that no other run of any program makes.
std::string RandomToken();

// Writes changes as a JSON array. A key's hash is shortened.
void WriteChanges(const std::vector<RecordChange>& changes, JsonWriter& out);

}  // namespace hickorystand
