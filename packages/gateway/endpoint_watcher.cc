#include "gateway/endpoint_watcher.h"

#include <algorithm>
#include <utility>

namespace hickorystand {

EndpointWatcher::EndpointWatcher(EndpointWatcherOptions options,
                                 DataCentreId data_centre,
                                 EndpointClient& client,
                                 EndpointWatcherEvents events)
    : data_centre(std::move(data_centre)),
      client(client),
      events(std::move(events)) {
  if (options.load_period > Duration::zero()) {
    this->load_timer =
        Timer::Every(options.load_period, [this] { this->PollLoads(); });
  }
  if (options.cache_period > Duration::zero()) {
    this->cache_timer =
        Timer::Every(options.cache_period, [this] { this->PollCaches(); });
  }
}

EndpointWatcher::~EndpointWatcher() {
  *this->alive = false;
}

void EndpointWatcher::ApplyConfiguration(ConfigurationPtr next) {
  this->configuration = std::move(next);
  const auto removed = [this](const auto& entry) {
    return !this->configuration->endpoints.contains(entry.first);
  };
  std::erase_if(this->positions, removed);
  std::erase_if(this->load_in_flight, removed);
}

void EndpointWatcher::ForEachEngine(
    const std::function<void(const Endpoint&)>& call) const {
  for (const auto& [id, endpoint] : this->configuration->endpoints) {
    const auto service = this->configuration->services.find(endpoint.service);
    if (endpoint.data_centre == this->data_centre &&
        service != this->configuration->services.end() &&
        service->second.kind == ServiceKind::kLanguage) {
      call(endpoint);
    }
  }
}

// One request at a time per engine; otherwise requests to an engine that does
// not respond would accumulate.
void EndpointWatcher::PollLoads() {
  this->ForEachEngine([this](const Endpoint& endpoint) {
    if (std::exchange(this->load_in_flight[endpoint.id], true)) {
      return;
    }
    this->client.FetchLoad(endpoint.id, endpoint.address,
                           [this, alive = this->alive, id = endpoint.id](
                               const Result<LoadReport>& report) {
                             if (!*alive) {
                               return;
                             }
                             this->load_in_flight[id] = false;
                             if (report) {
                               this->events.on_load(*report);
                             }
                           });
  });
}

void EndpointWatcher::PollCaches() {
  this->ForEachEngine([this](const Endpoint& endpoint) {
    CachePosition& position = this->positions[endpoint.id];
    if (std::exchange(position.in_flight, true)) {
      return;
    }
    this->client.FetchCacheEvents(
        endpoint.id, endpoint.address, position.sequence,
        [this, alive = this->alive,
         id = endpoint.id](const Result<std::vector<CacheEvent>>& events) {
          if (*alive) {
            this->HandleCacheEvents(id, events);
          }
        });
  });
}

// After a restart the engine counts sequence numbers from the beginning again.
// Events that follow a restart are therefore ignored up to a snapshot, which
// the next poll requests with sequence number 0.
void EndpointWatcher::HandleCacheEvents(
    const EndpointId& endpoint,
    const Result<std::vector<CacheEvent>>& events) {
  CachePosition& position = this->positions[endpoint];
  position.in_flight = false;
  if (!events) {
    return;
  }
  for (const CacheEvent& event : *events) {
    const bool restarted =
        position.incarnation != 0 && position.incarnation != event.incarnation;
    position.incarnation = event.incarnation;
    if (restarted && !event.snapshot) {
      position.sequence = 0;
      return;
    }
    position.sequence = event.sequence;
    this->events.on_cache(event);
  }
}

}  // namespace hickorystand
