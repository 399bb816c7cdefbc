// A simulated fleet whose hosts find what crashes endpoints: the real Suspects
// class at each host, endpoints that crash, callers whose requests share parts
// of their prompts, and reports that arrive late.
//
//   CrashFleetModel model({.seed = 1, .bad_share = 0.12});
//   const CrashFleetResult result = model.Run();
//   CHECK(result.late_sends <= 3);
//
// Index
//   CrashFleetOptions   what happens in a run
//   CrashFleetResult    what callers and endpoints saw
//   CrashFleetModel     the fleet, in simulated time

#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decisions/suspects.h"

namespace hickorystand {

// What happens in a run. Shares are of requests.
struct CrashFleetOptions {
  uint64_t seed = 1;
  size_t hosts = 8;
  size_t endpoints = 18;
  size_t zones = 3;
  double requests_per_second = 60;
  double seconds = 30;
  double report_delay = 0.05;  // seconds, between hosts
  double lost_reports = 0;     // share of messages between hosts
  double bad_share = 0;        // with a part that crashes endpoints
  size_t bad_parts = 1;
  double bad_from = 5;       // seconds; the parts are sound before
  bool bad_first = false;    // the bad part is the first of the prompt
  bool one_account = false;  // that sends the bad parts
  // A part of other accounts that comes with each bad part.
  bool victim_part = false;
  // Requests with many parts that no other request has, by the account that
  // sends the bad ones.
  double flood_share = 0;
  double random_crash = 0;    // chance that a run crashes its endpoint
  double broken_share = 0;    // of endpoints that crash under each run
  double broken_from = 0;     // seconds
  double broken_until = 1e9;  // seconds
  double lost_zone_at = 0;    // seconds; 0: never
};

// What callers and endpoints saw.
struct CrashFleetResult {
  int64_t crashes = 0;
  int64_t late_sends = 0;  // more than 3 s after the fifth crash of their part
  int64_t sound = 0;       // sound requests
  int64_t refused = 0;     // of these, as crashing
  int64_t late_sound = 0;  // 6 s after the fifth crash, or after broken_until
  int64_t late_refused = 0;
  int64_t victims = 0;  // requests of others with the victim part
  int64_t victims_refused = 0;
  std::set<CrashCause> blocked;  // at any host, ever
};

// The fleet. Each request has a first part, of 8, and a second one, of 115 of
// which each comes with one first part and one account.
class CrashFleetModel {
 public:
  explicit CrashFleetModel(const CrashFleetOptions& options)
      : options(options), random(options.seed) {
    const SuspectsOptions rules{
        .block_after_crashes = 3,
        .retention = std::chrono::minutes(2),
        .zone_loss_window = std::chrono::milliseconds(200)};
    for (size_t i = 0; i < options.hosts; ++i) {
      this->hosts.push_back(std::make_unique<Suspects>(rules));
    }
    this->endpoints.resize(options.endpoints);
    for (size_t i = 0; i < options.endpoints; ++i) {
      this->endpoints[i].broken =
          static_cast<double>(i) <
          options.broken_share * static_cast<double>(options.endpoints);
    }
  }

  CrashFleetResult Run() {
    this->At(this->Gap(), [this] { this->Arrive(); });
    if (this->options.lost_zone_at > 0) {
      this->At(this->options.lost_zone_at, [this] { this->LoseZone(); });
    }
    while (!this->events.empty() &&
           this->events.top().time < this->options.seconds) {
      const Event next = this->events.top();
      this->events.pop();
      this->now = next.time;
      next.work();
    }
    return this->result;
  }

  static constexpr uint64_t kFirstParts = 8;
  static constexpr uint64_t kSecondParts = 115;
  static constexpr uint64_t kAccounts = 8;
  static constexpr uint64_t kVictimPart = 77777;

  // The parts that turn bad.
  uint64_t BadPart(size_t index) const {
    return this->options.bad_first ? FirstPart(index) : SecondPart(index);
  }

 private:
  struct Event {
    double time = 0;
    int64_t number = 0;
    std::function<void()> work;

    bool operator<(const Event& other) const {
      return std::pair(other.time, other.number) <
             std::pair(this->time, this->number);
    }
  };
  struct RunState {
    size_t host = 0;
    RequestTraits request;
    std::optional<size_t> bad;  // index of the bad part
    double sent = 0;
    bool answering = false;
    int attempts = 1;
    bool ended = false;
  };
  using RunPtr = std::shared_ptr<RunState>;
  struct Endpoint {
    bool broken = false;
    int64_t run = 1;
    double up_at = 0;
    std::map<uint64_t, RunPtr> runs;  // by fingerprint
  };

  static constexpr double kDownTime = 3;       // seconds
  static constexpr double kBegunDelay = 0.15;  // until OnBegun
  static constexpr double kBound = 3;          // until all hosts refuse
  static constexpr size_t kFloodParts = 20;

  static uint64_t FirstPart(uint64_t index) { return 1000 + index; }
  static uint64_t SecondPart(uint64_t index) { return 2000 + index; }

  double Fraction() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  size_t Below(size_t bound) {
    return std::uniform_int_distribution<size_t>(0, bound - 1)(this->random);
  }
  double Gap() {
    return this->now + std::exponential_distribution<double>(
                           this->options.requests_per_second)(this->random);
  }
  void At(double time, std::function<void()> work) {
    this->events.push({time, ++this->last_event, std::move(work)});
  }
  Instant Time() const { return Instant(FromSeconds(100 + this->now)); }

  void Arrive() {
    this->At(this->Gap(), [this] { this->Arrive(); });
    const auto run = std::make_shared<RunState>();
    run->host = this->Below(this->options.hosts);
    const uint64_t second = this->Below(kSecondParts);
    run->request = {
        .fingerprint = ++this->last_request,
        .account = 1 + second % kAccounts,
        .parts = {FirstPart(second % kFirstParts), SecondPart(second)}};
    const double kind = this->Fraction();
    if (kind < this->options.bad_share) {
      const size_t bad = this->Below(this->options.bad_parts);
      run->bad = bad;
      run->request.account =
          this->options.one_account ? 1 : 1 + this->Below(kAccounts);
      if (this->options.bad_first) {
        run->request.parts[0] = FirstPart(bad);
      } else {
        run->request.parts[1] = SecondPart(bad);
      }
      if (this->options.victim_part) {
        run->request.parts.push_back(kVictimPart);
      }
    } else if (kind < this->options.bad_share + this->options.flood_share) {
      run->request.account = 1;
      for (size_t i = 0; i < kFloodParts; ++i) {
        run->request.parts.push_back(1'000'000 + this->random() % 1'000'000);
      }
    } else if (this->options.victim_part && this->Fraction() < 0.01) {
      run->request.account = 5;
      run->request.parts = {kVictimPart};
    }
    this->NoteBad(*run);
    this->Count(*run);
    this->Send(run);
  }

  // A sound request that happens to have a bad part is a bad one.
  void NoteBad(RunState& run) const {
    for (size_t i = 0; i < this->options.bad_parts; ++i) {
      if (this->options.bad_share > 0 &&
          std::ranges::find(run.request.parts, this->BadPart(i)) !=
              run.request.parts.end()) {
        run.bad = i;
      }
    }
  }

  void Count(const RunState& run) {
    if (run.bad) {
      return;
    }
    const bool refused =
        this->hosts[run.host]->FindBlock(this->Time(), run.request).has_value();
    const bool victim = std::ranges::find(run.request.parts, kVictimPart) !=
                        run.request.parts.end();
    const bool late =
        this->now > this->options.broken_until + kBound ||
        (this->fifth_crash && this->now > *this->fifth_crash + 2 * kBound);
    this->result.sound += 1;
    this->result.refused += refused ? 1 : 0;
    this->result.late_sound += late ? 1 : 0;
    this->result.late_refused += late && refused ? 1 : 0;
    this->result.victims += victim ? 1 : 0;
    this->result.victims_refused += victim && refused ? 1 : 0;
  }

  void Send(const RunPtr& run) {
    if (this->hosts[run->host]->FindBlock(this->Time(), run->request)) {
      return;
    }
    std::vector<size_t> up;
    for (size_t i = 0; i < this->endpoints.size(); ++i) {
      if (this->endpoints[i].up_at <= this->now) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      return;
    }
    const size_t index = up[this->Below(up.size())];
    run->sent = this->now;
    run->answering = false;
    run->ended = false;
    if (run->bad) {
      const auto fifth = this->fifth_crashes.find(run->bad.value_or(0));
      if (fifth != this->fifth_crashes.end() &&
          this->now > fifth->second + kBound) {
        ++this->result.late_sends;
      }
    }
    this->endpoints[index].runs[run->request.fingerprint] = run;
    const int attempt = run->attempts;
    this->At(this->now + 0.03 + 0.3 * this->Fraction(),
             [this, run, index, attempt] { this->Begin(run, index, attempt); });
  }

  // The endpoint begins to write the answer.
  void Begin(const RunPtr& run, size_t index, int attempt) {
    if (run->ended || run->attempts != attempt) {
      return;
    }
    // A waiting request is taken back once it is blocked.
    if (this->hosts[run->host]->FindBlock(this->Time(), run->request)) {
      run->ended = true;
      this->endpoints[index].runs.erase(run->request.fingerprint);
      return;
    }
    const bool bad = run->bad && this->now >= this->options.bad_from;
    const bool broken = this->endpoints[index].broken &&
                        this->now >= this->options.broken_from &&
                        this->now < this->options.broken_until;
    if (bad || broken || this->Fraction() < this->options.random_crash) {
      if (bad && ++this->part_crashes[run->bad.value_or(0)] == 5) {
        this->fifth_crashes[run->bad.value_or(0)] = this->now;
        this->fifth_crash = this->fifth_crash.value_or(this->now);
      }
      this->Crash(index);
      return;
    }
    run->answering = true;
    this->At(this->now + kBegunDelay, [this, run, attempt] {
      if (!run->ended && run->attempts == attempt) {
        this->hosts[run->host]->OnBegun(this->Time(), run->request,
                                        Instant(FromSeconds(100 + run->sent)));
        this->Tell(run->host);
      }
    });
    this->At(this->now + 0.15 + 1.5 * this->Fraction(),
             [this, run, index, attempt] { this->End(run, index, attempt); });
  }

  void End(const RunPtr& run, size_t index, int attempt) {
    if (run->ended || run->attempts != attempt) {
      return;
    }
    run->ended = true;
    this->endpoints[index].runs.erase(run->request.fingerprint);
    this->hosts[run->host]->OnAnswered(this->Time(), run->request,
                                       Instant(FromSeconds(100 + run->sent)));
    this->Tell(run->host);
  }

  void Crash(size_t index) {
    Endpoint& endpoint = this->endpoints[index];
    ++this->result.crashes;
    const CrashedEndpoint crashed{
        .endpoint = {.id = EndpointId("e" + std::to_string(index)),
                     .started = endpoint.run++},
        .zone = ZoneId("z" + std::to_string(index % this->options.zones))};
    endpoint.up_at = this->now + kDownTime;
    const std::map<uint64_t, RunPtr> lost = std::exchange(endpoint.runs, {});
    for (const auto& [fingerprint, run] : lost) {
      run->ended = true;
      this->hosts[run->host]->OnCrash(
          this->Time(), crashed,
          {{.request = run->request,
            .sent = Instant(FromSeconds(100 + run->sent)),
            .answering = run->answering}});
    }
    for (const auto& [fingerprint, run] : lost) {
      this->Tell(run->host);
      if (run->attempts < 2) {
        ++run->attempts;
        this->Send(run);
      }
    }
  }

  void LoseZone() {
    for (size_t i = 0; i < this->endpoints.size(); ++i) {
      if (i % this->options.zones == 0) {
        this->At(this->now + 0.05 * this->Fraction(),
                 [this, i] { this->Crash(i); });
      }
    }
  }

  void Tell(size_t from) {
    const std::set<CrashCause> known = this->hosts[from]->Blocked();
    this->result.blocked.insert(known.begin(), known.end());
    const SuspectsUpdate news = this->hosts[from]->TakeUpdate(this->Time());
    if (news.Empty()) {
      return;
    }
    for (size_t i = 0; i < this->hosts.size(); ++i) {
      if (i != from && this->Fraction() >= this->options.lost_reports) {
        const double delay = this->options.report_delay * this->Fraction();
        this->At(this->now + delay, [this, i, news, delay] {
          SuspectsUpdate aged = news;
          for (CrashReport& report : aged.crashes) {
            report.age += FromSeconds(delay);
          }
          for (AnswerReport& report : aged.answers) {
            report.age += FromSeconds(delay);
          }
          this->hosts[i]->OnUpdate(this->Time(), aged);
          this->Tell(i);
        });
      }
    }
  }

  CrashFleetOptions options;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<Suspects>> hosts;
  std::vector<Endpoint> endpoints;
  std::priority_queue<Event> events;
  double now = 0;
  int64_t last_event = 0;
  uint64_t last_request = 0;
  std::map<size_t, int64_t> part_crashes;
  std::map<size_t, double> fifth_crashes;  // time of each part's fifth
  std::optional<double> fifth_crash;       // the first of these
  CrashFleetResult result;
};

}  // namespace hickorystand
