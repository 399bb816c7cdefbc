#include "decisions/subscription_plan.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <tuple>

namespace hickorystand {

const FleetHost& SubscriberOf(const FleetEndpoint& engine,
                              const std::vector<FleetHost>& schedulers) {
  assert(!schedulers.empty() && "the calling scheduler is always in the list");
  const std::string& id = engine.run.id.Text();
  const uint64_t seed = XXH3_64bits(id.data(), id.size());
  return *std::ranges::min_element(
      schedulers, std::less<>(), [&](const FleetHost& host) {
        const std::string& name = host.id.Text();
        return std::tuple(host.zone != engine.zone,
                          XXH3_64bits_withSeed(name.data(), name.size(), seed),
                          name);
      });
}

}  // namespace hickorystand
