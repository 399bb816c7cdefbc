// Requests whose framing is not valid, or is read differently by different
// readers. No reader of requests may run one, or anything that it carries.
//
// Index
//   BrokenFraming    the protocol version and the lines that frame the body
//   BrokenFramings   all of them

#pragma once

#include <string>
#include <vector>

namespace hickorystand {

// How a request states the end of its body.
struct BrokenFraming {
  std::string name;
  std::string lines;
  std::string version = "HTTP/1.1";

  // The request with `fields`, valid header lines, and with `body`.
  std::string Request(const std::string& method_and_target,
                      const std::string& fields,
                      const std::string& body) const {
    return method_and_target + " " + this->version + "\r\n" + fields +
           this->lines + "\r\n" + body;
  }
};

// The framings of a request whose body has `length` bytes.
inline std::vector<BrokenFraming> BrokenFramings(size_t length) {
  const std::string bytes = std::to_string(length);
  std::vector<BrokenFraming> framings;
  for (const char* coding :
       {"identity", "gzip", "deflate", "xchunked", "chunked, identity",
        "chunked, gzip", "", ",", "\"chunked\"", "gzip, chunked",
        "identity, chunked", "chunked, chunked", ", chunked", "chunked,",
        "chunked;q=1", "chunked gzip"}) {
    framings.push_back({std::string("coding '") + coding + "'",
                        std::string("Transfer-Encoding: ") + coding + "\r\n"});
  }
  framings.push_back(
      {"two codings in two lines",
       "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"});
  framings.push_back(
      {"a coding twice in two lines",
       "Transfer-Encoding: gzip\r\nTransfer-Encoding: gzip\r\n"});
  framings.push_back(
      {"chunks twice in two lines",
       "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"});
  framings.push_back({"a coding beside a change of protocols",
                      "Transfer-Encoding: gzip\r\nConnection: upgrade\r\n"
                      "Upgrade: other\r\n"});
  framings.push_back({"a coding beside an expectation",
                      "Transfer-Encoding: identity\r\n"
                      "Expect: 100-continue\r\n"});
  framings.push_back({"a coding beside a length",
                      "Transfer-Encoding: identity\r\nContent-Length: 0\r\n"});
  framings.push_back({"a length beside a coding",
                      "Content-Length: 0\r\nTransfer-Encoding: identity\r\n"});
  framings.push_back(
      {"a length beside chunks",
       "Content-Length: " + bytes + "\r\nTransfer-Encoding: chunked\r\n"});
  framings.push_back({"a blank behind the name of a coding",
                      "Transfer-Encoding : chunked\r\n"});
  framings.push_back({"a blank behind the name of a length",
                      "Content-Length : " + bytes + "\r\n"});
  for (const std::string& stated :
       {"+" + bytes, std::string("-1"), "0x" + bytes, std::string(),
        "0 " + bytes, "0, " + bytes, bytes + ",",
        std::string("18446744073709551616")}) {
    framings.push_back(
        {"length '" + stated + "'", "Content-Length: " + stated + "\r\n"});
  }
  framings.push_back({"two lengths", "Content-Length: 0\r\nContent-Length: " +
                                         bytes + "\r\n"});
  framings.push_back({"a coding of a version without codings",
                      "Transfer-Encoding: gzip\r\nConnection: keep-alive\r\n",
                      "HTTP/1.0"});
  framings.push_back(
      {"chunks of a version without codings",
       "Transfer-Encoding: chunked\r\nConnection: keep-alive\r\n", "HTTP/1.0"});
  return framings;
}

}  // namespace hickorystand
