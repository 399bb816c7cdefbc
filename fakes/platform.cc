#include "platform.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "http/http_server.h"
#include "kernel/json.h"

namespace hickorystand::fakes {
namespace {

void WriteOrder(const PlatformOrder& order, JsonWriter& out) {
  out.BeginObject()
      .Member("data_centre", order.data_centre)
      .Member("token", order.token)
      .Member("fencing", order.fencing)
      .Member("service", order.service)
      .Member("cheap", order.cheap)
      .Member("change", order.change)
      .Member("endpoint", order.endpoint)
      .EndObject();
}

PlatformOrder ReadOrder(const Json& json) {
  return {.data_centre = json.At("data_centre").Text(),
          .token = json.At("token").Text(),
          .fencing = json.At("fencing").Integer(),
          .service = json.At("service").Text(),
          .cheap = json.At("cheap").Flag(),
          .change = json.At("change").Integer(),
          .endpoint = json.At("endpoint").Text()};
}

PlatformReport ReadReport(const Json& json) {
  PlatformReport report{.data_centre = json.At("data_centre").Text(),
                        .window = json.At("window").Integer(),
                        .fencing = json.At("fencing").Integer()};
  for (const Json& item : json.At("figures").Items()) {
    report.figures[AccountId(item.At("account").Text())] = {
        .prompt_tokens = item.At("prompt_tokens").Integer(),
        .generated_tokens = item.At("generated_tokens").Integer(),
        .requests = item.At("requests").Integer()};
  }
  return report;
}

std::string WriteHosts(const std::vector<PlatformHost>& hosts) {
  JsonWriter out;
  out.BeginArray();
  for (const PlatformHost& host : hosts) {
    out.BeginObject()
        .Member("host", host.host.Text())
        .Member("data_centre", host.data_centre.Text())
        .Member("address",
                host.address.host + ":" + std::to_string(host.address.port))
        .Member("state", host.leaving ? "leaving" : "live")
        .EndObject();
  }
  return out.EndArray().Text();
}

}  // namespace

// The HTTP server and the state. Used on the task's thread only.
class FakePlatform::Server {
 public:
  explicit Server(const SocketAddress& listen)
      : http({.listen = listen},
             [this](const HttpCallPtr& call) { this->Take(call); }) {
    const auto listening = this->http.Start();
    assert(listening && "the port of the fake platform is taken");
    this->address = *listening;
  }

  void SetHosts(std::vector<PlatformHost> fresh, Duration lag) {
    this->later = Timer::After(
        lag, [this, fresh = std::move(fresh)] { this->hosts = fresh; });
  }

  SocketAddress address;
  PlatformFault fault = PlatformFault::kNone;
  std::vector<PlatformHost> hosts;
  std::vector<PlatformOrder> orders;
  std::map<std::pair<std::string, int64_t>, PlatformReport> reports;
  PlatformViolations violation_counts;
  int64_t received = 0;

 private:
  static void Answer(const HttpCallPtr& call,
                     int status,
                     const std::string& body) {
    call->Answer(status, {{"Content-Type", "application/json"}}, body);
  }

  void Take(const HttpCallPtr& call) {
    const HttpRequest& request = call->Request();
    ++this->received;
    if (this->fault == PlatformFault::kDown) {
      call->Abort();
    } else if (request.method == "GET" && request.path == "/hosts") {
      Answer(call, SOUP_STATUS_OK, WriteHosts(this->hosts));
    } else if (request.method == "GET" && request.path == "/endpoint-orders") {
      this->ListOrders(call);
    } else if (request.method == "GET" && request.path == "/fake/offences") {
      Answer(call, SOUP_STATUS_OK,
             "{\"offences\":" + std::to_string(this->violation_counts.Sum()) +
                 "}");
    } else if (request.method == "POST") {
      this->HandlePost(call);
    } else {
      Answer(call, SOUP_STATUS_NOT_FOUND, R"({"error":"no such path"})");
    }
  }

  void HandlePost(const HttpCallPtr& call) {
    const std::string& path = call->Request().path;
    const auto json = Json::ParseObject(call->Request().body);
    if (!json || (path != "/endpoint-orders" && path != "/usage-reports")) {
      Answer(call, json ? SOUP_STATUS_NOT_FOUND : SOUP_STATUS_BAD_REQUEST,
             R"({"error":"not understood"})");
      return;
    }
    if (this->fault == PlatformFault::kRefusing) {
      Answer(call, SOUP_STATUS_CONFLICT, R"({"error":"refused"})");
      return;
    }
    if (path == "/endpoint-orders") {
      this->TakeOrder(ReadOrder(*json));
    } else {
      this->TakeReport(ReadReport(*json));
    }
    if (this->fault == PlatformFault::kReplyLost) {
      call->Abort();
      return;
    }
    Answer(call, SOUP_STATUS_OK, "{}");
  }

  void TakeOrder(const PlatformOrder& order) {
    const auto known =
        std::ranges::find(this->orders, order.token, &PlatformOrder::token);
    if (known != this->orders.end()) {
      // A new lease holder resends the order with its own fencing number, so
      // the fencing number is not compared.
      PlatformOrder same = *known;
      same.fencing = order.fencing;
      this->violation_counts.conflicting_orders += same == order ? 0 : 1;
      return;
    }
    int64_t& highest = this->order_fencing[order.data_centre];
    this->violation_counts.stale_orders += order.fencing < highest ? 1 : 0;
    highest = std::max(highest, order.fencing);
    this->orders.push_back(order);
  }

  void TakeReport(const PlatformReport& report) {
    const auto [at, fresh] =
        this->reports.try_emplace({report.data_centre, report.window}, report);
    if (!fresh) {
      this->violation_counts.conflicting_reports +=
          at->second.figures == report.figures ? 0 : 1;
      return;
    }
    int64_t& highest = this->report_fencing[report.data_centre];
    this->violation_counts.stale_reports += report.fencing < highest ? 1 : 0;
    highest = std::max(highest, report.fencing);
  }

  void ListOrders(const HttpCallPtr& call) {
    constexpr std::string_view kQuery = "data_centre=";
    const std::string& query = call->Request().query;
    const std::string wanted =
        query.starts_with(kQuery) ? query.substr(kQuery.size()) : "";
    JsonWriter out;
    out.BeginArray();
    for (const PlatformOrder& order : this->orders) {
      if (wanted.empty() || order.data_centre == wanted) {
        WriteOrder(order, out);
      }
    }
    Answer(call, SOUP_STATUS_OK, out.EndArray().Text());
  }

  std::map<std::string, int64_t> order_fencing;   // highest by data centre
  std::map<std::string, int64_t> report_fencing;  // highest by data centre
  std::unique_ptr<Timer> later;
  // Last, so that its calls end before the members that they use.
  HttpServer http;
};

FakePlatform::FakePlatform(const SocketAddress& listen) {
  this->task.Call([&] { this->server = std::make_unique<Server>(listen); });
}

FakePlatform::~FakePlatform() {
  this->task.Call([this] { this->server.reset(); });
}

SocketAddress FakePlatform::Address() const {
  return this->server->address;
}

void FakePlatform::SetFault(PlatformFault fault) {
  this->task.Call([&] { this->server->fault = fault; });
}

void FakePlatform::SetHosts(std::vector<PlatformHost> hosts, Duration lag) {
  this->task.Call([&] { this->server->SetHosts(std::move(hosts), lag); });
}

std::vector<PlatformOrder> FakePlatform::Orders() {
  std::vector<PlatformOrder> orders;
  this->task.Call([&] { orders = this->server->orders; });
  return orders;
}

std::vector<PlatformReport> FakePlatform::Reports() {
  std::vector<PlatformReport> reports;
  this->task.Call([&] {
    for (const auto& [key, report] : this->server->reports) {
      reports.push_back(report);
    }
  });
  return reports;
}

PlatformViolations FakePlatform::Violations() {
  PlatformViolations violation_counts;
  this->task.Call([&] { violation_counts = this->server->violation_counts; });
  return violation_counts;
}

int64_t FakePlatform::Received() {
  int64_t received = 0;
  this->task.Call([&] { received = this->server->received; });
  return received;
}

}  // namespace hickorystand::fakes
