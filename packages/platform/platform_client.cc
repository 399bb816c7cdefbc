#include "platform/platform_client.h"

#include <utility>

#include "kernel/json.h"

namespace hickorystand {
namespace {

constexpr int kFirstServerErrorStatus = 500;
constexpr int kRequestTimeoutStatus = 408;

PlatformOutcome OutcomeOf(const JsonReply& reply) {
  switch (reply.outcome) {
    case JsonOutcome::kNotSent:
      return PlatformOutcome::kNotSent;
    case JsonOutcome::kUnknown:
      return PlatformOutcome::kUnknown;
    case JsonOutcome::kAnswered:
      break;
  }
  if (reply.Succeeded()) {
    return PlatformOutcome::kAccepted;
  }
  // A server error may occur after the request has taken effect.
  return reply.status >= kFirstServerErrorStatus ||
                 reply.status == kRequestTimeoutStatus
             ? PlatformOutcome::kUnknown
             : PlatformOutcome::kRefused;
}

Result<std::vector<PlatformHost>> ReadHosts(const JsonReply& reply) {
  if (!reply.Succeeded()) {
    return Fail(ErrorKind::kPlatformDown, "The host list can't be read.");
  }
  const Result<Json> json = Json::Parse(reply.body);
  if (!json || !json->IsArray()) {
    return Fail(ErrorKind::kBadRequest, "The host list is not an array.");
  }
  std::vector<PlatformHost> hosts;
  for (const Json& item : json->Items()) {
    const auto address = ParseAddress(item.At("address").Text());
    const std::string host = item.At("host").Text();
    // Skip invalid entries, so that one of them doesn't hide the others.
    if (!address || host.empty()) {
      continue;
    }
    hosts.push_back({.host = HostId(host),
                     .data_centre = DataCentreId(item.At("data_centre").Text()),
                     .address = *address,
                     .leaving = item.At("state").Text() == "leaving"});
  }
  return hosts;
}

}  // namespace

void PlatformClient::Post(std::string target,
                          std::string body,
                          MaySend may_send,
                          Done done) {
  this->client.Send({.address = this->options.address,
                     .target = std::move(target),
                     .body = std::move(body),
                     .timeout = this->options.timeout,
                     .may_send = std::move(may_send)},
                    [done = std::move(done)](const JsonReply& reply) {
                      done(OutcomeOf(reply));
                    });
}

void PlatformClient::OrderEndpoints(const DataCentreId& data_centre,
                                    const Order& order,
                                    int64_t fencing,
                                    MaySend may_send,
                                    Done done) {
  JsonWriter out;
  out.BeginObject()
      .Member("data_centre", data_centre.Text())
      .Member("token", order.id.Text())
      .Member("fencing", fencing)
      .Member("service", order.service.Text())
      .Member("cheap", order.cheap)
      .Member("change", order.change)
      .Member("endpoint", order.endpoint.Text())
      .EndObject();
  this->Post("/endpoint-orders", out.Text(), std::move(may_send),
             std::move(done));
}

void PlatformClient::ReportUsage(const DataCentreId& data_centre,
                                 int64_t window,
                                 int64_t fencing,
                                 const AccountUsage& figures,
                                 MaySend may_send,
                                 Done done) {
  JsonWriter out;
  out.BeginObject()
      .Member("data_centre", data_centre.Text())
      .Member("window", window)
      .Member("fencing", fencing)
      .Name("figures")
      .BeginArray();
  for (const auto& [account, count] : figures) {
    out.BeginObject()
        .Member("account", account.Text())
        .Member("prompt_tokens", count.prompt_tokens)
        .Member("generated_tokens", count.generated_tokens)
        .Member("requests", count.requests)
        .EndObject();
  }
  out.EndArray().EndObject();
  this->Post("/usage-reports", out.Text(), std::move(may_send),
             std::move(done));
}

void PlatformClient::ListHosts(
    std::function<void(const Result<std::vector<PlatformHost>>&)> done) {
  this->client.Send({.address = this->options.address,
                     .method = "GET",
                     .target = "/hosts",
                     .timeout = this->options.timeout,
                     .idempotent = true},
                    [done = std::move(done)](const JsonReply& reply) {
                      done(ReadHosts(reply));
                    });
}

}  // namespace hickorystand
