// Headers and requests as plain values, free of libsoup's types.

#pragma once

#include <libsoup/soup.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorystand {

// One header line.
struct HttpHeader {
  std::string name;
  std::string value;

  auto operator<=>(const HttpHeader&) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

// Whether two header names are the same, in any case of letters.
bool SameHeaderName(std::string_view left, std::string_view right);

// The value of the first header of that name, in any case of letters.
std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name);

// All headers of a libsoup message, in their order.
HttpHeaders CopyHeaders(SoupMessageHeaders* headers);

// Appends headers to a libsoup message.
void AppendHeaders(SoupMessageHeaders* to, const HttpHeaders& headers);

// The headers that may be passed on between a caller and an endpoint: neither
// those that belong to one connection (hop-by-hop), nor those that carry a
// caller's credentials.
HttpHeaders ForwardableHeaders(const HttpHeaders& headers);

}  // namespace hickorystand
