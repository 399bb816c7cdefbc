#include "decisions/limit_shares.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>
#include <utility>

namespace hickorystand {
namespace {

struct StateName {
  HolderState state;
  std::string_view name;
};

constexpr std::array kStateNames = {
    StateName{HolderState::kJoining, "joining"},
    StateName{HolderState::kActive, "active"},
    StateName{HolderState::kLeaving, "leaving"}};

}  // namespace

std::string EncodeHolders(const std::vector<LimitHolder>& holders) {
  std::string text;
  for (const LimitHolder& holder : holders) {
    const auto* entry =
        std::ranges::find(kStateNames, holder.state, &StateName::state);
    text.append(entry->name).append(" ").append(holder.host.Text());
    text += '\n';
  }
  return text;
}

Result<std::vector<LimitHolder>> DecodeHolders(const std::string& text) {
  std::vector<LimitHolder> holders;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    const size_t space = line.find(' ');
    const auto* entry = std::ranges::find(
        kStateNames, std::string_view(line).substr(0, space), &StateName::name);
    if (space == std::string::npos || space + 1 == line.size() ||
        entry == kStateNames.end()) {
      return Fail(
          ErrorKind::kBadRequest,
          "malformed limit holders: expected lines of \"<state> <host>\"");
    }
    holders.push_back(
        {.host = HostId(line.substr(space + 1)), .state = entry->state});
  }
  return holders;
}

LimitShares::LimitShares(HostId self, LimitSharesOptions options)
    : self(std::move(self)), options(std::move(options)) {}

void LimitShares::Start() {
  this->started = true;
  this->record_known = false;
  this->written_since_start = false;
  this->active = false;
  this->confirmed.reset();
  this->join_revision = 0;
  this->next_call = {};
}

void LimitShares::Stop() {
  this->started = false;
  this->active = false;
  this->confirmed.reset();
  this->next_call = {};
}

const LimitHolder* LimitShares::Find(const HostId& host) const {
  const auto found = std::ranges::find(this->holders, host, &LimitHolder::host);
  return found == this->holders.end() ? nullptr : &*found;
}

StoreTransaction LimitShares::Write(std::vector<LimitHolder> changed) {
  this->pending = Call::kWrite;
  this->proposed = std::move(changed);
  return {
      .conditions = {{.key = this->options.key, .revision = this->revision}},
      .then = {StorePut(this->options.key, EncodeHolders(this->proposed))},
      .otherwise = {StoreGet(this->options.key)}};
}

std::optional<StoreTransaction> LimitShares::Next(
    Instant now,
    const std::set<HostId>& present,
    bool cleans_up) {
  if (this->pending || (!this->started && !this->listed)) {
    return {};
  }
  if (this->record_known) {
    if (!this->started) {
      std::vector<LimitHolder> others = this->holders;
      std::erase_if(others, [this](const LimitHolder& holder) {
        return holder.host == this->self;
      });
      return now >= this->next_call ? std::optional(this->Write(others))
                                    : std::nullopt;
    }
    if (auto joining = this->Join(now, present)) {
      return joining;
    }
    if (cleans_up && this->active) {
      if (auto cleaned = this->CleanUp(now, present)) {
        return cleaned;
      }
    }
  }
  if (now < this->next_call) {
    return {};
  }
  this->pending = Call::kRead;
  return StoreTransaction{.then = {StoreGet(this->options.key)}};
}

std::optional<StoreTransaction> LimitShares::Join(
    Instant now,
    const std::set<HostId>& present) {
  const LimitHolder* own = this->Find(this->self);
  std::vector<LimitHolder> changed = this->holders;
  const auto entry = std::ranges::find(changed, this->self, &LimitHolder::host);
  if (own == nullptr) {
    // With no holder in the record, no other host has a share.
    const HolderState first =
        changed.empty() ? HolderState::kActive : HolderState::kJoining;
    if (changed.empty() && this->options.seed_listed_hosts) {
      for (const HostId& host : present) {
        if (host != this->self) {
          changed.push_back({.host = host, .state = first});
        }
      }
    }
    changed.push_back({.host = this->self, .state = first});
    return this->Write(std::move(changed));
  }
  if (own->state == HolderState::kLeaving) {
    entry->state = this->active ? HolderState::kActive : HolderState::kJoining;
    return this->Write(std::move(changed));
  }
  if (!this->written_since_start) {
    return this->Write(std::move(changed));
  }
  if (own->state == HolderState::kJoining && this->MayActivate(now)) {
    entry->state = HolderState::kActive;
    return this->Write(std::move(changed));
  }
  return {};
}

bool LimitShares::MayActivate(Instant now) const {
  const bool others_ended =
      now - this->joined_at >=
      this->options.share_validity + this->options.clock_margin;
  return others_ended ||
         std::ranges::all_of(this->holders, [this](const LimitHolder& holder) {
           const auto found = this->acknowledged.find(holder.host);
           return holder.host == this->self ||
                  (found != this->acknowledged.end() &&
                   found->second >= this->join_revision);
         });
}

std::optional<StoreTransaction> LimitShares::CleanUp(
    Instant now,
    const std::set<HostId>& present) {
  std::vector<LimitHolder> changed = this->holders;
  const auto ended = [&](const LimitHolder& holder) {
    const auto since = this->leaving_since.find(holder.host);
    return since != this->leaving_since.end() &&
           now - since->second >=
               this->options.share_validity + this->options.clock_margin;
  };
  std::erase_if(changed, ended);
  for (LimitHolder& holder : changed) {
    if (present.contains(holder.host) || holder.host == this->self) {
      this->absent_since.erase(holder.host);
      continue;
    }
    const Instant since =
        this->absent_since.try_emplace(holder.host, now).first->second;
    if (now - since >= this->options.absence_timeout) {
      holder.state = HolderState::kLeaving;
    }
  }
  return changed == this->holders
             ? std::nullopt
             : std::optional(this->Write(std::move(changed)));
}

void LimitShares::OnReply(Instant now,
                          Instant requested_at,
                          const StoreReply& reply) {
  const std::optional<Call> call = std::exchange(this->pending, std::nullopt);
  if (!call) {
    return;
  }
  if (reply.outcome == StoreOutcome::kUnknown ||
      reply.outcome == StoreOutcome::kNotApplied) {
    this->next_call = now + this->options.retry_interval;
    if (call == Call::kWrite) {
      this->record_known = false;  // the write may have taken effect
      this->listed = true;
    }
    return;
  }
  if (call == Call::kRead || reply.outcome == StoreOutcome::kOtherwise) {
    this->ApplyRecord(now, requested_at, FindRecord(reply, this->options.key));
    return;
  }
  this->revision = reply.revision;
  this->holders = this->proposed;
  this->listed = this->Find(this->self) != nullptr;
  this->next_call = requested_at + this->options.poll_interval;
  if (!this->started) {
    this->record_known = this->listed;
    return;
  }
  this->written_since_start = true;
  this->ApplyHolders(now, requested_at);
}

void LimitShares::ApplyRecord(Instant now,
                              Instant requested_at,
                              const StoreRecord* record) {
  // A malformed record gives no host a share. It stands for one leaving holder
  // that never acknowledges, so the next joining host replaces it and becomes
  // active only after all shares of the former holders have expired.
  const auto stored =
      record == nullptr
          ? std::vector<LimitHolder>{}
          : DecodeHolders(record->value)
                .value_or(std::vector<LimitHolder>{
                    {.host = HostId("?"), .state = HolderState::kLeaving}});
  this->revision = record == nullptr ? 0 : record->mod_revision;
  this->holders = stored;
  this->record_known = true;
  this->listed = this->Find(this->self) != nullptr;
  this->next_call =
      this->started ? requested_at + this->options.poll_interval : Instant{};
  this->ApplyHolders(now, requested_at);
}

void LimitShares::ApplyHolders(Instant now, Instant requested_at) {
  this->record_known = true;
  const LimitHolder* own = this->Find(this->self);
  if (own == nullptr) {
    this->join_revision = 0;
    this->active = false;
    this->confirmed.reset();
  } else if (this->join_revision == 0) {
    this->join_revision = this->revision;
    this->joined_at = now;
  }
  if (this->started && this->written_since_start && own != nullptr &&
      own->state == HolderState::kActive) {
    this->active = true;
    this->confirmed =
        std::max(this->confirmed.value_or(requested_at), requested_at);
  }
  std::map<HostId, Instant> leaving;
  for (const LimitHolder& holder : this->holders) {
    if (holder.state == HolderState::kLeaving) {
      const auto previous = this->leaving_since.find(holder.host);
      leaving[holder.host] =
          previous == this->leaving_since.end() ? now : previous->second;
    }
  }
  this->leaving_since = std::move(leaving);
}

void LimitShares::OnPeerRevision(const HostId& host, int64_t revision) {
  int64_t& newest = this->acknowledged[host];
  newest = std::max(newest, revision);
  if (this->started && revision > this->revision) {
    this->next_call = {};
  }
}

double LimitShares::OwnShare(Instant now) const {
  const bool holds = this->active && this->confirmed &&
                     now - *this->confirmed < this->options.share_validity;
  return holds ? this->HolderShare() : 0;
}

double LimitShares::HolderShare() const {
  return this->holders.empty() ? 0
                               : 1 / static_cast<double>(this->holders.size());
}

std::optional<Duration> LimitShares::Age(Instant now) const {
  return this->confirmed ? std::optional(now - *this->confirmed) : std::nullopt;
}

}  // namespace hickorystand
