// What the capacity bench measures: one real entry host's control work on a
// thread of its own, beside small stand-ins for its peers on other threads.
//
// Index
//   FleetShape       how large the fleet around the host is
//   MakeFleet        a configuration of that shape
//   Rig              the host, its stand-ins and the traffic between them
//   Sample           what one window of time cost the host

#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "decisions/configuration.h"
#include "decisions/dispatcher.h"
#include "kernel/task.h"

namespace hickorystand {

// How large the fleet around the measured host is.
struct FleetShape {
  int hosts = 17;      // of its data centre, with itself
  int distant = 0;     // representatives of other data centres
  int endpoints = 85;  // of its data centre
  int accounts = 470;
  int services = 16;
  double requests = 6;  // a second and host
  bool first = false;   // the host is the first representative
  bool second = false;  // the host is the second representative

  auto operator<=>(const FleetShape&) const = default;
};

// A configuration with this many records.
ConfigurationPtr MakeFleet(int endpoints, int accounts, int services);

// What one window of time cost the measured host.
struct Sample {
  double seconds = 0;
  double cpu = 0;   // share of one core, its control thread
  double sent = 0;  // bytes a second, payload of TCP
  double received = 0;
  double frames_sent = 0;  // frames a second
  double frames_received = 0;
  double digests = 0;  // taken a second
  double heap = 0;     // bytes allocated by its thread and not freed
  double period = 0;   // seconds between its digests

  // Bytes a second in both directions with the packets: 52 for the headers of
  // each frame's packet and 52 for the one that acknowledges it.
  double Wire() const;
};

// The host with its stand-ins. Everything runs on loopback and ends with it.
class Rig {
 public:
  explicit Rig(const FleetShape& shape);
  ~Rig();
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

  // Waits until all links stand; false if they don't in 30 s.
  bool Settle();

  // Measures windows of time, one after the other.
  std::vector<Sample> Measure(int windows, double seconds);

  // Sends buckets of this many bytes to every host of the data centre, as
  // after a change of configuration.
  void ChangeConfiguration(size_t bytes);

 private:
  struct Subject;
  struct StandIn;

  FleetShape shape;
  std::atomic<int64_t> period_us = 250'000;  // of digests, as the host chose
  std::unique_ptr<Subject> subject;
  std::vector<std::unique_ptr<Task>> tasks;  // of the stand-ins
  std::vector<std::unique_ptr<StandIn>> stand_ins;
};

// The window with the median of the wire bytes and of the CPU share, each by
// itself; and the spread of the CPU share.
struct Measured {
  Sample median;
  double cpu_low = 0;
  double cpu_high = 0;
};
Measured Medians(std::vector<Sample> samples);

// CPU time of the calling thread, in seconds.
double ThreadCpuSeconds();

// Bytes allocated by the calling thread with operator new and not freed by it.
int64_t ThreadHeapBytes();

}  // namespace hickorystand
