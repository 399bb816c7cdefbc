// The other hosts of the fleet: how they find each other, and the work, the
// suspicions, the leaving endpoints and the usage that they tell each other.
//
// Each host writes its address into the platform's key-value service, bound to
// a lease, so that the record goes when the host does. A secret in the same
// place, made once by whoever comes first, proves that a caller is of the
// fleet.

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kernel/task.h"
#include "peers/peer_links.h"
#include "platform/key_value_store.h"

namespace hickorystand {

// How hosts are found and talk.
struct FleetPeersOptions {
  HostId host;
  uint64_t seed = 1;  // of the pauses between tries
  SocketAddress listen;
  Duration lease = std::chrono::seconds(10);  // of the host's record
  Duration renew = std::chrono::seconds(3);
  Duration list = std::chrono::seconds(3);  // between reads of all records
  Duration first_list = std::chrono::milliseconds(400);
  // Between tries to link to a host again: after a partition has healed, the
  // counts of the other side must arrive before their report is due.
  Duration longest_backoff = std::chrono::milliseconds(1500);
  // Of digests. Queues at endpoints change within tenths of a second.
  Duration shortest_digest = std::chrono::milliseconds(100);
  double digest_bytes_per_second = 24000;
};

// Whom the peers tell what.
struct FleetPeersHandlers {
  std::function<Digest()> make_digest;
  std::function<void(const Digest&)> on_digest;
  std::function<void(size_t)> on_listed;  // hosts, this one included
  std::function<void(const HostId&)> on_linked;
  std::function<void(const HostId&)> on_gone;
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

  // Takes this host off the list; the others stop to count on it.
  void Leave();

  // Sends to one host, or to all linked ones.
  bool Send(const HostId& host, const PeerMessage& message);
  size_t Broadcast(const PeerMessage& message);

  // How many hosts stand in the list, this one included; and this host's place
  // in it, by id.
  size_t Listed() const { return this->listed; }
  std::vector<HostId> Others() const;
  size_t Rank() const { return this->rank; }

  // Of this run at the links; 0 until they are open.
  uint64_t Incarnation() const { return this->incarnation; }

 private:
  void ReadSecret();
  void ReadSecretLater();
  void OpenLinksBySecret();
  void Register();
  void WriteRecord();
  void Renew();
  void List();
  void TakeList(const StoreReply& reply);
  void KeepLinked(std::vector<PeerHost>& listed) const;
  void OpenLinks(const std::string& secret, uint64_t incarnation);
  void SendDigest();

  FleetPeersOptions options;
  const Clock* clock;
  KeyValueStore* store;
  FleetPeersHandlers handlers;
  uint64_t incarnation = 0;  // of this run, once it is known
  std::unique_ptr<PeerLinks> links;
  std::vector<PeerHost> hosts;
  int64_t lease = 0;
  size_t listed = 1;
  size_t rank = 0;
  bool left = false;
  std::unique_ptr<Timer> secret_timer;
  std::unique_ptr<Timer> renew_timer;
  std::unique_ptr<Timer> list_timer;
  std::unique_ptr<Timer> digest_timer;
};

}  // namespace hickorystand
