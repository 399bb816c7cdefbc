#include "decisions/lease.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "kernel/json.h"

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

std::string ReleaseKey(const DataCentreId& data_centre) {
  return "/hickorystand/lease-release/" + data_centre.Text();
}

std::string EncodeLeaseRelease(const LeaseRelease& release) {
  const auto wait =
      std::chrono::ceil<std::chrono::milliseconds>(release.wait).count();
  return JsonWriter()
      .BeginObject()
      .Member("host", release.host.Text())
      .Member("incarnation", release.incarnation)
      .Member("wait_ms", wait)
      .EndObject()
      .Text();
}

std::optional<LeaseRelease> DecodeLeaseRelease(const std::string& value) {
  const auto read = Json::ParseObject(value);
  const int64_t wait = read ? read->At("wait_ms").Integer(-1) : -1;
  if (wait < 0) {
    return std::nullopt;
  }
  return LeaseRelease{
      .host = HostId(read->At("host").Text()),
      .incarnation = static_cast<uint64_t>(read->At("incarnation").Integer()),
      .wait = std::chrono::milliseconds(wait)};
}

Lease::Lease(LeaseOptions options) : options(std::move(options)) {
  assert(!this->options.host.Empty() && "a lease needs its host's id");
  assert(this->options.host.Text().find('/') == std::string::npos &&
         "a host's id has no slash, which ends it in the lease record");
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
    this->EndTenure(now, out);
    return;
  }
  // A lost reply must not stop this host from acquiring the lease later.
  if (this->call && now - this->call->sent_at >= this->options.call_timeout) {
    this->call.reset();
    if (this->state == State::kCreating || this->state == State::kReadingBack) {
      this->ReadBack(now, out);
    } else if (this->state == State::kGranting ||
               this->state == State::kReleasing) {
      this->BecomeFollower(now, out);
    }
  }
  if (this->call || this->retired || now < this->next_call) {
    return;
  }
  if (this->state == State::kHeld) {
    out.emplace_back(
        RenewLease{.tag = this->StartCall(now), .lease = this->store_lease});
  } else if (this->state == State::kFollowing) {
    this->Poll(now, out);
  }
}

bool Lease::OnStoreReply(Instant now,
                         CallTag tag,
                         const StoreReply& reply,
                         std::vector<LeaseAction>& out) {
  if (!this->AcceptReply(tag)) {
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
      this->DecideByRecord(now, reply, out);
      break;
    case State::kReleasing:
      this->OnReleased(now, reply, out);
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
  if (!this->AcceptReply(tag)) {
    // Granted after the call timed out: no record is bound to it.
    if (lease) {
      out.emplace_back(RevokeLease{.lease = *lease});
    }
    return false;
  }
  if (!lease) {
    this->BecomeFollower(now, out);
    return true;
  }
  this->store_lease = *lease;
  this->Create(now, nullptr, out);
  return true;
}

bool Lease::OnLeaseRenewed(Instant now,
                           CallTag tag,
                           const Result<Duration>& remaining,
                           std::vector<LeaseAction>& out) {
  if (!this->call || this->call->tag != tag) {
    return false;
  }
  const Instant sent_at = this->call->sent_at;
  this->call.reset();
  if (!this->Held()) {
    return true;
  }
  if (!remaining) {
    if (remaining.error().kind == ErrorKind::kNotFound) {
      this->EndTenure(now, out);
    }
    return true;  // any other failure: retried at the next tick
  }
  this->term_start = sent_at;
  this->valid_until = std::max(
      this->valid_until, sent_at + std::min(*remaining, this->options.length) -
                             this->options.margin);
  this->next_call = sent_at + this->options.renew_every;
  return true;
}

void Lease::Retire(std::vector<LeaseAction>& out) {
  this->retired = true;
  if (this->state == State::kReleasing) {
    return;
  }
  this->call.reset();
  this->state = State::kFollowing;
  this->fencing = 0;
  if (this->store_lease != 0) {
    out.emplace_back(RevokeLease{.lease = std::exchange(this->store_lease, 0)});
  }
}

void Lease::Release(Instant now, Duration wait, std::vector<LeaseAction>& out) {
  if (!this->MayAct(now)) {
    this->Retire(out);
    return;
  }
  this->retired = true;
  this->call.reset();
  this->state = State::kReleasing;
  const std::string key = LeaseKey(this->options.data_centre);
  const LeaseRelease release{.host = this->options.host,
                             .incarnation = this->options.incarnation,
                             .wait = wait};
  // Bound to the lease, so that the release record expires with it unless a
  // host takes over before.
  out.emplace_back(RunTransaction{
      .tag = this->StartCall(now),
      .transaction = {
          .conditions = {{.key = key,
                          .revision = std::exchange(this->fencing, 0)}},
          .then = {StoreDelete(key),
                   StorePut(ReleaseKey(this->options.data_centre),
                            EncodeLeaseRelease(release), this->store_lease)}}});
}

// The release record is bound to the lease, which is therefore only revoked if
// the write failed or its outcome is unknown.
void Lease::OnReleased(Instant now,
                       const StoreReply& reply,
                       std::vector<LeaseAction>& out) {
  if (reply.outcome == StoreOutcome::kThen) {
    this->store_lease = 0;
  }
  this->BecomeFollower(now, out);
}

void Lease::EndTenure(Instant now, std::vector<LeaseAction>& out) {
  this->call.reset();
  this->fencing = 0;
  this->BecomeFollower(now, out);
}

bool Lease::AcceptReply(CallTag tag) {
  if (!this->call || this->call->tag != tag) {
    return false;
  }
  this->call.reset();
  return true;
}

CallTag Lease::StartCall(Instant now) {
  assert(!this->call && "a lease has one call in flight at a time");
  this->call = Call{.tag = this->NextTag(), .sent_at = now};
  return this->call->tag;
}

void Lease::Poll(Instant now, std::vector<LeaseAction>& out) {
  this->next_call = now + this->options.poll_every * (1 + this->rank);
  this->ReadRecord(now, out);
}

void Lease::ReadRecord(Instant now, std::vector<LeaseAction>& out) {
  out.emplace_back(RunTransaction{
      .tag = this->StartCall(now),
      .transaction = {
          .then = {StoreGet(LeaseKey(this->options.data_centre))}}});
}

void Lease::OnPolled(Instant now,
                     const StoreReply& reply,
                     std::vector<LeaseAction>& out) {
  if (reply.outcome != StoreOutcome::kThen) {
    return;  // no answer; retried at the next poll
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
  this->term_start = now;
  out.emplace_back(
      GrantLease{.tag = this->StartCall(now), .length = this->options.length});
}

// Creates the lease record on condition that the release record is `release`,
// or absent if null. If there is another one, the reply contains it, and the
// transaction is repeated with it.
void Lease::Create(Instant now,
                   const StoreRecord* release,
                   std::vector<LeaseAction>& out) {
  this->state = State::kCreating;
  this->token = this->options.host.Text() + "/" +
                std::to_string(this->options.incarnation) + "/" +
                std::to_string(++this->attempts);
  this->released.reset();
  const std::string key = LeaseKey(this->options.data_centre);
  const std::string release_key = ReleaseKey(this->options.data_centre);
  StoreTransaction transaction{
      .conditions = {{.key = key,
                      .field = StoreCompare::Field::kCreateRevision,
                      .revision = 0},
                     {.key = release_key}},
      .then = {StorePut(key, this->token, this->store_lease)},
      .otherwise = {StoreGet(key), StoreGet(release_key)}};
  if (release != nullptr) {
    this->released = DecodeLeaseRelease(release->value);
    transaction.conditions.back().revision = release->mod_revision;
    transaction.then.push_back(StoreDelete(release_key));
  }
  out.emplace_back(RunTransaction{.tag = this->StartCall(now),
                                  .transaction = std::move(transaction)});
}

void Lease::OnCreated(Instant now,
                      const StoreReply& reply,
                      std::vector<LeaseAction>& out) {
  switch (reply.outcome) {
    case StoreOutcome::kThen:
      this->BeginTenure(now, reply.revision, out);
      break;
    case StoreOutcome::kOtherwise:
      this->OnNotCreated(now, reply, out);
      break;
    case StoreOutcome::kNotApplied:
      this->BecomeFollower(now, out);
      break;
    case StoreOutcome::kUnknown:
      // The record may have been created although the reply was lost. Assuming
      // failure would leave the data centre without a holder until the record
      // expires; assuming success could make two holders. Reading the record
      // back and comparing its unique token decides.
      this->ReadBack(now, out);
      break;
  }
}

void Lease::OnNotCreated(Instant now,
                         const StoreReply& reply,
                         std::vector<LeaseAction>& out) {
  const DataCentreId& data_centre = this->options.data_centre;
  const StoreRecord* release = FindRecord(reply, ReleaseKey(data_centre));
  if (release != nullptr &&
      FindRecord(reply, LeaseKey(data_centre)) == nullptr) {
    this->Create(now, release, out);
  } else {
    this->DecideByRecord(now, reply, out);
  }
}

void Lease::ReadBack(Instant now, std::vector<LeaseAction>& out) {
  this->state = State::kReadingBack;
  this->ReadRecord(now, out);
}

void Lease::DecideByRecord(Instant now,
                           const StoreReply& reply,
                           std::vector<LeaseAction>& out) {
  const bool answered = reply.outcome == StoreOutcome::kThen ||
                        reply.outcome == StoreOutcome::kOtherwise;
  const StoreRecord* record =
      FindRecord(reply, LeaseKey(this->options.data_centre));
  if (!answered || record == nullptr) {
    // The record is absent or its state unknown. Revokes the store's lease, so
    // that a write that is still in flight can't take effect.
    this->BecomeFollower(now, out);
    return;
  }
  this->last_holder = HolderOf(record->value);
  if (record->value == this->token) {
    this->BeginTenure(now, record->create_revision, out);
  } else {
    this->BecomeFollower(now, out);
  }
}

void Lease::BeginTenure(Instant now,
                        int64_t fencing,
                        std::vector<LeaseAction>& out) {
  assert(fencing > 0 && "the store's revisions start at 1");
  this->state = State::kHeld;
  this->fencing = fencing;
  this->last_holder = this->options.host.Text();
  this->valid_until =
      this->term_start + this->options.length - this->options.margin;
  this->next_call = this->term_start + this->options.renew_every;
  if (!this->MayAct(now)) {
    this->EndTenure(now, out);  // the replies took longer than the lease
  }
}

void Lease::BecomeFollower(Instant now, std::vector<LeaseAction>& out) {
  this->state = State::kFollowing;
  this->next_call = now + this->options.poll_every;
  if (this->store_lease != 0) {
    out.emplace_back(RevokeLease{.lease = std::exchange(this->store_lease, 0)});
  }
}

}  // namespace hickorystand
