// Plain TCP for tests that must misbehave in ways that no HTTP library
// supports.
//
//   RawSocket    one end of a connection, with blocking calls
//   RawServer    serves each accepted connection on its own thread
//
//   RawSocket socket(address);
//   socket.Write("POST / HT");
//   const std::string answer = socket.ReadAll();

#pragma once

#include <gio/gio.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "http/glib_ptr.h"
#include "kernel/settings.h"
#include "kernel/task.h"

namespace hickorystand {

// One end of a TCP connection, with blocking calls.
class RawSocket {
 public:
  explicit RawSocket(const SocketAddress& to) {
    const ObjectPtr<GSocketClient> client(g_socket_client_new());
    this->connection.reset(g_socket_client_connect_to_host(
        client.get(), to.host.c_str(), to.port, nullptr, nullptr));
    this->SetTimeout();
  }

  // Takes ownership of an accepted connection.
  explicit RawSocket(GSocketConnection* accepted)
      : connection(ShareObject(accepted)) {
    this->SetTimeout();
  }

  // Returns false once the other end no longer accepts data.
  bool Write(std::string_view bytes) {
    return g_output_stream_write_all(
               g_io_stream_get_output_stream(this->Stream()), bytes.data(),
               bytes.size(), nullptr, nullptr, nullptr) != FALSE;
  }

  // Returns the bytes received until `end` arrives or the other end closes.
  std::string ReadUntil(std::string_view end) {
    std::string text;
    size_t searched = 0;  // no `end` begins before it
    while (text.find(end, searched) == std::string::npos) {
      searched = text.size() - std::min(text.size(), end.size() - 1);
      std::array<char, 4096> buffer{};
      const gssize got =
          g_input_stream_read(g_io_stream_get_input_stream(this->Stream()),
                              buffer.data(), buffer.size(), nullptr, nullptr);
      if (got <= 0) {
        break;
      }
      text.append(buffer.data(), static_cast<size_t>(got));
    }
    return text;
  }

  // Returns all bytes received until the other end closes.
  std::string ReadAll() { return this->ReadUntil("\x01never\x01"); }

  void Close() { g_io_stream_close(this->Stream(), nullptr, nullptr); }

  // Closes the connection with a reset.
  void Reset() {
    const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
    setsockopt(
        g_socket_get_fd(g_socket_connection_get_socket(this->connection.get())),
        SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    this->Close();
  }

 private:
  static constexpr guint kTimeoutSeconds = 20;

  void SetTimeout() {
    g_socket_set_timeout(g_socket_connection_get_socket(this->connection.get()),
                         kTimeoutSeconds);
  }
  GIOStream* Stream() { return G_IO_STREAM(this->connection.get()); }

  ObjectPtr<GSocketConnection> connection;
};

// Accepts connections and serves each on its own thread.
class RawServer {
 public:
  using Serve = std::function<void(RawSocket&, int connection)>;

  explicit RawServer(Serve serve) : serve(std::move(serve)) {
    this->task.Call([this] {
      constexpr int kMaxThreads = 16;
      this->service.reset(g_threaded_socket_service_new(kMaxThreads));
      g_signal_connect(this->service.get(), "run",
                       G_CALLBACK(&RawServer::OnRun), this);
      const ObjectPtr<GSocketAddress> any(
          g_inet_socket_address_new_from_string("127.0.0.1", 0));
      GSocketAddress* taken = nullptr;
      g_socket_listener_add_address(G_SOCKET_LISTENER(this->service.get()),
                                    any.get(), G_SOCKET_TYPE_STREAM,
                                    G_SOCKET_PROTOCOL_TCP, nullptr, &taken,
                                    nullptr);
      const ObjectPtr<GSocketAddress> owned(taken);
      this->address = {"127.0.0.1", g_inet_socket_address_get_port(
                                        G_INET_SOCKET_ADDRESS(taken))};
      g_socket_service_start(this->service.get());
    });
  }
  ~RawServer() {
    this->task.Call([this] {
      g_socket_service_stop(this->service.get());
      g_socket_listener_close(G_SOCKET_LISTENER(this->service.get()));
    });
    while (this->serving > 0) {
      g_usleep(1000);
    }
    this->task.Call([this] { this->service.reset(); });
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  SocketAddress Address() const { return this->address; }
  int Connections() const { return this->accepted; }

 private:
  static gboolean OnRun(GThreadedSocketService*,
                        GSocketConnection* connection,
                        GObject*,
                        gpointer data) {
    auto* self = static_cast<RawServer*>(data);
    ++self->serving;
    RawSocket socket(connection);
    self->serve(socket, ++self->accepted);
    socket.Close();
    --self->serving;
    return TRUE;
  }

  Serve serve;
  SocketAddress address;
  std::atomic<int> accepted = 0;
  std::atomic<int> serving = 0;
  Task task{"raw-server"};
  ObjectPtr<GSocketService> service;
};

}  // namespace hickorystand
