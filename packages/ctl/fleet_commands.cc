// Commands on running hosts: status, drain and why.

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <sstream>
#include <thread>

#include "ctl/command.h"
#include "ctl/request_trace.h"

namespace hickorystand {
namespace {

constexpr Duration kRefreshInterval = std::chrono::seconds(1);

// The combined status of the hosts of one data centre.
struct DataCentreView {
  std::vector<const FleetHost*> hosts;
  std::string holder;
  int64_t fencing = 0;
  std::map<std::string, int64_t> endpoints;  // by "SERVICE ROLE STATE"
  std::map<std::string, int64_t> refusals;
  std::string worst_account;
  double worst_share = std::numeric_limits<double>::infinity();
};

void AddHost(const FleetHost& host, DataCentreView& view) {
  view.hosts.push_back(&host);
  const Json lease = host.status.At("lease");
  if (lease.At("fencing").Integer() > view.fencing) {
    view.fencing = lease.At("fencing").Integer();
    view.holder = lease.At("holder").Text();
  }
  // All hosts watch the same endpoints. A host that has fewer combinations of
  // service, role and state has an incomplete view, so the largest one is used.
  std::map<std::string, int64_t> endpoints;
  for (const Json& endpoint : host.status.At("endpoints").Items()) {
    ++endpoints[endpoint.At("service").Text() + " " +
                endpoint.At("role").Text() + " " + endpoint.At("state").Text()];
  }
  if (endpoints.size() >= view.endpoints.size()) {
    view.endpoints = std::move(endpoints);
  }
  const Json refusals = host.status.At("refusals");
  for (const std::string& code : refusals.Names()) {
    view.refusals[code] += refusals.At(code).Integer();
  }
  for (const Json& account : host.status.At("accounts").Items()) {
    const double share =
        account.At("share").Number(std::numeric_limits<double>::infinity());
    if (account.At("waiting").Integer() > 0 && share < view.worst_share) {
      view.worst_share = share;
      view.worst_account = account.At("id").Text();
    }
  }
}

std::map<DataCentreId, DataCentreView> GroupByDataCentre(
    const FleetStatus& fleet) {
  std::map<DataCentreId, DataCentreView> views;
  for (const FleetHost& host : fleet.hosts) {
    AddHost(host, views[host.data_centre]);
  }
  return views;
}

void WriteCounts(const std::string& title,
                 const std::map<std::string, int64_t>& counts,
                 std::ostream& out) {
  if (counts.empty()) {
    return;
  }
  out << "  " << title << ":";
  const char* separator = " ";
  for (const auto& [name, count] : counts) {
    out << std::exchange(separator, ", ") << name << " " << count;
  }
  out << "\n";
}

std::string StatusText(const FleetStatus& fleet) {
  std::ostringstream out;
  const int64_t newest = fleet.HighestRevision();
  for (const auto& [id, view] : GroupByDataCentre(fleet)) {
    out << id << ": lease "
        << (view.holder.empty() ? "held by nobody"
                                : "held by " + view.holder + " (fencing " +
                                      std::to_string(view.fencing) + ")")
        << "\n";
    for (const FleetHost* host : view.hosts) {
      out << "  host " << host->host << "  revision " << host->revision
          << (host->revision < newest ? "  BEHIND" : "")
          << (host->draining ? "  draining" : "");
      for (const Json& cut : host->status.At("unreachable").Items()) {
        out << "  CUT OFF from " << cut.Text();
      }
      out << "\n";
    }
    WriteCounts("endpoints", view.endpoints, out);
    WriteCounts("refusals", view.refusals, out);
    if (!view.worst_account.empty()) {
      out << "  worst served account: " << view.worst_account << " at "
          << std::lround(view.worst_share * 100) << "% of its share\n";
    }
  }
  for (size_t i = 0; i < fleet.unreachable.size(); ++i) {
    out << AddressText(fleet.unreachable[i]) << ": UNREACHABLE ("
        << fleet.reasons[i] << ")\n";
  }
  return out.str();
}

JsonWriter StatusDocument(const FleetStatus& fleet) {
  JsonWriter out;
  out.BeginObject()
      .Member("newest_revision", fleet.HighestRevision())
      .Name("hosts")
      .BeginArray();
  for (const FleetHost& host : fleet.hosts) {
    out.Value(host.status);
  }
  out.EndArray().Name("unreachable").BeginArray();
  for (size_t i = 0; i < fleet.unreachable.size(); ++i) {
    out.BeginObject()
        .Member("address", AddressText(fleet.unreachable[i]))
        .Member("reason", fleet.reasons[i])
        .EndObject();
  }
  out.EndArray().EndObject();
  return out;
}

Result<bool> Status(CtlSession& session, const Invocation& invocation) {
  if (const auto hosts = RequireHosts(session); !hosts) {
    return hosts;
  }
  const bool watch = invocation.Has("watch");
  while (true) {
    const FleetStatus fleet = session.Admin().Status();
    if (watch) {
      // Moves the cursor to the top left and clears the screen below it.
      session.Out().Out() << "\x1b[H\x1b[J";
    }
    session.Out().Line(StatusText(fleet));
    session.Out().Document(StatusDocument(fleet));
    if (!watch) {
      return fleet.hosts.empty()
                 ? Fail(ErrorKind::kTimeout, "no host can be reached")
                 : Result<bool>(true);
    }
    std::this_thread::sleep_for(kRefreshInterval);
  }
}

Result<bool> Drain(CtlSession& session, const Invocation& invocation) {
  if (const auto hosts = RequireHosts(session); !hosts) {
    return hosts;
  }
  const std::string& name = invocation.arguments.front();
  const FleetStatus fleet = session.Admin().Status();
  const auto host =
      std::ranges::find(fleet.hosts, HostId(name), &FleetHost::host);
  if (host == fleet.hosts.end()) {
    return Fail(
        fleet.unreachable.empty() ? ErrorKind::kNotFound : ErrorKind::kTimeout,
        "no host that answers is called '" + name + "'");
  }
  const auto answer =
      session.Admin().Send(host->address, "POST", "/admin/drain");
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  session.Out().Line(name +
                     " drains: it takes no new request, finishes what "
                     "runs, and stops.");
  session.Out().Document(JsonWriter()
                             .BeginObject()
                             .Member("host", name)
                             .Member("draining", true)
                             .EndObject());
  return true;
}

std::string DecisionText(const HostId& host, const Json& decision) {
  std::string text = decision.At("time").IsText()
                         ? decision.At("time").Text()
                         : std::to_string(decision.At("time").Integer());
  text += " " + host.Text() + " " + decision.At("part").Text() + ": " +
          decision.At("message").Text();
  const Json fields = decision.At("fields");
  for (const std::string& name : fields.Names()) {
    const Json value = fields.At(name);
    text += " " + name + "=" + (value.IsText() ? value.Text() : value.Write());
  }
  return text;
}

// A log to read: HOST=FILE, FILE, or - for standard input.
struct LogInput {
  std::string host;
  std::string path;

  static LogInput Parse(const std::string& text) {
    const size_t equals = text.find('=');
    if (equals < text.find('/')) {
      return {.host = text.substr(0, equals), .path = text.substr(equals + 1)};
    }
    return {.host = HostFromLogPath(text), .path = text};
  }
};

Result<bool> ReadLog(const LogInput& input, RequestTrace& trace) {
  const bool standard = input.path == "-";
  std::error_code unknown;
  const bool directory = std::filesystem::is_directory(input.path, unknown);
  std::ifstream file;
  errno = directory ? EISDIR : 0;
  if (!standard && !directory) {
    file.open(input.path);
  }
  if (directory || !file) {
    return Fail(ErrorKind::kBadRequest,
                input.path + " can't be read: " + g_strerror(errno));
  }
  if (!trace.Read(input.host, standard ? std::cin : file)) {
    return Fail(ErrorKind::kBadRequest,
                input.path + ": no line is a JSON log line of a relay host");
  }
  return true;
}

// Reports on a request from log files of relay hosts.
Result<bool> WhyByLogs(CtlSession& session,
                       const std::string& request,
                       std::span<const std::string> inputs) {
  if (request.empty()) {
    return Fail(ErrorKind::kBadRequest, "the id of the request is empty");
  }
  RequestTrace trace(request);
  for (const std::string& text : inputs) {
    if (const auto read = ReadLog(LogInput::Parse(text), trace); !read) {
      return read;
    }
  }
  trace.Finish();
  for (const SkippedLines& foreign : trace.Skipped()) {
    session.Out().Notice(foreign.input + ": skipped " +
                         std::to_string(foreign.count) +
                         " lines that aren't of a relay host, the first is " +
                         std::to_string(foreign.first));
  }
  if (trace.Empty()) {
    return Fail(ErrorKind::kNotFound,
                "no line names request '" + request + "'");
  }
  session.Out().Line(trace.Text());
  session.Out().Document(trace.Document());
  return true;
}

Result<bool> Why(CtlSession& session, const Invocation& invocation) {
  const std::vector<std::string>& arguments = invocation.arguments;
  if (arguments.size() > 1) {
    return WhyByLogs(session, arguments.front(),
                     std::span(arguments).subspan(1));
  }
  if (const auto hosts = RequireHosts(session); !hosts) {
    return hosts;
  }
  const std::string& request = arguments.front();
  if (!std::ranges::all_of(request, [](char c) {
        return g_ascii_isalnum(c) || c == '-' || c == '_' || c == '.';
      })) {
    return Fail(ErrorKind::kBadRequest,
                "'" + request + "' is not a valid request id");
  }
  const FleetStatus fleet = session.Admin().Status();
  JsonWriter out;
  out.BeginObject().Member("request", request).Name("hosts").BeginObject();
  bool found = false;
  std::vector<std::string> missing;
  for (const FleetHost& host : fleet.hosts) {
    const auto answer = session.Admin().Send(host.address, "GET",
                                             "/admin/why?request=" + request);
    if (!answer) {
      if (answer.error().kind != ErrorKind::kNotFound) {
        missing.push_back(host.host.Text() + ": " + answer.error().message);
      }
      continue;
    }
    const auto decisions = answer->At("decisions").Items();
    if (decisions.empty()) {
      continue;
    }
    found = true;
    out.Name(host.host.Text()).Value(answer->At("decisions"));
    for (const Json& decision : decisions) {
      session.Out().Line(DecisionText(host.host, decision));
    }
  }
  for (const SocketAddress& address : fleet.unreachable) {
    missing.push_back(AddressText(address) + ": can't be reached");
  }
  for (const std::string& line : missing) {
    session.Out().Notice("not asked: " + line);
  }
  session.Out().Document(out.EndObject().EndObject());
  if (!found) {
    return Fail(
        missing.empty() ? ErrorKind::kNotFound : ErrorKind::kTimeout,
        "no host that answered has a record of request '" + request + "'");
  }
  return true;
}

}  // namespace

Result<bool> RequireHosts(CtlSession& session) {
  if (!session.Admin().HasHosts()) {
    return Fail(
        ErrorKind::kBadSetting,
        "no administration address of a host is set; give --admin "
        "IP:PORT;IP:PORT, or [admin] addresses in the file of --config");
  }
  return true;
}

std::vector<Command> FleetCommands() {
  return {
      {.name = "status",
       .arguments = "",
       .summary = "Where to look first: leases, revisions, endpoints, "
                  "refusals, and what is cut off.",
       .help =
           "Asks every host. A host that is BEHIND does not have the newest "
           "revision yet; one that is UNREACHABLE did not answer.",
       .examples = {"hickoryctl status", "hickoryctl status --watch"},
       .max_arguments = 0,
       .options = {{"watch", "refresh in place until interrupted"}},
       .run = &Status},
      {.name = "drain",
       .arguments = "HOST",
       .summary = "Take a host out of service without cutting off a request.",
       .help =
           "The host accepts no new request, finishes what runs, hands over "
           "its state and releases its lease.",
       .examples = {"hickoryctl drain dc1-host2"},
       .min_arguments = 1,
       .max_arguments = 1,
       .run = &Drain},
      {.name = "why",
       .arguments = "REQUEST-ID [LOG...]",
       .summary = "Show the decisions about one request.",
       .help =
           "Without logs, asks every stand-alone host; the id is in the "
           "X-Request-Id header of the answer.\n\n"
           "With logs of relay hosts (JSON lines), puts the lines about the "
           "request in order and says what happened, where it was, and which "
           "host ended it and why. Give the logs of all hosts, since the "
           "caller may "
           "have reached any of them. LOG is FILE, whose name without "
           "\".log\" is the host's name, HOST=FILE, or - for standard "
           "input. A line may begin with its host's name, as grep writes it. "
           "Times are those of each host's own clock.",
       .examples = {"hickoryctl why 7b1c-204",
                    "hickoryctl why 72adbe3f3c42dcf2 logs/*.log",
                    "grep 72adbe3f3c42dcf2 *.log | hickoryctl why "
                    "72adbe3f3c42dcf2 -"},
       .min_arguments = 1,
       .run = &Why},
  };
}

}  // namespace hickorystand
