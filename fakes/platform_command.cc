// Subcommands `fakes kv` and `fakes platform`: run the platform's stand-ins.

#include <iostream>
#include <sstream>

#include "key_value.h"
#include "platform.h"
#include "subcommand.h"

namespace hickorystand::fakes {
namespace {

int RunKeyValue(std::span<const std::string> arguments) {
  const Options options(arguments, {"listen"});
  const FakeKeyValue store(options.Listen());
  RunUntilStopped(store.Address());
  return 0;
}

// Parses ID,DATA-CENTRE,IP:PORT;... into `hosts`.
bool ReadHosts(const std::string& text, std::vector<PlatformHost>& hosts) {
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, ';');) {
    std::istringstream parts(item);
    std::string host;
    std::string data_centre;
    std::string address;
    std::getline(parts, host, ',');
    std::getline(parts, data_centre, ',');
    std::getline(parts, address);
    const auto parsed = ParseAddress(address);
    if (!parsed) {
      std::cerr << "fakes: --hosts: '" << item
                << "' is not ID,DATA-CENTRE,IP:PORT\n";
      return false;
    }
    hosts.push_back({.host = HostId(host),
                     .data_centre = DataCentreId(data_centre),
                     .address = *parsed});
  }
  return true;
}

int RunPlatform(std::span<const std::string> arguments) {
  const Options options(arguments, {"listen", "hosts"});
  std::vector<PlatformHost> hosts;
  if (!ReadHosts(options.Text("hosts"), hosts)) {
    return 2;
  }
  FakePlatform platform(options.Listen());
  platform.SetHosts(std::move(hosts));
  RunUntilStopped(platform.Address());
  return 0;
}

[[maybe_unused]] const bool kKeyValueRegistered =
    Subcommand::Add({"kv", "the key-value service", &RunKeyValue});
[[maybe_unused]] const bool kPlatformRegistered =
    Subcommand::Add({"platform",
                     "endpoint orders, usage reports, host list "
                     "[--hosts ID,DATA-CENTRE,IP:PORT;...]",
                     &RunPlatform});

}  // namespace
}  // namespace hickorystand::fakes
