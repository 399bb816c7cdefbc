#include "decisions/membership.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>
#include <ranges>
#include <set>
#include <utility>

namespace hickorystand {

const char* HostStateName(HostState state) {
  constexpr std::array kNames = {"live", "suspected", "leaving", "gone"};
  return kNames.at(static_cast<size_t>(state));
}

Membership::Membership(MembershipOptions options)
    : options(std::move(options)) {
  assert(!this->options.self.host.Empty() && "set MembershipOptions::self");
  assert(this->options.incarnation > 0 && "set the incarnation");
  assert(this->options.suspect_after < this->options.gone_after);
}

void Membership::OnHostList(Instant now, const std::vector<ListedHost>& list) {
  std::set<HostId> listed;
  std::set<SocketAddress> listed_addresses;
  for (const auto& line : list) {
    listed.insert(line.peer.host);
    listed_addresses.insert(line.peer.address);
    if (line.peer.host == this->options.self.host) {
      continue;
    }
    const auto [position, inserted] = this->records.try_emplace(line.peer.host);
    Record& record = position->second;
    if (inserted || !record.listed) {
      record.last_message = std::max(record.last_message, now);
    }
    record.peer = line.peer;
    record.listed = true;
    if (line.leaving && !record.listed_leaving) {
      record.leaving = true;
    }
    record.listed_leaving = line.leaving;
  }
  for (auto& [id, record] : this->records) {
    record.listed = listed.contains(id);
    record.listed_leaving &= record.listed;
  }
  std::erase_if(this->records, [&](const auto& entry) {
    const Record& record = entry.second;
    // Its address belongs to another host now, so it can't return there.
    return !record.listed && listed_addresses.contains(record.peer.address) &&
           now - record.last_message > this->options.suspect_after;
  });
}

SenderStatus Membership::OnHostMessage(Instant now,
                                       const HostId& host,
                                       const DataCentreId& data_centre,
                                       uint64_t incarnation,
                                       bool leaving) {
  if (host == this->options.self.host) {
    this->superseded |= incarnation > this->options.incarnation;
    return SenderStatus::kSelf;
  }
  Record& record = this->records[host];
  if (incarnation < record.incarnation) {
    return SenderStatus::kSuperseded;
  }
  if (incarnation > record.incarnation) {
    // The first known incarnation keeps the list's "leaving". A later one is a
    // new process, which the list may not show yet.
    if (record.incarnation != 0) {
      record.leaving = false;
    }
    record.incarnation = incarnation;
  }
  record.peer.host = host;
  record.peer.data_centre = data_centre;
  record.last_message = now;
  // Within one incarnation "leaving" is final: a "live" after it comes from a
  // delayed message or the lagging list.
  record.leaving =
      leaving || (this->options.leaving_is_final && record.leaving);
  return SenderStatus::kCurrent;
}

void Membership::OnLinkDown(Instant now, const HostId& host) {
  const auto found = this->records.find(host);
  if (found == this->records.end()) {
    return;
  }
  auto& failures = found->second.link_failures;
  failures.push_back(now);
  while (failures.size() > static_cast<size_t>(this->options.flap_limit)) {
    failures.pop_front();
  }
}

bool Membership::Flapping(Instant now, const Record& record) const {
  return record.link_failures.size() >=
             static_cast<size_t>(this->options.flap_limit) &&
         now - record.link_failures.front() < this->options.flap_window;
}

HostState Membership::State(Instant now, const Record& record) const {
  const Duration silence = now - record.last_message;
  const bool contacted = record.incarnation != 0;
  // Remote hosts without a link to this one have the state that is listed.
  if (!this->Local(record) && !record.link_wanted && record.listed) {
    return record.leaving ? HostState::kLeaving : HostState::kLive;
  }
  if (silence > this->options.gone_after &&
      (!record.listed || record.leaving)) {
    return HostState::kGone;
  }
  if (!record.listed && !contacted) {
    return HostState::kGone;
  }
  if (record.leaving) {
    return HostState::kLeaving;
  }
  return silence > this->options.suspect_after ? HostState::kSuspected
                                               : HostState::kLive;
}

HostState Membership::StateOf(Instant now, const HostId& host) const {
  const auto found = this->records.find(host);
  return found == this->records.end() ? HostState::kGone
                                      : this->State(now, found->second);
}

std::vector<Member> Membership::Members(Instant now) {
  std::erase_if(this->records, [&](const auto& entry) {
    return this->State(now, entry.second) == HostState::kGone &&
           !entry.second.listed;
  });
  std::vector<Member> members;
  for (const auto& [id, record] : this->records) {
    const HostState state = this->State(now, record);
    if (state != HostState::kGone) {
      members.push_back({.peer = record.peer,
                         .incarnation = record.incarnation,
                         .state = state,
                         .flapping = this->Flapping(now, record)});
    }
  }
  return members;
}

std::vector<HostId> Membership::EligibleHosts(
    Instant now,
    const DataCentreId& data_centre) const {
  std::vector<HostId> eligible;
  for (const auto& [id, record] : this->records) {
    if (record.peer.data_centre == data_centre &&
        this->State(now, record) == HostState::kLive &&
        !this->Flapping(now, record)) {
      eligible.push_back(id);
    }
  }
  if (data_centre == this->options.self.data_centre && !this->draining) {
    eligible.push_back(this->options.self.host);
  }
  std::ranges::sort(eligible);
  return eligible;
}

std::vector<HostId> Membership::Representatives(
    Instant now,
    const DataCentreId& data_centre) const {
  auto eligible = this->EligibleHosts(now, data_centre);
  eligible.resize(std::min(eligible.size(), kRepresentatives));
  return eligible;
}

size_t Membership::Rank(Instant now) const {
  const auto own = this->Representatives(now, this->options.self.data_centre);
  const auto place = std::ranges::find(own, this->options.self.host);
  return place == own.end() ? kNoRank
                            : static_cast<size_t>(place - own.begin());
}

HostId Membership::Deputy(Instant now, const HostId& coordinator) const {
  const auto eligible =
      this->EligibleHosts(now, this->options.self.data_centre);
  const auto other = std::ranges::find_if(
      eligible, [&](const HostId& host) { return host != coordinator; });
  return other == eligible.end() ? HostId() : *other;
}

std::vector<PeerHost> Membership::Links(Instant now) {
  const size_t rank = this->Rank(now);
  std::set<HostId> wanted;
  std::set<DataCentreId> others;
  for (const auto& [id, record] : this->records) {
    if (!this->Local(record)) {
      others.insert(record.peer.data_centre);
    } else if (this->State(now, record) != HostState::kGone) {
      wanted.insert(id);
    }
  }
  for (const auto& data_centre : others) {
    const auto representatives = this->Representatives(now, data_centre);
    if (rank != kNoRank && !representatives.empty()) {
      wanted.insert(
          representatives[std::min(rank, representatives.size() - 1)]);
    }
  }
  std::vector<PeerHost> links;
  for (auto& [id, record] : this->records) {
    const bool want = wanted.contains(id);
    // A silent host of another data centre is retried only after `gone_after`;
    // until then the next host of its data centre is linked instead.
    const bool in_retry_delay =
        record.link_wanted &&
        now - record.last_message <= this->options.gone_after;
    if (want && !std::exchange(record.link_wanted, true)) {
      record.last_message = std::max(record.last_message, now);
    } else if (!want && !this->Local(record) && !in_retry_delay) {
      record.link_wanted = false;
    }
    if (want && record.peer.address.port != 0) {
      links.push_back(record.peer);
    }
  }
  return links;
}

}  // namespace hickorystand
