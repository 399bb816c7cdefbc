// Messages to bytes and back, by Thrift's compact protocol.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "decisions/digest_delta.h"
#include "kernel/error.h"
#include "kernel/ids.h"
#include "peers/message.h"

namespace hickorystand {

// Who is at one end of a session.
struct PeerHello {
  HostId host;
  DataCentreId data_centre;
  uint64_t incarnation = 0;
  std::string nonce;
  HostId receiver;  // whom the sender expects; empty in the answer

  bool operator==(const PeerHello&) const = default;
};

// Keeps a quiet session alive.
struct PeerHeartbeat {
  bool operator==(const PeerHeartbeat&) const = default;
};

// Whom a digest speaks for. Each scope is a stream of its own.
enum class DigestScope {
  kHost,        // the sending host; goes to its data centre
  kDataCentre,  // the sender's data centre; goes to the other ones
  kElsewhere,   // all other data centres; goes to the sender's own
};
inline constexpr size_t kDigestScopes = 3;

// What the receiver of a scope's digests has of them. Incarnation 0 is the
// session's.
struct ScopedAck {
  DigestScope scope = DigestScope::kHost;
  DigestAck ack;

  auto operator<=>(const ScopedAck&) const = default;
};

// A digest and, riding on it, what its sender has of the receiver's digests.
// The delta's host, data centre and incarnation don't travel: they are those
// of the session.
struct PeerDigest {
  DigestScope scope = DigestScope::kHost;
  DigestDelta delta;
  std::vector<ScopedAck> acks;

  bool operator==(const PeerDigest&) const = default;
};

// All that a payload can hold after the Hellos.
using WireMessage = std::variant<PeerHeartbeat, PeerDigest, PeerMessage>;

std::string EncodeHello(const PeerHello& hello);
Result<PeerHello> DecodeHello(std::string_view payload);

std::string EncodeMessage(const WireMessage& message);

// The message in a payload, or kBadRequest when it is cut short, malformed or
// has a field over its limit.
Result<WireMessage> DecodeMessage(std::string_view payload);

}  // namespace hickorystand
