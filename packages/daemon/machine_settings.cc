#include "daemon/machine_settings.h"

#include <cmath>
#include <string>
#include <utility>

namespace hickorystand {
namespace {

constexpr double kMegabyte = 1e6;

// A number of at least 0; 0 by default.
SettingRule Quantity(std::string section, std::string key, std::string help) {
  return {.section = std::move(section),
          .key = std::move(key),
          .type = SettingType::kShare,
          .fallback = "0",
          .help = std::move(help)};
}

}  // namespace

std::vector<SettingRule> MachineSettingRules() {
  return {
      Quantity("machine", "memory_mb",
               "memory of the machine in MB; 0: as the operating system says"),
      Quantity("machine", "descriptors",
               "descriptors that the process may have; 0: as the operating "
               "system says"),
      Quantity("budget", "memory_mb",
               "what the host may hold for others, in MB; 0: half of the "
               "machine's memory less 32 MiB"),
      Quantity("budget", "descriptors",
               "connections that the host may have, its own included; 0: all "
               "descriptors but those for files")};
}

MachineLimits ReadMachine(const Settings& from) {
  return {.memory_bytes =
              std::llround(from.Share("machine", "memory_mb") * kMegabyte),
          .descriptors = std::llround(from.Share("machine", "descriptors"))};
}

ResourceLimits ReadHeldLimits(const Settings& from) {
  ResourceLimits limits =
      LimitsOf(Tighter(ReadMachine(from), ReadMachineLimits()));
  if (const double memory = from.Share("budget", "memory_mb"); memory > 0) {
    limits.bytes = std::llround(memory * kMegabyte);
  }
  if (const double most = from.Share("budget", "descriptors"); most > 0) {
    limits.descriptors = std::llround(most);
  }
  return limits;
}

}  // namespace hickorystand
