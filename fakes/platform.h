// Stand-in for the platform's interfaces beside its key-value service. Like the
// real ones it checks no fencing number; it records what it was told, so that
// tests can look for orders and reports that contradict each other.
//
//   POST /endpoint-orders   an order; one token takes effect once
//   GET  /endpoint-orders   how many were taken
//   POST /usage-reports     a report of a closed window
//   GET  /hosts             the list of hosts, which lags
//   POST /hosts             sets one line of the list (for scripts)

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/http_server.h"
#include "kernel/json.h"
#include "kernel/task.h"

namespace hickorystand::fakes {

// One order, as it was taken.
struct TakenOrder {
  std::string token;
  std::string service;
  std::string endpoint;
  int64_t change = 0;
  int64_t fencing = 0;

  auto operator<=>(const TakenOrder&) const = default;
};

// What is wrong with the platform just now.
enum class PlatformFault {
  kNone,
  kDown,       // answers 503 and does nothing
  kReplyLost,  // does as it was told, and cuts the connection
};

// The platform, on a task of its own. Its calls may come from any thread.
class FakePlatform {
 public:
  explicit FakePlatform(SocketAddress listen = {"127.0.0.1", 0});
  ~FakePlatform();
  FakePlatform(const FakePlatform&) = delete;
  FakePlatform& operator=(const FakePlatform&) = delete;

  SocketAddress Address() const { return this->address; }

  void SetFault(PlatformFault fault);

  // Sets one line of the host list.
  void SetHost(const std::string& host,
               const std::string& data_centre,
               const std::string& peer_address,
               bool leaving);

  // Orders that took effect, oldest first.
  std::vector<TakenOrder> Orders();

  // Windows reported, by data centre and number, with their figures as text.
  std::map<std::string, std::string> Reports();

  // Reports of a window that was reported before with other figures.
  int64_t ConflictingReports();

 private:
  struct State;

  void Handle(const HttpCallPtr& call);
  int TakeOrder(const Json& order);
  int TakeReport(const Json& report);
  int TakeHost(const Json& host);
  std::string HostsJson() const;

  std::unique_ptr<State> state;
  std::unique_ptr<HttpServer> server;
  SocketAddress address;
  Task task{"fake-platform"};
};

}  // namespace hickorystand::fakes
