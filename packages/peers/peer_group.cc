#include "peers/peer_group.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace hickorystand {
namespace {

// Prefixed to a representative's id, identifies the digest of all other data
// centres that this representative sends.
constexpr const char* kOtherDataCentresPrefix = "elsewhere/";

MembershipOptions MakeMembershipOptions(const PeerGroupOptions& options) {
  const SessionOptions& session = options.links.session;
  return {.self = {.host = session.host,
                   .data_centre = session.data_centre,
                   .address = options.links.listen},
          .incarnation = session.incarnation,
          .suspect_after = options.suspect_after,
          .gone_after = options.gone_after};
}

}  // namespace

PeerGroup::PeerGroup(const PeerGroupOptions& options,
                     PeerGroupHandlers handlers)
    : options(options),
      handlers(std::move(handlers)),
      membership(MakeMembershipOptions(options)),
      links(options.links, this->LinkHandlers()) {}

PeerHandlers PeerGroup::LinkHandlers() {
  return {.on_digest =
              [this](DigestScope scope, const Digest& digest) {
                this->OnDigest(scope, digest);
              },
          .on_message =
              [this](const HostId& host, const PeerMessage& message) {
                this->OnMessage(host, message);
              },
          .on_activity =
              [this](const PeerHello& peer) {
                this->membership.OnHostMessage(this->Now(), peer.host,
                                               peer.data_centre,
                                               peer.incarnation, false);
              },
          .on_up = {},
          .on_down = [this](const HostId& host) { this->OnDown(host); }};
}

void PeerGroup::OnHostList(const std::vector<ListedHost>& list) {
  this->membership.OnHostList(this->Now(), list);
  this->Refresh();
}

void PeerGroup::Refresh() {
  this->links.SetHosts(this->membership.Links(this->Now()));
}

void PeerGroup::StartDrain() {
  this->membership.StartDrain();
  this->Refresh();
}

void PeerGroup::OnDigest(DigestScope scope, const Digest& digest) {
  const SenderStatus heard = this->membership.OnHostMessage(
      this->Now(), digest.host, digest.data_centre, digest.incarnation,
      digest.leaving);
  if (heard != SenderStatus::kCurrent) {
    return;
  }
  // A representative's summaries list only leaving endpoints. They are recorded
  // under an id of their own, or they would clear the endpoints that the
  // representative's own digest reports as down.
  this->board.OnReport(
      scope == DigestScope::kHost
          ? digest.host
          : HostId(kOtherDataCentresPrefix + digest.host.Text()),
      digest.endpoints);
  if (scope != DigestScope::kOtherDataCentres && this->handlers.on_revision) {
    this->handlers.on_revision(digest.host, digest.configuration_revision);
  }
  switch (scope) {
    case DigestScope::kHost:
      this->local_summary.OnDigest(digest);
      this->digests[digest.host] = digest;
      if (this->handlers.on_digest) {
        this->handlers.on_digest(digest);
      }
      break;
    case DigestScope::kDataCentre:
      this->remote_summary.OnDigest(digest);
      break;
    case DigestScope::kOtherDataCentres:
      this->OnOtherDataCentres(digest, digest.host);
      break;
  }
  if (this->board.Leaving() != this->leaving) {
    this->SendSummaries(true);
  }
}

// Delivers the digest of all other data centres. For a while two
// representatives may both act as the first one. Using both digests would count
// all remote work twice, so only the last one received is used.
void PeerGroup::OnOtherDataCentres(Digest digest, const HostId& from) {
  const HostId id(kOtherDataCentresPrefix + from.Text());
  if (id != this->other_data_centres_id &&
      !this->other_data_centres_id.Empty() && this->handlers.on_gone) {
    this->handlers.on_gone(this->other_data_centres_id);
  }
  this->other_data_centres_id = id;
  // The id belongs to no host: it has neither a data centre nor a configuration
  // revision, and no request may be sent to it.
  digest.host = id;
  digest.data_centre = DataCentreId();
  digest.configuration_revision = 0;
  if (this->handlers.on_digest) {
    this->handlers.on_digest(digest);
  }
}

void PeerGroup::OnDown(const HostId& host) {
  this->membership.OnLinkDown(this->Now(), host);
  this->local_summary.OnGone(host);
  this->remote_summary.OnGone(host);
  this->board.OnHostLost(host);
  this->digests.erase(host);
  if (this->handlers.on_gone) {
    this->handlers.on_gone(host);
    if (this->other_data_centres_id.Text() ==
        kOtherDataCentresPrefix + host.Text()) {
      this->handlers.on_gone(
          std::exchange(this->other_data_centres_id, HostId()));
    }
  }
}

void PeerGroup::OnMessage(const HostId& host, const PeerMessage& message) {
  if (const auto* news = std::get_if<EndpointStatus>(&message)) {
    this->board.OnReport(host, *news);
    if (this->board.Leaving() != this->leaving) {
      this->SendSummaries(true);
    }
  }
  if (this->handlers.on_message) {
    this->handlers.on_message(host, message);
  }
}

void PeerGroup::Announce(const EndpointStatus& news) {
  this->board.OnReport(this->options.links.session.host, news);
  this->links.Broadcast(news);
}

void PeerGroup::SendDigest(Digest digest) {
  const SessionOptions& session = this->options.links.session;
  digest.host = session.host;
  digest.data_centre = session.data_centre;
  digest.incarnation = session.incarnation;
  this->board.OnReport(session.host, digest.endpoints);
  this->links.SendDigest(DigestScope::kHost, digest);
  // The summary of this data centre includes this host like any other.
  digest.sequence = ++this->summary_sequence;
  this->local_summary.OnDigest(digest);
  if (this->Now() >= this->next_summary) {
    this->SendSummaries(false);
  }
  this->Refresh();
}

void PeerGroup::SetEndpoints(std::map<EndpointId, DataCentreId> wanted) {
  this->endpoints = std::move(wanted);
  const auto ids = std::views::keys(this->endpoints);
  this->board.Keep({ids.begin(), ids.end()});
}

// Keeps only the outstanding work at endpoints of this data centre (`here`), or
// only that at endpoints of the others. Unknown endpoints stay in both cases.
void PeerGroup::FilterOutstanding(Digest& digest, bool here) const {
  std::erase_if(digest.outstanding, [&](const EndpointOutstanding& entry) {
    const auto found = this->endpoints.find(entry.endpoint);
    return found != this->endpoints.end() &&
           here != (found->second == this->options.links.session.data_centre);
  });
}

void PeerGroup::SendSummaries(bool urgent) {
  const SessionOptions& session = this->options.links.session;
  this->next_summary = this->Now() + this->options.summary_period;
  this->leaving = this->board.Leaving();
  const size_t rank = this->Rank();
  if (rank == kNoRank) {
    return;
  }
  // Leaving is a property of an endpoint's incarnation, so sending it back to
  // the host that first reported it is harmless.
  Digest own = this->local_summary.Make(session.host, session.data_centre,
                                        session.incarnation);
  this->FilterOutstanding(own, false);
  own.endpoints = this->leaving;
  this->links.SendDigest(DigestScope::kDataCentre, own);
  const bool pass_on = this->summaries++ % 2 == 0 || urgent;
  if (rank != 0 || !pass_on) {
    return;
  }
  Digest distant = this->remote_summary.Make(session.host, session.data_centre,
                                             session.incarnation);
  this->FilterOutstanding(distant, true);
  distant.endpoints = this->leaving;
  this->links.SendDigest(DigestScope::kOtherDataCentres, distant);
  distant.sequence = ++this->summary_sequence;
  this->OnOtherDataCentres(std::move(distant), session.host);
}

}  // namespace hickorystand
