// Connects a host to all others: combines the links, the membership, the
// endpoint status table and the summaries exchanged between data centres.
//
//   PeerGroup group(options, handlers);      // on the task that uses it
//   group.Listen();
//   group.OnHostList(list);                  // whenever it was read
//   group.SendDigest(digest);                // every NextDigestDelay()
//
// Within a data centre every host sends its digest to every other host. The
// two representatives of a data centre also send a summary of it to the
// representatives of the others. The first representative merges the summaries
// received from all other data centres into one digest and sends it to the
// hosts of its own, so that a host has the load of other data centres without
// a link to them.
//
// Index
//   PeerGroupOptions, PeerGroupHandlers
//   PeerGroup

#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decisions/digest_summary.h"
#include "decisions/endpoint_status_table.h"
#include "decisions/membership.h"
#include "peers/peer_links.h"

namespace hickorystand {

// Configuration of a PeerGroup. The host's id, data centre and incarnation are
// those in `links.session`.
struct PeerGroupOptions {
  PeerLinksOptions links;
  // Time without a message after which a host is suspected, and after which it
  // is considered gone.
  Duration suspect_after = std::chrono::seconds(4);
  Duration gone_after = std::chrono::seconds(15);
  // Time between summaries to other data centres. Those received from them are
  // forwarded within this data centre half as often, since that is a
  // representative's largest cost. When the set of leaving endpoints changes,
  // both are sent at once.
  Duration summary_period = std::chrono::seconds(5);
};

// Callbacks of a PeerGroup, called on its task. All are optional.
struct PeerGroupHandlers {
  // A newer digest: of a host of this data centre, or of all other data centres
  // together, under an id that belongs to no host. For Dispatcher::OnDigest().
  std::function<void(const Digest&)> on_digest;
  // The configuration revision of a linked host, in this data centre or
  // another. A data centre without a connection to the platform detects
  // changes this way.
  std::function<void(const HostId&, int64_t revision)> on_revision;
  // The digest under this id is no longer valid. For the dispatcher's handler
  // of lost hosts.
  std::function<void(const HostId&)> on_gone;
  // Any other message.
  std::function<void(const HostId&, const PeerMessage&)> on_message;
};

// One host's membership in the group of all hosts. Belongs to one task, like
// its PeerLinks.
class PeerGroup {
 public:
  PeerGroup(const PeerGroupOptions& options, PeerGroupHandlers handlers);

  // Starts to accept connections. Returns the address with the bound port, or
  // kBadSetting if it can't be used.
  Result<SocketAddress> Listen() { return this->links.Listen(); }

  // Applies the platform's host list, as just read.
  void OnHostList(const std::vector<ListedHost>& list);

  // Sends this host's state to the hosts of its data centre and, when a summary
  // is due, the summaries. Sets the digest's host, data centre and incarnation.
  void SendDigest(Digest digest);
  Duration NextDigestDelay() const { return this->links.NextDigestDelay(); }

  // Sends to all linked hosts at once, ahead of the next digest, that an
  // endpoint is leaving or down. Other data centres receive it through the
  // representatives.
  void Announce(const EndpointStatus& news);

  // Records that this host received a response from an endpoint.
  void OnAlive(const EndpointId& endpoint, uint64_t incarnation) {
    this->board.OnAlive(endpoint, incarnation);
  }

  // Whether an endpoint must get no new work: it is leaving or down.
  bool IsUnavailable(const EndpointId& endpoint) const {
    return this->board.IsUnavailable(endpoint);
  }

  // Applies a new configuration: the endpoints with their data centres. The
  // status of endpoints that are not in it is dropped. Summaries to other data
  // centres contain the outstanding work at an endpoint only if the endpoint is
  // in another data centre than the host that sent it, since no other data
  // centre needs the rest.
  void SetEndpoints(std::map<EndpointId, DataCentreId> endpoints);

  // Sends a message to one host (false if it could not be queued) or to all
  // linked hosts (returns to how many).
  bool Send(const HostId& host, const PeerMessage& message) {
    return this->links.Send(host, message);
  }
  size_t Broadcast(const PeerMessage& message) {
    return this->links.Broadcast(message);
  }

  // Marks this host as leaving, so that it gets no further roles. Its next
  // digests report that.
  void StartDrain();

  // State of the other hosts and this host's roles; see Membership.
  std::vector<Member> Members() {
    return this->membership.Members(this->Now());
  }
  HostState StateOf(const HostId& host) const {
    return this->membership.StateOf(this->Now(), host);
  }
  size_t Rank() const { return this->membership.Rank(this->Now()); }
  bool HoldsWatches() const { return this->Rank() != kNoRank; }
  HostId Deputy(const HostId& coordinator) const {
    return this->membership.Deputy(this->Now(), coordinator);
  }
  bool Superseded() const { return this->membership.Superseded(); }

  // The last digest of each linked host of this data centre, by id.
  const std::map<HostId, Digest>& Digests() const { return this->digests; }

  PeerLinks& Links() { return this->links; }

 private:
  Instant Now() const { return this->options.links.clock->Now(); }
  PeerHandlers LinkHandlers();
  void OnDigest(DigestScope scope, const Digest& digest);
  void OnOtherDataCentres(Digest digest, const HostId& from);
  void OnDown(const HostId& host);
  void OnMessage(const HostId& host, const PeerMessage& message);
  void FilterOutstanding(Digest& digest, bool here) const;
  void SendSummaries(bool urgent);
  void Refresh();

  PeerGroupOptions options;
  PeerGroupHandlers handlers;
  Membership membership;
  EndpointStatusTable board;
  std::map<EndpointId, DataCentreId> endpoints;
  DigestSummary local_summary;   // the hosts of this data centre
  DigestSummary remote_summary;  // the other data centres
  std::map<HostId, Digest> digests;
  HostId other_data_centres_id;  // id of the current digest of all other data
                                 // centres
  uint64_t summary_sequence = 0;
  Instant next_summary{};
  uint64_t summaries = 0;               // number sent
  std::vector<EndpointStatus> leaving;  // leaving endpoints as last sent
  PeerLinks links;
};

}  // namespace hickorystand
