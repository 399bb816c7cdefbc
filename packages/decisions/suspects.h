// Requests that may be what crashes endpoints.
//
// When an endpoint crashes, each request that ran there is suspected. Suspects
// of one crash are run apart from each other, so the next crash holds at most
// one of them: whoever is in both is the cause. It is then refused for a while,
// and all others lose their suspicion as soon as they are answered.
//
// A zone that is lost takes several endpoints at once, with no request in
// common; that clears the requests which ran there, for no request can be in
// the way of two endpoints at a time.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "decisions/digest.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// How suspicion is set.
struct SuspectsOptions {
  int64_t condemned_after = 2;  // crashes after which a request is refused
  Duration memory = std::chrono::minutes(10);
  Duration zone_window = std::chrono::seconds(3);
  size_t capacity = 4096;  // fingerprints kept
  size_t in_digest = 64;   // fingerprints told to peers

  auto operator<=>(const SuspectsOptions&) const = default;
};

// What this host knows about requests that ran on endpoints as they crashed.
class Suspects {
 public:
  explicit Suspects(const SuspectsOptions& options = {});

  // An endpoint crashed while it ran these requests of this host.
  void OnCrash(Instant now,
               const ZoneId& zone,
               const std::vector<uint64_t>& fingerprints);

  // A request was answered in full, so it isn't what crashes endpoints.
  void OnAnswered(uint64_t fingerprint);

  // A peer's own list. It replaces the peer's last one.
  void OnPeer(Instant now,
              const HostId& host,
              const std::vector<Suspicion>& suspicions);

  // Crashes with this request, here and at peers.
  int64_t Crashes(Instant now, uint64_t fingerprint) const;

  bool IsSuspected(Instant now, uint64_t fingerprint) const;
  bool IsCondemned(Instant now, uint64_t fingerprint) const;

  // What this host saw itself, most crashes first.
  std::vector<Suspicion> Own() const;

 private:
  struct Entry {
    int64_t crashes = 0;
    Instant seen{};
  };
  struct Crash {
    Instant time{};
    ZoneId zone;
    std::vector<uint64_t> fingerprints;
  };
  using Entries = std::map<uint64_t, Entry>;

  // Whether a zone went down, rather than one endpoint. Takes suspicion back
  // from the requests of the earlier crash, too.
  bool ClearedByZone(const Crash& crash);
  void Forget(Instant now);

  SuspectsOptions options;
  Entries own;
  std::map<HostId, Entries> peers;
  std::deque<Crash> recent;
};

}  // namespace hickorystand
