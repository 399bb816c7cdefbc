#include "decisions/usage.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "kernel/json.h"

namespace hickorystand {
namespace {

const UsageCount kNoUsage;

void WriteCounts(JsonWriter& out,
                 const std::string& name,
                 const AccountUsage& counts) {
  out.Name(name).BeginObject();
  for (const auto& [account, count] : counts) {
    out.Name(account.Text())
        .BeginArray()
        .Value(count.prompt_tokens)
        .Value(count.generated_tokens)
        .Value(count.requests)
        .EndArray();
  }
  out.EndObject();
}

Result<AccountUsage> ReadCounts(const Json& in) {
  AccountUsage counts;
  for (const std::string& name : in.Names()) {
    const std::vector<int64_t> numbers = in.At(name).Integers();
    if (numbers.size() != 3) {
      return Fail(ErrorKind::kBadRequest,
                  "usage of '" + name + "' isn't three numbers");
    }
    counts[AccountId(name)] = {.prompt_tokens = numbers[0],
                               .generated_tokens = numbers[1],
                               .requests = numbers[2]};
  }
  return counts;
}

void WriteCopy(JsonWriter& out,
               const UsageSource& source,
               const AccountUsage& counts) {
  out.BeginObject()
      .Member("host", source.host.Text())
      .Member("incarnation", static_cast<int64_t>(source.incarnation));
  WriteCounts(out, "counts", counts);
  out.EndObject();
}

Result<UsageCopy> ReadCopy(const Json& in) {
  Result<AccountUsage> counts = ReadCounts(in.At("counts"));
  if (!counts) {
    return tl::unexpected(counts.error());
  }
  return UsageCopy{.source = {.host = HostId(in.At("host").Text()),
                              .incarnation = static_cast<uint64_t>(
                                  in.At("incarnation").Integer())},
                   .counts = *std::move(counts)};
}

const UsageCount& Find(const AccountUsage& counts, const AccountId& account) {
  const auto found = counts.find(account);
  return found == counts.end() ? kNoUsage : found->second;
}

bool HasEnded(const UsageWindow& window, const UsageSource& source) {
  const auto found = window.ended.find(source.host);
  return found != window.ended.end() && source.incarnation <= found->second;
}

bool IsNonNegative(const UsageCount& count) {
  return count.prompt_tokens >= 0 && count.generated_tokens >= 0 &&
         count.requests >= 0;
}

// Adds to a window a source's growth since the last window.
void CountSource(UsageWindow& window,
                 const UsageSource& source,
                 const AccountUsage& counts) {
  AccountUsage& counted = window.counted[source];
  for (const auto& [account, count] : counts) {
    const UsageCount reached = Find(counted, account).Highest(count);
    const UsageCount grown = reached.Minus(Find(counted, account));
    assert(IsNonNegative(grown) && "usage counted in a window never decreases");
    if (grown != kNoUsage) {
      UsageCount& figure = window.figures[account];
      figure = figure.Plus(grown);
    }
    counted[account] = reached;
  }
}

}  // namespace

UsageCount UsageCount::Plus(const UsageCount& other) const {
  return {.prompt_tokens = this->prompt_tokens + other.prompt_tokens,
          .generated_tokens = this->generated_tokens + other.generated_tokens,
          .requests = this->requests + other.requests};
}

UsageCount UsageCount::Minus(const UsageCount& other) const {
  return {.prompt_tokens = this->prompt_tokens - other.prompt_tokens,
          .generated_tokens = this->generated_tokens - other.generated_tokens,
          .requests = this->requests - other.requests};
}

UsageCount UsageCount::Highest(const UsageCount& other) const {
  return {.prompt_tokens = std::max(this->prompt_tokens, other.prompt_tokens),
          .generated_tokens =
              std::max(this->generated_tokens, other.generated_tokens),
          .requests = std::max(this->requests, other.requests)};
}

UsageMeter::UsageMeter(UsageSource source)
    : copy{.source = std::move(source)} {}

void UsageMeter::Add(const AccountId& account, const UsageCount& used) {
  assert(IsNonNegative(used) && "usage is counted up, never down");
  UsageCount& count = this->copy.counts[account];
  count = count.Plus(used);
}

void UsageLedger::Merge(const UsageCopy& copy) {
  AccountUsage& known = this->sources[copy.source];
  for (const auto& [account, count] : copy.counts) {
    UsageCount& highest = known[account];
    highest = highest.Highest(count);
  }
}

std::vector<UsageCopy> UsageLedger::Copies() const {
  std::vector<UsageCopy> copies;
  std::ranges::transform(
      this->sources, std::back_inserter(copies), [](const auto& entry) {
        return UsageCopy{.source = entry.first, .counts = entry.second};
      });
  return copies;
}

void UsageLedger::Remove(const UsageSource& source) {
  this->sources.erase(source);
}

UsageWindow CloseUsageWindow(const UsageWindow& last,
                             const UsageLedger& ledger,
                             int64_t window,
                             int64_t fencing,
                             const std::vector<UsageSource>& ending) {
  assert(window > last.window && "windows are closed in order");
  UsageWindow closed{.window = window,
                     .fencing = fencing,
                     .counted = last.counted,
                     .ended = last.ended};
  for (const auto& [source, counts] : ledger.Sources()) {
    if (!HasEnded(closed, source)) {
      CountSource(closed, source, counts);
    }
  }
  for (const UsageSource& source : ending) {
    uint64_t& ended = closed.ended[source.host];
    ended = std::max(ended, source.incarnation);
  }
  std::erase_if(closed.counted, [&closed](const auto& entry) {
    return HasEnded(closed, entry.first);
  });
  return closed;
}

std::string UsageWindowKey(const DataCentreId& data_centre, int64_t window) {
  return "/hickorystand/usage/" + data_centre.Text() + "/" +
         std::to_string(window);
}

std::string EncodeUsageCopy(const UsageCopy& copy) {
  JsonWriter out;
  WriteCopy(out, copy.source, copy.counts);
  return out.Text();
}

Result<UsageCopy> DecodeUsageCopy(const std::string& text) {
  const Result<Json> in = Json::ParseObject(text);
  if (!in) {
    return tl::unexpected(in.error());
  }
  return ReadCopy(*in);
}

std::string EncodeUsageWindow(const UsageWindow& window) {
  JsonWriter out;
  out.BeginObject()
      .Member("window", window.window)
      .Member("fencing", window.fencing);
  WriteCounts(out, "figures", window.figures);
  out.Name("counted").BeginArray();
  for (const auto& [source, counts] : window.counted) {
    WriteCopy(out, source, counts);
  }
  out.EndArray().Name("ended").BeginObject();
  for (const auto& [host, incarnation] : window.ended) {
    out.Member(host.Text(), incarnation);
  }
  out.EndObject().EndObject();
  return out.Text();
}

Result<UsageWindow> DecodeUsageWindow(const std::string& text) {
  const Result<Json> in = Json::ParseObject(text);
  if (!in) {
    return tl::unexpected(in.error());
  }
  Result<AccountUsage> figures = ReadCounts(in->At("figures"));
  if (!figures) {
    return tl::unexpected(figures.error());
  }
  UsageWindow window{.window = in->At("window").Integer(),
                     .fencing = in->At("fencing").Integer(),
                     .figures = *std::move(figures)};
  for (const Json& item : in->At("counted").Items()) {
    Result<UsageCopy> copy = ReadCopy(item);
    if (!copy) {
      return tl::unexpected(copy.error());
    }
    window.counted[copy->source] = std::move(copy->counts);
  }
  const Json ended = in->At("ended");
  for (const std::string& host : ended.Names()) {
    window.ended[HostId(host)] =
        static_cast<uint64_t>(ended.At(host).Integer());
  }
  return window;
}

}  // namespace hickorystand
