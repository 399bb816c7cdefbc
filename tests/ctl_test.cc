// Tests of hickoryctl's commands, called as functions, against stand-ins of the
// key-value service and of the hosts' administration interface.

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/configuration_files.h"
#include "ctl/ctl.h"
#include "decisions/configuration_codec.h"
#include "http/http_server.h"
#include "kernel/json.h"
#include "kernel/task.h"
#include "key_value.h"

namespace hickorystand {
namespace {

using fakes::FakeKeyValue;
using fakes::KeyValueFault;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Administration interface of a host. It reports the stored configuration's
// revision, unless a test fixes another one.
class FakeHost {
 public:
  FakeHost(FakeKeyValue& store, std::string name, std::string data_centre)
      : store(store),
        name(std::move(name)),
        data_centre(std::move(data_centre)) {
    this->task.Call([this] {
      this->server = std::make_unique<HttpServer>(
          HttpServerOptions{},
          [this](const HttpCallPtr& call) { this->Take(call); });
      this->address = *this->server->Start();
    });
  }
  ~FakeHost() {
    this->task.Call([this] { this->server.reset(); });
  }
  FakeHost(const FakeHost&) = delete;
  FakeHost& operator=(const FakeHost&) = delete;

  std::string Address() const {
    return this->address.host + ":" + std::to_string(this->address.port);
  }

  std::atomic<int64_t> reported_revision = 0;  // 0: none fixed
  std::atomic<bool> drained = false;
  std::string limits = "{}";  // in the status; set before the first call

 private:
  int64_t Revision() {
    if (this->reported_revision > 0) {
      return this->reported_revision;
    }
    const auto stored = ReadStoredConfiguration(
        this->store.Transact(ReadConfigurationTransaction()));
    return stored ? stored->head.revision : 0;
  }

  std::string Status() {
    return JsonWriter()
        .BeginObject()
        .Member("host", this->name)
        .Member("data_centre", this->data_centre)
        .Member("revision", this->Revision())
        .Name("lease")
        .BeginObject()
        .Member("holder", "h1")
        .Member("fencing", 7)
        .EndObject()
        .Name("unreachable")
        .BeginArray()
        .Value("dc9")
        .EndArray()
        .Name("limits")
        .Value(Json::Parse(this->limits).value_or(Json()))
        .EndObject()
        .Text();
  }

  void Take(const HttpCallPtr& call) {
    const HttpRequest& request = call->Request();
    if (FindHeader(request.headers, "Authorization") != "Bearer secret") {
      call->Answer(401, {}, "");
    } else if (request.path == "/admin/status") {
      call->Answer(200, {}, this->Status());
    } else if (request.path == "/admin/drain") {
      this->drained = true;
      call->Answer(202, {}, "{}");
    } else if (request.path == "/admin/why" && request.query == "request=r1") {
      call->Answer(200, {},
                   R"({"request":"r1","decisions":[{"time":5,"part":"router",)"
                   R"("message":"Chosen.","fields":{"endpoint":"e1"}}]})");
    } else {
      call->Answer(404, {}, "{}");
    }
  }

  FakeKeyValue& store;
  std::string name;
  std::string data_centre;
  SocketAddress address;
  Task task{"fake-host"};
  std::unique_ptr<HttpServer> server;
};

// A temporary file, removed by the destructor.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path(std::string(std::tmpnam(this->buffer))) {  // NOLINT: tests only
    std::ofstream(this->path) << text;
  }
  ~TemporaryFile() { std::remove(this->path.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& Path() const { return this->path; }

 private:
  char buffer[L_tmpnam] = {};
  std::string path;
};

constexpr const char* kBase =
    "[account acme]\nweight = 2\n"
    "[service chat]\nkind = language\n"
    "[service filing]\nkind = plain\n"
    "[site]\ncut_off_key_limit = 12h\n";
constexpr const char* kOverlay =
    "[site dc1]\n"
    "[endpoint e1]\nservice = chat\naddress = 127.0.0.1:9001\nzone = z1\n"
    "[endpoint f1]\nservice = filing\naddress = 127.0.0.1:9002\nzone = z1\n";

struct Bench {
  FakeKeyValue store;
  FakeHost one{this->store, "h1", "dc1"};
  FakeHost two{this->store, "h2", "dc2"};
  TemporaryFile token{"secret\n"};
  TemporaryFile base{kBase};
  TemporaryFile overlay{kOverlay};
  std::string out;
  std::string error;

  // Runs a command line against the stand-ins' addresses.
  int Run(std::vector<std::string> arguments) {
    const std::string store_text =
        "127.0.0.1:" + std::to_string(this->store.Address().port);
    arguments.insert(arguments.end(),
                     {"--store", store_text, "--admin",
                      this->one.Address() + ";" + this->two.Address(),
                      "--admin-token-file", this->token.Path()});
    return this->RunBare(arguments);
  }

  int RunBare(const std::vector<std::string>& arguments) {
    std::ostringstream out_stream;
    std::ostringstream error_stream;
    const int code = RunCtl(arguments, out_stream, error_stream);
    this->out = out_stream.str();
    this->error = error_stream.str();
    return code;
  }

  int Apply() { return this->Run({"apply", base.Path(), overlay.Path()}); }

  ConfigurationPtr InForce() {
    const auto stored = ReadStoredConfiguration(
        this->store.Transact(ReadConfigurationTransaction()));
    CHECK(stored.has_value());
    return stored->configuration;
  }
};

std::string FaultsOf(const std::string& base, const std::string& overlay) {
  const auto input = ReadConfigurationFiles(
      {"base.ini", base}, {{.name = "dc1.ini", .text = overlay}});
  return input ? "" : input.error().message;
}

std::string WarningsOf(const std::string& base, const std::string& overlay) {
  const auto input = ReadConfigurationFiles(
      {"base.ini", base}, {{.name = "dc1.ini", .text = overlay}});
  CHECK(input.has_value());
  std::string text;
  for (const std::string& warning : input->warnings) {
    text += warning + "\n";
  }
  return text;
}

}  // namespace

TEST_GROUP(ConfigurationFiles){};

TEST(ConfigurationFiles, OverlayStatesOnlyWhereItsSiteDiffers) {
  const auto input = ReadConfigurationFiles(
      {"base.ini", kBase},
      {{"dc1.ini", kOverlay},
       {"dc2.ini", "[site dc2]\ncut_off_key_limit = 6h\n"}});
  CHECK(input.has_value());
  CHECK(input->warnings.empty());
  const Configuration& read = input->configuration;
  CHECK(read.sites.at(DataCentreId("dc1")).cut_off_key_limit ==
        std::chrono::hours(12));
  CHECK(read.sites.at(DataCentreId("dc2")).cut_off_key_limit ==
        std::chrono::hours(6));
  CHECK(read.endpoints.at(EndpointId("e1")).data_centre == DataCentreId("dc1"));
  CHECK(read.endpoints.at(EndpointId("f1")).role == EndpointRole::kPlain);
}

TEST(ConfigurationFiles, WarnsOfWhatTheBaseSaysAlready) {
  CHECK(Contains(WarningsOf(kBase, "[site dc1]\ncut_off_key_limit = 12h\n"),
                 "dc1.ini:2: [site dc1] cut_off_key_limit: '12h' holds here "
                 "anyway"));
}

TEST(ConfigurationFiles, NamesFileLineSectionKeyAndWhatIsAllowed) {
  const std::string faults = FaultsOf(
      "[account acme]\nweight = heavy\ncolour = red\n[key x]\n[moon m]\n",
      "[site dc1]\n[account b]\n[endpoint e]\naddress = here\n");
  CHECK(Contains(faults,
                 "base.ini:2: [account acme] weight: 'heavy' is not "
                 "allowed; a number from 0.01 to 1000 is"));
  CHECK(Contains(faults,
                 "base.ini:3: [account acme] colour: unknown key; "
                 "weight, max_in_flight, rate, burst, unit are known"));
  CHECK(Contains(faults, "base.ini:4: [key x]: keys don't stand in files"));
  CHECK(Contains(faults, "base.ini:5: [moon m]: unknown section"));
  CHECK(Contains(faults, "dc1.ini:2: [account b]: is the same at every site"));
  CHECK(Contains(faults,
                 "dc1.ini:4: [endpoint e] address: 'here' is not "
                 "allowed; IP:PORT"));
}

TEST(ConfigurationFiles, NamesReferencesThatLeadNowhere) {
  CHECK(Contains(FaultsOf(kBase,
                          "[site dc1]\n[endpoint e]\nservice = chess\n"
                          "address = 127.0.0.1:1\nzone = z\n"),
                 "dc1.ini:3: [endpoint e] service: there is no service "
                 "'chess'"));
  CHECK(Contains(FaultsOf(kBase, "[site dc1]\n[endpoint e]\nservice = chat\n"),
                 "dc1.ini:2: [endpoint e] address: is missing"));
}

TEST(ConfigurationFiles, RefusesAnOverlayOfNoSiteOrOfTwo) {
  CHECK(Contains(FaultsOf(kBase, "[endpoint e]\n"), "which site it is for"));
  CHECK(Contains(FaultsOf(kBase, "[site a]\n[site b]\n"),
                 "dc1.ini:2: [site b]"
                 ": an overlay is for "
                 "one site"));
}

TEST(ConfigurationFiles, NamesWhatIsWrongWithALimit) {
  const std::string faults = FaultsOf(
      "[account acme]\nrate = -1\nburst = much\nunit = bytes\n", "[site a]\n");
  CHECK(Contains(faults,
                 "base.ini:2: [account acme] rate: '-1' is not allowed; a "
                 "number from 0 to 1000000000 is"));
  CHECK(Contains(faults,
                 "base.ini:3: [account acme] burst: 'much' is not allowed; a "
                 "number from 0 to 10000000000 is"));
  CHECK(Contains(faults,
                 "base.ini:4: [account acme] unit: 'bytes' is not allowed; one "
                 "of requests, tokens is"));
  CHECK(Contains(FaultsOf("[account acme]\nburst = 5\n", "[site a]\n"),
                 "base.ini:2: [account acme] burst: 5 needs a rate above 0"));
}

TEST(ConfigurationFiles, PageIsInStepWithTheSchema) {
  std::ifstream in(HICKORYSTAND_SOURCE_DIR "/docs/CONFIGURATION.md");
  std::ostringstream page;
  page << in.rdbuf();
  CHECK(page.str() == ConfigurationPage());
}

TEST_GROUP(Ctl){};

TEST(Ctl, AppliesAndSaysWhereItIsInForce) {
  Bench bench;
  LONGS_EQUAL(0, bench.Apply());
  CHECK(Contains(bench.out, "Accepted as revision 1."));
  CHECK(Contains(bench.out, "dc1: in force at 1 hosts"));
  CHECK(Contains(bench.out, "dc2: in force at 1 hosts"));
  LONGS_EQUAL(2, bench.InForce()->endpoints.size());
  LONGS_EQUAL(0, bench.Apply());
  CHECK(Contains(bench.out, "Nothing to change; revision 1"));
}

TEST(Ctl, DiffShowsWhatApplyWouldChangeAndChangesNothing) {
  Bench bench;
  bench.Apply();
  const TemporaryFile other("[account acme]\nweight = 5\n" +
                            std::string(kBase).substr(26));
  LONGS_EQUAL(0, bench.Run({"diff", other.Path(), bench.overlay.Path()}));
  STRCMP_EQUAL("changed account/acme: weight 2 -> 5\n", bench.out.c_str());
  LONGS_EQUAL(1, bench.InForce()->revision);
}

// Guards against an apply that removes an account created at the command line
// and not yet named in the repository's files.
TEST(Ctl, ApplyKeepsWhatNoFileNamesUnlessTold) {
  Bench bench;
  bench.Apply();
  LONGS_EQUAL(0, bench.Run({"account", "add", "fresh", "weight=3"}));
  LONGS_EQUAL(0, bench.Apply());
  CHECK(Contains(bench.error, "kept: account/fresh"));
  CHECK(bench.InForce()->accounts.contains(AccountId("fresh")));
  LONGS_EQUAL(0, bench.Run({"apply", bench.base.Path(), bench.overlay.Path(),
                            "--prune"}));
  CHECK(!bench.InForce()->accounts.contains(AccountId("fresh")));
}

TEST(Ctl, MakesListsAndWithdrawsKeys) {
  Bench bench;
  bench.Apply();
  LONGS_EQUAL(0, bench.Run({"key", "add", "acme", "--json"}));
  const auto made = Json::Parse(bench.out);
  CHECK(made.has_value());
  const std::string key = made->At("key").Text();
  const std::string hash = made->At("hash").Text();
  CHECK(bench.InForce()->keys.contains(hash));
  // Only the hash is stored; no record contains the key.
  for (const StoreRecord& record : bench.store.Backup().Read("/", true)) {
    CHECK(!Contains(record.value, key));
  }
  LONGS_EQUAL(0, bench.Run({"key", "list", "acme"}));
  CHECK(Contains(bench.out, hash.substr(0, 12)));
  LONGS_EQUAL(0, bench.Run({"key", "withdraw", hash.substr(0, 12)}));
  CHECK(Contains(bench.out, "dc2: in force"));
  CHECK(bench.InForce()->keys.empty());
  LONGS_EQUAL(4, bench.Run({"key", "withdraw", hash.substr(0, 12)}));
}

// Guards against a withdrawal that reports success although a data centre is
// cut off from the operators, so that the key may still work there.
TEST(Ctl, WithdrawalNamesWhomItCannotReach) {
  Bench bench;
  const TemporaryFile quick("[client]\nwait = 100ms\n");
  bench.Apply();
  bench.Run({"key", "add", "acme", "--json"});
  const std::string hash = Json::Parse(bench.out)->At("hash").Text();
  bench.two.reported_revision = 1;
  LONGS_EQUAL(7,
              bench.Run({"key", "withdraw", hash, "--config", quick.Path()}));
  CHECK(Contains(bench.out, "dc1: in force"));
  CHECK(Contains(bench.error, "dc2: h2 has not got it yet"));
  CHECK(bench.InForce()->keys.empty());
}

TEST(Ctl, RemovesNoServiceThatIsInUse) {
  Bench bench;
  bench.Apply();
  LONGS_EQUAL(2, bench.Run({"service", "remove", "chat"}));
  CHECK(Contains(bench.error, "endpoint/e1: service: there is no service"));
  CHECK(bench.InForce()->services.contains(ServiceId("chat")));
}

TEST(Ctl, ShowsOneSiteAndNoKeys) {
  Bench bench;
  bench.Apply();
  bench.Run({"site", "add", "dc2"});
  bench.Run({"key", "add", "acme"});
  LONGS_EQUAL(0, bench.Run({"show", "--site", "dc2"}));
  CHECK(Contains(bench.out, "[account acme]"));
  CHECK(!Contains(bench.out, "[endpoint e1]"));
  CHECK(!Contains(bench.out, "[key"));
  LONGS_EQUAL(4, bench.Run({"show", "--site", "dc7"}));
}

TEST(Ctl, ShowsAnAccountsLimit) {
  Bench bench;
  bench.Apply();
  LONGS_EQUAL(0,
              bench.Run({"account", "add", "acme", "rate=2.5", "burst=100"}));
  LONGS_EQUAL(0, bench.Run({"show"}));
  CHECK(Contains(bench.out, "rate = 2.5"));
  CHECK(Contains(bench.out, "burst = 100"));
  LONGS_EQUAL(0, bench.Run({"account", "list"}));
  CHECK(Contains(bench.out, "rate=2.5  unit=tokens"));
}

TEST(Ctl, ShowsWhatAnAccountUsedAndMayStillUse) {
  Bench bench;
  bench.one.limits =
      R"({"window_ms":8000,"share":0.5,"share_age_ms":1200,"accounts":[)"
      R"({"id":"acme","unit":"tokens","rate":1000,"burst":5000,)"
      R"("used":300,"left":-40}]})";
  bench.two.limits =
      R"({"window_ms":8000,"share":0,"accounts":[{"id":"acme",)"
      R"("unit":"tokens","rate":1000,"burst":5000,"used":20,"left":0}]})";
  LONGS_EQUAL(0, bench.Run({"account", "use", "acme"}));
  STRCMP_EQUAL(
      "acme: 1000 tokens a second, burst 5000, over all hosts\n"
      "  dc1 h1: used 300 in 8 s, -40 left, share 0.5 confirmed 1200 ms ago\n"
      "  dc2 h2: used 20 in 8 s, 0 left, no share\n"
      "  all: used 320, -40 left\n",
      bench.out.c_str());
  LONGS_EQUAL(0, bench.Run({"account", "use", "acme", "--json"}));
  const auto document = Json::Parse(bench.out);
  LONGS_EQUAL(320, document->At("used").Integer());
  LONGS_EQUAL(2, document->At("hosts").Items().size());
  LONGS_EQUAL(4, bench.Run({"account", "use", "other"}));
}

// A host that has not yet received the configuration does not enforce the
// limit.
TEST(Ctl, NamesHostsWithoutTheLimit) {
  Bench bench;
  bench.Apply();
  bench.one.limits =
      R"({"window_ms":8000,"share":1,"share_age_ms":9,"accounts":[{"id":)"
      R"("acme","unit":"requests","rate":2.5,"burst":0,"used":0,"left":1}]})";
  bench.two.reported_revision = 1;
  LONGS_EQUAL(0, bench.Run({"account", "use", "acme"}));
  CHECK(Contains(bench.out, "acme: 2.5 requests a second, burst 0"));
  CHECK(Contains(bench.out, "dc2 h2: no limit in force at revision 1"));
}

TEST(Ctl, StatusShowsWhoIsBehindAndWhatIsCutOff) {
  Bench bench;
  bench.Apply();
  bench.two.reported_revision = 0;
  bench.Run({"account", "add", "b"});
  bench.two.reported_revision = 1;
  LONGS_EQUAL(0, bench.Run({"status"}));
  CHECK(Contains(bench.out, "dc1: lease held by h1 (fencing 7)"));
  CHECK(Contains(bench.out, "host h2  revision 1  BEHIND"));
  CHECK(Contains(bench.out, "CUT OFF from dc9"));
  LONGS_EQUAL(0, bench.Run({"status", "--json"}));
  LONGS_EQUAL(2, Json::Parse(bench.out)->At("hosts").Items().size());
}

TEST(Ctl, DrainsAHostByItsName) {
  Bench bench;
  LONGS_EQUAL(0, bench.Run({"drain", "h2"}));
  CHECK(bench.two.drained);
  CHECK(!bench.one.drained);
  LONGS_EQUAL(4, bench.Run({"drain", "h3"}));
}

TEST(Ctl, AsksEveryHostWhy) {
  Bench bench;
  LONGS_EQUAL(0, bench.Run({"why", "r1"}));
  CHECK(Contains(bench.out, "h1 router: Chosen. endpoint=e1"));
  CHECK(Contains(bench.out, "h2 router: Chosen."));
  LONGS_EQUAL(4, bench.Run({"why", "r2"}));
  LONGS_EQUAL(2, bench.Run({"why", "r2&x=1"}));
}

// Guards against a change reported as failed because the reply was lost after
// the service had written it. The operator would repeat it or take it as not
// made.
TEST(Ctl, KnowsItsChangeThoughTheReplyWasLost) {
  Bench bench;
  bench.store.SetFault(KeyValueFault::kReplyLost);
  LONGS_EQUAL(0, bench.Apply());
  CHECK(Contains(bench.out, "Accepted as revision 1."));
  LONGS_EQUAL(1, bench.InForce()->revision);
}

// Guards against a revision that every host ignores although the change is
// reported as accepted: after the service is restored from a backup, hosts hold
// a higher revision than it does.
TEST(Ctl, ChangesGoAboveWhatHostsHoldAfterABackup) {
  Bench bench;
  bench.Apply();
  bench.one.reported_revision = 8;
  LONGS_EQUAL(0, bench.Run({"account", "add", "b", "--no-wait"}));
  CHECK(Contains(bench.out, "Accepted as revision 9."));
}

TEST(Ctl, SaysThatThePlatformIsDown) {
  Bench bench;
  const TemporaryFile quick("[client]\ntimeout = 50ms\n");
  bench.store.SetFault(KeyValueFault::kDown);
  LONGS_EQUAL(8, bench.Run({"show", "--config", quick.Path()}));
  CHECK(Contains(bench.error, "key-value service"));
}

TEST(Ctl, WrongTokenIsSaid) {
  Bench bench;
  const TemporaryFile wrong("wrong");
  LONGS_EQUAL(7, bench.RunBare({"status", "--admin", bench.one.Address(),
                                "--admin-token-file", wrong.Path()}));
  CHECK(Contains(bench.out, "the admin token was refused"));
}

TEST(Ctl, RefusesWhatItDoesNotKnow) {
  Bench bench;
  LONGS_EQUAL(2, bench.RunBare({"fly"}));
  LONGS_EQUAL(2, bench.RunBare({"show", "--fast"}));
  LONGS_EQUAL(2, bench.RunBare({"show", "--watch"}));
  LONGS_EQUAL(2, bench.RunBare({"key", "withdraw"}));
  LONGS_EQUAL(2, bench.RunBare({"show"}));
  CHECK(Contains(bench.error, "--store"));
  LONGS_EQUAL(2, bench.Run({"account", "add", "a", "size=3"}));
  CHECK(Contains(bench.error, "weight, max_in_flight, rate, burst, unit"));
}

TEST(Ctl, HelpTeachesEveryCommand) {
  Bench bench;
  LONGS_EQUAL(0, bench.RunBare({"--help"}));
  for (const char* name : {"apply", "key withdraw", "why", "status"}) {
    CHECK(Contains(bench.out, name));
  }
  LONGS_EQUAL(0, bench.RunBare({"key", "withdraw", "--help"}));
  CHECK(Contains(bench.out, "Examples:\n  hickoryctl key withdraw"));
  LONGS_EQUAL(0, bench.RunBare({"completion", "bash"}));
  CHECK(Contains(bench.out, "complete -F _hickoryctl hickoryctl"));
}

}  // namespace hickorystand
