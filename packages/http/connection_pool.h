// Pool of HTTP/1.1 keep-alive connections. Each connection carries one exchange
// at a time. The end of an exchange states whether the request can have reached
// the other side.
//
//   PooledExchangePtr exchange = pool.Send({.address = address,
//                                           .head = head},
//                                          {.on_head = ...,
//                                           .on_bytes = ...,
//                                           .on_end = ...});
//
// Index
//   AnswerExcess            which part of an answer exceeded its bound
//   AnswerFault             why an answer is broken, or was cut off
//   PooledRequest           a request
//   PooledEvents            callbacks of an exchange
//   PooledExchange          a request and its answer
//   ConnectionPoolOptions   timeouts and reuse of connections
//   ConnectionPoolObserver  what connections show of their other sides
//   ConnectionPool          the connections

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/http1_parser.h"
#include "http/http_types.h"
#include "http/stream_socket.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// A faulty endpoint may send bytes without end. At these bounds its connection
// is closed; the exchange ends with HttpEnd::kProtocol.

// A head, bytes of framing that can't be parsed yet, and all 1xx heads of an
// exchange together.
constexpr uint32_t kMaxHeadBytes = uint32_t{64} << 10;

// The answer to a call whose answer is short, an answer that isn't forwarded,
// and all answers to other requests together.
constexpr uint64_t kMaxShortAnswerBytes = uint64_t{1} << 20;

// The answer to a call for an engine's whole cache.
constexpr uint64_t kMaxCacheListBytes = uint64_t{8} << 20;

// For an answer that is forwarded as it arrives.
constexpr uint64_t kUnlimitedAnswer = std::numeric_limits<uint64_t>::max();

// Which part of an answer exceeded its bound.
enum class AnswerExcess {
  kHead,
  kInformational,  // 1xx heads
  kOtherRequest,   // answers to other requests
  kAnswer,
  kFraming,      // the extension of a chunk, or trailers
  kEvent,        // an event of a stream
  kAfterAnswer,  // bytes after a whole answer, of which none are allowed
};

inline constexpr std::array kAnswerExcesses = {
    AnswerExcess::kHead,         AnswerExcess::kInformational,
    AnswerExcess::kOtherRequest, AnswerExcess::kAnswer,
    AnswerExcess::kFraming,      AnswerExcess::kEvent,
    AnswerExcess::kAfterAnswer};

// The name of an excess, as used in logs and metrics.
std::string_view NameOf(AnswerExcess excess);

// An answer that exceeded a bound, that is not valid HTTP, or whose connection
// ended before it.
struct AnswerFault {
  SocketAddress address;
  RequestId request;            // of PooledRequest
  std::string_view reason;      // as used in logs and metrics
  uint64_t parsed_bytes = 0;    // of the message that was being read
  uint64_t unparsed_bytes = 0;  // buffered behind them
};

// One request.
struct PooledRequest {
  SocketAddress address;
  std::string head;             // start line and headers, up to the empty line
  SharedBytes body;             // may be null
  RequestId request = {};       // for logs; empty for a call of this host's own
  bool no_answer_body = false;  // the method is HEAD
  // The request must not run twice. An idle connection may have been closed by
  // the endpoint just now; whether a request sent on it has run is then
  // unknown. Such a request therefore goes only on connections that were used
  // recently (ConnectionPoolOptions::once_idle_share), and otherwise on a new
  // one.
  bool at_most_once = false;
  std::optional<Duration> connect_timeout = {};  // instead of the pool's
  // Called in the same step that passes bytes to the socket, before the head
  // and before the body. False ends the exchange as not sent.
  std::function<bool()> may_send = {};
};

// Callbacks of one exchange.
struct PooledEvents {
  // Returns how many bytes the answer may have, including its head. A faulty
  // endpoint may send a late second answer to the previous request: return
  // nullopt to drop it and to read the next one.
  std::function<std::optional<uint64_t>(const Http1Head&)> on_head;
  std::function<void(std::string_view)> on_bytes;
  std::function<void(HttpEnd)> on_end;  // last, once
};

class PooledConnection;

// One exchange in progress. It continues when the last pointer to it is
// dropped; only Cancel ends it.
class PooledExchange {
 public:
  // Ends the exchange and closes its connection, without a call of `on_end`.
  void Cancel();

  // Closes the connection because of the answer's content. The exchange ends
  // with HttpEnd::kProtocol.
  void CutOff(AnswerExcess excess);

  // Flow control: stops and resumes reading from the connection.
  void Pause();
  void Resume();

  // Whether bytes of the request may have left this process.
  bool MayHaveSent() const;

  // The connection that carries it; nullopt if that is closed.
  std::optional<ConnectionId> Connection() const;

  // Whether the connection has carried another request before, and whether
  // bytes have arrived since this one was sent.
  bool Reused() const { return this->reused; }
  bool Heard() const { return this->heard; }

  // Why the answer is broken, as used in logs; empty if it isn't.
  std::string_view Fault() const { return this->fault; }

 private:
  friend class PooledConnection;
  friend class ConnectionPool;

  std::weak_ptr<PooledConnection> connection;
  PooledEvents events;
  std::string_view fault;
  bool reused = false;
  bool heard = false;
  bool over = false;
};

using PooledExchangePtr = std::shared_ptr<PooledExchange>;

// Timeouts of connections, and their reuse.
struct ConnectionPoolOptions {
  // Shorter than TCP's first retransmission, which comes after a second: a
  // connect takes one round trip unless a packet is lost.
  Duration connect_timeout = std::chrono::milliseconds(600);
  // TCP user timeout: how long sent bytes may stay unacknowledged. It is the
  // only sign of a connection whose state a middlebox has dropped.
  // Longer than an endpoint may fall silent for without a fault.
  Duration ack_timeout = std::chrono::seconds(2);
  // Idle timeout of a connection if the endpoint sends no Keep-Alive timeout.
  Duration default_idle_timeout = std::chrono::seconds(4);
  // Idle connections are closed this much before the endpoint would close them.
  Duration idle_margin = std::chrono::milliseconds(900);
  // Share of the idle timeout within which an idle connection may carry a
  // request that must not run twice.
  double once_idle_share = 0.5;
};

// What connections show of their endpoints. The callbacks must not use the
// pool.
struct ConnectionPoolObserver {
  std::function<void(const SocketAddress&)> on_connected;
  std::function<void(const SocketAddress&, Instant started)> on_connect_failed;
  std::function<void(const SocketAddress&)> on_heard;  // bytes arrived
  std::function<void(const SocketAddress&)> on_lost;   // reset or timed out
  // A connection was opened, and closed by either side.
  std::function<void(const SocketAddress&, ConnectionId)> on_opened = {};
  std::function<void(const SocketAddress&, ConnectionId, bool by_peer)>
      on_closed = {};
  std::function<void(const AnswerFault&)> on_cut_off = {};  // at a bound
  std::function<void(const AnswerFault&)> on_broken = {};
};

// All connections to endpoints. Failures are reported as the HttpEnd of an
// exchange.
class ConnectionPool {
 public:
  // What endpoints make the process hold counts in `budget`, which may be null.
  explicit ConnectionPool(const Clock& clock,
                          ConnectionPoolOptions options = {},
                          ResourceBudget* budget = nullptr);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Sends a request. `events` are called later, never during this call.
  PooledExchangePtr Send(const PooledRequest& send, PooledEvents events);

  void SetObserver(ConnectionPoolObserver observer) {
    this->observer = std::move(observer);
  }

  // Connects to an address, to find out whether that is possible. The
  // connection is then kept as an idle one.
  void Probe(const SocketAddress& address);

  // Whether an idle connection to the address is open.
  bool HasIdle(const SocketAddress& address) const;

  // The open connection on which a request that may run twice would be sent;
  // nullopt if a new one would be opened.
  std::optional<ConnectionId> NextIdle(const SocketAddress& address) const;

  // Closes the idle connections to an address whose process has ended.
  void CloseIdle(const SocketAddress& address);

  size_t Connections() const;
  int64_t Opened() const { return this->opened; }

 private:
  friend class PooledConnection;

  struct PooledConnections {
    std::list<std::shared_ptr<PooledConnection>> idle;
    std::list<std::shared_ptr<PooledConnection>> busy;
  };

  // The idle connection for a request; null if a new one has to be opened.
  std::shared_ptr<PooledConnection> FindIdle(const PooledConnections& lane,
                                             bool once) const;
  std::shared_ptr<PooledConnection> TakeIdle(PooledConnections& lane,
                                             bool once);
  void OnIdle(const std::shared_ptr<PooledConnection>& connection);
  void OnClosed(const std::shared_ptr<PooledConnection>& connection);

  const Clock* clock;
  ConnectionPoolOptions options;
  ResourceBudget* budget;
  ConnectionPoolObserver observer;
  std::map<SocketAddress, PooledConnections> connections_by_address;
  int64_t opened = 0;
};

}  // namespace hickorystand
