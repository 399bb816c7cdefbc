// `fakes kv`: the stand-in key-value service as a program.

#include "key_value.h"
#include "subcommand.h"

namespace hickorystand::fakes {
namespace {

int RunKeyValue(std::span<const std::string> arguments) {
  const Options options(arguments, {"listen"});
  const FakeKeyValue store(options.Listen().port);
  RunUntilStopped(store.Address());
  return 0;
}

[[maybe_unused]] const bool kRegistered =
    Subcommand::Add({"kv", "the key-value service, on loopback", &RunKeyValue});

}  // namespace
}  // namespace hickorystand::fakes
