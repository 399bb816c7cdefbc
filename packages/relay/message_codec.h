// Interface between the relay and the wire format of callers and endpoints. The
// structs hold the information that the relay reads and writes; a MessageCodec
// plug-in translates it to and from headers and bodies.
//
// Index
//   PromptPart, CallerRequest    metadata of a caller's request
//   EndpointCall                 metadata that the relay adds for an endpoint
//   EndpointAnswer               metadata of an endpoint's answer
//   PromptHandle                 an engine's answer to a prefill call
//   CacheChange, CacheChanges    changes of an engine's prefix cache
//   MessageCodec                 the interface

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/endpoint_load.h"
#include "http/http_types.h"
#include "kernel/error.h"
#include "kernel/ids.h"
#include "kernel/settings.h"
#include "kernel/time.h"

namespace hickorystand {

// A sequence of prompt tokens that other prompts may share.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;

  auto operator<=>(const PromptPart&) const = default;
};

// Metadata from the headers of a caller's request.
struct CallerRequest {
  RequestId id;
  std::optional<Duration> timeout;  // the caller's timeout
  std::optional<std::string> key;
  std::string model;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;            // the most that may be generated
  std::vector<PromptPart> parts;        // of the prompt, in order
  std::optional<int64_t> resume_after;  // last event the caller received
  // The caller continues a stream: its attempt that brought the first event.
  std::optional<RequestId> first_attempt;

  // Whether the caller has received events of the stream in an earlier attempt.
  bool IsContinuation() const {
    return this->resume_after || this->first_attempt;
  }

  // The attempt that brings, or brought, the first event of the stream.
  const RequestId& FirstAttempt() const {
    return this->first_attempt ? *this->first_attempt : this->id;
  }

  auto operator<=>(const CallerRequest&) const = default;
};

// Metadata that the relay adds to the caller's message for an endpoint.
struct EndpointCall {
  EndpointId endpoint;                  // any other process refuses the call
  std::optional<Duration> time_left;    // time left for the answer
  AccountId account;                    // empty: none
  std::optional<int64_t> priority;      // 0 (highest) to 9
  std::optional<int64_t> resume_after;  // last event forwarded to the caller
  bool read_prompt_only = false;        // prefill only; answered by a handle
  std::string fetch_from;               // ADDRESS/HANDLE of a prefilled prompt
  // An engine from which the cached start of the prompt is copied first.
  std::optional<SocketAddress> copy_from;

  bool operator==(const EndpointCall&) const = default;
};

// Metadata from the headers of an endpoint's answer.
struct EndpointAnswer {
  std::optional<RequestId> id;  // of the answered request
  bool sealed = false;          // carries the proof that an endpoint wrote it
  bool not_run = false;         // the endpoint states that nothing ran
  bool encoded = false;         // the body has a content encoding
  // Requests per second that the endpoint takes from all hosts together;
  // nullopt: as many as are sent.
  std::optional<double> stated_rate;
  // The load that the endpoint states; nullopt: none, or it can't be read.
  std::optional<StatedLoad> load;
  bool load_unreadable = false;

  bool operator==(const EndpointAnswer&) const = default;
};

// A prompt that an engine has prefilled for another engine.
struct PromptHandle {
  std::string handle;
  int64_t tokens = 0;

  auto operator<=>(const PromptHandle&) const = default;
};

// The number of tokens of a prompt part that an engine now caches; 0 if it
// caches none.
struct CacheChange {
  std::string part;
  int64_t tokens = 0;

  auto operator<=>(const CacheChange&) const = default;
};

// The changes of an engine's cache since a sequence number that it returned.
struct CacheChanges {
  std::string epoch;  // changes when the engine restarts
  int64_t next = 0;   // sequence number for the next call
  bool lost = false;  // older changes are missing
  std::vector<CacheChange> changes;

  bool operator==(const CacheChanges&) const = default;
};

// Reads and writes the messages of one wire format. Functions that return a
// Result fail on malformed input.
class MessageCodec {
 public:
  static constexpr const char* kPluginKind = "message codec";
  using Factory = std::function<std::unique_ptr<MessageCodec>()>;

  virtual ~MessageCodec() = default;

  // Reads a caller's headers; kBadRequest if they are invalid.
  virtual Result<CallerRequest> ReadRequest(
      const HttpHeaders& headers) const = 0;

  // The headers of a caller's message that may be sent to an endpoint: without
  // hop-by-hop headers, the caller's key and headers that only the relay sets.
  virtual HttpHeaders PassOn(const HttpHeaders& headers) const = 0;

  // Adds the headers of `call`.
  virtual void WriteCall(const EndpointCall& call,
                         HttpHeaders& headers) const = 0;

  // Reads an endpoint's status and headers.
  virtual EndpointAnswer ReadAnswer(int status,
                                    const HttpHeaders& headers) const = 0;

  // Reads the answer to a call with `read_prompt_only`.
  virtual Result<PromptHandle> ReadPromptHandle(
      std::string_view body) const = 0;

  // Head of a long-poll request for the changes of an engine's cache, up to the
  // empty line, and the reader of its answer.
  virtual std::string CacheChangesCall(const SocketAddress& engine,
                                       int64_t since,
                                       Duration wait) const = 0;
  virtual Result<CacheChanges> ReadCacheChanges(
      std::string_view body) const = 0;

  // Head of a request that asks an endpoint's process when it started, as its
  // entry in the list says, and the reader of its answer.
  virtual std::string RunCall(const SocketAddress& endpoint) const = 0;
  virtual Result<int64_t> ReadRunStart(std::string_view body) const = 0;

  // Head of a request for an engine's whole cache, up to the empty line, and
  // the reader of its answer.
  virtual std::string CacheListCall(const SocketAddress& engine) const = 0;
  virtual Result<CacheChanges> ReadCacheList(std::string_view body) const = 0;

  // The target of the DELETE request that frees a prompt handle.
  virtual std::string DropHandleTarget(const std::string& handle) const = 0;
};

}  // namespace hickorystand
