// One caller's request and the way to answer it, wherever the caller's
// connection is: at this host, or at one that forwards to it.
//
// Index
//   CallerMessage    a whole request
//   AnswerStart      the head of an answer
//   CallerExchange   a request that waits for its answer
//   AnswerOwnError   answers with an error of this host's own

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/http1_parser.h"
#include "kernel/error.h"
#include "kernel/metrics.h"
#include "kernel/time.h"

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

// Whether an answer of this status has a body.
constexpr bool HasBody(int status) {
  return status != 204 && status != 304 && status / 100 != 1;
}

// A handler keeps the exchange as long as it has something to say.
class CallerExchange {
 public:
  explicit CallerExchange(CallerMessage message)
      : message(std::move(message)) {}
  virtual ~CallerExchange() = default;
  CallerExchange(const CallerExchange&) = delete;
  CallerExchange& operator=(const CallerExchange&) = delete;

  const CallerMessage& Message() const { return this->message; }

  // Called once if the caller hangs up before the answer is whole.
  void OnGone(std::function<void()> handler) {
    this->gone = std::move(handler);
  }

  // Called whenever all that was written has left.
  void OnDrained(std::function<void()> handler) {
    this->drained = std::move(handler);
  }

  // Says that this host neither has run the request nor will, but that another
  // one may. The answer that follows reaches the caller only if none does.
  virtual void Decline() {}

  // Answers in one piece.
  void Answer(const AnswerStart& start, std::string_view body);

  // Answers piece by piece.
  virtual void Start(const AnswerStart& start) = 0;
  virtual void Send(std::string_view bytes) = 0;
  virtual void Finish() = 0;

  // Ends the answer so that the caller sees it isn't whole.
  virtual void Break() = 0;

  // Bytes written that the caller hasn't taken yet.
  virtual size_t Unsent() const = 0;

  bool Started() const { return this->started; }

 protected:
  // Tells the handler that the caller hung up, unless the answer is over.
  void TellGone();
  void TellDrained();

  CallerMessage message;
  bool started = false;
  bool over = false;

 private:
  std::function<void()> gone;
  std::function<void()> drained;
};

using CallerExchangePtr = std::shared_ptr<CallerExchange>;
using CallerHandler = std::function<void(CallerExchangePtr)>;

// Answers with an error of this host's own; returns the status.
int AnswerOwnError(CallerExchange& exchange,
                   Metrics& metrics,
                   ErrorKind kind,
                   std::string_view why,
                   std::optional<Duration> retry_after);

}  // namespace hickorystand
