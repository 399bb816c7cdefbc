// Relays convert what endpoints send into one answer to a caller, across failed
// attempts, resumptions and hedges.
//
// There is one relay for each form of answer:
//   MakeStreamRelay     server-sent events, forwarded as they arrive
//   MakeAssemblyRelay   a whole completion, assembled from a stream
//   MakeWholeRelay      a whole completion, as the engine sent it
//   MakeBytesRelay      a plain service's answer
//
// A caller receives either a complete answer or an error that can't be mistaken
// for one: an error status if nothing was sent yet, an error event within a
// stream, or a connection closed before the end of a body whose length is given
// by Content-Length or chunked encoding. A plain service's answer with neither
// is forwarded in that form; its connection is reset if it is truncated.

#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "endpoints/endpoint_client.h"
#include "gateway/completion_body.h"
#include "http/http_server.h"

namespace hickorystand {

// Answers one caller. The RequestDriver reports the events of the request's
// attempts and ends the answer with Finish() or Fail(), unless the caller has
// disconnected.
class Relay {
 public:
  Relay(HttpCallPtr call, RequestId request);
  virtual ~Relay() = default;

  // The form of answer to request from the endpoint.
  virtual AnswerShape Shape() const = 0;

  // Events of an attempt, see AttemptEvents.
  virtual void OnHead(AttemptId, const HttpResponseHead&) {}
  virtual void OnBytes(AttemptId, std::string_view) {}
  virtual void OnChunk(std::string_view, const CompletionChunk&) {}

  // Called when an attempt has failed: discards what it delivered, except for
  // tokens from which another attempt can resume.
  virtual void Drop(AttemptId) {}

  // Answers with the result of the attempt that ended the request.
  virtual void Finish(const AttemptEnd& end) = 0;

  // Answers with an error. Aborts the connection if the answer has begun and
  // its format has no place for an error.
  virtual void Fail(const Error& error);

  // The attempt whose answer was partly forwarded and which no other attempt
  // can continue; 0 if there is none.
  virtual AttemptId BoundTo() const { return 0; }

  // The number of generated tokens received so far; a later attempt resumes
  // after them.
  int64_t Delivered() const { return this->delivered; }

 protected:
  // Forwards an endpoint's answer unchanged.
  void ForwardAnswer(const AttemptEnd& end);

  HttpCallPtr call;
  RequestId request;
  int64_t delivered = 0;
};

// What the form of an answer depends on, other than the kind of relay.
struct RelayOptions {
  CompletionKind kind = CompletionKind::kChat;
  bool include_usage = false;
  // An answer of a plain service is buffered up to this size. Until then the
  // request can still be retried at another endpoint.
  int64_t max_buffered_bytes = int64_t{1} << 20;
};

std::unique_ptr<Relay> MakeStreamRelay(HttpCallPtr call,
                                       RequestId request,
                                       const RelayOptions& options);
std::unique_ptr<Relay> MakeAssemblyRelay(HttpCallPtr call,
                                         RequestId request,
                                         const RelayOptions& options);
std::unique_ptr<Relay> MakeWholeRelay(HttpCallPtr call, RequestId request);
std::unique_ptr<Relay> MakeBytesRelay(HttpCallPtr call,
                                      RequestId request,
                                      const RelayOptions& options);

}  // namespace hickorystand
