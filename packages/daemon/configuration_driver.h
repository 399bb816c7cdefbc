// Keeps a host's configuration up to date: reads, watches and fetches what its
// replica asks for, and answers peers that ask for buckets. Lives on the
// control task.

#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "decisions/configuration_replica.h"
#include "kernel/task.h"
#include "peers/message.h"
#include "platform/key_value_store.h"

namespace hickorystand {

// What the driver reaches and tells.
struct ConfigurationOutlets {
  KeyValueStore* store = nullptr;
  // Sends to a peer; false if there is no link to it.
  std::function<bool(const HostId&, const PeerMessage&)> send;
  std::function<void(const ConfigurationPtr&)> in_force;
};

// Runs the configuration replica of one host.
class ConfigurationDriver {
 public:
  ConfigurationDriver(const ReplicaOptions& options,
                      const Clock& clock,
                      ConfigurationOutlets outlets);

  // What is in force; an empty configuration before the first.
  ConfigurationPtr Current() const;

  // Whether this host is to watch the key-value service.
  void SetWatching(bool watches);

  // News of peers.
  void OnPeerRevision(const HostId& peer, int64_t revision);
  void OnPeerGone(const HostId& peer) { this->replica.OnPeerGone(peer); }
  void OnBuckets(const HostId& peer, const BucketsReply& reply);

  // What a peer lacks that holds everything up to a revision, in replies short
  // enough for one frame each. There is always one, so that nobody waits.
  std::vector<BucketsReply> RepliesTo(const BucketsRequest& request) const;

  bool KeysTrusted() const {
    return this->replica.KeysTrusted(this->clock.Now());
  }
  const ReplicaCounts& Counts() const { return this->replica.Counts(); }

 private:
  using Handler = void (ConfigurationDriver::*)(const ReplicaAction&);

  void Perform(const ReplicaActions& actions);
  void ReadHead(const ReplicaAction& action);
  void ReadAll(const ReplicaAction& action);
  void Watch(const ReplicaAction& action);
  void StopWatch(const ReplicaAction& action);
  void Fetch(const ReplicaAction& action);
  void InForce(const ReplicaAction& action);

  const Clock& clock;
  ConfigurationOutlets outlets;
  ConfigurationReplica replica;
  std::unique_ptr<StoreWatch> watch;
  std::unique_ptr<StoreWatch> ended_watch;  // may be the caller of StopWatch
  std::unique_ptr<Timer> timer;
};

}  // namespace hickorystand
