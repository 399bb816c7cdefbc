// A call whose answer goes on for as long as both sides live, line by line.

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kernel/error.h"
#include "platform/http_call.h"

namespace hickorystand {

// The longest line that is taken; a stream that sends a longer one is ended.
inline constexpr size_t kMaxStreamLine = size_t{16} << 20;

// One open stream. Destroying it closes the connection; from then on neither
// callback is called.
class HttpStream {
 public:
  // Opens the stream. `on_line` gets each line without its end. `on_end` is
  // called once when the stream broke, ended or was never opened. Either may
  // destroy the stream. The call's timeout and may_send don't apply.
  HttpStream(const HttpCall& call,
             std::function<void(const std::string&)> on_line,
             std::function<void(Error)> on_end);
  ~HttpStream();
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;

 private:
  struct State;

  std::shared_ptr<State> state;
};

}  // namespace hickorystand
