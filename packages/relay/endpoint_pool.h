// The relay's connections to endpoints: one request at a time on each, kept
// open between requests, and an exact account of how each exchange ended.
//
// Index
//   EndpointSend       what is sent
//   EndpointEvents     callbacks
//   EndpointExchange   one exchange under way
//   EndpointPool       the connections

#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "http/http1_parser.h"
#include "http/http_client.h"
#include "http/stream_socket.h"

namespace hickorystand {

// One request to an endpoint.
struct EndpointSend {
  SocketAddress address;
  std::string head;  // start line and headers, up to the empty line
  std::shared_ptr<const std::string> body;  // may be null
  bool no_answer_body = false;              // the method is HEAD
  // A kept connection may have been closed by the other end a moment ago, and
  // then nobody knows whether the request ran. One that must not run twice
  // goes only on connections that were used this recently; others are new.
  bool once = false;
};

// Callbacks of one exchange.
struct EndpointEvents {
  // Whether an answer is the one to this request. A faulty endpoint may send a
  // late second answer to the request before: it is dropped, and reading goes
  // on.
  std::function<bool(const Http1Head&)> on_head;
  std::function<void(std::string_view)> on_bytes;
  std::function<void(HttpEnd)> on_end;  // last, once
};

class EndpointConnection;

// One exchange. Dropping it doesn't end it; Cancel does.
class EndpointExchange {
 public:
  // Ends the exchange and closes its connection. on_end is not called.
  void Cancel();

  // Stops reading, so that the endpoint has to wait, and goes on.
  void Pause();
  void Resume();

  // Whether bytes of the request may have left this process.
  bool MayHaveSent() const;

 private:
  friend class EndpointConnection;
  friend class EndpointPool;

  std::weak_ptr<EndpointConnection> connection;
  EndpointEvents events;
  bool over = false;
};

using EndpointExchangePtr = std::shared_ptr<EndpointExchange>;

// How a pool behaves.
struct EndpointPoolOptions {
  // A host answers a connect in one round trip, or its packet was lost and
  // comes again after a second.
  Duration connect_limit = std::chrono::milliseconds(600);
  // How long sent bytes may stay unacknowledged. A connection that somebody
  // between has forgotten shows only by that.
  Duration silence = std::chrono::milliseconds(900);
  // Idle time of a kept connection whose other end named none.
  Duration default_idle = std::chrono::seconds(4);
  // Kept connections are given up this much before the other end would.
  Duration idle_margin = std::chrono::milliseconds(900);
  // Share of the idle time within which a connection may carry a request that
  // must not run twice.
  double once_idle_share = 0.5;
};

// All connections to endpoints.
class EndpointPool {
 public:
  explicit EndpointPool(const Clock& clock, EndpointPoolOptions options = {});
  ~EndpointPool();
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  // Sends a request; `events` are called later, never from within.
  EndpointExchangePtr Send(const EndpointSend& send, EndpointEvents events);

  // Whether a connection to an address is open and idle.
  bool HasIdle(const SocketAddress& address) const;

  // Closes the idle connections to an address whose process is gone.
  void Forget(const SocketAddress& address);

  size_t Connections() const;
  int64_t Opened() const { return this->opened; }

 private:
  friend class EndpointConnection;

  struct Lane {
    std::list<std::shared_ptr<EndpointConnection>> idle;
    std::list<std::shared_ptr<EndpointConnection>> busy;
  };

  std::shared_ptr<EndpointConnection> TakeIdle(Lane& lane, bool once);
  void OnIdle(const std::shared_ptr<EndpointConnection>& connection);
  void OnClosed(const std::shared_ptr<EndpointConnection>& connection);

  const Clock* clock;
  EndpointPoolOptions options;
  std::map<SocketAddress, Lane> lanes;
  int64_t opened = 0;
};

}  // namespace hickorystand
