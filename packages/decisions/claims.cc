#include "decisions/claims.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdio>
#include <ranges>
#include <set>
#include <utility>

namespace hickorystand {
namespace {

// Length of a shared lease in duplicate windows; see OnLeaseGranted().
constexpr int64_t kLeaseWindows = 3;

// How often expired grants of requests that were never sent are removed.
constexpr Duration kPruneInterval = std::chrono::seconds(1);

// Hashes a field preceded by its length, so that two different pairs of fields
// never concatenate to the same bytes.
void HashField(GChecksum* sum, std::string_view text) {
  const std::string length = std::to_string(text.size()) + ":";
  g_checksum_update(sum, reinterpret_cast<const guchar*>(length.data()),
                    static_cast<gssize>(length.size()));
  g_checksum_update(sum, reinterpret_cast<const guchar*>(text.data()),
                    static_cast<gssize>(text.size()));
}

// Hexadecimal of fixed width, so that tokens sort by age.
std::string Padded(uint64_t number) {
  std::array<char, 24> text;
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(number));
  return text.data();
}

}  // namespace

std::string ClaimKey(const ServiceId& service,
                     const AccountId& account,
                     std::string_view idempotency_key,
                     std::string_view path,
                     std::string_view body) {
  GChecksum* sum = g_checksum_new(G_CHECKSUM_SHA256);
  HashField(sum, account.Text());
  HashField(sum, idempotency_key);
  if (idempotency_key.empty()) {
    HashField(sum, path);
    HashField(sum, body);
  }
  std::string key = "/hickorystand/claims/" + service.Text() + "/" +
                    g_checksum_get_string(sum);
  g_checksum_free(sum);
  return key;
}

ClaimManager::ClaimManager(ClaimOptions options) : options(std::move(options)) {
  assert(!this->options.host.Empty() && "ClaimOptions::host is empty");
}

void ClaimManager::Claim(Instant now,
                         const ClaimRequest& request,
                         ClaimActions& out) {
  assert(!request.key.empty() && "the key is empty; make it with ClaimKey()");
  assert(request.window > Duration::zero() &&
         "the duplicate window must be positive");
  ++this->counts.claims;
  if (!this->options.claim_before_send) {
    this->granted[request.request] = {.key = request.key,
                                      .valid_until = now + request.window / 2};
    out.emplace_back(AnswerClaim{.request = request.request,
                                 .result = ClaimResult::kGranted});
    return;
  }
  if (std::ssize(this->waiting) >= this->options.max_waiting) {
    out.emplace_back(AnswerClaim{.request = request.request,
                                 .result = ClaimResult::kUnavailable});
    return;
  }
  std::string token = this->options.host.Text() + "/" +
                      std::to_string(this->options.incarnation) + "/" +
                      Padded(++this->last_token);
  Waiting claim{.request = request, .token = token};
  this->waiting.emplace(std::move(token), std::move(claim));
  this->OnTick(now, out);
}

bool ClaimManager::MaySend(Instant now, const RequestId& request) const {
  const auto found = this->granted.find(request);
  return found != this->granted.end() && now < found->second.valid_until;
}

void ClaimManager::OnSent(const RequestId& request) {
  this->granted.erase(request);
}

void ClaimManager::Withdraw(Instant now,
                            const RequestId& request,
                            ClaimActions& out) {
  const auto found = this->granted.find(request);
  if (found == this->granted.end()) {
    return;
  }
  this->AddCleanUp({.key = found->second.key,
                    .token = found->second.token,
                    .last_put = found->second.last_unanswered});
  this->granted.erase(found);
  this->OnTick(now, out);
}

void ClaimManager::OnTick(Instant now, ClaimActions& out) {
  this->ExpireDue(now, out);
  if (now >= this->next_batch &&
      std::ssize(this->batches) < this->options.max_in_flight) {
    this->SendBatch(now, out);
  }
  if (now >= this->next_batch) {
    this->SendCleanUps(now, out);
  }
}

bool ClaimManager::Busy() const {
  return !this->waiting.empty() || !this->clean_ups.empty();
}

void ClaimManager::OnStoreReply(Instant now,
                                CallTag tag,
                                const StoreReply& reply,
                                ClaimActions& out) {
  if (const auto batch = this->batches.extract(tag)) {
    this->OnBatch(now, batch.mapped(), reply, out);
  } else if (const auto clean_up = this->clean_ups_in_flight.extract(tag)) {
    this->OnCleanUp(clean_up.mapped(), reply);
  }
  this->OnTick(now, out);
}

void ClaimManager::OnLeaseGranted(Instant now,
                                  CallTag tag,
                                  const Result<int64_t>& lease,
                                  ClaimActions& out) {
  const auto found = std::ranges::find_if(
      this->leases,
      [tag](const auto& entry) { return entry.second.call == tag; });
  if (found == this->leases.end()) {
    return;
  }
  auto& [window, shared] = *found;
  shared.call = 0;
  if (lease) {
    // The lease lasts three windows from its request and takes new records
    // only in the first, so every record exists for at least two: a caller may
    // repeat a request for one window, and the repeat may then sit unread on a
    // stalled host.
    shared.lease = *lease;
    shared.usable_until = shared.requested_at + window;
  } else {
    this->RefuseUnsent(now, window, out);
  }
  this->OnTick(now, out);
}

// Refuses the claims of a window whose lease request failed. Claims that were
// never sent have no record; those that may have one are retried.
void ClaimManager::RefuseUnsent(Instant now,
                                Duration window,
                                ClaimActions& out) {
  std::vector<std::string> refused;
  for (auto& [token, claim] : this->waiting) {
    if (claim.request.window != window || claim.in_flight) {
      continue;
    }
    if (claim.may_be_recorded) {
      claim.next_try = now + this->options.retry_interval;
    } else {
      refused.push_back(token);
    }
  }
  for (const std::string& token : refused) {
    this->Answer(token, ClaimResult::kUnavailable, out);
  }
}

// Whether there is a usable lease for the window; requests one otherwise.
bool ClaimManager::HasLease(Instant now, Duration window, ClaimActions& out) {
  SharedLease& shared = this->leases[window];
  if (shared.lease != 0 && now < shared.usable_until) {
    return true;
  }
  const bool timed_out =
      now - shared.requested_at >= this->options.max_apply_delay;
  if (shared.call == 0 || timed_out) {
    shared = {.call = ++this->last_tag, .requested_at = now};
    ++this->counts.leases;
    out.emplace_back(
        GrantLease{.tag = shared.call, .length = kLeaseWindows * window});
  }
  return false;
}

// Selects the oldest due claims for a transaction, only one per key, as a
// transaction may put a key only once.
ClaimManager::Batch ClaimManager::NextBatch(Instant now, ClaimActions& out) {
  std::set<std::string> keys;
  for (const auto& [token, claim] : this->waiting) {
    if (claim.in_flight) {
      keys.insert(claim.request.key);
    }
  }
  Batch batch;
  for (auto& [token, claim] : this->waiting) {
    if (std::ssize(batch) >= this->options.max_batch) {
      break;
    }
    if (!claim.in_flight && now >= claim.next_try &&
        !keys.contains(claim.request.key) &&
        this->HasLease(now, claim.request.window, out)) {
      keys.insert(claim.request.key);
      batch.push_back(token);
    }
  }
  return batch;
}

void ClaimManager::SendBatch(Instant now, ClaimActions& out) {
  Batch batch = this->NextBatch(now, out);
  if (batch.empty()) {
    return;
  }
  StoreTransaction transaction;
  for (const std::string& token : batch) {
    Waiting& claim = this->waiting.at(token);
    const std::string& key = claim.request.key;
    transaction.conditions.push_back(
        {.key = key,
         .field = StoreCompare::Field::kCreateRevision,
         .revision = 0});
    transaction.then.push_back(
        StorePut(key, token, this->leases.at(claim.request.window).lease));
    transaction.otherwise.push_back(StoreGet(key));
    claim.in_flight = true;
    claim.last_sent = now;
    if (claim.first_sent == Instant{}) {
      claim.first_sent = now;
    }
  }
  const CallTag tag = ++this->last_tag;
  this->batches.emplace(tag, std::move(batch));
  this->next_batch = now + this->options.batch_interval;
  ++this->counts.transactions;
  out.emplace_back(
      RunTransaction{.tag = tag, .transaction = std::move(transaction)});
}

void ClaimManager::OnBatch(Instant now,
                           const Batch& batch,
                           const StoreReply& reply,
                           ClaimActions& out) {
  for (const std::string& token : batch) {
    const auto found = this->waiting.find(token);
    if (found == this->waiting.end()) {
      continue;  // answered as unknown meanwhile; its clean-up is scheduled
    }
    Waiting& claim = found->second;
    claim.in_flight = false;
    switch (reply.outcome) {
      case StoreOutcome::kThen:
        this->Grant(claim);
        this->Answer(token, ClaimResult::kGranted, out);
        break;
      case StoreOutcome::kOtherwise:
        this->ResolveClaim(claim, reply, out);
        break;
      case StoreOutcome::kNotApplied:
        if (!claim.may_be_recorded) {
          // An expired lease makes the store refuse the transaction.
          this->leases[claim.request.window] = {};
          this->Answer(token, ClaimResult::kUnavailable, out);
        } else {
          claim.next_try = now + this->options.retry_interval;
        }
        break;
      case StoreOutcome::kUnknown:
        // Retried with the same token: the record shows whether the first
        // attempt took effect. Assuming failure would let the request run
        // twice, or report it as not run and then refuse its repeat.
        claim.may_be_recorded = true;
        claim.last_unanswered = claim.last_sent;
        claim.next_try = now + this->options.retry_interval;
        break;
    }
  }
}

// Handles one claim of a batch that created nothing because one of its keys
// existed already. The returned records show whether it was this claim's key.
void ClaimManager::ResolveClaim(Waiting& claim,
                                const StoreReply& reply,
                                ClaimActions& out) {
  const StoreRecord* record = FindRecord(reply, claim.request.key);
  if (record == nullptr) {
    return;  // another key of the batch existed; retried in the next batch
  }
  const std::string token = claim.token;
  if (record->value == token) {
    this->Grant(claim);
    this->Answer(token, ClaimResult::kGranted, out);
  } else {
    this->Answer(token, ClaimResult::kTaken, out);
  }
}

void ClaimManager::Grant(const Waiting& claim) {
  const bool inserted =
      this->granted
          .emplace(claim.request.request,
                   Granted{.key = claim.request.key,
                           .token = claim.token,
                           .last_unanswered = claim.last_unanswered,
                           .valid_until =
                               claim.first_sent + claim.request.window / 2})
          .second;
  assert(inserted &&
         "a request is granted once; call OnSent() when it was sent");
}

void ClaimManager::Answer(const std::string& token,
                          ClaimResult result,
                          ClaimActions& out) {
  const auto claim = this->waiting.extract(token);
  assert(claim && "a claim is answered once");
  const Waiting& answered = claim.mapped();
  assert((result != ClaimResult::kUnavailable || !answered.may_be_recorded) &&
         "kUnavailable means that certainly no record exists");
  out.emplace_back(
      AnswerClaim{.request = answered.request.request, .result = result});
}

// Answers claims whose deadline has passed: kUnknown if a record may exist,
// else kUnavailable. Such a record would cause the caller's repeat to be
// refused although the request was never sent, so a clean-up deletes it.
void ClaimManager::ExpireDue(Instant now, ClaimActions& out) {
  if (now >= this->next_prune) {
    this->next_prune = now + kPruneInterval;
    std::erase_if(this->granted, [now](const auto& entry) {
      return now >= entry.second.valid_until;
    });
  }
  std::vector<std::string> due;
  for (const auto& [token, claim] : this->waiting) {
    if (now >= claim.request.deadline) {
      due.push_back(token);
    }
  }
  for (const std::string& token : due) {
    const Waiting& claim = this->waiting.at(token);
    const bool may_be_recorded = claim.may_be_recorded || claim.in_flight;
    if (may_be_recorded) {
      this->AddCleanUp({.key = claim.request.key,
                        .token = token,
                        .last_put = claim.last_sent});
    }
    this->Answer(
        token,
        may_be_recorded ? ClaimResult::kUnknown : ClaimResult::kUnavailable,
        out);
  }
}

void ClaimManager::AddCleanUp(CleanUp clean_up) {
  if (std::ssize(this->clean_ups) < this->options.max_clean_ups) {
    const std::string token = clean_up.token;
    this->clean_ups.insert_or_assign(token, std::move(clean_up));
  }
}

// Deletes one unused record if it holds the claim's own token: a later claim of
// the same key by another request must stay.
void ClaimManager::SendCleanUps(Instant now, ClaimActions& out) {
  const auto due =
      std::ranges::find_if(this->clean_ups, [now](const auto& entry) {
        return !entry.second.in_flight && now >= entry.second.next_try;
      });
  if (due == this->clean_ups.end()) {
    return;
  }
  auto& [token, clean_up] = *due;
  const CallTag tag = ++this->last_tag;
  this->clean_ups_in_flight.emplace(tag, token);
  clean_up.in_flight = true;
  clean_up.attempted_at = now;
  clean_up.next_try = now + this->options.retry_interval;
  this->next_batch = now + this->options.batch_interval;
  ++this->counts.transactions;
  out.emplace_back(RunTransaction{
      .tag = tag,
      .transaction = {.conditions = {{.key = clean_up.key,
                                      .field = StoreCompare::Field::kValue,
                                      .value = token}},
                      .then = {StoreDelete(clean_up.key)}}});
}

void ClaimManager::OnCleanUp(const std::string& token,
                             const StoreReply& reply) {
  const auto found = this->clean_ups.find(token);
  if (found == this->clean_ups.end()) {
    return;
  }
  CleanUp& clean_up = found->second;
  clean_up.in_flight = false;
  const bool answered = reply.outcome == StoreOutcome::kThen ||
                        reply.outcome == StoreOutcome::kOtherwise;
  // Done only when no attempt to create the record can still take effect.
  if (answered && clean_up.attempted_at - clean_up.last_put >=
                      this->options.max_apply_delay) {
    this->clean_ups.erase(found);
  }
}

}  // namespace hickorystand
