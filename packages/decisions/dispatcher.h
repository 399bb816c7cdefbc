// The dispatcher schedules the requests of one host. For each request
// it decides whether to admit it, when to start it, on which endpoint, and what
// to do when an attempt fails.
//
// It performs no I/O and reads no clock: events are passed in with their time,
// and actions are returned as values. The daemon, the tests and the benchmarks
// drive the same class.
//
//   arrival -> [queue] -> kClaim (non-idempotent only) -> kSend -> progress
//           -> result -> kSend elsewhere | kFinish | kRefuse
//
// Index
//   Dispatch            one action
//   DispatcherOptions   construction parameters
//   ClaimResult         result of a kClaim action
//   Dispatcher          the interface; implementations are selected by name

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decisions/configuration.h"
#include "decisions/digest.h"
#include "decisions/request.h"
#include "kernel/error.h"

namespace hickorystand {

// The kinds of action. The caller of the dispatcher carries them out.
enum class DispatchKind {
  kClaim,   // record that this non-idempotent request is about to run
  kSend,    // open an attempt at an endpoint
  kCancel,  // cancel an attempt; no OnResult() is expected
  kFinish,  // the request has been answered; release its state
  kRefuse,  // answer the caller with `error`; release its state
};

// An endpoint that was considered for a request, with its score.
struct Candidate {
  EndpointId endpoint;
  double seconds = 0;  // expected time to the first token there

  auto operator<=>(const Candidate&) const = default;
};

// One action. The comment of a field names the kinds that set it; it is empty
// for the others.
struct Dispatch {
  DispatchKind kind = DispatchKind::kRefuse;
  RequestId request;
  AttemptId attempt = 0;    // kSend, kCancel
  EndpointId endpoint;      // kSend
  int64_t resume_from = 0;  // kSend: generated tokens already delivered
  bool hedge = false;  // kSend: a second attempt in parallel with the first
  std::vector<Candidate> runners_up;  // kSend: for the log, best first
  std::string reason;                 // for the log
  std::optional<Error> error;         // kRefuse

  bool operator==(const Dispatch&) const = default;
};

using DispatchList = std::vector<Dispatch>;

// Construction parameters of a dispatcher.
struct DispatcherOptions {
  HostId host;
  DataCentreId data_centre;
  uint64_t seed = 1;
  int64_t max_queued = 4096;  // limit of queued requests on this host
};

// The result of a kClaim action. A claim is a record in the store that keeps a
// non-idempotent request from running twice.
enum class ClaimResult {
  kGranted,      // recorded; only this host may run the request
  kTaken,        // claimed earlier: this request is a duplicate
  kUnavailable,  // the claim is not recorded
  kUnknown,      // the store's reply was lost; the claim may be recorded
};

// Schedules all requests of one host.
class Dispatcher {
 public:
  static constexpr const char* kPluginKind = "dispatcher";
  using Factory =
      std::function<std::unique_ptr<Dispatcher>(const DispatcherOptions&)>;

  virtual ~Dispatcher() = default;

  // Applies a new revision of the configuration. Requests already queued for an
  // account whose keys were removed are not dropped here: the gateway checks
  // the key again when they start.
  virtual void OnConfiguration(Instant now, ConfigurationPtr configuration) = 0;

  // A request arrived and its API key was accepted.
  virtual DispatchList OnArrival(Instant now, const Request& request) = 0;

  // The result of a kClaim action.
  virtual DispatchList OnClaim(Instant now,
                               const RequestId& request,
                               ClaimResult result) = 0;

  // An attempt delivered `generated_tokens` more tokens. The first call for an
  // attempt reports its first token.
  virtual DispatchList OnProgress(Instant now,
                                  AttemptId attempt,
                                  int64_t generated_tokens) = 0;

  // An attempt ended.
  virtual DispatchList OnResult(Instant now, const AttemptResult& result) = 0;

  // The caller closed its connection before the answer was complete.
  virtual DispatchList OnCallerDisconnected(Instant now,
                                            const RequestId& request) = 0;

  // Reports from endpoints, and digests from other hosts.
  virtual DispatchList OnLoad(Instant now, const LoadReport& report) = 0;
  virtual void OnCache(Instant now, const CacheEvent& event) = 0;
  virtual DispatchList OnDigest(Instant now, const Digest& digest) = 0;

  // A host left the group or is unreachable. Its last digest is discarded.
  virtual void OnHostLost(Instant now, const HostId& host) = 0;

  // Starts queued requests, hedges slow lookups, and refuses requests whose
  // deadline has passed. To be called about every 10 ms.
  virtual DispatchList OnTick(Instant now) = 0;

  // Refuses new requests from now on. Requests already admitted are completed.
  virtual void StartDrain() = 0;

  // Adds this dispatcher's part to the next digest.
  virtual void FillDigest(Digest& digest) const = 0;

  // Number of requests that are queued and running on this host.
  virtual int64_t Queued() const = 0;
  virtual int64_t Running() const = 0;
};

}  // namespace hickorystand
