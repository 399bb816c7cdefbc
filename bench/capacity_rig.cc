#include "capacity_rig.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cstdlib>
#include <ctime>
#include <map>
#include <new>
#include <random>
#include <thread>
#include <utility>

#include "kernel/registry.h"
#include "kernel/task.h"
#include "peers/peer_group.h"

namespace {

thread_local int64_t heap_bytes = 0;  // NOLINT: counted by operator new

}  // namespace

// Allocation counted per thread, which separates the memory of the measured
// host from that of the stand-ins in the same process.
void* operator new(size_t size) {
  void* made = std::malloc(size);
  if (made == nullptr) {
    throw std::bad_alloc();
  }
  heap_bytes += static_cast<int64_t>(malloc_usable_size(made));
  return made;
}

void operator delete(void* old) noexcept {
  heap_bytes -= static_cast<int64_t>(malloc_usable_size(old));
  std::free(old);
}

void operator delete(void* old, size_t /*size*/) noexcept {
  operator delete(old);
}

namespace hickorystand {
namespace {

constexpr double kPacketBytes = 104;
constexpr const char* kHere = "dc00";
constexpr const char* kSecret = "a fleet secret for the bench";
constexpr uint64_t kIncarnation = 1764720000000;
constexpr size_t kStandInsPerTask = 16;
constexpr int kDataCentres = 19;
constexpr int kHostsPerDataCentre = 17;
// Same period as in PeerGroup.
constexpr Duration kSummaryPeriod = std::chrono::seconds(5);
constexpr Duration kRelayPeriod = 2 * kSummaryPeriod;

std::string Name(const char* kind, int number) {
  const std::string digits = std::to_string(number);
  return kind + std::string(digits.size() < 4 ? 4 - digits.size() : 0, '0') +
         digits;
}

// Generates the in-flight requests of a host: Poisson arrivals, each with a
// random endpoint and account, which complete in the next window.
class Load {
 public:
  Load(const FleetShape& shape, uint64_t seed, double scale)
      : shape(shape), scale(scale), random(seed) {
    // Start in the steady state, in which the host has used every endpoint and
    // account.
    for (int i = 0; i < shape.endpoints; ++i) {
      this->running[i] = this->last[i] = 1;
    }
    for (int i = 0; i < shape.accounts; ++i) {
      this->served[i] = 100'000'000;
    }
  }

  // Advances by `seconds` and writes the resulting load to `digest`.
  void Advance(double seconds, Digest& digest) {
    std::poisson_distribution<int> arrivals(this->shape.requests * this->scale *
                                            seconds);
    const int count = arrivals(this->random);
    if (!std::exchange(this->started, true)) {
      this->Write(digest);
      return;
    }
    // Requests that arrived in the previous window complete in this one.
    for (const auto& [endpoint, requests] : std::exchange(this->last, {})) {
      this->running[endpoint] -= requests;
    }
    for (int i = 0; i < count; ++i) {
      const int endpoint = this->Draw(this->shape.endpoints);
      ++this->running[endpoint];
      ++this->last[endpoint];
      this->served[this->Draw(this->shape.accounts)] += 1000 + this->Draw(3000);
    }
    this->Write(digest);
  }

 private:
  void Write(Digest& digest) const {
    digest.outstanding.clear();
    for (const auto& [endpoint, requests] : this->running) {
      if (requests > 0) {
        digest.outstanding.push_back(
            {.endpoint = EndpointId(Name("endpoint-", endpoint)),
             .prompt_tokens = requests * 3000,
             .requests = requests});
      }
    }
    digest.served.clear();
    for (const auto& [account, cost] : this->served) {
      digest.served.push_back(
          {.account = AccountId(Name("account-", account)), .cost = cost});
    }
  }

  int Draw(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(this->random);
  }

  FleetShape shape;
  double scale;
  std::mt19937_64 random;
  std::map<int, int64_t> running;
  std::map<int, int64_t> last;
  std::map<int, int64_t> served;
  bool started = false;
};

}  // namespace

double Sample::Wire() const {
  const double frames = this->frames_sent + this->frames_received;
  return this->sent + this->received + frames * kPacketBytes;
}

ConfigurationPtr MakeFleet(int endpoints, int accounts, int services) {
  auto made = std::make_shared<Configuration>();
  made->revision = 1;
  made->sites[DataCentreId(kHere)] = {.id = DataCentreId(kHere)};
  for (int i = 0; i < services; ++i) {
    const ServiceId id(Name("model-", i));
    made->services[id] = {.id = id};
  }
  for (int i = 0; i < accounts; ++i) {
    const AccountId id(Name("account-", i));
    made->accounts[id] = {.id = id};
  }
  for (int i = 0; i < endpoints; ++i) {
    const EndpointId id(Name("endpoint-", i));
    made->endpoints[id] = {
        .id = id,
        .service = ServiceId(Name("model-", i % services)),
        .data_centre = DataCentreId(kHere),
        .address = {.host = "127.0.0.1",
                    .port = static_cast<uint16_t>(10000 + i)},
        .zone = ZoneId(Name("zone-", i % 4))};
  }
  return made;
}

// The measured host: peer links, group membership and dispatcher.
struct Rig::Subject {
  explicit Subject(const FleetShape& shape)
      : task("subject"), load(shape, 1, 1) {
    PeerGroupOptions options;
    auto& session = options.links.session;
    // Representatives are ranked by host id; the ids of the stand-ins are
    // h0001, h0002 and so on.
    session.host = HostId(shape.first    ? "h0000"
                          : shape.second ? "h0001-second"
                                         : "z0000");
    session.data_centre = DataCentreId(kHere);
    session.incarnation = kIncarnation;
    session.secrets = {kSecret};
    options.links.listen = {.host = "127.0.0.1", .port = 0};
    options.links.clock = &this->clock;
    this->task.Call([&] {
      this->heap_before = ThreadHeapBytes();
      this->group = std::make_unique<PeerGroup>(options, this->Handlers());
      this->peer = {.host = session.host,
                    .data_centre = session.data_centre,
                    .address = this->group->Listen().value()};
      this->MakeDispatcher(shape);
    });
  }

  ~Subject() {
    this->task.Call([&] {
      this->timer.reset();
      this->ticker.reset();
      this->group.reset();
      this->dispatcher.reset();
    });
  }
  Subject(const Subject&) = delete;
  Subject& operator=(const Subject&) = delete;

  PeerGroupHandlers Handlers() {
    return {.on_digest =
                [this](const Digest& digest) {
                  this->dispatcher->OnDigest(this->clock.Now(), digest);
                },
            .on_gone =
                [this](const HostId& host) {
                  this->dispatcher->OnHostLost(this->clock.Now(), host);
                },
            .on_message = {}};
  }

  void MakeDispatcher(const FleetShape& shape) {
    const auto* factory = Registry<Dispatcher>::Find("hickorystand");
    assert(factory != nullptr &&
           "dispatcher plug-in hickorystand is not linked in");
    this->dispatcher = (*factory)(
        {.host = this->peer.host, .data_centre = DataCentreId(kHere)});
    const auto fleet =
        MakeFleet(shape.endpoints, shape.accounts, shape.services);
    this->dispatcher->OnConfiguration(this->clock.Now(), fleet);
    std::map<EndpointId, DataCentreId> places;
    for (const auto& [id, endpoint] : fleet->endpoints) {
      places[id] = endpoint.data_centre;
    }
    this->group->SetEndpoints(places);
    this->ticker = Timer::Every(std::chrono::milliseconds(10), [this] {
      this->dispatcher->OnTick(this->clock.Now());
    });
  }

  void Start(const std::vector<ListedHost>& list,
             std::atomic<int64_t>& period_us) {
    this->task.Call([&] {
      this->group->OnHostList(list);
      this->SendPeriodicDigest(period_us);
    });
  }

  // Sends a digest and schedules the next one.
  void SendPeriodicDigest(std::atomic<int64_t>& period_us) {
    const Duration delay = this->group->NextDigestDelay();
    this->period = ToSeconds(delay);
    period_us = delay.count();
    this->load.Advance(this->period, this->digest);
    this->group->SendDigest(this->digest);
    this->timer = Timer::After(
        delay, [this, &period_us] { this->SendPeriodicDigest(period_us); });
  }

  BootClock clock;
  PeerHost peer;
  Task task;
  int64_t heap_before = 0;
  std::unique_ptr<PeerGroup> group;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<Timer> timer;
  std::unique_ptr<Timer> ticker;
  Load load;
  Digest digest;
  double period = 0;
};

// A simulated peer: real links, generated digests. It is linked to the measured
// host only, since a full mesh of stand-ins would use more CPU time than the
// measured host.
struct Rig::StandIn {
  // `distant`: the representative of another data centre. The first local
  // stand-in also relays the summaries of all other data centres, as a first
  // representative does.
  StandIn(const FleetShape& shape, int number, bool distant, Task& task)
      : task(task),
        distant(distant),
        relays(!distant && number == 1 && !shape.first),
        load(shape, static_cast<uint64_t>(number) + 1, 1),
        others(shape,
               static_cast<uint64_t>(number) + 1000,
               distant ? kHostsPerDataCentre
                       : kHostsPerDataCentre * (kDataCentres - 1)) {
    PeerLinksOptions options;
    options.session.host = HostId(Name("h", number));
    options.session.data_centre =
        DataCentreId(distant ? Name("dc-", number) : std::string(kHere));
    options.session.incarnation = kIncarnation;
    options.session.secrets = {kSecret};
    options.listen = {.host = "127.0.0.1", .port = 0};
    options.clock = &this->clock;
    options.seed = static_cast<uint64_t>(number);
    this->digest.host = options.session.host;
    this->digest.data_centre = options.session.data_centre;
    this->digest.incarnation = kIncarnation;
    this->task.Call([&] {
      this->links = std::make_unique<PeerLinks>(options, PeerHandlers{});
      this->peer = {.host = options.session.host,
                    .data_centre = options.session.data_centre,
                    .address = this->links->Listen().value()};
    });
  }

  ~StandIn() {
    this->task.Call([&] {
      this->timer.reset();
      this->slow.reset();
      this->links.reset();
    });
  }
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  // Sends digests with the period of the measured host, as the hosts of its
  // mesh would.
  void Start(const PeerHost& subject, const std::atomic<int64_t>& period_us) {
    this->task.Call([&] {
      this->links->SetHosts({subject});
      if (!this->distant) {
        this->SendPeriodicDigest(period_us);
      }
      if (this->distant || this->relays) {
        this->slow =
            Timer::Every(kSummaryPeriod, [this] { this->Summarise(); });
      }
    });
  }

  void SendPeriodicDigest(const std::atomic<int64_t>& period_us) {
    const Duration period(period_us.load());
    this->load.Advance(ToSeconds(period), this->digest);
    this->links->SendDigest(DigestScope::kHost, this->digest);
    this->timer = Timer::After(
        period, [this, &period_us] { this->SendPeriodicDigest(period_us); });
  }

  // Same as in DigestSummary: costs are rounded down to kSummaryUnit, and
  // outstanding work, which is local to a data centre, is left out.
  void Summarise() {
    Digest sum = this->digest;
    this->others.Advance(
        ToSeconds(this->distant ? kSummaryPeriod : kRelayPeriod), sum);
    sum.outstanding.clear();
    for (auto& entry : sum.served) {
      entry.cost -= entry.cost % kSummaryUnit;
    }
    this->links->SendDigest(this->distant ? DigestScope::kDataCentre
                                          : DigestScope::kOtherDataCentres,
                            sum);
  }

  BootClock clock;
  PeerHost peer;
  Task& task;
  bool distant;
  bool relays;
  std::unique_ptr<PeerLinks> links;
  std::unique_ptr<Timer> timer;
  std::unique_ptr<Timer> slow;
  Load load;
  Load others;
  Digest digest;
};

Rig::Rig(const FleetShape& shape)
    : shape(shape), subject(std::make_unique<Subject>(shape)) {
  std::vector<ListedHost> list;
  for (int i = 1; i < shape.hosts + shape.distant; ++i) {
    if (static_cast<size_t>(i - 1) % kStandInsPerTask == 0) {
      this->tasks.push_back(std::make_unique<Task>("stand-ins"));
    }
    this->stand_ins.push_back(std::make_unique<StandIn>(
        shape, i, i >= shape.hosts, *this->tasks.back()));
    list.push_back({.peer = this->stand_ins.back()->peer});
  }
  this->subject->Start(list, this->period_us);
  for (const auto& stand_in : this->stand_ins) {
    stand_in->Start(this->subject->peer, this->period_us);
  }
}

Rig::~Rig() = default;

bool Rig::Settle() {
  Subject& host = *this->subject;
  const Instant end = host.clock.Now() + std::chrono::seconds(30);
  size_t linked = 0;
  while (linked < this->stand_ins.size() && host.clock.Now() < end) {
    host.task.Call([&] { linked = host.group->Links().Linked().size(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return linked >= this->stand_ins.size();
}

std::vector<Sample> Rig::Measure(int windows, double seconds) {
  struct Reading {
    PeerStats stats;
    double cpu = 0;
    Instant at{};
  };
  Subject& host = *this->subject;
  const auto read = [&] {
    Reading reading;
    host.task.Call([&] {
      reading = {.stats = host.group->Links().Stats(),
                 .cpu = ThreadCpuSeconds(),
                 .at = host.clock.Now()};
    });
    return reading;
  };
  std::vector<Sample> samples;
  Reading before = read();
  for (int i = 0; i < windows; ++i) {
    std::this_thread::sleep_for(FromSeconds(seconds));
    const Reading after = read();
    const double took = ToSeconds(after.at - before.at);
    const auto rate = [&](uint64_t now, uint64_t then) {
      return static_cast<double>(now - then) / took;
    };
    const auto& now = after.stats.traffic;
    const auto& then = before.stats.traffic;
    Sample sample{
        .seconds = took,
        .cpu = (after.cpu - before.cpu) / took,
        .sent = rate(now.bytes_sent, then.bytes_sent),
        .received = rate(now.bytes_received, then.bytes_received),
        .frames_sent = rate(now.frames_sent, then.frames_sent),
        .frames_received = rate(now.frames_received, then.frames_received),
        .digests =
            rate(after.stats.digests_received, before.stats.digests_received)};
    host.task.Call([&] {
      sample.heap = static_cast<double>(ThreadHeapBytes() - host.heap_before);
      sample.period = host.period;
    });
    samples.push_back(sample);
    before = after;
  }
  return samples;
}

void Rig::ChangeConfiguration(size_t bytes) {
  Subject& host = *this->subject;
  host.task.Call([&] {
    host.group->Broadcast(BucketsReply{
        .head_revision = 2,
        .buckets = {
            {.name = "07", .revision = 2, .value = std::string(bytes, 'x')}}});
  });
}

Measured Medians(std::vector<Sample> samples) {
  assert(!samples.empty());
  const auto middle = samples.size() / 2;
  Measured measured;
  std::ranges::sort(samples, {}, &Sample::Wire);
  measured.median = samples[middle];
  std::ranges::sort(samples, {}, &Sample::cpu);
  measured.median.cpu = samples[middle].cpu;
  measured.cpu_low = samples.front().cpu;
  measured.cpu_high = samples.back().cpu;
  return measured;
}

double ThreadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

int64_t ThreadHeapBytes() {
  return heap_bytes;
}

}  // namespace hickorystand
