// An entry host's place among all the others: links, membership, what is known
// of endpoints, and the summaries between data centres, put together.
//
//   PeerGroup group(options, handlers);      // on the task that uses it
//   group.Listen();
//   group.OnHostList(list);                  // whenever it was read
//   group.SendDigest(digest);                // every NextDigestDelay()
//
// Within a data centre every host sends its digest to every other. The two
// representatives also send a summary of their data centre to those of the
// others; the first of them passes on, as one digest, what all other data
// centres said. So a host learns of distant work without a link to it.

#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decisions/digest_summary.h"
#include "decisions/endpoint_board.h"
#include "decisions/membership.h"
#include "peers/peer_links.h"

namespace hickorystand {

// How a PeerGroup is made. The host's id, data centre and incarnation are
// those of `links.session`.
struct PeerGroupOptions {
  PeerLinksOptions links;
  Duration suspect_after = std::chrono::seconds(4);
  Duration gone_after = std::chrono::seconds(15);
  // Between summaries to other data centres. What they say is passed on to the
  // hosts here half as often: that costs a representative the most. News of
  // leaving endpoints doesn't wait for either.
  Duration summary_period = std::chrono::seconds(5);
};

// Whom the group tells what.
struct PeerGroupHandlers {
  // A newer digest: of a host of this data centre, or of all that is elsewhere
  // under an id that no host bears. For Dispatcher::OnDigest().
  std::function<void(const Digest&)> on_digest;
  // The configuration's revision at a linked host, in this data centre or
  // another: a data centre cut off from the platform learns of changes so.
  std::function<void(const HostId&, int64_t revision)> on_revision;
  // What that id sent no longer counts. For Dispatcher::OnHostGone().
  std::function<void(const HostId&)> on_gone;
  // Any other message.
  std::function<void(const HostId&, const PeerMessage&)> on_message;
};

class PeerGroup {
 public:
  PeerGroup(const PeerGroupOptions& options, PeerGroupHandlers handlers);

  // Starts to accept connections; answers the address with its port.
  Result<SocketAddress> Listen() { return this->links.Listen(); }

  // The platform's host list, as read now.
  void OnHostList(const std::vector<ListedHost>& list);

  // This host's state, to be sent to all whom it concerns. Host, data centre
  // and incarnation are filled in here.
  void SendDigest(Digest digest);
  Duration NextDigestDelay() const { return this->links.NextDigestDelay(); }

  // Tells all hosts of this data centre at once that an endpoint leaves or is
  // down, and the others through the representatives.
  void Announce(const EndpointNews& news);

  // This host had an answer from an endpoint.
  void OnAlive(const EndpointId& endpoint, uint64_t incarnation) {
    this->board.OnAlive(endpoint, incarnation);
  }

  // Whether new work must stay away from an endpoint.
  bool Out(const EndpointId& endpoint) const {
    return this->board.Out(endpoint);
  }

  // A new configuration: the endpoints with their data centres. News of others
  // is forgotten. Work under way at an endpoint is told across data centres
  // only when it was sent across, since others have no use for it.
  void SetEndpoints(std::map<EndpointId, DataCentreId> endpoints);

  // Sends a message to one host, or to all linked ones.
  bool Send(const HostId& host, const PeerMessage& message) {
    return this->links.Send(host, message);
  }
  size_t Broadcast(const PeerMessage& message) {
    return this->links.Broadcast(message);
  }

  // This host leaves: it is entrusted with nothing more, and says so in its
  // next digests.
  void StartDrain();

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

  // The last digest of each host of this data centre, by id.
  const std::map<HostId, Digest>& Digests() const { return this->digests; }

  PeerLinks& Links() { return this->links; }

 private:
  Instant Now() const { return this->options.links.clock->Now(); }
  PeerHandlers LinkHandlers();
  void OnDigest(DigestScope scope, const Digest& digest);
  void OnElsewhere(Digest digest, const HostId& from);
  void OnDown(const HostId& host);
  void OnMessage(const HostId& host, const PeerMessage& message);
  void KeepOutstanding(Digest& digest, bool here) const;
  void SendSummaries(bool urgent);
  void Refresh();

  PeerGroupOptions options;
  PeerGroupHandlers handlers;
  Membership membership;
  EndpointBoard board;
  std::map<EndpointId, DataCentreId> endpoints;
  DigestSummary near;  // of the hosts of this data centre
  DigestSummary far;   // of the other data centres
  std::map<HostId, Digest> digests;
  HostId elsewhere;  // the id under which distant work is told at present
  uint64_t elsewhere_sequence = 0;
  Instant next_summary{};
  uint64_t summaries = 0;             // sent so far
  std::vector<EndpointNews> leaving;  // known to leave, as last passed on
  PeerLinks links;
};

}  // namespace hickorystand
