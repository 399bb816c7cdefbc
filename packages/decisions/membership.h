// Who else is there: which entry hosts live, are suspected, are leaving or are
// gone, and what follows from it for links, store watches and deputies.
//
// Three sources are weighed. What a host says itself, over its link, goes
// first. The platform's host list lags, but knows hosts that nobody has met
// yet. Silence makes a host suspected after a while, and gone after a longer
// one.
//
// No two hosts need agree on any of this. Authority rests on leases alone; a
// wrong guess here costs a spare watch or a link too many.
//
// Index
//   PeerHost, ListedHost       a host, and a line of the platform's list
//   HostState, Member          what is known of one host
//   MembershipOptions, Membership

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

// An entry host and where its peers reach it.
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

// How a host stands.
enum class HostState {
  kLive,
  kSuspected,  // not heard of for a while; still counted as there
  kLeaving,    // finishes what it has; nothing new may rest on it
  kGone,
};

const char* HostStateName(HostState state);

// What is known of another host.
struct Member {
  PeerHost peer;
  uint64_t incarnation = 0;  // 0: never heard from
  HostState state = HostState::kLive;
  bool flapping = false;  // comes and goes; nothing is entrusted to it

  auto operator<=>(const Member&) const = default;
};

// How a Membership is made.
struct MembershipOptions {
  PeerHost self;
  uint64_t incarnation = 0;
  Duration suspect_after = std::chrono::seconds(3);
  Duration gone_after = std::chrono::seconds(15);
  // A host whose link broke this often within the window is flapping.
  int flap_limit = 3;
  Duration flap_window = std::chrono::seconds(60);
  // Test switch: without it a late "live" undoes "leaving".
  bool leaving_wins = true;
};

// What a message's sender turned out to be.
enum class Heard {
  kCurrent,     // the incarnation known, or a newer one
  kSuperseded,  // an earlier incarnation, or a second process with the same id
  kSelf,        // another process bears this host's own id
};

// How many hosts of a data centre watch the store and talk to the other data
// centres: one, and one to step in.
inline constexpr size_t kRepresentatives = 2;
inline constexpr size_t kNoRank = SIZE_MAX;

// What one host believes of the others.
class Membership {
 public:
  explicit Membership(MembershipOptions options);

  // The platform's list, as read now. It may lag and may name this host.
  void OnHostList(Instant now, const std::vector<ListedHost>& list);

  // A host was heard from over its link. Its digest is to be dropped unless
  // the answer is kCurrent.
  Heard OnHeard(Instant now,
                const HostId& host,
                const DataCentreId& data_centre,
                uint64_t incarnation,
                bool leaving);

  // The link to a host broke.
  void OnLinkDown(Instant now, const HostId& host);

  // This host is leaving, so that nothing is entrusted to it any more.
  void StartDrain() { this->draining = true; }

  // Whether a process with a newer incarnation bears this host's id. This one
  // was replaced without noticing and should drain.
  bool Superseded() const { return this->superseded; }

  // Every other host that isn't gone, by id. Forgets those long gone.
  std::vector<Member> Members(Instant now);

  // How a host stands; kGone if it isn't known.
  HostState StateOf(Instant now, const HostId& host) const;

  // The hosts of a data centre fit to be entrusted with something, by rising
  // id, with this host among them unless it drains.
  std::vector<HostId> Fit(Instant now, const DataCentreId& data_centre) const;

  // The hosts that hold the store's watches for a data centre and its links to
  // others: the lowest ids. Choosing the lease's holder was weighed; but while
  // the platform is down nobody holds one, and the links are needed most.
  std::vector<HostId> Representatives(Instant now,
                                      const DataCentreId& data_centre) const;

  // This host's place among its data centre's representatives; kNoRank if it
  // isn't one. Those with a rank hold the store's watches.
  size_t Rank(Instant now) const;

  // Who keeps a copy of what the coordinator holds: the lowest id besides it,
  // or an empty id when there is nobody else.
  HostId Deputy(Instant now, const HostId& coordinator) const;

  // The hosts that this one should be linked to now: every host of its data
  // centre, and, if it is a representative, the one of the same rank in each
  // other data centre. Joining each rank with its like needs half the links
  // and still leaves a way when one host of a pair is lost.
  std::vector<PeerHost> Links(Instant now);

 private:
  struct Record {
    PeerHost peer;
    uint64_t incarnation = 0;
    bool listed = false;
    bool leaving = false;
    // The platform's list says that it leaves; counts for the incarnation
    // that was known then.
    bool listed_leaving = false;
    bool expected = false;  // a link to it is wanted, so silence tells
    Instant heard{};        // last sign of life, or when it was first expected
    std::deque<Instant> breaks;
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
