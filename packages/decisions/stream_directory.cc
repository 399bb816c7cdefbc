#include "decisions/stream_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <string>

namespace hickorystand {
namespace {

// The order in which a host tells others its records. Differs between hosts, so
// that none is told by all.
uint64_t CopyRank(const HostId& self, const HostId& peer) {
  const std::string& id = peer.Text();
  return XXH3_64bits_withSeed(
      id.data(), id.size(),
      XXH3_64bits(self.Text().data(), self.Text().size()));
}

}  // namespace

StreamKey StreamKeyOf(const RequestId& first_attempt) {
  const std::string& id = first_attempt.Text();
  return XXH3_64bits(id.data(), id.size());
}

StreamMails StreamDirectory::SetPeers(Instant now,
                                      const std::vector<StreamPeer>& listed) {
  this->Expire(now);
  std::set<HostId> newly_linked;
  std::map<HostId, StreamPeer> next;
  for (const StreamPeer& peer : listed) {
    const auto before = this->peers.find(peer.id);
    if (peer.linked &&
        (before == this->peers.end() || !before->second.linked)) {
      newly_linked.insert(peer.id);
    }
    next[peer.id] = peer;
  }
  this->peers = std::move(next);
  StreamMails mails;
  for (auto& [stream, question] : this->questions) {
    std::erase_if(question.waiting, [this](const HostId& host) {
      const auto found = this->peers.find(host);
      return found == this->peers.end() || !found->second.linked;
    });
    for (const HostId& host : newly_linked) {
      this->AskPeer(host, stream, question, mails);
    }
  }
  const std::set<HostId> before =
      std::exchange(this->copies, this->ChooseCopies());
  for (const HostId& host : this->copies) {
    if (newly_linked.contains(host) || !before.contains(host)) {
      std::ranges::move(this->ReportTo(now, host, !this->draining),
                        std::back_inserter(mails));
    }
  }
  return mails;
}

std::set<HostId> StreamDirectory::ChooseCopies() const {
  std::vector<const StreamPeer*> own_zone;
  std::vector<const StreamPeer*> other_zones;
  for (const auto& [id, peer] : this->peers) {
    if (peer.linked && !peer.draining) {
      (peer.zone == this->zone ? own_zone : other_zones).push_back(&peer);
    }
  }
  for (auto* one : {&own_zone, &other_zones}) {
    std::ranges::sort(*one, {}, [this](const StreamPeer* peer) {
      return CopyRank(this->self, peer->id);
    });
  }
  const size_t all =
      this->options.own_zone_copies + this->options.other_zone_copies;
  const size_t others = std::min(
      other_zones.size(), std::max(this->options.other_zone_copies,
                                   all - std::min(all, own_zone.size())));
  std::set<HostId> chosen;
  const auto take = [&chosen](const std::vector<const StreamPeer*>& from,
                              size_t most) {
    for (size_t i = 0; i < std::min(most, from.size()); ++i) {
      chosen.insert(from[i]->id);
    }
  };
  take(other_zones, others);
  take(own_zone, all - chosen.size());
  return chosen;
}

// Reports for a host that has just been chosen or linked.
StreamMails StreamDirectory::ReportTo(Instant now,
                                      const HostId& to,
                                      bool own_only) const {
  StreamMails mails;
  StreamReports reports;
  for (const auto& [stream, entry] : this->records) {
    if (own_only && !entry.own) {
      continue;
    }
    reports.streams.push_back(this->ReportOf(now, stream, entry));
    if (reports.streams.size() == this->options.max_reports_per_message) {
      mails.push_back({.to = to, .message = std::exchange(reports, {})});
    }
  }
  if (!reports.streams.empty()) {
    mails.push_back({.to = to, .message = std::move(reports)});
  }
  return mails;
}

StreamReport StreamDirectory::ReportOf(Instant now,
                                       StreamKey stream,
                                       const Entry& entry) const {
  return {.stream = stream,
          .origin = entry.origin,
          .remaining = std::max(entry.expires - now, Duration{})};
}

void StreamDirectory::Expire(Instant now) {
  while (!this->expiries.empty() &&
         (this->expiries.begin()->first <= now ||
          this->records.size() > this->options.max_records)) {
    this->Erase(this->expiries.begin()->second);
    this->expiries.erase(this->expiries.begin());
  }
}

void StreamDirectory::Erase(StreamKey stream) {
  this->records.erase(stream);
  for (auto& [service, streams] : this->unstored) {
    streams.erase(stream);
  }
}

// Adds a report to the records, and returns whether it was news. Different
// origins of one stream contradict each other for good.
bool StreamDirectory::Merge(Instant now,
                            const HostId& from,
                            const StreamReport& report,
                            bool own) {
  const Instant expires = now + std::clamp(report.remaining, Duration{},
                                           this->options.max_retention);
  const auto [found, added] = this->records.try_emplace(
      report.stream, Entry{.origin = report.origin, .expires = expires});
  Entry& entry = found->second;
  const bool contradicts = entry.origin && entry.origin != report.origin;
  if (!added) {
    this->expiries.erase({entry.expires, report.stream});
    entry.expires = std::max(entry.expires, expires);
  }
  const bool writes = own || !this->peers.contains(from);
  if (writes && entry.origin && (added || contradicts)) {
    this->unstored[entry.origin->service].insert(report.stream);
  }
  if (contradicts) {
    entry.origin.reset();
  }
  entry.own = entry.own || own;
  this->expiries.insert({entry.expires, report.stream});
  if (const auto question = this->questions.find(report.stream);
      question != this->questions.end()) {
    question->second.source = from;
  }
  return added || contradicts;
}

StreamMails StreamDirectory::Record(Instant now,
                                    StreamKey stream,
                                    const std::optional<StreamOrigin>& origin,
                                    Duration remaining) {
  this->Merge(now, this->self,
              {.stream = stream,
               .origin = origin,
               .remaining = std::max(remaining, Duration{}) +
                            this->options.expiry_margin},
              true);
  this->Expire(now);
  StreamMails mails;
  const auto found = this->records.find(stream);
  if (found == this->records.end()) {
    return mails;
  }
  const StreamReport report = this->ReportOf(now, stream, found->second);
  std::ranges::transform(
      this->copies, std::back_inserter(mails), [&report](const HostId& to) {
        return StreamMail{.to = to,
                          .message = StreamReports{.streams = {report}}};
      });
  return mails;
}

std::optional<StreamProgress> StreamDirectory::Find(Instant now,
                                                    StreamKey stream) const {
  const auto found = this->records.find(stream);
  if (found == this->records.end() || found->second.expires <= now) {
    return {};
  }
  const Entry& entry = found->second;
  return entry.origin ? StreamProgress::BegunAt(*entry.origin)
                      : StreamProgress::BegunAtUnknownOrigin();
}

// A second question for the stream starts anew, since hosts that have answered
// the first one may have been told meanwhile.
StreamMails StreamDirectory::Ask(Instant now, StreamKey stream) {
  StreamMails mails;
  Question& question = this->questions[stream];
  question.asked_at = now;
  for (const auto& [id, peer] : this->peers) {
    if (peer.linked && !question.waiting.contains(id)) {
      this->AskPeer(id, stream, question, mails);
    }
  }
  return mails;
}

// Streams asked of the same host at once go into one message.
void StreamDirectory::AskPeer(const HostId& peer,
                              StreamKey stream,
                              Question& question,
                              StreamMails& mails) {
  question.asked.insert(peer);
  question.waiting.insert(peer);
  const auto last = std::ranges::find_if(mails, [&peer](const auto& mail) {
    return mail.to == peer &&
           std::holds_alternative<StreamQuestion>(mail.message);
  });
  if (last != mails.end()) {
    std::get<StreamQuestion>(last->message).streams.push_back(stream);
  } else {
    mails.push_back(
        {.to = peer, .message = StreamQuestion{.streams = {stream}}});
  }
}

// Hosts that haven't answered, and those that can't be asked.
int64_t StreamDirectory::SilentHosts(const Question& question) const {
  return static_cast<int64_t>(question.waiting.size()) +
         std::ranges::count_if(this->peers, [](const auto& entry) {
           return !entry.second.linked;
         });
}

std::vector<StreamDecision> StreamDirectory::TakeDecisions(Instant now) {
  std::vector<StreamDecision> decisions;
  std::erase_if(this->questions, [&](const auto& entry) {
    const auto& [stream, question] = entry;
    const auto found = this->Find(now, stream);
    const int64_t silent = this->SilentHosts(question);
    const Duration waited = now - question.asked_at;
    if (!found && silent > 0 && waited < this->options.answer_timeout) {
      return false;
    }
    decisions.push_back(
        {.stream = stream,
         .progress = found.value_or(StreamProgress::BegunAtUnknownOrigin()),
         .recorded = found.has_value(),
         .source = question.source,
         .asked = static_cast<int64_t>(question.asked.size()),
         .silent = silent,
         .waited = waited});
    return true;
  });
  return decisions;
}

StreamMails StreamDirectory::OnMessage(Instant now,
                                       const HostId& from,
                                       const StreamMessage& message) {
  this->Expire(now);
  if (const auto* reports = std::get_if<StreamReports>(&message)) {
    return this->OnReports(now, from, *reports);
  }
  if (const auto* question = std::get_if<StreamQuestion>(&message)) {
    return this->Answer(now, from, *question);
  }
  this->OnAnswer(now, from, std::get<StreamAnswer>(message));
  return {};
}

StreamMails StreamDirectory::OnReports(Instant now,
                                       const HostId& from,
                                       const StreamReports& reports) {
  StreamReports news;
  for (const StreamReport& report : reports.streams) {
    if (this->Merge(now, from, report, false)) {
      news.streams.push_back(report);
    }
  }
  this->Expire(now);
  StreamMails mails;
  if (this->draining && !news.streams.empty()) {
    for (const HostId& to : this->copies) {
      mails.push_back({.to = to, .message = news});
    }
  }
  return mails;
}

StreamMails StreamDirectory::Answer(Instant now,
                                    const HostId& from,
                                    const StreamQuestion& question) {
  StreamAnswer answer;
  for (const StreamKey stream : question.streams) {
    const auto found = this->records.find(stream);
    if (found == this->records.end()) {
      answer.unknown.push_back(stream);
    } else {
      answer.known.push_back(this->ReportOf(now, stream, found->second));
    }
  }
  return {{.to = from, .message = std::move(answer)}};
}

void StreamDirectory::OnAnswer(Instant now,
                               const HostId& from,
                               const StreamAnswer& answer) {
  for (const StreamReport& report : answer.known) {
    this->Merge(now, from, report, false);
  }
  this->Expire(now);
  for (const StreamKey stream : answer.unknown) {
    if (const auto found = this->questions.find(stream);
        found != this->questions.end()) {
      found->second.waiting.erase(from);
    }
  }
}

std::vector<StreamReport> StreamDirectory::TakeUnstored(
    Instant now,
    const std::set<ServiceId>& services) {
  this->Expire(now);
  std::vector<StreamReport> reports;
  for (const ServiceId& service : services) {
    for (const StreamKey stream : std::exchange(this->unstored[service], {})) {
      reports.push_back(this->ReportOf(now, stream, this->records.at(stream)));
    }
  }
  return reports;
}

StreamMails StreamDirectory::StartDrain(Instant now) {
  this->Expire(now);
  this->draining = true;
  StreamMails mails;
  for (const HostId& to : this->copies) {
    std::ranges::move(this->ReportTo(now, to, false),
                      std::back_inserter(mails));
  }
  return mails;
}

}  // namespace hickorystand
