// Claims: at-most-once execution of non-idempotent requests.
//
// Before such a request is sent to an endpoint, its host creates a record under
// the request's key in the key-value service. The host that creates the record
// may send the request once; any other request with the same key is refused as
// a duplicate. A claim is never taken over: if its host fails, the outcome of
// the request is reported as unknown.
//
// Concurrent claims are batched into one transaction, which either creates all
// records or creates none and returns the existing ones. After a lost reply the
// claims are sent again. This is safe because each claim has a unique token: a
// record with that token was created by an earlier attempt.
//
// Records are attached to leases that all claims of a period share, so that the
// service deletes them after the duplicate window of their service.
//
//   Claim -> [batch] -> RunTransaction -> AnswerClaim -> MaySend -> OnSent
//                                                    \-> Withdraw (not sent)
//
// Index
//   ClaimKey                    the key that identifies duplicate requests
//   ClaimRequest, AnswerClaim   a claim and its result
//   ClaimAction                 a call or a result for the caller to carry out
//   ClaimOptions, ClaimCounts   options and counters
//   ClaimManager                the state machine, one per host

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "decisions/dispatcher.h"
#include "decisions/lease.h"
#include "decisions/store.h"
#include "kernel/error.h"
#include "kernel/ids.h"
#include "kernel/time.h"

namespace hickorystand {

// Returns the key of a request. Two requests of one account have the same key
// if they have the same Idempotency-Key or, without that header, the same path
// and body. The key holds a hash, so that no request content is stored in the
// key-value service.
std::string ClaimKey(const ServiceId& service,
                     const AccountId& account,
                     std::string_view idempotency_key,
                     std::string_view path,
                     std::string_view body);

// A request to be claimed.
struct ClaimRequest {
  RequestId request;
  std::string key;                             // from ClaimKey()
  Duration window = std::chrono::minutes(10);  // Service::duplicate_window
  Instant deadline{};                          // the claim is answered by then

  bool operator==(const ClaimRequest&) const = default;
};

// The result of a claim.
struct AnswerClaim {
  RequestId request;
  ClaimResult result = ClaimResult::kUnavailable;

  bool operator==(const AnswerClaim&) const = default;
};

using ClaimAction = std::variant<RunTransaction, GrantLease, AnswerClaim>;
using ClaimActions = std::vector<ClaimAction>;

struct ClaimOptions {
  HostId host;
  uint64_t incarnation = 0;
  // Minimum time between transactions. A single claim is sent immediately;
  // claims made within the interval share the next transaction.
  Duration batch_interval = std::chrono::milliseconds(10);
  Duration retry_interval = std::chrono::milliseconds(200);
  // How long after sending a transaction may still take effect. The clean-up
  // of a record is retried until then.
  Duration max_apply_delay = std::chrono::seconds(5);
  int64_t max_batch = 40;        // keys per transaction; the store allows 128
  int64_t max_in_flight = 8;     // transactions
  int64_t max_waiting = 4096;    // claims
  int64_t max_clean_ups = 4096;  // beyond it, records stay until lease expiry

  // False only in mutation tests: claims are granted without a store record.
  bool claim_before_send = true;
};

// Counters for metrics and tests.
struct ClaimCounts {
  int64_t claims = 0;
  int64_t transactions = 0;
  int64_t leases = 0;

  bool operator==(const ClaimCounts&) const = default;
};

// The claims of one host. The caller carries out the actions that are appended
// to `out`: it executes RunTransaction and GrantLease, passes the replies to
// OnStoreReply and OnLeaseGranted, and forwards each AnswerClaim to its
// request.
class ClaimManager {
 public:
  explicit ClaimManager(ClaimOptions options);

  // Claims a request. AnswerClaim follows, possibly in this call.
  void Claim(Instant now, const ClaimRequest& request, ClaimActions& out);

  // Whether a granted request may be sent now. Call it in the same step that
  // writes the request to a socket. False once half the duplicate window has
  // passed, e.g. on a host that was suspended, as the record may expire soon.
  bool MaySend(Instant now, const RequestId& request) const;

  // Call when the request was sent, whatever its outcome. Its record stays.
  void OnSent(const RequestId& request);

  // Call when a granted request was certainly not sent, not even in part.
  // Removes its record, so that the caller may send the request again.
  void Withdraw(Instant now, const RequestId& request, ClaimActions& out);

  // Call every few milliseconds while Busy().
  void OnTick(Instant now, ClaimActions& out);
  bool Busy() const;

  // Whether every claim was answered, every granted request was sent or
  // withdrawn, and no clean-up is pending.
  bool Settled() const { return !this->Busy() && this->granted.empty(); }

  // Replies of the key-value service.
  void OnStoreReply(Instant now,
                    CallTag tag,
                    const StoreReply& reply,
                    ClaimActions& out);
  void OnLeaseGranted(Instant now,
                      CallTag tag,
                      const Result<int64_t>& lease,
                      ClaimActions& out);

  const ClaimCounts& Counts() const { return this->counts; }

 private:
  // A claim without a result yet.
  struct Waiting {
    ClaimRequest request;
    std::string token;
    Instant first_sent{};
    Instant last_sent{};
    Instant last_unanswered{};  // send time of the last attempt without a reply
    Instant next_try{};
    bool in_flight = false;
    bool may_be_recorded = false;  // an attempt's reply was lost
  };

  // A granted claim whose request was neither sent nor withdrawn yet.
  struct Granted {
    std::string key;
    std::string token;
    Instant last_unanswered{};
    Instant valid_until{};
  };

  // A record to be deleted if it exists.
  struct CleanUp {
    std::string key;
    std::string token;
    Instant last_put{};  // send time of the last attempt to create it
    Instant next_try{};
    bool in_flight = false;
    Instant attempted_at{};
  };

  // The current lease of the claims with one window length.
  struct SharedLease {
    int64_t lease = 0;
    Instant usable_until{};
    CallTag call = 0;  // of the lease request in flight; 0: none
    Instant requested_at{};
  };

  using Batch = std::vector<std::string>;  // tokens

  bool HasLease(Instant now, Duration window, ClaimActions& out);
  void RefuseUnsent(Instant now, Duration window, ClaimActions& out);
  void SendBatch(Instant now, ClaimActions& out);
  Batch NextBatch(Instant now, ClaimActions& out);
  void SendCleanUps(Instant now, ClaimActions& out);
  void AddCleanUp(CleanUp clean_up);
  void OnBatch(Instant now,
               const Batch& batch,
               const StoreReply& reply,
               ClaimActions& out);
  void OnCleanUp(const std::string& token, const StoreReply& reply);
  void ResolveClaim(Waiting& claim, const StoreReply& reply, ClaimActions& out);
  void Grant(const Waiting& claim);
  void Answer(const std::string& token, ClaimResult result, ClaimActions& out);
  void ExpireDue(Instant now, ClaimActions& out);

  ClaimOptions options;
  ClaimCounts counts;
  std::map<std::string, Waiting> waiting;  // by token, oldest first
  std::map<RequestId, Granted> granted;
  std::map<std::string, CleanUp> clean_ups;            // by token
  std::map<Duration, SharedLease> leases;              // by window
  std::map<CallTag, Batch> batches;                    // in flight
  std::map<CallTag, std::string> clean_ups_in_flight;  // in flight
  uint64_t last_token = 0;
  CallTag last_tag = 0;
  Instant next_batch{};
  Instant next_prune{};
};

}  // namespace hickorystand
