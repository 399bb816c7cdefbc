#include "relay/cache_feed.h"

#include <algorithm>
#include <utility>

#include "kernel/log.h"
#include "relay/part_hash.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "cache";

}  // namespace

CacheFeed::CacheFeed(CacheFeedOptions options,
                     EndpointPool& pool,
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
    const bool gone = found == endpoints.end() ||
                      found->second.run != entry.second.run ||
                      !this->Subscribes(found->second);
    if (gone && entry.second.call) {
      entry.second.call->Cancel();
    }
    return gone;
  });
  for (const auto& [id, endpoint] : endpoints) {
    if (!this->subscriptions.contains(id) && this->Subscribes(endpoint)) {
      this->subscriptions[id] = {.run = endpoint.run,
                                 .address = endpoint.address};
      this->Poll(id);
    }
  }
}

void CacheFeed::Poll(const EndpointId& engine) {
  Subscription& to = this->subscriptions.at(engine);
  to.body.clear();
  to.status = 0;
  to.timer = Timer::After(this->options.limit, [this, engine] {
    this->subscriptions.at(engine).call->Cancel();
    this->PollAfter(engine, this->options.pause_after_failure);
  });
  to.call = this->pool->Send(
      {.address = to.address,
       .head = to.listed ? this->codec->CacheNewsCall(to.address, to.next,
                                                      this->options.wait)
                         : this->codec->CacheListCall(to.address)},
      {.on_head =
           [this, engine](const Http1Head& head) {
             this->subscriptions.at(engine).status = head.status;
             return true;
           },
       .on_bytes =
           [this, engine](std::string_view bytes) {
             this->subscriptions.at(engine).body += bytes;
           },
       .on_end = [this, engine](HttpEnd end) { this->OnEnd(engine, end); }});
}

void CacheFeed::PollAfter(const EndpointId& engine, Duration pause) {
  Subscription& to = this->subscriptions.at(engine);
  to.call.reset();
  to.timer = Timer::After(pause, [this, engine] { this->Poll(engine); });
}

void CacheFeed::OnEnd(const EndpointId& engine, HttpEnd end) {
  Subscription& to = this->subscriptions.at(engine);
  const bool whole = end == HttpEnd::kWhole && to.status == 200;
  const bool list = !std::exchange(to.listed, true);
  const auto news =
      whole ? list ? this->codec->ReadCacheList(to.body)
                   : this->codec->ReadCacheNews(to.body)
            : Result<CacheNews>(Fail(ErrorKind::kEndpointFailed, "no answer"));
  if (!news) {
    LogDebug(
        kPart, "Cache event poll failed.",
        {{"endpoint", engine.Text()}, {"status", std::to_string(to.status)}});
    this->PollAfter(engine, this->options.pause_after_failure);
    return;
  }
  this->TakeNews(engine, *news);
  this->PollAfter(engine, this->options.pause);
}

void CacheFeed::TakeNews(const EndpointId& engine, const CacheNews& news) {
  Subscription& from = this->subscriptions.at(engine);
  // The engine restarted, or events were lost: entries recorded for it may have
  // been evicted. Those that remain are recorded again when they are next used.
  CacheUpdate update{
      .engine = from.run,
      .reset = !from.epoch.empty() && (from.epoch != news.epoch || news.lost)};
  from.epoch = news.epoch;
  from.next = news.next;
  std::ranges::transform(news.changes, std::back_inserter(update.parts),
                         [](const CacheChange& change) {
                           return PartTokens{.part = HashOfPart(change.part),
                                             .tokens = change.tokens};
                         });
  this->TakeUpdate(update);
  if (this->handlers.on_update && (update.reset || !update.parts.empty())) {
    this->handlers.on_update(update);
  }
}

void CacheFeed::TakeUpdate(const CacheUpdate& update) {
  const EndpointId& engine = update.engine.id;
  if (!this->placement->Knows(update.engine)) {
    return;
  }
  if (update.reset) {
    this->placement->ForgetCache(engine);
  }
  for (const PartTokens& part : update.parts) {
    this->placement->OnCache(engine, part);
  }
}

std::vector<CacheUpdate> CacheFeed::Snapshot() const {
  std::vector<CacheUpdate> known;
  std::ranges::transform(
      this->subscriptions, std::back_inserter(known),
      [this](const auto& entry) {
        return CacheUpdate{
            .engine = entry.second.run,
            .reset = true,
            .parts = this->placement->ConfirmedParts(entry.first)};
      });
  return known;
}

}  // namespace hickorystand
