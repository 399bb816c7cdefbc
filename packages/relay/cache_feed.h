// Subscribes to engines' cache events by long polls and tells the placement.
//
// A new subscription begins with a list of all that the engine keeps: a host
// that starts beside engines that have run for long knows nothing of it.
//
// Each engine has one subscriber among the schedulers. What it receives goes on
// to the others as CacheUpdate messages, so that every scheduler knows what any
// scheduler's requests left behind.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "decisions/fleet_placement.h"
#include "peers/message.h"
#include "relay/endpoint_pool.h"
#include "relay/message_codec.h"

namespace hickorystand {

// How engines are polled.
struct CacheFeedOptions {
  // How long a call waits for an event.
  Duration wait = std::chrono::seconds(1);
  // Without an answer after this, the call is cancelled.
  Duration limit = std::chrono::milliseconds(2500);
  // Between an answer and the next call. A busy engine has events at once, and
  // a call that it answers at once costs as much as a health check.
  Duration pause = std::chrono::milliseconds(700);
  // After a failed call: an engine keeps a few calls waiting and refuses more.
  Duration pause_after_failure = std::chrono::seconds(2);
};

// Callbacks of CacheFeed.
struct CacheFeedHandlers {
  // Whether this host is an engine's subscriber.
  std::function<bool(const FleetEndpoint&)> subscribes;
  // An engine that this host subscribes to has told what changed.
  std::function<void(const CacheUpdate&)> on_update;
};

class CacheFeed {
 public:
  CacheFeed(CacheFeedOptions options,
            EndpointPool& pool,
            const MessageCodec& codec,
            FleetPlacement& placement);
  ~CacheFeed();
  CacheFeed(const CacheFeed&) = delete;
  CacheFeed& operator=(const CacheFeed&) = delete;

  // Without handlers this host subscribes to every engine.
  void SetHandlers(CacheFeedHandlers changed) {
    this->handlers = std::move(changed);
  }

  // Subscribes to the engines among these endpoints that are this host's to
  // follow, and to no others. Again whenever the subscribers may have changed.
  void SetEndpoints(const FleetEndpoints& endpoints);

  // What another host has heard from an engine.
  void TakeUpdate(const CacheUpdate& update);

  // All that is known of the engines that this host subscribes to.
  std::vector<CacheUpdate> Snapshot() const;

 private:
  struct Subscription {
    EndpointRun run;
    SocketAddress address;
    EndpointExchangePtr call;
    std::unique_ptr<Timer> timer;
    std::string body;
    int status = 0;
    std::string epoch;
    int64_t next = 0;
    bool listed = false;  // all that it keeps was asked for
  };

  bool Subscribes(const FleetEndpoint& endpoint) const;
  void Poll(const EndpointId& engine);
  void PollAfter(const EndpointId& engine, Duration pause);
  void OnEnd(const EndpointId& engine, HttpEnd end);
  void TakeNews(const EndpointId& engine, const CacheNews& news);

  CacheFeedOptions options;
  EndpointPool* pool;
  const MessageCodec* codec;
  FleetPlacement* placement;
  CacheFeedHandlers handlers;
  std::map<EndpointId, Subscription> subscriptions;
};

}  // namespace hickorystand
