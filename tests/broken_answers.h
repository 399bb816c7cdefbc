// Answers that are not valid HTTP, or that end before their framing says so.
// No reader of answers may take one for an answer.
//
// Index
//   BrokenAnswer    the bytes of one
//   BrokenHeads     the start line or a header is not valid
//   BrokenBodies    the body's framing is not valid, or its end is missing

#pragma once

#include <string>
#include <vector>

namespace hickorystand {

// The bytes that an endpoint sends before it closes the connection in order.
struct BrokenAnswer {
  std::string name;
  std::string bytes;
};

inline constexpr const char* kBrokenAnswerBody = "broken body";

// An answer with a body of a stated length.
inline BrokenAnswer BrokenHead(const std::string& name,
                               const std::string& status_line,
                               const std::string& fields) {
  return {.name = name,
          .bytes = status_line + "\r\n" + fields +
                   "Content-Length: 11\r\n\r\n" + kBrokenAnswerBody};
}

// Answers whose heads are not valid. `fields` are valid header lines that each
// head has too.
inline std::vector<BrokenAnswer> BrokenHeads(const std::string& fields) {
  using std::string_literals::operator""s;
  std::vector<BrokenAnswer> answers;
  for (const char* status : {"000", "001", "099", "600", "999", "20", "2000",
                             "2x0", "-20", "+20", ""}) {
    answers.push_back(BrokenHead(std::string("status '") + status + "'",
                                 std::string("HTTP/1.1 ") + status + " OK",
                                 fields));
  }
  for (const std::string& line :
       {"HTTP/2.0 200 OK"s, "HTTP/11 200 OK"s, "ICY 200 OK"s,
        "HTTP/1.1\t200 OK"s, "HTTP/1.1  200 OK"s, "HTTP/1.1 200 O\x01K"s,
        "HTTP/1.1 200 O\0K"s}) {
    answers.push_back(BrokenHead("start line " + line, line, fields));
  }
  for (const std::string& line :
       {"X Y: z"s, "X\tY: z"s, "X\x01Y: z"s, "X\0Y: z"s, "X\x7fY: z"s,
        "X(Y: z"s, "X\x1bY: z"s, ": z"s, "X-Y : z"s, "X-Y"s, "X-Y: a\0b"s,
        "X-Y: a\x01"
        "b"s,
        "X-Y: a\rb"s}) {
    answers.push_back(BrokenHead("header " + line, "HTTP/1.1 200 OK",
                                 fields + line + "\r\n"));
  }
  answers.push_back(BrokenHead("a change of protocols before the head",
                               "HTTP/1.1 101 Switching Protocols\r\n\r\n"
                               "HTTP/1.1 200 OK",
                               fields));
  answers.push_back(BrokenHead("a fold before the first header",
                               "HTTP/1.1 200 OK", " X: y\r\n" + fields));
  return answers;
}

// Answers with a valid head whose bodies have no valid framing or no end.
inline std::vector<BrokenAnswer> BrokenBodies(const std::string& fields) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "b\r\nbroken body\r\n";
  const std::string last = "0\r\n\r\n";
  std::vector<BrokenAnswer> answers;
  for (const char* length : {"+11", "-1", "0x5", "99999999999999999999", "",
                             "1 1", "11, 5", "11,"}) {
    answers.push_back(
        {std::string("length '") + length + "'",
         head + "Content-Length: " + length + "\r\n\r\nbroken body"});
  }
  answers.push_back({"a blank behind the name of a length",
                     head + "Content-Length : 11\r\n\r\nbroken body and more"});
  answers.push_back(
      {"two lengths", head + "Content-Length: 11\r\nContent-Length: 5\r\n\r\n"
                             "broken body"});
  answers.push_back(
      {"length and chunks",
       head + "Content-Length: 11\r\nTransfer-Encoding: chunked\r\n\r\n" +
           chunk + last});
  answers.push_back({"a length that is not reached",
                     head + "Content-Length: 12\r\n\r\nbroken body"});
  answers.push_back(
      {"a blank behind the name of a coding",
       head + "Transfer-Encoding : chunked\r\n\r\n" + chunk + last});
  for (const char* coding :
       {"gzip, chunked", "gzip", "identity", "chunked, identity", "xchunked",
        "chunked, gzip", "chunked, chunked", "", ", ", "chunked;q=1"}) {
    answers.push_back(
        {std::string("coding '") + coding + "'",
         head + "Transfer-Encoding: " + coding + "\r\n\r\n" + chunk + last});
  }
  answers.push_back(
      {"two lines of codings", head +
                                   "Transfer-Encoding: gzip\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n" +
                                   chunk + last});
  for (const char* size :
       {"-b", "+b", "0xb", "ffffffffffffffffff", "", "g", " b"}) {
    answers.push_back({std::string("chunk size '") + size + "'",
                       chunked + size + "\r\nbroken body\r\n" + last});
  }
  answers.push_back(
      {"a chunk with a wrong end", chunked + "b\r\nbroken bodyXX" + last});
  answers.push_back({"a last chunk that is missing", chunked + chunk});
  answers.push_back({"half a last chunk", chunked + chunk + "0\r\n"});
  answers.push_back({"a chunk that is cut", chunked + "b\r\nbroken"});
  answers.push_back({"trailers that are cut", chunked + chunk + "0\r\nX: y"});
  return answers;
}

// All of them.
inline std::vector<BrokenAnswer> BrokenAnswers(const std::string& fields) {
  std::vector<BrokenAnswer> answers = BrokenHeads(fields);
  for (BrokenAnswer& answer : BrokenBodies(fields)) {
    answers.push_back(std::move(answer));
  }
  return answers;
}

}  // namespace hickorystand
