// Relays turn what endpoints send into one answer to a caller, whatever
// happens to the attempts in between.
//
// There is one relay for each way to answer:
//   MakeStreamRelay     server-sent events, passed on as they come
//   MakeAssemblyRelay   a whole completion, put together from a stream
//   MakeWholeRelay      a whole completion, as the engine sent it
//   MakeBytesRelay      a plain service's answer
//
// A caller either gets its answer to the end, or an error that it can't
// mistake for one: a status before anything was sent, an error event within a
// stream, or a connection that is cut within a counted or chunked body.

#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "endpoints/endpoint_client.h"
#include "gateway/completion_body.h"
#include "http/http_server.h"

namespace hickorystand {

// Answers one caller.
class Relay {
 public:
  Relay(HttpCallPtr call, RequestId request);
  virtual ~Relay() = default;

  // What the endpoint is asked for.
  virtual AnswerShape Shape() const = 0;

  // An attempt's news, see AttemptEvents.
  virtual void OnHead(AttemptId, const HttpAnswerHead&) {}
  virtual void OnBytes(AttemptId, std::string_view) {}
  virtual void OnChunk(std::string_view, const CompletionChunk&) {}

  // An attempt has ended without success; what it left is of no use, but for
  // tokens that a resumption goes on from.
  virtual void Drop(AttemptId) {}

  // Answers with what an attempt ended with.
  virtual void Finish(const AttemptEnd& end) = 0;

  // Answers with an error.
  virtual void Fail(const Error& error);

  // The attempt that the answer is bound to, since part of it was passed on
  // and no other can go on from there; 0: none.
  virtual AttemptId BoundTo() const { return 0; }

  // Generated tokens that are kept, from which an attempt may resume.
  int64_t Delivered() const { return this->delivered; }

 protected:
  // Passes on an endpoint's answer as it stands.
  void AnswerWith(const AttemptEnd& end);

  HttpCallPtr call;
  RequestId request;
  int64_t delivered = 0;
};

// How callers asked to be answered.
struct RelayOptions {
  CompletionKind kind = CompletionKind::kChat;
  bool include_usage = false;
  // A plain service's answer is held back up to this size, so that it can be
  // tried again elsewhere until then.
  int64_t hold_bytes = int64_t{1} << 20;
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
