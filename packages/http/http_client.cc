#include "http/http_client.h"

#include <algorithm>
#include <array>
#include <utility>

#include "http/connection_pool.h"
#include "kernel/log.h"

namespace hickorystand {
namespace {

// Methods whose requests have a body, so that a length of 0 has to be stated.
constexpr std::array<std::string_view, 3> kMethodsWithBody = {"POST", "PUT",
                                                              "PATCH"};

std::string TextOf(const SocketAddress& address) {
  const bool v6 = address.host.find(':') != std::string::npos;
  const std::string host = v6 ? "[" + address.host + "]" : address.host;
  return host + ":" + std::to_string(address.port);
}

bool IsPrintable(std::string_view text) {
  return std::ranges::all_of(
      text, [](char byte) { return g_ascii_isgraph(byte) != FALSE; });
}

// A header whose value has a line end would add lines to the head.
bool IsOneLine(const HttpHeader& header) {
  constexpr std::string_view kLineEnds("\r\n\0", 3);
  return !header.name.empty() && IsPrintable(header.name) &&
         header.name.find(':') == std::string::npos &&
         header.value.find_first_of(kLineEnds) == std::string::npos;
}

bool IsValid(const HttpClientRequest& outgoing) {
  return !outgoing.method.empty() && IsPrintable(outgoing.method) &&
         outgoing.target.starts_with('/') && IsPrintable(outgoing.target) &&
         std::ranges::all_of(outgoing.headers, IsOneLine);
}

// The start line and headers, up to the empty line.
std::string HeadOf(const HttpClientRequest& outgoing) {
  std::string head = outgoing.method + " " + outgoing.target +
                     " HTTP/1.1\r\nHost: " + TextOf(outgoing.address) + "\r\n";
  for (const HttpHeader& header : outgoing.headers) {
    head += header.name + ": " + header.value + "\r\n";
  }
  const size_t length = outgoing.body.size();
  if (length > 0 && !outgoing.content_type.empty()) {
    head += "Content-Type: " + outgoing.content_type + "\r\n";
  }
  if (length > 0 || std::ranges::find(kMethodsWithBody, outgoing.method) !=
                        kMethodsWithBody.end()) {
    head += "Content-Length: " + std::to_string(length) + "\r\n";
  }
  return head + "\r\n";
}

// Requests that may run only once always go on new connections. Timeouts behind
// the connect are the exchange's.
ConnectionPoolOptions PoolOptions(const HttpClientOptions& options) {
  return {.connect_timeout = options.timeouts.connect,
          .ack_timeout = Duration{},
          .default_idle_timeout = options.idle_timeout,
          .once_idle_share = 0};
}

}  // namespace

// -- HttpExchange ------------------------------------------------------------

HttpExchange::HttpExchange(HttpPoolPtr pool,
                           HttpClientRequest outgoing,
                           HttpEvents events,
                           HttpTimeouts timeouts)
    : pool(std::move(pool)),
      outgoing(std::move(outgoing)),
      events(std::move(events)),
      timeouts(timeouts) {}

HttpExchange::~HttpExchange() = default;

void HttpExchange::Start(std::function<void()> on_stalled) {
  this->on_stalled = std::move(on_stalled);
  if (!IsValid(this->outgoing)) {
    const auto self = this->shared_from_this();
    this->timer = Timer::After(Duration::zero(), [self] {
      self->End(HttpEnd::kNotSent, "the request is not valid HTTP");
    });
    return;
  }
  this->head = HeadOf(this->outgoing);
  this->body = std::make_shared<const std::string>(
      std::exchange(this->outgoing.body, {}));
  this->Submit(this->outgoing.once);
}

void HttpExchange::Submit(bool new_connection) {
  const auto self = this->shared_from_this();
  this->call = this->pool->Send(
      {.address = this->outgoing.address,
       .head = this->head,
       .body = this->body,
       .no_answer_body = this->outgoing.method == "HEAD",
       .at_most_once = new_connection,
       .connect_timeout = this->timeouts.connect,
       .may_send = [self] { return self->MaySend(); }},
      {.on_head = [self](const Http1Head& head) -> std::optional<uint64_t> {
         self->TakeHead(head);
         return kUnlimitedAnswer;
       },
       .on_bytes = [self](std::string_view bytes) { self->TakeBytes(bytes); },
       .on_end = [self](HttpEnd end) { self->OnCallEnd(end); }});
}

// Called right before the head and right before the body are written to the
// socket. A process that was suspended past the end of its lease must not send
// its order on resuming; an earlier check could be followed by the suspension.
bool HttpExchange::MaySend() {
  if (this->outgoing.may_send && !this->outgoing.may_send()) {
    this->send_denied = true;
    return false;
  }
  this->sending = true;
  this->RecordProgress(this->timeouts.first_byte);
  this->ArmTimer(this->timeouts.first_byte);
  return true;
}

void HttpExchange::TakeHead(const Http1Head& head) {
  this->RecordProgress(this->timeouts.between_bytes);
  this->body_limit = head.body_length ? this->outgoing.answer_limits.stated
                                      : this->outgoing.answer_limits.other;
  // Copied because the owner may cancel the exchange from within the callback.
  if (const auto call = this->events.on_head) {
    call({.status = head.status,
          .headers = head.headers,
          .until_close = head.until_close});
  }
}

void HttpExchange::TakeBytes(std::string_view bytes) {
  this->RecordProgress(this->timeouts.between_bytes);
  this->body_bytes += bytes.size();
  if (this->body_bytes > this->body_limit) {
    this->call->CutOff(AnswerExcess::kAnswer);
    return;
  }
  if (const auto call = this->events.on_bytes) {
    call(bytes);
  }
}

// Sends an idempotent request once more, on a new connection, if a reused one
// has carried no byte of an answer. The peer may have closed it while it was
// idle; without this, an endpoint that was only restarted would look as if the
// request had crashed it.
bool HttpExchange::ResendOnNewConnection(HttpEnd end) {
  if (end != HttpEnd::kReset || this->outgoing.once || this->has_resent ||
      !this->call->Reused() || this->call->Heard()) {
    return false;
  }
  this->has_resent = true;
  this->Submit(true);
  return true;
}

void HttpExchange::OnCallEnd(HttpEnd end) {
  if (this->ResendOnNewConnection(end)) {
    return;
  }
  if (this->send_denied) {
    this->End(HttpEnd::kNotSent, "not permitted when it was to be sent");
  } else if (!this->sending) {
    this->End(HttpEnd::kNotSent, "can't connect");
  } else {
    this->End(end, std::string(this->call->Fault()));
  }
}

void HttpExchange::End(HttpEnd end, const std::string& detail) {
  if (std::exchange(this->over, true)) {
    return;
  }
  const auto self = this->shared_from_this();
  this->timer.reset();
  if (const PooledExchangePtr ended = std::exchange(this->call, nullptr)) {
    ended->Cancel();
  }
  const auto call = std::exchange(this->events, {}).on_end;
  if (call) {
    call(end, detail);
  }
}

void HttpExchange::Cancel() {
  this->events = {};
  this->End(HttpEnd::kCancelled, "");
}

void HttpExchange::Pause() {
  this->paused = true;
  if (this->call) {
    this->call->Pause();
  }
}

void HttpExchange::Resume() {
  if (!std::exchange(this->paused, false) || !this->call) {
    return;
  }
  this->RecordProgress(this->timeouts.between_bytes);
  this->call->Resume();
}

void HttpExchange::RecordProgress(Duration limit) {
  this->limit = limit;
  this->last_progress = g_get_monotonic_time();
}

void HttpExchange::ArmTimer(Duration delay) {
  this->timer = Timer::After(delay, [this] { this->CheckProgress(); });
}

// Detects connections that stall permanently, for example because a middlebox
// has dropped their state while new connections work. Without this check the
// caller would wait forever. One timer serves all phases and is re-armed only
// when it fires, for the remaining time: re-arming it at each read costs more
// than the read.
void HttpExchange::CheckProgress() {
  const auto self = this->shared_from_this();
  const auto idle =
      this->paused ? Duration::zero()
                   : Duration(g_get_monotonic_time() - this->last_progress);
  if (idle < this->limit) {
    this->ArmTimer(this->limit - idle);
    return;
  }
  this->on_stalled();
  this->End(HttpEnd::kTimedOut, "no progress in time");
}

// -- HttpClient --------------------------------------------------------------

// Logs and counts broken answers.
struct HttpClient::FaultLog {
  void Record(const AnswerFault& fault) {
    if (this->metrics != nullptr) {
      this->metrics->Add("http_answers_broken_total", 1,
                         {{"reason", std::string(fault.reason)}});
    }
    if (this->limiter.Allow(this->clock.Now())) {
      LogWarning("http", "An answer is broken.",
                 {{"address", TextOf(fault.address)},
                  {"reason", std::string(fault.reason)},
                  {"suppressed", std::to_string(this->limiter.Suppressed())}});
    }
  }

  Metrics* metrics;
  BootClock clock;
  LogLimiter limiter{3, std::chrono::seconds(10)};
};

HttpClient::HttpClient(HttpClientOptions options)
    : options(options),
      fault_log(std::make_shared<FaultLog>(options.metrics)) {}

HttpExchangePtr HttpClient::Send(HttpClientRequest outgoing,
                                 HttpEvents events) {
  const SocketAddress address = outgoing.address;
  const HttpTimeouts timeouts =
      outgoing.timeouts.value_or(this->options.timeouts);
  HttpPoolPtr pool = this->PoolFor(address);
  const ConnectionPool* used_pool = pool.get();
  const auto exchange = std::make_shared<HttpExchange>(
      std::move(pool), std::move(outgoing), std::move(events), timeouts);
  // Whatever stalled one connection is likely to have stalled the idle ones to
  // the same address too, so the whole pool is replaced. Exchanges in progress
  // keep the old pool until they end; each has its own progress check.
  exchange->Start(
      [used_pool, address, pools = this->pools, renewals = this->renewals] {
        const auto found = pools->find(address);
        if (found != pools->end() && found->second.get() == used_pool) {
          pools->erase(found);
          ++*renewals;
        }
      });
  return exchange;
}

void HttpClient::Renew(const SocketAddress& address) {
  this->pools->erase(address);
}

HttpPoolPtr HttpClient::PoolFor(const SocketAddress& address) {
  static const BootClock kClock;
  HttpPoolPtr& pool = (*this->pools)[address];
  if (!pool) {
    pool = std::make_shared<ConnectionPool>(kClock, PoolOptions(this->options));
    const auto record = [log = this->fault_log](const AnswerFault& fault) {
      log->Record(fault);
    };
    pool->SetObserver({.on_cut_off = record, .on_broken = record});
  }
  return pool;
}

}  // namespace hickorystand
