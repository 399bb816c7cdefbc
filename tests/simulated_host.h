// One simulated host of a World: the real decision classes, its own clock, and
// a minimal version of the daemon's I/O around them.
//
// Index
//   FilingAnswer   how a host answers a filing
//   HostClock      speed and offset of a host's clock
//   ModelHost      the host

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "protocol_simulation.h"

namespace hickorystand {

// How a host answers a filing (a call that must not be repeated).
enum class FilingAnswer { kDone, kNotRun, kTaken, kUnknown };

// A host's clock: true time multiplied by `speed`, plus `offset`.
struct HostClock {
  double speed = 1;
  Duration offset{};
};

// A simulated host. World calls its public functions; outgoing calls go through
// the network and faults of the World.
class ModelHost {
 public:
  ModelHost(World& world,
            const HostId& id,
            uint64_t incarnation,
            HostClock clock);

  // Events that World injects.
  void Tick();
  void Exchange();  // sends usage and a heartbeat to the peers
  void Kill();
  void Pause(Duration length);
  void StartDrain();
  void Propose();
  void File(const RequestId& request,
            const std::string& key,
            std::function<void(FilingAnswer)> answer);
  void OnHosts(const std::vector<HostListing>& listed);

  const HostId& Id() const { return this->id; }
  uint64_t Incarnation() const { return this->incarnation; }
  bool Alive() const { return this->alive; }
  bool Draining() const { return this->draining; }
  bool Holds() const { return this->alive && this->coordinator.Ready(); }

  Instant store_partition_until{};
  Instant peer_partition_until{};

 private:
  Instant Clock() const;
  // Runs `event` when the process is not paused; drops it if the host died.
  void Deliver(std::function<void()> event);
  // Sends bytes when the process is not paused; drops them if the host died.
  void SendBytes(std::function<void()> bytes);
  void Wake();

  void Tell(const std::function<void(CoordinatorActions&)>& event);
  void Transact(const RunTransaction& action,
                const std::function<void(StoreReply)>& done);
  void Do(const CoordinatorActions& actions);
  void Do(const ClaimActions& actions);
  void Run(const RunTransaction& action);
  void Run(const GrantLease& action);
  void Run(const RenewLease& action);
  void Run(const RevokeLease& action);
  void Run(const SendOrder& action);
  void Run(const SendEndpointOrder& action);
  void Run(const SendUsageReport& action);
  void Run(const SendReleaseNotice& action);
  void Answer(const AnswerClaim& answer);
  void SendFiling(const RequestId& request, Fault fault);

  template <typename Reply>
  void CallStore(Step step,
                 const std::function<Reply()>& apply,
                 const Reply& refused,
                 const Reply& unknown,
                 const std::function<void(Reply)>& done);
  // Checks the lease and sends a message that requires it.
  template <typename Reply>
  void SendGuarded(Step send,
                   Step answer,
                   int64_t fencing,
                   const std::function<bool()>& connected,
                   const std::function<Reply(Instant sent)>& receive,
                   const std::function<void(Reply)>& done);
  void CheckLeaseHeld();
  void SendToPeers(const std::function<void(ModelHost&)>& message);

  struct Filing {
    std::string key;
    std::function<void(FilingAnswer)> answer;
  };

  World& world;
  HostId id;
  uint64_t incarnation;
  HostClock clock;
  Coordinator coordinator;
  ClaimManager claims;
  UsageMeter meter;
  std::map<RequestId, Filing> pending;
  bool alive = true;
  bool draining = false;
  bool paused = false;
  Instant paused_until{};
  std::deque<std::function<void()>> outbox;
  std::deque<std::function<void()>> inbox;
  int64_t proposals = 0;
};

}  // namespace hickorystand
