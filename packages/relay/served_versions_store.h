// ServedVersionsStore: keeps the record of software versions in the key-value
// service (decisions/served_versions.h), and looks up the only version of a
// service.
//
// It calls the service when a version or a route is new, once a minute, and for
// a lookup.
//
//   ServedVersionsStore versions(clock, store, options, handlers);
//   versions.Start();                       // this host is a scheduler
//   versions.SetEndpoints(endpoints);
//   versions.FindOnlyOrigin(route, services, on_found);
//
// Index
//   ServedVersionsHandlers   callbacks
//   ServedVersionsStore      the record's reader and writer, one per host

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decisions/served_versions.h"
#include "kernel/task.h"
#include "platform/key_value_store.h"
#include "relay/fleet_configuration.h"
#include "relay/shared_store_read.h"

namespace hickorystand {

// Callbacks of ServedVersionsStore.
struct ServedVersionsHandlers {
  // Where streams may begin has changed.
  std::function<void(const std::set<StreamOrigin>&)> on_beginnable;
  std::function<int64_t()> unix_ms;  // the fleet's time
  // Whether this host keeps the routes and removes versions.
  std::function<bool()> cleans_up;
};

// Runs on the main loop. Failed calls are repeated with the next change, and by
// a timer.
class ServedVersionsStore {
 public:
  using OnOrigin = std::function<void(const std::optional<StreamOrigin>&)>;

  ServedVersionsStore(const Clock& clock,
                      KeyValueStore& store,
                      const VersionLedgerOptions& options,
                      ServedVersionsHandlers handlers);
  ~ServedVersionsStore();
  ServedVersionsStore(const ServedVersionsStore&) = delete;
  ServedVersionsStore& operator=(const ServedVersionsStore&) = delete;

  // Call when this host becomes a scheduler, and when it stops to be one.
  void Start();
  void Stop() { this->timer.reset(); }

  void SetEndpoints(const FleetEndpoints& endpoints);
  void SetConfiguration(const FleetConfiguration& configuration);

  // Reads the record and calls back with the origin of all streams of a route,
  // or with nullopt if there isn't only one or the service doesn't answer.
  void FindOnlyOrigin(const std::string& route,
                      const std::set<ServiceId>& services,
                      OnOrigin on_found);

  // The services at several versions of which streams may have begun, by the
  // record as last read.
  std::set<ServiceId> ServicesOfSeveralVersions() const;

 private:
  void Write();
  void OnWritten(const ServedVersions& written,
                 Instant asked_at,
                 const StoreReply& reply);
  void Apply(Instant asked_at, const StoreReply& reply);
  void Publish();

  const Clock* clock;
  KeyValueStore* store;
  ServedVersionsHandlers handlers;
  VersionLedger ledger;
  SharedStoreRead read;
  std::optional<ServedVersions> record;  // as last read or written
  bool writing = false;
  std::optional<std::set<StreamOrigin>> published;
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace hickorystand
