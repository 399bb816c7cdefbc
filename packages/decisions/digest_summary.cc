#include "decisions/digest_summary.h"

#include <algorithm>
#include <utility>

namespace hickorystand {
namespace {

// Maximum number of sources that have left but whose counters are retained.
constexpr size_t kMaxRetainedSources = 64;

}  // namespace

// Adds the cost that a source served since its last digest.
void DigestSummary::Count(Source& source, const Digest& digest) {
  const bool first = source.incarnation == 0;
  if (digest.incarnation != source.incarnation) {
    source.counted.clear();
  }
  for (const auto& entry : digest.served) {
    int64_t& counted = source.counted[entry.account];
    if (!first) {
      this->served[entry.account] += std::max<int64_t>(0, entry.cost - counted);
    }
    counted = std::max(counted, entry.cost);
  }
}

void DigestSummary::OnDigest(const Digest& digest) {
  Source& source = this->sources[digest.host];
  if (std::pair(digest.incarnation, digest.sequence) <=
      std::pair(source.incarnation, source.sequence)) {
    return;
  }
  this->Count(source, digest);
  source.incarnation = digest.incarnation;
  source.sequence = digest.sequence;
  source.digest = digest;
  std::erase(this->departed, digest.host);
}

void DigestSummary::OnGone(const HostId& source) {
  const auto found = this->sources.find(source);
  if (found == this->sources.end() ||
      std::ranges::count(this->departed, source)) {
    return;
  }
  // The counters are retained, as the source may only be unreachable for a
  // while.
  found->second.digest = {};
  this->departed.push_back(source);
  if (this->departed.size() > kMaxRetainedSources) {
    this->sources.erase(this->departed.front());
    this->departed.pop_front();
  }
}

Digest DigestSummary::Make(const HostId& host,
                           const DataCentreId& data_centre,
                           uint64_t incarnation) const {
  Digest sum;
  sum.host = host;
  sum.data_centre = data_centre;
  sum.incarnation = incarnation;
  std::map<EndpointId, EndpointOutstanding> outstanding;
  std::map<uint64_t, int64_t> crashes;
  std::map<EndpointId, EndpointStatus> leaving;
  for (const auto& [id, source] : this->sources) {
    for (const auto& entry : source.digest.outstanding) {
      auto& total = outstanding[entry.endpoint];
      total.endpoint = entry.endpoint;
      total.prompt_tokens += entry.prompt_tokens;
      total.requests += entry.requests;
    }
    for (const auto& entry : source.digest.suspicions) {
      int64_t& max_crashes = crashes[entry.fingerprint];
      max_crashes = std::max(max_crashes, entry.crashes);
    }
    for (const auto& entry : source.digest.endpoints) {
      auto& status = leaving[entry.endpoint];
      if (entry.leaving && entry.incarnation >= status.incarnation) {
        status = entry;
        status.down = false;
      }
    }
    sum.configuration_revision = std::max(sum.configuration_revision,
                                          source.digest.configuration_revision);
  }
  for (const auto& [id, total] : outstanding) {
    sum.outstanding.push_back(total);
  }
  for (const auto& [account, cost] : this->served) {
    sum.served.push_back(
        {.account = account, .cost = cost - cost % kSummaryUnit});
  }
  for (const auto& [fingerprint, max_crashes] : crashes) {
    sum.suspicions.push_back(
        {.fingerprint = fingerprint, .crashes = max_crashes});
  }
  for (const auto& [id, status] : leaving) {
    if (status.leaving) {
      sum.endpoints.push_back(status);
    }
  }
  return sum;
}

}  // namespace hickorystand
