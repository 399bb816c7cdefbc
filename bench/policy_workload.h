// Requests for the policy bench: seeded generators for both users' traffic, and
// a reader of recorded requests.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "decisions/request.h"
#include "kernel/error.h"

namespace hickorystand {

inline const ServiceId kLanguageService("language");
inline const ServiceId kPlainService("plain");

// One request as it will arrive, with what its answer really takes.
struct Arrival {
  double time = 0;  // seconds since the start
  Request request;  // its times are set when it arrives
  double deadline_seconds = 0;
  int64_t output_tokens = 0;
  bool kills = false;

  bool operator==(const Arrival&) const = default;
};

// What arrives at a moment.
struct TrafficRate {
  double requests_per_second = 10;
  double prompt_share = 0.5;    // of requests that lean to the prompt
  double flood_per_second = 0;  // more requests of the smallest account
};

// How traffic goes over time.
struct TrafficOptions {
  uint64_t seed = 1;
  double seconds = 600;
  std::function<TrafficRate(double second)> rate;
};

// The accounts of the generated traffic, largest first.
std::vector<AccountId> TrafficAccounts();

// Seeded traffic, in order of time.
std::vector<Arrival> MakeTraffic(const TrafficOptions& options);

// Reads recorded requests: a CSV file with a heading and the columns
// time,account,service,class,prompt_tokens,shared_prefix,output_tokens,deadline
// where class is interactive, batch, lookup or once, and times are in seconds.
Result<std::vector<Arrival>> ReadTrace(const std::string& path);

}  // namespace hickorystand
