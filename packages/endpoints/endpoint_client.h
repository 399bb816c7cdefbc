// HTTP client for endpoints: the engines of language services, and plain
// services. docs/ENDPOINTS.md specifies the protocol.
//
// An attempt accepts an answer only if it is complete and its own: the endpoint
// echoes the request's id and, if it sends one, the attempt's number; each
// chunk of a completion carries the request's id; and the end marker is
// present. Otherwise the attempt ends as kWrongAnswer or kBroken, and the
// answer is not used. A plain service's answer may end with its connection
// instead: it is passed on as unproven (http/answer_end.h).
//
// Index
//   EndpointClientOptions   timeouts and limits
//   AnswerShape             the form of an answer
//   AttemptCall             the request of an attempt
//   AttemptEnd              the result of an attempt
//   AttemptEvents           callbacks of an attempt
//   Attempt                 one attempt in progress
//   EndpointClient          starts attempts; fetches load and cache changes
//
// Example:
//   EndpointClient client(options, metrics);
//   const AttemptPtr attempt = client.Start(
//       std::move(call), {.on_end = [](const AttemptEnd& end) { ... }});

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/request.h"
#include "endpoints/completion_chunk.h"
#include "endpoints/sse.h"
#include "http/answer_end.h"
#include "http/http_client.h"
#include "kernel/metrics.h"

namespace hickorystand {

struct EndpointClientOptions {
  HttpClientOptions http;
  // The largest completion accepted from an engine, in bytes.
  int64_t max_answer_bytes = int64_t{64} << 20;
  // Timeouts of control calls (load, cache events, health, cancel), which are
  // short.
  HttpTimeouts control = {.connect = std::chrono::seconds(1),
                          .first_byte = std::chrono::seconds(2),
                          .between_bytes = std::chrono::seconds(2)};
  // Whether echoed ids are checked. False only in the mutation test: swapped
  // answers are then accepted.
  bool check_identity = true;
};

// The expected form of an answer.
enum class AnswerShape {
  kChunks,  // server-sent events of a completion, up to [DONE]
  kWhole,   // a completion as one JSON document
  kBytes,   // a plain service's answer of any status, forwarded as received
};

// One request to one endpoint.
struct AttemptCall {
  AttemptId attempt = 0;
  RequestId request;
  SocketAddress address;
  std::string method = "POST";
  std::string target;
  HttpHeaders headers;  // of the caller, without credentials
  std::string content_type;
  std::string body;
  AnswerShape shape = AnswerShape::kChunks;
  bool once = false;        // not idempotent: must not be sent twice
  bool batch = false;       // low priority: may wait behind interactive work
  int64_t resume_from = 0;  // generated tokens received so far
  HttpTimeouts timeouts;
  std::function<bool()> may_send;  // see HttpClientRequest
};

// The result of an attempt, with the answer to forward to the caller if there
// is one.
struct AttemptEnd {
  AttemptResult result;
  int status = 0;       // of the endpoint's answer, if there was one
  HttpHeaders headers;  // of that answer
  std::string body;     // kWhole, and any refusal or error answer
  std::string detail;   // for the log
  // kBytes: what is known of the answer that was passed on.
  Completeness completeness = Completeness::kComplete;
};

// Callbacks of an attempt. on_end is the last and is called once.
struct AttemptEvents {
  // kBytes: the status and headers of an answer to forward.
  std::function<void(const HttpResponseHead&)> on_head;
  // kBytes: the next piece of the body.
  std::function<void(std::string_view)> on_bytes;
  // kChunks: one event, as received and as parsed.
  std::function<void(std::string_view data, const CompletionChunk&)> on_chunk;
  std::function<void(const AttemptEnd&)> on_end;
};

// One attempt to run a request at one endpoint. Started by EndpointClient;
// every failure is reported through AttemptEvents::on_end.
class Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  Attempt(AttemptCall call,
          AttemptEvents events,
          const EndpointClientOptions& options,
          Metrics& metrics);
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  // Cancels the attempt: closes its connection and makes no more callbacks.
  void Cancel();

  // Stops and resumes reading the endpoint's answer. Used for back pressure
  // when the caller reads too slowly.
  void Pause();
  void Resume();

  const AttemptCall& Call() const { return this->call; }

  // Whether bytes of the request may have left this process.
  bool MayHaveSent() const {
    return this->exchange && this->exchange->MayHaveSent();
  }

 private:
  friend class EndpointClient;

  // How an answer is processed; determined by its status and the call's shape.
  enum class Mode { kChunks, kPassOn, kCollect };

  void Start(HttpClient& http);
  HttpClientRequest Outgoing();
  void TakeHead(const HttpResponseHead& head);
  bool HasMatchingIds(const HttpResponseHead& head) const;
  Mode ModeFor(const HttpResponseHead& head) const;
  void TakeBytes(std::string_view bytes);
  void TakeEvent(std::string_view data);
  void TakeUsage(const CompletionUsage& usage);
  void OnTransportEnd(HttpEnd end, const std::string& detail);
  AttemptOutcome ClassifyCompleteAnswer();
  void End(AttemptOutcome outcome, const std::string& detail);

  AttemptCall call;
  AttemptEvents events;
  const EndpointClientOptions options;
  Metrics& metrics;
  HttpExchangePtr exchange;
  SseParser parser;
  Mode mode = Mode::kCollect;
  AttemptEnd end;
  int64_t received = 0;  // bytes of the answer's body
  bool over = false;
};

using AttemptPtr = std::shared_ptr<Attempt>;

// Starts attempts and sends control calls to any endpoint. Not thread-safe: use
// it on one task. Fetches report failures through their callbacks.
class EndpointClient {
 public:
  EndpointClient(EndpointClientOptions options, Metrics& metrics);
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  // Starts an attempt. Its events are never called from within this call.
  AttemptPtr Start(AttemptCall call, AttemptEvents events);

  // Cancels an attempt at an engine. Closing the connection cancels it as well,
  // but some engines detect that only when they write. Best effort: nothing
  // depends on whether the call arrives.
  void CancelAt(const SocketAddress& address,
                const RequestId& request,
                AttemptId attempt);

  // Fetches the load of an engine.
  void FetchLoad(const EndpointId& endpoint,
                 const SocketAddress& address,
                 std::function<void(const Result<LoadReport>&)> done);

  // Fetches the changes of an engine's prefix cache after a sequence number; 0
  // requests a snapshot.
  void FetchCacheEvents(
      const EndpointId& endpoint,
      const SocketAddress& address,
      int64_t after,
      std::function<void(const Result<std::vector<CacheEvent>>&)> done);

  // Checks whether an endpoint is up: its health check answers 200 in time.
  void CheckHealth(const SocketAddress& address,
                   std::function<void(bool up)> done);

 private:
  // Limits of the answers to control calls.
  HttpAnswerLimits ControlLimits() const;
  void Fetch(const SocketAddress& address,
             std::string target,
             std::function<void(const Result<std::string>&)> done);

  EndpointClientOptions options;
  Metrics& metrics;
  HttpClient http;
};

}  // namespace hickorystand
