#include "endpoints/endpoint_client.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <ranges>
#include <utility>

#include "decisions/configuration_records.h"
#include "kernel/json.h"

namespace hickorystand {
namespace {

EndpointRole ReadRole(const std::string& name) {
  constexpr std::array kRoles = {EndpointRole::kMixed, EndpointRole::kPrefill,
                                 EndpointRole::kDecode, EndpointRole::kPlain};
  const auto* role = std::ranges::find(kRoles, name, &NameOfRole);
  return role == kRoles.end() ? EndpointRole::kMixed : *role;
}

uint64_t ReadUnsigned(const Json& json) {
  return static_cast<uint64_t>(json.Integer());
}

Result<LoadReport> ReadLoad(const EndpointId& endpoint,
                            const std::string& body) {
  const Result<Json> json = Json::Parse(body);
  if (!json || !json->IsObject()) {
    return Fail(ErrorKind::kBadRequest, "The load report is not an object.");
  }
  return LoadReport{
      .endpoint = endpoint,
      .incarnation = ReadUnsigned(json->At("incarnation")),
      .sequence = json->At("sequence").Integer(),
      .software = SoftwareVersion(json->At("software").Text()),
      .role = ReadRole(json->At("role").Text()),
      .leaving = json->At("leaving").Flag(),
      .queued_prompt_tokens = json->At("queued_prompt_tokens").Integer(),
      .running = json->At("running").Integer(),
      .capacity = json->At("capacity").Integer(),
      .prefill_rate = json->At("prefill_rate").Number(),
      .decode_rate = json->At("decode_rate").Number(),
      .cache_pieces = json->At("cache_pieces").Integer(),
      .cache_pieces_used = json->At("cache_pieces_used").Integer(),
  };
}

std::vector<uint64_t> ReadHashes(const Json& json) {
  std::vector<uint64_t> hashes;
  std::ranges::transform(json.Items(), std::back_inserter(hashes),
                         &ReadUnsigned);
  return hashes;
}

Result<std::vector<CacheEvent>> ReadCacheEvents(const EndpointId& endpoint,
                                                const std::string& body) {
  const Result<Json> json = Json::Parse(body);
  if (!json || !json->IsObject()) {
    return Fail(ErrorKind::kBadRequest, "The cache events are not an object.");
  }
  const uint64_t incarnation = ReadUnsigned(json->At("incarnation"));
  std::vector<CacheEvent> events;
  std::ranges::transform(json->At("events").Items(), std::back_inserter(events),
                         [&](const Json& event) {
                           return CacheEvent{
                               .endpoint = endpoint,
                               .incarnation = incarnation,
                               .sequence = event.At("sequence").Integer(),
                               .snapshot = event.At("snapshot").Flag(),
                               .added = ReadHashes(event.At("added")),
                               .removed = ReadHashes(event.At("removed")),
                           };
                         });
  return events;
}

}  // namespace

EndpointClient::EndpointClient(EndpointClientOptions options, Metrics& metrics)
    : options(options),
      metrics(metrics),
      http({.timeouts = options.http.timeouts,
            .idle_timeout = options.http.idle_timeout,
            .metrics = &metrics}) {}

AttemptPtr EndpointClient::Start(AttemptCall call, AttemptEvents events) {
  const auto attempt = std::make_shared<Attempt>(
      std::move(call), std::move(events), this->options, this->metrics);
  attempt->Start(this->http);
  return attempt;
}

void EndpointClient::CancelAt(const SocketAddress& address,
                              const RequestId& request,
                              AttemptId attempt) {
  this->http.Send({.address = address,
                   .method = "POST",
                   .target = "/v1/cancel/" + request.Text() +
                             "?attempt=" + std::to_string(attempt),
                   .timeouts = this->options.control,
                   .answer_limits = this->ControlLimits()},
                  {});
}

void EndpointClient::FetchLoad(
    const EndpointId& endpoint,
    const SocketAddress& address,
    std::function<void(const Result<LoadReport>&)> done) {
  this->Fetch(address, "/v1/load",
              [endpoint, done = std::move(done)](const auto& body) {
                done(body.and_then([&](const std::string& text) {
                  return ReadLoad(endpoint, text);
                }));
              });
}

void EndpointClient::FetchCacheEvents(
    const EndpointId& endpoint,
    const SocketAddress& address,
    int64_t after,
    std::function<void(const Result<std::vector<CacheEvent>>&)> done) {
  this->Fetch(address, "/v1/cache-events?after=" + std::to_string(after),
              [endpoint, done = std::move(done)](const auto& body) {
                done(body.and_then([&](const std::string& text) {
                  return ReadCacheEvents(endpoint, text);
                }));
              });
}

void EndpointClient::CheckHealth(const SocketAddress& address,
                                 std::function<void(bool up)> done) {
  this->Fetch(address, "/v1/health",
              [done = std::move(done)](const Result<std::string>& body) {
                done(body.has_value());
              });
}

HttpAnswerLimits EndpointClient::ControlLimits() const {
  const auto limit = static_cast<uint64_t>(this->options.max_answer_bytes);
  return {.stated = limit, .other = limit};
}

// Sends a GET with the control timeouts. Succeeds only if the answer is
// complete and has status 200.
void EndpointClient::Fetch(
    const SocketAddress& address,
    std::string target,
    std::function<void(const Result<std::string>&)> done) {
  constexpr int kStatusOk = 200;
  struct Answer {
    int status = 0;
    std::string body;
  };
  const auto answer = std::make_shared<Answer>();
  this->http.Send(
      {.address = address,
       .target = std::move(target),
       .timeouts = this->options.control,
       .answer_limits = this->ControlLimits()},
      {.on_head =
           [answer](const HttpResponseHead& head) {
             answer->status = head.status;
           },
       .on_bytes = [answer](std::string_view bytes) { answer->body += bytes; },
       .on_end =
           [answer, done = std::move(done)](HttpEnd end,
                                            const std::string& detail) {
             if (end == HttpEnd::kComplete && answer->status == kStatusOk) {
               done(std::move(answer->body));
             } else {
               done(Fail(ErrorKind::kEndpointFailed,
                         "No answer from the endpoint: " + detail));
             }
           }});
}

}  // namespace hickorystand
