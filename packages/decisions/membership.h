// Cluster membership: which hosts are live, suspected, leaving or gone,
// and which of them hold links, store watches and copies as a result.
//
// Three sources are combined. Messages that a host sends over its link take
// precedence. The platform's host list lags, but contains hosts that no host
// has linked to yet. A host that sends nothing is suspected after
// `suspect_after`, and gone after `gone_after`.
//
// Hosts need not agree on any of this. Authority rests on leases alone; a wrong
// state here costs a redundant watch or link.
//
// Index
//   PeerHost, ListedHost            a host, and a line of the platform's list
//   HostState, Member               the state of one host
//   MembershipOptions, Membership   the states of all hosts
//
//   Membership membership({.self = self, .incarnation = incarnation});
//   membership.OnHostList(now, list);
//   membership.OnHostMessage(now, host, data_centre, incarnation, leaving);
//   for (const PeerHost& peer : membership.Links(now)) {
//     Connect(peer.address);
//   }

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "kernel/ids.h"
#include "kernel/settings.h"
#include "kernel/time.h"

namespace hickorystand {

// A host and the address at which its peers reach it.
struct PeerHost {
  HostId host;
  DataCentreId data_centre;
  SocketAddress address;

  auto operator<=>(const PeerHost&) const = default;
};

// One line of the platform's host list.
struct ListedHost {
  PeerHost peer;
  bool leaving = false;

  auto operator<=>(const ListedHost&) const = default;
};

enum class HostState {
  kLive,
  kSuspected,  // silent for `suspect_after`; still counts as a member
  kLeaving,    // finishes its requests; gets no new responsibilities
  kGone,
};

const char* HostStateName(HostState state);

// Another host and its state.
struct Member {
  PeerHost peer;
  uint64_t incarnation = 0;  // 0: no message received yet
  HostState state = HostState::kLive;
  bool flapping = false;  // its link breaks often; gets no responsibilities

  auto operator<=>(const Member&) const = default;
};

struct MembershipOptions {
  PeerHost self;
  uint64_t incarnation = 0;
  Duration suspect_after = std::chrono::seconds(3);
  Duration gone_after = std::chrono::seconds(15);
  // A host whose link broke this often within the window is flapping.
  int flap_limit = 3;
  Duration flap_window = std::chrono::seconds(60);
  // False only in tests: a delayed "live" message then undoes "leaving".
  bool leaving_is_final = true;
};

// The status of a message's sender.
enum class SenderStatus {
  kCurrent,     // the latest known incarnation, or a newer one
  kSuperseded,  // an earlier incarnation, or a second process with the same id
  kSelf,        // another process has this host's own id
};

// The number of hosts of a data centre that watch the store and link to the
// other data centres: one, and one spare.
inline constexpr size_t kRepresentatives = 2;
inline constexpr size_t kNoRank = SIZE_MAX;

// One host's view of the other hosts. It does no I/O: pass it the events and
// the current time, and query it after each of them.
class Membership {
 public:
  explicit Membership(MembershipOptions options);

  // The platform's list, as read now. It may lag and may name this host.
  void OnHostList(Instant now, const std::vector<ListedHost>& list);

  // A message of a host arrived over its link. The caller must drop the host's
  // digest unless the result is kCurrent.
  SenderStatus OnHostMessage(Instant now,
                             const HostId& host,
                             const DataCentreId& data_centre,
                             uint64_t incarnation,
                             bool leaving);

  // The link to a host broke.
  void OnLinkDown(Instant now, const HostId& host);

  // This host is leaving: EligibleHosts() no longer includes it.
  void StartDrain() { this->draining = true; }

  // Whether a process with a newer incarnation has this host's id. This process
  // was replaced and should drain.
  bool Superseded() const { return this->superseded; }

  // Every other host that isn't gone, by id. Erases the records of hosts that
  // are gone and not on the platform's list.
  std::vector<Member> Members(Instant now);

  // The state of a host; kGone if it is unknown.
  HostState StateOf(Instant now, const HostId& host) const;

  // The hosts of a data centre that may get responsibilities: live and not
  // flapping, by rising id. Includes this host unless it drains.
  std::vector<HostId> EligibleHosts(Instant now,
                                    const DataCentreId& data_centre) const;

  // The hosts that hold the store's watches for a data centre and its links to
  // others: the lowest ids. The lease's holder isn't used instead because there
  // is none while the platform is down, when the links are needed most.
  std::vector<HostId> Representatives(Instant now,
                                      const DataCentreId& data_centre) const;

  // This host's index among its data centre's representatives; kNoRank if it
  // isn't one. Hosts with a rank hold the store's watches.
  size_t Rank(Instant now) const;

  // The host that keeps a copy of the coordinator's data: the eligible host
  // with the lowest id other than the coordinator, or an empty id.
  HostId Deputy(Instant now, const HostId& coordinator) const;

  // The hosts that this one should be linked to now: every host of its data
  // centre, and, if it is a representative, the one of the same rank in each
  // other data centre. Linking only equal ranks needs half the links and still
  // leaves a path when one host of a pair is lost.
  std::vector<PeerHost> Links(Instant now);

 private:
  struct Record {
    PeerHost peer;
    uint64_t incarnation = 0;
    bool listed = false;
    bool leaving = false;
    // The platform's list reports it as leaving; applies to the incarnation
    // that was known then.
    bool listed_leaving = false;
    bool link_wanted = false;  // a link is wanted, so silence means a failure
    Instant last_message{};    // last message, or when it was listed or wanted
    std::deque<Instant> link_failures;
  };

  bool Local(const Record& record) const {
    return record.peer.data_centre == this->options.self.data_centre;
  }
  HostState State(Instant now, const Record& record) const;
  bool Flapping(Instant now, const Record& record) const;

  MembershipOptions options;
  std::map<HostId, Record> records;
  bool draining = false;
  bool superseded = false;
};

}  // namespace hickorystand
