// The software versions at which streams of each service may have begun, as one
// record in the key-value service. Where it names only one, a stream can be
// continued although no host remembers it (decisions/stream_directory.h), as
// after the loss of all hosts.
//
// Schedulers keep two rules. A stream begins only at a version that this host
// has read in the record; whoever sees another one in the endpoint list adds it
// first. And a version is removed only after none of its endpoints was listed
// for `retention`. It may return, and hosts that read the record before begin
// streams there for `max_age`, so the record counts as complete only after
// that. It then names every version at which a stream that is still wanted may
// have begun, whichever hosts were killed or cut off.
//
// The record says for each service since when that holds, and for each route of
// streams to which services it has led, since when. A host whose configuration
// names others than the record can't tell.
//
//   VersionLedger ledger(options);
//   ledger.SetEndpoints(now, endpoints);
//   ledger.OnRecord(asked_at, revision, record);
//   if (const auto wanted = ledger.Wanted(now, unix_ms, true)) { /* write it */
//   } relay.SetBeginnable(ledger.Beginnable(now));
//   ... OnlyOrigin(record, route, services, unix_ms) ...
//
// Index
//   ServedService, StreamRoute, ServedVersions   the record
//   EncodeServedVersions, DecodeServedVersions   its text
//   OnlyVersion           the version at which a service's streams began
//   OnlyOrigin            the origin of a route's streams
//   VersionLedgerOptions  times
//   VersionLedger         what a scheduler knows, and wants to be written

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "decisions/fleet_endpoint.h"
#include "decisions/stream_origin.h"
#include "kernel/error.h"
#include "kernel/time.h"

namespace hickorystand {

// The versions of a service. The list is complete for streams that began after
// `complete_since`.
struct ServedService {
  std::set<SoftwareVersion> versions;
  int64_t complete_since = 0;  // Unix milliseconds; 0: always

  auto operator<=>(const ServedService&) const = default;
};

// The services that a route has led to since a time.
struct StreamRoute {
  std::set<ServiceId> services;
  int64_t since = 0;  // Unix milliseconds; 0: always

  auto operator<=>(const StreamRoute&) const = default;
};

// The record.
struct ServedVersions {
  std::map<ServiceId, ServedService> services;
  std::map<std::string, StreamRoute> routes;  // by host and path prefix
  int64_t configuration = 0;                  // version that named the routes

  auto operator<=>(const ServedVersions&) const = default;
};

std::string EncodeServedVersions(const ServedVersions& record);
Result<ServedVersions> DecodeServedVersions(const std::string& text);

// How long callers wait at most; no caller continues an older stream.
inline constexpr Duration kLongestPatience = std::chrono::seconds(60);

// The version at which all streams of a service began that callers may continue
// at this time, if there is only one.
std::optional<SoftwareVersion> OnlyVersion(const ServedVersions& record,
                                           const ServiceId& service,
                                           int64_t unix_ms);

// The origin of all streams of a route that callers may continue at this time,
// if there is only one. `services` are those the route leads to now.
std::optional<StreamOrigin> OnlyOrigin(const ServedVersions& record,
                                       const std::string& route,
                                       const std::set<ServiceId>& services,
                                       int64_t unix_ms);

// Times.
struct VersionLedgerOptions {
  // The whole fleet starts for the first time, so no stream began before.
  bool first_start = false;
  Duration retention = std::chrono::hours(1);
  Duration max_age = std::chrono::minutes(30);
  Duration refresh = std::chrono::minutes(1);

  auto operator<=>(const VersionLedgerOptions&) const = default;
};

// What a scheduler knows of the record, and what it wants to be written.
class VersionLedger {
 public:
  explicit VersionLedger(const VersionLedgerOptions& options = {})
      : options(options) {}

  // From now on this host gets each list of endpoints.
  void StartObserving(Instant now);

  // The endpoints as listed, and the routes of streams in force.
  void SetEndpoints(Instant now, const FleetEndpoints& endpoints);
  void SetRoutes(int64_t configuration,
                 std::map<std::string, std::set<ServiceId>> current);

  // The record as read by a call that was made at `asked_at`; nullopt: absent.
  void OnRecord(Instant asked_at,
                int64_t revision,
                std::optional<ServedVersions> read);

  // Whether the record has to be read: it never was, or not for long.
  bool NeedsRead(Instant now) const;

  // The record that is to be written if it is still at Revision(); nullopt if
  // it is as it should be. `cleans_up`: this host keeps the routes and removes
  // versions; others only add versions.
  std::optional<ServedVersions> Wanted(Instant now,
                                       int64_t unix_ms,
                                       bool cleans_up) const;
  int64_t Revision() const { return this->revision; }

  // Where streams may begin.
  std::set<StreamOrigin> Beginnable(Instant now) const;

 private:
  void AddListed(ServedVersions& record, int64_t unix_ms) const;
  void RemoveUnlisted(Instant now,
                      int64_t unix_ms,
                      ServedVersions& record) const;
  void SetRoutesOf(ServedVersions& record, int64_t unix_ms) const;

  VersionLedgerOptions options;
  std::optional<ServedVersions> record;
  std::optional<Instant> read_at;
  int64_t revision = 0;  // 0: absent
  Instant observed_since{};
  std::map<StreamOrigin, Instant> last_listed;
  std::set<StreamOrigin> listed;
  std::map<std::string, std::set<ServiceId>> routes;
  int64_t configuration = 0;
};

}  // namespace hickorystand
