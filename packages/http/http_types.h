// HTTP headers and the ends of exchanges as plain values, independent of
// libsoup's types.

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

// How an exchange ended.
enum class HttpEnd {
  kComplete,     // complete: declared length reached, or last chunk received
  kNoEndMarker,  // closed in order behind a body, which may be truncated
  kNotSent,      // no byte was sent
  kReset,        // the connection was lost after bytes were sent
  kTimedOut,     // timed out without progress after bytes were sent
  kProtocol,     // the response is not valid HTTP, or exceeds a limit
  kCancelled,    // by this process, after bytes were sent
};

// The name of an end, as used in logs.
std::string_view NameOf(HttpEnd end);

// Compares two header names, ignoring case.
bool HeaderNamesEqual(std::string_view left, std::string_view right);

// Returns the value of the first header with that name, ignoring case.
std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name);

// Whether the headers declare a stream of server-sent events.
bool IsEventStream(const HttpHeaders& headers);

// Copies all headers of a libsoup message, in order.
HttpHeaders CopyHeaders(SoupMessageHeaders* headers);

// Appends headers to a libsoup message.
void AppendHeaders(SoupMessageHeaders* to, const HttpHeaders& headers);

// Returns the headers that may be forwarded between a caller and an endpoint:
// all but hop-by-hop headers, the caller's credentials, and the headers that
// this system sets on each attempt.
HttpHeaders ForwardableHeaders(const HttpHeaders& headers);

}  // namespace hickorystand
