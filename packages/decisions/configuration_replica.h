// One host's replica of the configuration: holds the revision in force on this
// host and obtains newer ones.
//
// Two hosts of a data centre watch the key-value service. The other hosts learn
// of a new revision from their peers' digests and fetch the changed buckets
// from a peer, or read the service if no peer answers in time. Whatever the
// source, a state is accepted only if it is complete and its revision is above
// the one in force, so that a stale peer, a late answer or a service restored
// from an old backup can't undo changes.
//
// Index
//   ReplicaOptions, ReplicaValue, ReplicaAction   inputs and outputs
//   ReplicaCounts                                 counters for metrics
//   ConfigurationReplica                          the state machine

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

// Options of ConfigurationReplica.
struct ReplicaOptions {
  DataCentreId data_centre;
  uint64_t seed = 1;
  // Timeout of a fetch from a peer; then the next peer is tried.
  Duration peer_timeout = std::chrono::milliseconds(500);
  // Number of peers that are tried before the service is read.
  int peer_tries = 2;
  // How often a watching host reads head, which detects a dead watch and
  // confirms that this host is not cut off.
  Duration confirm_period = std::chrono::seconds(5);
  // Upper bound of that period for hosts that don't watch: they use an eighth
  // of the site's cut_off_key_limit, clamped to confirm_period and this bound.
  Duration max_confirm_period = std::chrono::minutes(5);

  // Switches for tests; each disables one mechanism.
  bool reject_lower = true;   // false: accepts any complete state
  bool check_history = true;  // false: mixes in buckets of a fork
  bool read_service = true;   // false: reads from peers only
};

// One value as stored in the key-value service, with the configuration revision
// at which it last changed.
struct ReplicaValue {
  std::string key;
  int64_t revision = 0;
  std::string text;

  auto operator<=>(const ReplicaValue&) const = default;
};

// An action that the caller must carry out for the replica.
struct ReplicaAction {
  enum class Kind {
    kReadHead,   // read kHeadKey; reply with OnHeadRead()
    kReadAll,    // read kConfigurationPrefix; reply with OnStateRead()
    kWatch,      // watch kConfigurationPrefix after `store_revision`
    kStopWatch,  // end the watch
    kFetch,      // request values above `above_revision` from `peer`
    kInForce,    // `configuration` is now in force
  };

  Kind kind = Kind::kReadAll;
  int64_t store_revision = 0;
  HostId peer;
  int64_t above_revision = 0;
  ConfigurationPtr configuration;

  bool operator==(const ReplicaAction&) const = default;
};

using ReplicaActions = std::vector<ReplicaAction>;

// Counts of rejected states and failures, for metrics.
struct ReplicaCounts {
  int64_t lower_ignored = 0;    // heads not above the one in force
  int64_t invalid_ignored = 0;  // states that don't parse or validate
  int64_t forks_seen = 0;     // heads of another history than the one in force
  int64_t reads_failed = 0;   // of the service
  int64_t peer_timeouts = 0;  // fetches that timed out
  int64_t watches_lost = 0;

  auto operator<=>(const ReplicaCounts&) const = default;
};

// The state machine. Does no I/O: each event is passed in with its time and
// returns the actions to carry out.
class ConfigurationReplica {
 public:
  explicit ConfigurationReplica(ReplicaOptions options);

  // Sets whether this host is one of the two watching hosts, as determined by
  // the membership.
  ReplicaActions SetWatching(Instant now, bool enabled);

  // The service replied to a kReadHead or a kReadAll.
  ReplicaActions OnHeadRead(Instant now, const StoreReply& reply);
  ReplicaActions OnStateRead(Instant now, const StoreReply& reply);

  // The watch reported written values, or has ended.
  ReplicaActions OnWatch(Instant now, const std::vector<StoreRecord>& changed);
  ReplicaActions OnWatchLost(Instant now);

  // A peer's digest reported the revision in force at the peer.
  ReplicaActions OnPeerRevision(Instant now,
                                const HostId& peer,
                                int64_t revision);

  // A peer answered a kFetch, possibly in several parts.
  ReplicaActions OnPeerValues(Instant now,
                              const HostId& peer,
                              const std::vector<ReplicaValue>& values);

  // A peer has left or is unreachable.
  void OnPeerGone(const HostId& peer);

  // Handles timeouts and periodic reads; call about every 100 ms. The first
  // call schedules the initial read.
  ReplicaActions OnTick(Instant now);

  // The configuration in force; null until one was accepted.
  const ConfigurationPtr& InForce() const { return this->in_force; }
  int64_t Revision() const { return this->head.revision; }

  // The values that a peer at `revision` lacks: each bucket that changed since,
  // and head. Empty if this host has nothing newer.
  std::vector<ReplicaValue> ValuesAbove(int64_t revision) const;

  // Whether known keys are still valid. A host that is cut off keeps accepting
  // known keys for its site's cut_off_key_limit. After that it rejects all
  // keys, as one revoked too long ago is worse than valid ones being rejected.
  bool KeysTrusted(Instant now) const;

  // When the revision in force here was last confirmed to be the newest.
  std::optional<Instant> ConfirmedAt() const { return this->confirmed_at; }

  const ReplicaCounts& Counts() const { return this->counts; }

 private:
  struct Staged {
    ConfigurationHead head;  // revision 0: not received yet
    std::string head_text;
    std::map<int, ConfigurationBucket> buckets;
    std::map<int, std::string> texts;
  };

  bool Stage(const std::string& key, const std::string& text);
  ReplicaActions TryAccept(Instant now);
  ReplicaActions Accept(Instant now, ConfigurationPtr next);
  bool ContinuesHistory(const ConfigurationHead& next) const;
  bool IsInForce(const ConfigurationHead& other) const;
  void IgnoreLower(Instant now, int64_t revision);
  void IgnoreInvalid(Instant now, const Error& error);
  ReplicaActions StartCatchUp(Instant now);
  ReplicaActions FetchFromNextPeer(Instant now);
  ReplicaActions ReadAll(Instant now);
  void OnReadFailed(Instant now);
  Duration KeyValidity() const;
  Duration ConfirmPeriod() const;

  ReplicaOptions options;
  Backoff backoff;
  std::mt19937_64 random;
  LogLimiter limiter;
  ReplicaCounts counts;

  // The state in force.
  ConfigurationPtr in_force;
  ConfigurationHead head;
  std::string head_text;
  std::map<int, ConfigurationBucket> buckets;
  std::map<int, std::string> texts;
  std::optional<Instant> confirmed_at;

  // State being received, and the fetch from a peer.
  Staged staged;
  std::map<HostId, int64_t>
      peer_revisions;      // by peer: the revision in force there
  HostId fetching_from;    // peer of the pending fetch; empty: none
  bool fetch_all = false;  // fetch from revision 0, after a fork
  Instant fetch_deadline{};
  std::vector<HostId> tried_peers;  // peers that timed out in this round

  // Watch and reads of the service.
  bool should_watch = false;
  bool watch_open = false;
  bool reading_all = false;
  bool reading_head = false;
  Instant read_started{};
  bool started = false;
  std::optional<Instant> next_full_read;  // next read of the whole state
  Instant next_confirm{};
};

}  // namespace hickorystand
