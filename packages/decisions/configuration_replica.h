// One host's copy of the configuration: which revision is in force here, and
// where the next one is to be had.
//
// Two hosts of a data centre watch the key-value service. The others hear of a
// new revision from their peers' digests and fetch from a peer the buckets that
// changed, or read the service when no peer answers in time. Whatever comes,
// from wherever, is taken only as a whole state above the one in force; so a
// stale peer, a late answer or a service put back to an old backup can't bring
// anything back.
//
// Index
//   ReplicaOptions, ReplicaValue, ReplicaAction   what goes in and out
//   ReplicaCounts                                 what was refused and why
//   ConfigurationReplica

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "decisions/configuration_codec.h"
#include "decisions/store.h"
#include "kernel/backoff.h"
#include "kernel/ids.h"
#include "kernel/log.h"
#include "kernel/time.h"

namespace hickorystand {

// How a replica is made.
struct ReplicaOptions {
  DataCentreId data_centre;
  uint64_t seed = 1;
  // How long a peer may take to answer before the next one is asked.
  Duration peer_timeout = std::chrono::milliseconds(500);
  // How many peers are asked before the service is read.
  int peer_tries = 2;
  // How often a host that watches reads head. It shows that the watch still
  // lives and that this host is not cut off.
  Duration confirm_period = std::chrono::seconds(5);
  // The same for hosts that don't watch: an eighth of the limit on keys, within
  // these bounds.
  Duration longest_confirm_period = std::chrono::minutes(5);

  // Test switches, each the absence of one mechanism.
  bool refuse_lower = true;     // false: any other whole state is taken
  bool compare_history = true;  // false: buckets of a fork are mixed in
  bool ask_service = true;      // false: only peers are asked
};

// One value as it lies in the key-value service, with the revision of the
// configuration at which it last changed.
struct ReplicaValue {
  std::string key;
  int64_t revision = 0;
  std::string text;

  auto operator<=>(const ReplicaValue&) const = default;
};

// What the replica wants done.
struct ReplicaAction {
  enum class Kind {
    kReadHead,   // read kHeadKey; answer with OnHeadRead
    kReadAll,    // read kConfigurationPrefix; answer with OnStateRead
    kWatch,      // watch kConfigurationPrefix after `store_revision`
    kStopWatch,  // end the watch
    kFetch,      // ask `peer` for the values above `above_revision`
    kInForce,    // `configuration` is in force from now on
  };

  Kind kind = Kind::kReadAll;
  int64_t store_revision = 0;
  HostId peer;
  int64_t above_revision = 0;
  ConfigurationPtr configuration;

  bool operator==(const ReplicaAction&) const = default;
};

using ReplicaActions = std::vector<ReplicaAction>;

// What was refused or failed, for metrics.
struct ReplicaCounts {
  int64_t lower_ignored = 0;   // whole states below the one in force
  int64_t broken_ignored = 0;  // states that are wrong in themselves
  int64_t forks_seen = 0;      // heads that don't continue the one in force
  int64_t reads_failed = 0;    // of the service
  int64_t peers_silent = 0;    // fetches without an answer in time
  int64_t watches_lost = 0;

  auto operator<=>(const ReplicaCounts&) const = default;
};

// The state machine. Pure: events come in with their time, actions go out.
class ConfigurationReplica {
 public:
  explicit ConfigurationReplica(ReplicaOptions options);

  // Whether this host is one of the two that watch, as the membership says.
  ReplicaActions SetWatching(Instant now, bool watches);

  // The service answered a kReadHead or a kReadAll.
  ReplicaActions OnHeadRead(Instant now, const StoreReply& reply);
  ReplicaActions OnStateRead(Instant now, const StoreReply& reply);

  // The watch saw values written, or is dead.
  ReplicaActions OnWatch(Instant now, const std::vector<StoreRecord>& changed);
  ReplicaActions OnWatchLost(Instant now);

  // A peer's digest named the revision in force there.
  ReplicaActions OnPeerRevision(Instant now,
                                const HostId& peer,
                                int64_t revision);

  // A peer answered a kFetch, perhaps in several parts.
  ReplicaActions OnPeerValues(Instant now,
                              const HostId& peer,
                              const std::vector<ReplicaValue>& values);

  // A peer has left or is unreachable.
  void OnPeerGone(const HostId& peer);

  // Call every 100 ms or so: timeouts and repeated reads. Reads first of all at
  // the first call.
  ReplicaActions OnTick(Instant now);

  // What is in force here; null before the first.
  const ConfigurationPtr& InForce() const { return this->in_force; }
  int64_t Revision() const { return this->head.revision; }

  // What a peer needs that holds a revision: head, and each bucket above it.
  // Empty if this host has nothing newer.
  std::vector<ReplicaValue> ValuesAbove(int64_t revision) const;

  // Whether keys may still be trusted. A host that is cut off goes on serving
  // known keys for the time set for its site; afterwards a key may have been
  // revoked for so long that to refuse is the lesser harm.
  bool KeysTrusted(Instant now) const;

  // When it was last certain that nothing newer was in force.
  std::optional<Instant> ConfirmedAt() const { return this->confirmed_at; }

  const ReplicaCounts& Counts() const { return this->counts; }

 private:
  struct Staged {
    ConfigurationHead head;  // revision 0: not there yet
    std::string head_text;
    std::map<int, ConfigurationBucket> buckets;
    std::map<int, std::string> texts;
  };

  bool Stage(const std::string& key, const std::string& text);
  ReplicaActions TryAccept(Instant now);
  ReplicaActions Accept(Instant now, ConfigurationPtr next);
  bool Continues(const ConfigurationHead& next) const;
  bool IsInForce(const ConfigurationHead& seen) const;
  void IgnoreLower(Instant now, int64_t revision);
  void IgnoreBroken(Instant now, const Error& error);
  ReplicaActions Catch(Instant now);
  ReplicaActions FetchNext(Instant now);
  ReplicaActions ReadAll(Instant now);
  void NoteReadFailed(Instant now);
  Duration KeyLimit() const;
  Duration ConfirmPeriod() const;

  ReplicaOptions options;
  Backoff backoff;
  std::mt19937_64 random;
  LogLimiter limiter;
  ReplicaCounts counts;

  // In force.
  ConfigurationPtr in_force;
  ConfigurationHead head;
  std::string head_text;
  std::map<int, ConfigurationBucket> buckets;
  std::map<int, std::string> texts;
  std::optional<Instant> confirmed_at;

  // On its way.
  Staged staged;
  std::map<HostId, int64_t> peers;  // revision in force at each
  HostId fetching;                  // the peer asked just now; empty: none
  bool fetch_whole = false;         // from revision 0, as histories forked
  Instant fetch_deadline{};
  std::vector<HostId> tried;  // peers that were silent in this round

  // Towards the service.
  bool watches = false;
  bool watch_open = false;
  bool reading_all = false;
  bool reading_head = false;
  Instant read_started{};
  bool started = false;
  std::optional<Instant> next_read;  // of everything
  Instant next_confirm{};
};

}  // namespace hickorystand
