// Subcommand `fakes engine`: runs a stand-in model engine.

#include "engine.h"
#include "subcommand.h"

namespace hickorystand::fakes {
namespace {

int RunEngine(std::span<const std::string> arguments) {
  const Options options(arguments, {"listen", "id", "step-us", "capacity",
                                    "prefill-per-step", "fences", "poison"});
  const BatchOptions batch{
      .capacity = options.Integer("capacity", 32),
      .prefill_tokens_per_step = options.Integer("prefill-per-step", 512)};
  const FakeEngine engine({.id = options.Text("id", "engine"),
                           .listen = options.Listen(),
                           .step = Duration(options.Integer("step-us", 5000)),
                           .batch = batch,
                           .fences = options.Text("fences", "yes") == "yes",
                           .poison = options.Text("poison")});
  RunUntilStopped(engine.Address());
  return 0;
}

[[maybe_unused]] const bool kRegistered =
    Subcommand::Add({"engine",
                     "a model engine [--id ID] [--step-us N] [--capacity N] "
                     "[--prefill-per-step N] [--fences yes|no] [--poison TEXT]",
                     &RunEngine});

}  // namespace
}  // namespace hickorystand::fakes
