// The input types of the scheduling policies: a caller's request, the result of
// an attempt at an endpoint, and the load and cache reports of endpoints.
//
// Index
//   Request, RequestClass          what a caller sent
//   AttemptResult, AttemptOutcome  how one attempt at an endpoint ended
//   LoadReport, CacheEvent         what an endpoint reports about itself

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "decisions/configuration.h"
#include "kernel/error.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// Determines how a request is queued and retried.
enum class RequestClass {
  kInteractive,  // a user waits; an answer after the deadline is useless
  kBatch,        // may wait, must complete eventually
  kLookup,       // idempotent and short; may be hedged
  kAtMostOnce,   // non-idempotent: runs at most once
};

// One request as it arrived. Immutable.
struct Request {
  RequestId id;
  AccountId account;
  ServiceId service;
  RequestClass request_class = RequestClass::kInteractive;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;  // upper bound: expected or requested
  // Hash of each prefix of the prompt, in steps of one cache block, shortest
  // first.
  std::vector<uint64_t> prefix_hashes;
  uint64_t fingerprint = 0;  // hash of account, service and body
  Instant arrived{};
  Instant
      deadline{};  // for the first byte; for the whole answer of kAtMostOnce

  bool operator==(const Request&) const = default;
};

// Identifies one send of a request to one endpoint. Unique within an
// incarnation of the host.
using AttemptId = uint64_t;

// How an attempt ended.
enum class AttemptOutcome {
  kComplete,     // the whole answer arrived and belongs to this request
  kNotSent,      // failed before any byte was sent
  kRefused,      // the endpoint reported that it did not run the request
  kRejected,     // the endpoint reported that the request is invalid
  kBroken,       // the answer was truncated; the endpoint is still up
  kCrashed,      // the endpoint crashed while it ran the request
  kStalled,      // timeout: no progress on this connection
  kWrongAnswer,  // carried another request's id, or violated the protocol
  kCancelled,    // this host cancelled it
};

// The outcome of an attempt and the tokens it used.
struct AttemptResult {
  AttemptId attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kComplete;
  int64_t prompt_tokens = 0;     // as counted by the endpoint, 0 if unknown
  int64_t cached_tokens = 0;     // prompt tokens served from the prefix cache
  int64_t generated_tokens = 0;  // delivered by this attempt

  bool operator==(const AttemptResult&) const = default;
};

// The load that an endpoint reports periodically; out of date by up to one
// report period.
struct LoadReport {
  EndpointId endpoint;
  uint64_t incarnation = 0;  // changes when the endpoint restarts
  int64_t sequence = 0;
  SoftwareVersion software;  // empty: the endpoint states none
  EndpointRole role = EndpointRole::kMixed;
  bool leaving = false;
  int64_t queued_prompt_tokens = 0;
  int64_t running = 0;       // requests in the batch
  int64_t capacity = 0;      // maximum number of requests in the batch
  double prefill_rate = 0;   // prompt tokens per second
  double decode_rate = 0;    // generated tokens per second, whole batch
  int64_t cache_pieces = 0;  // size of the cache memory, in blocks
  int64_t cache_pieces_used = 0;

  bool operator==(const LoadReport&) const = default;
};

// A change to the contents of an endpoint's prefix cache. Sequence numbers are
// consecutive within an incarnation, so a gap means that events were lost.
struct CacheEvent {
  EndpointId endpoint;
  uint64_t incarnation = 0;
  int64_t sequence = 0;
  bool snapshot = false;  // `added` lists the whole contents
  std::vector<uint64_t> added;
  std::vector<uint64_t> removed;

  bool operator==(const CacheEvent&) const = default;
};

}  // namespace hickorystand
