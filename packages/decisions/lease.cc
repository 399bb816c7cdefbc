#include "decisions/lease.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hickorystand {
namespace {

constexpr int64_t kMaxRank = 7;

// The host's id from a record's value, HOST/INCARNATION/ATTEMPT.
std::string HolderOf(const std::string& value) {
  return value.substr(0, value.find('/'));
}

}  // namespace

std::string LeaseKey(const DataCentreId& data_centre) {
  return "/hickorystand/lease/" + data_centre.Text();
}

Lease::Lease(LeaseOptions options) : options(std::move(options)) {
  assert(!this->options.host.Empty() && "a lease needs its host's id");
  assert(this->options.host.Text().find('/') == std::string::npos &&
         "a host's id bears no slash, which ends it in the lease record");
  assert(this->options.margin < this->options.length);
  assert(this->options.renew_every < this->options.length);
}

bool Lease::MayAct(Instant now) const {
  return this->Held() &&
         (!this->options.check_clock || now < this->valid_until);
}

void Lease::SetRank(int64_t rank) {
  this->rank = std::clamp<int64_t>(rank, 0, kMaxRank);
}

void Lease::OnTick(Instant now, std::vector<LeaseAction>& out) {
  if (this->Held() && !this->MayAct(now)) {
    this->Lose(now, out);
    return;
  }
  // A reply that never comes must not end the contest for good.
  if (this->call && now - this->call->asked >= this->options.call_timeout) {
    this->call.reset();
    if (this->state == State::kCreating || this->state == State::kReadingBack) {
      this->ReadBack(now, out);
    } else if (this->state == State::kGranting) {
      this->Follow(now, out);
    }
  }
  if (this->call || this->retired || now < this->next_call) {
    return;
  }
  if (this->state == State::kHeld) {
    out.emplace_back(
        RenewLease{.tag = this->Ask(now), .lease = this->store_lease});
  } else if (this->state == State::kFollowing) {
    this->Poll(now, out);
  }
}

bool Lease::OnStoreReply(Instant now,
                         CallTag tag,
                         const StoreReply& reply,
                         std::vector<LeaseAction>& out) {
  if (!this->TakeReply(tag)) {
    return false;
  }
  switch (this->state) {
    case State::kFollowing:
      this->OnPolled(now, reply, out);
      break;
    case State::kCreating:
      this->OnCreated(now, reply, out);
      break;
    case State::kReadingBack:
      this->JudgeRecord(now, reply, out);
      break;
    case State::kGranting:
    case State::kHeld:
      break;
  }
  return true;
}

bool Lease::OnLeaseGranted(Instant now,
                           CallTag tag,
                           const Result<int64_t>& lease,
                           std::vector<LeaseAction>& out) {
  if (!this->TakeReply(tag)) {
    // Granted after it was given up: nothing is bound to it, so let it go.
    if (lease) {
      out.emplace_back(RevokeLease{.lease = *lease});
    }
    return false;
  }
  if (!lease) {
    this->Follow(now, out);
    return true;
  }
  this->store_lease = *lease;
  this->Create(now, out);
  return true;
}

bool Lease::OnLeaseRenewed(Instant now,
                           CallTag tag,
                           const Result<Duration>& left,
                           std::vector<LeaseAction>& out) {
  if (!this->call || this->call->tag != tag) {
    return false;
  }
  const Instant asked = this->call->asked;
  this->call.reset();
  if (!this->Held()) {
    return true;
  }
  if (!left) {
    if (left.error().kind == ErrorKind::kNotFound) {
      this->Lose(now, out);
    }
    return true;  // any other failure: ask again at the next tick
  }
  this->counted_from = asked;
  this->valid_until = std::max(
      this->valid_until,
      asked + std::min(*left, this->options.length) - this->options.margin);
  this->next_call = asked + this->options.renew_every;
  return true;
}

void Lease::Retire(std::vector<LeaseAction>& out) {
  this->retired = true;
  this->call.reset();
  this->state = State::kFollowing;
  this->fencing = 0;
  if (this->store_lease != 0) {
    out.emplace_back(RevokeLease{.lease = std::exchange(this->store_lease, 0)});
  }
}

void Lease::Lose(Instant now, std::vector<LeaseAction>& out) {
  this->call.reset();
  this->fencing = 0;
  this->Follow(now, out);
}

bool Lease::TakeReply(CallTag tag) {
  if (!this->call || this->call->tag != tag) {
    return false;
  }
  this->call.reset();
  return true;
}

CallTag Lease::Ask(Instant now) {
  assert(!this->call && "a lease has one call under way at a time");
  this->call = Call{.tag = this->NextTag(), .asked = now};
  return this->call->tag;
}

void Lease::Poll(Instant now, std::vector<LeaseAction>& out) {
  this->next_call = now + this->options.poll_every * (1 + this->rank);
  this->ReadRecord(now, out);
}

void Lease::ReadRecord(Instant now, std::vector<LeaseAction>& out) {
  out.emplace_back(RunTransaction{
      .tag = this->Ask(now),
      .transaction = {
          .then = {StoreGet(LeaseKey(this->options.data_centre))}}});
}

void Lease::OnPolled(Instant now,
                     const StoreReply& reply,
                     std::vector<LeaseAction>& out) {
  if (reply.outcome != StoreOutcome::kThen) {
    return;  // not answered; ask again at the next poll
  }
  if (!reply.records.empty()) {
    this->last_holder = HolderOf(reply.records.front().value);
    return;
  }
  this->last_holder.clear();
  if (this->retired) {
    return;
  }
  this->state = State::kGranting;
  this->counted_from = now;
  out.emplace_back(
      GrantLease{.tag = this->Ask(now), .length = this->options.length});
}

void Lease::Create(Instant now, std::vector<LeaseAction>& out) {
  this->state = State::kCreating;
  this->token = this->options.host.Text() + "/" +
                std::to_string(this->options.incarnation) + "/" +
                std::to_string(++this->attempts);
  const std::string key = LeaseKey(this->options.data_centre);
  out.emplace_back(RunTransaction{
      .tag = this->Ask(now),
      .transaction = {
          .conditions = {{.key = key,
                          .field = StoreCompare::Field::kCreateRevision,
                          .revision = 0}},
          .then = {{.kind = StoreOperation::Kind::kPut,
                    .key = key,
                    .value = this->token,
                    .lease = this->store_lease}},
          .otherwise = {{.kind = StoreOperation::Kind::kGet, .key = key}}}});
}

void Lease::OnCreated(Instant now,
                      const StoreReply& reply,
                      std::vector<LeaseAction>& out) {
  switch (reply.outcome) {
    case StoreOutcome::kThen:
      this->Take(now, reply.revision, out);
      break;
    case StoreOutcome::kOtherwise:
      this->JudgeRecord(now, reply, out);
      break;
    case StoreOutcome::kNotApplied:
      this->Follow(now, out);
      break;
    case StoreOutcome::kUnknown:
      // The record may be there although nobody said so. Assuming failure
      // would leave the data centre without a holder until it expires;
      // assuming success could make two. The unique token tells.
      this->ReadBack(now, out);
      break;
  }
}

void Lease::ReadBack(Instant now, std::vector<LeaseAction>& out) {
  this->state = State::kReadingBack;
  this->ReadRecord(now, out);
}

void Lease::JudgeRecord(Instant now,
                        const StoreReply& reply,
                        std::vector<LeaseAction>& out) {
  const bool answered = reply.outcome == StoreOutcome::kThen ||
                        reply.outcome == StoreOutcome::kOtherwise;
  if (!answered || reply.records.empty()) {
    // Not there, or no telling. Following revokes the lease, without which a
    // write that is still on its way can't take effect.
    this->Follow(now, out);
    return;
  }
  const StoreRecord& record = reply.records.front();
  this->last_holder = HolderOf(record.value);
  if (record.value == this->token) {
    this->Take(now, record.create_revision, out);
  } else {
    this->Follow(now, out);
  }
}

void Lease::Take(Instant now, int64_t fencing, std::vector<LeaseAction>& out) {
  assert(fencing > 0 && "the store's revisions start at 1");
  this->state = State::kHeld;
  this->fencing = fencing;
  this->last_holder = this->options.host.Text();
  this->valid_until =
      this->counted_from + this->options.length - this->options.margin;
  this->next_call = this->counted_from + this->options.renew_every;
  if (!this->MayAct(now)) {
    this->Lose(now, out);  // the replies took longer than the lease
  }
}

void Lease::Follow(Instant now, std::vector<LeaseAction>& out) {
  this->state = State::kFollowing;
  this->next_call = now + this->options.poll_every;
  if (this->store_lease != 0) {
    out.emplace_back(RevokeLease{.lease = std::exchange(this->store_lease, 0)});
  }
}

}  // namespace hickorystand
