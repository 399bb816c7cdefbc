// Reads HTTP/1.1 messages from bytes as they come, by Boost.Beast's parser.
//
// Index
//   Http1Head      the start line and headers of a message
//   Http1Failure   why bytes are no message
//   Http1Parser    reads one message after the other

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/http_types.h"

namespace hickorystand {

// The start of a message.
struct Http1Head {
  std::string method;  // of a request
  std::string target;  // of a request
  int status = 0;      // of an answer
  HttpHeaders headers;
  bool keep_alive = false;              // the sender leaves the connection open
  std::optional<uint64_t> body_length;  // as declared
  bool until_close = false;             // the body ends with the connection

  bool operator==(const Http1Head&) const = default;
};

// Why bytes aren't a message.
enum class Http1Failure {
  kNone,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

// What is read.
enum class Http1Side { kRequests, kAnswers };

// What a parser reports, in this order for each message.
struct Http1Events {
  std::function<void(const Http1Head&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void()> on_end;
};

// Bounds of one message, in bytes.
struct Http1Limits {
  uint32_t head = 16384;
  uint64_t body = uint64_t{4} << 20;

  auto operator<=>(const Http1Limits&) const = default;
};

// Reads the messages of one direction of a connection.
class Http1Parser {
 public:
  Http1Parser(Http1Side side, Http1Events events);
  ~Http1Parser();
  Http1Parser(const Http1Parser&) = delete;
  Http1Parser& operator=(const Http1Parser&) = delete;

  // Gets ready for the next message. An answer to HEAD has no body.
  void Begin(const Http1Limits& limits, bool no_body = false);

  // Adds bytes and reads on. It stops behind the end of the message; what
  // follows stays until the next Begin() and Read().
  void Feed(std::string_view bytes) { this->unread += bytes; }
  void Read();

  // The connection was closed in order. True if that ends the message whole.
  bool Finish();

  // Whether the message's head is read, and whether all of it is.
  bool HeadRead() const { return this->head_read; }
  bool Done() const { return this->done; }

  // Whether a message has begun, and how many bytes are left unread.
  bool Started() const { return this->started || !this->unread.empty(); }
  size_t Unread() const { return this->unread.size(); }

  Http1Failure Failure() const { return this->failure; }

 private:
  class Engine;
  template <bool kRequest>
  class EngineOf;

  Http1Side side;
  Http1Events events;
  std::unique_ptr<Engine> engine;
  std::string unread;
  bool started = false;
  bool head_read = false;
  bool done = true;
  Http1Failure failure = Http1Failure::kNone;
};

}  // namespace hickorystand
