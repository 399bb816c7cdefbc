// Callers' side of the relay: accepts connections, reads one request after the
// other on each, and writes the answers.
//
// Index
//   CallerMessage    a whole request
//   AnswerStart      the head of an answer
//   CallerExchange   a request that waits for its answer
//   CallerServer     all connections at one address

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "http/http1_parser.h"
#include "http/stream_socket.h"
#include "kernel/task.h"
#include "relay/fleet_configuration.h"

namespace hickorystand {

// A request that was read to its end.
struct CallerMessage {
  Http1Head head;
  std::string body;
};

// The head of an answer.
struct AnswerStart {
  int status = 200;
  HttpHeaders headers;             // without length and connection
  std::optional<uint64_t> length;  // unknown: sent in chunks
};

class CallerConnection;

// One request and the way to answer it. A handler keeps it as long as it has
// something to say.
class CallerExchange {
 public:
  CallerExchange(std::weak_ptr<CallerConnection> connection,
                 CallerMessage message)
      : connection(std::move(connection)), message(std::move(message)) {}

  const CallerMessage& Message() const { return this->message; }

  // Called once if the caller hangs up before the answer is whole.
  void OnGone(std::function<void()> gone) { this->gone = std::move(gone); }

  // Called whenever all that was written has left.
  void OnDrained(std::function<void()> drained) {
    this->drained = std::move(drained);
  }

  // Answers in one piece.
  void Answer(const AnswerStart& start, std::string_view body);

  // Answers piece by piece.
  void Start(const AnswerStart& start);
  void Send(std::string_view bytes);
  void Finish();

  // Ends the answer so that the caller sees it isn't whole.
  void Break();

  bool Started() const { return this->started; }
  size_t Unsent() const;

 private:
  friend class CallerConnection;

  std::weak_ptr<CallerConnection> connection;
  CallerMessage message;
  std::function<void()> gone;
  std::function<void()> drained;
  bool started = false;
  bool chunked = false;
  uint64_t missing = 0;  // bytes of the declared length still to be sent
  bool over = false;
};

using CallerExchangePtr = std::shared_ptr<CallerExchange>;
using CallerHandler = std::function<void(CallerExchangePtr)>;

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

  // Requests that wait for an answer, and open connections.
  size_t Waiting() const;
  size_t Connections() const { return this->connections.size(); }

 private:
  friend class CallerConnection;

  CallerHandler handler;
  CallerLimits limits;
  bool draining = false;
  std::unique_ptr<Listener> listener;
  std::set<std::shared_ptr<CallerConnection>> connections;
};

// The reason phrase of a status, for the answer's first line.
std::string_view ReasonOf(int status);

}  // namespace hickorystand
