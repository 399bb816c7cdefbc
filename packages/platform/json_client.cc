#include "platform/json_client.h"

#include <cassert>
#include <utility>

namespace hickorystand {
namespace {

// An answer that states its length may be large enough for a whole
// configuration: 64 buckets of 1 MB each, in base64. Any other answer may come
// from a faulty service and be without end.
constexpr HttpAnswerLimits kAnswerLimits = {.stated = uint64_t{96} << 20,
                                            .other = uint64_t{8} << 20};

// A call whose timeout restarts on progress takes at most this many timeouts.
constexpr int kMaxTimeoutFactor = 4;

}  // namespace

// A call in progress.
struct JsonClient::Pending {
  SocketAddress address;
  std::function<void(JsonReply)> done;
  JsonReply reply;
  HttpExchangePtr exchange;
  Duration timeout{};
  std::function<void()> on_progress;
  std::unique_ptr<Timer> deadline;
  std::unique_ptr<Timer> overall_deadline;  // not extended by progress
};

JsonClient::JsonClient(Metrics* metrics) : client({.metrics = metrics}) {}

JsonClient::~JsonClient() {
  for (const auto& [id, call] : this->pending) {
    call->exchange->Cancel();
  }
}

void JsonClient::Send(JsonRequest request,
                      std::function<void(JsonReply)> done) {
  assert(done && "a call needs a callback");
  const uint64_t id = ++this->last_id;
  auto& call = *(this->pending[id] = std::make_unique<Pending>());
  call.address = request.address;
  call.done = std::move(done);
  call.timeout = request.timeout;
  call.on_progress = std::move(request.on_progress);
  // The limits of the phases are longer than the deadline of the whole call, so
  // that only the deadline ends it.
  const HttpTimeouts phase_timeouts{.connect = request.timeout * 2,
                                    .first_byte = request.timeout * 2,
                                    .between_bytes = request.timeout * 2};
  const auto on_timeout = [this, id] { this->OnTimeout(id); };
  call.deadline = Timer::After(request.timeout, on_timeout);
  if (call.on_progress) {
    call.overall_deadline =
        Timer::After(request.timeout * kMaxTimeoutFactor, on_timeout);
  }
  HttpClientRequest outgoing{.address = request.address,
                             .method = std::move(request.method),
                             .target = std::move(request.target),
                             .headers = std::move(request.headers),
                             .content_type = "application/json",
                             .body = std::move(request.body),
                             .once = !request.idempotent,
                             .timeouts = phase_timeouts,
                             .answer_limits = kAnswerLimits,
                             .may_send = std::move(request.may_send)};
  call.exchange = this->client.Send(
      std::move(outgoing),
      {.on_head =
           [this, id](const HttpResponseHead& head) {
             this->pending.at(id)->reply.status = head.status;
             this->OnProgress(id);
           },
       .on_bytes =
           [this, id](std::string_view bytes) {
             this->pending.at(id)->reply.body += bytes;
             this->OnProgress(id);
           },
       .on_end =
           [this, id](HttpEnd end, const std::string& detail) {
             this->OnExchangeEnd(id, end, detail);
           }});
}

void JsonClient::OnProgress(uint64_t id) {
  Pending& call = *this->pending.at(id);
  if (call.on_progress) {
    call.deadline =
        Timer::After(call.timeout, [this, id] { this->OnTimeout(id); });
    call.on_progress();
  }
}

void JsonClient::OnExchangeEnd(uint64_t id,
                               HttpEnd end,
                               const std::string& detail) {
  if (end == HttpEnd::kComplete) {
    JsonReply reply = std::move(this->pending.at(id)->reply);
    reply.outcome = JsonOutcome::kAnswered;
    this->Complete(id, std::move(reply));
    return;
  }
  this->Complete(
      id, {.outcome = end == HttpEnd::kNotSent ? JsonOutcome::kNotSent
                                               : JsonOutcome::kUnknown,
           .error = detail.empty() ? "the answer is incomplete" : detail});
}

// Ends a call that timed out. Existing connections can be dead while new ones
// work, and then the idle connections to the same address are probably dead
// too, so none of them is reused.
void JsonClient::OnTimeout(uint64_t id) {
  const Pending& call = *this->pending.at(id);
  const bool sent = call.exchange->MayHaveSent();
  call.exchange->Cancel();
  this->client.Renew(call.address);
  this->Complete(
      id, {.outcome = sent ? JsonOutcome::kUnknown : JsonOutcome::kNotSent,
           .error = "no answer in time"});
}

// Removes a call and calls its callback, which may destroy this client.
void JsonClient::Complete(uint64_t id, JsonReply reply) {
  const auto call = this->pending.extract(id);
  call.mapped()->done(std::move(reply));
}

}  // namespace hickorystand
