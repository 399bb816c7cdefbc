// A scheduler's side of forwarding: takes requests that other hosts have read,
// hands them to the relay, and sends the answers back over the same link.
//
// A link that breaks ends all requests that came over it: the host at its other
// end sends them to another scheduler, or is gone with its callers.

#pragma once

#include <functional>
#include <map>
#include <memory>

#include "peers/message.h"
#include "relay/caller_exchange.h"

namespace hickorystand {

// Where a request came from, and what became of it before.
struct RequestOrigin {
  HostId host;     // that forwarded it; empty: the caller is connected here
  Duration age{};  // since it was read there
  // Runs that may have been started by schedulers that were lost.
  int64_t earlier_sends = 0;
  std::optional<int64_t> resume_after;  // the last event that the caller has
  bool stream_begun = false;            // the caller has the answer's head
  // The time that the forwarding host's process has left, if it stops.
  std::optional<Duration> finish_within;
};

class ForwardedExchange;

class ForwardReceiver {
 public:
  using SendTo = std::function<bool(const HostId&, const PeerMessage&)>;
  using Handler =
      std::function<void(const CallerExchangePtr&, const RequestOrigin&)>;

  ForwardReceiver(SendTo send, Handler handler)
      : send(std::move(send)), handler(std::move(handler)) {}
  ~ForwardReceiver();
  ForwardReceiver(const ForwardReceiver&) = delete;
  ForwardReceiver& operator=(const ForwardReceiver&) = delete;

  // What a host that forwards says.
  void OnRequest(const HostId& from, ForwardedRequest request);
  void OnBody(const HostId& from, const ForwardedBody& body);
  void OnControl(const HostId& from, const ForwardControl& control);

  // The link to a host broke, or was replaced by a new one.
  void OnLost(const HostId& from);

  // Whether requests of a host wait for an answer.
  bool HasRequestsOf(const HostId& host) const;

  // Requests that wait for an answer.
  size_t Waiting() const { return this->exchanges.size(); }

 private:
  friend class ForwardedExchange;

  using Key = std::pair<HostId, int64_t>;
  using Exchanges = std::map<Key, std::shared_ptr<ForwardedExchange>>;

  void Begin(const HostId& from, ForwardedRequest request);

  SendTo send;
  Handler handler;
  Exchanges exchanges;
  std::map<Key, ForwardedRequest> partial;  // their bodies aren't whole
};

}  // namespace hickorystand
