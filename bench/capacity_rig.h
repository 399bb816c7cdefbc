// Test rig of the capacity bench: the control plane of one real host on its own
// thread, connected to simulated peers (stand-ins) on other threads.
//
//   Rig rig({.hosts = 33});
//   if (rig.Settle()) {
//     const Measured measured = Medians(rig.Measure(4, 5.0));
//   }
//
// Index
//   FleetShape       size of the fleet and request rate
//   MakeFleet        builds a configuration of a given size
//   Sample           resource use of the host in one measurement window
//   Rig              the measured host, its stand-ins and their traffic
//   Measured         medians over several windows
//   ThreadCpuSeconds, ThreadHeapBytes   resource use of the calling thread

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

// Size of the fleet around the measured host, and its request rate.
struct FleetShape {
  int hosts = 17;      // in its data centre, including itself
  int distant = 0;     // representatives of other data centres
  int endpoints = 85;  // in its data centre
  int accounts = 470;
  int services = 16;
  double requests = 6;  // per second and host
  bool first = false;   // the host is the first representative
  bool second = false;  // the host is the second representative

  auto operator<=>(const FleetShape&) const = default;
};

// Builds a configuration with the given numbers of records, all in one data
// centre.
ConfigurationPtr MakeFleet(int endpoints, int accounts, int services);

// Resource use of the measured host in one measurement window.
struct Sample {
  double seconds = 0;
  double cpu = 0;   // fraction of one core, control thread only
  double sent = 0;  // bytes per second of TCP payload
  double received = 0;
  double frames_sent = 0;  // frames per second
  double frames_received = 0;
  double digests = 0;  // received per second
  double heap = 0;     // bytes allocated by its thread and not freed
  double period = 0;   // seconds between the digests it sends

  // Returns the bytes per second in both directions including packet headers:
  // per frame 52 bytes for the headers of its packet and 52 for those of the
  // acknowledgement.
  double Wire() const;
};

// Runs the measured host and its stand-ins on loopback. All threads and
// connections are closed by the destructor.
class Rig {
 public:
  explicit Rig(const FleetShape& shape);
  ~Rig();
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

  // Waits until all links are established; returns false after 30 s.
  bool Settle();

  // Measures consecutive windows of `seconds` each.
  std::vector<Sample> Measure(int windows, double seconds);

  // Broadcasts a configuration bucket of this many bytes to every host of the
  // data centre, as after a configuration change.
  void ChangeConfiguration(size_t bytes);

 private:
  struct Subject;
  struct StandIn;

  FleetShape shape;
  std::atomic<int64_t> period_us = 250'000;  // digest period of the host
  std::unique_ptr<Subject> subject;
  std::vector<std::unique_ptr<Task>> tasks;  // threads of the stand-ins
  std::vector<std::unique_ptr<StandIn>> stand_ins;
};

// Median over several windows. Wire bytes and CPU share each take their own
// median, possibly from different windows; `cpu_low` and `cpu_high` are the
// lowest and the highest CPU share.
struct Measured {
  Sample median;
  double cpu_low = 0;
  double cpu_high = 0;
};
Measured Medians(std::vector<Sample> samples);

// Returns the CPU time of the calling thread, in seconds.
double ThreadCpuSeconds();

// Returns the bytes that the calling thread has allocated with operator new
// minus those it has freed.
int64_t ThreadHeapBytes();

}  // namespace hickorystand
