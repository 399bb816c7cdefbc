// One entry host, put together: the serving task with the gateway, the control
// task with everything that hosts agree on, and the messages between the two.
//
//   HostDaemon host(settings, clock, on_stopped);
//   if (auto started = host.Start(); !started) { ... }
//   host.Drain();   // a planned stop; on_stopped is called when all is done
//   host.Stop();
//
// A planned stop takes five steps, in this order, so that nobody is cut off:
// not ready (the balancer looks away), callers are refused as not run, running
// requests finish, usage and the lease are handed over, and the tasks end. What
// can't be finished by the drain limit is refused from the start.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "daemon/admin_server.h"
#include "daemon/control.h"
#include "daemon/host_settings.h"
#include "gateway/gateway.h"
#include "kernel/metrics.h"
#include "kernel/task.h"

namespace hickorystand {

// A running entry host.
class HostDaemon {
 public:
  // `on_stopped` is called once, on the control task, when a planned stop is
  // complete, whoever asked for it: a signal, an operator.
  HostDaemon(HostSettings settings,
             const Clock& clock,
             std::function<void()> on_stopped);
  ~HostDaemon();
  HostDaemon(const HostDaemon&) = delete;
  HostDaemon& operator=(const HostDaemon&) = delete;

  // Starts both tasks and their sockets; says which one couldn't be opened.
  Result<void> Start();

  // Begins a planned stop. Asking twice changes nothing.
  void Drain();

  // Ends both tasks without a planned stop. Requests under way are answered
  // with an error first, which takes a second at most.
  void Stop();

  // Where callers are served, operators answered and peers accepted; known
  // after Start().
  const SocketAddress& GatewayAddress() const { return this->gateway_address; }
  const SocketAddress& AdminAddress() const { return this->admin_address; }
  const SocketAddress& PeerAddress() const { return this->peer_address; }

 private:
  void MakeGateway();
  Result<void> StartControl();
  Result<void> OpenGateway();
  ControlEvents EventsForServing();
  RequestHooks HooksForGateway();
  AdminHandlers HandlersForOperators();
  void SendView();
  void AnnounceLeaving();
  void FinishRequests();
  void EndRequests();
  void Finish();

  HostSettings settings;
  const Clock& clock;
  Metrics metrics;
  SocketAddress gateway_address;
  SocketAddress admin_address;
  SocketAddress peer_address;
  std::function<void()> on_stopped;
  bool draining = false;   // of the control task
  bool finishing = false;  // of the control task
  bool stopped = false;    // of the thread that calls Stop()
  // Until when claimed requests may be sent; used on the serving task only.
  std::map<RequestId, Instant> claimed_until;
  // The parts of each task; made, used and destroyed there.
  std::unique_ptr<Gateway> gateway;
  std::unique_ptr<Control> control;
  std::unique_ptr<AdminServer> admin;
  std::unique_ptr<Timer> notice_timer;  // of the control task
  std::unique_ptr<Timer> limit_timer;   // of the control task
  std::unique_ptr<Timer> answer_timer;  // of the control task
  Task serving_task;
  Task control_task;
};

}  // namespace hickorystand
