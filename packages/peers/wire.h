// Messages to bytes and back, by Thrift's compact protocol.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

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

// A digest and, riding on it, what its sender has of the receiver's digests.
// The delta's host, data centre and incarnation don't travel: they are those
// of the session. An ack of incarnation 0 is of the session's as well.
struct PeerDigest {
  DigestDelta delta;
  std::optional<DigestAck> ack;

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
