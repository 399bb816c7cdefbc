// The dispatcher decides what becomes of each request on one entry host:
// whether it is admitted, when, to which endpoint it goes, and what follows
// when an attempt fails.
//
// It is pure: events come in with their time, actions go out as values. The
// daemon, the tests and the benches drive the same class.
//
//   arrival -> [queue] -> kClaim (non-idempotent only) -> kSend -> progress
//           -> result -> kSend elsewhere | kFinish | kRefuse
//
// Index
//   Dispatch            one action
//   DispatcherOptions   how the policies are set
//   Dispatcher          the interface; policies are chosen by name

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

// What the dispatcher wants done.
enum class DispatchKind {
  kClaim,   // record that this non-idempotent request is about to run
  kSend,    // open an attempt at an endpoint
  kCancel,  // abandon an attempt; its result is not wanted
  kFinish,  // the request is answered in full; forget it
  kRefuse,  // answer the caller with `error` now; forget the request
};

// An endpoint that was weighed for a request, with its score.
struct Candidate {
  EndpointId endpoint;
  double seconds = 0;  // expected time to the first token there

  auto operator<=>(const Candidate&) const = default;
};

// One action. Fields that its kind doesn't name are left empty.
struct Dispatch {
  DispatchKind kind = DispatchKind::kRefuse;
  RequestId request;
  AttemptId attempt = 0;    // kSend, kCancel
  EndpointId endpoint;      // kSend
  int64_t resume_from = 0;  // kSend: generated tokens already delivered
  bool hedge = false;       // kSend: a second attempt beside the first
  std::vector<Candidate> runners_up;  // kSend: for the log, best first
  std::string reason;                 // for the log
  std::optional<Error> error;         // kRefuse

  bool operator==(const Dispatch&) const = default;
};

using DispatchList = std::vector<Dispatch>;

// How a dispatcher is made.
struct DispatcherOptions {
  HostId host;
  DataCentreId data_centre;
  uint64_t seed = 1;
  int64_t max_queued = 4096;  // requests waiting on this host
};

// The answer to a kClaim action.
enum class ClaimResult {
  kGranted,      // this host alone may run it
  kTaken,        // it was claimed before: a duplicate
  kUnavailable,  // certainly not recorded
  kUnknown,      // the store's answer was lost; it may be recorded
};

// The decisions about all requests of one entry host.
class Dispatcher {
 public:
  static constexpr const char* kPluginKind = "dispatcher";
  using Factory =
      std::function<std::unique_ptr<Dispatcher>(const DispatcherOptions&)>;

  virtual ~Dispatcher() = default;

  // A new revision is in force. Queued requests of accounts whose keys are
  // gone are the gateway's to check when they start.
  virtual void OnConfiguration(Instant now, ConfigurationPtr configuration) = 0;

  // A request came in and its key was good.
  virtual DispatchList OnArrival(Instant now, const Request& request) = 0;

  // A claim was answered.
  virtual DispatchList OnClaim(Instant now,
                               const RequestId& request,
                               ClaimResult result) = 0;

  // An attempt delivered so many more tokens; the first call for an attempt
  // tells of its first one.
  virtual DispatchList OnProgress(Instant now,
                                  AttemptId attempt,
                                  int64_t generated_tokens) = 0;

  // An attempt ended.
  virtual DispatchList OnResult(Instant now, const AttemptResult& result) = 0;

  // The caller hung up.
  virtual DispatchList OnCallerGone(Instant now, const RequestId& request) = 0;

  // News from endpoints and from other hosts.
  virtual DispatchList OnLoad(Instant now, const LoadReport& report) = 0;
  virtual void OnCache(Instant now, const CacheEvent& event) = 0;
  virtual DispatchList OnDigest(Instant now, const Digest& digest) = 0;

  // A host has left or is unreachable; what it sent no longer counts.
  virtual void OnHostGone(Instant now, const HostId& host) = 0;

  // Call every 10 ms or so: starts queued work, hedges, and refuses what has
  // run out of time.
  virtual DispatchList OnTick(Instant now) = 0;

  // No request is taken from now on; those already here are finished.
  virtual void StartDrain() = 0;

  // Fills in this host's part of the next digest.
  virtual void FillDigest(Digest& digest) const = 0;

  // Requests queued and running here.
  virtual int64_t Queued() const = 0;
  virtual int64_t Running() const = 0;
};

}  // namespace hickorystand
