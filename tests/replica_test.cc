// Tests of the configuration replicas: several hosts, the key-value service and
// the faults between them, in virtual time.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "decisions/configuration_replica.h"
#include "key_value_state.h"

namespace hickorystand {
namespace {

using fakes::KeyValueState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(50);
constexpr Duration kDigestPeriod = milliseconds(250);

// Simulates one data centre: hosts h0, h1 and so on, of which the first two
// watch the service.
class ReplicaFleet {
 public:
  struct Host {
    std::unique_ptr<ConfigurationReplica> replica;
    bool watching = false;
    int64_t watched = 0;  // last store revision delivered by the watch
    int64_t highest = 0;  // highest revision in force in this incarnation
    int64_t fetches = 0;
    bool deaf = false;  // does not answer fetches
  };

  explicit ReplicaFleet(int hosts, ReplicaOptions options = {})
      : options(std::move(options)) {
    for (int i = 0; i < hosts; ++i) {
      this->Restart(i);
    }
  }

  void Restart(int index) {
    Host& host = this->hosts[index];
    host = {};
    ReplicaOptions host_options = this->options;
    host_options.data_centre = DataCentreId("dc1");
    host_options.seed = static_cast<uint64_t>(index) + 1;
    host.replica = std::make_unique<ConfigurationReplica>(host_options);
    this->Do(index, host.replica->SetWatching(this->now, index < 2));
  }

  void Stop(int index) { this->hosts.erase(index); }

  // Advances virtual time by `length`.
  void Run(Duration length) {
    for (const Instant end = this->now + length; this->now < end;) {
      this->now += kStep;
      this->Feed();
      std::vector<std::function<void()>> arrived;
      std::swap(arrived, this->mail);
      for (const auto& deliver : arrived) {
        deliver();
      }
      for (auto& [index, host] : this->hosts) {
        this->Do(index, host.replica->OnTick(this->now));
      }
      if (this->now.time_since_epoch() % kDigestPeriod == Duration::zero()) {
        this->SendDigests();
      }
    }
  }

  // Applies a change to the service directly, unaffected by injected faults.
  Result<ConfigurationChange::Applied> Apply(
      const std::function<void(Configuration&)>& edit,
      int64_t above_revision = 0) {
    ConfigurationChange change(
        {"test", "t" + std::to_string(++this->tokens), above_revision},
        [&](const Configuration& old) {
          Configuration wanted = old;
          edit(wanted);
          return Result<Configuration>(wanted);
        });
    auto step = change.OnReply(this->store.Transact(change.Start()));
    while (auto* next = std::get_if<StoreTransaction>(&step)) {
      step = change.OnReply(this->store.Transact(*next));
    }
    return std::get<Result<ConfigurationChange::Applied>>(step);
  }

  Result<ConfigurationChange::Applied> AddAccount(const std::string& id) {
    return this->Apply([&](Configuration& wanted) {
      CHECK(PutRecord(wanted, {.kind = "account", .id = id}).has_value());
      CHECK(PutRecord(wanted, {.kind = "site",
                               .id = "dc1",
                               .fields = {{"cut_off_key_limit", "2m"}}})
                .has_value());
    });
  }

  // Restores the service from a backup.
  void RestoreBackup(const KeyValueState& backup) {
    this->store = backup;
    for (auto& [index, host] : this->hosts) {
      host.watched = std::min(host.watched, backup.Revision());
    }
  }

  bool AllAtRevision(int64_t revision) const {
    return std::ranges::all_of(this->hosts, [&](const auto& item) {
      return item.second.replica->Revision() == revision;
    });
  }

  bool AllHaveAccount(const std::string& account) const {
    return std::ranges::all_of(this->hosts, [&](const auto& item) {
      const auto& configuration = item.second.replica->InForce();
      return configuration &&
             configuration->accounts.contains(AccountId(account));
    });
  }

  int64_t LowerIgnored() const {
    int64_t sum = 0;
    for (const auto& [index, host] : this->hosts) {
      sum += host.replica->Counts().lower_ignored;
    }
    return sum;
  }

  Instant now = Instant(seconds(1000));
  KeyValueState store;
  bool down = false;            // the service does not answer
  bool watches_silent = false;  // watches deliver no events and no error
  bool peers_cut = false;       // digests and fetches are lost
  int64_t head_reads = 0;
  int64_t full_reads = 0;
  bool reverted = false;  // a host's revision decreased
  std::map<int, Host> hosts;

 private:
  using Kind = ReplicaAction::Kind;

  static HostId Name(int index) { return HostId("h" + std::to_string(index)); }

  void Do(int index, const ReplicaActions& actions) {
    for (const ReplicaAction& action : actions) {
      this->DoOne(index, action);
    }
  }

  void DoOne(int index, const ReplicaAction& action) {
    Host& host = this->hosts.at(index);
    switch (action.kind) {
      case Kind::kReadHead:
        ++this->head_reads;
        this->Later(index,
                    [this, reply = this->Read(StoreGet(kHeadKey))](Host& to) {
                      return to.replica->OnHeadRead(this->now, reply);
                    });
        break;
      case Kind::kReadAll:
        ++this->full_reads;
        this->Later(
            index,
            [this, reply = this->Read(ReadConfigurationTransaction().then[0])](
                Host& to) {
              return to.replica->OnStateRead(this->now, reply);
            });
        break;
      case Kind::kWatch:
        host.watching = true;
        host.watched = action.store_revision;
        break;
      case Kind::kStopWatch:
        host.watching = false;
        break;
      case Kind::kFetch:
        ++host.fetches;
        this->Fetch(index, action);
        break;
      case Kind::kInForce:
        this->reverted |= action.configuration->revision < host.highest;
        host.highest = std::max(host.highest, action.configuration->revision);
        break;
    }
  }

  StoreReply Read(const StoreOperation& read) {
    return this->down ? StoreReply{.outcome = StoreOutcome::kUnknown}
                      : this->store.Transact({.then = {read}});
  }

  // Delivers in the next step, unless the host has stopped or restarted by
  // then.
  void Later(int index, std::function<ReplicaActions(Host&)> deliver) {
    this->mail.emplace_back([this, index, deliver = std::move(deliver),
                             replica = this->hosts.at(index).replica.get()] {
      const auto host = this->hosts.find(index);
      if (host != this->hosts.end() && host->second.replica.get() == replica) {
        this->Do(index, deliver(host->second));
      }
    });
  }

  void Fetch(int index, const ReplicaAction& action) {
    const auto peer = std::ranges::find_if(this->hosts, [&](const auto& item) {
      return Name(item.first) == action.peer;
    });
    if (this->peers_cut || peer == this->hosts.end() || peer->second.deaf) {
      return;
    }
    this->Later(index, [this, from = action.peer,
                        values = peer->second.replica->ValuesAbove(
                            action.above_revision)](Host& to) {
      return to.replica->OnPeerValues(this->now, from, values);
    });
  }

  void SendDigests() {
    for (const auto& [from, sender] : this->hosts) {
      for (const auto& [index, host] : this->hosts) {
        if (from != index && !this->peers_cut) {
          this->Later(index, [this, name = Name(from),
                              revision = sender.replica->Revision()](Host& to) {
            return to.replica->OnPeerRevision(this->now, name, revision);
          });
        }
      }
    }
  }

  // Delivers changes to each watch, or its loss while the service is down.
  void Feed() {
    for (auto& [index, host] : this->hosts) {
      if (!host.watching || this->watches_silent) {
        continue;
      }
      if (this->down) {
        host.watching = false;
        this->Do(index, host.replica->OnWatchLost(this->now));
        continue;
      }
      std::vector<StoreRecord> changed;
      for (const auto& change :
           this->store.Changes(kConfigurationPrefix, host.watched)) {
        changed.push_back(change.record);
      }
      host.watched = this->store.Revision();
      if (!changed.empty()) {
        this->Do(index, host.replica->OnWatch(this->now, changed));
      }
    }
  }

  ReplicaOptions options;
  std::vector<std::function<void()>> mail;
  int tokens = 0;
};

}  // namespace

TEST_GROUP(Replica){};

TEST(Replica, ChangeIsInForceEverywhereWithinTwoSeconds) {
  ReplicaFleet bed(6);
  CHECK(bed.AddAccount("a").has_value());
  bed.Run(seconds(3));
  CHECK(bed.AllAtRevision(1));
  const int64_t reads = bed.full_reads;
  CHECK(bed.AddAccount("b").has_value());
  bed.Run(seconds(2));
  CHECK(bed.AllAtRevision(2));
  CHECK(bed.AllHaveAccount("b"));
  // Hosts without a watch fetch the change from peers.
  LONGS_EQUAL(reads, bed.full_reads);
}

TEST(Replica, AnswersAPeerWithNoMoreThanWhatItLacks) {
  ReplicaFleet bed(1);
  for (int i = 0; i < 20; ++i) {
    CHECK(bed.AddAccount("a" + std::to_string(i)).has_value());
  }
  bed.Run(seconds(2));
  const auto& replica = *bed.hosts[0].replica;
  LONGS_EQUAL(0, replica.ValuesAbove(20).size());
  LONGS_EQUAL(2, replica.ValuesAbove(19).size());
}

// A host keeps accepting a revoked key: its watch is dead without an error, and
// its peers have the same dead connection, so no digest announces the change.
// The periodic read of the head by each watching host must detect it.
TEST(Replica, NoticesASilentWatchByReadingHead) {
  ReplicaFleet bed(3);
  CHECK(bed.AddAccount("a").has_value());
  bed.Run(seconds(3));
  bed.watches_silent = true;
  CHECK(bed.AddAccount("b").has_value());
  bed.Run(seconds(7));
  CHECK(bed.AllHaveAccount("b"));
}

// All hosts are replaced during a platform outage. Until it ends no host can
// know any key. Afterwards all must load the configuration without an operator,
// and must not keep reading it all at the same moment.
TEST(Replica, ComesBackAfterAllRestartedDuringAnOutage) {
  ReplicaFleet bed(5);
  CHECK(bed.AddAccount("a").has_value());
  bed.Run(seconds(3));
  bed.down = true;
  for (int i = 0; i < 5; ++i) {
    bed.Restart(i);
  }
  bed.Run(seconds(60));
  CHECK(bed.AllAtRevision(0));
  CHECK(!bed.hosts[0].replica->KeysTrusted(bed.now));
  bed.down = false;
  bed.Run(seconds(8));
  CHECK(bed.AllHaveAccount("a"));
  CHECK(bed.hosts[4].replica->KeysTrusted(bed.now));
}

// One host is replaced during a platform outage. It must take the configuration
// from its peers instead of waiting for the platform.
TEST(Replica, RestartedHostLearnsFromPeersDuringAnOutage) {
  ReplicaFleet bed(3);
  CHECK(bed.AddAccount("a").has_value());
  bed.Run(seconds(3));
  bed.down = true;
  bed.Restart(0);
  bed.Run(seconds(3));
  CHECK(bed.AllHaveAccount("a"));
}

// A peer announces the new revision and then does not answer fetches, for
// example because it is paused. The other hosts must not wait for it.
TEST(Replica, PassesOverAPeerThatDoesNotAnswer) {
  ReplicaFleet bed(4);
  bed.hosts[0].deaf = true;
  bed.hosts[1].deaf = true;
  CHECK(bed.AddAccount("a").has_value());
  bed.Run(seconds(4));
  CHECK(bed.AllHaveAccount("a"));
}

// A host resumes after a pause of an hour and offers its old revision in
// digests and answers. No host may revert to it.
TEST(Replica, StalePeerIsIgnored) {
  ReplicaFleet bed(2);
  CHECK(bed.AddAccount("a").has_value());
  bed.Run(seconds(2));
  const auto stale = bed.hosts[1].replica->ValuesAbove(0);
  CHECK(bed.AddAccount("b").has_value());
  bed.Run(seconds(2));
  auto& fresh = *bed.hosts[0].replica;
  CHECK(fresh.OnPeerRevision(bed.now, HostId("h1"), 1).empty());
  CHECK(fresh.OnPeerValues(bed.now, HostId("h1"), stale).empty());
  LONGS_EQUAL(2, fresh.Revision());
  CHECK(fresh.Counts().lower_ignored > 0);
}

// The service is restored from last night's backup. Accounts created and keys
// revoked since then would silently be undone on every host that reads it
// again. The lower revision must be refused, counted, and shown.
void RestoreOlderBackup(ReplicaFleet& bed) {
  CHECK(bed.AddAccount("a").has_value());
  bed.Run(seconds(3));
  const KeyValueState backup = bed.store;
  CHECK(bed.AddAccount("b").has_value());
  bed.Run(seconds(3));
  bed.RestoreBackup(backup);
  bed.down = true;  // a restore disconnects the clients
  bed.Run(seconds(1));
  bed.down = false;
  bed.Run(seconds(20));
}

TEST(Replica, RefusesAServicePutBackToABackup) {
  ReplicaFleet bed(3);
  RestoreOlderBackup(bed);
  CHECK(bed.AllAtRevision(2));
  CHECK(bed.AllHaveAccount("b"));
  CHECK(!bed.reverted);
  CHECK(bed.LowerIgnored() > 0);
  // A restarted host does not stay at the backup's revision either.
  bed.Restart(0);
  bed.Run(seconds(5));
  CHECK(bed.AllAtRevision(2));
}

TEST(Replica, WouldRevertWithoutRefusingLowerRevisions) {
  ReplicaFleet bed(3, {.reject_lower = false});
  RestoreOlderBackup(bed);
  CHECK(bed.reverted);
}

// After a restore from a backup, operators make other changes until the
// service's revision exceeds the one in force at the hosts. The revision
// numbers of the two histories are consistent but the contents differ, so that
// an account created before the restore would stay on some hosts permanently.
// The hosts must read the whole state.
void DivergeAfterRestore(ReplicaFleet& bed) {
  CHECK(bed.AddAccount("a").has_value());
  bed.Run(seconds(3));
  const KeyValueState backup = bed.store;
  CHECK(bed.AddAccount("lost").has_value());
  bed.Run(seconds(3));
  bed.store = backup;
  CHECK(bed.AddAccount("c").has_value());
  CHECK(bed.AddAccount("d").has_value());
  bed.down = true;
  bed.Run(seconds(1));
  bed.down = false;
  bed.Run(seconds(20));
}

TEST(Replica, TakesAForkAsAWholeOnceItIsHigher) {
  ReplicaFleet bed(3);
  DivergeAfterRestore(bed);
  CHECK(bed.AllAtRevision(3));
  CHECK(bed.AllHaveAccount("c"));
  for (const auto& [index, host] : bed.hosts) {
    CHECK(!host.replica->InForce()->accounts.contains(AccountId("lost")));
  }
}

TEST(Replica, WouldMixAForkWithoutComparingHistories) {
  ReplicaFleet bed(3, {.check_history = false});
  DivergeAfterRestore(bed);
  CHECK(std::ranges::any_of(bed.hosts, [](const auto& item) {
    return item.second.replica->InForce()->accounts.contains(AccountId("lost"));
  }));
}

// A data centre is partitioned from the platform and from all others. It keeps
// serving known keys only for the time limit of its site, so that a key revoked
// meanwhile stops working although nothing can reach the hosts.
TEST(Replica, TrustsKeysForTheLimitOnlyWhileCutOff) {
  ReplicaFleet bed(3);
  CHECK(bed.AddAccount("a").has_value());
  bed.Run(seconds(30));
  bed.down = true;
  bed.peers_cut = true;
  bed.Run(seconds(60));
  CHECK(bed.hosts[2].replica->KeysTrusted(bed.now));
  bed.Run(seconds(65));
  CHECK(!bed.hosts[2].replica->KeysTrusted(bed.now));
  bed.down = false;
  bed.peers_cut = false;
  bed.Run(seconds(30));
  CHECK(bed.hosts[2].replica->KeysTrusted(bed.now));
}

// No change is made for a long time, such as a day. Keys must stay trusted.
TEST(Replica, StaysTrustedWhileNothingChanges) {
  ReplicaFleet bed(3);
  CHECK(bed.AddAccount("a").has_value());
  bed.Run(seconds(600));
  for (const auto& [index, host] : bed.hosts) {
    CHECK(host.replica->KeysTrusted(bed.now));
  }
}

// Values that are not a valid configuration must be ignored, whichever peer
// sends them.
TEST(Replica, IgnoresBrokenValues) {
  ReplicaFleet bed(1);
  CHECK(bed.AddAccount("a").has_value());
  bed.Run(seconds(2));
  auto& replica = *bed.hosts[0].replica;
  for (const char* text : {"", "{", "[]", "{\"revision\":9}", "\xff\xfe"}) {
    CHECK(replica
              .OnPeerValues(bed.now, HostId("x"),
                            {{.key = kHeadKey, .revision = 9, .text = text}})
              .empty());
  }
  LONGS_EQUAL(1, replica.Revision());
  LONGS_EQUAL(5, replica.Counts().invalid_ignored);
}

// Runs one data centre for an hour with random faults: outages, silent watches,
// partitions between peers, restarts, peers that do not answer, restores from a
// backup. Then all faults end, and an operator makes one more change with a
// revision above the highest in force, as hickoryctl does.
void RunHourOfFaults(uint32_t seed, ReplicaFleet& bed) {
  std::mt19937 random(seed);
  const auto chance = [&](uint32_t one_in) { return random() % one_in == 0; };
  KeyValueState backup = bed.store;
  for (int second = 0; second < 3600; ++second) {
    if (chance(30)) {
      static_cast<void>(bed.AddAccount("a" + std::to_string(second)));
    }
    bed.down = chance(60) ? !bed.down : bed.down;
    bed.watches_silent = chance(40) ? !bed.watches_silent : bed.watches_silent;
    bed.peers_cut = chance(60) ? !bed.peers_cut : bed.peers_cut;
    if (chance(120)) {
      bed.Restart(static_cast<int>(random() % 4));
    }
    auto& host = bed.hosts[static_cast<int>(random() % 4)];
    host.deaf = chance(50) ? !host.deaf : host.deaf;
    if (chance(400)) {
      backup = bed.store;
    }
    if (chance(900)) {
      bed.RestoreBackup(backup);
    }
    bed.Run(seconds(1));
  }
  bed.down = bed.watches_silent = bed.peers_cut = false;
  for (auto& [index, host] : bed.hosts) {
    host.deaf = false;
  }
  bed.Run(seconds(30));
  int64_t highest = 0;
  for (const auto& [index, host] : bed.hosts) {
    highest = std::max(highest, host.replica->Revision());
  }
  const auto last = bed.Apply(
      [](Configuration& wanted) {
        CHECK(PutRecord(wanted, {.kind = "account", .id = "last"}).has_value());
      },
      highest);
  CHECK(last.has_value());
  bed.Run(seconds(10));
}

TEST(Replica, SurvivesAnHourOfAllFaults) {
  constexpr uint32_t kRuns = 6;
  for (uint32_t seed = 1; seed <= kRuns; ++seed) {
    ReplicaFleet bed(4);
    RunHourOfFaults(seed, bed);
    CHECK(bed.AllHaveAccount("last"));
    CHECK(!bed.reverted);
  }
}

TEST(Replica, HourOfFaultsRevertsWithoutRefusingLowerRevisions) {
  ReplicaFleet bed(4, {.reject_lower = false});
  RunHourOfFaults(1, bed);
  CHECK(bed.reverted);
}

}  // namespace hickorystand
