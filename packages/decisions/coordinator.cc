#include "decisions/coordinator.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <ranges>
#include <utility>

#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "coordinator";
constexpr size_t kMaxArgumentBytes = 256;
// The coordinator ends a source after `usage_retention`. The other hosts keep
// it longer, so that the host that closes the next windows still has it.
constexpr int64_t kUsageRetentionFactor = 2;

int64_t TotalOf(const AccountUsage& counts) {
  return std::accumulate(counts.begin(), counts.end(), int64_t{0},
                         [](int64_t sum, const auto& entry) {
                           const UsageCount& count = entry.second;
                           return sum + count.prompt_tokens +
                                  count.generated_tokens + count.requests;
                         });
}

}  // namespace

Coordinator::Coordinator(CoordinatorOptions options)
    : options(std::move(options)), lease(this->options.lease) {}

bool Coordinator::MayAct(Instant now, int64_t fencing) const {
  return this->phase == Phase::kReady && this->fencing == fencing &&
         this->lease.MayAct(now);
}

Result<OrderId> Coordinator::Propose(Instant now,
                                     const OrderRequest& request,
                                     CoordinatorActions& out) {
  this->TickLease(now, out);
  if (this->stopping) {
    return Fail(ErrorKind::kShuttingDown, "this host is leaving");
  }
  if (!this->MayAct(now, this->fencing)) {
    return Fail(ErrorKind::kNotHolder, "another host coordinates");
  }
  if (request.argument.size() > kMaxArgumentBytes) {
    return Fail(ErrorKind::kTooLarge, "the order's argument is too long");
  }
  if (this->TargetBusy(request)) {
    return Fail(ErrorKind::kConflict, "an earlier order there is still open");
  }
  if (std::ssize(this->orders) >= this->options.max_orders) {
    return Fail(ErrorKind::kOverloaded, "too many orders are open");
  }
  OrderId id(std::to_string(this->fencing) + "-" +
             std::to_string(this->next_order++));
  const Order order{.id = id,
                    .kind = request.kind,
                    .endpoint = request.endpoint,
                    .argument = request.argument,
                    .service = request.service,
                    .cheap = request.cheap,
                    .change = request.change,
                    .fences = request.fences,
                    .fencing = this->fencing,
                    .holder = this->options.lease.host,
                    .incarnation = this->options.lease.incarnation};
  const bool inserted =
      this->orders.emplace(id, OpenOrder{.order = order}).second;
  assert(inserted && "an order's id is never used twice");
  this->Drive(now, out);
  return id;
}

void Coordinator::OnTick(Instant now, CoordinatorActions& out) {
  this->TickLease(now, out);
  // The reply is lost, so the record is read back.
  if (this->call && now - this->call->sent_at >= this->options.call_timeout) {
    this->call.reset();
    this->RetryLater(now, &Coordinator::ReadRecord);
  }
  this->Drive(now, out);
  this->AnnounceRelease(now, out);
}

void Coordinator::OnStoreReply(Instant now,
                               CallTag tag,
                               const StoreReply& reply,
                               CoordinatorActions& out) {
  this->TickLease(now, out);
  std::vector<LeaseAction> lease_actions;
  if (this->lease.OnStoreReply(now, tag, reply, lease_actions)) {
    this->ApplyLeaseActions(now, lease_actions, out);
  } else if (this->call && this->call->tag == tag) {
    const Call::Handler handler = this->call->handler;
    this->call.reset();
    (this->*handler)(now, reply, out);
  }
  this->Drive(now, out);
}

void Coordinator::OnLeaseGranted(Instant now,
                                 CallTag tag,
                                 const Result<int64_t>& lease,
                                 CoordinatorActions& out) {
  this->TickLease(now, out);
  std::vector<LeaseAction> lease_actions;
  this->lease.OnLeaseGranted(now, tag, lease, lease_actions);
  this->ApplyLeaseActions(now, lease_actions, out);
}

void Coordinator::OnLeaseRenewed(Instant now,
                                 CallTag tag,
                                 const Result<Duration>& remaining,
                                 CoordinatorActions& out) {
  this->TickLease(now, out);
  std::vector<LeaseAction> lease_actions;
  this->lease.OnLeaseRenewed(now, tag, remaining, lease_actions);
  this->ApplyLeaseActions(now, lease_actions, out);
}

void Coordinator::OnOrderReply(Instant now,
                               const OrderId& order,
                               OrderReply reply,
                               CoordinatorActions& out) {
  this->TickLease(now, out);
  const auto found = this->orders.find(order);
  if (found == this->orders.end()) {
    return;  // of an earlier tenure, or finished by an earlier reply
  }
  switch (reply) {
    case OrderReply::kDone:
    case OrderReply::kRejected:
      found->second.stage = Stage::kFinished;
      break;
    case OrderReply::kStale:
      LogWarning(kPart, "Endpoint has seen a higher fencing number.",
                 {{"order", order.Text()},
                  {"fencing", std::to_string(this->fencing)}});
      break;
    case OrderReply::kRunning:
    case OrderReply::kNoReply:
    case OrderReply::kNotSent:
      break;  // sent again at next_send
  }
  this->Drive(now, out);
}

void Coordinator::OnReportReply(Instant now,
                                int64_t window,
                                ReportReply reply,
                                CoordinatorActions& out) {
  this->TickLease(now, out);
  const auto found = this->reports.find(window);
  if (found != this->reports.end() && reply == ReportReply::kAccepted) {
    found->second.stage = Stage::kFinished;
  }
  this->Drive(now, out);
}

void Coordinator::OnEndpointRestarted(Instant now,
                                      const EndpointId& endpoint,
                                      CoordinatorActions& out) {
  // This doesn't end an earlier holder's order either: the event may be older
  // than a connection from that holder to the endpoint's new process.
  for (auto& [id, open] : this->orders) {
    if (open.order.endpoint == endpoint && open.stage == Stage::kSent) {
      open.next_send = now;
    }
  }
  this->TickLease(now, out);
  this->Drive(now, out);
}

void Coordinator::OnEndpointGone(Instant now,
                                 const EndpointId& endpoint,
                                 CoordinatorActions& out) {
  for (auto& [id, open] : this->orders) {
    if (open.order.endpoint == endpoint && !open.order.ToPlatform()) {
      open.stage = Stage::kFinished;
    }
  }
  this->TickLease(now, out);
  this->Drive(now, out);
}

void Coordinator::OnHosts(Instant now,
                          const std::vector<HostListing>& hosts,
                          CoordinatorActions& out) {
  this->listed.clear();
  std::ranges::transform(hosts, std::inserter(this->listed, this->listed.end()),
                         &HostListing::host);
  this->lease.SetRank(std::ranges::distance(
      this->listed.begin(),
      this->listed.lower_bound(this->options.lease.host)));
  const auto record_if_unlisted = [this, now](const HostId& holder) {
    if (!this->listed.contains(holder)) {
      this->unlisted_since.try_emplace(holder, now);
    }
  };
  for (const auto& [id, open] : this->orders) {
    record_if_unlisted(open.order.holder);
  }
  for (const auto& [number, open] : this->reports) {
    record_if_unlisted(open.open.holder);
  }
  std::erase_if(this->unlisted_since, [this](const auto& entry) {
    return this->listed.contains(entry.first);
  });
  this->AgeUsage(now);
  this->TickLease(now, out);
  this->Drive(now, out);
}

void Coordinator::OnReleased(Instant now,
                             const ReleaseNotice& release,
                             CoordinatorActions& out) {
  ReleaseNotice& latest = this->releases[release.host];
  if (latest.fencing < release.fencing) {
    latest = release;
  }
  this->OnPeer(now, release.host, release.incarnation, out);
}

void Coordinator::OnPeer(Instant now,
                         const HostId& host,
                         uint64_t incarnation,
                         CoordinatorActions& out) {
  uint64_t& latest = this->incarnations[host];
  latest = std::max(latest, incarnation);
  this->TickLease(now, out);
  this->Drive(now, out);
}

void Coordinator::StartRelease(Instant now, CoordinatorActions& out) {
  if (!std::exchange(this->stopping, true)) {
    this->release_until = now + this->options.release_grace;
  }
  this->TickLease(now, out);
  this->Drive(now, out);
}

std::vector<Order> Coordinator::OpenOrders() const {
  std::vector<Order> open;
  std::ranges::transform(this->orders, std::back_inserter(open),
                         [](const auto& entry) { return entry.second.order; });
  return open;
}

// Performs the steps that are due. Called at the end of every event.
void Coordinator::Drive(Instant now, CoordinatorActions& out) {
  if (this->phase == Phase::kIdle && this->stopping) {
    std::vector<LeaseAction> lease_actions;
    this->lease.Retire(lease_actions);
    this->phase = Phase::kReleased;
    this->ApplyLeaseActions(now, lease_actions, out);
  }
  if (this->retry != nullptr && !this->call && now >= this->retry_at) {
    (this->*std::exchange(this->retry, nullptr))(now, out);
  }
  if (!this->MayAct(now, this->fencing)) {
    return;
  }
  if (!this->stopping) {
    this->TakeOver(now);
    this->SendDue(now, out);
  }
  if (!this->call && this->retry == nullptr && now >= this->next_write) {
    this->Write(now, out);
  }
  const bool settled = !this->call && !this->AwaitsReplies();
  if (this->stopping && (settled || now >= this->release_until)) {
    this->EndTenure(now, out);
    this->Drive(now, out);
  }
}

// Called first at every event: a host that was suspended past the end of its
// lease must end the tenure before it does anything else.
void Coordinator::TickLease(Instant now, CoordinatorActions& out) {
  std::vector<LeaseAction> lease_actions;
  this->lease.OnTick(now, lease_actions);
  this->ApplyLeaseActions(now, lease_actions, out);
}

void Coordinator::ApplyLeaseActions(
    Instant now,
    const std::vector<LeaseAction>& lease_actions,
    CoordinatorActions& out) {
  std::ranges::for_each(lease_actions, [&out](const LeaseAction& action) {
    std::visit([&out](const auto& each) { out.emplace_back(each); }, action);
  });
  if (this->fencing != 0 && this->lease.Fencing() != this->fencing) {
    this->EndTenure(now, out);
  }
  if (this->fencing == 0 && this->lease.Held()) {
    this->BeginTenure(now, out);
  }
}

void Coordinator::BeginTenure(Instant now, CoordinatorActions& out) {
  assert(this->orders.empty() && this->reports.empty() &&
         "a tenure starts from the stored record alone");
  this->fencing = this->lease.Fencing();
  this->next_order = 1;
  this->last_release.reset();
  this->phase = Phase::kReadingRecord;
  LogInfo(kPart, "Lease taken.", {{"fencing", std::to_string(this->fencing)}});
  this->ReadRecord(now, out);
}

void Coordinator::EndTenure(Instant now, CoordinatorActions& out) {
  LogInfo(kPart, "Lease ended.", {{"fencing", std::to_string(this->fencing)}});
  this->last_release =
      ReleaseNotice{.host = this->options.lease.host,
                    .incarnation = this->options.lease.incarnation,
                    .fencing = this->fencing};
  this->fencing = 0;
  this->phase = Phase::kIdle;
  this->call.reset();
  this->retry = nullptr;
  this->orders.clear();
  this->reports.clear();
  this->stored = {};
  this->stored_revision = 0;
  this->last_window = {};
  this->next_announcement = now;
  this->AnnounceRelease(now, out);
}

void Coordinator::AnnounceRelease(Instant now, CoordinatorActions& out) {
  if (this->last_release && now >= this->next_announcement) {
    out.emplace_back(SendReleaseNotice{.release = *this->last_release});
    this->next_announcement = now + this->options.announce_every;
  }
}

// Takes over the intents of earlier holders. They are recorded under this
// tenure before they are sent again, so that the next successor can tell which
// holder to wait for. Otherwise a host that recorded an order in an early
// tenure would, as holder again, treat it as its own and send it, while the
// last host that repeated it may still be between its check and the send.
//
// An order to an endpoint may be taken over at once, as the endpoint
// deduplicates it by its id. The platform must not get calls from two hosts
// that both act as the holder, so for it the earlier holder must be known to
// have stopped.
void Coordinator::TakeOver(Instant now) {
  if (!this->options.record_takeover) {
    return;
  }
  const auto take_over = [this, now](auto& intent, Stage& stage,
                                     bool to_platform) {
    const bool foreign = intent.fencing != this->fencing;
    if (foreign && stage == Stage::kRecorded &&
        (!to_platform || this->HolderStopped(now, intent.fencing, intent.holder,
                                             intent.incarnation))) {
      intent.fencing = this->fencing;
      intent.holder = this->options.lease.host;
      intent.incarnation = this->options.lease.incarnation;
      stage = Stage::kProposed;
    }
  };
  for (auto& [id, open] : this->orders) {
    take_over(open.order, open.stage, open.order.ToPlatform());
  }
  for (auto& [number, open] : this->reports) {
    take_over(open.open, open.stage, true);
  }
}

// Whether this tenure may send an intent.
bool Coordinator::MaySendFor(Instant now,
                             int64_t fencing,
                             const HostId& holder,
                             uint64_t incarnation,
                             bool to_platform) const {
  const bool own = fencing == this->fencing;
  return own || (!this->options.record_takeover &&
                 (!to_platform ||
                  this->HolderStopped(now, fencing, holder, incarnation)));
}

void Coordinator::SendDue(Instant now, CoordinatorActions& out) {
  for (auto& [id, open] : this->orders) {
    if (now >= open.next_send) {
      this->SendOpenOrder(now, open, out);
    }
  }
  for (auto& [number, open] : this->reports) {
    if (now >= open.next_send) {
      this->SendReport(now, open, out);
    }
  }
}

void Coordinator::SendOpenOrder(Instant now,
                                OpenOrder& open,
                                CoordinatorActions& out) {
  const Order& order = open.order;
  const bool unrecorded = open.stage == Stage::kProposed;
  if (open.stage == Stage::kFinished ||
      (unrecorded && this->options.write_intent_first) ||
      !this->MaySendFor(now, order.fencing, order.holder, order.incarnation,
                        order.ToPlatform())) {
    return;
  }
  assert(this->MayAct(now, this->fencing) &&
         "no order is sent without the lease");
  assert((unrecorded || std::ranges::find(this->stored.orders, order) !=
                            this->stored.orders.end()) &&
         "an order is recorded under its sender's name before it is sent");
  if (!unrecorded) {
    open.stage = Stage::kSent;
  }
  open.next_send = now + this->options.resend_every;
  if (order.ToPlatform()) {
    out.emplace_back(
        SendEndpointOrder{.order = order, .fencing = this->fencing});
  } else {
    out.emplace_back(SendOrder{.order = order, .fencing = this->fencing});
  }
}

void Coordinator::SendReport(Instant now,
                             OpenReport& open,
                             CoordinatorActions& out) {
  const OpenWindow& window = open.open;
  const bool recorded =
      open.stage == Stage::kRecorded || open.stage == Stage::kSent;
  if (!recorded || !open.window ||
      !this->MaySendFor(now, window.fencing, window.holder, window.incarnation,
                        true)) {
    return;
  }
  assert(this->MayAct(now, this->fencing) &&
         "no report is sent without the lease");
  assert(std::ranges::find(this->stored.windows, window) !=
             this->stored.windows.end() &&
         "a window is recorded under its sender's name before it is reported");
  open.stage = Stage::kSent;
  open.next_send = now + this->options.resend_every;
  out.emplace_back(SendUsageReport{.window = window.window,
                                   .fencing = this->fencing,
                                   .figures = open.window->figures});
}

// Whether the holder under which an intent is recorded is known to have
// stopped, so that its host can't send anything of that tenure any more.
bool Coordinator::HolderStopped(Instant now,
                                int64_t fencing,
                                const HostId& holder,
                                uint64_t incarnation) const {
  if (!this->options.successor_waits) {
    return true;
  }
  if (holder == this->options.lease.host) {
    return true;  // an earlier tenure or an earlier process of this host
  }
  const auto release = this->releases.find(holder);
  if (release != this->releases.end() && release->second.fencing >= fencing) {
    return true;
  }
  const auto latest = this->incarnations.find(holder);
  if (latest != this->incarnations.end() && latest->second > incarnation) {
    return true;
  }
  const auto unlisted = this->unlisted_since.find(holder);
  return unlisted != this->unlisted_since.end() &&
         now - unlisted->second >= this->options.unlisted_timeout;
}

// Records when each source's counters last grew, and drops sources that ended
// long ago.
void Coordinator::AgeUsage(Instant now) {
  const auto update_age = [this, now](const auto& entry) {
    SourceAge& age = this->ages[entry.first];
    const int64_t total = TotalOf(entry.second);
    if (age.total < total) {
      age = {.total = total, .since = now};
    }
  };
  std::ranges::for_each(this->ledger.Sources(), update_age);
  std::ranges::for_each(this->last_window.counted, update_age);
  std::erase_if(this->ages, [this, now](const auto& entry) {
    const bool expired = now - entry.second.since >=
                         kUsageRetentionFactor * this->options.usage_retention;
    if (expired && this->SourceEnded(now, entry.first)) {
      this->ledger.Remove(entry.first);
      return true;
    }
    return false;
  });
}

// Whether a source's process is gone and its counters haven't grown for
// `usage_retention`.
bool Coordinator::SourceEnded(Instant now, const UsageSource& source) const {
  const auto age = this->ages.find(source);
  const auto latest = this->incarnations.find(source.host);
  const bool superseded =
      latest != this->incarnations.end() && latest->second > source.incarnation;
  return age != this->ages.end() &&
         now - age->second.since >= this->options.usage_retention &&
         (superseded || !this->listed.contains(source.host));
}

bool Coordinator::TargetBusy(const OrderRequest& request) const {
  const bool to_platform = request.kind == OrderKind::kChangeEndpoints;
  return std::ranges::any_of(this->orders, [&](const auto& entry) {
    const OpenOrder& open = entry.second;
    if (open.stage == Stage::kFinished) {
      return false;
    }
    // Orders of earlier holders are finished first, also after their takeover:
    // an earlier holder's copy may still arrive between this tenure's own
    // orders.
    const bool earlier =
        !open.order.id.Text().starts_with(std::to_string(this->fencing) + "-");
    return (to_platform && open.order.ToPlatform() && earlier) ||
           (!request.endpoint.Empty() &&
            open.order.endpoint == request.endpoint);
  });
}

bool Coordinator::AwaitsReplies() const {
  const auto sent = [](const auto& entry) {
    return entry.second.stage == Stage::kSent;
  };
  return std::ranges::any_of(this->orders, sent) ||
         std::ranges::any_of(this->reports, sent) ||
         this->Content() != this->stored;
}

}  // namespace hickorystand
