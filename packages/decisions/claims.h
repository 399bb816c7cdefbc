// Claims: what makes a non-idempotent request run at most once.
//
// Before such a request leaves for an endpoint, its host creates a record under
// the request's key in the key-value service. Whoever creates it may send the
// request, once; everybody else who comes with the same key is told that it was
// sent before. A claim is never taken over: when its host dies the outcome is
// unknown, and is said to be.
//
// Claims that come up together go in one transaction: it creates all records,
// or none and tells which are there. A lost reply is cured by sending the same
// transaction again, as each claim bears a token of its own: a record with that
// token is an earlier attempt that took effect.
//
// Records are bound to leases shared by all claims of a period, so that the
// service removes them by itself after the duplicate window of their service.
//
//   Claim -> [batch] -> RunTransaction -> AnswerClaim -> MaySend -> Forget
//                                                    \-> Withdraw (not sent)
//
// Index
//   ClaimKey        what makes two requests the same
//   ClaimRequest    a request that wants to run
//   ClaimOptions    how the book is set
//   ClaimBook       the state machine, one per host

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

// The key of a request: two requests of one account with the same
// Idempotency-Key are the same, and without that header those with the same
// path and body. A hash, as neither belongs into the key-value service.
std::string ClaimKey(const ServiceId& service,
                     const AccountId& account,
                     std::string_view idempotency_key,
                     std::string_view path,
                     std::string_view body);

// A request that wants to run.
struct ClaimRequest {
  RequestId request;
  std::string key;                             // of ClaimKey()
  Duration window = std::chrono::minutes(10);  // Service::duplicate_window
  Instant deadline{};                          // an answer is wanted by then

  bool operator==(const ClaimRequest&) const = default;
};

// The answer to a claim.
struct AnswerClaim {
  RequestId request;
  ClaimResult result = ClaimResult::kUnavailable;

  bool operator==(const AnswerClaim&) const = default;
};

using ClaimAction = std::variant<RunTransaction, GrantLease, AnswerClaim>;
using ClaimActions = std::vector<ClaimAction>;

// How claims are made.
struct ClaimOptions {
  HostId host;
  uint64_t incarnation = 0;
  // At most one transaction in this time. A claim that comes alone goes at
  // once; those that come meanwhile share the next one.
  Duration batch_every = std::chrono::milliseconds(10);
  Duration retry_every = std::chrono::milliseconds(200);
  // How long a transaction may still take effect after it was sent. A record
  // that must go is looked for until then.
  Duration settle = std::chrono::seconds(5);
  int64_t max_batch = 40;        // keys in a transaction; the store takes 128
  int64_t max_in_flight = 8;     // transactions
  int64_t max_waiting = 4096;    // claims
  int64_t max_clean_ups = 4096;  // further ones are left to their lease

  // Off only in mutation tests: grant without asking the store.
  bool claim_before_send = true;
};

// What the book has done, for metrics and tests.
struct ClaimCounts {
  int64_t claims = 0;
  int64_t transactions = 0;
  int64_t leases = 0;

  bool operator==(const ClaimCounts&) const = default;
};

// The claims of one host.
class ClaimBook {
 public:
  explicit ClaimBook(ClaimOptions options);

  // Wants to run a request. Answered by AnswerClaim, perhaps at once.
  void Claim(Instant now, const ClaimRequest& request, ClaimActions& out);

  // Whether a granted request may be sent now; ask in the very step that hands
  // its bytes to a socket. A host that slept for longer than half the duplicate
  // window no longer may, as its record may be about to expire.
  bool MaySend(Instant now, const RequestId& request) const;

  // The request was sent, whatever comes of it. Its record stays.
  void Forget(const RequestId& request);

  // The request was granted and surely no byte of it left: its record is
  // removed, so that the caller may send it again.
  void Withdraw(Instant now, const RequestId& request, ClaimActions& out);

  // Call every few milliseconds while Busy().
  void OnTick(Instant now, ClaimActions& out);
  bool Busy() const;

  // Whether each claim was answered, and then sent or withdrawn for good.
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
  // A claim that isn't answered yet.
  struct Waiting {
    ClaimRequest request;
    std::string token;
    Instant first_sent{};
    Instant last_sent{};
    Instant last_lost{};  // when an attempt whose reply was lost was sent
    Instant next_try{};
    bool in_flight = false;
    bool perhaps_recorded = false;  // an attempt's reply was lost
  };

  // A claim that was granted and neither sent nor cancelled yet.
  struct Granted {
    std::string key;
    std::string token;
    Instant last_lost{};
    Instant valid_until{};
  };

  // A record that must go if it is there.
  struct CleanUp {
    std::string key;
    std::string token;
    Instant last_sent{};  // when the record was last asked for
    Instant next_try{};
    bool in_flight = false;
    Instant asked{};
  };

  // The lease that claims of one window length are bound to at present.
  struct SharedLease {
    int64_t lease = 0;
    Instant usable_until{};
    CallTag call = 0;  // of the grant under way; 0: none
    Instant asked{};
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
  void SettleWrite(Waiting& claim, const StoreReply& reply, ClaimActions& out);
  void Grant(const Waiting& claim);
  void Answer(const std::string& token, ClaimResult result, ClaimActions& out);
  void ExpireDue(Instant now, ClaimActions& out);

  ClaimOptions options;
  ClaimCounts counts;
  std::map<std::string, Waiting> waiting;  // by token, which sorts by age
  std::map<RequestId, Granted> granted;
  std::map<std::string, CleanUp> clean_ups;  // by token
  std::map<Duration, SharedLease> leases;    // by window
  std::map<CallTag, Batch> batches;          // in flight
  std::map<CallTag, std::string> cleaning;   // in flight
  uint64_t last_token = 0;
  CallTag last_tag = 0;
  Instant next_batch{};
  Instant next_prune{};
};

}  // namespace hickorystand
