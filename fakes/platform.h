// Stand-in for the platform's interfaces beside its key-value service: orders
// for endpoints, usage reports and the list of hosts.
//
// It takes whatever comes, as the real one does: it checks no fencing number,
// and knows a repeated order by its token alone. What should never have come
// is counted, for tests to look at.

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

// What is wrong with the platform just now.
enum class PlatformFault {
  kNone,
  kDown,       // connections are cut before anything is done
  kReplyLost,  // orders and reports are taken, their connections are cut
  kRefusing,   // answers 409 and does nothing
};

// An order as it came.
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

// A report as it came.
struct PlatformReport {
  std::string data_centre;
  int64_t window = 0;
  int64_t fencing = 0;
  AccountUsage figures;

  bool operator==(const PlatformReport&) const = default;
};

// What should never have come.
struct PlatformOffences {
  int64_t changed_orders = 0;   // a token again, with another order
  int64_t deposed_orders = 0;   // fencing below one seen at that data centre
  int64_t changed_reports = 0;  // a window again, with other figures
  int64_t deposed_reports = 0;  // a new window's fencing below one seen

  int64_t Sum() const {
    return this->changed_orders + this->deposed_orders + this->changed_reports +
           this->deposed_reports;
  }
  auto operator<=>(const PlatformOffences&) const = default;
};

// The platform, on a task of its own. Its calls may come from any thread.
class FakePlatform {
 public:
  // Listens on an address of loopback; port 0 picks a free one.
  explicit FakePlatform(const SocketAddress& listen = {"127.0.0.1", 0});
  ~FakePlatform();
  FakePlatform(const FakePlatform&) = delete;
  FakePlatform& operator=(const FakePlatform&) = delete;

  SocketAddress Address() const;

  void SetFault(PlatformFault fault);

  // The hosts that the list shows, from `lag` on.
  void SetHosts(std::vector<PlatformHost> hosts,
                Duration lag = Duration::zero());

  // Orders that took effect, each once, and reports by data centre and window.
  std::vector<PlatformOrder> Orders();
  std::vector<PlatformReport> Reports();
  PlatformOffences Offences();

  // Requests that reached it, repeats and faults included.
  int64_t Received();

 private:
  class Server;

  Task task{"fake-platform"};
  std::unique_ptr<Server> server;
};

}  // namespace hickorystand::fakes
