// Decides which endpoints may run a request whose stream may have begun.
//
// Endpoints of several software versions serve a service side by side, and the
// events of two versions don't fit together. A stream therefore continues only
// at the service and the software version that sent its first event. If these
// are not known, it does not continue at all: a guess could be wrong, and
// neither the caller nor an endpoint would notice.
//
//   StreamProgress progress;                              // not begun
//   progress = StreamProgress::BegunAt({service, software});
//   if (progress.MayRunAt({endpoint.service, endpoint.software})) { ... }
//
// Index
//   StreamOrigin     what sent the first event of a stream
//   StreamProgress   whether a stream has begun, and where

#pragma once

#include <utility>

#include "kernel/ids.h"

namespace hickorystand {

// The service and the software version of the endpoint that sent the first
// event of a stream.
struct StreamOrigin {
  ServiceId service;
  SoftwareVersion software;

  auto operator<=>(const StreamOrigin&) const = default;
};

// What is known of a stream's first event: it was not sent to the caller yet,
// or it came from an endpoint of a known or an unknown origin.
class StreamProgress {
 public:
  StreamProgress() = default;  // not begun

  static StreamProgress BegunAt(StreamOrigin origin) {
    return {State::kBegun, std::move(origin)};
  }
  static StreamProgress BegunAtUnknownOrigin() {
    return {State::kBegunAtUnknownOrigin, {}};
  }

  bool Begun() const { return this->state != State::kNotBegun; }
  bool OriginUnknown() const {
    return this->state == State::kBegunAtUnknownOrigin;
  }

  // Empty unless the stream has begun at a known origin.
  const StreamOrigin& Origin() const { return this->origin; }

  // Whether an endpoint of this service and version may run the request.
  bool MayRunAt(const StreamOrigin& endpoint) const {
    return this->state == State::kNotBegun ||
           (this->state == State::kBegun && this->origin == endpoint);
  }

  auto operator<=>(const StreamProgress&) const = default;

 private:
  enum class State { kNotBegun, kBegun, kBegunAtUnknownOrigin };

  StreamProgress(State state, StreamOrigin origin)
      : state(state), origin(std::move(origin)) {}

  State state = State::kNotBegun;
  StreamOrigin origin;
};

}  // namespace hickorystand
