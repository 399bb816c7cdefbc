// Record of a request that a stand-in received, so that tests can count how
// often a request was executed.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "http/http_types.h"

namespace hickorystand::fakes {

// A request received by an endpoint.
struct RunRecord {
  std::string request;  // X-Request-Id
  std::string attempt;  // X-Attempt
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  int64_t resume_from = 0;
  int64_t generated = 0;   // tokens generated in this run
  bool ran = false;        // false: refused before execution
  bool finished = false;   // the whole answer was sent
  bool cancelled = false;  // by request, or because its connection closed

  bool operator==(const RunRecord&) const = default;
};

}  // namespace hickorystand::fakes
