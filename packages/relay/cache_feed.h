// Subscribes to engines' prefix-cache events by long polling and applies them
// to the placement.
//
// A new subscription starts with a list of the engine's whole cache, as a newly
// started host lacks the events that running engines sent before.
//
// Each engine has one subscriber among the schedulers, which forwards the
// events to the other schedulers as CacheUpdate messages, so that every
// scheduler knows the cache entries that any scheduler's requests created.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "decisions/fleet_placement.h"
#include "http/connection_pool.h"
#include "peers/message.h"
#include "relay/message_codec.h"

namespace hickorystand {

// Timing of the long polls.
struct CacheFeedOptions {
  // How long an engine may hold a call until there is an event.
  Duration wait = std::chrono::seconds(1);
  // Timeout of a call.
  Duration call_timeout = std::chrono::milliseconds(2500);
  // Delay between an answer and the next call. A busy engine always has events
  // and answers at once, and such a call costs as much as a health check.
  Duration pause = std::chrono::milliseconds(700);
  // Delay after a failed call. An engine holds only a few calls at a time and
  // rejects further ones.
  Duration pause_after_failure = std::chrono::seconds(2);
};

// Callbacks of CacheFeed.
struct CacheFeedHandlers {
  // Whether this host is an engine's subscriber.
  std::function<bool(const FleetEndpoint&)> subscribes;
  // An engine that this host subscribes to reported changes of its cache.
  std::function<void(const CacheUpdate&)> on_update;
};

// The subscriptions of one host. The pool, the codec and the placement must
// outlive it.
class CacheFeed {
 public:
  CacheFeed(CacheFeedOptions options,
            ConnectionPool& pool,
            const MessageCodec& codec,
            FleetPlacement& placement);
  ~CacheFeed();
  CacheFeed(const CacheFeed&) = delete;
  CacheFeed& operator=(const CacheFeed&) = delete;

  // Without handlers this host subscribes to every engine.
  void SetHandlers(CacheFeedHandlers new_handlers) {
    this->handlers = std::move(new_handlers);
  }

  // Sets the function that receives the rates that engines state in their
  // answers to polls.
  void SetRateHandler(std::function<void(const RateAnswer&)> handler) {
    this->on_rate = std::move(handler);
  }

  // Subscribes to those of the endpoints for which `subscribes` is true, and
  // cancels all other subscriptions. Call again whenever the endpoints or the
  // assignment of subscribers may have changed.
  void SetEndpoints(const FleetEndpoints& endpoints);

  // Applies an update that another host received from an engine. Ignores runs
  // that the placement doesn't have.
  void ApplyUpdate(const CacheUpdate& update);

  // The known cache contents of all engines that this host subscribes to.
  std::vector<CacheUpdate> Snapshot() const;

 private:
  struct Subscription {
    EndpointRun run;
    SocketAddress address;
    PooledExchangePtr call;
    std::unique_ptr<Timer> timer;
    std::string body;
    int status = 0;
    std::string epoch;
    int64_t next = 0;
    bool list_requested = false;  // the whole cache was requested
  };

  bool Subscribes(const FleetEndpoint& endpoint) const;
  void Poll(const EndpointId& engine);
  std::optional<uint64_t> OnHead(const EndpointId& engine,
                                 const Http1Head& head);
  void PollAfter(const EndpointId& engine, Duration delay);
  void OnEnd(const EndpointId& engine, HttpEnd end);
  void ApplyEvents(const EndpointId& engine, const CacheChanges& events);

  CacheFeedOptions options;
  ConnectionPool* pool;
  const MessageCodec* codec;
  FleetPlacement* placement;
  CacheFeedHandlers handlers;
  std::function<void(const RateAnswer&)> on_rate;
  std::map<EndpointId, Subscription> subscriptions;
};

}  // namespace hickorystand
