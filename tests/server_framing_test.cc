// Tests of the framing of requests at the HTTP server: a body is read as its
// sender framed it, or the request is refused.

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "broken_framings.h"
#include "http/http_server.h"
#include "raw_socket.h"

namespace hickorystand {

TEST_GROUP(ServerFraming){};

// Guards against a request in the body of another one that is answered because
// the server takes that body for empty.
TEST(ServerFraming, ARequestWithBrokenFramingIsRefusedWhole) {
  const std::string hidden =
      "GET /hidden HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  Task task("server");
  std::vector<std::string> handled;
  std::unique_ptr<HttpServer> server;
  SocketAddress address;
  task.Call([&] {
    server = std::make_unique<HttpServer>(
        HttpServerOptions{.head_timeout = std::chrono::milliseconds(300),
                          .body_timeout = std::chrono::milliseconds(300)},
        [&handled](const HttpCallPtr& call) {
          handled.push_back(call->Request().path);
          call->Answer(200, {}, "");
        });
    address = server->Start().value();
  });
  std::string answered;
  for (const BrokenFraming& framing : BrokenFramings(hidden.size())) {
    RawSocket socket(address);
    socket.Write(framing.Request("POST /outer", "Host: a\r\n", hidden));
    socket.ReadAll();
    std::vector<std::string> paths;
    task.Call([&] { paths = std::exchange(handled, {}); });
    for (const std::string& path : paths) {
      answered += framing.name + ": " + path + "\n";
    }
  }
  task.Call([&] { server.reset(); });
  STRCMP_EQUAL("", answered.c_str());
}

}  // namespace hickorystand
