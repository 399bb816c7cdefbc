// What the relay reads from and writes into messages of callers and endpoints,
// free of how it is spelled. A plug-in knows the spelling.
//
// Index
//   PromptPart, CallerRequest    what a caller asks for
//   EndpointCall                 what the relay adds on the way to an endpoint
//   EndpointAnswer               what an endpoint says beside its answer
//   PromptHandle                 an engine's answer to a reading call
//   CacheChange, CacheNews       what an engine keeps of prompts
//   MessageCodec                 the interface

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_types.h"
#include "kernel/error.h"
#include "kernel/ids.h"
#include "kernel/settings.h"
#include "kernel/time.h"

namespace hickorystand {

// A run of prompt tokens that other prompts may have too.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;

  auto operator<=>(const PromptPart&) const = default;
};

// What a caller's headers say.
struct CallerRequest {
  RequestId id;
  std::optional<Duration> patience;  // how long the caller will wait
  std::optional<std::string> key;
  std::string model;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;            // the most that may be generated
  std::vector<PromptPart> parts;        // of the prompt, in order
  std::optional<int64_t> resume_after;  // the last event the caller has

  auto operator<=>(const CallerRequest&) const = default;
};

// What the relay tells an endpoint beside the caller's own message.
struct EndpointCall {
  EndpointId endpoint;  // any other process must refuse
  std::optional<Duration> patience;
  AccountId account;                    // empty: none
  std::optional<int64_t> priority;      // 0 (first) to 9
  std::optional<int64_t> resume_after;  // the last event that was passed on
  bool read_prompt_only = false;        // no answer, only a handle
  std::string fetch_from;  // ADDRESS/HANDLE of a prompt that was read
  // An engine whose memory of the prompt's start is to be copied first.
  std::optional<SocketAddress> copy_from;

  bool operator==(const EndpointCall&) const = default;
};

// What an endpoint's headers say.
struct EndpointAnswer {
  std::optional<RequestId> id;  // of the request that it answers
  bool sealed = false;          // bears the proof that an endpoint wrote it
  bool not_run = false;         // the endpoint states that nothing ran
  bool encoded = false;         // the body isn't the endpoint's plain one

  bool operator==(const EndpointAnswer&) const = default;
};

// A prompt that an engine has read for another one.
struct PromptHandle {
  std::string handle;
  int64_t tokens = 0;

  auto operator<=>(const PromptHandle&) const = default;
};

// What an engine keeps of one part of a prompt now; no tokens: nothing.
struct CacheChange {
  std::string part;
  int64_t tokens = 0;

  auto operator<=>(const CacheChange&) const = default;
};

// The changes of an engine's cache since a number that it gave.
struct CacheNews {
  std::string epoch;  // changes when the engine starts again
  int64_t next = 0;   // to ask from the next time
  bool lost = false;  // older changes are missing
  std::vector<CacheChange> changes;

  bool operator==(const CacheNews&) const = default;
};

// Spells the messages of one kind of caller and endpoint.
class MessageCodec {
 public:
  static constexpr const char* kPluginKind = "message codec";
  using Factory = std::function<std::unique_ptr<MessageCodec>()>;

  virtual ~MessageCodec() = default;

  // Reads a caller's headers; kBadRequest if they are wrong.
  virtual Result<CallerRequest> ReadRequest(
      const HttpHeaders& headers) const = 0;

  // The headers of a caller's message that may go to an endpoint: without
  // those of one connection, the caller's key and what only the relay may say.
  virtual HttpHeaders PassOn(const HttpHeaders& headers) const = 0;

  // Adds what the relay says.
  virtual void WriteCall(const EndpointCall& call,
                         HttpHeaders& headers) const = 0;

  // Reads an endpoint's status and headers.
  virtual EndpointAnswer ReadAnswer(int status,
                                    const HttpHeaders& headers) const = 0;

  // Reads the answer to a call with `read_prompt_only`.
  virtual Result<PromptHandle> ReadPromptHandle(
      std::string_view body) const = 0;

  // A call that waits for changes of an engine's cache, up to the empty line,
  // and its answer.
  virtual std::string CacheNewsCall(const SocketAddress& engine,
                                    int64_t since,
                                    Duration wait) const = 0;
  virtual Result<CacheNews> ReadCacheNews(std::string_view body) const = 0;

  // A call for all that an engine keeps, up to the empty line, and its answer.
  virtual std::string CacheListCall(const SocketAddress& engine) const = 0;
  virtual Result<CacheNews> ReadCacheList(std::string_view body) const = 0;

  // The target of the call that frees a handle.
  virtual std::string DropHandleTarget(const std::string& handle) const = 0;
};

}  // namespace hickorystand
