// The scheduler's side of forwarding: receives requests from ingress hosts,
// hands them to the relay, and sends the answers back over the same link.
//
// When a link breaks, all requests that arrived over it are cancelled: the
// ingress host sends them to another scheduler, or has failed together with its
// callers' connections.
//
// Index
//   RequestOrigin     where a request came from, and its earlier sends
//   ForwardReceiver   the requests of all links

#pragma once

#include <functional>
#include <map>
#include <memory>

#include "peers/message.h"
#include "relay/caller_exchange.h"

namespace hickorystand {

// Where a request came from, and its progress at earlier schedulers.
struct RequestOrigin {
  HostId host;     // ingress host; empty: the caller is connected here
  Duration age{};  // since the ingress host read it
  // Sends to schedulers that were lost and may have started a run.
  int64_t earlier_sends = 0;
  std::optional<int64_t> resume_after;  // last event that the caller received
  bool stream_begun = false;            // the answer's head has been sent
  bool until_close = false;             // AnswerStart::until_close of that head
  StreamProgress progress;  // of the stream that the caller has received
  // The ingress host records where a stream begins.
  bool records_origin = false;
  // Time until the ingress host's process ends, if it is shutting down.
  std::optional<Duration> finish_within;
  bool resent = false;  // another scheduler may have counted it
};

class ForwardedExchange;

// Driven by the daemon with the messages and events of the links. The handler
// gets each complete request as a CallerExchange.
class ForwardReceiver {
 public:
  using SendTo = std::function<bool(const HostId&, const PeerMessage&)>;
  using Handler =
      std::function<void(const CallerExchangePtr&, const RequestOrigin&)>;

  // What ingress hosts make this host hold counts in `budget`, which may be
  // null.
  ForwardReceiver(SendTo send,
                  Handler handler,
                  Metrics& metrics,
                  ResourceBudget* budget = nullptr)
      : send(std::move(send)),
        handler(std::move(handler)),
        metrics(&metrics),
        budget(budget) {}
  ~ForwardReceiver();
  ForwardReceiver(const ForwardReceiver&) = delete;
  ForwardReceiver& operator=(const ForwardReceiver&) = delete;

  // Messages of an ingress host.
  void OnRequest(const HostId& from, ForwardedRequest request);
  void OnBody(const HostId& from, const ForwardedBody& body);
  void OnControl(const HostId& from, const ForwardControl& control);

  // Called when the link to a host broke or was replaced; cancels its requests.
  void OnLost(const HostId& from);

  // Whether requests of a host wait for an answer.
  bool HasRequestsOf(const HostId& host) const;

  // Requests that wait for an answer.
  size_t Waiting() const { return this->exchanges.size(); }

 private:
  friend class ForwardedExchange;

  using Key = std::pair<HostId, int64_t>;
  using Exchanges = std::map<Key, std::shared_ptr<ForwardedExchange>>;

  // A request whose body isn't complete.
  struct Partial {
    ForwardedRequest request;
    std::unique_ptr<Holding> held;
  };

  std::shared_ptr<ForwardedExchange> MakeExchange(const Key& key,
                                                  ForwardedRequest& request);
  void Begin(const HostId& from, ForwardedRequest request);
  void Refuse(const Key& key, ForwardedRequest request);

  SendTo send;
  Handler handler;
  Metrics* metrics;
  Exchanges exchanges;
  ResourceBudget* budget;
  std::map<Key, Partial> partial;
};

}  // namespace hickorystand
