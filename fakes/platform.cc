#include "platform.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hickorystand::fakes {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

struct HostLine {
  std::string data_centre;
  std::string address;
  std::string state;
};

}  // namespace

struct FakePlatform::State {
  PlatformFault fault = PlatformFault::kNone;
  std::map<std::string, HostLine> hosts;
  std::vector<TakenOrder> orders;
  std::map<std::string, std::string> reports;
  int64_t conflicting = 0;
};

FakePlatform::FakePlatform(SocketAddress listen)
    : state(std::make_unique<State>()) {
  this->task.Call([&] {
    HttpServerOptions options;
    options.listen = std::move(listen);
    this->server = std::make_unique<HttpServer>(
        options, [this](const HttpCallPtr& call) { this->Handle(call); });
    const auto started = this->server->Start();
    assert(started && "the stand-in's address is taken");
    this->address = *started;
  });
}

FakePlatform::~FakePlatform() {
  this->task.Call([this] { this->server.reset(); });
  this->task.Stop();
}

void FakePlatform::SetFault(PlatformFault fault) {
  this->task.Call([&] { this->state->fault = fault; });
}

void FakePlatform::SetHost(const std::string& host,
                           const std::string& data_centre,
                           const std::string& peer_address,
                           bool leaving) {
  this->task.Call([&] {
    this->state->hosts[host] = {
        .data_centre = data_centre,
        .address = peer_address,
        .state = leaving ? "leaving" : "live",
    };
  });
}

std::vector<TakenOrder> FakePlatform::Orders() {
  std::vector<TakenOrder> orders;
  this->task.Call([&] { orders = this->state->orders; });
  return orders;
}

std::map<std::string, std::string> FakePlatform::Reports() {
  std::map<std::string, std::string> reports;
  this->task.Call([&] { reports = this->state->reports; });
  return reports;
}

int64_t FakePlatform::ConflictingReports() {
  int64_t count = 0;
  this->task.Call([&] { count = this->state->conflicting; });
  return count;
}

void FakePlatform::Handle(const HttpCallPtr& call) {
  const HttpRequest& request = call->Request();
  const HttpHeaders headers = {{"Content-Type", "application/json"}};
  if (this->state->fault == PlatformFault::kDown) {
    call->Answer(kUnavailable, headers, "{}");
    return;
  }
  if (request.method == "GET") {
    const bool hosts = request.path == "/hosts";
    const std::string count = std::to_string(this->state->orders.size());
    call->Answer(kOk, headers, hosts ? this->HostsJson() : count);
    return;
  }
  const Result<Json> body = Json::Parse(request.body);
  if (!body) {
    call->Answer(kBadRequest, headers, "{}");
    return;
  }
  using Taker = int (FakePlatform::*)(const Json&);
  const std::map<std::string, Taker> takers = {
      {"/endpoint-orders", &FakePlatform::TakeOrder},
      {"/usage-reports", &FakePlatform::TakeReport},
      {"/hosts", &FakePlatform::TakeHost},
  };
  const auto taker = takers.find(request.path);
  const int status =
      taker == takers.end() ? kNotFound : (this->*taker->second)(*body);
  if (this->state->fault == PlatformFault::kReplyLost) {
    call->Abort();
    return;
  }
  call->Answer(status, headers, "{}");
}

int FakePlatform::TakeOrder(const Json& order) {
  const std::string token = order.At("token").Text();
  if (token.empty()) {
    return kBadRequest;
  }
  auto& orders = this->state->orders;
  if (std::ranges::find(orders, token, &TakenOrder::token) == orders.end()) {
    orders.push_back({.token = token,
                      .service = order.At("service").Text(),
                      .endpoint = order.At("endpoint").Text(),
                      .change = order.At("change").Integer(),
                      .fencing = order.At("fencing").Integer()});
  }
  return kOk;
}

int FakePlatform::TakeReport(const Json& report) {
  const std::string window = report.At("data_centre").Text() + "/" +
                             std::to_string(report.At("window").Integer());
  const std::string figures = report.At("figures").Write();
  const auto [before, fresh] = this->state->reports.emplace(window, figures);
  if (!fresh && before->second != figures) {
    ++this->state->conflicting;
    return kConflict;
  }
  return kOk;
}

int FakePlatform::TakeHost(const Json& host) {
  this->state->hosts[host.At("host").Text()] = {
      .data_centre = host.At("data_centre").Text(),
      .address = host.At("address").Text(),
      .state = host.At("state").Text("live"),
  };
  return kOk;
}

std::string FakePlatform::HostsJson() const {
  JsonWriter out;
  out.BeginArray();
  for (const auto& [host, line] : this->state->hosts) {
    out.BeginObject()
        .Member("host", host)
        .Member("data_centre", line.data_centre)
        .Member("address", line.address)
        .Member("state", line.state)
        .EndObject();
  }
  return out.EndArray().Text();
}

}  // namespace hickorystand::fakes
