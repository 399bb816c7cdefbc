// The other hosts of the fleet: how they find each other, which of them are
// schedulers, and the links between them.
//
// Each host writes a record of itself into the platform's key-value service,
// bound to a lease, so that the record goes when the host does. Every host
// reads all records and works out the same schedulers from them
// (fleet_topology.h). Schedulers are linked with each other; an ingress host is
// linked with a few of them. A secret in the store, made once by whoever comes
// first, proves that a caller is of the fleet.

#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "decisions/fleet_topology.h"
#include "kernel/task.h"
#include "peers/peer_links.h"
#include "platform/key_value_store.h"

namespace hickorystand {

// How hosts are found and talk.
struct FleetPeersOptions {
  FleetHost self;
  uint64_t seed = 1;  // of the pauses between tries
  // The whole fleet starts for the first time: its records come one by one.
  bool first_start = false;
  FleetTopologyOptions topology;
  Duration lease = std::chrono::seconds(10);  // of the host's record
  Duration renew = std::chrono::seconds(3);
  // Between reads of all records, by schedulers and by ingress hosts.
  Duration list = std::chrono::seconds(3);
  Duration ingress_list = std::chrono::seconds(8);
  Duration first_list = std::chrono::milliseconds(400);
  // An ingress host that hears of a draining host reads within this time, at
  // random: many hosts hear it at once.
  Duration list_spread = std::chrono::milliseconds(1200);
  // Lists in a row that have to give a host another role until it takes it.
  int64_t lists_for_role = 2;
  // Between tries to link to a host again: after a partition has healed, the
  // counts of the other side must arrive before their report is due.
  Duration longest_backoff = std::chrono::milliseconds(1500);
  // An ingress host sends requests to another scheduler once one has been
  // silent for so long; schedulers say something at least this often.
  Duration ingress_silence = std::chrono::milliseconds(2600);
  Duration heartbeat = std::chrono::milliseconds(1000);
  // Of digests. Queues at endpoints change within tenths of a second.
  Duration shortest_digest = std::chrono::milliseconds(100);
  double digest_bytes_per_second = 24000;
};

// What a host does for the fleet.
enum class FleetRole { kUnknown, kIngress, kScheduler };

// Callbacks of FleetPeers.
struct FleetPeersHandlers {
  std::function<Digest()> make_digest;
  std::function<void(const Digest&)> on_digest;
  // This host has another role from now on.
  std::function<void(FleetRole)> on_role;
  // The schedulers that this host is to be linked with.
  std::function<void(const std::vector<FleetHost>&)> on_schedulers;
  // How many schedulers there are, this host included if it is one.
  std::function<void(size_t)> on_listed;
  std::function<void(const HostId&)> on_linked;
  std::function<void(const HostId&)> on_gone;
  // A linked host has said that it is a scheduler, as this host is.
  std::function<void(const HostId&)> on_scheduler_linked;
  // Whether a link carries something that would be lost with it.
  std::function<bool(const HostId&)> in_use;
  std::function<void(const HostId&, const PeerMessage&)> on_message;
};

class FleetPeers {
 public:
  FleetPeers(FleetPeersOptions options,
             const Clock& clock,
             KeyValueStore& store,
             FleetPeersHandlers handlers);
  ~FleetPeers();

  // Starts to register, to list and to link.
  void Start();

  // Takes this host off the list; the others stop to count on it. An ingress
  // host goes on to look for schedulers that its last requests go to.
  void Leave();

  // Sends to one host, to all linked ones, or to the schedulers among them.
  bool Send(const HostId& host, const PeerMessage& message);
  size_t Broadcast(const PeerMessage& message);
  size_t BroadcastToSchedulers(const PeerMessage& message);

  FleetRole Role() const { return this->role; }
  const FleetHost& Self() const { return this->options.self; }

  // Whether a linked host has said that it is a scheduler.
  bool IsScheduler(const HostId& host) const {
    return this->linked_schedulers.contains(host);
  }

  // The other schedulers that are linked now.
  std::vector<FleetHost> LinkedSchedulers() const;

  // How many schedulers stand in the list, this host included; the others that
  // this host is to be linked with; and its place among all, by id.
  size_t Listed() const { return this->listed; }
  std::vector<HostId> Others() const;
  size_t Rank() const { return this->rank; }

  // Of this run at the links; 0 until they are open.
  uint64_t Incarnation() const { return this->incarnation; }

 private:
  void ReadSecret();
  void ReadSecretLater();
  void MakeSecret();
  void Register();
  void WriteRecord();
  void Renew();
  void List();
  void ListSoon();
  void TakeList(const StoreReply& reply);
  void KeepLinked(std::vector<FleetHost>& listed) const;
  void TakeRole(FleetRole planned);
  std::vector<FleetHost> PickLinks(const std::vector<FleetHost>& listed) const;
  void OpenLinks();
  PeerHandlers LinkHandlers();
  void LinkToSchedulers();
  void OnDown(const HostId& host);
  void NoteDraining(const HostId& host);
  void RefreshLinks();
  void OnMessage(const HostId& host, const PeerMessage& message);
  void SetPatience();
  void SendDigest();

  FleetPeersOptions options;
  const Clock* clock;
  KeyValueStore* store;
  FleetPeersHandlers handlers;
  std::mt19937_64 random;
  uint64_t incarnation = 0;  // of this run, once it is known
  std::string secret;        // of the fleet, once it was read
  std::unique_ptr<PeerLinks> links;
  FleetRole role = FleetRole::kUnknown;
  int64_t lists_against_role = 0;
  std::vector<FleetHost> schedulers;  // that this host is to be linked with
  std::set<HostId> linked_schedulers;
  std::set<HostId> draining;       // linked hosts that have said so
  std::vector<FleetHost> planned;  // the other schedulers of the last list
  Instant listed_at{};             // when that was read
  bool lists_soon = false;
  int64_t list_revision = -1;
  int64_t lease = 0;
  size_t listed = 1;
  size_t rank = 0;
  bool left = false;
  std::unique_ptr<Timer> secret_timer;
  std::unique_ptr<Timer> renew_timer;
  std::unique_ptr<Timer> list_timer;
  std::unique_ptr<Timer> refresh_timer;
  std::unique_ptr<Timer> digest_timer;
};

}  // namespace hickorystand
