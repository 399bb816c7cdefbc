// A caller's request, its attempts at endpoints, and what endpoints report, as
// the decisions see them.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "decisions/configuration.h"
#include "kernel/error.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// How a request may be treated while it waits and when it fails.
enum class RequestClass {
  kInteractive,  // a person waits; a late answer is worth nothing
  kBatch,        // may wait, must arrive
  kLookup,       // idempotent and short; may be hedged
  kOnce,         // non-idempotent: runs at most once
};

// One request, as it arrived. Never changed afterwards.
struct Request {
  RequestId id;
  AccountId account;
  ServiceId service;
  RequestClass request_class = RequestClass::kInteractive;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;  // expected or asked for, as an upper estimate
  // Hash of each prefix of the prompt, by pieces of fixed size, shortest first.
  std::vector<uint64_t> prefix_hashes;
  uint64_t fingerprint = 0;  // of account, service and body
  Instant arrived{};
  Instant deadline{};  // of the first byte, or of the whole for kOnce

  bool operator==(const Request&) const = default;
};

// One try of a request at one endpoint; unique within a host's incarnation.
using AttemptId = uint64_t;

// How an attempt ended.
enum class AttemptOutcome {
  kComplete,     // the whole answer arrived, and it was the right one
  kNotSent,      // failed before any byte left this host
  kRefused,      // the endpoint said that it did not run the request
  kRejected,     // the endpoint answered that the request itself is bad
  kBroken,       // the answer stopped before its end; the endpoint lives
  kCrashed,      // the endpoint went down while it ran the request
  kSilent,       // no progress in time on this connection
  kWrongAnswer,  // bore another request's id, or broke the protocol
  kCancelled,    // this host cancelled it
};

// The end of an attempt with what it took.
struct AttemptResult {
  AttemptId attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kComplete;
  int64_t prompt_tokens = 0;     // as the endpoint counted, 0 if unknown
  int64_t cached_tokens = 0;     // of those, found in the prefix cache
  int64_t generated_tokens = 0;  // delivered by this attempt

  bool operator==(const AttemptResult&) const = default;
};

// An endpoint's own account of its load. Lags behind by its report period.
struct LoadReport {
  EndpointId endpoint;
  uint64_t incarnation = 0;  // changes when the endpoint restarts
  int64_t sequence = 0;
  EndpointRole role = EndpointRole::kMixed;
  bool leaving = false;
  int64_t queued_prompt_tokens = 0;
  int64_t running = 0;       // requests in the batch
  int64_t capacity = 0;      // requests that fit into a batch
  double prefill_rate = 0;   // prompt tokens a second
  double decode_rate = 0;    // generated tokens a second, whole batch
  int64_t cache_pieces = 0;  // pieces of cache memory in all
  int64_t cache_pieces_used = 0;

  bool operator==(const LoadReport&) const = default;
};

// A change of an endpoint's prefix cache. Sequence numbers are consecutive per
// incarnation, so a gap shows that events were lost.
struct CacheEvent {
  EndpointId endpoint;
  uint64_t incarnation = 0;
  int64_t sequence = 0;
  bool snapshot = false;  // `added` is all that the cache holds
  std::vector<uint64_t> added;
  std::vector<uint64_t> removed;

  bool operator==(const CacheEvent&) const = default;
};

}  // namespace hickorystand
