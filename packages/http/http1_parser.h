// Incremental HTTP/1.1 parser on top of Boost.Beast.
//
// Index
//   Http1Head      the start line and headers of a message
//   Http1Failure   why parsing failed
//   Http1Side      whether requests or responses are parsed
//   Http1Events    callbacks
//   Http1Limits    size limits of one message
//   Http1Parser    parses successive messages of one connection

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/http_types.h"

namespace hickorystand {

// The start line and headers of a message.
struct Http1Head {
  std::string method;  // requests only
  std::string target;  // requests only
  int status = 0;      // responses only
  HttpHeaders headers;
  bool keep_alive = false;              // the connection may be reused
  std::optional<uint64_t> body_length;  // Content-Length, if present
  bool until_close = false;             // the body is delimited by the close

  bool operator==(const Http1Head&) const = default;
};

// How the body after a head is delimited, as used in logs.
std::string_view FramingOf(const Http1Head& head);

// Why parsing failed.
enum class Http1Failure {
  kNone,
  kStartLine,
  kStatus,
  kHeader,
  kLength,
  kTransferCoding,
  kChunk,
  kMalformed,  // in another way
  kHeadTooLarge,
  kBodyTooLarge,
};

// The name of a failure, as used in logs and metrics.
std::string_view NameOf(Http1Failure failure);

// Which direction of a connection a parser reads.
enum class Http1Side { kRequests, kResponses };

// Callbacks of a parser, called in this order for each message. on_body is
// called once for each piece of the body.
struct Http1Events {
  std::function<void(Http1Head)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void()> on_end;
};

// Size limits of one message, in bytes. The limit of the head also applies to
// bytes that can't be parsed before more arrive: a header line, the extension
// of a chunk or the trailers.
struct Http1Limits {
  uint32_t head = 16384;
  uint64_t body = uint64_t{4} << 20;

  auto operator<=>(const Http1Limits&) const = default;
};

// Parses the messages of one direction of a connection, one after the other.
// A failure is final for the current message; see Failure().
class Http1Parser {
 public:
  Http1Parser(Http1Side side, Http1Events events);
  ~Http1Parser();
  Http1Parser(const Http1Parser&) = delete;
  Http1Parser& operator=(const Http1Parser&) = delete;

  // Prepares for the next message. `no_body` is for a response to HEAD, which
  // declares a body but does not carry one.
  void Begin(const Http1Limits& limits, bool no_body = false);

  // Feed() buffers bytes, Read() parses them. Read() stops at the end of the
  // message; bytes after it stay buffered until the next Begin() and Read().
  void Feed(std::string_view bytes) { this->unread += bytes; }
  void Read();

  // Call when the peer has closed the connection in order. Returns true if the
  // message is complete, as for a body that is delimited by the close.
  bool Finish();

  // Whether the head has been parsed, and whether the whole message has.
  bool HeadRead() const { return this->head_read; }
  bool Done() const { return this->done; }

  // Whether any byte of a message has arrived, and how many bytes are buffered
  // but not parsed yet.
  bool Started() const { return this->started || !this->unread.empty(); }
  size_t Unread() const { return this->unread.size(); }

  // How many bytes of the message have been parsed, including its framing.
  uint64_t Parsed() const { return this->parsed; }

  Http1Failure Failure() const { return this->failure; }

 private:
  class MessageParser;
  template <bool kRequest>
  class BeastMessageParser;

  void Parse();

  Http1Side side;
  Http1Events events;
  std::unique_ptr<MessageParser> engine;
  std::string unread;
  uint32_t max_unread = 0;
  uint64_t parsed = 0;
  bool started = false;
  bool head_read = false;
  bool done = true;
  Http1Failure failure = Http1Failure::kNone;
};

}  // namespace hickorystand
