#include "relay/cache_feed.h"

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

void CacheFeed::SetEndpoints(const FleetEndpoints& endpoints) {
  std::erase_if(this->ears, [&endpoints](const auto& entry) {
    const auto found = endpoints.find(entry.first);
    const bool gone =
        found == endpoints.end() || found->second.run != entry.second.run;
    if (gone && entry.second.call) {
      entry.second.call->Cancel();
    }
    return gone;
  });
  for (const auto& [id, endpoint] : endpoints) {
    if (endpoint.role != EndpointRole::kPlain && !this->ears.contains(id)) {
      this->ears[id] = {.run = endpoint.run, .address = endpoint.address};
      this->Ask(id);
    }
  }
}

void CacheFeed::Ask(const EndpointId& engine) {
  Ear& ear = this->ears.at(engine);
  ear.body.clear();
  ear.status = 0;
  ear.timer = Timer::After(this->options.limit, [this, engine] {
    this->ears.at(engine).call->Cancel();
    this->Rest(engine, this->options.rest_after_failure);
  });
  ear.call = this->pool->Send(
      {.address = ear.address,
       .head = this->codec->CacheNewsCall(ear.address, ear.next,
                                          this->options.wait)},
      {.on_head =
           [this, engine](const Http1Head& head) {
             this->ears.at(engine).status = head.status;
             return true;
           },
       .on_bytes =
           [this, engine](std::string_view bytes) {
             this->ears.at(engine).body += bytes;
           },
       .on_end = [this, engine](HttpEnd end) { this->OnEnd(engine, end); }});
}

void CacheFeed::Rest(const EndpointId& engine, Duration rest) {
  Ear& ear = this->ears.at(engine);
  ear.call.reset();
  ear.timer = Timer::After(rest, [this, engine] { this->Ask(engine); });
}

void CacheFeed::OnEnd(const EndpointId& engine, HttpEnd end) {
  const Ear& ear = this->ears.at(engine);
  const auto news =
      end == HttpEnd::kWhole && ear.status == 200
          ? this->codec->ReadCacheNews(ear.body)
          : Result<CacheNews>(Fail(ErrorKind::kEndpointFailed, "no answer"));
  if (!news) {
    LogDebug(
        kPart, "Engine doesn't tell its cache.",
        {{"endpoint", engine.Text()}, {"status", std::to_string(ear.status)}});
    this->Rest(engine, this->options.rest_after_failure);
    return;
  }
  this->Take(engine, *news);
  this->Rest(engine, this->options.rest);
}

void CacheFeed::Take(const EndpointId& engine, const CacheNews& news) {
  Ear& ear = this->ears.at(engine);
  // Another process answers, or changes are missing: what was believed to be
  // kept may be gone. What is still there shows as it is used again.
  if (!ear.epoch.empty() && (ear.epoch != news.epoch || news.lost)) {
    this->placement->ForgetCache(engine);
  }
  ear.epoch = news.epoch;
  ear.next = news.next;
  for (const CacheChange& change : news.changes) {
    this->placement->OnCache(
        engine, {.part = HashOfPart(change.part), .tokens = change.tokens});
  }
}

}  // namespace hickorystand
