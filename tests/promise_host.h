// One host of a World: the real decision classes, a clock of its own, and the
// little that a daemon does around them.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "promise_world.h"

namespace hickorystand {

// How a host answers a filing.
enum class FilingAnswer { kDone, kNotRun, kTaken, kUnknown };

// How a host's clock runs.
struct HostClock {
  double speed = 1;
  Duration offset{};
};

class ModelHost {
 public:
  ModelHost(World& world,
            const HostId& id,
            uint64_t incarnation,
            HostClock clock);

  // What the driver does to it.
  void Tick();
  void Exchange();  // tells the others its usage and that it lives
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

  Instant cut_store_until{};
  Instant cut_peers_until{};

 private:
  Instant Clock() const;
  // Runs when the host is awake; never if it died meanwhile.
  void Deliver(std::function<void()> event);
  // Bytes that were handed over leave when the process runs; never if it died.
  void Leave(std::function<void()> bytes);
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
  // Sends something that needs the lease, past the check.
  template <typename Reply>
  void SendGuarded(Step send,
                   Step answer,
                   int64_t fencing,
                   const std::function<bool()>& connected,
                   const std::function<Reply(Instant sent)>& receive,
                   const std::function<void(Reply)>& done);
  void CheckBelief();
  void TellPeers(const std::function<void(ModelHost&)>& message);

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
