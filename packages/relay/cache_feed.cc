#include "relay/cache_feed.h"

#include <algorithm>
#include <utility>

#include "http/answer_end.h"
#include "kernel/log.h"
#include "relay/part_hash.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "cache";

}  // namespace

CacheFeed::CacheFeed(CacheFeedOptions options,
                     ConnectionPool& pool,
                     const MessageCodec& codec,
                     FleetPlacement& placement)
    : options(options), pool(&pool), codec(&codec), placement(&placement) {}

CacheFeed::~CacheFeed() {
  this->SetEndpoints({});
}

bool CacheFeed::Subscribes(const FleetEndpoint& endpoint) const {
  return endpoint.role != EndpointRole::kPlain &&
         (!this->handlers.subscribes || this->handlers.subscribes(endpoint));
}

void CacheFeed::SetEndpoints(const FleetEndpoints& endpoints) {
  std::erase_if(this->subscriptions, [&](const auto& entry) {
    const auto found = endpoints.find(entry.first);
    const bool ended = found == endpoints.end() ||
                       found->second.run != entry.second.run ||
                       !this->Subscribes(found->second);
    if (ended && entry.second.call) {
      entry.second.call->Cancel();
    }
    return ended;
  });
  for (const auto& [id, endpoint] : endpoints) {
    if (!this->subscriptions.contains(id) && this->Subscribes(endpoint)) {
      this->subscriptions[id] = {.run = endpoint.run,
                                 .address = endpoint.address};
      this->PollAfter(id, Duration{});
    }
  }
}

void CacheFeed::Poll(const EndpointId& engine) {
  Subscription& subscription = this->subscriptions.at(engine);
  subscription.body.clear();
  subscription.status = 0;
  subscription.timer = Timer::After(this->options.call_timeout, [this, engine] {
    this->subscriptions.at(engine).call->Cancel();
    this->PollAfter(engine, this->options.pause_after_failure);
  });
  subscription.call = this->pool->Send(
      {.address = subscription.address,
       .head = subscription.list_requested
                   ? this->codec->CacheChangesCall(subscription.address,
                                                   subscription.next,
                                                   this->options.wait)
                   : this->codec->CacheListCall(subscription.address)},
      {.on_head =
           [this, engine](const Http1Head& head) {
             return this->OnHead(engine, head);
           },
       .on_bytes =
           [this, engine](std::string_view bytes) {
             this->subscriptions.at(engine).body += bytes;
           },
       .on_end = [this, engine](HttpEnd end) { this->OnEnd(engine, end); }});
}

// Returns how many bytes the answer may have; nullopt if it is one to a request
// that the connection carried before. An answer to a poll may lack the rate, so
// it doesn't show the rate's end.
std::optional<uint64_t> CacheFeed::OnHead(const EndpointId& engine,
                                          const Http1Head& head) {
  Subscription& subscription = this->subscriptions.at(engine);
  const EndpointAnswer answer =
      this->codec->ReadAnswer(head.status, head.headers);
  if (answer.id) {
    return {};
  }
  subscription.status = head.status;
  if (answer.stated_rate && this->on_rate) {
    this->on_rate(
        {.endpoint = subscription.run, .per_second = answer.stated_rate});
  }
  return subscription.list_requested ? kMaxShortAnswerBytes
                                     : kMaxCacheListBytes;
}

void CacheFeed::PollAfter(const EndpointId& engine, Duration delay) {
  Subscription& subscription = this->subscriptions.at(engine);
  subscription.call.reset();
  const Duration least = this->placement->Rates().PollInterval(engine);
  subscription.timer = Timer::After(std::max(delay, least),
                                    [this, engine] { this->Poll(engine); });
}

void CacheFeed::OnEnd(const EndpointId& engine, HttpEnd end) {
  Subscription& subscription = this->subscriptions.at(engine);
  // A truncated list is no JSON document, so a close suffices as its end.
  const bool complete =
      ClassifyAnswer({.end = end}) != Completeness::kTruncated &&
      subscription.status == 200;
  const bool is_full_list = !std::exchange(subscription.list_requested, true);
  const auto events =
      complete
          ? is_full_list ? this->codec->ReadCacheList(subscription.body)
                         : this->codec->ReadCacheChanges(subscription.body)
          : Result<CacheChanges>(Fail(ErrorKind::kEndpointFailed, "no answer"));
  if (!events) {
    LogDebug(kPart, "Cache event poll failed.",
             {{"endpoint", engine.Text()},
              {"status", std::to_string(subscription.status)}});
    this->PollAfter(engine, this->options.pause_after_failure);
    return;
  }
  this->ApplyEvents(engine, *events);
  this->PollAfter(engine, this->options.pause);
}

void CacheFeed::ApplyEvents(const EndpointId& engine,
                            const CacheChanges& events) {
  Subscription& subscription = this->subscriptions.at(engine);
  // The engine restarted, or events were lost: entries recorded for it may have
  // been evicted. Those that remain are recorded again when they are next used.
  CacheUpdate update{
      .engine = subscription.run,
      .reset = !subscription.epoch.empty() &&
               (subscription.epoch != events.epoch || events.lost)};
  subscription.epoch = events.epoch;
  subscription.next = events.next;
  std::ranges::transform(events.changes, std::back_inserter(update.parts),
                         [](const CacheChange& change) {
                           return PartTokens{
                               .part = PromptPartHash(change.part),
                               .tokens = change.tokens};
                         });
  this->ApplyUpdate(update);
  if (this->handlers.on_update && (update.reset || !update.parts.empty())) {
    this->handlers.on_update(update);
  }
}

void CacheFeed::ApplyUpdate(const CacheUpdate& update) {
  const EndpointId& engine = update.engine.id;
  if (!this->placement->IsListed(update.engine)) {
    return;
  }
  if (update.reset) {
    this->placement->ClearCache(engine);
  }
  for (const PartTokens& part : update.parts) {
    this->placement->OnCache(engine, part);
  }
}

std::vector<CacheUpdate> CacheFeed::Snapshot() const {
  std::vector<CacheUpdate> updates;
  std::ranges::transform(
      this->subscriptions, std::back_inserter(updates),
      [this](const auto& entry) {
        return CacheUpdate{
            .engine = entry.second.run,
            .reset = true,
            .parts = this->placement->ConfirmedParts(entry.first)};
      });
  return updates;
}

}  // namespace hickorystand
