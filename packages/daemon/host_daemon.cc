#include "daemon/host_daemon.h"

#include <future>
#include <utility>

#include "kernel/json.h"
#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "host";

// How long to wait for callers to read the errors of ended requests.
constexpr Duration kFinalResponsesTimeout = std::chrono::seconds(1);

// Parts of what the process may hold: the operators' server gets one of them,
// the gateway all others.
constexpr int64_t kBudgetParts = 16;

GatewayOptions MakeGatewayOptions(const HostSettings& settings, uint64_t seed) {
  GatewayOptions options;
  options.http.listen = settings.gateway.listen;
  options.http.tls_certificate = settings.gateway.certificate_file;
  options.http.tls_key = settings.gateway.key_file;
  options.http.max_body_bytes = settings.gateway.max_body_bytes;
  const ResourceLimits part = settings.held.DividedBy(kBudgetParts);
  options.held = {.bytes = settings.held.bytes - part.bytes,
                  .descriptors = settings.held.descriptors - part.descriptors};
  options.host = settings.host;
  options.data_centre = settings.data_centre;
  options.dispatcher = settings.gateway.dispatcher;
  options.max_queued = settings.gateway.max_queued;
  options.seed = seed;
  return options;
}

std::string DecisionsJson(const RequestId& request,
                          const std::vector<Decision>& decisions) {
  JsonWriter out;
  out.BeginObject().Member("request", request.Text());
  out.Name("decisions").BeginArray();
  for (const Decision& decision : decisions) {
    out.BeginObject()
        .Member("time", decision.wall_milliseconds)
        .Member("part", decision.part)
        .Member("message", decision.message)
        .Name("fields")
        .BeginObject();
    for (const auto& [name, value] : decision.fields) {
      out.Member(name, value);
    }
    out.EndObject().EndObject();
  }
  return out.EndArray().EndObject().Text();
}

}  // namespace

HostDaemon::HostDaemon(HostSettings settings,
                       const Clock& clock,
                       std::function<void()> on_stopped)
    : settings(std::move(settings)),
      clock(clock),
      on_stopped(std::move(on_stopped)),
      serving_task("serving"),
      control_task("control") {}

HostDaemon::~HostDaemon() {
  this->Stop();
}

// The gateway is created before the control task reads the store: that task
// passes on each configuration once, and without a gateway to receive it the
// host would stay unready until the next configuration change. The gateway
// listens only after the control task has started, because requests need it.
Result<void> HostDaemon::Start() {
  this->MakeGateway();
  if (auto started = this->StartControl(); !started) {
    return started;
  }
  return this->OpenGateway();
}

Result<void> HostDaemon::StartControl() {
  // Hosts store nothing, so the incarnation is the wall clock time. If the
  // clock was set back, the incarnation is lower than before, and the other
  // hosts ignore this host's digests until the incarnation exceeds the old one.
  // Nothing else depends on it.
  const auto incarnation =
      static_cast<uint64_t>(this->clock.WallMilliseconds());
  Result<void> result;
  this->control_task.Call([&] {
    this->control =
        std::make_unique<Control>(this->settings, incarnation, this->clock,
                                  this->metrics, this->MakeControlEvents());
    this->admin_resources = std::make_unique<ResourceBudget>(
        this->settings.held.DividedBy(kBudgetParts), this->clock, this->metrics,
        MetricLabels{{"server", "admin"}});
    this->admin = std::make_unique<AdminServer>(this->settings.admin,
                                                this->MakeAdminHandlers(),
                                                this->admin_resources.get());
    const auto for_admin = this->admin->Start();
    const auto for_peers = this->control->Start();
    if (!for_admin || !for_peers) {
      result =
          tl::unexpected(for_admin ? for_peers.error() : for_admin.error());
      return;
    }
    this->admin_address = *for_admin;
    this->peer_address = *for_peers;
  });
  return result;
}

void HostDaemon::MakeGateway() {
  this->serving_task.Call([this] {
    const auto seed = static_cast<uint64_t>(this->clock.WallMilliseconds());
    this->gateway = std::make_unique<Gateway>(
        MakeGatewayOptions(this->settings, seed), this->clock, this->metrics);
    this->gateway->SetHooks(this->MakeRequestHooks());
    this->gateway->SetOnLoad([this](const LoadReport& report) {
      this->control_task.Post(
          [this, report] { this->control->OnLoad(report); });
    });
  });
}

Result<void> HostDaemon::OpenGateway() {
  Result<void> result;
  this->serving_task.Call([&] {
    const auto address = this->gateway->Start();
    if (!address) {
      result = tl::unexpected(address.error());
      return;
    }
    this->gateway_address = *address;
  });
  return result;
}

ControlEvents HostDaemon::MakeControlEvents() {
  const auto post = [this](const auto& call) {
    this->serving_task.Post([this, call] {
      if (this->gateway) {
        call(*this->gateway);
      }
    });
  };
  return {
      .on_configuration =
          [post](const ConfigurationPtr& next) {
            post([next](Gateway& gate) { gate.ApplyConfiguration(next); });
          },
      .on_digest =
          [post](const Digest& digest) {
            post([digest](Gateway& gate) { gate.OnDigest(digest); });
          },
      .on_host_gone =
          [post](const HostId& host) {
            post([host](Gateway& gate) { gate.OnHostLost(host); });
          },
      .on_keys_trusted =
          [post](bool trusted) {
            post([trusted](Gateway& gate) { gate.SetKeysTrusted(trusted); });
          },
      .request_view = [this,
                       post] { post([this](Gateway&) { this->SendView(); }); },
  };
}

void HostDaemon::SendView() {
  ServingView view;
  this->gateway->FillDigest(view.digest);
  view.refusals = this->gateway->Refusals();
  view.queued = this->gateway->Queued();
  view.running = this->gateway->Running();
  this->control_task.Post([this, view] { this->control->OnServingView(view); });
}

RequestHooks HostDaemon::MakeRequestHooks() {
  RequestHooks hooks;
  hooks.claim = [this](const ClaimRequest& request,
                       std::function<void(ClaimResult)> done) {
    this->claimed_until[request.request] =
        this->clock.Now() + request.window / 2;
    this->control_task.Post([this, request, done = std::move(done)] {
      this->control->Claim(
          request, [this, done, id = request.request](ClaimResult result) {
            this->serving_task.Post([this, done, id, result] {
              if (result != ClaimResult::kGranted) {
                this->claimed_until.erase(id);
              }
              done(result);
            });
          });
    });
  };
  // A process that was suspended for longer than its claim's record is sure to
  // last must not send, as another host may have claimed the request since.
  hooks.may_send = [this](const RequestId& request) {
    const auto found = this->claimed_until.find(request);
    return found != this->claimed_until.end() &&
           this->clock.Now() < found->second;
  };
  hooks.claim_used = [this](const RequestId& request) {
    this->claimed_until.erase(request);
    this->control_task.Post(
        [this, request] { this->control->ForgetClaim(request); });
  };
  hooks.release_claim = [this](const RequestId& request) {
    this->claimed_until.erase(request);
    this->control_task.Post(
        [this, request] { this->control->WithdrawClaim(request); });
  };
  hooks.take_tokens = [this](const RequestId& request, const LimitRequest& ask,
                             std::function<void(const LimitDecision&)> done) {
    this->control_task.Post([this, request, ask, done = std::move(done)] {
      this->control->TakeTokens(
          request, ask, [this, done](const LimitDecision& decision) {
            this->serving_task.Post([done, decision] { done(decision); });
          });
    });
  };
  hooks.cancel_tokens = [this](const RequestId& request) {
    this->control_task.Post(
        [this, request] { this->control->CancelTokens(request); });
  };
  hooks.return_tokens = [this](const AccountId& account, LimitUnit unit,
                               int64_t cost) {
    this->control_task.Post([this, account, unit, cost] {
      this->control->GiveBackTokens(account, unit, cost);
    });
  };
  hooks.usage = [this](const UsageRecord& record) {
    this->control_task.Post([this, record] {
      this->control->OnUsage(record.account,
                             {.prompt_tokens = record.prompt_tokens,
                              .generated_tokens = record.generated_tokens,
                              .requests = record.requests});
    });
  };
  return hooks;
}

AdminHandlers HostDaemon::MakeAdminHandlers() {
  return {
      .status =
          [this](const AdminHandlers::Answer& answer) {
            answer(this->control->StatusJson());
          },
      .why =
          [this](const RequestId& request,
                 const AdminHandlers::Answer& answer) {
            this->serving_task.Post([this, request, answer] {
              const std::string json = DecisionsJson(
                  request, this->gateway->RecentDecisions(request));
              this->control_task.Post([answer, json] { answer(json); });
            });
          },
      .drain = [this] { this->Drain(); },
  };
}

void HostDaemon::Drain() {
  this->control_task.Post([this] {
    if (std::exchange(this->draining, true)) {
      return;
    }
    LogInfo(kPart, "Planned stop begins.");
    this->control->StartDrain();
    this->AnnounceLeaving();
  });
}

// The load balancer reacts to a failing /readyz with a delay. Until then it
// still sends callers, and refusing them would cut them off.
void HostDaemon::AnnounceLeaving() {
  const Instant ends_at = this->clock.Now() + this->settings.drain_notice +
                          this->settings.drain_limit;
  this->serving_task.Post(
      [this, ends_at] { this->gateway->AnnounceLeaving(ends_at); });
  this->notice_timer = Timer::After(this->settings.drain_notice,
                                    [this] { this->FinishRequests(); });
}

void HostDaemon::FinishRequests() {
  this->serving_task.Post([this] {
    this->gateway->StartDrain(
        [this] { this->control_task.Post([this] { this->Finish(); }); });
  });
  this->limit_timer =
      Timer::After(this->settings.drain_limit, [this] { this->EndRequests(); });
}

void HostDaemon::EndRequests() {
  if (this->finishing) {
    return;
  }
  LogWarning(kPart, "Drain limit reached; ending running requests.");
  this->serving_task.Post([this] {
    this->gateway->EndRequests(
        [this] { this->control_task.Post([this] { this->Finish(); }); });
  });
  this->answer_timer =
      Timer::After(kFinalResponsesTimeout, [this] { this->Finish(); });
}

void HostDaemon::Finish() {
  if (std::exchange(this->finishing, true)) {
    return;
  }
  LogInfo(kPart, "Handing over usage and lease.");
  this->control->HandOver([this] {
    LogInfo(kPart, "Planned stop is complete.");
    this->on_stopped();
  });
}

void HostDaemon::Stop() {
  if (std::exchange(this->stopped, true)) {
    return;
  }
  const auto answered = std::make_shared<std::promise<void>>();
  this->serving_task.Post([this, answered] {
    if (this->gateway) {
      this->gateway->EndRequests([answered] { answered->set_value(); });
    } else {
      answered->set_value();
    }
  });
  answered->get_future().wait_for(kFinalResponsesTimeout);
  // Each part is destroyed on its own task. Work that the other task still
  // posts to a stopped task is dropped.
  this->serving_task.Post([this] { this->gateway.reset(); });
  this->serving_task.Stop();
  this->control_task.Post([this] {
    this->notice_timer.reset();
    this->limit_timer.reset();
    this->answer_timer.reset();
    this->admin.reset();
    this->control.reset();
    this->admin_resources.reset();
  });
  this->control_task.Stop();
}

}  // namespace hickorystand
