#include "ctl/request_trace.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <sstream>
#include <tuple>

namespace hickorystand {
namespace {

constexpr std::string_view kIngressPart = "forward";
constexpr std::string_view kSchedulerPart = "relay";

// The kind of event that a log line reports.
enum class LineKind { kOther, kForwarded, kSent, kAnswered, kIngressEnd };

// Template for the description of log lines with this part and message. {name}
// is replaced by a field and {host} by the line's host. Text in brackets is
// omitted if one of its fields is missing or empty. `stays_at` describes where
// the request is until its next line.
struct LineTemplate {
  std::string_view part;
  std::string_view message;
  LineKind kind;
  std::string_view text;
  std::string_view stays_at;
};

constexpr std::string_view kIngressFieldsTemplate =
    "[; {ms} ms after it arrived][; schedulers tried: {sends}][; newest "
    "configuration known here: {configuration}][; this host had been stopping "
    "for {stopping_ms} ms]";

constexpr std::array kLineTemplates = {
    LineTemplate{kIngressPart, "Forwarded.", LineKind::kForwarded,
                 "forwarded to scheduler {scheduler}",
                 "between {host} and scheduler {scheduler}"},
    LineTemplate{kIngressPart, "Declined by the scheduler.", LineKind::kOther,
                 "declined by scheduler {scheduler}, which hasn't run it", ""},
    LineTemplate{
        kIngressPart, "Scheduler lost.", LineKind::kOther,
        "the link to scheduler {scheduler} ended while it had the request", ""},
    LineTemplate{kIngressPart, "Caller gone.", LineKind::kIngressEnd,
                 "ended here: the caller closed its connection", ""},
    LineTemplate{kIngressPart, "no scheduler", LineKind::kIngressEnd,
                 "ended here: no linked scheduler could take it", ""},
    LineTemplate{kIngressPart, "this host stops", LineKind::kIngressEnd,
                 "ended here: this host stops", ""},
    LineTemplate{
        kIngressPart, "no answer from the scheduler", LineKind::kIngressEnd,
        "ended here: scheduler {scheduler} had not answered in time", ""},
    LineTemplate{
        kIngressPart, "scheduler lost", LineKind::kIngressEnd,
        "ended here: scheduler {scheduler} was lost in the middle of the "
        "answer",
        ""},
    LineTemplate{
        kIngressPart, "Unfinished at the end of the process.",
        LineKind::kIngressEnd,
        "unfinished when this host's process ended; scheduler {scheduler} "
        "had it",
        ""},
    LineTemplate{
        kSchedulerPart, "Sent.", LineKind::kSent,
        "sent to endpoint {endpoint} (step: {step})[, software {software}][; "
        "continues the stream after event {resume_after}][; the stream began "
        "in attempt {first_attempt}][; prompt tokens to "
        "read: {new_tokens}][, to copy: {copied_tokens}][; first byte "
        "expected after {expected_ms} ms][; {left_ms} ms left][; "
        "configuration {configuration}][, proven {proof_ms} ms before]",
        "at endpoint {endpoint}"},
    LineTemplate{
        kSchedulerPart, "Attempt failed.", LineKind::kOther,
        "endpoint {endpoint} failed: {why} (status {status}; 0 is none)[; "
        "fingerprint {fingerprint}][; crashes of endpoints counted against it: "
        "{crashes}][; body delimited by {framing}][, end {end}]",
        "at scheduler {host}"},
    LineTemplate{kSchedulerPart, "Handed over: no endpoint can be reached.",
                 LineKind::kOther,
                 "handed over to another scheduler, because {host} reached no "
                 "endpoint of service {service}; {ms} ms after it arrived[; "
                 "runs here whose outcome is unknown: {uncertain_runs}]",
                 ""},
    LineTemplate{kSchedulerPart, "Handed over: the endpoint list is old.",
                 LineKind::kOther,
                 "handed over to another scheduler, because the endpoint list "
                 "of {host} is old and lacks the stream's software version; "
                 "{ms} ms after it arrived",
                 ""},
    LineTemplate{kSchedulerPart, "Continues a stream.", LineKind::kOther,
                 "continues a stream[ of attempt {first_attempt}], which began "
                 "at software {software} of service {service}[, as {source} "
                 "says][; found after {wait_ms} ms]",
                 "at scheduler {host}"},
    LineTemplate{
        kSchedulerPart, "Refused: the stream's software version is unknown.",
        LineKind::kOther,
        "refused, because no host knows at which software version the stream[ "
        "of attempt {first_attempt}] began; hosts asked: {asked}, without an "
        "answer: {silent}[; recorded as unknown: {recorded_unknown}][; "
        "after {wait_ms} ms]",
        ""},
    LineTemplate{kSchedulerPart,
                 "No endpoint of the stream's software version.",
                 LineKind::kOther,
                 "no endpoint of software {software} of service {service}, "
                 "where the stream began, can continue it; listed: {listed}, "
                 "tried: {tried}",
                 ""},
    LineTemplate{kSchedulerPart, "Waits for room.", LineKind::kOther,
                 "waits: no endpoint of service {service} has room, or other "
                 "requests go first; class {class} (0 is the most urgent), "
                 "account {account}; requests that wait here: {waiting}[; its "
                 "caller first asked {caller_age_ms} ms before][; waits at "
                 "most {max_wait_ms} ms]",
                 "in the admission queue of {host}"},
    LineTemplate{
        kSchedulerPart, "Refused by the admission queue.", LineKind::kOther,
        "refused by the admission queue: {why}[; it had waited {waited_ms} "
        "ms]; service {service}, class {class} (0 is the most urgent), account "
        "{account}; requests that wait here: {waiting}[; its caller first "
        "asked {caller_age_ms} ms before][; room expected after "
        "{until_room_ms} ms]",
        ""},
    LineTemplate{kSchedulerPart, "Prompt not read.", LineKind::kOther,
                 "endpoint {endpoint} didn't read the prompt: {why} (status "
                 "{status}; 0 is none)",
                 "at scheduler {host}"},
    LineTemplate{kSchedulerPart, "Retry granted.", LineKind::kOther,
                 "took a retry from the budget of service {service}; retries "
                 "taken here in the window: {retries}, left: {left}[; requests "
                 "here in two windows: {requests}][; share of the slack: "
                 "{share}]",
                 ""},
    LineTemplate{
        kSchedulerPart, "Retry refused: budget spent.", LineKind::kOther,
        "not sent again: the retry budget of service {service} is "
        "spent here; retries taken in the window: {retries}[; requests "
        "here in two windows: {requests}][; share of the slack: "
        "{share}]",
        ""},
    LineTemplate{kSchedulerPart, "Dropped an answer to another request.",
                 LineKind::kOther,
                 "dropped an answer of endpoint {endpoint} to another request",
                 ""},
    LineTemplate{
        kSchedulerPart, "Over the account's limit.", LineKind::kOther,
        "over the limit of account {account}: {why}; it counts as "
        "{tokens}, {held} held here[; home {home}]; share {share}[, "
        "confirmed {share_ms} ms before][, of record {holders_revision}]; "
        "configuration {configuration}; may come back after "
        "{retry_after_ms} ms",
        ""},
    LineTemplate{kSchedulerPart, "Refused: endpoints crash.", LineKind::kOther,
                 "refused, because endpoints crash when they run it: {crashes} "
                 "crashes ({endpoints}), the last {newest_ms} ms before; "
                 "fingerprint {fingerprint}; prompt part (none: the request "
                 "itself) {prompt_part}; refused for {retry_after_ms} ms more",
                 ""},
    LineTemplate{
        kSchedulerPart, "Over the endpoints' stated rates.", LineKind::kOther,
        "no endpoint of service {service} takes another request from this host "
        "now; endpoints that state a rate: {limited_endpoints}; may come back "
        "after {retry_after_ms} ms",
        ""},
    LineTemplate{
        kSchedulerPart, "No endpoint is expected to answer in time.",
        LineKind::kOther,
        "none of {endpoints} endpoints of service {service} is expected to "
        "answer in the {left_ms} ms left: the soonest takes {soonest_ms} ms, "
        "the best has a queue of {queue_ms} ms; in progress there: {requests} "
        "requests of this host, {peer_requests} of others; may come back after "
        "{retry_after_ms} ms",
        ""},
    LineTemplate{
        kSchedulerPart, "Answered.", LineKind::kAnswered,
        "ended with \"{outcome}\" after {ms} ms[; route {route}][; account "
        "{account}][; forwarded by {forwarded_by}][; sends: {sends}][; "
        "configuration {configuration}][, proven "
        "{proof_ms} ms before][; this host had been stopping for "
        "{stopping_ms} ms][; waited for room: {waited_ms} ms][; endpoint's "
        "body delimited by {framing}][, end "
        "{end}][; first event after {first_ms} ms][, longest "
        "pause {pause_ms} ms]",
        ""},
    LineTemplate{
        kSchedulerPart, "Unfinished at the end of the process.",
        LineKind::kAnswered,
        "unfinished after {ms} ms when this host's process ended[; endpoint "
        "{endpoint} had it][; forwarded by {forwarded_by}][; answer begun: "
        "{begun}]",
        ""},
};

const LineTemplate* FindLineTemplate(const LogEntry& entry) {
  const auto* row =
      std::ranges::find_if(kLineTemplates, [&entry](const LineTemplate& one) {
        return one.part == entry.part && one.message == entry.message;
      });
  return row == kLineTemplates.end() ? nullptr : row;
}

LineKind KindOf(const LogEntry& entry) {
  const LineTemplate* row = FindLineTemplate(entry);
  return row == nullptr ? LineKind::kOther : row->kind;
}

// Expands a template without brackets. Sets `missing` if a field is missing or
// empty.
std::string ExpandTemplate(std::string_view text,
                           const LogEntry& entry,
                           bool& missing) {
  std::string out;
  while (!text.empty()) {
    const size_t open = std::min(text.find('{'), text.size());
    out += text.substr(0, open);
    text.remove_prefix(open);
    if (text.empty()) {
      break;
    }
    const size_t close = text.find('}');
    const std::string_view name = text.substr(1, close - 1);
    const std::string_view value = name == "host" ? entry.host : entry.At(name);
    missing = missing || value.empty();
    out += value.empty() ? "?" : value;
    text.remove_prefix(close + 1);
  }
  return out;
}

std::string ExpandTemplate(std::string_view text, const LogEntry& entry) {
  std::string out;
  bool optional = false;
  while (!text.empty()) {
    const size_t end = std::min(text.find_first_of("[]"), text.size());
    bool missing = false;
    const std::string part =
        ExpandTemplate(text.substr(0, end), entry, missing);
    out += optional && missing ? "" : part;
    optional = end < text.size() && text[end] == '[';
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return out;
}

// Replaces control characters: text from callers may contain terminal escape
// sequences.
std::string Printable(std::string text) {
  std::ranges::replace_if(text, [](char c) { return g_ascii_iscntrl(c); }, ' ');
  return text;
}

// Converts an ISO 8601 time to Unix milliseconds; nullopt if it is invalid.
std::optional<int64_t> ParseTime(const std::string& text) {
  g_autoptr(GDateTime) time =
      g_date_time_new_from_iso8601(text.c_str(), nullptr);
  if (time == nullptr) {
    return {};
  }
  return g_date_time_to_unix(time) * 1000 +
         g_date_time_get_microsecond(time) / 1000;
}

std::optional<LogEntry> ParseEntry(const std::string& host,
                                   std::string_view line) {
  const auto read = Json::ParseObject(line);
  if (!read) {
    return {};
  }
  LogEntry entry{.time = read->At("time").Text(),
                 .host = host,
                 .part = read->At("part").Text(),
                 .message = Printable(read->At("message").Text())};
  const auto unix_ms = ParseTime(entry.time);
  if (!unix_ms || entry.part.empty() || entry.message.empty()) {
    return {};
  }
  entry.unix_ms = *unix_ms;
  constexpr std::array<std::string_view, 4> kHead = {"time", "level", "part",
                                                     "message"};
  for (const std::string& name : read->Names()) {
    if (std::ranges::find(kHead, name) == kHead.end()) {
      entry.fields.emplace_back(name, Printable(read->At(name).Text()));
    }
  }
  return entry;
}

// Reads a line and keeps its first `most` bytes. Returns false at the end of
// the stream.
bool ReadBoundedLine(std::istream& in, size_t most, std::string& line) {
  line.clear();
  std::streambuf* bytes = in.rdbuf();
  constexpr int kEnd = std::char_traits<char>::eof();
  int byte = bytes->sbumpc();
  if (byte == kEnd) {
    return false;
  }
  for (; byte != kEnd && byte != '\n'; byte = bytes->sbumpc()) {
    if (line.size() < most) {
      line += static_cast<char>(byte);
    }
  }
  return true;
}

// The time of a line without its date.
std::string_view TimeOfDay(const LogEntry& entry) {
  const std::string_view time = entry.time;
  return time.substr(std::min(time.find('T') + 1, time.size()));
}

// Rank of a line among those of the same millisecond: the first forward of an
// ingress host, then lines of other parts, then other lines of ingress hosts.
int TieBreakRank(const LogEntry& entry) {
  if (KindOf(entry) == LineKind::kForwarded && entry.At("sends") == "1") {
    return 0;
  }
  return entry.part == kIngressPart ? 2 : 1;
}

std::string Padded(std::string text, size_t width) {
  text.resize(std::max(text.size(), width), ' ');
  return text;
}

}  // namespace

std::string_view LogEntry::At(std::string_view name) const {
  const auto found = std::ranges::find(
      this->fields, name, &std::pair<std::string, std::string>::first);
  return found == this->fields.end() ? std::string_view() : found->second;
}

std::string_view LogEntry::Role() const {
  return this->part == kIngressPart     ? "ingress"
         : this->part == kSchedulerPart ? "scheduler"
                                        : "host";
}

std::string HostFromLogPath(std::string_view path) {
  constexpr std::string_view kEnding = ".log";
  path = path.substr(path.rfind('/') + 1);
  if (path.ends_with(kEnding)) {
    path.remove_suffix(kEnding.size());
  }
  return std::string(path);
}

std::string Explain(const LogEntry& entry) {
  if (const LineTemplate* row = FindLineTemplate(entry)) {
    std::string text = ExpandTemplate(row->text, entry);
    if (entry.part == kIngressPart) {
      text += ExpandTemplate(kIngressFieldsTemplate, entry);
    }
    return text;
  }
  std::string text = entry.message;
  for (const auto& [name, value] : entry.fields) {
    if (name != "request" && !value.empty()) {
      text += " " + name + "=" + value;
    }
  }
  return text;
}

bool RequestTrace::Read(const std::string& host, std::istream& in) {
  std::string line;
  SkippedLines skipped{.input = host};
  bool any_recognised = false;
  for (int64_t number = 1; ReadBoundedLine(in, kMaxLineBytes, line); ++number) {
    const bool recognised = this->ReadLine(host, line);
    any_recognised = any_recognised || recognised;
    if (!recognised && !line.empty()) {
      skipped.first = skipped.count++ == 0 ? number : skipped.first;
    }
  }
  if (skipped.count > 0) {
    this->skipped.push_back(skipped);
  }
  return any_recognised || skipped.count == 0;
}

// Parses only lines that contain the request's id; other lines are only checked
// for the start and the end of a JSON log line.
bool RequestTrace::ReadLine(const std::string& host, std::string_view line) {
  constexpr std::string_view kBegin = "{\"time\":\"";
  const size_t begin = line.find(kBegin);
  if (begin == std::string_view::npos || line.back() != '}') {
    return false;
  }
  if (line.find(this->request) == std::string_view::npos) {
    return true;
  }
  std::string_view prefix = line.substr(0, begin);
  prefix = prefix.substr(0, prefix.find_last_not_of(" \t:") + 1);
  auto entry = ParseEntry(prefix.empty() ? host : HostFromLogPath(prefix),
                          line.substr(begin));
  if (!entry) {
    return false;
  }
  if (entry->At("request") != this->request) {
    return true;
  }
  if (this->entries.size() < kMaxEntries) {
    entry->place = this->entries.size();
    this->entries.push_back(std::move(*entry));
  } else {
    ++this->dropped;
  }
  return true;
}

void RequestTrace::Finish() {
  std::ranges::sort(this->entries, {}, [](const LogEntry& entry) {
    return std::tuple(entry.unix_ms, TieBreakRank(entry), entry.place);
  });
}

// Schedulers answer through the ingress host, so the last line of the ingress
// host determines which scheduler's answer reached the caller. This does not
// depend on the clocks of different hosts being in step.
const LogEntry* RequestTrace::End() const {
  const auto last = [this](const auto& matches) {
    const auto found = std::ranges::find_if(this->entries.rbegin(),
                                            this->entries.rend(), matches);
    return found == this->entries.rend() ? nullptr : &*found;
  };
  const auto* direct = last([](const LogEntry& entry) {
    return KindOf(entry) == LineKind::kAnswered &&
           entry.At("forwarded_by").empty();
  });
  const auto* ingress =
      last([](const LogEntry& entry) { return entry.part == kIngressPart; });
  const auto* forwarded = ingress;
  if (ingress == nullptr || KindOf(*ingress) != LineKind::kIngressEnd) {
    forwarded = last([ingress](const LogEntry& entry) {
      return KindOf(entry) == LineKind::kAnswered &&
             !entry.At("forwarded_by").empty() &&
             (ingress == nullptr || entry.host == ingress->At("scheduler"));
    });
  }
  // A caller may retry a request at another host; the latest attempt counts.
  const LogEntry* latest = forwarded != nullptr ? forwarded : ingress;
  const bool direct_is_later =
      direct != nullptr &&
      (latest == nullptr || direct->unix_ms > latest->unix_ms);
  return direct_is_later ? direct : forwarded;
}

std::string RequestTrace::Outcome() const {
  const LogEntry* end = this->End();
  if (end == nullptr) {
    return "No line tells how the request ended: it still runs, the log of a "
           "host is missing here, or its line was dropped "
           "(log_lines_dropped_total).";
  }
  const std::string_view stated = end->At("outcome");
  const std::string_view outcome = stated.empty() ? end->message : stated;
  std::set<std::string_view> sent_to;
  for (const LogEntry& entry : this->entries) {
    if (KindOf(entry) == LineKind::kSent && entry.At("step") == "run") {
      sent_to.insert(entry.At("endpoint"));
    }
  }
  std::string text = "\"" + std::string(outcome) + "\", by " + end->host +
                     " as " + std::string(end->Role()) + ". ";
  // Hosts answer with these statuses only if no endpoint ran the request.
  const bool not_run = outcome.starts_with("503") ||
                       outcome.starts_with("429") ||
                       (end->part == kIngressPart && end->At("sends") == "0");
  if (not_run) {
    text += "This answer is given only if no endpoint ran the request. ";
  }
  if (sent_to.empty()) {
    return text + "No line shows that it was sent to run.";
  }
  text += "Sent to run at";
  std::string_view separator = " ";
  for (const std::string_view endpoint : sent_to) {
    text.append(std::exchange(separator, ", ")).append(endpoint);
  }
  return text + ".";
}

std::vector<std::pair<std::string, int64_t>> RequestTrace::TimeByPlace() const {
  std::vector<std::pair<std::string, int64_t>> stays;
  for (size_t i = 0; i + 1 < this->entries.size(); ++i) {
    const LogEntry& entry = this->entries[i];
    const LineTemplate* row = FindLineTemplate(entry);
    const int64_t length = this->entries[i + 1].unix_ms - entry.unix_ms;
    if (row != nullptr && !row->stays_at.empty() && length > 0) {
      stays.emplace_back(ExpandTemplate(row->stays_at, entry), length);
    }
  }
  return stays;
}

// Schedulers to which a line says that the request was forwarded, and of which
// there is no line.
std::vector<std::string> RequestTrace::MissingHosts() const {
  std::set<std::string> missing;
  for (const LogEntry& entry : this->entries) {
    if (KindOf(entry) == LineKind::kForwarded) {
      missing.emplace(entry.At("scheduler"));
    }
  }
  for (const LogEntry& entry : this->entries) {
    missing.erase(entry.host);
  }
  return {missing.begin(), missing.end()};
}

std::string RequestTrace::Text() const {
  std::ostringstream out;
  std::set<std::string> hosts;
  size_t width = 0;
  for (const LogEntry& entry : this->entries) {
    hosts.insert(entry.host);
    width = std::max(width, entry.host.size());
  }
  out << "Request " << this->request << ": " << this->entries.size()
      << " lines of " << hosts.size() << " hosts";
  if (!this->entries.empty()) {
    const std::string& first = this->entries.front().time;
    out << ", " << first.substr(0, first.find('T'));
  }
  out << "\n\n";
  for (const LogEntry& entry : this->entries) {
    out << TimeOfDay(entry) << "  " << Padded(entry.host, width) << "  "
        << Padded(std::string(entry.Role()), 9) << "  " << Explain(entry)
        << "\n";
  }
  out << "\nOutcome: " << this->Outcome() << "\n";
  for (const auto& [place, length] : this->TimeByPlace()) {
    out << "Spent " << length << " ms " << place << "\n";
  }
  for (const std::string& host : this->MissingHosts()) {
    out << "No line of " << host << ", to which it was forwarded.\n";
  }
  if (this->dropped > 0) {
    out << this->dropped << " further lines were left out.\n";
  }
  std::string text = out.str();
  text.pop_back();  // Output::Line() adds the last newline
  return text;
}

JsonWriter RequestTrace::Document() const {
  JsonWriter out;
  out.BeginObject().Member("request", this->request).Name("lines").BeginArray();
  for (const LogEntry& entry : this->entries) {
    out.BeginObject()
        .Member("time", entry.time)
        .Member("host", entry.host)
        .Member("role", entry.Role())
        .Member("message", entry.message)
        .Member("text", Explain(entry))
        .Name("fields")
        .BeginObject();
    for (const auto& [name, value] : entry.fields) {
      out.Member(name, value);
    }
    out.EndObject().EndObject();
  }
  out.EndArray().Member("outcome", this->Outcome()).Name("stays").BeginArray();
  for (const auto& [place, length] : this->TimeByPlace()) {
    out.BeginObject().Member("where", place).Member("ms", length).EndObject();
  }
  out.EndArray().Name("missing_hosts").BeginArray();
  for (const std::string& host : this->MissingHosts()) {
    out.Value(host);
  }
  out.EndArray().Member("lines_left_out", this->dropped).EndObject();
  return out;
}

}  // namespace hickorystand
