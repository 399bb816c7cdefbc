// Requests for the policy bench: a seeded generator of the traffic of both
// users, and a reader of recorded traces.
//
// Index
//   Arrival          one request and its actual output
//   TrafficRate      request rates at one moment
//   TrafficOptions   settings of the generator
//   TrafficAccounts  accounts of the generated traffic
//   MakeTraffic      the generator
//   ReadTrace        the trace reader

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

// One request with its arrival time and the actual length of its answer.
struct Arrival {
  double time = 0;  // seconds since the start
  Request request;  // its times are set on arrival
  double deadline_seconds = 0;
  int64_t output_tokens = 0;
  bool kills = false;

  bool operator==(const Arrival&) const = default;
};

// Request rates at one moment.
struct TrafficRate {
  double requests_per_second = 10;
  double prompt_share = 0.5;    // fraction of prompt-heavy requests
  double flood_per_second = 0;  // additional requests of the smallest account
};

// Settings of the traffic generator.
struct TrafficOptions {
  uint64_t seed = 1;
  double seconds = 600;
  std::function<TrafficRate(double second)> rate;
};

// The accounts of the generated traffic, largest first.
std::vector<AccountId> TrafficAccounts();

// Generates traffic in order of time; deterministic for a given seed.
std::vector<Arrival> MakeTraffic(const TrafficOptions& options);

// Reads recorded requests: a CSV file with a header line and the columns
// time,account,service,class,prompt_tokens,shared_prefix,output_tokens,deadline
// where class is interactive, batch, lookup or once, and times are in seconds.
Result<std::vector<Arrival>> ReadTrace(const std::string& path);

}  // namespace hickorystand
