#include "policy_workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <string_view>

namespace hickorystand {
namespace {

constexpr int64_t kPieceTokens = 64;
constexpr int kTemplates = 4;  // shared prompt prefixes per account
constexpr int64_t kTemplateTokens = 320;
constexpr size_t kCasesKept = 20;
constexpr double kFollowUps = 0.4;  // fraction of prompt-heavy requests

constexpr double kInteractiveDeadline = 5;
constexpr double kLookupDeadline = 2;
constexpr double kOnceDeadline = 10;
constexpr double kBatchDeadline = 300;

// Three large accounts and five small ones.
constexpr std::array kAccountShares = {0.28, 0.22, 0.16, 0.08,
                                       0.08, 0.07, 0.06, 0.05};

struct ClassName {
  std::string_view name;
  RequestClass request_class;
};

constexpr std::array kClassNames = {
    ClassName{"interactive", RequestClass::kInteractive},
    ClassName{"batch", RequestClass::kBatch},
    ClassName{"lookup", RequestClass::kLookup},
    ClassName{"once", RequestClass::kAtMostOnce},
};

uint64_t Mix(uint64_t a, uint64_t b) {
  uint64_t z = a * 0x9e3779b97f4a7c15ULL + b + 0x9e3779b97f4a7c15ULL;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

// Hashes the pieces of the shared prefix in one chain and the rest of the
// prompt in another.
std::vector<uint64_t> PrefixHashes(uint64_t opening,
                                   int64_t shared_tokens,
                                   uint64_t rest,
                                   int64_t tokens) {
  std::vector<uint64_t> hashes;
  for (int64_t at = 0; at < tokens; at += kPieceTokens) {
    const uint64_t chain = at < shared_tokens ? opening : Mix(opening, rest);
    hashes.push_back(Mix(chain, static_cast<uint64_t>(at)));
  }
  return hashes;
}

// Generates random requests, one per call.
class TrafficSource {
 public:
  explicit TrafficSource(uint64_t seed) : random(seed) {}

  double Gap(double rate) {
    return std::exponential_distribution<double>(rate)(this->random);
  }

  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
  }

  Arrival Draw(double time, size_t account, double prompt_share) {
    const double kind =
        std::uniform_real_distribution<double>(0, 1)(this->random);
    if (kind < 0.16) {
      return this->Plain(time, account, kind < 0.12);
    }
    const bool batch = kind < 0.30;
    Arrival arrival = this->Chance(prompt_share) ? this->CaseFile(time, account)
                                                 : this->Draft(time, account);
    arrival.request.request_class =
        batch ? RequestClass::kBatch : RequestClass::kInteractive;
    arrival.deadline_seconds = batch ? kBatchDeadline : kInteractiveDeadline;
    return arrival;
  }

  size_t Account() {
    return std::discrete_distribution<size_t>(
        kAccountShares.begin(), kAccountShares.end())(this->random);
  }

 private:
  struct Case {
    uint64_t id;
    uint64_t opening;
    int64_t tokens;
  };

  Arrival Make(double time, size_t account) {
    const uint64_t number = ++this->count;
    Arrival arrival{.time = time};
    arrival.request.id = RequestId("r" + std::to_string(number));
    arrival.request.account = TrafficAccounts()[account];
    arrival.request.service = kLanguageService;
    arrival.request.fingerprint = Mix(this->random(), number);
    return arrival;
  }

  int64_t DrawLogNormal(double mean, double spread) {
    const double exponent = std::normal_distribution<double>(
        -spread * spread / 2, spread)(this->random);
    return std::max<int64_t>(8, std::llround(mean * std::exp(exponent)));
  }

  uint64_t SharedPrefix(size_t account) {
    return Mix(account + 1, this->random() % kTemplates);
  }

  void SetTokens(Arrival& arrival, int64_t prompt, int64_t output) {
    arrival.request.prompt_tokens = prompt;
    arrival.output_tokens = output;
    // Callers state an upper estimate, one fifth above the actual length.
    arrival.request.output_tokens = output + output / 5;
  }

  // A long prompt, often with the prefix of an earlier one (a case file read
  // again).
  Arrival CaseFile(double time, size_t account) {
    Arrival arrival = this->Make(time, account);
    std::vector<Case>& cases = this->cases[account];
    Case file{this->random(), this->SharedPrefix(account),
              this->DrawLogNormal(3500, 0.5)};
    if (!cases.empty() && this->Chance(kFollowUps)) {
      const size_t which = this->random() % cases.size();
      file = cases[which];
      file.tokens += this->DrawLogNormal(300, 0.3);
      cases.erase(cases.begin() + static_cast<std::ptrdiff_t>(which));
    }
    this->SetTokens(arrival, file.tokens, this->DrawLogNormal(120, 0.4));
    arrival.request.prefix_hashes =
        PrefixHashes(file.opening, kTemplateTokens, file.id, file.tokens);
    cases.push_back(file);
    if (cases.size() > kCasesKept) {
      cases.erase(cases.begin());
    }
    return arrival;
  }

  // A short prompt with a long answer (a draft).
  Arrival Draft(double time, size_t account) {
    Arrival arrival = this->Make(time, account);
    this->SetTokens(arrival, this->DrawLogNormal(700, 0.4),
                    this->DrawLogNormal(600, 0.4));
    arrival.request.prefix_hashes =
        PrefixHashes(this->SharedPrefix(account), kTemplateTokens,
                     this->random(), arrival.request.prompt_tokens);
    return arrival;
  }

  // A lookup or a filing at the plain service.
  Arrival Plain(double time, size_t account, bool lookup) {
    Arrival arrival = this->Make(time, account);
    arrival.request.service = kPlainService;
    arrival.request.request_class =
        lookup ? RequestClass::kLookup : RequestClass::kAtMostOnce;
    this->SetTokens(arrival, lookup ? 16 : 160, 1);
    arrival.deadline_seconds = lookup ? kLookupDeadline : kOnceDeadline;
    return arrival;
  }

  std::mt19937_64 random;
  uint64_t count = 0;
  std::map<size_t, std::vector<Case>> cases;
};

std::vector<std::string> SplitFields(const std::string& line) {
  std::vector<std::string> fields;
  std::istringstream in(line);
  for (std::string field; std::getline(in, field, ',');) {
    fields.push_back(field);
  }
  return fields;
}

}  // namespace

std::vector<AccountId> TrafficAccounts() {
  std::vector<AccountId> accounts;
  for (size_t i = 1; i <= kAccountShares.size(); ++i) {
    accounts.emplace_back("a" + std::to_string(i));
  }
  return accounts;
}

std::vector<Arrival> MakeTraffic(const TrafficOptions& options) {
  TrafficSource source(options.seed);
  std::vector<Arrival> arrivals;
  const size_t smallest = kAccountShares.size() - 1;
  for (double time = 0; time < options.seconds;) {
    const TrafficRate rate = options.rate(time);
    const double total = rate.requests_per_second + rate.flood_per_second;
    time += source.Gap(total);
    const bool flood = source.Chance(rate.flood_per_second / total);
    arrivals.push_back(source.Draw(time, flood ? smallest : source.Account(),
                                   rate.prompt_share));
  }
  return arrivals;
}

Result<std::vector<Arrival>> ReadTrace(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Fail(ErrorKind::kNotFound, path + ": cannot be opened");
  }
  std::vector<Arrival> arrivals;
  std::string line;
  std::getline(file, line);  // header line
  for (int64_t number = 2; std::getline(file, line); ++number) {
    const auto fault = [&](const std::string& what) {
      return Fail(ErrorKind::kBadRequest,
                  path + ":" + std::to_string(number) + ": " + what);
    };
    const std::vector<std::string> fields = SplitFields(line);
    if (fields.size() != 8) {
      return fault("expected 8 fields");
    }
    const auto* name =
        std::ranges::find(kClassNames, fields[3], &ClassName::name);
    if (name == kClassNames.end()) {
      return fault("class must be interactive, batch, lookup or once");
    }
    const auto integer = [&](size_t i) {
      return std::atoll(fields[i].c_str());
    };
    Arrival arrival{.time = std::atof(fields[0].c_str()),
                    .deadline_seconds = std::atof(fields[7].c_str()),
                    .output_tokens = integer(6)};
    if (integer(4) <= 0 || integer(6) <= 0 || arrival.deadline_seconds <= 0) {
      return fault(
          "prompt_tokens, output_tokens and deadline must be above zero");
    }
    arrival.request = {.id = RequestId("t" + std::to_string(number)),
                       .account = AccountId(fields[1]),
                       .service = ServiceId(fields[2]),
                       .request_class = name->request_class,
                       .prompt_tokens = integer(4),
                       .output_tokens = integer(6),
                       .fingerprint = Mix(1, static_cast<uint64_t>(number))};
    arrival.request.prefix_hashes =
        PrefixHashes(std::hash<std::string>()(fields[1] + "," + fields[2]),
                     integer(5), static_cast<uint64_t>(number), integer(4));
    arrivals.push_back(std::move(arrival));
  }
  std::ranges::sort(arrivals, {}, &Arrival::time);
  return arrivals;
}

}  // namespace hickorystand
