// Framing and authentication of the messages between hosts on a TCP stream.
//
//   length (4 bytes, big-endian, of what follows) | tag (16) | payload
//
// A session starts with a Hello from each side, authenticated with the fleet
// secret. The session key is derived from the secret and both Hellos. Each
// Hello holds its sender's id and incarnation and a fresh nonce. The tag of
// every later frame is computed with that key over the direction, the sequence
// number and the payload; direction and sequence number are not transmitted.
//
// This prevents replay: a recorded frame that is sent again, to the same host
// or another, has the tag of a session that no longer exists or of a sequence
// number that was already used. Storing the highest sequence number received
// would not be enough, because a host that was just replaced has lost it.
//
//   const std::string frame =
//       SealFrame(key, FrameContext(from_dialler, sequence), payload);
//
//   reader.Feed(bytes);                                // as read
//   const auto body = reader.Next();                   // empty: incomplete
//   const auto payload = OpenFrame(key, context, *body);

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace hickorystand {

// RFC 2104 allows truncating HMAC-SHA256 to half its length. Sending the other
// half would add a tenth to the control traffic.
inline constexpr size_t kTagBytes = 16;
inline constexpr size_t kNonceBytes = 16;
inline constexpr size_t kLengthBytes = 4;

// Largest frame body in bytes: until the sender is authenticated, and
// afterwards. The latter is large enough for one value of the key-value
// service.
inline constexpr size_t kMaxHelloFrameBytes = 1024;
inline constexpr size_t kMaxFrameBytes = 1536UL * 1024;

// Returns the untruncated HMAC-SHA256 of `bytes`.
std::string HmacSha256(std::string_view key, std::string_view bytes);

// Returns a complete frame: length, tag and payload. The tag also covers
// `context`, which is not part of the frame. The payload must fit into
// kMaxFrameBytes together with its tag.
std::string SealFrame(std::string_view key,
                      std::string_view context,
                      std::string_view payload);

// Verifies the tag of a frame body and returns the payload, or
// kUnauthenticated. The view points into `body`.
Result<std::string_view> OpenFrame(std::string_view key,
                                   std::string_view context,
                                   std::string_view body);

// Returns the context of a frame that follows the Hellos: its direction and
// sequence number.
std::string FrameContext(bool from_dialler, uint64_t sequence);

// Returns kNonceBytes random bytes, different on every call.
std::string MakeNonce();

// Splits a byte stream into frame bodies (tag and payload). Frames longer than
// the limit, in bytes, are an error.
class FrameReader {
 public:
  explicit FrameReader(size_t limit) : limit(limit) {}

  // Sets the limit for the frames that follow. Called once the sender is
  // authenticated.
  void SetLimit(size_t bytes) { this->limit = bytes; }

  // Appends bytes that were read from the stream.
  void Feed(std::string_view bytes) { this->buffer.append(bytes); }

  // Returns the next body, or an empty string if more bytes are needed. After
  // kTooLarge or kBadRequest the stream is corrupt and must be closed.
  Result<std::string> Next();

  // Bytes that were fed but not yet returned by Next().
  size_t BufferedBytes() const { return this->buffer.size() - this->consumed; }

 private:
  size_t limit;
  std::string buffer;
  size_t consumed = 0;  // bytes of `buffer` already returned by Next()
};

}  // namespace hickorystand
