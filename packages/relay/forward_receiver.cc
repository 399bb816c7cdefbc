#include "relay/forward_receiver.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "kernel/task.h"

namespace hickorystand {
namespace {

AnswerEnd AnswerEndOf(Completeness completeness) {
  switch (completeness) {
    case Completeness::kComplete:
      return AnswerEnd::kWhole;
    case Completeness::kUnproven:
      return AnswerEnd::kUnproven;
    case Completeness::kTruncated:
      break;
  }
  return AnswerEnd::kBroken;
}

StreamProgress ProgressOf(const ForwardedRequest& request) {
  if (request.origin) {
    return StreamProgress::BegunAt(*request.origin);
  }
  return request.stream_begun ? StreamProgress::BegunAtUnknownOrigin()
                              : StreamProgress();
}

}  // namespace

// A request whose caller is connected to an ingress host.
class ForwardedExchange final
    : public CallerExchange,
      public std::enable_shared_from_this<ForwardedExchange> {
 public:
  ForwardedExchange(ForwardReceiver* receiver,
                    ForwardReceiver::Key key,
                    CallerMessage message)
      : CallerExchange(std::move(message)),
        receiver(receiver),
        key(std::move(key)) {}

  // Sent together with the refusal that follows, in one message.
  void Decline() override { this->next.declined = true; }

  // The head is sent together with the first bytes, in one message.
  void Start(const AnswerStart& start) override {
    this->started = true;
    this->until_close = start.until_close;
    this->next.head = {.status = start.status,
                       .headers = start.headers,
                       .length = start.length,
                       .until_close = start.until_close,
                       .origin = start.origin};
    this->missing = start.length;
  }

  void Send(std::string_view bytes) override {
    if (this->over || bytes.empty()) {
      return;
    }
    this->next.bytes += bytes;
    if (this->missing) {
      *this->missing -= std::min<uint64_t>(*this->missing, bytes.size());
    }
    // The last bytes of a declared length are sent together with the end.
    if (!this->missing || *this->missing > 0) {
      this->Flush(AnswerEnd::kMore);
    }
  }

  void End(Completeness completeness) override {
    const bool missing_bytes = this->missing.value_or(0) > 0;
    this->Flush(missing_bytes ? AnswerEnd::kBroken : AnswerEndOf(completeness));
  }

  // The ingress host tracks the unsent bytes, and asks for pauses.
  size_t Unsent() const override { return this->paused ? SIZE_MAX : 0; }

  void SetPaused(bool to) {
    this->paused = to;
    if (!to) {
      this->NotifyDrained();
    }
  }

  // The caller disconnected, or the link to the ingress host broke.
  void OnCancelled() { this->NotifyGone(); }

 private:
  void Flush(AnswerEnd end) {
    if (this->over) {
      return;
    }
    const auto keep = this->shared_from_this();
    this->next.number = this->key.second;
    this->next.end = end;
    const bool sent = this->receiver->send(
        this->key.first, std::exchange(this->next, ForwardedAnswer{}));
    this->over = end != AnswerEnd::kMore;
    if (this->over) {
      this->receiver->exchanges.erase(this->key);
    } else if (!sent) {
      this->CancelLater();
    }
  }

  // Bytes that could not be sent are missing from the answer, so the request is
  // cancelled. The handler is notified from a timer, since this runs within a
  // call of the handler.
  void CancelLater() {
    this->failure = Timer::After(Duration{}, [this] {
      const auto keep = this->shared_from_this();
      this->receiver->exchanges.erase(this->key);
      this->OnCancelled();
    });
  }

  ForwardReceiver* receiver;
  ForwardReceiver::Key key;
  ForwardedAnswer next;             // not yet sent
  std::optional<uint64_t> missing;  // bytes left of the declared length
  bool paused = false;
  std::unique_ptr<Timer> failure;
};

ForwardReceiver::~ForwardReceiver() = default;

void ForwardReceiver::OnRequest(const HostId& from, ForwardedRequest request) {
  if (request.body.size() < request.body_length) {
    const Key key{from, request.number};
    Partial& kept = this->partial[key];
    kept.request = std::move(request);
    kept.held = std::make_unique<Holding>(
        this->budget, HoldingState::kReceiving, [this, key] {
          ForwardedRequest refused =
              std::move(this->partial.extract(key).mapped().request);
          this->Refuse(key, std::move(refused));
        });
    kept.held->SetBytes(std::ssize(kept.request.body));
    return;
  }
  this->Begin(from, std::move(request));
}

void ForwardReceiver::OnBody(const HostId& from, const ForwardedBody& body) {
  const auto found = this->partial.find({from, body.number});
  if (found == this->partial.end()) {
    return;
  }
  ForwardedRequest& request = found->second.request;
  request.body += body.bytes;
  found->second.held->SetBytes(std::ssize(request.body));
  if (request.body.size() >= request.body_length) {
    ForwardedRequest whole = std::move(request);
    this->partial.erase(found);
    this->Begin(from, std::move(whole));
  }
}

// Moves the head and the body out of the request.
std::shared_ptr<ForwardedExchange> ForwardReceiver::MakeExchange(
    const Key& key,
    ForwardedRequest& request) {
  CallerMessage message{.head = {.method = std::move(request.method),
                                 .target = std::move(request.target),
                                 .headers = std::move(request.headers),
                                 .keep_alive = true,
                                 .body_length = request.body_length}};
  message.body = HoldInWork(this->budget, std::move(request.body),
                            HeadBytes(message.head));
  auto exchange =
      std::make_shared<ForwardedExchange>(this, key, std::move(message));
  if (request.earlier_sends > 0) {
    exchange->SetMayHaveRun();
  }
  this->exchanges[key] = exchange;
  return exchange;
}

// Answers a request for which there is no room. Another scheduler may have
// some.
void ForwardReceiver::Refuse(const Key& key, ForwardedRequest request) {
  const Duration wait = this->budget->RetryAfter(std::ssize(request.body));
  request.body.clear();
  request.body.shrink_to_fit();
  const auto exchange = this->MakeExchange(key, request);
  exchange->Decline();
  AnswerOwnError(*exchange, *this->metrics, ErrorKind::kNoEndpoint,
                 "no room for the request", wait);
}

void ForwardReceiver::Begin(const HostId& from, ForwardedRequest request) {
  const Key key{from, request.number};
  const int64_t bytes = std::ssize(request.body);
  if (this->budget != nullptr && !this->budget->MayTakeIntoWork(bytes)) {
    this->budget->CountRefusal(bytes);
    this->Refuse(key, std::move(request));
    return;
  }
  const auto exchange = this->MakeExchange(key, request);
  this->handler(exchange, {.host = from,
                           .age = request.age,
                           .earlier_sends = request.earlier_sends,
                           .resume_after = request.resume_after,
                           .stream_begun = request.stream_begun,
                           .until_close = request.until_close,
                           .progress = ProgressOf(request),
                           .records_origin = request.records_origin,
                           .finish_within = request.finish_within,
                           .resent = request.resent});
}

void ForwardReceiver::OnControl(const HostId& from,
                                const ForwardControl& control) {
  const Key key{from, control.number};
  this->partial.erase(key);
  const auto found = this->exchanges.find(key);
  if (found == this->exchanges.end()) {
    return;
  }
  const auto exchange = found->second;
  if (control.action == ForwardAction::kCancel) {
    this->exchanges.erase(found);
    exchange->OnCancelled();
  } else {
    exchange->SetPaused(control.action == ForwardAction::kPause);
  }
}

bool ForwardReceiver::HasRequestsOf(const HostId& host) const {
  return std::ranges::any_of(this->exchanges, [&host](const auto& entry) {
    return entry.first.first == host;
  });
}

void ForwardReceiver::OnLost(const HostId& from) {
  std::erase_if(this->partial, [&from](const auto& entry) {
    return entry.first.first == from;
  });
  std::vector<std::shared_ptr<ForwardedExchange>> lost;
  std::erase_if(this->exchanges, [&](const auto& entry) {
    const bool ours = entry.first.first == from;
    if (ours) {
      lost.push_back(entry.second);
    }
    return ours;
  });
  for (const auto& exchange : lost) {
    exchange->OnCancelled();
  }
}

}  // namespace hickorystand
