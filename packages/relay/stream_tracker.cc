#include "relay/stream_tracker.h"

#include <utility>

namespace hickorystand {

StreamTracker::StreamTracker(const HostId& self,
                             const ZoneId& zone,
                             const Clock& clock,
                             Metrics& metrics,
                             SendTo send,
                             const StreamDirectoryOptions& options)
    : clock(&clock),
      metrics(&metrics),
      send(std::move(send)),
      directory(self, zone, options) {
  for (const char* name :
       {"stream_reports_sent_total", "stream_questions_total",
        "stream_reports_lost_total"}) {
    this->metrics->Add(name, 0);
  }
}

void StreamTracker::SetPeers(const std::vector<StreamPeer>& peers) {
  this->Send(this->directory.SetPeers(this->clock->Now(), peers));
  this->Decide();
}

void StreamTracker::Record(const RequestId& first_attempt,
                           const std::optional<StreamOrigin>& origin,
                           Duration remaining) {
  this->Send(this->directory.Record(
      this->clock->Now(), StreamKeyOf(first_attempt), origin, remaining));
}

std::optional<StreamProgress> StreamTracker::FindRecord(
    const RequestId& first_attempt) const {
  return this->directory.Find(this->clock->Now(), StreamKeyOf(first_attempt));
}

std::optional<StreamDecision> StreamTracker::Find(
    const RequestId& first_attempt,
    StreamLookup::Callback on_decision,
    std::shared_ptr<StreamLookup>& lookup) {
  const StreamKey stream = StreamKeyOf(first_attempt);
  if (const auto found = this->FindRecord(first_attempt)) {
    return StreamDecision{
        .stream = stream, .progress = *found, .recorded = true};
  }
  lookup = std::make_shared<StreamLookup>(std::move(on_decision));
  this->lookups.emplace(stream, lookup);
  this->metrics->Add("stream_questions_total", 1);
  this->Send(this->directory.Ask(this->clock->Now(), stream));
  this->timer = Timer::Every(kTick, [this] { this->Decide(); });
  return {};
}

std::vector<StreamReport> StreamTracker::TakeUnstored(
    const std::set<ServiceId>& services) {
  return this->directory.TakeUnstored(this->clock->Now(), services);
}

void StreamTracker::OnMessage(const HostId& from,
                              const StreamMessage& message) {
  this->Send(this->directory.OnMessage(this->clock->Now(), from, message));
  this->Decide();
}

void StreamTracker::StartDrain() {
  this->Send(this->directory.StartDrain(this->clock->Now()));
}

void StreamTracker::SetMetrics() {
  this->metrics->Set("streams_recorded",
                     static_cast<double>(this->directory.Records()));
}

// A report that isn't sent, because a link is down or its buffer is full,
// leaves fewer copies of the record.
void StreamTracker::Send(const StreamMails& mails) {
  for (const StreamMail& mail : mails) {
    const bool sent = std::visit(
        [&](const auto& message) { return this->send(mail.to, message); },
        mail.message);
    if (const auto* reports = std::get_if<StreamReports>(&mail.message)) {
      this->metrics->Add(
          sent ? "stream_reports_sent_total" : "stream_reports_lost_total",
          static_cast<double>(reports->streams.size()));
    }
  }
}

void StreamTracker::Decide() {
  if (!this->directory.Asking()) {
    return;
  }
  const auto decisions = this->directory.TakeDecisions(this->clock->Now());
  if (!this->directory.Asking()) {
    this->timer.reset();
  }
  for (const StreamDecision& decision : decisions) {
    std::vector<std::weak_ptr<StreamLookup>> waiting;
    const auto [from, to] = this->lookups.equal_range(decision.stream);
    for (auto at = from; at != to; ++at) {
      waiting.push_back(at->second);
    }
    this->lookups.erase(from, to);
    for (const auto& one : waiting) {
      if (const auto lookup = one.lock()) {
        lookup->on_decision(decision);
      }
    }
  }
}

}  // namespace hickorystand
