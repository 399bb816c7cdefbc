// Stand-in for the platform's interfaces other than its key-value service:
// orders for endpoints, usage reports and the list of hosts.
//
//   FakePlatform platform;
//   platform.SetFault(PlatformFault::kReplyLost);
//
// Like the real platform it accepts any order and report: it does not check
// fencing numbers, and recognises a repeated order by its token only. Protocol
// violations are counted, so that tests can check that there were none; over
// HTTP GET /fake/offences returns their sum.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decisions/usage.h"
#include "kernel/settings.h"
#include "kernel/task.h"
#include "platform/platform_client.h"

namespace hickorystand::fakes {

// Faults that can be injected into the platform.
enum class PlatformFault {
  kNone,
  kDown,       // resets connections before a request is handled
  kReplyLost,  // accepts an order or report, then resets the connection
  kRefusing,   // answers orders and reports with 409, without effect
};

// An order as received.
struct PlatformOrder {
  std::string data_centre;
  std::string token;
  int64_t fencing = 0;
  std::string service;
  bool cheap = false;
  int64_t change = 0;
  std::string endpoint;

  auto operator<=>(const PlatformOrder&) const = default;
};

// A usage report as received.
struct PlatformReport {
  std::string data_centre;
  int64_t window = 0;
  int64_t fencing = 0;
  AccountUsage figures;

  bool operator==(const PlatformReport&) const = default;
};

// Numbers of requests that violate the protocol.
struct PlatformViolations {
  int64_t conflicting_orders = 0;  // token reused for a different order
  int64_t stale_orders = 0;        // fencing number below data centre's highest
  int64_t conflicting_reports = 0;  // window reported again, figures differ
  int64_t stale_reports = 0;        // new window, fencing number below highest

  int64_t Sum() const {
    return this->conflicting_orders + this->stale_orders +
           this->conflicting_reports + this->stale_reports;
  }
  auto operator<=>(const PlatformViolations&) const = default;
};

// The platform. It runs on its own task; public functions may be called from
// any thread.
class FakePlatform {
 public:
  // Listens on a loopback address; port 0 picks a free port.
  explicit FakePlatform(const SocketAddress& listen = {"127.0.0.1", 0});
  ~FakePlatform();
  FakePlatform(const FakePlatform&) = delete;
  FakePlatform& operator=(const FakePlatform&) = delete;

  SocketAddress Address() const;

  void SetFault(PlatformFault fault);

  // Replaces the list of hosts after `lag`.
  void SetHosts(std::vector<PlatformHost> hosts,
                Duration lag = Duration::zero());

  // The orders, oldest first, and the reports, sorted by data centre and
  // window. Repeats are left out.
  std::vector<PlatformOrder> Orders();
  std::vector<PlatformReport> Reports();
  PlatformViolations Violations();

  // The number of requests received, including repeats and requests that a
  // fault affected.
  int64_t Received();

 private:
  class Server;

  Task task{"fake-platform"};
  std::unique_ptr<Server> server;
};

}  // namespace hickorystand::fakes
