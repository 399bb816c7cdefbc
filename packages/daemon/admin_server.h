// HTTP towards operators: what hickoryctl asks a running host.
//
//   GET  /admin/status            this host's view of the fleet
//   GET  /admin/why?request=ID    the decisions about one request
//   POST /admin/drain             starts a graceful shutdown of this host
//
// Every call needs "Authorization: Bearer TOKEN". Lives on the task that makes
// it; answers are JSON, errors have the same shape as those of the gateway.

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemon/host_settings.h"
#include "http/http_server.h"
#include "kernel/error.h"

namespace hickorystand {

// What the server asks of the host. Answers may come later, on the same task:
// what a request's decisions were is known on another one.
struct AdminHandlers {
  using Answer = std::function<void(const std::string& json)>;

  std::function<void(Answer)> status;
  std::function<void(const RequestId& request, Answer)> why;
  std::function<void()> drain;
};

// The listening socket for operators.
class AdminServer {
 public:
  AdminServer(const AdminSettings& settings, AdminHandlers handlers);

  // Starts to listen; the address tells the port that was taken.
  Result<SocketAddress> Start() { return this->server.Start(); }

 private:
  void Handle(const HttpCallPtr& call);
  bool Authorised(const HttpRequest& request) const;

  std::string token;
  AdminHandlers handlers;
  HttpServer server;
};

}  // namespace hickorystand
