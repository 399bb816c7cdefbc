// Commands on the limits of client accounts: account use.

#include <algorithm>
#include <limits>
#include <optional>
#include <sstream>
#include <vector>

#include "ctl/command.h"

namespace hickorystand {
namespace {

constexpr double kMillisecondsInSecond = 1000;

// One host's status of the account's limit. `limit` is absent if the host has
// none in force for the account.
struct HostUsage {
  const FleetHost* host = nullptr;
  Json limits;
  Json limit;
};

std::vector<HostUsage> CollectUsage(const FleetStatus& fleet,
                                    const std::string& account) {
  std::vector<HostUsage> uses;
  for (const FleetHost& host : fleet.hosts) {
    const Json limits = host.status.At("limits");
    const std::vector<Json> known = limits.At("accounts").Items();
    const auto found = std::ranges::find(
        known, account, [](const Json& each) { return each.At("id").Text(); });
    uses.push_back({.host = &host,
                    .limits = limits,
                    .limit = found == known.end() ? Json() : *found});
  }
  return uses;
}

// The entry with the newest configuration among the hosts that have a limit in
// force; null if there is none.
const HostUsage* NewestUsage(const std::vector<HostUsage>& uses) {
  const HostUsage* newest = nullptr;
  for (const HostUsage& use : uses) {
    if (use.limit.Exists() &&
        (newest == nullptr || use.host->revision > newest->host->revision)) {
      newest = &use;
    }
  }
  return newest;
}

int64_t Sum(const std::vector<HostUsage>& uses, std::string_view member) {
  int64_t sum = 0;
  for (const HostUsage& use : uses) {
    sum += use.limit.At(member).Integer();
  }
  return sum;
}

std::string ShareText(const Json& limits) {
  const Json age = limits.At("share_age_ms");
  std::ostringstream out;
  if (limits.At("share").Number() > 0) {
    out << "share " << limits.At("share").Number() << " confirmed "
        << age.Integer() << " ms ago";
  } else if (age.Exists()) {
    out << "share ended, last confirmed " << age.Integer() << " ms ago";
  } else {
    out << "no share";
  }
  return out.str();
}

std::string UsageText(const std::string& account,
                      const std::vector<HostUsage>& uses) {
  const HostUsage& newest = *NewestUsage(uses);
  std::ostringstream out;
  out.precision(std::numeric_limits<double>::digits10);
  out << account << ": " << newest.limit.At("rate").Number() << " "
      << newest.limit.At("unit").Text() << " a second, burst "
      << newest.limit.At("burst").Number() << ", over all hosts\n";
  for (const HostUsage& use : uses) {
    out << "  " << use.host->data_centre << " " << use.host->host << ": ";
    if (!use.limit.Exists()) {
      out << "no limit in force at revision " << use.host->revision << "\n";
      continue;
    }
    out << "used " << use.limit.At("used").Integer() << " in "
        << use.limits.At("window_ms").Number() / kMillisecondsInSecond << " s, "
        << use.limit.At("left").Integer() << " left, " << ShareText(use.limits)
        << "\n";
  }
  out << "  all: used " << Sum(uses, "used") << ", " << Sum(uses, "left")
      << " left";
  return out.str();
}

JsonWriter UsageDocument(const std::string& account,
                         const FleetStatus& fleet,
                         const std::vector<HostUsage>& uses) {
  const HostUsage& newest = *NewestUsage(uses);
  JsonWriter out;
  out.BeginObject()
      .Member("account", account)
      .Member("unit", newest.limit.At("unit").Text())
      .Member("rate", newest.limit.At("rate").Number())
      .Member("burst", newest.limit.At("burst").Number())
      .Member("used", Sum(uses, "used"))
      .Member("left", Sum(uses, "left"))
      .Name("hosts")
      .BeginArray();
  for (const HostUsage& use : uses) {
    out.BeginObject()
        .Member("host", use.host->host.Text())
        .Member("data_centre", use.host->data_centre.Text())
        .Member("revision", use.host->revision);
    for (const char* member : {"used", "left"}) {
      if (use.limit.Exists()) {
        out.Member(member, use.limit.At(member).Integer());
      }
    }
    out.Member("window_ms", use.limits.At("window_ms").Integer())
        .Member("share", use.limits.At("share").Number());
    if (const Json age = use.limits.At("share_age_ms"); age.Exists()) {
      out.Member("share_age_ms", age.Integer());
    }
    out.EndObject();
  }
  out.EndArray().Name("unreachable").BeginArray();
  for (const SocketAddress& address : fleet.unreachable) {
    out.Value(AddressText(address));
  }
  out.EndArray().EndObject();
  return out;
}

Result<bool> AccountUse(CtlSession& session, const Invocation& invocation) {
  if (const auto hosts = RequireHosts(session); !hosts) {
    return hosts;
  }
  const std::string& account = invocation.arguments.front();
  const FleetStatus fleet = session.Admin().Status();
  const std::vector<HostUsage> uses = CollectUsage(fleet, account);
  for (size_t i = 0; i < fleet.unreachable.size(); ++i) {
    session.Out().Notice("not asked: " + AddressText(fleet.unreachable[i]) +
                         ": " + fleet.reasons[i]);
  }
  if (NewestUsage(uses) == nullptr) {
    return Fail(
        fleet.unreachable.empty() ? ErrorKind::kNotFound : ErrorKind::kTimeout,
        "no host that answered has a limit of account '" + account +
            "' in force");
  }
  session.Out().Line(UsageText(account, uses));
  session.Out().Document(UsageDocument(account, fleet, uses));
  return true;
}

}  // namespace

std::vector<Command> LimitCommands() {
  return {
      {.name = "account use",
       .arguments = "ACCOUNT",
       .summary = "Show what an account used of its limit and may still use.",
       .help = "Asks every host. 'used' counts what the host admitted within "
               "the last seconds, less what was not run; 'left' is what it may "
               "admit at once by itself, below 0 after a large request. A host "
               "without a share admits only what other hosts grant it.",
       .examples = {"hickoryctl account use acme",
                    "hickoryctl account use acme --json"},
       .min_arguments = 1,
       .max_arguments = 1,
       .run = &AccountUse},
  };
}

}  // namespace hickorystand
