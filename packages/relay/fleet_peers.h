// Discovery of the other hosts of the fleet, selection of the schedulers, and
// the links between hosts.
//
// Index
//   FleetPeersOptions    this host's record, intervals and timeouts
//   FleetRole            ingress host or scheduler
//   FleetPeersHandlers   callbacks
//   FleetPeers           registration, host list, role and links
//
// Each host writes its record to the platform's key-value service under a
// lease, so that the record is deleted when the host stops renewing it. Every
// host reads all records and derives the same set of schedulers from them
// (decisions/fleet_topology.h). Schedulers are linked with each other; an
// ingress host is linked with a few of them. The first host generates a secret
// in the store, with which hosts authenticate to each other.
//
// Hosts that send to endpoints write a second record under the same lease. The
// key names the lease, so a late write or the record of an earlier process
// can't replace a newer one. What these hosts may spend together is divided by
// the number of hosts with such a record (decisions/fleet_share.h).

#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "decisions/fleet_share.h"
#include "decisions/fleet_topology.h"
#include "kernel/task.h"
#include "peers/peer_links.h"
#include "platform/key_value_store.h"

namespace hickorystand {

// This host's record, intervals and timeouts.
struct FleetPeersOptions {
  FleetHost self;
  uint64_t seed = 1;  // of the jitter of retries and reads
  // The whole fleet starts for the first time: its records appear one by one.
  bool first_start = false;
  ResourceBudget* budget = nullptr;  // counts what links hold; may be null
  FleetTopologyOptions topology;
  Duration lease = std::chrono::seconds(10);  // of the host's record
  Duration renew = std::chrono::seconds(3);
  // Interval between reads of all records, on schedulers and on ingress hosts.
  Duration list = std::chrono::seconds(3);
  Duration ingress_list = std::chrono::seconds(8);
  Duration first_list = std::chrono::milliseconds(400);
  // An ingress host that is notified of a draining host reads the list after a
  // random delay of up to this, because many hosts are notified at once.
  Duration list_jitter = std::chrono::milliseconds(1200);
  // This host's part of what the hosts that send to endpoints spend together,
  // and the interval between reads of the list of these hosts.
  FleetShareOptions share;
  Duration share_list = std::chrono::seconds(4);
  // Consecutive lists that must assign another role before a host switches.
  int64_t lists_to_confirm_role = 2;
  // Longest interval between attempts to reconnect. It is short so that the
  // usage counts of the other side of a healed partition arrive before their
  // report is due.
  Duration longest_backoff = std::chrono::milliseconds(1500);
  // An ingress host closes the link to a scheduler from which nothing arrived
  // for this long, and sends its requests to another one. Linked hosts send
  // heartbeats at the interval below.
  Duration ingress_silence = std::chrono::milliseconds(2600);
  Duration heartbeat = std::chrono::milliseconds(1000);
  // Shortest interval between digests, and their bandwidth limit. Queues at
  // endpoints change within tenths of a second.
  Duration shortest_digest = std::chrono::milliseconds(100);
  double digest_bytes_per_second = 24000;
};

// Role of a host in the fleet.
enum class FleetRole { kUnknown, kIngress, kScheduler };

// Callbacks of FleetPeers.
struct FleetPeersHandlers {
  std::function<Digest()> make_digest;
  std::function<void(const Digest&)> on_digest;
  // The role of this host has changed.
  std::function<void(FleetRole)> on_role;
  // The set of schedulers that this host should be linked with has changed.
  std::function<void(const std::vector<FleetHost>&)> on_schedulers;
  // The number of schedulers, including this host if it is one.
  std::function<void(size_t)> on_listed;
  // This host's part of the budgets that all senders share was confirmed, has
  // changed or is lost.
  std::function<void(const ShareTerm&)> on_share = [](const ShareTerm&) {};
  std::function<void(const HostId&)> on_linked;
  std::function<void(const HostId&)> on_gone;
  // A linked host has reported that it is a scheduler. Called on schedulers
  // only.
  std::function<void(const HostId&)> on_scheduler_linked;
  // Whether the link to a host carries requests, which closing it would fail.
  std::function<bool(const HostId&)> in_use;
  std::function<void(const HostId&, const PeerMessage&)> on_message;
};

// Registers this host, reads the list of hosts, determines this host's role and
// maintains its links. Errors of the store are retried; messages to hosts that
// are not linked are dropped.
class FleetPeers {
 public:
  FleetPeers(FleetPeersOptions options,
             const Clock& clock,
             KeyValueStore& store,
             FleetPeersHandlers handlers);
  ~FleetPeers();

  // Starts to register this host, to read the list and to open links.
  void Start();

  // Deletes this host's record, so that other hosts remove it from their plans.
  // An ingress host continues to read the list, in order to find schedulers for
  // its remaining requests.
  void Leave();

  // Send to one host, to all linked hosts, or to the linked schedulers. Send()
  // returns false if the host is not linked or its queue is full; the others
  // return the number of hosts.
  bool Send(const HostId& host, const PeerMessage& message);
  size_t Broadcast(const PeerMessage& message);
  size_t BroadcastToSchedulers(const PeerMessage& message);

  FleetRole Role() const { return this->role; }
  const FleetHost& Self() const { return this->options.self; }

  // Whether a host is linked and has reported that it is a scheduler.
  bool IsScheduler(const HostId& host) const {
    return this->linked_schedulers.contains(host);
  }

  // The schedulers that this host should be linked with.
  const std::vector<FleetHost>& Schedulers() const { return this->schedulers; }

  // The other schedulers that are currently linked.
  std::vector<FleetHost> LinkedSchedulers() const;

  // The number of schedulers, including this host if it is one; the schedulers
  // that this host should be linked with; and the number of other schedulers
  // with a lower id.
  size_t Listed() const { return this->listed; }
  std::vector<HostId> Others() const;
  size_t Rank() const { return this->rank; }

  // Incarnation of this process on its links; 0 until the secret was read.
  uint64_t Incarnation() const { return this->incarnation; }

 private:
  void ReadSecret();
  void ReadSecretLater();
  void MakeSecret();
  void Register();
  void WriteRecord();
  void WriteSenderRecord();
  void OnSenderRecord(int64_t under_lease, const StoreReply& reply);
  void ListSenders();
  void ApplySenders(Instant requested_at, const StoreReply& reply);
  void UpdateShare();
  void Renew();
  void List();
  void ScheduleEarlyList();
  void ApplyList(const StoreReply& reply);
  void AddLinkedSchedulers(std::vector<FleetHost>& listed) const;
  void ApplyPlannedRole(FleetRole planned);
  std::vector<FleetHost> PickLinks(const std::vector<FleetHost>& listed) const;
  void OpenLinks();
  PeerHandlers LinkHandlers();
  void LinkToSchedulers();
  void OnDown(const HostId& host);
  void NoteDraining(const HostId& host);
  void RefreshLinks();
  void OnMessage(const HostId& host, const PeerMessage& message);
  void SetTimeouts();
  void SendDigest();

  FleetPeersOptions options;
  const Clock* clock;
  KeyValueStore* store;
  FleetPeersHandlers handlers;
  std::mt19937_64 random;
  uint64_t incarnation = 0;  // of this process; 0: not known yet
  std::string secret;        // of the fleet; empty: not read yet
  std::unique_ptr<PeerLinks> links;
  FleetRole role = FleetRole::kUnknown;
  int64_t contrary_lists = 0;
  std::vector<FleetHost> schedulers;  // that this host should be linked with
  std::set<HostId> linked_schedulers;
  std::set<HostId> draining;       // linked hosts that are draining
  std::vector<FleetHost> planned;  // other schedulers by the last list
  Instant listed_at{};             // time of the last list
  bool early_list_scheduled = false;
  int64_t list_revision = -1;
  int64_t lease = 0;
  FleetShare share;
  double logged_share = 0;
  bool sender = false;  // has been a scheduler, so its lease has the record
  bool sender_written = false;
  size_t listed = 1;
  size_t rank = 0;
  bool left = false;
  std::unique_ptr<Timer> secret_timer;
  std::unique_ptr<Timer> renew_timer;
  std::unique_ptr<Timer> list_timer;
  std::unique_ptr<Timer> share_timer;
  std::unique_ptr<Timer> refresh_timer;
  std::unique_ptr<Timer> digest_timer;
};

}  // namespace hickorystand
