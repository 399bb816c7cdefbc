#include "daemon/status_page.h"

#include <algorithm>

#include "decisions/configuration_records.h"
#include "kernel/json.h"

namespace hickorystand {
namespace {

void WriteLease(JsonWriter& out, const HostStatus& status) {
  out.Name("lease")
      .BeginObject()
      .Member("holder", status.lease_holder)
      .Member("fencing", status.fencing)
      .Member("held", status.lease_held)
      .EndObject();
}

void WritePeers(JsonWriter& out, const HostStatus& status) {
  out.Name("peers").BeginArray();
  for (const Member& member : status.members) {
    const auto digest = status.digests.find(member.peer.host);
    const bool known = digest != status.digests.end();
    out.BeginObject()
        .Member("host", member.peer.host.Text())
        .Member("data_centre", member.peer.data_centre.Text())
        .Member("state", HostStateName(member.state))
        .Member("incarnation", member.incarnation)
        .Member("revision", known ? digest->second.configuration_revision : 0)
        .Member("leaving", member.state == HostState::kLeaving)
        .EndObject();
  }
  out.EndArray();
}

// Plain services report no load, so their state is only "listed".
const char* StateOf(const HostStatus& status, const Endpoint& endpoint) {
  const auto found = status.loads.find(endpoint.id);
  if (found == status.loads.end()) {
    return endpoint.role == EndpointRole::kPlain ? "listed" : "unheard";
  }
  return found->second.leaving ? "leaving" : "live";
}

void WriteEndpoints(JsonWriter& out, const HostStatus& status) {
  out.Name("endpoints").BeginArray();
  for (const auto& [id, endpoint] : status.configuration->endpoints) {
    if (endpoint.data_centre != status.data_centre) {
      continue;
    }
    const auto load = status.loads.find(id);
    const EndpointRole role =
        load == status.loads.end() ? endpoint.role : load->second.role;
    out.BeginObject()
        .Member("id", id.Text())
        .Member("service", endpoint.service.Text())
        .Member("role", NameOfRole(role))
        .Member("state", StateOf(status, endpoint))
        .Member("cheap", endpoint.cheap)
        .EndObject();
  }
  out.EndArray();
}

// Sums each account's served cost and waiting requests over the hosts of this
// data centre.
std::map<AccountId, AccountServed> SumServed(const HostStatus& status) {
  std::map<AccountId, AccountServed> sums;
  for (const auto& [host, digest] : status.digests) {
    for (const AccountServed& served : digest.served) {
      AccountServed& sum = sums[served.account];
      sum.account = served.account;
      sum.cost += served.cost;
      sum.waiting += served.waiting;
    }
  }
  return sums;
}

// An account's share is its served cost divided by its weighted fair part of
// the total served cost. A value below 1 means that it received less, which is
// unfair only if it has waiting requests.
void WriteAccounts(JsonWriter& out, const HostStatus& status) {
  const auto sums = SumServed(status);
  double cost = 0;
  double weight = 0;
  const auto weight_of = [&](const AccountId& id) {
    const auto found = status.configuration->accounts.find(id);
    return found == status.configuration->accounts.end() ? 1.0
                                                         : found->second.weight;
  };
  for (const auto& [id, sum] : sums) {
    cost += static_cast<double>(sum.cost);
    weight += weight_of(id);
  }
  out.Name("accounts").BeginArray();
  for (const auto& [id, sum] : sums) {
    const double fair = weight > 0 ? cost * weight_of(id) / weight : 0;
    out.BeginObject()
        .Member("id", id.Text())
        .Member("served", sum.cost)
        .Member("waiting", sum.waiting)
        .Member("share", fair > 0 ? static_cast<double>(sum.cost) / fair : 1.0)
        .EndObject();
  }
  out.EndArray();
}

void WriteLimits(JsonWriter& out, const LimitsStatus& limits) {
  out.Name("limits")
      .BeginObject()
      .Member("window_ms", ToMilliseconds(limits.window))
      .Member("share", limits.share);
  if (limits.share_age) {
    out.Member("share_age_ms", ToMilliseconds(*limits.share_age));
  }
  out.Member("holders_revision", limits.holders_revision)
      .Name("accounts")
      .BeginArray();
  for (const LimitUsage& use : limits.accounts) {
    out.BeginObject()
        .Member("id", use.account.Text())
        .Member("unit", NameOfUnit(use.limit.unit))
        .Member("rate", use.limit.rate)
        .Member("burst", use.limit.burst)
        .Member("used", use.used)
        .Member("left", use.available)
        .EndObject();
  }
  out.EndArray().EndObject();
}

void WriteUnreachable(JsonWriter& out, const HostStatus& status) {
  out.Name("unreachable").BeginArray();
  for (const Member& member : status.members) {
    if (member.state == HostState::kSuspected) {
      out.Value(member.peer.host.Text());
    }
  }
  out.EndArray();
}

}  // namespace

std::string WriteStatus(const HostStatus& status) {
  JsonWriter out;
  out.BeginObject()
      .Member("host", status.host.Text())
      .Member("data_centre", status.data_centre.Text())
      .Member("incarnation", status.incarnation)
      .Member("revision", status.configuration->revision)
      .Member("draining", status.draining)
      .Member("keys_trusted", status.keys_trusted)
      .Member("queued", status.queued)
      .Member("running", status.running)
      .Member("open_orders", status.open_orders);
  WriteLease(out, status);
  WritePeers(out, status);
  WriteEndpoints(out, status);
  WriteAccounts(out, status);
  WriteLimits(out, status.limits);
  out.Name("refusals").BeginObject();
  for (const auto& [code, count] : status.refusals) {
    out.Member(code, count);
  }
  out.EndObject();
  WriteUnreachable(out, status);
  return out.EndObject().Text();
}

}  // namespace hickorystand
