#include "decisions/usage_windows.h"

#include <algorithm>

#include "kernel/json.h"

namespace hickorystand {
namespace {

// The number of windows that are kept. With windows of 5 s that are reported
// 10 s after their end, up to four are open at a time.
constexpr int64_t kKeptWindows = 8;

void WriteCounts(JsonWriter& out, const WindowCounts& counts) {
  out.BeginObject();
  for (const auto& [account, count] : counts) {
    out.Member(account.Text(), count);
  }
  out.EndObject();
}

WindowCounts ReadCounts(const Json& from) {
  WindowCounts counts;
  for (const std::string& account : from.Names()) {
    counts[AccountId(account)] = from.At(account).Integer();
  }
  return counts;
}

}  // namespace

std::string EncodeWindowCopy(const WindowCopy& copy) {
  JsonWriter out;
  out.BeginObject()
      .Member("host", copy.source.host.Text())
      .Member("incarnation", copy.source.incarnation)
      .Member("until", copy.until_ms)
      .Name("windows")
      .BeginObject();
  for (const auto& [window, counts] : copy.windows) {
    out.Name(std::to_string(window));
    WriteCounts(out, counts);
  }
  return out.EndObject().EndObject().Text();
}

Result<WindowCopy> DecodeWindowCopy(const std::string& text) {
  const auto read = Json::ParseObject(text);
  if (!read) {
    return tl::unexpected(read.error());
  }
  WindowCopy copy{.source = {.host = HostId(read->At("host").Text()),
                             .incarnation = static_cast<uint64_t>(
                                 read->At("incarnation").Integer())},
                  .until_ms = read->At("until").Integer()};
  const Json windows = read->At("windows");
  for (const std::string& window : windows.Names()) {
    copy.windows[std::strtoll(window.c_str(), nullptr, 10)] =
        ReadCounts(windows.At(window));
  }
  return copy;
}

std::string EncodeWindowCounts(const WindowCounts& counts) {
  JsonWriter out;
  WriteCounts(out, counts);
  return out.Text();
}

Result<WindowCounts> DecodeWindowCounts(const std::string& text) {
  const auto read = Json::ParseObject(text);
  if (!read) {
    return tl::unexpected(read.error());
  }
  return ReadCounts(*read);
}

int64_t UsageWindows::WindowAt(int64_t unix_ms) const {
  return unix_ms / ToMilliseconds(this->window);
}

int64_t UsageWindows::EndOf(int64_t number) const {
  return (number + 1) * ToMilliseconds(this->window);
}

void UsageWindows::OnRequestStarted(int64_t unix_ms, const AccountId& account) {
  ++this->copies[this->self].windows[this->WindowAt(unix_ms)][account];
}

WindowCopy UsageWindows::OwnCopy(int64_t unix_ms) {
  this->DropOldWindows(this->WindowAt(unix_ms) - kKeptWindows);
  WindowCopy& own = this->copies[this->self];
  own.source = this->self;
  own.until_ms = std::max(own.until_ms, unix_ms);
  return own;
}

std::vector<WindowCopy> UsageWindows::AllCopies() const {
  std::vector<WindowCopy> all;
  for (const auto& [source, copy] : this->copies) {
    all.push_back(copy);
    all.back().source = source;
  }
  return all;
}

void UsageWindows::Merge(const WindowCopy& copy) {
  WindowCopy& known = this->copies[copy.source];
  known.source = copy.source;
  known.until_ms = std::max(known.until_ms, copy.until_ms);
  for (const auto& [number, counts] : copy.windows) {
    for (const auto& [account, count] : counts) {
      int64_t& known_count = known.windows[number][account];
      known_count = std::max(known_count, count);
    }
  }
}

WindowCounts UsageWindows::Total(int64_t number) const {
  WindowCounts total;
  for (const auto& [source, copy] : this->copies) {
    const auto found = copy.windows.find(number);
    if (found == copy.windows.end()) {
      continue;
    }
    for (const auto& [account, count] : found->second) {
      total[account] += count;
    }
  }
  return total;
}

bool UsageWindows::HasCompleteCounts(const HostId& host, int64_t number) const {
  return std::ranges::any_of(this->copies, [&](const auto& entry) {
    return entry.first.host == host &&
           entry.second.until_ms >= this->EndOf(number);
  });
}

void UsageWindows::DropOldWindows(int64_t oldest) {
  for (auto& [source, copy] : this->copies) {
    copy.windows.erase(copy.windows.begin(), copy.windows.lower_bound(oldest));
  }
  const int64_t expiry_ms = this->EndOf(oldest);
  std::erase_if(this->copies, [&](const auto& entry) {
    return entry.first != this->self && entry.second.windows.empty() &&
           entry.second.until_ms < expiry_ms;
  });
}

}  // namespace hickorystand
