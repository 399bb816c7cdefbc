#include "decisions/usage.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "decisions/json.h"

namespace hickorystand {
namespace {

const UsageCount kNothing;

void WriteCounts(JsonWriter& out,
                 const std::string& name,
                 const AccountUsage& counts) {
  out.BeginObject(name);
  for (const auto& [account, count] : counts) {
    out.BeginArray(account.Text())
        .Item(count.prompt_tokens)
        .Item(count.generated_tokens)
        .Item(count.requests)
        .EndArray();
  }
  out.EndObject();
}

Result<AccountUsage> ReadCounts(const JsonReader& in) {
  AccountUsage counts;
  for (const std::string& name : in.Names()) {
    const std::vector<int64_t> numbers = in.Integers(name);
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

const UsageCount& Find(const AccountUsage& counts, const AccountId& account) {
  const auto found = counts.find(account);
  return found == counts.end() ? kNothing : found->second;
}

bool HasEnded(const UsageWindow& window, const UsageSource& source) {
  const auto found = window.ended.find(source.host);
  return found != window.ended.end() && source.incarnation <= found->second;
}

bool NeverNegative(const UsageCount& count) {
  return count.prompt_tokens >= 0 && count.generated_tokens >= 0 &&
         count.requests >= 0;
}

// Adds to a window what one source has counted beyond the last one.
void CountSource(UsageWindow& window,
                 const UsageSource& source,
                 const AccountUsage& counts) {
  AccountUsage& counted = window.counted[source];
  for (const auto& [account, count] : counts) {
    const UsageCount reached = Find(counted, account).Highest(count);
    const UsageCount grown = reached.Minus(Find(counted, account));
    assert(NeverNegative(grown) && "a window never takes usage back");
    if (grown != kNothing) {
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
  assert(NeverNegative(used) && "usage is counted up, never down");
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

void UsageLedger::Forget(const UsageSource& source) {
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

std::string EncodeUsageWindow(const UsageWindow& window) {
  JsonWriter out;
  out.BeginObject()
      .Integer("window", window.window)
      .Integer("fencing", window.fencing);
  WriteCounts(out, "figures", window.figures);
  out.BeginArray("counted");
  for (const auto& [source, counts] : window.counted) {
    out.BeginObject()
        .Text("host", source.host.Text())
        .Integer("incarnation", static_cast<int64_t>(source.incarnation));
    WriteCounts(out, "counts", counts);
    out.EndObject();
  }
  out.EndArray().BeginObject("ended");
  for (const auto& [host, incarnation] : window.ended) {
    out.Integer(host.Text(), static_cast<int64_t>(incarnation));
  }
  out.EndObject().EndObject();
  return out.Take();
}

Result<UsageWindow> DecodeUsageWindow(const std::string& text) {
  const Result<JsonReader> in = JsonReader::Parse(text);
  if (!in) {
    return tl::unexpected(in.error());
  }
  Result<AccountUsage> figures = ReadCounts(in->Member("figures"));
  if (!figures) {
    return tl::unexpected(figures.error());
  }
  UsageWindow window{.window = in->Integer("window"),
                     .fencing = in->Integer("fencing"),
                     .figures = *std::move(figures)};
  for (const JsonReader& item : in->Items("counted")) {
    Result<AccountUsage> counts = ReadCounts(item.Member("counts"));
    if (!counts) {
      return tl::unexpected(counts.error());
    }
    const UsageSource source{
        .host = HostId(item.Text("host")),
        .incarnation = static_cast<uint64_t>(item.Integer("incarnation"))};
    window.counted[source] = *std::move(counts);
  }
  const JsonReader ended = in->Member("ended");
  for (const std::string& host : ended.Names()) {
    window.ended[HostId(host)] = static_cast<uint64_t>(ended.Integer(host));
  }
  return window;
}

}  // namespace hickorystand
