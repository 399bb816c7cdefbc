// `fakes platform`: the stand-in platform as a program.

#include "platform.h"
#include "subcommand.h"

namespace hickorystand::fakes {
namespace {

int RunPlatform(std::span<const std::string> arguments) {
  const Options options(arguments, {"listen"});
  const FakePlatform platform(options.Listen());
  RunUntilStopped(platform.Address());
  return 0;
}

[[maybe_unused]] const bool kRegistered = Subcommand::Add(
    {"platform", "endpoint orders, usage reports, host list", &RunPlatform});

}  // namespace
}  // namespace hickorystand::fakes
