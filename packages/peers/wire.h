// Encodes and decodes the messages between hosts in Thrift's compact protocol,
// as declared in peers.thrift.
//
//   const std::string payload = EncodeMessage(PeerHeartbeat{});
//   const Result<WireMessage> message = DecodeMessage(payload);
//
// Index
//   PeerHello, PeerHeartbeat           session setup and keep-alive
//   DigestScope, ScopedAck, PeerDigest digests as deltas
//   WireMessage                        any message that follows the Hellos

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

// First message of each side of a session: the sender's identity.
struct PeerHello {
  HostId host;
  DataCentreId data_centre;
  uint64_t incarnation = 0;
  std::string nonce;
  HostId receiver;  // the host that the sender dialled; empty in the answer

  bool operator==(const PeerHello&) const = default;
};

// Sent when a session has no other traffic, so that the peer's silence timeout
// doesn't close it.
struct PeerHeartbeat {
  bool operator==(const PeerHeartbeat&) const = default;
};

// What a digest covers and who receives it. Each scope is a separate stream
// with its own acknowledgements.
enum class DigestScope {
  kHost,              // the sending host; sent to its data centre
  kDataCentre,        // the sender's data centre; sent to the other ones
  kOtherDataCentres,  // all other data centres; sent to the sender's own
};
inline constexpr size_t kDigestScopes = 3;

// Acknowledges the digests of one scope. Incarnation 0 stands for that in the
// Hello of the host which receives the acknowledgement.
struct ScopedAck {
  DigestScope scope = DigestScope::kHost;
  DigestAck ack;

  auto operator<=>(const ScopedAck&) const = default;
};

// A digest delta, with acknowledgements of the receiver's digests. The delta's
// host, data centre and incarnation are not transmitted: they are those in the
// sender's Hello.
struct PeerDigest {
  DigestScope scope = DigestScope::kHost;
  DigestDelta delta;
  std::vector<ScopedAck> acks;

  bool operator==(const PeerDigest&) const = default;
};

// Any message that follows the Hellos.
using WireMessage = std::variant<PeerHeartbeat, PeerDigest, PeerMessage>;

std::string EncodeHello(const PeerHello& hello);
Result<PeerHello> DecodeHello(std::string_view payload);

std::string EncodeMessage(const WireMessage& message);

// Decodes a payload; kBadRequest if it is truncated, malformed or has a field
// over its limit.
Result<WireMessage> DecodeMessage(std::string_view payload);

}  // namespace hickorystand
