#include "ctl/admin_client.h"

#include <algorithm>
#include <future>
#include <tuple>
#include <utility>

namespace hickorystand {
namespace {

Result<Json> ReadAnswer(const JsonReply& reply) {
  if (reply.outcome != JsonOutcome::kAnswered) {
    return Fail(ErrorKind::kTimeout, reply.error);
  }
  if (reply.status == SOUP_STATUS_UNAUTHORIZED ||
      reply.status == SOUP_STATUS_FORBIDDEN) {
    return Fail(ErrorKind::kUnauthenticated, "the admin token was refused");
  }
  if (!reply.Succeeded()) {
    return Fail(reply.status == SOUP_STATUS_NOT_FOUND ? ErrorKind::kNotFound
                                                      : ErrorKind::kInternal,
                "answered with status " + std::to_string(reply.status));
  }
  return reply.body.empty() ? Result<Json>() : Json::Parse(reply.body);
}

}  // namespace

int64_t FleetStatus::HighestRevision() const {
  int64_t highest = 0;
  for (const FleetHost& host : this->hosts) {
    highest = std::max(highest, host.revision);
  }
  return highest;
}

AdminClient::AdminClient(std::vector<SocketAddress> hosts,
                         std::string token,
                         Duration timeout)
    : hosts(std::move(hosts)), token(std::move(token)), timeout(timeout) {
  this->task.Call([this] { this->client = std::make_unique<JsonClient>(); });
}

AdminClient::~AdminClient() {
  this->task.Call([this] { this->client.reset(); });
}

Result<Json> AdminClient::Send(const SocketAddress& address,
                               const std::string& method,
                               const std::string& target) {
  JsonRequest request{.address = address,
                      .method = method,
                      .target = target,
                      .timeout = this->timeout,
                      .idempotent = true};
  if (!this->token.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + this->token});
  }
  std::promise<JsonReply> reply;
  this->task.Post([&] {
    this->client->Send(std::move(request), [&reply](JsonReply answer) {
      reply.set_value(std::move(answer));
    });
  });
  return ReadAnswer(reply.get_future().get());
}

std::vector<AdminAnswer> AdminClient::SendToAll(const std::string& method,
                                                const std::string& target) {
  std::vector<std::future<Result<Json>>> pending;
  for (const SocketAddress& address : this->hosts) {
    pending.push_back(
        std::async(std::launch::async, [this, address, &method, &target] {
          return this->Send(address, method, target);
        }));
  }
  std::vector<AdminAnswer> answers;
  for (size_t i = 0; i < pending.size(); ++i) {
    answers.push_back({this->hosts[i], pending[i].get()});
  }
  return answers;
}

FleetStatus AdminClient::Status() {
  FleetStatus status;
  for (const AdminAnswer& answer : this->SendToAll("GET", "/admin/status")) {
    const bool valid = answer.body && answer.body->At("host").IsText();
    if (!valid) {
      status.unreachable.push_back(answer.address);
      status.reasons.push_back(answer.body ? "the answer is no status"
                                           : answer.body.error().message);
      continue;
    }
    const Json& body = *answer.body;
    status.hosts.push_back(
        {.address = answer.address,
         .host = HostId(body.At("host").Text()),
         .data_centre = DataCentreId(body.At("data_centre").Text()),
         .revision = body.At("revision").Integer(),
         .draining = body.At("draining").Flag(),
         .status = body});
  }
  std::ranges::sort(status.hosts, {}, [](const FleetHost& host) {
    return std::tie(host.data_centre, host.host);
  });
  return status;
}

std::string AddressText(const SocketAddress& address) {
  const bool ipv6 = address.host.find(':') != std::string::npos;
  return (ipv6 ? "[" + address.host + "]" : address.host) + ":" +
         std::to_string(address.port);
}

}  // namespace hickorystand
