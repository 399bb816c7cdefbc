// Clients that misbehave, for tests of crowds of them.
//
//   Crowd crowd(host, 24);
//   crowd.Send("GET / HTTP/1.1\r\nHost: h");
//
// Index
//   PeakKiB       the most memory that a process has had
//   CrowdClient   a client that sends, and reads as slowly as it is told
//   Crowd         many of them

#pragma once

#include <gio/gio.h>
#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/stream_socket.h"

namespace hickorystand {

inline constexpr size_t kKiB = 1024;
inline constexpr size_t kMiB = 1024 * kKiB;

// In KiB; 0 if the process is gone.
inline int64_t PeakKiB(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string word;
  int64_t peak = 0;
  while (status >> word) {
    if (word == "VmHWM:") {
      status >> peak;
    }
  }
  return peak;
}

// Clients read through small windows, so that the kernel holds little of what
// they leave unread.
inline constexpr int kWindowBytes = 4096;

// A client that sends what it is given, one piece after the other, and reads
// all of its answer or as slowly as it is told.
class CrowdClient {
 public:
  explicit CrowdClient(const SocketAddress& to, bool reads = true)
      : reads(reads) {
    ObjectPtr<GSocket> connecting(g_socket_new(G_SOCKET_FAMILY_IPV4,
                                               G_SOCKET_TYPE_STREAM,
                                               G_SOCKET_PROTOCOL_TCP, nullptr));
    const int window = kWindowBytes;
    setsockopt(g_socket_get_fd(connecting.get()), SOL_SOCKET, SO_RCVBUF,
               &window, sizeof window);
    const ObjectPtr<GSocketAddress> address(
        g_inet_socket_address_new_from_string(to.host.c_str(), to.port));
    g_socket_connect(connecting.get(), address.get(), nullptr, nullptr);
    this->socket = StreamSocket::Adopt(
        std::move(connecting), std::chrono::seconds(60),
        {.on_bytes =
             [this](std::string_view bytes) {
               this->received += bytes.size();
               if (!this->reads) {
                 this->socket->Pause();
               }
             },
         .on_drained = [this] { this->SendNext(); },
         .on_end = [this](StreamEnd) { this->ended = true; }});
    if (!this->reads) {
      this->socket->Pause();
    }
  }

  void Send(std::shared_ptr<const std::string> piece) {
    this->pieces.push_back(std::move(piece));
    if (this->socket->Unsent() == 0) {
      this->SendNext();
    }
  }

  // Reads once; the next time after another call.
  void ReadSome() { this->socket->Resume(); }

  bool Ended() const { return this->ended; }
  bool AllSent() const {
    return this->pieces.empty() && this->socket->Unsent() == 0;
  }
  uint64_t Received() const { return this->received; }

 private:
  // The kernel accepts small pieces at once, so this isn't recursive.
  void SendNext() {
    if (std::exchange(this->sending, true)) {
      return;
    }
    while (!this->pieces.empty() && this->socket->Unsent() == 0 &&
           this->socket->Open()) {
      const auto piece = this->pieces.front();
      this->pieces.pop_front();
      this->socket->Write(*piece);
    }
    this->sending = false;
  }

  StreamSocketPtr socket;
  std::deque<std::shared_ptr<const std::string>> pieces;
  bool reads;
  bool sending = false;
  bool ended = false;
  uint64_t received = 0;
};

// Many clients, which stay until the crowd ends.
struct Crowd {
  Crowd(const SocketAddress& to, size_t count, bool reads = true) {
    std::ranges::generate_n(
        std::back_inserter(this->clients), static_cast<std::ptrdiff_t>(count),
        [&] { return std::make_unique<CrowdClient>(to, reads); });
  }

  void Send(const std::shared_ptr<const std::string>& piece) const {
    for (const auto& client : this->clients) {
      client->Send(piece);
    }
  }
  void Send(std::string piece) const {
    this->Send(std::make_shared<const std::string>(std::move(piece)));
  }

  // Whether each client has sent everything or was disconnected.
  bool Settled() const {
    return std::ranges::all_of(this->clients, [](const auto& client) {
      return client->Ended() || client->AllSent();
    });
  }

  std::vector<std::unique_ptr<CrowdClient>> clients;
};

}  // namespace hickorystand
