#include "daemon/configuration_driver.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace hickorystand {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);

// Limit on the bytes of values in one reply, well below the frame limit.
constexpr size_t kMaxReplyBytes = 256UL * 1024;

// Returns the written records. Deletions are skipped, as they carry no value.
std::vector<StoreRecord> Written(const std::vector<StoreChange>& changes) {
  std::vector<StoreRecord> records;
  for (const StoreChange& change : changes) {
    if (!change.deleted) {
      records.push_back(change.record);
    }
  }
  return records;
}

}  // namespace

ConfigurationDriver::ConfigurationDriver(const ReplicaOptions& options,
                                         const Clock& clock,
                                         ConfigurationDependencies dependencies)
    : clock(clock), dependencies(std::move(dependencies)), replica(options) {
  this->timer = Timer::Every(kTick, [this] {
    this->ended_watch.reset();
    this->Perform(this->replica.OnTick(this->clock.Now()));
  });
}

ConfigurationPtr ConfigurationDriver::Current() const {
  static const ConfigurationPtr kNone = std::make_shared<Configuration>();
  return this->replica.InForce() ? this->replica.InForce() : kNone;
}

void ConfigurationDriver::SetWatching(bool watches) {
  this->Perform(this->replica.SetWatching(this->clock.Now(), watches));
}

void ConfigurationDriver::OnPeerRevision(const HostId& peer, int64_t revision) {
  this->Perform(
      this->replica.OnPeerRevision(this->clock.Now(), peer, revision));
}

void ConfigurationDriver::OnBuckets(const HostId& peer,
                                    const BucketsReply& reply) {
  std::vector<ReplicaValue> values;
  std::ranges::transform(reply.buckets, std::back_inserter(values),
                         [](const Bucket& bucket) {
                           return ReplicaValue{.key = bucket.name,
                                               .revision = bucket.revision,
                                               .text = bucket.value};
                         });
  this->Perform(this->replica.OnPeerValues(this->clock.Now(), peer, values));
}

std::vector<BucketsReply> ConfigurationDriver::RepliesTo(
    const BucketsRequest& request) const {
  std::vector<BucketsReply> replies(
      1, {.head_revision = this->replica.Revision()});
  size_t bytes = 0;
  for (const ReplicaValue& value :
       this->replica.ValuesAbove(request.above_revision)) {
    if (bytes > 0 && bytes + value.text.size() > kMaxReplyBytes) {
      replies.push_back({.head_revision = this->replica.Revision()});
      bytes = 0;
    }
    bytes += value.text.size();
    replies.back().buckets.push_back(
        {.name = value.key, .revision = value.revision, .value = value.text});
  }
  return replies;
}

void ConfigurationDriver::Perform(const ReplicaActions& actions) {
  // In the order of ReplicaAction::Kind.
  constexpr std::array<Handler, 6> kHandlers = {
      &ConfigurationDriver::ReadHead, &ConfigurationDriver::ReadAll,
      &ConfigurationDriver::Watch,    &ConfigurationDriver::StopWatch,
      &ConfigurationDriver::Fetch,    &ConfigurationDriver::InForce,
  };
  for (const ReplicaAction& action : actions) {
    const Handler handler = kHandlers.at(static_cast<size_t>(action.kind));
    (this->*handler)(action);
  }
}

void ConfigurationDriver::ReadHead(const ReplicaAction& /*action*/) {
  this->dependencies.store->Transact(
      {.then = {StoreGet(kHeadKey)}}, [this](const StoreReply& reply) {
        this->Perform(this->replica.OnHeadRead(this->clock.Now(), reply));
      });
}

void ConfigurationDriver::ReadAll(const ReplicaAction& /*action*/) {
  this->dependencies.store->Transact(
      ReadConfigurationTransaction(), [this](const StoreReply& reply) {
        this->Perform(this->replica.OnStateRead(this->clock.Now(), reply));
      });
}

void ConfigurationDriver::Watch(const ReplicaAction& action) {
  this->ended_watch = std::move(this->watch);
  this->watch = this->dependencies.store->Watch(
      kConfigurationPrefix, action.store_revision,
      [this](int64_t /*revision*/, const std::vector<StoreChange>& changes) {
        this->Perform(
            this->replica.OnWatch(this->clock.Now(), Written(changes)));
      },
      [this](const Error& /*why*/) {
        this->Perform(this->replica.OnWatchLost(this->clock.Now()));
      });
}

void ConfigurationDriver::StopWatch(const ReplicaAction& /*action*/) {
  this->ended_watch = std::move(this->watch);
}

void ConfigurationDriver::Fetch(const ReplicaAction& action) {
  // A failed send needs no handling: the replica times out, as for a peer that
  // doesn't answer, and tries the next peer.
  this->dependencies.send(
      action.peer, BucketsRequest{.above_revision = action.above_revision});
}

void ConfigurationDriver::InForce(const ReplicaAction& action) {
  this->dependencies.in_force(action.configuration);
}

}  // namespace hickorystand
