#include "http/http_types.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace hickorystand {
namespace {

// Hop-by-hop headers, credentials, and headers reserved for attempts. A
// caller's key must not reach an endpoint, because anybody who can read the
// endpoint's memory or log could then impersonate the caller. A caller must not
// set the headers that identify an attempt.
constexpr std::array<std::string_view, 21> kNotForwarded = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
    "content-length",
    "host",
    "expect",
    "authorization",
    "cookie",
    "proxy-authorization",
    "api-key",
    "x-api-key",
    "set-cookie",
    "x-request-id",
    "x-attempt",
    "x-priority",
    "x-resume-from",
};

bool Forwardable(const HttpHeader& header) {
  return std::ranges::none_of(kNotForwarded, [&](std::string_view name) {
    return HeaderNamesEqual(name, header.name);
  });
}

}  // namespace

std::string_view NameOf(HttpEnd end) {
  switch (end) {
    case HttpEnd::kComplete:
      return "complete";
    case HttpEnd::kNoEndMarker:
      return "no_end_marker";
    case HttpEnd::kNotSent:
      return "not_sent";
    case HttpEnd::kReset:
      return "reset";
    case HttpEnd::kTimedOut:
      return "timed_out";
    case HttpEnd::kProtocol:
      return "protocol";
    case HttpEnd::kCancelled:
      break;
  }
  return "cancelled";
}

bool HeaderNamesEqual(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, {}, &g_ascii_tolower,
                            &g_ascii_tolower);
}

std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name) {
  const auto found =
      std::ranges::find_if(headers, [&](const HttpHeader& header) {
        return HeaderNamesEqual(header.name, name);
      });
  return found == headers.end() ? std::nullopt : std::optional(found->value);
}

bool IsEventStream(const HttpHeaders& headers) {
  return FindHeader(headers, "Content-Type")
      .value_or("")
      .starts_with("text/event-stream");
}

HttpHeaders CopyHeaders(SoupMessageHeaders* headers) {
  HttpHeaders copy;
  soup_message_headers_foreach(
      headers,
      [](const char* name, const char* value, gpointer to) {
        static_cast<HttpHeaders*>(to)->push_back({name, value});
      },
      &copy);
  return copy;
}

void AppendHeaders(SoupMessageHeaders* to, const HttpHeaders& headers) {
  for (const HttpHeader& header : headers) {
    soup_message_headers_append(to, header.name.c_str(), header.value.c_str());
  }
}

HttpHeaders ForwardableHeaders(const HttpHeaders& headers) {
  HttpHeaders kept;
  std::ranges::copy_if(headers, std::back_inserter(kept), Forwardable);
  return kept;
}

}  // namespace hickorystand
