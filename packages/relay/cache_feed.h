// Hears from each engine what it keeps of prompts, by calls that wait for
// changes, and tells the placement. So every host knows what any host's
// requests left behind, without a word between hosts.

#pragma once

#include <map>
#include <memory>
#include <string>

#include "decisions/fleet_placement.h"
#include "relay/endpoint_pool.h"
#include "relay/message_codec.h"

namespace hickorystand {

// How engines are asked.
struct CacheFeedOptions {
  // How long a call waits for a change.
  Duration wait = std::chrono::seconds(1);
  // Without an answer after this, the call is given up.
  Duration limit = std::chrono::milliseconds(2500);
  // Between an answer and the next call. A busy engine has news at once, and
  // each call that it answers at once costs as much as a health check.
  Duration rest = std::chrono::milliseconds(700);
  // After a failed call. An engine keeps a few such calls waiting and refuses
  // more; it is asked again rarely.
  Duration rest_after_failure = std::chrono::seconds(2);
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

  // Listens to the engines among these endpoints, and to no others.
  void SetEndpoints(const FleetEndpoints& endpoints);

 private:
  // One engine that is listened to.
  struct Ear {
    EndpointRun run;
    SocketAddress address;
    EndpointExchangePtr call;
    std::unique_ptr<Timer> timer;
    std::string body;
    int status = 0;
    std::string epoch;
    int64_t next = 0;
  };

  void Ask(const EndpointId& engine);
  void Rest(const EndpointId& engine, Duration rest);
  void OnEnd(const EndpointId& engine, HttpEnd end);
  void Take(const EndpointId& engine, const CacheNews& news);

  CacheFeedOptions options;
  EndpointPool* pool;
  const MessageCodec* codec;
  FleetPlacement* placement;
  std::map<EndpointId, Ear> ears;
};

}  // namespace hickorystand
