// What a stand-in remembers of the requests that it was sent, so that tests can
// count what ran.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "http/http_types.h"

namespace hickorystand::fakes {

// One request that reached an endpoint.
struct RunRecord {
  std::string request;  // X-Request-Id
  std::string attempt;  // X-Attempt
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  int64_t resume_from = 0;
  int64_t generated = 0;   // tokens, in this run
  bool ran = false;        // false: refused as not run
  bool finished = false;   // its answer was sent to the end
  bool cancelled = false;  // by order, or because its connection went

  bool operator==(const RunRecord&) const = default;
};

}  // namespace hickorystand::fakes
