// Which hosts hold a share of the client accounts' limits.
//
// A record in the key-value service names the holders. Each active one may let
// through the same part of every account's limit: 1 / number of holders. The
// parts never add up to more than 1, whatever hosts know of each other:
//
//   - a share ends `validity` after the last read that confirmed it, so a host
//     that can't reach the service loses it in a known time;
//   - a joining host is counted at once, but gets its share only when all other
//     holders have acknowledged a record that counts it, or when the share of
//     any that hasn't has ended;
//   - a holder that is gone is first marked, and deleted `validity` later; one
//     that stops holding deletes itself after it has stopped.
//
//   LimitShares shares(self, options);
//   shares.Start();
//   if (const auto step = shares.Next(now, present, rank)) { ... send it }
//   shares.OnReply(now, asked, reply);
//   const double part = shares.Own(now);
//
// Index
//   LimitHolder, EncodeHolders, DecodeHolders   the record
//   LimitSharesOptions                          lengths of time
//   LimitShares                                 one host's share

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decisions/store.h"
#include "kernel/error.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

enum class HolderState { kJoining, kActive, kLeaving };

// A host that the record names.
struct LimitHolder {
  HostId host;
  HolderState state = HolderState::kJoining;

  auto operator<=>(const LimitHolder&) const = default;
};

// The record's value: a line for each holder, state and host.
std::string EncodeHolders(const std::vector<LimitHolder>& holders);
Result<std::vector<LimitHolder>> DecodeHolders(const std::string& text);

struct LimitSharesOptions {
  std::string key = "hickorystand/limits";
  // A share ends so long after the read that last confirmed it was asked for.
  Duration validity = std::chrono::seconds(30);
  // Added wherever a host waits for another one's share to end: clocks of two
  // hosts run at different speeds.
  Duration clock_margin = std::chrono::seconds(1);
  Duration poll = std::chrono::seconds(3);
  Duration retry = std::chrono::milliseconds(200);
  // A holder that is on no list of hosts for so long is marked as leaving.
  Duration absence = std::chrono::seconds(10);
  // All hosts that are listed hold a share. The first record names them, so
  // that they needn't wait for hosts that aren't linked with them.
  bool names_listed = false;

  auto operator<=>(const LimitSharesOptions&) const = default;
};

class LimitShares {
 public:
  explicit LimitShares(HostId self, LimitSharesOptions options = {});

  // This host starts to hold a share, or stops at once.
  void Start();
  void Stop();

  // The call that is due, if none is under way. `present` are the hosts that
  // are listed or linked; `cleans_up` on the host that removes absent holders.
  std::optional<StoreTransaction> Next(Instant now,
                                       const std::set<HostId>& present,
                                       bool cleans_up);

  // The answer, received `now`, to the last call of Next, made at `asked`.
  void OnReply(Instant now, Instant asked, const StoreReply& reply);

  // Another host has read the record of this revision.
  void OnPeerRevision(const HostId& host, int64_t revision);

  // The part of each limit that this host may let through by itself; 0: none.
  double Own(Instant now) const;

  // The part that each holder has; 0 while the record isn't known.
  double Each() const;

  // Of the newest record read; 0 before.
  int64_t Revision() const { return this->revision; }
  const std::vector<LimitHolder>& Holders() const { return this->holders; }

  // Time since this host's share was last confirmed.
  std::optional<Duration> Age(Instant now) const;

 private:
  enum class Call { kRead, kWrite };

  const LimitHolder* Find(const HostId& host) const;
  StoreTransaction Write(std::vector<LimitHolder> changed);
  std::optional<StoreTransaction> Join(Instant now,
                                       const std::set<HostId>& present);
  std::optional<StoreTransaction> CleanUp(Instant now,
                                          const std::set<HostId>& present);
  bool MayActivate(Instant now) const;
  void TakeRecord(Instant now, Instant asked, const StoreRecord* record);
  void TakeHolders(Instant now, Instant asked);

  HostId self;
  LimitSharesOptions options;
  bool started = false;
  bool listed = false;  // the record may name this host
  // A write of this host has taken effect since Start. Earlier writes of it
  // that are still on their way can't take effect after that.
  bool written = false;
  bool active = false;  // since Start, as this host's own write says
  bool known = false;   // the record has been read since Start
  int64_t revision = 0;
  std::vector<LimitHolder> holders;
  int64_t join_revision = 0;  // the first record that counts this host
  Instant joined_at{};
  std::optional<Instant> confirmed;  // the share, asked for at that time
  std::map<HostId, int64_t> acknowledged;
  std::map<HostId, Instant> absent_since;
  std::map<HostId, Instant> leaving_since;
  std::optional<Call> pending;
  std::vector<LimitHolder> proposed;  // of the pending write
  Instant next_call{};
};

}  // namespace hickorystand
