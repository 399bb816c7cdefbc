#include "gateway/decision_log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>
#include <string_view>

#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "router";
constexpr std::string_view kLimitsPart = "limits";
constexpr size_t kMaxRunnersUp = 3;

struct KindText {
  DispatchKind kind;
  std::string_view sentence;
};

constexpr std::array kKindTexts = {
    KindText{DispatchKind::kClaim, "Claim requested."},
    KindText{DispatchKind::kSend, "Endpoint chosen."},
    KindText{DispatchKind::kCancel, "Attempt cancelled."},
    KindText{DispatchKind::kFinish, "Request finished."},
    KindText{DispatchKind::kRefuse, "Request refused."},
};

// Indexed by AttemptOutcome.
constexpr std::array<std::string_view, 9> kOutcomeNames = {
    "complete", "not_sent", "refused",      "rejected", "broken",
    "crashed",  "silent",   "wrong_answer", "cancelled"};

// The best candidates that were not chosen, with their estimated seconds, as in
// "e4:0.120s,e7:0.300s".
std::string RunnersUpText(const std::vector<Candidate>& runners_up) {
  std::string text;
  const size_t shown = std::min(runners_up.size(), kMaxRunnersUp);
  for (size_t i = 0; i < shown; ++i) {
    std::array<char, 32> seconds{};
    std::snprintf(seconds.data(), seconds.size(), ":%.3fs",
                  runners_up[i].seconds);
    text.append(i == 0 ? "" : ",").append(runners_up[i].endpoint.Text());
    text.append(seconds.data());
  }
  return text;
}

}  // namespace

std::string_view OutcomeName(AttemptOutcome outcome) {
  return kOutcomeNames.at(static_cast<size_t>(outcome));
}

void DecisionLog::Record(int64_t wall_milliseconds, const Dispatch& action) {
  const auto* text =
      std::ranges::find(kKindTexts, action.kind, &KindText::kind);
  Decision decision{.request = action.request,
                    .wall_milliseconds = wall_milliseconds,
                    .part = std::string(kPart),
                    .message = std::string(text->sentence)};
  auto& fields = decision.fields;
  if (action.attempt != 0) {
    fields.emplace_back("attempt", std::to_string(action.attempt));
  }
  if (action.kind == DispatchKind::kSend) {
    fields.emplace_back("endpoint", action.endpoint.Text());
    fields.emplace_back("resume_from", std::to_string(action.resume_from));
    fields.emplace_back("hedge", action.hedge ? "yes" : "no");
    fields.emplace_back("runners_up", RunnersUpText(action.runners_up));
  }
  if (action.error) {
    fields.emplace_back("error", AnswerFor(action.error->kind).code);
  }
  fields.emplace_back("why", action.reason);
  this->Append(std::move(decision));
}

void DecisionLog::Record(int64_t wall_milliseconds,
                         const RequestId& request,
                         const EndpointId& endpoint,
                         const AttemptResult& result,
                         const std::string& detail) {
  this->Append(
      {.request = request,
       .wall_milliseconds = wall_milliseconds,
       .part = std::string(kPart),
       .message = "Attempt ended.",
       .fields = {{"attempt", std::to_string(result.attempt)},
                  {"endpoint", endpoint.Text()},
                  {"outcome", std::string(OutcomeName(result.outcome))},
                  {"generated", std::to_string(result.generated_tokens)},
                  {"detail", detail}}});
}

void DecisionLog::Record(int64_t wall_milliseconds,
                         const RequestId& request,
                         const LimitRequest& ask,
                         const LimitDecision& decision) {
  const LimitVerdict& verdict = decision.verdict;
  this->Append(
      {.request = request,
       .wall_milliseconds = wall_milliseconds,
       .part = std::string(kLimitsPart),
       .message = "Over the account's limit.",
       .fields = {
           {"account", ask.account.Text()},
           {"tokens", std::to_string(ask.cost)},
           {"held", std::to_string(static_cast<int64_t>(verdict.held))},
           {"why", std::string(verdict.reason)},
           {"home", verdict.home.Text()},
           {"share", std::to_string(decision.share)},
           {"share_ms",
            decision.share_age ? MillisecondsText(*decision.share_age) : ""},
           {"holders_revision", std::to_string(decision.holders_revision)},
           {"retry_after_ms", MillisecondsText(verdict.retry_after)}}});
}

void DecisionLog::Append(Decision decision) {
  std::vector<LogField> fields = {{"request", decision.request.Text()}};
  std::ranges::transform(
      decision.fields, std::back_inserter(fields),
      [](const auto& field) { return LogField{field.first, field.second}; });
  LogLineWith(LogLevel::kInfo, decision.part, decision.message, fields);
  this->kept.push_back(std::move(decision));
  if (this->kept.size() > this->capacity) {
    this->kept.pop_front();
  }
}

std::vector<Decision> DecisionLog::ForRequest(const RequestId& request) const {
  std::vector<Decision> found;
  std::ranges::copy_if(
      this->kept, std::back_inserter(found),
      [&](const Decision& decision) { return decision.request == request; });
  return found;
}

}  // namespace hickorystand
