// HTTP towards operators: what hickoryctl asks a running host.
//
//   GET  /admin/status            this host's view of the fleet
//   GET  /admin/why?request=ID    the decisions about one request
//   POST /admin/drain             starts a graceful shutdown of this host
//
// Every call needs "Authorization: Bearer TOKEN". Runs on the task that makes
// it; answers are JSON, errors have the same shape as those of the gateway.

#pragma once

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <string>

#include "daemon/host_settings.h"
#include "kernel/error.h"

namespace hickorystand {

// What the server asks of the host. Answers may come later, from the same
// task: what a request's decisions were is known on another one.
struct AdminHandlers {
  using Answer = std::function<void(std::string json)>;

  std::function<void(Answer)> status;
  std::function<void(const std::string& request, Answer)> why;
  std::function<void()> drain;
};

// The listening socket for operators.
class AdminServer {
 public:
  static Result<std::unique_ptr<AdminServer>> Start(
      const AdminSettings& settings,
      AdminHandlers handlers);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

 private:
  AdminServer(std::string token, AdminHandlers handlers);
  static void OnRequest(SoupServer* server,
                        SoupServerMessage* message,
                        const char* path,
                        GHashTable* query,
                        gpointer self);
  bool Authorised(SoupServerMessage* message) const;
  void Route(SoupServerMessage* message,
             const std::string& path,
             const std::string& request);

  std::string token;
  AdminHandlers handlers;
  SoupServer* server;
};

}  // namespace hickorystand
