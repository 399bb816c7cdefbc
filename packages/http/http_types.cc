#include "http/http_types.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace hickorystand {
namespace {

// A caller's key must never reach an endpoint: whoever reads the endpoint's
// memory or log could act as the caller. The last rows are those in which
// OpenAI client libraries and browsers may carry a key.
constexpr std::array<std::string_view, 17> kNotForwarded = {
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
};

bool SameName(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         g_ascii_strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool Forwardable(const HttpHeader& header) {
  return std::ranges::none_of(kNotForwarded, [&](std::string_view name) {
    return SameName(name, header.name);
  });
}

}  // namespace

std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name) {
  const auto found = std::ranges::find_if(
      headers,
      [&](const HttpHeader& header) { return SameName(header.name, name); });
  return found == headers.end() ? std::nullopt : std::optional(found->value);
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
