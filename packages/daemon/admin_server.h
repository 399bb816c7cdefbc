// The admin HTTP interface of a host, which hickoryctl uses.
//
//   GET  /admin/status            this host's view of the fleet
//   GET  /admin/why?request=ID    the decisions about one request
//   POST /admin/drain             starts a graceful shutdown of this host
//
// Every call needs "Authorization: Bearer TOKEN". Responses are JSON; errors
// have the same form as those of the gateway. The server must be used on the
// task that creates it.
//
// Index
//   AdminHandlers   callbacks into the host
//   AdminServer     the HTTP server

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemon/host_settings.h"
#include "http/http_server.h"
#include "kernel/error.h"

namespace hickorystand {

// Callbacks into the host. A handler may answer later, on the server's task,
// because a request's decisions are kept on another task.
struct AdminHandlers {
  using Answer = std::function<void(const std::string& json)>;

  std::function<void(Answer)> status;
  std::function<void(const RequestId& request, Answer)> why;
  std::function<void()> drain;
};

// Serves the admin interface.
class AdminServer {
 public:
  AdminServer(const AdminSettings& settings,
              AdminHandlers handlers,
              ResourceBudget* budget);

  // Starts to listen. Returns the address with the actual port.
  Result<SocketAddress> Start() { return this->server.Start(); }

 private:
  void Handle(const HttpCallPtr& call);
  bool Authorised(const HttpRequest& request) const;

  std::string token;
  AdminHandlers handlers;
  HttpServer server;
};

}  // namespace hickorystand
