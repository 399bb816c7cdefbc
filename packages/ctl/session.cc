#include "ctl/session.h"

#include <glib.h>

#include <algorithm>
#include <cassert>
#include <map>
#include <set>
#include <thread>
#include <utility>

#include "kernel/backoff.h"

namespace hickorystand {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(200);
constexpr Duration kFirstRetry = std::chrono::milliseconds(100);
constexpr Duration kLongestRetry = std::chrono::seconds(2);

InForceReport MakeReport(const FleetStatus& fleet, int64_t revision) {
  InForceReport report{.revision = revision, .unreachable = fleet.unreachable};
  for (const FleetHost& host : fleet.hosts) {
    auto& centres = report.data_centres;
    if (centres.empty() || centres.back().id != host.data_centre) {
      centres.push_back({.id = host.data_centre});
    }
    ++centres.back().hosts;
    if (host.revision < revision) {
      centres.back().behind.push_back(host.host);
    }
  }
  return report;
}

void WriteReport(const InForceReport& report, JsonWriter& out) {
  out.Name("data_centres").BeginArray();
  for (const auto& centre : report.data_centres) {
    out.BeginObject()
        .Member("id", centre.id.Text())
        .Member("hosts", centre.hosts)
        .Member("in_force", centre.behind.empty())
        .Name("behind")
        .BeginArray();
    for (const HostId& host : centre.behind) {
      out.Value(host.Text());
    }
    out.EndArray().EndObject();
  }
  out.EndArray().Name("unreachable").BeginArray();
  for (const SocketAddress& address : report.unreachable) {
    out.Value(AddressText(address));
  }
  out.EndArray();
}

std::string DescribeMissing(const InForceReport& report) {
  std::string text;
  for (const auto& centre : report.data_centres) {
    for (const HostId& host : centre.behind) {
      text += "\n  " + centre.id.Text() + ": " + host.Text() +
              " has not got it yet";
    }
  }
  for (const SocketAddress& address : report.unreachable) {
    text += "\n  " + AddressText(address) + ": can't be reached";
  }
  return text;
}

}  // namespace

const std::vector<SettingRule>& CtlSettingRules() {
  static const std::vector<SettingRule> kRules = {
      {.section = "store",
       .key = "addresses",
       .type = SettingType::kAddresses,
       .help = "addresses of the key-value service, tried in turn"},
      {.section = "store",
       .key = "plugin",
       .fallback = "etcd-json",
       .help = "which client of the key-value service is used"},
      {.section = "admin",
       .key = "addresses",
       .type = SettingType::kAddresses,
       .help = "administration addresses of all hosts"},
      {.section = "admin",
       .key = "token_file",
       .help = "file that holds the administration token"},
      {.section = "client",
       .key = "author",
       .help = "who is named as having made a change"},
      {.section = "client",
       .key = "timeout",
       .type = SettingType::kDuration,
       .fallback = "2s",
       .minimum = 10,
       .maximum = 60'000,
       .help = "longest time for one call"},
      {.section = "client",
       .key = "wait",
       .type = SettingType::kDuration,
       .fallback = "15s",
       .minimum = 0,
       .maximum = 600'000,
       .help = "longest time for a change to be in force everywhere"},
  };
  return kRules;
}

void Output::Line(const std::string& text) {
  if (!this->json) {
    this->out << text << '\n' << std::flush;
  }
}

void Output::Notice(const std::string& text) {
  this->error << text << '\n' << std::flush;
}

void Output::Document(const JsonWriter& document) {
  if (this->json) {
    this->out << document.Text(true) << '\n' << std::flush;
  }
}

bool InForceReport::InForceEverywhere() const {
  return this->unreachable.empty() &&
         std::ranges::all_of(this->data_centres, [](const auto& centre) {
           return centre.behind.empty();
         });
}

CtlSession::CtlSession(CtlSettings settings, Output& output)
    : settings(std::move(settings)), output(output) {}

AdminClient& CtlSession::Admin() {
  if (!this->admin) {
    this->admin = std::make_unique<AdminClient>(this->settings.admin,
                                                this->settings.admin_token,
                                                this->settings.timeout);
  }
  return *this->admin;
}

BlockingStore& CtlSession::Store() {
  if (!this->store) {
    this->store = std::make_unique<BlockingStore>(
        this->settings.store_plugin,
        KeyValueStoreOptions{.addresses = this->settings.store,
                             .timeout = this->settings.timeout});
  }
  return *this->store;
}

StoreReply CtlSession::Transact(const StoreTransaction& transaction) {
  return this->settings.store.empty()
             ? StoreReply{.outcome = StoreOutcome::kNotApplied}
             : this->Store().Transact(transaction);
}

Result<StoredConfiguration> CtlSession::Read() {
  if (this->settings.store.empty()) {
    return Fail(ErrorKind::kBadSetting,
                "no address of the key-value service is set; give --store "
                "IP:PORT, or [store] addresses in the file of --config");
  }
  const StoreReply reply = this->Transact(ReadConfigurationTransaction());
  if (reply.outcome != StoreOutcome::kThen) {
    return Fail(ErrorKind::kPlatformDown,
                "the key-value service can't be read");
  }
  return ReadStoredConfiguration(reply);
}

Result<ConfigurationChange::Applied> CtlSession::Change(
    ConfigurationChange::Edit edit) {
  if (this->settings.store.empty()) {
    return tl::unexpected(this->Read().error());
  }
  // After the service is restored from a backup, hosts hold a higher revision
  // than the service. The new revision must be higher than theirs, since hosts
  // ignore lower ones.
  const int64_t highest =
      this->Admin().HasHosts() ? this->Admin().Status().HighestRevision() : 0;
  const std::string token = RandomToken();
  ConfigurationChange change({.name = this->settings.author,
                              .token = token,
                              .above_revision = highest},
                             std::move(edit));
  Backoff backoff(kFirstRetry, kLongestRetry, std::hash<std::string>()(token));
  StoreTransaction next = change.Start();
  while (true) {
    const StoreReply reply = this->Transact(next);
    auto step = change.OnReply(reply);
    if (auto* end = std::get_if<Result<ConfigurationChange::Applied>>(&step)) {
      return std::move(*end);
    }
    next = std::get<StoreTransaction>(std::move(step));
    if (reply.outcome == StoreOutcome::kUnknown ||
        reply.outcome == StoreOutcome::kNotApplied) {
      std::this_thread::sleep_for(backoff.Next());
    }
  }
}

Result<bool> CtlSession::ChangeAndWait(const ConfigurationChange::Edit& edit,
                                       bool wait) {
  const auto applied = this->Change(edit);
  if (!applied) {
    return tl::unexpected(applied.error());
  }
  for (const RecordChange& change : applied->changes) {
    this->output.Line(change.Text());
  }
  this->output.Line(
      applied->changes.empty()
          ? "Nothing to change; revision " + std::to_string(applied->revision) +
                " stays in force."
          : "Accepted as revision " + std::to_string(applied->revision) + ".");
  const bool watch =
      wait && !applied->changes.empty() && this->Admin().HasHosts();
  const InForceReport report =
      watch ? this->WaitInForce(applied->revision)
            : InForceReport{.revision = applied->revision};
  JsonWriter out;
  out.BeginObject().Member("revision", applied->revision);
  WriteChanges(applied->changes, out.Name("changes"));
  out.Member("waited", watch);
  WriteReport(report, out);
  this->output.Document(out.EndObject());
  if (!report.InForceEverywhere()) {
    return Fail(ErrorKind::kTimeout,
                "revision " + std::to_string(applied->revision) +
                    " is accepted, but not known to be in force everywhere:" +
                    DescribeMissing(report));
  }
  return true;
}

InForceReport CtlSession::WaitInForce(int64_t revision) {
  const BootClock clock;
  const Instant start = clock.Now();
  std::set<DataCentreId> reported;
  while (true) {
    const InForceReport report = MakeReport(this->Admin().Status(), revision);
    const Duration took = clock.Now() - start;
    for (const auto& centre : report.data_centres) {
      if (centre.behind.empty() && reported.insert(centre.id).second) {
        this->output.Line(centre.id.Text() + ": in force at " +
                          std::to_string(centre.hosts) + " hosts after " +
                          MillisecondsText(took) + " ms");
      }
    }
    if (report.InForceEverywhere() || took > this->settings.wait) {
      return report;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

std::string RandomToken() {
  g_autofree char* text = g_uuid_string_random();
  return text;
}

void WriteChanges(const std::vector<RecordChange>& changes, JsonWriter& out) {
  static const std::map<RecordChange::Kind, const char*> kKinds = {
      {RecordChange::Kind::kAdded, "added"},
      {RecordChange::Kind::kChanged, "changed"},
      {RecordChange::Kind::kRemoved, "removed"}};
  const auto fields = [&](const char* name, const auto& values) {
    out.Name(name).BeginObject();
    for (const auto& [field, text] : values) {
      out.Member(field, text);
    }
    out.EndObject();
  };
  out.BeginArray();
  for (const RecordChange& change : changes) {
    out.BeginObject()
        .Member("kind", kKinds.at(change.kind))
        .Member("record", change.name);
    fields("before", change.before);
    fields("after", change.after);
    out.EndObject();
  }
  out.EndArray();
}

}  // namespace hickorystand
