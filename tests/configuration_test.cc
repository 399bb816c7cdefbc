// Tests of the configuration: records, their place in the store, changes.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "decisions/configuration_codec.h"
#include "key_value_state.h"

namespace hickorystand {
namespace {

using fakes::KeyValueState;

Configuration Sample() {
  Configuration sample;
  const auto put = [&](const Record& record) {
    CHECK(PutRecord(sample, record).has_value());
  };
  put({.kind = "account", .id = "acme", .fields = {{"weight", "2.5"}}});
  put({.kind = "service", .id = "chat"});
  put({.kind = "service", .id = "filing", .fields = {{"kind", "plain"}}});
  put({.kind = "site", .id = "dc1"});
  put({.kind = "endpoint",
       .id = "e1",
       .fields = {{"service", "chat"},
                  {"data_centre", "dc1"},
                  {"address", "127.0.0.1:9000"},
                  {"zone", "z1"}}});
  put({.kind = "key",
       .id = std::string(64, 'a'),
       .fields = {{"account", "acme"}}});
  return sample;
}

ConfigurationChange::Edit Replace(Configuration wanted) {
  return [wanted = std::move(wanted)](const Configuration&) {
    return Result<Configuration>(wanted);
  };
}

// Runs a change against a store until it ends.
Result<ConfigurationChange::Applied> RunChange(ConfigurationChange& change,
                                               KeyValueState& store) {
  StoreTransaction next = change.Start();
  while (true) {
    auto step = change.OnReply(store.Transact(next));
    if (auto* end = std::get_if<Result<ConfigurationChange::Applied>>(&step)) {
      return std::move(*end);
    }
    next = std::get<StoreTransaction>(std::move(step));
  }
}

StoredConfiguration ReadAll(KeyValueState& store) {
  auto stored =
      ReadStoredConfiguration(store.Transact(ReadConfigurationTransaction()));
  CHECK(stored.has_value());
  return *stored;
}

}  // namespace

TEST_GROUP(ConfigurationChange){};

TEST(ConfigurationChange, AppliesAndReadsBackTheSame) {
  KeyValueState store;
  ConfigurationChange change({"maria", "t1"}, Replace(Sample()));
  const auto applied = RunChange(change, store);
  CHECK(applied.has_value());
  LONGS_EQUAL(1, applied->revision);
  Configuration expected = Sample();
  expected.revision = 1;
  CHECK(expected == *ReadAll(store).configuration);
}

}  // namespace hickorystand
