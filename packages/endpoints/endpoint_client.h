// Talks to endpoints: engines of language services and plain services. What
// each call may assume of the other side is written in docs/ENDPOINTS.md.
//
// An attempt accepts an answer only if it is whole and its own: the endpoint
// echoes the request's id and the attempt's number, each chunk of a completion
// bears the request's id, and the end marker is there. Anything else ends the
// attempt as kWrongAnswer or kBroken, and none of it counts.
//
// Index
//   EndpointClientOptions   timeouts and limits
//   AttemptCall             what is sent
//   AttemptEvents           what is heard
//   Attempt                 one try under way
//   EndpointClient          starts attempts, and asks for load and caches

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
#include "http/http_client.h"
#include "kernel/metrics.h"

namespace hickorystand {

// How endpoints are talked to.
struct EndpointClientOptions {
  HttpClientOptions http;
  // The largest completion that is taken from an engine.
  int64_t max_whole_bytes = int64_t{64} << 20;
  // Calls that control an endpoint are short.
  HttpTimeouts control = {.connect = std::chrono::seconds(1),
                          .first_byte = std::chrono::seconds(2),
                          .between_bytes = std::chrono::seconds(2)};
  // For the mutation test only: without it crossed answers pass.
  bool check_identity = true;
};

// What an answer must look like.
enum class AnswerShape {
  kChunks,  // server-sent events of a completion, up to [DONE]
  kWhole,   // a completion as one JSON document
  kBytes,   // a plain service's answer of any status, passed on as it comes
};

// One request as it goes to one endpoint.
struct AttemptCall {
  AttemptId attempt = 0;
  RequestId request;
  SocketAddress address;
  std::string method = "POST";
  std::string target;
  HttpHeaders headers;  // of the caller, already stripped of credentials
  std::string content_type;
  std::string body;
  AnswerShape shape = AnswerShape::kChunks;
  bool once = false;
  bool batch = false;       // may wait behind interactive work
  int64_t resume_from = 0;  // generated tokens that the caller already has
  HttpTimeouts timeouts;
  std::function<bool()> may_send;  // see HttpOutgoing
};

// How an attempt ended, and what a caller may have to be told.
struct AttemptEnd {
  AttemptResult result;
  int status = 0;       // of the endpoint's answer, if there was one
  HttpHeaders headers;  // ditto
  std::string body;     // kWhole, and whatever an endpoint refused with
  std::string detail;   // for the log
};

// Callbacks of an attempt's starter. on_end comes last, once.
struct AttemptEvents {
  // kBytes: the head of an answer that will be passed on.
  std::function<void(const HttpAnswerHead&)> on_head;
  // kBytes: the next piece of the body.
  std::function<void(std::string_view)> on_bytes;
  // kChunks: one event, as it came and as it was understood.
  std::function<void(std::string_view data, const CompletionChunk&)> on_chunk;
  std::function<void(const AttemptEnd&)> on_end;
};

// One try of a request at one endpoint.
class Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  Attempt(AttemptCall call,
          AttemptEvents events,
          const EndpointClientOptions& options,
          Metrics& metrics);
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  // Abandons it: its connection is closed and on_end is not called.
  void Cancel();

  // Lets the endpoint wait while the caller fetches too slowly, and goes on.
  void Pause();
  void Resume();

  const AttemptCall& Call() const { return this->call; }

  // Whether bytes of the request may have left this process.
  bool MayHaveSent() const {
    return this->exchange && this->exchange->MayHaveSent();
  }

 private:
  friend class EndpointClient;

  // What to do with an answer, once its head is known.
  enum class Mode { kChunks, kPassOn, kCollect };

  void Start(HttpClient& http);
  HttpOutgoing Outgoing();
  void TakeHead(const HttpAnswerHead& head);
  bool IsMine(const HttpAnswerHead& head) const;
  Mode ModeFor(const HttpAnswerHead& head) const;
  void TakeBytes(std::string_view bytes);
  void TakeEvent(std::string_view data);
  void TakeUsage(const CompletionUsage& usage);
  void TransportEnded(HttpEnd end, const std::string& detail);
  AttemptOutcome JudgeWhole();
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

// Talks to all endpoints, on one task.
class EndpointClient {
 public:
  EndpointClient(EndpointClientOptions options, Metrics& metrics);
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  // Starts an attempt; events come later, never from within this call.
  AttemptPtr Start(AttemptCall call, AttemptEvents events);

  // Tells an engine that an attempt's answer isn't wanted any more. Closing
  // the connection says so too, but some engines notice that only when they
  // write. Nothing depends on whether this arrives.
  void CancelAt(const SocketAddress& address,
                const RequestId& request,
                AttemptId attempt);

  // Asks an engine for its load.
  void FetchLoad(const EndpointId& endpoint,
                 const SocketAddress& address,
                 std::function<void(const Result<LoadReport>&)> done);

  // Asks an engine for the changes of its prefix cache after a sequence
  // number; 0 asks for a snapshot.
  void FetchCacheEvents(
      const EndpointId& endpoint,
      const SocketAddress& address,
      int64_t after,
      std::function<void(const Result<std::vector<CacheEvent>>&)> done);

  // Asks whether an endpoint is up.
  void CheckHealth(const SocketAddress& address,
                   std::function<void(bool up)> done);

 private:
  void Fetch(const SocketAddress& address,
             std::string target,
             std::function<void(const Result<std::string>&)> done);

  EndpointClientOptions options;
  Metrics& metrics;
  HttpClient http;
};

}  // namespace hickorystand
