// Callers' side of the relay: accepts connections, reads one request after the
// other on each, and writes the answers.

#pragma once

#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include "http/stream_socket.h"
#include "kernel/task.h"
#include "relay/caller_exchange.h"
#include "relay/fleet_configuration.h"

namespace hickorystand {

class CallerConnection;

// Accepts callers at one address.
class CallerServer {
 public:
  explicit CallerServer(CallerHandler handler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Accepts connections at an address.
  Result<int> Listen(const SocketAddress& address);

  // Bounds for requests that begin from now on.
  void SetLimits(const CallerLimits& limits) { this->limits = limits; }

  // From now on each answer is the last of its connection. Connections that
  // are idle stay open for a while: a request may be on its way on them, and
  // closing would lose it.
  void StartDrain() { this->draining = true; }

  // Accepts and reads nothing any more, and closes all connections that wait
  // for no answer.
  void StopReading();

  // Connections with a request that waits for an answer, or with an answer that
  // hasn't left this process yet.
  size_t Waiting() const;
  size_t Connections() const { return this->connections.size(); }

  // Whether the kernel has taken all that was written to callers.
  bool AllSent() const;

 private:
  friend class CallerConnection;

  CallerHandler handler;
  CallerLimits limits;
  bool draining = false;
  std::unique_ptr<Listener> listener;
  std::set<std::shared_ptr<CallerConnection>> connections;
  std::vector<std::weak_ptr<StreamSocket>> closing;  // have bytes to send
};

// The reason phrase of a status, for the answer's first line.
std::string_view ReasonOf(int status);

}  // namespace hickorystand
