// Polls the engines of this data centre for their load and for changes of their
// prefix caches.
//
// Index
//   EndpointWatcherOptions   polling periods
//   EndpointWatcherEvents    callbacks
//   EndpointWatcher          the poller

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "decisions/request.h"
#include "endpoints/endpoint_client.h"
#include "kernel/task.h"

namespace hickorystand {

// Polling periods; zero disables polling.
struct EndpointWatcherOptions {
  Duration load_period = std::chrono::milliseconds(500);
  Duration cache_period = std::chrono::seconds(1);

  auto operator<=>(const EndpointWatcherOptions&) const = default;
};

// Callbacks for what was polled. Both must be set.
struct EndpointWatcherEvents {
  std::function<void(const LoadReport&)> on_load;
  std::function<void(const CacheEvent&)> on_cache;
};

// Polls all engines (endpoints of language services) of one data centre, at
// most one request of each kind at a time per engine. Failed polls are dropped;
// the next period polls again.
class EndpointWatcher {
 public:
  EndpointWatcher(EndpointWatcherOptions options,
                  DataCentreId data_centre,
                  EndpointClient& client,
                  EndpointWatcherEvents events);
  ~EndpointWatcher();
  EndpointWatcher(const EndpointWatcher&) = delete;
  EndpointWatcher& operator=(const EndpointWatcher&) = delete;

  void ApplyConfiguration(ConfigurationPtr next);

 private:
  struct CachePosition {
    uint64_t incarnation = 0;
    int64_t sequence = 0;
    bool in_flight = false;  // a request is in flight
  };

  void PollLoads();
  void PollCaches();
  void HandleCacheEvents(const EndpointId& endpoint,
                         const Result<std::vector<CacheEvent>>& events);
  void ForEachEngine(const std::function<void(const Endpoint&)>& call) const;

  DataCentreId data_centre;
  EndpointClient& client;
  EndpointWatcherEvents events;
  ConfigurationPtr configuration = std::make_shared<Configuration>();
  std::map<EndpointId, CachePosition> positions;
  std::map<EndpointId, bool> load_in_flight;
  std::unique_ptr<Timer> load_timer;
  std::unique_ptr<Timer> cache_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace hickorystand
