// HTTP server for callers: accepts connections, reads one request after the
// other on each, and writes the answers.
//
//   CallerServer server([](CallerExchangePtr exchange) { ... });
//   server.Listen(address);
//
// Index
//   CallerServer   the server
//   ReasonPhrase       reason phrase of a status

#pragma once

#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include "http/stream_socket.h"
#include "kernel/task.h"
#include "kernel/turn_queue.h"
#include "relay/caller_exchange.h"
#include "relay/fleet_configuration.h"

namespace hickorystand {

class CallerConnection;

// Accepts callers at one address, and calls the handler with each complete
// request. Requests that are malformed, too large or too slow, or for which
// there is no room, are answered here.
class CallerServer {
 public:
  // What callers make the process hold counts in `budget`, which may be null.
  explicit CallerServer(CallerHandler handler,
                        ResourceBudget* budget = nullptr);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Starts to accept connections.
  Result<int> Listen(const SocketAddress& address);

  // Sets the size limits and timeouts of requests that begin from now on.
  void SetLimits(const CallerLimits& limits) { this->limits = limits; }

  // From now on each answer closes its connection. Idle connections stay open
  // until their idle timeout, since closing one would lose a request that is in
  // transit.
  void StartDrain() { this->draining = true; }

  // Stops accepting connections and reading, and closes all connections that
  // have no answer pending or unsent.
  void StopReading();

  // Connections with a request that waits for an answer.
  size_t Waiting() const;
  size_t Connections() const { return this->connections.size(); }

  // Whether all bytes written to callers have been passed to the kernel.
  bool AllSent() const;

 private:
  friend class CallerConnection;

  CallerHandler handler;
  ResourceBudget* budget;
  CallerLimits limits;
  bool draining = false;
  std::unique_ptr<Listener> listener;
  TurnQueue turns;  // of connections that have more to be parsed
  std::set<std::shared_ptr<CallerConnection>> connections;
  std::vector<std::weak_ptr<StreamSocket>> closing;  // with unsent bytes
};

// The reason phrase of an HTTP status, for the status line.
std::string_view ReasonPhrase(int status);

}  // namespace hickorystand
