// Keeps a host's configuration up to date: performs the reads, watches and
// fetches that its ConfigurationReplica requests, and answers peers that
// request buckets. Used only on the control task.

#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "decisions/configuration_replica.h"
#include "kernel/task.h"
#include "peers/message.h"
#include "platform/key_value_store.h"

namespace hickorystand {

// The store and callbacks that the driver uses.
struct ConfigurationDependencies {
  KeyValueStore* store = nullptr;
  // Sends to a peer. Returns false if there is no link to it.
  std::function<bool(const HostId&, const PeerMessage&)> send;
  // Called with each configuration that comes into force.
  std::function<void(const ConfigurationPtr&)> in_force;
};

// Runs the configuration replica of one host.
class ConfigurationDriver {
 public:
  ConfigurationDriver(const ReplicaOptions& options,
                      const Clock& clock,
                      ConfigurationDependencies dependencies);

  // The configuration in force; empty until the first one is received.
  ConfigurationPtr Current() const;

  // Sets whether this host watches the key-value service.
  void SetWatching(bool watches);

  // Input from peers: a peer's revision, the loss of a peer, and its reply.
  void OnPeerRevision(const HostId& peer, int64_t revision);
  void OnPeerGone(const HostId& peer) { this->replica.OnPeerGone(peer); }
  void OnBuckets(const HostId& peer, const BucketsReply& reply);

  // Returns all buckets above the requested revision, split into replies that
  // each fit into one frame. There is at least one reply, so that the peer does
  // not wait for a timeout.
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
  ConfigurationDependencies dependencies;
  ConfigurationReplica replica;
  std::unique_ptr<StoreWatch> watch;
  std::unique_ptr<StoreWatch>
      ended_watch;  // StopWatch() may run in its callback
  std::unique_ptr<Timer> timer;
};

}  // namespace hickorystand
