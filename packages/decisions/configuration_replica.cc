#include "decisions/configuration_replica.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace hickorystand {
namespace {

using Kind = ReplicaAction::Kind;

constexpr std::string_view kPart = "configuration";

constexpr Duration kFirstRetry = std::chrono::milliseconds(200);
constexpr Duration kLongestRetry = std::chrono::seconds(5);

// The client of the service replies within its own, shorter timeout. A reply
// that is missing for this long was lost between the client and the replica.
constexpr Duration kReadTimeout = std::chrono::seconds(15);

// How long to wait for the missing buckets of a change before the whole state
// is read.
constexpr Duration kPartialStateTimeout = std::chrono::milliseconds(300);

void Append(ReplicaActions& to, ReplicaActions more) {
  std::ranges::move(more, std::back_inserter(to));
}

}  // namespace

ConfigurationReplica::ConfigurationReplica(ReplicaOptions options)
    : options(std::move(options)),
      backoff(kFirstRetry, kLongestRetry, this->options.seed),
      random(this->options.seed),
      limiter(5, std::chrono::seconds(10)) {}

ReplicaActions ConfigurationReplica::SetWatching(Instant now, bool enabled) {
  if (std::exchange(this->should_watch, enabled) == enabled) {
    return {};
  }
  if (!enabled) {
    return std::exchange(this->watch_open, false)
               ? ReplicaActions{{.kind = Kind::kStopWatch}}
               : ReplicaActions{};
  }
  // The watch starts at the revision of a read; otherwise changes between the
  // two would be missed.
  return this->ReadAll(now);
}

ReplicaActions ConfigurationReplica::OnHeadRead(Instant now,
                                                const StoreReply& reply) {
  this->reading_head = false;
  if (reply.outcome != StoreOutcome::kThen) {
    this->OnReadFailed(now);
    return {};
  }
  this->backoff.Reset();
  const StoreRecord* record = FindRecord(reply, kHeadKey);
  const auto read_head =
      record == nullptr ? Result<ConfigurationHead>() : ReadHead(record->value);
  if (!read_head) {
    this->IgnoreInvalid(now, read_head.error());
    return {};
  }
  if (this->IsInForce(*read_head)) {
    this->confirmed_at = now;
    return {};
  }
  if (read_head->revision <= this->head.revision) {
    this->IgnoreLower(now, read_head->revision);
    return {};
  }
  return this->StartCatchUp(now);
}

ReplicaActions ConfigurationReplica::OnStateRead(Instant now,
                                                 const StoreReply& reply) {
  this->reading_all = false;
  if (reply.outcome != StoreOutcome::kThen) {
    this->OnReadFailed(now);
    return {};
  }
  this->backoff.Reset();
  this->next_full_read.reset();
  ReplicaActions actions;
  this->staged = {};
  const bool parsed =
      std::ranges::all_of(reply.records, [&](const StoreRecord& record) {
        return this->Stage(record.key, record.value);
      });
  if (!parsed) {
    this->IgnoreInvalid(
        now, {ErrorKind::kBadSetting, "a value can't be parsed", {}});
    this->next_full_read = now + kLongestRetry;
  } else {
    if (this->IsInForce(this->staged.head)) {
      this->confirmed_at = now;
    }
    Append(actions, this->TryAccept(now));
  }
  if (this->should_watch && !this->watch_open) {
    this->watch_open = true;
    actions.push_back({.kind = Kind::kWatch, .store_revision = reply.revision});
  }
  return actions;
}

ReplicaActions ConfigurationReplica::OnWatch(
    Instant now,
    const std::vector<StoreRecord>& changed) {
  for (const StoreRecord& record : changed) {
    if (!this->Stage(record.key, record.value)) {
      return this->ReadAll(now);
    }
  }
  return this->TryAccept(now);
}

ReplicaActions ConfigurationReplica::OnWatchLost(Instant now) {
  this->watch_open = false;
  ++this->counts.watches_lost;
  // A restart of the service ends many watches at once; backoff with jitter
  // keeps the hosts from reconnecting all at the same time.
  this->next_full_read = now + this->backoff.Next();
  return {};
}

ReplicaActions ConfigurationReplica::OnPeerRevision(Instant now,
                                                    const HostId& peer,
                                                    int64_t revision) {
  this->peer_revisions[peer] = revision;
  return revision > this->head.revision ? this->StartCatchUp(now)
                                        : ReplicaActions{};
}

ReplicaActions ConfigurationReplica::OnPeerValues(
    Instant now,
    const HostId& peer,
    const std::vector<ReplicaValue>& values) {
  for (const ReplicaValue& value : values) {
    if (!this->Stage(value.key, value.text)) {
      this->IgnoreInvalid(now,
                          {ErrorKind::kBadSetting,
                           "a value from " + peer.Text() + " can't be parsed",
                           {}});
      return {};
    }
  }
  return this->TryAccept(now);
}

void ConfigurationReplica::OnPeerGone(const HostId& peer) {
  this->peer_revisions.erase(peer);
}

ReplicaActions ConfigurationReplica::OnTick(Instant now) {
  ReplicaActions actions;
  if (!std::exchange(this->started, true)) {
    // Delay the first read, so that peers can report their revisions first.
    // Otherwise all hosts of a restarting data centre would read the whole
    // state at once.
    this->next_full_read =
        this->next_full_read.value_or(now + this->backoff.Next());
  }
  if ((this->reading_all || this->reading_head) &&
      now - this->read_started > kReadTimeout) {
    this->reading_all = this->reading_head = false;
    this->OnReadFailed(now);
  }
  if (!this->fetching_from.Empty() && now >= this->fetch_deadline) {
    ++this->counts.peer_timeouts;
    this->tried_peers.push_back(std::exchange(this->fetching_from, HostId()));
    Append(actions, this->FetchFromNextPeer(now));
  }
  const bool due = this->next_full_read && now >= *this->next_full_read;
  if (due && this->fetching_from.Empty()) {
    Append(actions, this->ReadAll(now));
  }
  if (now >= this->next_confirm && this->in_force && !this->reading_head &&
      !this->reading_all && this->options.read_service) {
    this->reading_head = true;
    this->read_started = now;
    this->next_confirm = now + this->ConfirmPeriod();
    actions.push_back({.kind = Kind::kReadHead});
  }
  return actions;
}

std::vector<ReplicaValue> ConfigurationReplica::ValuesAbove(
    int64_t revision) const {
  std::vector<ReplicaValue> values;
  if (revision >= this->head.revision) {
    return values;
  }
  for (const auto& [bucket, content] : this->buckets) {
    if (content.revision > revision) {
      values.push_back({.key = BucketKey(bucket),
                        .revision = content.revision,
                        .text = this->texts.at(bucket)});
    }
  }
  values.push_back({.key = kHeadKey,
                    .revision = this->head.revision,
                    .text = this->head_text});
  return values;
}

bool ConfigurationReplica::KeysTrusted(Instant now) const {
  return this->confirmed_at && now - *this->confirmed_at <= this->KeyValidity();
}

// Keeps one value until the state is complete; false if it can't be parsed.
// Ignores unknown keys, as a newer version may have written them.
bool ConfigurationReplica::Stage(const std::string& key,
                                 const std::string& text) {
  if (key == kHeadKey) {
    auto read = ReadHead(text);
    const bool newer = read && (this->staged.head.revision == 0 ||
                                read->revision >= this->staged.head.revision ||
                                !this->options.reject_lower);
    if (newer) {
      this->staged.head = std::move(*read);
      this->staged.head_text = text;
    }
    return read.has_value();
  }
  const auto bucket = BucketOfKey(key);
  if (!bucket) {
    return true;
  }
  auto read = ReadBucket(text);
  if (!read) {
    return false;
  }
  const auto previous = this->staged.buckets.find(*bucket);
  if (previous == this->staged.buckets.end() ||
      read->revision >= previous->second.revision) {
    this->staged.buckets[*bucket] = std::move(*read);
    this->staged.texts[*bucket] = text;
  }
  return true;
}

// Accepts the staged values if, together with the buckets in force, they are a
// complete state above the one in force.
ReplicaActions ConfigurationReplica::TryAccept(Instant now) {
  if (this->staged.head.revision == 0) {
    return {};
  }
  const ConfigurationHead& next = this->staged.head;
  const bool same = this->IsInForce(next);
  if (same ||
      (next.revision <= this->head.revision && this->options.reject_lower)) {
    if (!same) {
      this->IgnoreLower(now, next.revision);
    }
    this->staged = {};
    return {};
  }
  auto merged = this->staged.buckets;
  const bool continues =
      !this->options.check_history || this->ContinuesHistory(next);
  if (continues) {
    merged.insert(this->buckets.begin(), this->buckets.end());
  }
  auto assembled = AssembleConfiguration(next, merged);
  if (assembled) {
    return this->Accept(now, std::move(*assembled));
  }
  if (assembled.error().kind != ErrorKind::kStale) {
    this->IgnoreInvalid(now, assembled.error());
    this->staged = {};
    return {};
  }
  if (!continues && !std::exchange(this->fetch_all, true)) {
    ++this->counts.forks_seen;
    this->fetching_from = {};
    return this->StartCatchUp(now);
  }
  this->next_full_read =
      std::min(this->next_full_read.value_or(now + kPartialStateTimeout),
               now + kPartialStateTimeout);
  return {};
}

ReplicaActions ConfigurationReplica::Accept(Instant now,
                                            ConfigurationPtr next) {
  assert(
      (!this->options.reject_lower || next->revision > this->head.revision) &&
      "the revision in force never decreases");
  const bool continues =
      !this->options.check_history || this->ContinuesHistory(this->staged.head);
  if (!continues) {
    this->buckets.clear();
    this->texts.clear();
  }
  for (auto& [bucket, content] : this->staged.buckets) {
    this->buckets[bucket] = std::move(content);
    this->texts[bucket] = std::move(this->staged.texts[bucket]);
  }
  this->head = std::move(this->staged.head);
  this->head_text = std::move(this->staged.head_text);
  this->staged = {};
  this->in_force = std::move(next);
  // Only a change accepted by the service increases the revision, so its sender
  // has more recent information from the service than this host had.
  this->confirmed_at = now;
  this->next_confirm = now + this->ConfirmPeriod();
  this->fetching_from = {};
  this->fetch_all = false;
  this->tried_peers.clear();
  if (!this->should_watch || this->watch_open) {
    this->next_full_read.reset();
  }
  LogInfo(kPart, "Configuration revision is in force.",
          {{"revision", std::to_string(this->head.revision)}});
  return {{.kind = Kind::kInForce, .configuration = this->in_force}};
}

// Whether a head is a successor of the one in force in the same history. After
// the service was restored from a backup and changed again, revision numbers
// are reused with other contents. Buckets of the two histories must not be
// mixed, even where their revisions match.
bool ConfigurationReplica::ContinuesHistory(
    const ConfigurationHead& next) const {
  if (this->head.revision == 0) {
    return true;
  }
  const auto found = std::ranges::find(next.recent, this->head.revision,
                                       &AcceptedChange::revision);
  return found != next.recent.end() && !this->head.recent.empty() &&
         found->token == this->head.recent.front().token;
}

// Whether a head is identical to the one in force. The same revision with
// another token is a fork.
bool ConfigurationReplica::IsInForce(const ConfigurationHead& other) const {
  return this->in_force && other.revision == this->head.revision &&
         other.recent == this->head.recent;
}

void ConfigurationReplica::IgnoreLower(Instant now, int64_t revision) {
  ++this->counts.lower_ignored;
  if (this->limiter.Allow(now)) {
    LogWarning(kPart, "Ignored a revision that is not above the one in force.",
               {{"revision", std::to_string(revision)},
                {"in_force", std::to_string(this->head.revision)}});
  }
}

void ConfigurationReplica::IgnoreInvalid(Instant now, const Error& error) {
  ++this->counts.invalid_ignored;
  if (this->limiter.Allow(now)) {
    LogError(kPart, "Ignored an invalid configuration.",
             {{"error", error.message}});
  }
}

// Starts obtaining a newer revision, unless a fetch or a read is pending.
ReplicaActions ConfigurationReplica::StartCatchUp(Instant now) {
  if (!this->fetching_from.Empty() || this->reading_all) {
    return {};
  }
  this->tried_peers.clear();
  return this->FetchFromNextPeer(now);
}

// Fetches from the next untried peer with the newest revision above the one in
// force; reads the service if none is left or peer_tries is used up.
ReplicaActions ConfigurationReplica::FetchFromNextPeer(Instant now) {
  int64_t newest = this->head.revision + 1;
  std::vector<HostId> candidates;
  for (const auto& [peer, revision] : this->peer_revisions) {
    if (revision < newest ||
        std::ranges::find(this->tried_peers, peer) != this->tried_peers.end()) {
      continue;
    }
    if (revision > newest) {
      candidates.clear();
      newest = revision;
    }
    candidates.push_back(peer);
  }
  if (candidates.empty() || this->tried_peers.size() >=
                                static_cast<size_t>(this->options.peer_tries)) {
    this->tried_peers.clear();
    return this->ReadAll(now);
  }
  // Chosen at random, so that not all hosts fetch from the same peer at once.
  std::uniform_int_distribution<size_t> pick(0, candidates.size() - 1);
  this->fetching_from = candidates[pick(this->random)];
  this->fetch_deadline = now + this->options.peer_timeout;
  return {{.kind = Kind::kFetch,
           .peer = this->fetching_from,
           .above_revision = this->fetch_all ? 0 : this->head.revision}};
}

ReplicaActions ConfigurationReplica::ReadAll(Instant now) {
  this->next_full_read.reset();
  if (this->reading_all || !this->options.read_service) {
    return {};
  }
  this->reading_all = true;
  this->read_started = now;
  return {{.kind = Kind::kReadAll}};
}

void ConfigurationReplica::OnReadFailed(Instant now) {
  ++this->counts.reads_failed;
  const Duration retry_delay = this->backoff.Next();
  const bool needed =
      !this->in_force || (this->should_watch && !this->watch_open) ||
      std::ranges::any_of(this->peer_revisions, [&](const auto& peer) {
        return peer.second > this->head.revision;
      });
  if (needed) {
    this->next_full_read = now + retry_delay;
  }
  this->next_confirm = std::max(this->next_confirm, now + retry_delay);
}

Duration ConfigurationReplica::KeyValidity() const {
  if (!this->in_force) {
    return Duration::zero();
  }
  const auto site = this->in_force->sites.find(this->options.data_centre);
  return site == this->in_force->sites.end() ? Site{}.cut_off_key_limit
                                             : site->second.cut_off_key_limit;
}

Duration ConfigurationReplica::ConfirmPeriod() const {
  constexpr int64_t kConfirmsPerLimit = 8;
  if (this->should_watch) {
    return this->options.confirm_period;
  }
  return std::clamp(this->KeyValidity() / kConfirmsPerLimit,
                    this->options.confirm_period,
                    this->options.max_confirm_period);
}

}  // namespace hickorystand
