#include "relay/caller_server.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace hickorystand {
namespace {

// TCP user timeout: a caller that leaves sent bytes unacknowledged for this
// long is considered disconnected.
constexpr Duration kCallerAckTimeout = std::chrono::seconds(10);

// Bytes of pipelined requests that are buffered before reading pauses.
constexpr size_t kMaxReadAhead = size_t{64} << 10;

// Answers that a caller hasn't read, beyond which no further request of it is
// read.
constexpr size_t kMaxUnreadAnswers = size_t{256} << 10;

std::string HeadText(const AnswerStart& start, bool chunked, bool last) {
  std::string text = "HTTP/1.1 " + std::to_string(start.status) + " " +
                     std::string(ReasonPhrase(start.status)) + "\r\n";
  for (const HttpHeader& header : start.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  if (chunked) {
    text += "Transfer-Encoding: chunked\r\n";
  } else if (start.length) {
    text += "Content-Length: " + std::to_string(*start.length) + "\r\n";
  }
  if (last) {
    text += "Connection: close\r\n";
  }
  return text + "\r\n";
}

std::string Chunk(std::string_view bytes) {
  std::array<char, 24> size;
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string text(size.data(), static_cast<size_t>(length));
  text += bytes;
  return text + "\r\n";
}

bool AllSentOn(const std::weak_ptr<StreamSocket>& socket) {
  const StreamSocketPtr open = socket.lock();
  return !open || open->Unsent() == 0;
}

int StatusOf(Http1Failure failure) {
  switch (failure) {
    case Http1Failure::kHeadTooLarge:
      return 431;
    case Http1Failure::kBodyTooLarge:
      return 413;
    default:
      return 400;
  }
}

}  // namespace

std::string_view ReasonPhrase(int status) {
  const char* reason = soup_status_get_phrase(static_cast<guint>(status));
  return reason == nullptr ? "Unknown" : reason;
}

// A request whose caller is connected to this host.
class ConnectedExchange final : public CallerExchange {
 public:
  ConnectedExchange(std::weak_ptr<CallerConnection> connection,
                    CallerMessage message)
      : CallerExchange(std::move(message)), connection(std::move(connection)) {}

  void Start(const AnswerStart& start) override;
  void Send(std::string_view bytes) override;
  void End(Completeness completeness) override;
  size_t Unsent() const override;

  // The connection ended, or has sent all written bytes.
  void OnConnectionEnd() { this->NotifyGone(); }
  void OnConnectionDrained() { this->NotifyDrained(); }

 private:
  std::weak_ptr<CallerConnection> connection;
  bool has_body = true;
  bool chunked = false;
  uint64_t missing = 0;  // bytes of the declared length still to be sent
};

// One caller's connection. Reads a request, waits for its answer, and then
// reads the next request.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  explicit CallerConnection(CallerServer* server)
      : server(server),
        parser(
            Http1Side::kRequests,
            {.on_head =
                 [this](Http1Head head) { this->OnHead(std::move(head)); },
             .on_body = [this](std::string_view bytes) { this->body += bytes; },
             .on_end = [] {}}) {}

  void Begin(ObjectPtr<GSocket> accepted) {
    this->socket = StreamSocket::Adopt(
        std::move(accepted), kCallerAckTimeout,
        {.on_bytes = [this](std::string_view bytes) { this->OnBytes(bytes); },
         .on_drained =
             [this] {
               if (this->exchange) {
                 this->exchange->OnConnectionDrained();
               } else if (std::exchange(this->answers_unread, false)) {
                 this->ContinueReading();
               }
             },
         .on_end = [this](StreamEnd) { this->OnEnd(); },
         .on_yield = [this](HoldingState state) { this->Yield(state); }},
        this->server->budget);
    this->AwaitRequest();
  }

  // Ends the connection without an answer.
  void Drop() {
    this->socket->Reset();
    this->OnEnd();
  }

 private:
  friend class ConnectedExchange;
  friend class CallerServer;

  void AwaitRequest() {
    this->exchange.reset();
    this->message = {};
    this->body = {};
    this->head_bytes = 0;
    this->parser.Begin(
        {.head = static_cast<uint32_t>(this->server->limits.head_bytes),
         .body = static_cast<uint64_t>(this->server->limits.body_bytes)});
    this->SetTimer(this->server->limits.idle_timeout, &CallerConnection::Leave);
  }

  void SetTimer(Duration delay, void (CallerConnection::*action)()) {
    this->timer = Timer::After(delay, [this, action] {
      const auto keep = this->shared_from_this();
      (this->*action)();
    });
  }

  // Closes the connection after all written bytes have been sent.
  void Leave() {
    this->socket->CloseAfterWrite();
    auto& closing = this->server->closing;
    std::erase_if(closing, &AllSentOn);
    if (this->socket->Unsent() > 0) {
      closing.push_back(this->socket);
    }
    this->OnEnd();
  }

  // Closes an idle connection at once. A request in transit is not read, and
  // its caller sees a connection reset.
  void CloseUnread() {
    this->socket->Close();
    this->OnEnd();
  }

  // Without a timeout an incomplete request would hold memory for ever.
  void RefuseTimedOut() { this->Refuse(408); }

  void Refuse(int status, HttpHeaders headers = {}) {
    this->socket->Write(
        HeadText({.status = status, .headers = std::move(headers), .length = 0},
                 false, true));
    this->Leave();
  }

  // Refuses a request that has not been passed to the handler.
  void RefuseForLackOfRoom() {
    const Duration wait =
        this->server->budget->RetryAfter(this->MessageBytes());
    this->Refuse(503, {{.name = "Retry-After", .value = RetryAfterText(wait)}});
  }

  void Yield(HoldingState state) {
    const auto keep = this->shared_from_this();
    if (this->exchange) {
      this->Drop();  // the request in work has an outcome that nobody knows
    } else if (state == HoldingState::kReceiving) {
      this->RefuseForLackOfRoom();
    } else {
      this->CloseUnread();
    }
  }

  int64_t MessageBytes() const {
    return std::ssize(this->body) + this->head_bytes;
  }

  // Counts what this connection holds. A request in work counts by itself.
  void Count() {
    const bool receiving = this->parser.Unread() > 0 ||
                           (!this->exchange && this->parser.Started());
    this->socket->SetHeld(
        receiving        ? HoldingState::kReceiving
        : this->exchange ? HoldingState::kInWork
                         : HoldingState::kIdle,
        this->parser.Unread() +
            static_cast<size_t>(this->exchange ? 0 : this->MessageBytes()));
  }

  void OnHead(Http1Head head) {
    this->message.head = std::move(head);
    this->head_bytes = HeadBytes(this->message.head);
    const auto expectation = FindHeader(this->message.head.headers, "Expect");
    if (expectation &&
        g_ascii_strcasecmp(expectation->c_str(), "100-continue") == 0) {
      this->socket->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void OnBytes(std::string_view bytes) {
    const auto keep = this->shared_from_this();
    const bool fresh = !this->exchange && !this->parser.Started();
    this->parser.Feed(bytes);
    if (this->exchange || this->MustWait()) {
      if (this->parser.Unread() > kMaxReadAhead) {
        this->socket->Pause();
      }
      this->Count();
      return;
    }
    if (fresh) {
      this->SetTimer(this->server->limits.head_timeout,
                     &CallerConnection::RefuseTimedOut);
    } else if (!this->server->turns.MayGoOn()) {
      this->WaitForTurn();
      return;
    }
    this->ReadOn();
  }

  // Lets other connections read first.
  void WaitForTurn() {
    this->socket->Pause();
    this->next_turn = this->server->turns.Wait([this] {
      const auto keep = this->shared_from_this();
      this->next_turn.reset();
      this->ContinueReading();
    });
    this->Count();
  }

  // Whether the next request isn't read yet, though none waits for its answer.
  bool MustWait() const { return this->next_turn || this->answers_unread; }

  // Reads requests until one waits for its answer or isn't complete, or other
  // connections have their turns.
  void ReadOn() {
    if (std::exchange(this->reading, true)) {
      return;
    }
    bool read = true;
    while (read && !this->over && !this->exchange && !this->MustWait()) {
      this->answers_unread = this->socket->Unsent() > kMaxUnreadAnswers;
      read = !this->answers_unread && this->ReadRequest();
      if (read && !this->over && !this->exchange && this->parser.Unread() > 0 &&
          !this->server->turns.MayGoOn()) {
        this->WaitForTurn();
      }
    }
    this->reading = false;
    if (!this->over) {
      this->Count();
    }
  }

  // Goes on after a wait.
  void ContinueReading() {
    const auto keep = this->shared_from_this();
    // StopReading() has set `last`.
    if (this->over || this->last || this->exchange || this->MustWait()) {
      return;
    }
    this->socket->Resume();
    if (this->parser.Unread() > 0) {
      this->ReadOn();
    }
  }

  // Returns whether a request was complete and has been passed to the handler.
  bool ReadRequest() {
    this->parser.Read();
    if (this->parser.Failure() != Http1Failure::kNone) {
      this->Refuse(StatusOf(this->parser.Failure()));
    } else if (this->parser.Done()) {
      return this->TakeIntoWork();
    } else if (this->parser.HeadRead()) {
      // Each pause within the body may be as long as the idle timeout.
      this->SetTimer(this->server->limits.idle_timeout,
                     &CallerConnection::RefuseTimedOut);
    }
    return false;
  }

  // Passes the complete request to the handler, if there is room for it.
  bool TakeIntoWork() {
    ResourceBudget* const budget = this->server->budget;
    const int64_t bytes = this->MessageBytes();
    if (budget != nullptr && !budget->MayTakeIntoWork(bytes)) {
      budget->CountRefusal(bytes);
      this->RefuseForLackOfRoom();
      return false;
    }
    this->timer.reset();
    this->message.body =
        HoldInWork(budget, std::exchange(this->body, {}), this->head_bytes);
    this->exchange = std::make_shared<ConnectedExchange>(
        this->weak_from_this(), std::move(this->message));
    this->Count();
    this->server->handler(this->exchange);
    return true;
  }

  // Called after the last byte of an answer was written.
  void OnAnswered(bool last) {
    if (last) {
      this->Leave();
      return;
    }
    this->AwaitRequest();
    this->Count();
    if (!this->reading) {
      this->ContinueReading();
    }
  }

  void OnEnd() {
    const auto keep = this->shared_from_this();
    this->over = true;
    this->timer.reset();
    this->next_turn.reset();
    if (const auto open = std::exchange(this->exchange, nullptr)) {
      open->OnConnectionEnd();
    }
    this->server->connections.erase(keep);
  }

  bool IsLast() const {
    return this->server->draining || !this->exchange->Message().head.keep_alive;
  }

  CallerServer* server;
  StreamSocketPtr socket;
  Http1Parser parser;
  CallerMessage message;  // without its body
  std::string body;
  int64_t head_bytes = 0;
  std::shared_ptr<ConnectedExchange> exchange;
  std::unique_ptr<Timer> timer;
  std::unique_ptr<Turn> next_turn;  // set while other connections have theirs
  bool last = false;
  bool reading = false;         // ReadOn runs
  bool answers_unread = false;  // more than kMaxUnreadAnswers
  bool over = false;
};

void ConnectedExchange::Start(const AnswerStart& start) {
  const auto to = this->connection.lock();
  if (this->over || !to) {
    return;
  }
  assert(!this->started && "an answer has one head");
  this->started = true;
  this->has_body = HasBody(this->Message().head.method, start.status);
  this->until_close = start.until_close && this->has_body;
  this->chunked = !start.length && !this->until_close && this->has_body;
  this->missing =
      this->has_body && !this->until_close ? start.length.value_or(0) : 0;
  to->last = to->IsLast() || this->until_close;
  if (this->until_close) {
    to->socket->SetCloseEndsBody();
  }
  to->socket->Write(HeadText(start, this->chunked, to->last));
}

void ConnectedExchange::Send(std::string_view bytes) {
  const auto to = this->connection.lock();
  if (this->over || !to || bytes.empty() || !this->has_body) {
    return;
  }
  if (this->chunked) {
    to->socket->Write(Chunk(bytes));
  } else if (this->until_close) {
    to->socket->Write(bytes);
  } else {
    assert(bytes.size() <= this->missing && "more than was declared");
    this->missing -= bytes.size();
    to->socket->Write(bytes);
  }
}

void ConnectedExchange::End(Completeness completeness) {
  const auto to = this->connection.lock();
  if (this->over || !to) {
    return;
  }
  this->over = true;
  const bool normal =
      this->missing == 0 && MayEndNormally(completeness, this->until_close);
  if (normal) {
    if (this->chunked) {
      to->socket->Write("0\r\n\r\n");
    }
    to->OnAnswered(to->last);
  } else if (this->until_close) {
    to->Drop();  // an orderly close would look like the end of the body
  } else {
    // The last chunk or part of the declared length is missing. The bytes
    // written before are still sent.
    to->Leave();
  }
}

size_t ConnectedExchange::Unsent() const {
  const auto to = this->connection.lock();
  return to ? to->socket->Unsent() : 0;
}

CallerServer::CallerServer(CallerHandler handler, ResourceBudget* budget)
    : handler(std::move(handler)), budget(budget) {}

CallerServer::~CallerServer() {
  for (const auto& connection : this->connections) {
    connection->timer.reset();
    connection->next_turn.reset();
    connection->socket->Close();
  }
}

Result<int> CallerServer::Listen(const SocketAddress& address) {
  auto opened = Listener::Open(
      address,
      [this](ObjectPtr<GSocket> accepted) {
        const auto connection = std::make_shared<CallerConnection>(this);
        this->connections.insert(connection);
        connection->Begin(std::move(accepted));
      },
      this->budget);
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  this->listener = std::move(*opened);
  return 0;
}

void CallerServer::StopReading() {
  this->listener.reset();
  this->draining = true;
  const auto open = this->connections;
  for (const auto& connection : open) {
    if (connection->exchange || connection->socket->Unsent() > 0) {
      connection->socket->Pause();
      connection->last = true;
    } else {
      connection->CloseUnread();
    }
  }
}

bool CallerServer::AllSent() const {
  return std::ranges::all_of(this->closing, &AllSentOn) &&
         std::ranges::all_of(this->connections, [](const auto& connection) {
           return connection->socket->Unsent() == 0;
         });
}

size_t CallerServer::Waiting() const {
  return static_cast<size_t>(std::ranges::count_if(
      this->connections,
      [](const auto& connection) { return connection->exchange != nullptr; }));
}

}  // namespace hickorystand
