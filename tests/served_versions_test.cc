// Tests of the record of software versions, and of simulated schedulers that
// share it.

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decisions/served_versions.h"

namespace hickorystand {
namespace {

const ServiceId kService("s");
const std::string kRoute = "h.example/a/";
constexpr int64_t kMinute = 60000;

Instant At(double time) {
  return Instant(FromSeconds(time));
}

StreamOrigin Origin(const std::string& software) {
  return {.service = kService, .software = SoftwareVersion(software)};
}

FleetEndpoints Endpoints(const std::set<std::string>& versions) {
  FleetEndpoints endpoints;
  for (const std::string& version : versions) {
    const EndpointId id("e-" + version);
    endpoints[id] = {.run = {.id = id, .started = 1},
                     .service = kService,
                     .software = SoftwareVersion(version)};
  }
  return endpoints;
}

std::map<std::string, std::set<ServiceId>> Routes(
    const std::set<ServiceId>& services = {kService}) {
  return {{kRoute, services}};
}

ServedVersions Record(const std::set<std::string>& versions) {
  ServedVersions record{.routes = {{kRoute, {.services = {kService}}}}};
  for (const std::string& version : versions) {
    record.services[kService].versions.insert(SoftwareVersion(version));
  }
  return record;
}

std::optional<StreamOrigin> Only(const ServedVersions& record,
                                 int64_t unix_ms = kMinute) {
  return OnlyOrigin(record, kRoute, {kService}, unix_ms);
}

// A ledger that has read a record and a list of endpoints.
VersionLedger Ledger(const std::optional<ServedVersions>& read,
                     const std::set<std::string>& listed,
                     const VersionLedgerOptions& options = {}) {
  VersionLedger ledger(options);
  ledger.StartObserving(At(1));
  ledger.SetRoutes(1, Routes());
  ledger.SetEndpoints(At(1), Endpoints(listed));
  ledger.OnRecord(At(1), read ? 5 : 0, read);
  return ledger;
}

}  // namespace

TEST_GROUP(ServedVersions){};

TEST(ServedVersions, OneVersionIsTheOriginOfAllStreams) {
  CHECK(Only(Record({"v1"})) == Origin("v1"));
  CHECK(!Only(Record({"v1", "v2"})));
  CHECK(!Only(Record({})));
  CHECK(!OnlyOrigin(Record({"v1"}), "other/", {kService}, kMinute));
}

// Guards against a version from a record that is younger than a stream may be.
TEST(ServedVersions, ARecordTellsNothingOfTheTimeBeforeIt) {
  ServedVersions record = Record({"v1"});
  record.services[kService].complete_since = 5 * kMinute;
  CHECK(!Only(record, 5 * kMinute + 59000));
  CHECK(Only(record, 6 * kMinute) == Origin("v1"));
}

// Guards against a stream that goes on at the service to which its route leads
// now, though it led to another one when the stream began.
TEST(ServedVersions, AChangedRouteHasNoOnlyOrigin) {
  ServedVersions record = Record({"v1"});
  record.routes[kRoute].since = 5 * kMinute;
  CHECK(!Only(record, 5 * kMinute + 59000));
  CHECK(Only(record, 6 * kMinute) == Origin("v1"));
  record.routes[kRoute].services = {ServiceId("t")};
  CHECK(!Only(record, 9 * kMinute));
  record.routes[kRoute].services = {kService, ServiceId("t")};
  CHECK(!OnlyOrigin(record, kRoute, {kService, ServiceId("t")}, 9 * kMinute));
}

TEST(ServedVersions, SurvivesItsText) {
  ServedVersions record = Record({"v1", "v1.2 \"quoted\""});
  record.services[ServiceId("t")] = {.complete_since = 1790973309366};
  record.routes["x/"] = {.services = {ServiceId("t")}, .since = 17};
  record.configuration = 45;
  const auto read = DecodeServedVersions(EncodeServedVersions(record));
  CHECK(read.has_value());
  CHECK(*read == record);
  for (const char* text : {"", "[]", "{}", R"({"services":1,"routes":{}})"}) {
    CHECK(!DecodeServedVersions(text).has_value());
  }
}

// Guards against streams at a version that the record doesn't name yet.
TEST(ServedVersions, StreamsBeginAtVersionsOfTheRecordOnly) {
  VersionLedger ledger = Ledger(Record({"v1"}), {"v1", "v2"});
  CHECK(ledger.Beginnable(At(1)) == std::set<StreamOrigin>{Origin("v1")});
  const auto wanted = ledger.Wanted(At(1), kMinute, false);
  CHECK(wanted == Record({"v1", "v2"}));
  ledger.OnRecord(At(1), 6, wanted);
  LONGS_EQUAL(2, ledger.Beginnable(At(1)).size());
  CHECK(!ledger.Wanted(At(2), kMinute, true));
}

// Guards against streams at a version that others have removed meanwhile.
TEST(ServedVersions, AHostThatCannotReadTheRecordBeginsNothingForever) {
  const VersionLedger ledger = Ledger(Record({"v1"}), {"v1"});
  CHECK(!ledger.Beginnable(At(1 + 29 * 60)).empty());
  CHECK(ledger.Beginnable(At(1 + 30 * 60)).empty());
  CHECK(ledger.NeedsRead(At(1 + 61)));
}

// Guards against forgetting a version while streams of it may go on, and
// against keeping it forever.
TEST(ServedVersions, RemovesAVersionLongAfterItsLastListing) {
  VersionLedger ledger = Ledger(Record({"v1", "v2", "v3"}), {"v1", "v2"});
  ledger.SetEndpoints(At(3000), Endpoints({"v1"}));
  CHECK(!ledger.Wanted(At(3500), kMinute, true));
  const auto left = [](const std::set<std::string>& versions) {
    ServedVersions record = Record(versions);
    record.services[kService].complete_since = 31 * kMinute;
    return record;
  };
  CHECK(ledger.Wanted(At(3602), kMinute, true) == left({"v1", "v2"}));
  CHECK(!ledger.Wanted(At(3602), kMinute, false));
  CHECK(ledger.Wanted(At(6601), kMinute, true) == left({"v1"}));
  ledger.StartObserving(At(6601));
  ledger.SetEndpoints(At(6601), Endpoints({"v1"}));
  CHECK(!ledger.Wanted(At(6602), kMinute, true));
}

TEST(ServedVersions, TheFirstRecordOfAFleetIsComplete) {
  const VersionLedger first = Ledger({}, {"v1"}, {.first_start = true});
  CHECK(Only(first.Wanted(At(1), 5 * kMinute, false).value_or(ServedVersions()),
             5 * kMinute) == Origin("v1"));
  const VersionLedger later = Ledger({}, {"v1"});
  CHECK(
      !Only(later.Wanted(At(1), 5 * kMinute, false).value_or(ServedVersions()),
            5 * kMinute));
}

// Guards against a host with an older configuration that undoes a change.
TEST(ServedVersions, OnlyANewerConfigurationChangesRoutes) {
  ServedVersions record = Record({"v1"});
  record.configuration = 4;
  VersionLedger ledger = Ledger(record, {"v1"});
  ledger.SetRoutes(3, Routes({ServiceId("t")}));
  CHECK(!ledger.Wanted(At(1), 5 * kMinute, true));
  ledger.SetRoutes(5, Routes({ServiceId("t")}));
  CHECK(!ledger.Wanted(At(1), 5 * kMinute, false));
  const auto wanted = ledger.Wanted(At(1), 5 * kMinute, true);
  CHECK(wanted && wanted->configuration == 5 &&
        wanted->routes.at(kRoute).since == 5 * kMinute);
}

// Guards against a removed version that returns: schedulers that read the
// record before begin streams there.
TEST(ServedVersions, ARemovedVersionIsPossibleUntilAllHostsHaveReadTheRecord) {
  VersionLedger ledger = Ledger(Record({"v1", "v2"}), {"v2"});
  constexpr int64_t kRemoved = 100 * kMinute;
  const auto wanted = ledger.Wanted(At(3601), kRemoved, true);
  CHECK(wanted && *wanted != Record({"v1", "v2"}));
  if (wanted) {
    CHECK(!Only(*wanted, kRemoved + 30 * kMinute));
    CHECK(Only(*wanted, kRemoved + 31 * kMinute) == Origin("v2"));
  }
}

// -- Simulated schedulers -----------------------------------------------------

namespace {

constexpr size_t kHosts = 4;
constexpr int kSteps = 300;
constexpr uint32_t kFleetsPerSeed = 50;

// Schedulers with their real ledgers, over a store whose answers come late or
// never, while hosts are killed and endpoints of other versions come and go.
class LedgerFleet {
 public:
  explicit LedgerFleet(uint32_t seed) : random(seed) {
    this->hosts.resize(kHosts);
    for (size_t host = 0; host < kHosts; ++host) {
      this->Start(host, true);
    }
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      this->now += 0.01 * static_cast<double>(this->random() % 300);
      this->Step();
    }
  }

  int64_t wrong = 0;  // only origins that some stream doesn't have
  int64_t found = 0;
  int64_t begun = 0;

 private:
  struct Host {
    VersionLedger ledger;
    FleetEndpoints listed;
    int64_t generation = 0;
  };
  struct Stream {
    StreamOrigin origin;
    double time = 0;
  };

  int64_t UnixMs() const { return static_cast<int64_t>(this->now * 1000); }

  void Start(size_t host, bool first) {
    Host& started = this->hosts[host];
    ++started.generation;
    started.ledger = VersionLedger({.first_start = first});
    started.ledger.StartObserving(At(this->now));
    started.ledger.SetRoutes(1, Routes());
    started.listed = Endpoints(this->versions);
    started.ledger.SetEndpoints(At(this->now), started.listed);
  }

  // Reads the record; the answer arrives later, if at all.
  void Read(size_t host) {
    const auto answer = [this, host, asked = this->now, value = this->record,
                         revision = this->revision,
                         generation = this->hosts[host].generation] {
      if (this->hosts[host].generation == generation) {
        this->hosts[host].ledger.OnRecord(At(asked), revision, value);
      }
    };
    this->answers.emplace_back(answer);
  }

  void Write(size_t host) {
    VersionLedger& ledger = this->hosts[host].ledger;
    const auto wanted = ledger.Wanted(At(this->now), this->UnixMs(), host == 0);
    if (!wanted || ledger.Revision() != this->revision) {
      this->Read(host);
      return;
    }
    this->record = wanted;
    ++this->revision;
    this->Read(host);
  }

  // Streams begin at any listed endpoint at which they may.
  void Begin(size_t host) {
    const auto beginnable = this->hosts[host].ledger.Beginnable(At(this->now));
    for (const auto& [id, endpoint] : this->hosts[host].listed) {
      if (beginnable.contains(endpoint.Origin())) {
        this->streams.push_back(
            {.origin = endpoint.Origin(), .time = this->now});
        ++this->begun;
      }
    }
  }

  void Check() {
    if (!this->record) {
      return;
    }
    const auto only = Only(*this->record, this->UnixMs());
    this->found += only ? 1 : 0;
    std::erase_if(this->streams, [this](const Stream& stream) {
      return this->now - stream.time > ToSeconds(kLongestPatience);
    });
    for (const Stream& stream : this->streams) {
      this->wrong += only && stream.origin != *only ? 1 : 0;
    }
  }

  void Step() {
    const size_t host = this->random() % kHosts;
    Host& at = this->hosts[host];
    switch (this->random() % 11) {
      case 0:
        this->Start(host, false);
        break;
      case 1:
        if (this->random() % 6 == 0) {
          this->versions.insert("v" + std::to_string(this->random() % 4));
        }
        break;
      case 2:
        if (this->versions.size() > 1) {
          this->versions.erase(this->versions.begin());
        }
        break;
      case 3:
        if (this->random() % 20 == 0) {
          this->now += 4000;
        }
        break;
      case 4:
      case 5:
        at.listed = Endpoints(this->versions);
        at.ledger.SetEndpoints(At(this->now), at.listed);
        break;
      case 6:
        this->Write(host);
        break;
      case 7:
        this->Read(host);
        break;
      case 8:
        if (!this->answers.empty()) {
          if (this->random() % 4 != 0) {
            this->answers.front()();
          }
          this->answers.pop_front();
        }
        break;
      case 9:
        this->Begin(host);
        break;
      default:
        this->Check();
    }
  }

  std::mt19937 random;
  double now = 1000;
  std::vector<Host> hosts;
  std::set<std::string> versions{"v1"};
  std::optional<ServedVersions> record;
  int64_t revision = 0;
  std::deque<std::function<void()>> answers;
  std::vector<Stream> streams;
};

}  // namespace

// Guards against any order of reads, writes and restarts after which the record
// names one version although streams of another one go on.
TEST(ServedVersions, TheOnlyOriginIsThatOfAllStreams) {
  int64_t found = 0;
  int64_t begun = 0;
  CHECK(rc::check("only origins are true", [&](uint32_t seed) {
    for (uint32_t i = 0; i < kFleetsPerSeed; ++i) {
      LedgerFleet fleet(seed + i);
      fleet.Run();
      found += fleet.found;
      begun += fleet.begun;
      RC_ASSERT(fleet.wrong == 0);
    }
  }));
  CHECK(found > 100);
  CHECK(begun > 1000);
}

}  // namespace hickorystand
