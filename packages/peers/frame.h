// Frames: how messages stand in a TCP stream, and how a receiver knows that
// they come from a host of this fleet.
//
//   length (4 bytes, big-endian, of what follows) | tag (16) | payload
//
// A session opens with a Hello from each side, tagged with the fleet secret.
// The session's key is drawn from the secret and both Hellos, which name each
// sender with its incarnation and carry a fresh nonce each. Every later frame
// is tagged under that key with its direction and sequence number, neither of
// which is sent.
//
// A recorded frame that is played back, to the same host or another, is thus
// tagged for a session that no longer exists or for a sequence number that has
// passed. Remembering the highest number seen would not be enough: a host that
// has just been replaced remembers nothing.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace hickorystand {

// RFC 2104 allows half of HMAC-SHA256; the other half would cost a tenth of
// the control traffic.
inline constexpr size_t kTagBytes = 16;
inline constexpr size_t kNonceBytes = 16;
inline constexpr size_t kLengthBytes = 4;

// Largest frame before and after the sender has proved that it knows the
// secret. The second holds one value of the key-value service.
inline constexpr size_t kMaxHelloFrame = 1024;
inline constexpr size_t kMaxFrame = 1536UL * 1024;

// HMAC-SHA256, in full.
std::string Authenticate(std::string_view key, std::string_view bytes);

// A frame ready to be written.
std::string SealFrame(std::string_view key,
                      std::string_view context,
                      std::string_view payload);

// The payload of a frame's body, or kUnauthenticated. The view points into
// `body`.
Result<std::string_view> OpenFrame(std::string_view key,
                                   std::string_view context,
                                   std::string_view body);

// What a data frame's tag covers besides its payload.
std::string FrameContext(bool from_dialler, uint64_t sequence);

// Random bytes that are never used twice.
std::string MakeNonce();

// Cuts a stream of bytes into frame bodies.
class FrameReader {
 public:
  explicit FrameReader(size_t limit) : limit(limit) {}

  // Allows larger frames from now on.
  void SetLimit(size_t bytes) { this->limit = bytes; }

  // Takes what was read from the stream.
  void Feed(std::string_view bytes) { this->buffer.append(bytes); }

  // The next body: empty if more bytes are needed; kTooLarge or kBadRequest if
  // the stream can't be understood, after which it must be closed.
  Result<std::string> Next();

  // Bytes held back because their frame isn't complete.
  size_t Buffered() const { return this->buffer.size() - this->taken; }

 private:
  size_t limit;
  std::string buffer;
  size_t taken = 0;  // bytes of `buffer` that were handed out
};

}  // namespace hickorystand
