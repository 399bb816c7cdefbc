// One complete stand-alone host: the serving task with the gateway, the control
// task with the coordination between hosts, and the messages between the two.
//
//   HostDaemon host(settings, clock, on_stopped);
//   if (auto started = host.Start(); !started) { ... }
//   host.Drain();   // a planned stop; on_stopped is called when it is complete
//   host.Stop();
//
// A planned stop takes five steps, in this order, so that no caller is cut off:
//   1. /readyz fails, so that the load balancer stops sending callers;
//   2. new requests are refused as not run;
//   3. running requests finish;
//   4. usage and the lease are handed over;
//   5. the tasks end.
// Requests that can't finish before the drain limit are refused from the start.

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

// A running stand-alone host. Start() and Stop() are called by the thread that
// owns it; Drain() by any thread.
class HostDaemon {
 public:
  // `on_stopped` is called once, on the control task, when a planned stop is
  // complete, whether a signal or an operator requested it.
  HostDaemon(HostSettings settings,
             const Clock& clock,
             std::function<void()> on_stopped);
  ~HostDaemon();
  HostDaemon(const HostDaemon&) = delete;
  HostDaemon& operator=(const HostDaemon&) = delete;

  // Starts both tasks and opens their sockets. The error names the socket that
  // couldn't be opened.
  Result<void> Start();

  // Begins a planned stop. Further calls have no effect.
  void Drain();

  // Ends both tasks without a planned stop. Running requests are answered with
  // an error first, which takes at most one second.
  void Stop();

  // Listening addresses for callers, operators and peers; set by Start().
  const SocketAddress& GatewayAddress() const { return this->gateway_address; }
  const SocketAddress& AdminAddress() const { return this->admin_address; }
  const SocketAddress& PeerAddress() const { return this->peer_address; }

 private:
  void MakeGateway();
  Result<void> StartControl();
  Result<void> OpenGateway();
  ControlEvents MakeControlEvents();
  RequestHooks MakeRequestHooks();
  AdminHandlers MakeAdminHandlers();
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
  bool draining = false;   // used on the control task only
  bool finishing = false;  // used on the control task only
  bool stopped = false;    // used by the thread that calls Stop()
  // Until when claimed requests may be sent; used on the serving task only.
  std::map<RequestId, Instant> claimed_until;
  // The gateway belongs to the serving task, all else to the control task; each
  // is created, used and destroyed on its task.
  std::unique_ptr<Gateway> gateway;
  std::unique_ptr<Control> control;
  std::unique_ptr<ResourceBudget> admin_resources;
  std::unique_ptr<AdminServer> admin;
  std::unique_ptr<Timer> notice_timer;
  std::unique_ptr<Timer> limit_timer;
  std::unique_ptr<Timer> answer_timer;
  Task serving_task;
  Task control_task;
};

}  // namespace hickorystand
