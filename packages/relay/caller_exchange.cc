#include "relay/caller_exchange.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>
#include <utility>

#include "kernel/json.h"

namespace hickorystand {

int64_t HeadBytes(const Http1Head& head) {
  return std::accumulate(head.headers.begin(), head.headers.end(),
                         std::ssize(head.method) + std::ssize(head.target),
                         [](int64_t sum, const HttpHeader& header) {
                           return sum + std::ssize(header.name) +
                                  std::ssize(header.value) +
                                  static_cast<int64_t>(sizeof header);
                         });
}

std::string RetryAfterText(Duration length) {
  std::array<char, 32> text;
  const int size = std::snprintf(text.data(), text.size(), "%.3f",
                                 std::max(ToSeconds(length), 0.0));
  return {text.data(), static_cast<size_t>(size)};
}

void CallerExchange::Answer(const AnswerStart& start, std::string_view body) {
  AnswerStart whole = start;
  if (HasBody(this->message.head.method, start.status)) {
    whole.length = body.size();
  }
  this->Start(whole);
  this->Send(body);
  this->Finish();
}

void CallerExchange::NotifyGone() {
  if (!std::exchange(this->over, true) && this->gone) {
    this->gone();
  }
}

void CallerExchange::NotifyDrained() {
  if (this->drained) {
    this->drained();
  }
}

int AnswerOwnError(CallerExchange& exchange,
                   Metrics& metrics,
                   ErrorKind kind,
                   std::string_view why,
                   std::optional<Duration> retry_after) {
  if (exchange.MayHaveRun() && AnswerFor(kind).not_run) {
    return AnswerOwnError(exchange, metrics, ErrorKind::kEndpointFailed, why,
                          {});
  }
  AnswerStart start{
      .status = AnswerFor(kind).status,
      .headers = {{.name = "Content-Type", .value = "application/json"}}};
  if (retry_after) {
    start.headers.push_back(
        {.name = "Retry-After", .value = RetryAfterText(*retry_after)});
  }
  metrics.Add("own_answers_total", 1,
              {{"code", std::string(AnswerFor(kind).code)}});
  exchange.Answer(start, JsonWriter()
                             .BeginObject()
                             .Member("error", std::string(why))
                             .EndObject()
                             .Text());
  return start.status;
}

}  // namespace hickorystand
