// The plug-in registry: implementations of an interface register themselves by
// name, and settings select one of them.
//
//   // in the plug-in's .cc file
//   const bool kRegistered =
//       Registry<KeyValueStore>::Add("etcd-json", &MakeEtcdStore);

#pragma once

#include <cassert>
#include <functional>
#include <map>
#include <memory>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

namespace hickorystand {

// All plug-ins that implement one interface. The interface names its kind with
// a static `kPluginKind` and its constructor's arguments with a `Factory` type,
// which is a std::function that returns a std::unique_ptr<Interface>.
template <typename Interface>
class Registry {
 public:
  using Factory = typename Interface::Factory;

  // Registers a plug-in during static initialisation. Always returns true, so
  // that the call can initialise a namespace-scope constant.
  static bool Add(std::string name, Factory factory) {
    const auto [where, inserted] =
        Table().emplace(std::move(name), std::move(factory));
    assert(inserted && "two plug-ins registered the same name");
    return inserted || where != Table().end();
  }

  // The factory of a plug-in; null if no plug-in has that name.
  static const Factory* Find(const std::string& name) {
    const auto found = Table().find(name);
    return found == Table().end() ? nullptr : &found->second;
  }

  // The names of all plug-ins of this kind, sorted.
  static std::vector<std::string> Names() {
    const auto keys = std::views::keys(Table());
    return {keys.begin(), keys.end()};
  }

 private:
  static std::map<std::string, Factory>& Table() {
    static std::map<std::string, Factory> table;
    return table;
  }
};

}  // namespace hickorystand
