#include "limits/limit_gate.h"

#include <algorithm>
#include <utility>

#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "limits";

std::string HoldersText(const std::vector<LimitHolder>& holders) {
  std::string text = EncodeHolders(holders);
  std::ranges::replace(text, '\n', ';');
  return text;
}

}  // namespace

LimitGate::LimitGate(LimitGateOptions options,
                     const Clock& clock,
                     KeyValueStore& store,
                     Metrics& metrics,
                     LimitGateHandlers handlers)
    : options(std::move(options)),
      clock(&clock),
      store(&store),
      metrics(&metrics),
      handlers(std::move(handlers)),
      shares(this->options.self, this->options.shares),
      limiter(this->options.self, this->options.limits) {}

LimitGate::~LimitGate() = default;

void LimitGate::SetLimits(const AccountLimits& changed) {
  std::erase_if(this->used, [&](const auto& entry) {
    const auto before = this->limits.find(entry.first);
    const auto after = changed.find(entry.first);
    return after == changed.end() || before == this->limits.end() ||
           before->second.unit != after->second.unit;
  });
  this->limits = changed;
  this->limited = !this->limits.empty();
  if (this->limited && !this->timer) {
    this->timer = Timer::Every(this->options.tick, [this] { this->Tick(); });
  }
  this->Tick();
  this->limiter.SetLimits(this->clock->Now(), this->limits);
  this->Flush();
}

void LimitGate::Start() {
  this->started = true;
  this->Tick();
}

void LimitGate::Stop() {
  this->started = false;
  this->Tick();
}

// Starts or stops the share as needed, and runs all due work.
void LimitGate::Tick() {
  const bool wanted = this->limited && this->started;
  if (wanted != std::exchange(this->holding, wanted)) {
    if (wanted) {
      this->shares.Start();
    } else {
      this->shares.Stop();
    }
  }
  if (!this->timer) {
    return;
  }
  this->CallStore();
  this->RefreshPeers();
  this->limiter.Tick(this->clock->Now());
  this->Flush();
}

void LimitGate::RefreshPeers() {
  const Instant now = this->clock->Now();
  this->limiter.SetPeers(now, this->handlers.linked());
  const double own = this->shares.OwnShare(now);
  this->limiter.SetShare(now, own, this->shares.HolderShare());
  if (own != std::exchange(this->logged_share, own)) {
    LogInfo(kPart, "Share of the accounts' limits changed.",
            {{"share", std::to_string(own)},
             {"revision", std::to_string(this->shares.Revision())},
             {"holders", HoldersText(this->shares.Holders())}});
  }
  this->SendRevision();
}

void LimitGate::CallStore() {
  const std::vector<HostId> linked = this->handlers.linked();
  const std::vector<HostId> listed = this->handlers.listed();
  std::set<HostId> present(linked.begin(), linked.end());
  present.insert(listed.begin(), listed.end());
  const Instant requested_at = this->clock->Now();
  const auto due =
      this->shares.Next(requested_at, present, this->handlers.cleans_up());
  if (!due) {
    return;
  }
  this->store->Transact(
      *due, [this, requested_at,
             weak = std::weak_ptr(this->alive)](const StoreReply& reply) {
        if (!weak.expired()) {
          this->OnStoreReply(requested_at, reply);
        }
      });
}

void LimitGate::OnStoreReply(Instant requested_at, const StoreReply& reply) {
  this->shares.OnReply(this->clock->Now(), requested_at, reply);
  this->RefreshPeers();
  this->CallStore();
}

// Acknowledges the newest record read to the linked hosts; a joining host gets
// its share only when all other holders have done so.
void LimitGate::SendRevision() {
  const int64_t revision = this->shares.Revision();
  const std::vector<HostId> linked = this->handlers.linked();
  std::erase_if(this->sent_revisions, [&linked](const auto& entry) {
    return std::ranges::find(linked, entry.first) == linked.end();
  });
  if (!this->holding) {
    return;
  }
  for (const HostId& host : linked) {
    int64_t& newest = this->sent_revisions[host];
    if (newest < revision &&
        this->handlers.send(host, {.revision = revision})) {
      newest = revision;
    }
  }
}

std::optional<LimitVerdict> LimitGate::Take(LimitRequest& request,
                                            VerdictCallback on_verdict) {
  request.number = ++this->last_number;
  const auto verdict = this->limiter.Take(this->clock->Now(), request);
  if (!verdict) {
    this->waiting[request.number] = {.request = request,
                                     .on_verdict = std::move(on_verdict)};
  } else if (verdict->granted) {
    this->RecordUsage(request.account, request.cost);
  }
  this->Flush();
  return verdict;
}

void LimitGate::Cancel(int64_t number) {
  if (this->waiting.erase(number) > 0) {
    this->limiter.Cancel(number);
  }
}

void LimitGate::Refund(const AccountId& account, int64_t cost) {
  this->limiter.Refund(this->clock->Now(), account, cost);
  this->RecordUsage(account, -cost);
  this->Flush();
}

void LimitGate::Refund(const AccountId& account, LimitUnit unit, int64_t cost) {
  const auto limit = this->limits.find(account);
  if (limit != this->limits.end() && limit->second.unit == unit) {
    this->Refund(account, cost);
  }
}

void LimitGate::RecordUsage(const AccountId& account, int64_t cost) {
  if (this->limits.contains(account)) {
    this->used.try_emplace(account, this->Window())
        .first->second.Add(this->clock->Now(), cost);
  }
}

std::vector<LimitUsage> LimitGate::AccountUsage() const {
  const Instant now = this->clock->Now();
  std::vector<LimitUsage> usages;
  for (const auto& [account, limit] : this->limits) {
    const auto used = this->used.find(account);
    usages.push_back(
        {.account = account,
         .limit = limit,
         .used = used == this->used.end() ? 0 : used->second.Sum(now),
         .available =
             static_cast<int64_t>(this->limiter.TokensHeld(now, account))});
  }
  return usages;
}

void LimitGate::OnMessage(const HostId& from, const LimitTokens& message) {
  const Instant now = this->clock->Now();
  const bool behind = message.revision > this->shares.Revision();
  this->shares.OnPeerRevision(from, message.revision);
  if (behind && this->holding) {
    this->CallStore();
  }
  for (const TokenGrant& grant : message.grants) {
    this->limiter.OnGrant(now, from, grant);
  }
  for (const TokenWant& want : message.wants) {
    this->limiter.OnWant(now, from, want);
  }
  this->Flush();
}

// Sends the pending messages and delivers the pending decisions. A request may
// end in its callback and return tokens, which adds effects, so this repeats
// until there are none.
void LimitGate::Flush() {
  LimitEffects effects = this->limiter.TakeEffects();
  while (!effects.Empty()) {
    std::map<HostId, LimitTokens> messages;
    for (auto& [host, want] : effects.wants) {
      messages[host].wants.push_back(std::move(want));
    }
    for (auto& [host, grant] : effects.grants) {
      messages[host].grants.push_back(std::move(grant));
    }
    for (auto& [host, message] : messages) {
      message.revision = this->shares.Revision();
      this->handlers.send(host, message);
      this->metrics->Add("limit_messages_sent_total", 1);
    }
    for (const auto& [number, verdict] : effects.decided) {
      const auto found = this->waiting.extract(number);
      if (found.empty()) {
        continue;
      }
      const Waiting& waiter = found.mapped();
      if (verdict.granted) {
        this->RecordUsage(waiter.request.account, waiter.request.cost);
      }
      waiter.on_verdict(verdict);
    }
    effects = this->limiter.TakeEffects();
  }
  if (this->waiting.empty()) {
    this->busy_timer.reset();
  } else if (!this->busy_timer) {
    this->busy_timer =
        Timer::Every(this->options.busy_tick, [this] { this->Tick(); });
  }
}

void LimitGate::SetMetrics() {
  if (!this->limited) {
    return;
  }
  const Instant now = this->clock->Now();
  this->metrics->Set("limit_share", this->shares.OwnShare(now));
  if (const auto age = this->shares.Age(now)) {
    this->metrics->Set("limit_share_age_seconds", ToSeconds(*age));
  }
  for (const auto& [account, limit] : this->limits) {
    this->metrics->Set("limit_tokens_held",
                       this->limiter.TokensHeld(now, account),
                       {{"account", account.Text()}});
  }
}

}  // namespace hickorystand
