// One caller's request and the interface to answer it, whether the caller is
// connected to this host or to an ingress host that forwards to it.
//
// Index
//   CallerMessage    a complete request
//   HeadBytes        the bytes that a head takes
//   AnswerStart      the head of an answer, and how its body is delimited
//   HasBody          whether an answer has a body
//   CallerExchange   a request that waits for its answer
//   RetryAfterText   the value of a Retry-After header
//   AnswerOwnError   answers with an error that this host generates
//
// Example
//   exchange->Start({.status = 200});   // or Answer for a complete one
//   exchange->Send(bytes);
//   exchange->Finish();                 // or Break to abort the answer

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "decisions/stream_origin.h"
#include "http/answer_end.h"
#include "http/http1_parser.h"
#include "kernel/error.h"
#include "kernel/metrics.h"
#include "kernel/resource_budget.h"
#include "kernel/time.h"

namespace hickorystand {

// A complete request.
struct CallerMessage {
  Http1Head head;
  SharedBytes body = std::make_shared<const std::string>();
};

// The bytes that a head takes.
int64_t HeadBytes(const Http1Head& head);

// The head of an answer.
struct AnswerStart {
  int status = 200;
  HttpHeaders headers;             // without Content-Length and Connection
  std::optional<uint64_t> length;  // nullopt: chunked transfer encoding
  // Neither a length nor chunks: the body ends when the connection is closed.
  bool until_close = false;
  // Of a stream; not sent to the caller.
  std::optional<StreamOrigin> origin = {};
};

// Whether the answer to a request of this method has a body. The answer to HEAD
// ends with its head, whatever length that states.
constexpr bool HasBody(std::string_view method, int status) {
  return method != "HEAD" && status != 204 && status != 304 &&
         status / 100 != 1;
}

// The handler that gets the exchange keeps the pointer until the answer is
// finished. Calls after the end of the answer have no effect.
class CallerExchange {
 public:
  explicit CallerExchange(CallerMessage message)
      : message(std::move(message)) {}
  virtual ~CallerExchange() = default;
  CallerExchange(const CallerExchange&) = delete;
  CallerExchange& operator=(const CallerExchange&) = delete;

  const CallerMessage& Message() const { return this->message; }

  // `handler` is called once if the caller disconnects before the answer is
  // complete.
  void OnGone(std::function<void()> handler) {
    this->gone = std::move(handler);
  }

  // `handler` is called whenever all written bytes have been sent.
  void OnDrained(std::function<void()> handler) {
    this->drained = std::move(handler);
  }

  // Declares that this host has not run the request and will not, but that
  // another scheduler may. The answer that follows is sent to the caller only
  // if no other scheduler takes the request.
  virtual void Decline() {}

  // Answers in one piece.
  void Answer(const AnswerStart& start, std::string_view body);

  // Answers in pieces.
  virtual void Start(const AnswerStart& start) = 0;
  virtual void Send(std::string_view bytes) = 0;

  // Ends the answer. One that isn't known to be complete is broken off, so that
  // the caller sees that it is incomplete, unless it ends by a close anyway
  // (MayEndNormally).
  virtual void End(Completeness completeness) = 0;
  void Finish() { this->End(Completeness::kComplete); }
  void Break() { this->End(Completeness::kTruncated); }

  // Written bytes that have not been sent to the caller yet.
  virtual size_t Unsent() const = 0;

  bool Started() const { return this->started; }

  // Whether an endpoint may have run the request, here or for a scheduler that
  // was lost. From then on AnswerOwnError never says "not run".
  void SetMayHaveRun() { this->may_have_run = true; }
  bool MayHaveRun() const { return this->may_have_run; }

  // Whether the started answer has neither length nor chunks.
  bool UntilClose() const { return this->until_close; }

 protected:
  // Calls the OnGone handler, unless the answer has ended.
  void NotifyGone();
  void NotifyDrained();

  CallerMessage message;
  bool started = false;
  bool until_close = false;
  bool over = false;

 private:
  bool may_have_run = false;
  std::function<void()> gone;
  std::function<void()> drained;
};

using CallerExchangePtr = std::shared_ptr<CallerExchange>;
using CallerHandler = std::function<void(CallerExchangePtr)>;

// The value of a Retry-After header.
std::string RetryAfterText(Duration length);

// Answers with an error that this host generates, and counts it; returns the
// HTTP status. An error that says "not run" is replaced by one that doesn't if
// the request may have run.
int AnswerOwnError(CallerExchange& exchange,
                   Metrics& metrics,
                   ErrorKind kind,
                   std::string_view why,
                   std::optional<Duration> retry_after);

}  // namespace hickorystand
