// Subcommand `fakes plain`: runs a stand-in plain service.

#include "plain_service.h"
#include "subcommand.h"

namespace hickorystand::fakes {
namespace {

int RunPlain(std::span<const std::string> arguments) {
  const Options options(arguments, {"listen", "id", "delay-us"});
  const FakePlainService service(
      {.id = options.Text("id", "plain"),
       .listen = options.Listen(),
       .delay = Duration(options.Integer("delay-us", 0))});
  RunUntilStopped(service.Address());
  return 0;
}

[[maybe_unused]] const bool kRegistered = Subcommand::Add(
    {"plain", "a plain service [--id ID] [--delay-us N]", &RunPlain});

}  // namespace
}  // namespace hickorystand::fakes
