#include "http/connection_pool.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hickorystand {
namespace {

// The `timeout` of a Keep-Alive header.
std::optional<Duration> IdleTimeout(const HttpHeaders& headers) {
  const std::string value = FindHeader(headers, "Keep-Alive").value_or("");
  const size_t at = value.find("timeout=");
  if (at == std::string::npos) {
    return {};
  }
  int64_t seconds = 0;
  const char* from = value.data() + at + std::string_view("timeout=").size();
  const auto [end, error] =
      std::from_chars(from, value.data() + value.size(), seconds);
  if (error != std::errc() || seconds < 0) {
    return {};
  }
  return std::chrono::seconds(seconds);
}

// Which message of an exchange is being read.
enum class MessageKind {
  kInformational,  // a 1xx head, or a head that isn't known yet
  kOtherRequest,   // an answer to another request
  kAwaited,
};

}  // namespace

std::string_view NameOf(AnswerExcess excess) {
  switch (excess) {
    case AnswerExcess::kHead:
      return "head";
    case AnswerExcess::kInformational:
      return "informational";
    case AnswerExcess::kOtherRequest:
      return "other_request";
    case AnswerExcess::kAnswer:
      return "answer";
    case AnswerExcess::kFraming:
      return "framing";
    case AnswerExcess::kEvent:
      return "event";
    case AnswerExcess::kAfterAnswer:
      break;
  }
  return "after_answer";
}

// One connection, which is connecting, carries an exchange, or is idle.
class PooledConnection : public std::enable_shared_from_this<PooledConnection> {
 public:
  PooledConnection(ConnectionPool* pool, SocketAddress address)
      : pool(pool),
        id(++pool->opened),
        address(std::move(address)),
        parser(
            Http1Side::kResponses,
            {.on_head = [this](const Http1Head& head) { this->OnHead(head); },
             .on_body = [this](std::string_view bytes) { this->OnBody(bytes); },
             .on_end = [] {}}) {}

  void Open(Duration connect_timeout) {
    this->started = this->pool->clock->Now();
    this->timer = Timer::After(connect_timeout,
                               [this] { this->Fail(HttpEnd::kNotSent); });
    this->socket = StreamSocket::Connect(
        this->address, this->pool->options.ack_timeout,
        {.on_open = [this] { this->OnOpen(); },
         .on_bytes = [this](std::string_view bytes) { this->OnBytes(bytes); },
         .on_end = [this](StreamEnd end) { this->OnEnd(end); }},
        this->pool->budget);
  }

  void Carry(const PooledRequest& send, PooledExchangePtr next) {
    this->exchange = std::move(next);
    this->exchange->connection = this->weak_from_this();
    this->exchange->reused = this->socket->AnySent();
    this->to_send = send;
    this->allowances = kAllowances;
    this->StopIdleTimer();
    this->BeginAnswer();
    if (this->socket->Open()) {
      this->SendRequest();
    }
  }

  // Ends the exchange because its answer exceeds a bound.
  void CutOff(AnswerExcess excess) {
    this->NotifyCutOff(excess);
    this->exchange->fault = NameOf(excess);
    this->Fail(HttpEnd::kProtocol);
  }

  // Ends the exchange because its answer is not valid or has no end.
  void FailBroken(HttpEnd end, std::string_view reason) {
    if (this->exchange->heard) {
      this->NotifyFault(this->pool->observer.on_broken, reason);
    }
    this->exchange->fault = reason;
    this->Fail(end);
  }

  // Resets the connection and ends its exchange with `end`.
  void Fail(HttpEnd end) {
    const auto keep = this->shared_from_this();
    if (!this->opened) {
      this->NotifyConnectFailed();
    }
    this->timer.reset();
    this->socket->Reset();
    this->pool->OnClosed(keep);
    this->Tell(end);
  }

  void Drop() {
    const auto keep = this->shared_from_this();
    this->timer.reset();
    this->exchange.reset();
    this->socket->Reset();
    this->pool->OnClosed(keep);
  }

 private:
  friend class PooledExchange;
  friend class ConnectionPool;

  void Notify(const std::function<void(const SocketAddress&)>& call) const {
    if (call) {
      call(this->address);
    }
  }

  void NotifyConnectFailed() const {
    if (const auto& call = this->pool->observer.on_connect_failed) {
      call(this->address, this->started);
    }
  }

  void NotifyCutOff(AnswerExcess excess) const {
    this->NotifyFault(this->pool->observer.on_cut_off, NameOf(excess));
  }

  void NotifyFault(const std::function<void(const AnswerFault&)>& call,
                   std::string_view reason) const {
    if (call) {
      call({.address = this->address,
            .request = this->to_send.request,
            .reason = reason,
            .parsed_bytes = this->parser.Parsed(),
            .unparsed_bytes = this->parser.Unread()});
    }
  }

  void OnOpen() {
    this->opened = true;
    this->timer.reset();
    Notify(this->pool->observer.on_connected);
    if (const auto& call = this->pool->observer.on_opened) {
      call(this->address, this->id);
    }
    if (this->exchange) {
      this->SendRequest();
    } else {
      this->StayIdle();
    }
  }

  void SendRequest() {
    const PooledRequest send = std::exchange(
        this->to_send, {.request = this->to_send.request,
                        .no_answer_body = this->to_send.no_answer_body});
    const auto may_send = [&send] { return !send.may_send || send.may_send(); };
    bool allowed = may_send();
    if (allowed) {
      this->socket->Write(send.head);
      allowed = may_send();
    }
    if (allowed) {
      this->socket->Write(send.body);
    } else {
      this->timer =
          Timer::After(Duration{}, [this] { this->Fail(HttpEnd::kNotSent); });
    }
  }

  void StopIdleTimer() {
    if (this->socket->Open()) {
      this->timer.reset();
    }
  }

  void BeginAnswer() {
    this->kind = MessageKind::kInformational;
    this->parser.Begin({.head = kMaxHeadBytes, .body = kUnlimitedAnswer},
                       this->to_send.no_answer_body);
  }

  // How many bytes the messages of the current kind may still have.
  uint64_t& Allowance() {
    return this->allowances.at(static_cast<size_t>(this->kind));
  }

  void OnHead(const Http1Head& head) {
    this->head = head;
    if (head.status / 100 == 1) {
      return;
    }
    // The callback may end the exchange.
    const PooledExchangePtr keep = this->exchange;
    const auto limit = keep->events.on_head(head);
    this->kind = limit ? MessageKind::kAwaited : MessageKind::kOtherRequest;
    if (limit) {
      this->Allowance() = *limit;
    }
    // After an answer to another request, later ones on this connection can't
    // be matched to requests reliably, so it isn't reused.
    this->reusable = this->reusable && limit;
  }

  void OnBody(std::string_view bytes) {
    // The callback may end the exchange.
    const PooledExchangePtr keep = this->exchange;
    if (this->kind == MessageKind::kAwaited && keep) {
      keep->events.on_bytes(bytes);
    }
  }

  void OnBytes(std::string_view bytes) {
    const auto keep = this->shared_from_this();
    Notify(this->pool->observer.on_heard);
    if (!this->exchange) {
      this->NotifyCutOff(AnswerExcess::kAfterAnswer);
      this->Drop();
      return;
    }
    this->exchange->heard = true;
    this->parser.Feed(bytes);
    this->ReadOn();
    if (this->socket->Open()) {
      this->socket->SetHeld(HoldingState::kInWork, this->parser.Unread());
    }
  }

  void ReadOn() {
    while (this->exchange) {
      this->parser.Read();
      if (!this->exchange) {
        return;  // cancelled by a callback
      }
      if (const auto excess = this->Excess()) {
        this->CutOff(*excess);
        return;
      }
      if (const Http1Failure failure = this->parser.Failure();
          failure != Http1Failure::kNone) {
        this->FailBroken(HttpEnd::kProtocol, NameOf(failure));
        return;
      }
      if (!this->parser.Done()) {
        return;
      }
      if (this->kind == MessageKind::kAwaited) {
        this->OnWhole(HttpEnd::kComplete);
        return;
      }
      this->Allowance() -= this->parser.Parsed();
      this->BeginAnswer();
    }
  }

  // Which bound the bytes read so far exceed.
  std::optional<AnswerExcess> Excess() {
    if (this->parser.Failure() == Http1Failure::kHeadTooLarge) {
      return this->parser.HeadRead() ? AnswerExcess::kFraming
                                     : AnswerExcess::kHead;
    }
    if (!this->parser.HeadRead() ||
        this->parser.Parsed() <= this->Allowance()) {
      return {};
    }
    switch (this->kind) {
      case MessageKind::kInformational:
        return AnswerExcess::kInformational;
      case MessageKind::kOtherRequest:
        return AnswerExcess::kOtherRequest;
      case MessageKind::kAwaited:
        break;
    }
    return AnswerExcess::kAnswer;
  }

  void OnWhole(HttpEnd end) {
    const auto keep = this->shared_from_this();
    if (this->parser.Unread() > 0) {
      this->NotifyCutOff(AnswerExcess::kAfterAnswer);
    }
    // An endpoint may answer before it has read all of a long body. On a reused
    // connection it would read the next request as the rest of that body.
    const bool reuse = this->reusable && this->head.keep_alive &&
                       this->parser.Unread() == 0 &&
                       this->socket->Unsent() == 0 && this->socket->Open();
    const PooledExchangePtr ended = std::exchange(this->exchange, nullptr);
    ended->over = true;
    if (reuse) {
      this->StayIdle();
    } else {
      this->Drop();
    }
    ended->events.on_end(end);
  }

  void StayIdle() {
    const ConnectionPoolOptions& options = this->pool->options;
    this->idle_limit =
        IdleTimeout(this->head.headers).value_or(options.default_idle_timeout) -
        options.idle_margin;
    if (this->idle_limit <= Duration{}) {
      this->Drop();
      return;
    }
    this->idle_since = this->pool->clock->Now();
    this->timer = Timer::After(this->idle_limit, [this] { this->Drop(); });
    this->socket->Resume();
    this->pool->OnIdle(this->shared_from_this());
  }

  void OnEnd(StreamEnd end) {
    const auto keep = this->shared_from_this();
    if (this->opened && end == StreamEnd::kReset) {
      Notify(this->pool->observer.on_lost);
    }
    if (!this->exchange) {
      if (!this->opened) {
        this->NotifyConnectFailed();
      }
      this->ended_by_peer = true;
      this->Drop();
      return;
    }
    if (end == StreamEnd::kRefused) {
      this->Fail(HttpEnd::kNotSent);
      return;
    }
    if (end == StreamEnd::kClosed && this->kind == MessageKind::kAwaited &&
        this->parser.Finish()) {
      this->OnWhole(HttpEnd::kNoEndMarker);
      return;
    }
    this->ended_by_peer = true;
    this->FailBroken(HttpEnd::kReset,
                     end == StreamEnd::kClosed ? "closed_early" : "reset");
  }

  void Tell(HttpEnd end) {
    const PooledExchangePtr ended = std::exchange(this->exchange, nullptr);
    if (ended && !ended->over) {
      ended->over = true;
      ended->events.on_end(end);
    }
  }

  // By MessageKind. That of the awaited answer is set when its head is read.
  using Allowances = std::array<uint64_t, 3>;
  static constexpr Allowances kAllowances = {kMaxHeadBytes,
                                             kMaxShortAnswerBytes, 0};

  ConnectionPool* pool;
  ConnectionId id;
  SocketAddress address;
  PooledRequest to_send;  // without its bytes once they are sent
  StreamSocketPtr socket;
  Http1Parser parser;
  Http1Head head;
  PooledExchangePtr exchange;
  std::unique_ptr<Timer> timer;
  Instant idle_since{};
  Duration idle_limit{};
  Instant started{};  // of the connect
  bool ended_by_peer = false;
  bool opened = false;
  MessageKind kind = MessageKind::kInformational;
  Allowances allowances = kAllowances;
  bool reusable = true;
};

void PooledExchange::Cancel() {
  const auto open = this->connection.lock();
  if (std::exchange(this->over, true) || !open) {
    return;
  }
  open->Drop();
}

void PooledExchange::CutOff(AnswerExcess excess) {
  if (const auto open = this->connection.lock(); open && !this->over) {
    open->CutOff(excess);
  }
}

void PooledExchange::Pause() {
  if (const auto open = this->connection.lock(); open && !this->over) {
    open->socket->Pause();
  }
}

void PooledExchange::Resume() {
  if (const auto open = this->connection.lock(); open && !this->over) {
    open->socket->Resume();
  }
}

bool PooledExchange::MayHaveSent() const {
  const auto open = this->connection.lock();
  return !open || this->reused || open->socket->AnySent();
}

std::optional<ConnectionId> PooledExchange::Connection() const {
  const auto open = this->connection.lock();
  return open ? std::optional(open->id) : std::nullopt;
}

ConnectionPool::ConnectionPool(const Clock& clock,
                               ConnectionPoolOptions options,
                               ResourceBudget* budget)
    : clock(&clock), options(options), budget(budget) {}

ConnectionPool::~ConnectionPool() {
  for (auto& [address, lane] : this->connections_by_address) {
    const PooledConnections open = std::exchange(lane, {});
    for (const auto& connection : open.busy) {
      connection->Drop();
    }
    for (const auto& connection : open.idle) {
      connection->Drop();
    }
  }
}

PooledExchangePtr ConnectionPool::Send(const PooledRequest& send,
                                       PooledEvents events) {
  auto exchange = std::make_shared<PooledExchange>();
  exchange->events = std::move(events);
  PooledConnections& lane = this->connections_by_address[send.address];
  auto connection = this->TakeIdle(lane, send.at_most_once);
  if (!connection) {
    connection = std::make_shared<PooledConnection>(this, send.address);
    connection->Open(
        send.connect_timeout.value_or(this->options.connect_timeout));
  }
  lane.busy.push_back(connection);
  connection->Carry(send, exchange);
  return exchange;
}

void ConnectionPool::Probe(const SocketAddress& address) {
  const auto connection = std::make_shared<PooledConnection>(this, address);
  this->connections_by_address[address].busy.push_back(connection);
  connection->Open(this->options.connect_timeout);
}

std::shared_ptr<PooledConnection> ConnectionPool::FindIdle(
    const PooledConnections& lane,
    bool once) const {
  // The endpoint is least likely to be closing the most recently used one.
  if (lane.idle.empty()) {
    return {};
  }
  const auto& connection = lane.idle.back();
  const Duration rested = this->clock->Now() - connection->idle_since;
  const Duration allowed = once
                               ? FromSeconds(ToSeconds(connection->idle_limit) *
                                             this->options.once_idle_share)
                               : connection->idle_limit;
  const bool usable = rested < allowed && connection->socket->Open();
  return usable ? connection : nullptr;
}

std::shared_ptr<PooledConnection> ConnectionPool::TakeIdle(
    PooledConnections& lane,
    bool once) {
  auto connection = this->FindIdle(lane, once);
  if (connection) {
    lane.idle.pop_back();
  }
  return connection;
}

std::optional<ConnectionId> ConnectionPool::NextIdle(
    const SocketAddress& address) const {
  const auto found = this->connections_by_address.find(address);
  if (found == this->connections_by_address.end()) {
    return {};
  }
  const auto connection = this->FindIdle(found->second, false);
  return connection ? std::optional(connection->id) : std::nullopt;
}

bool ConnectionPool::HasIdle(const SocketAddress& address) const {
  const auto found = this->connections_by_address.find(address);
  return found != this->connections_by_address.end() &&
         !found->second.idle.empty();
}

void ConnectionPool::CloseIdle(const SocketAddress& address) {
  const auto found = this->connections_by_address.find(address);
  if (found == this->connections_by_address.end()) {
    return;
  }
  for (const auto& connection : std::exchange(found->second.idle, {})) {
    connection->Drop();
  }
}

size_t ConnectionPool::Connections() const {
  size_t count = 0;
  for (const auto& [address, lane] : this->connections_by_address) {
    count += lane.idle.size() + lane.busy.size();
  }
  return count;
}

void ConnectionPool::OnIdle(
    const std::shared_ptr<PooledConnection>& connection) {
  PooledConnections& lane = this->connections_by_address[connection->address];
  lane.busy.remove(connection);
  lane.idle.push_back(connection);
}

void ConnectionPool::OnClosed(
    const std::shared_ptr<PooledConnection>& connection) {
  PooledConnections& lane = this->connections_by_address[connection->address];
  lane.busy.remove(connection);
  lane.idle.remove(connection);
  if (this->observer.on_closed && connection->opened) {
    this->observer.on_closed(connection->address, connection->id,
                             connection->ended_by_peer);
  }
}

}  // namespace hickorystand
