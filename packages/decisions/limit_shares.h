// LimitShares: which hosts hold a share of the client accounts' limits.
//
// A record in the key-value service lists the holders. Each active holder may
// admit the same share of every account's limit: 1 / number of holders. The
// shares never add up to more than 1, even if hosts have different views of the
// record:
//
//   - a share expires `share_validity` after the request time of the last read
//   that
//     confirmed it, so a host that can't reach the service loses it within a
//     known time;
//   - a joining host is counted immediately, but gets its share only when every
//     other holder has acknowledged a record that counts it, or when the shares
//     of those that haven't must have expired;
//   - an absent holder is first marked as leaving and deleted `share_validity`
//   (plus
//     the clock margin) later; a host that stops holding its share deletes its
//     entry after it has stopped.
//
//   LimitShares shares(self, options);
//   shares.Start();
//   if (const auto call = shares.Next(now, present, cleans_up)) { ... send it }
//   shares.OnReply(now, requested_at, reply);
//   const double share = shares.OwnShare(now);
//
// Index
//   LimitHolder, EncodeHolders, DecodeHolders   the record
//   LimitSharesOptions                          key and time limits
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

// An entry of the record.
struct LimitHolder {
  HostId host;
  HolderState state = HolderState::kJoining;

  auto operator<=>(const LimitHolder&) const = default;
};

// The record's value has one line per holder: "<state> <host>".
std::string EncodeHolders(const std::vector<LimitHolder>& holders);
Result<std::vector<LimitHolder>> DecodeHolders(const std::string& text);

struct LimitSharesOptions {
  std::string key = "hickorystand/limits";
  // A share expires this long after the request time of the last read or write
  // that confirmed it.
  Duration share_validity = std::chrono::seconds(30);
  // Added when a host waits for another host's share to expire, as the clocks
  // of two hosts run at different speeds.
  Duration clock_margin = std::chrono::seconds(1);
  Duration poll_interval = std::chrono::seconds(3);
  Duration retry_interval = std::chrono::milliseconds(200);
  // A holder that is neither listed nor linked for this long is marked as
  // leaving.
  Duration absence_timeout = std::chrono::seconds(10);
  // Every listed host holds a share. The first record then lists all of them
  // as active, so that they don't wait for acknowledgements of hosts that they
  // aren't linked with.
  bool seed_listed_hosts = false;

  auto operator<=>(const LimitSharesOptions&) const = default;
};

// One host's share. The caller polls Next(), sends the transaction to the
// key-value service, and passes the reply to OnReply(). At most one call is in
// flight.
class LimitShares {
 public:
  explicit LimitShares(HostId self, LimitSharesOptions options = {});

  // Starts joining the holders, or releases the share immediately.
  void Start();
  void Stop();

  // Returns the due call, if any, unless one is in flight. `present` holds the
  // hosts that are listed or linked; `cleans_up` is true on the host that
  // removes absent holders.
  std::optional<StoreTransaction> Next(Instant now,
                                       const std::set<HostId>& present,
                                       bool cleans_up);

  // Takes the reply to the call of the last Next(), made at `requested_at`.
  void OnReply(Instant now, Instant requested_at, const StoreReply& reply);

  // Records that another host has read the record at this revision.
  void OnPeerRevision(const HostId& host, int64_t revision);

  // The fraction of each limit that this host may admit; 0 without a share.
  double OwnShare(Instant now) const;

  // The fraction of each holder; 0 while the record hasn't been read.
  double HolderShare() const;

  // The revision of the newest record read; 0 before the first read.
  int64_t Revision() const { return this->revision; }
  const std::vector<LimitHolder>& Holders() const { return this->holders; }

  // The time since this host's share was last confirmed, even if it has expired
  // since; none if it has not been confirmed.
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
  void ApplyRecord(Instant now,
                   Instant requested_at,
                   const StoreRecord* record);
  void ApplyHolders(Instant now, Instant requested_at);

  HostId self;
  LimitSharesOptions options;
  bool started = false;
  bool listed = false;  // the record may list this host
  // A write of this host has taken effect since Start(). Its earlier writes
  // that are still in flight can't take effect after that.
  bool written_since_start = false;
  bool active = false;  // the record has listed this host as active since then
  bool record_known =
      false;  // `holders` and `revision` are as last stored or read
  int64_t revision = 0;
  std::vector<LimitHolder> holders;
  int64_t join_revision = 0;  // the first record that counts this host
  Instant joined_at{};
  // Request time of the last call that confirmed the share.
  std::optional<Instant> confirmed;
  std::map<HostId, int64_t> acknowledged;
  std::map<HostId, Instant> absent_since;
  std::map<HostId, Instant> leaving_since;
  std::optional<Call> pending;
  std::vector<LimitHolder> proposed;  // of the pending write
  Instant next_call{};
};

}  // namespace hickorystand
