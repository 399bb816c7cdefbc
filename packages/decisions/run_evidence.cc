#include "decisions/run_evidence.h"

#include <algorithm>

namespace hickorystand {

// All open connections to an address lead to the same process.
std::optional<int64_t> RunEvidence::Address::Started() const {
  const auto stated = std::ranges::find_if(
      this->connections,
      [](const auto& entry) { return entry.second.has_value(); });
  return stated == this->connections.end() ? std::nullopt : stated->second;
}

void RunEvidence::OnOpened(const SocketAddress& address,
                           ConnectionId connection) {
  Address& at = this->addresses[address];
  const std::optional<int64_t> started = at.Started();
  at.connections[connection] = started;
}

void RunEvidence::OnClosed(const SocketAddress& address,
                           ConnectionId connection,
                           bool by_peer) {
  const auto found = this->addresses.find(address);
  if (found == this->addresses.end()) {
    return;
  }
  found->second.connections.erase(connection);
  if (by_peer) {
    this->Doubt(address);
  }
  if (found->second.connections.empty() && !found->second.listed) {
    this->addresses.erase(found);
  }
}

void RunEvidence::OnRefused(const SocketAddress& address) {
  if (this->addresses.contains(address)) {
    this->Doubt(address);
  }
}

void RunEvidence::Doubt(const SocketAddress& address) {
  Address& at = this->addresses.at(address);
  at.doubted = at.doubted || !at.Sure();
}

void RunEvidence::OnStated(const SocketAddress& address,
                           ConnectionId connection,
                           int64_t started) {
  const auto found = this->addresses.find(address);
  if (found == this->addresses.end() ||
      !found->second.connections.contains(connection)) {
    return;
  }
  Address& at = found->second;
  at.connections[connection] = started;
  at.doubted = at.listed && !at.Sure();
}

void RunEvidence::OnListed(Instant asked_at, const FleetEndpoints& endpoints) {
  this->listed_at = std::max(this->listed_at, asked_at);
  for (auto& [address, at] : this->addresses) {
    at.listed = false;
  }
  for (const auto& [id, endpoint] : endpoints) {
    Address& at = this->addresses[endpoint.address];
    const bool same_id = at.run.id.Empty() || at.run.id == endpoint.run.id;
    at.listed = true;
    at.run = endpoint.run;
    at.doubted = at.doubted && same_id && !at.Sure();
  }
  std::erase_if(this->addresses, [](const auto& entry) {
    return !entry.second.listed && entry.second.connections.empty();
  });
}

bool RunEvidence::IsSure(const SocketAddress& address,
                         ConnectionId connection,
                         const EndpointRun& run) const {
  const auto found = this->addresses.find(address);
  if (found == this->addresses.end()) {
    return false;
  }
  const auto known = found->second.connections.find(connection);
  return known != found->second.connections.end() &&
         known->second == run.started;
}

bool RunEvidence::IsSure(const SocketAddress& address,
                         const EndpointRun& run) const {
  const auto found = this->addresses.find(address);
  return found != this->addresses.end() &&
         found->second.Started() == run.started;
}

bool RunEvidence::InDoubt(Instant now, const SocketAddress& address) const {
  const auto found = this->addresses.find(address);
  if (found != this->addresses.end() && found->second.Sure()) {
    return false;
  }
  const bool doubted = found != this->addresses.end() && found->second.doubted;
  return doubted || now - this->listed_at > this->options.max_list_age;
}

std::vector<SocketAddress> RunEvidence::Doubted() const {
  std::vector<SocketAddress> found;
  for (const auto& [address, at] : this->addresses) {
    if (at.listed && at.doubted) {
      found.push_back(address);
    }
  }
  return found;
}

}  // namespace hickorystand
