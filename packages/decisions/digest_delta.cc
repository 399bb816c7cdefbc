#include "decisions/digest_delta.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <ranges>
#include <utility>

namespace hickorystand {
namespace {

using Values = SentEntries::Values;

// Flags of an endpoint's encoded state. The first is always set, so that the
// value differs from 0, which means that there is no entry.
constexpr int64_t kPresentBit = 1;
constexpr int64_t kLeavingBit = 2;
constexpr int64_t kDownBit = 4;

constexpr int64_t InUnits(int64_t amount, int64_t unit) {
  return (amount + unit - 1) / unit;
}

std::map<std::string, Values> OutstandingValues(const Digest& digest) {
  std::map<std::string, Values> values;
  for (const auto& entry : digest.outstanding) {
    values[entry.endpoint.Text()] = {
        InUnits(entry.prompt_tokens, kOutstandingUnit), entry.requests};
  }
  return values;
}

std::map<std::string, Values> ServedValues(const Digest& digest) {
  std::map<std::string, Values> values;
  for (const auto& entry : digest.served) {
    values[entry.account.Text()] = {InUnits(entry.cost, kServedUnit),
                                    entry.waiting};
  }
  return values;
}

std::map<std::string, Values> EndpointValues(const Digest& digest) {
  std::map<std::string, Values> values;
  for (const auto& entry : digest.endpoints) {
    values[entry.endpoint.Text()] = {static_cast<int64_t>(entry.incarnation),
                                     kPresentBit |
                                         (entry.leaving ? kLeavingBit : 0) |
                                         (entry.down ? kDownBit : 0)};
  }
  return values;
}

EndpointOutstanding MakeOutstanding(const std::string& id, Values values) {
  return {.endpoint = EndpointId(id),
          .prompt_tokens = values.first * kOutstandingUnit,
          .requests = values.second};
}

AccountServed MakeServed(const std::string& id, Values values) {
  return {.account = AccountId(id),
          .cost = values.first * kServedUnit,
          .waiting = values.second};
}

EndpointStatus MakeStatus(const std::string& id, Values values) {
  return {.endpoint = EndpointId(id),
          .incarnation = static_cast<uint64_t>(values.first),
          .leaving = (values.second & kLeavingBit) != 0,
          .down = (values.second & kDownBit) != 0};
}

// Decodes the entries that are not empty, sorted by id.
template <typename Made, typename Pairs>
std::vector<Made> MakeEntries(const Pairs& pairs,
                              Made (*make)(const std::string&, Values)) {
  std::vector<Made> entries;
  for (const auto& [id, values] : pairs) {
    if (values != Values{}) {
      entries.push_back(make(id, values));
    }
  }
  std::ranges::sort(entries);
  return entries;
}

}  // namespace

Digest NormaliseDigest(Digest digest) {
  digest.outstanding = MakeEntries(OutstandingValues(digest), &MakeOutstanding);
  digest.served = MakeEntries(ServedValues(digest), &MakeServed);
  digest.endpoints = MakeEntries(EndpointValues(digest), &MakeStatus);
  std::ranges::sort(digest.suspicions);
  return digest;
}

int32_t SentEntries::IndexFor(const std::string& id, uint64_t sequence) {
  const auto known = this->indexes.find(id);
  if (known != this->indexes.end()) {
    return known->second;
  }
  auto index = static_cast<int32_t>(this->entries.size());
  if (this->free_indexes.empty()) {
    assert(
        index < kMaxDigestEntries &&
        "more ids than kMaxDigestEntries; the configuration exceeds its limit");
    this->entries.emplace_back();
  } else {
    index = *this->free_indexes.begin();
    this->free_indexes.erase(this->free_indexes.begin());
  }
  this->entries[index] = {.id = id, .assigned_at = sequence, .values = {}};
  this->indexes.emplace(id, index);
  return index;
}

void SentEntries::Update(const std::map<std::string, Values>& present,
                         uint64_t sequence) {
  const auto set = [&](Entry& entry, Values values) {
    if (entry.values != values) {
      entry.values = values;
      entry.changed_at = sequence;
    }
  };
  for (auto& entry : this->entries) {
    if (!present.contains(entry.id)) {
      set(entry, {});
    }
  }
  for (const auto& [id, values] : present) {
    if (values != Values{} || this->indexes.contains(id)) {
      set(this->entries[this->IndexFor(id, sequence)], values);
    }
  }
}

std::vector<DigestEntry> SentEntries::Since(uint64_t base) const {
  std::vector<DigestEntry> changed;
  for (size_t i = 0; i < this->entries.size(); ++i) {
    const Entry& entry = this->entries[i];
    if (!entry.id.empty() && entry.changed_at > base) {
      changed.push_back({.index = static_cast<int32_t>(i),
                         .id = entry.assigned_at > base ? entry.id : "",
                         .first = entry.values.first,
                         .second = entry.values.second});
    }
  }
  return changed;
}

void SentEntries::FreeRemoved(uint64_t acknowledged) {
  for (size_t i = 0; i < this->entries.size(); ++i) {
    Entry& entry = this->entries[i];
    if (!entry.id.empty() && entry.values == Values{} &&
        entry.changed_at <= acknowledged) {
      this->indexes.erase(entry.id);
      this->free_indexes.insert(static_cast<int32_t>(i));
      entry = {};
    }
  }
}

size_t SentEntries::RemovedCount() const {
  return std::ranges::count_if(this->entries, [](const Entry& entry) {
    return !entry.id.empty() && entry.values == Values{};
  });
}

void DigestSender::Update(const Digest& digest) {
  if (digest.incarnation != this->state.incarnation) {
    assert(digest.incarnation > this->state.incarnation);
    *this = DigestSender(this->options);
  }
  const uint64_t sequence = this->state.sequence + 1;
  this->outstanding.Update(OutstandingValues(digest), sequence);
  this->served.Update(ServedValues(digest), sequence);
  this->endpoints.Update(EndpointValues(digest), sequence);
  auto suspicions = digest.suspicions;
  std::ranges::sort(suspicions);
  if (suspicions != this->state.suspicions) {
    this->suspicions_changed_at = sequence;
  }
  this->state = {.host = digest.host,
                 .data_centre = digest.data_centre,
                 .incarnation = digest.incarnation,
                 .sequence = sequence,
                 .configuration_revision = digest.configuration_revision,
                 .leaving = digest.leaving,
                 .suspicions = std::move(suspicions)};
  this->FreeRemovedEntries();
}

void DigestSender::FreeRemovedEntries() {
  const bool too_many =
      this->outstanding.RemovedCount() > this->options.max_removed ||
      this->served.RemovedCount() > this->options.max_removed ||
      this->endpoints.RemovedCount() > this->options.max_removed;
  uint64_t acknowledged = this->state.sequence;
  for (auto& [id, receiver] : this->receivers) {
    if (too_many && receiver.acked + 1 < this->state.sequence) {
      receiver.acked = receiver.sent = 0;
    }
    // A receiver whose next delta is the full state needs no removed entries.
    // One that was sent a state but hasn't acknowledged it does, as it may hold
    // entries that have been removed since.
    if (receiver.sent > 0) {
      acknowledged = std::min(acknowledged, receiver.acked);
    }
  }
  if (acknowledged <= this->options.removed_retention) {
    return;
  }
  acknowledged -= this->options.removed_retention;
  this->outstanding.FreeRemoved(acknowledged);
  this->served.FreeRemoved(acknowledged);
  this->endpoints.FreeRemoved(acknowledged);
}

void DigestSender::OnConnected(const HostId& receiver,
                               uint64_t receiver_incarnation) {
  Receiver& state = this->receivers[receiver];
  if (state.incarnation != receiver_incarnation) {
    state = {.incarnation = receiver_incarnation};
  }
  state.sent = state.acked;
}

void DigestSender::OnAck(const HostId& receiver, const DigestAck& ack) {
  const auto found = this->receivers.find(receiver);
  if (found == this->receivers.end()) {
    return;
  }
  Receiver& state = found->second;
  // An ack below the last full state or the last ack can't be a base: entries
  // removed after that sequence may have been freed, and no delta would remove
  // them at the receiver.
  const bool usable =
      ack.incarnation == this->state.incarnation &&
      ack.sequence <= this->state.sequence &&
      ack.sequence >= std::max(state.full_sent_at, state.acked) &&
      state.sent > 0;
  if (usable) {
    state.acked = ack.sequence;
  } else if (ack.gap) {
    state.acked = 0;
  }
  if (ack.gap) {
    state.sent = state.acked;
  }
}

void DigestSender::OnDropped(const HostId& receiver) {
  const auto found = this->receivers.find(receiver);
  if (found != this->receivers.end()) {
    found->second.sent = found->second.acked;
  }
}

DigestDelta DigestSender::Next(const HostId& receiver) {
  assert(this->state.sequence > 0 && "Next() needs an Update() first");
  Receiver& state = this->receivers[receiver];
  const uint64_t base = std::exchange(state.sent, this->state.sequence);
  if (base == 0) {
    state.full_sent_at = this->state.sequence;
  }
  DigestDelta delta{
      .host = this->state.host,
      .data_centre = this->state.data_centre,
      .incarnation = this->state.incarnation,
      .sequence = this->state.sequence,
      .base = base,
      .configuration_revision = this->state.configuration_revision,
      .leaving = this->state.leaving,
      .outstanding = this->outstanding.Since(base),
      .served = this->served.Since(base),
      .endpoints = this->endpoints.Since(base),
      .suspicions = {}};
  if (this->suspicions_changed_at > base) {
    delta.suspicions = this->state.suspicions;
  }
  return delta;
}

bool DigestReceiver::ApplyEntries(const std::vector<DigestEntry>& entries,
                                  Slots& slots) {
  for (const auto& entry : entries) {
    const auto index = static_cast<size_t>(entry.index);
    if (entry.index < 0 || entry.index >= kMaxDigestEntries) {
      return false;
    }
    const bool bound = index < slots.size() && !slots[index].id.empty();
    if (entry.id.empty() && !bound) {
      return false;
    }
    if (index >= slots.size()) {
      slots.resize(index + 1);
    }
    if (!entry.id.empty()) {
      slots[index].id = entry.id;
    }
    slots[index].values = {entry.first, entry.second};
  }
  return true;
}

DeltaOutcome DigestReceiver::Apply(const DigestDelta& delta) {
  const auto order = std::pair(delta.incarnation, delta.sequence);
  if (order <= std::pair(this->current.incarnation, this->current.sequence)) {
    return DeltaOutcome::kStale;
  }
  if (delta.base != 0 && (delta.incarnation != this->current.incarnation ||
                          delta.base > this->current.sequence)) {
    this->gap = true;
    return DeltaOutcome::kGap;
  }
  if (delta.base == 0) {
    *this = DigestReceiver();
  }
  if (!ApplyEntries(delta.outstanding, this->outstanding) ||
      !ApplyEntries(delta.served, this->served) ||
      !ApplyEntries(delta.endpoints, this->endpoints)) {
    *this = DigestReceiver();
    this->gap = true;
    return DeltaOutcome::kMalformed;
  }
  this->gap = false;
  this->current.host = delta.host;
  this->current.data_centre = delta.data_centre;
  this->current.incarnation = delta.incarnation;
  this->current.sequence = delta.sequence;
  this->current.configuration_revision = delta.configuration_revision;
  this->current.leaving = delta.leaving;
  if (delta.suspicions) {
    this->current.suspicions = *delta.suspicions;
  }
  this->Rebuild();
  return DeltaOutcome::kApplied;
}

void DigestReceiver::Rebuild() {
  const auto pairs = [](const Slots& slots) {
    return slots | std::views::transform([](const Slot& slot) {
             return std::pair<const std::string&, Values>(slot.id, slot.values);
           });
  };
  this->current.outstanding =
      MakeEntries(pairs(this->outstanding), &MakeOutstanding);
  this->current.served = MakeEntries(pairs(this->served), &MakeServed);
  this->current.endpoints = MakeEntries(pairs(this->endpoints), &MakeStatus);
}

DigestAck DigestReceiver::Ack() const {
  return {.incarnation = this->current.incarnation,
          .sequence = this->current.sequence,
          .gap = this->gap};
}

}  // namespace hickorystand
