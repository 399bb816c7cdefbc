#include "kernel/dropping_buffer.h"

#include <poll.h>
#include <unistd.h>

namespace hickorystand {
namespace {

// A pipe that polls as writable accepts this many bytes without blocking
// (PIPE_BUF).
constexpr size_t kMaxWriteBytes = 4096;

bool IsWritable(int descriptor) {
  pollfd state{.fd = descriptor, .events = POLLOUT};
  return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

}  // namespace

DroppingBuffer::int_type DroppingBuffer::overflow(int_type character) {
  if (character != traits_type::eof()) {
    this->line += traits_type::to_char_type(character);
  }
  return traits_type::not_eof(character);
}

std::streamsize DroppingBuffer::xsputn(const char* text, std::streamsize size) {
  this->line.append(text, static_cast<size_t>(size));
  return size;
}

int DroppingBuffer::sync() {
  if (this->line.size() > kMaxWriteBytes) {
    this->line.resize(kMaxWriteBytes - 1);
    this->line += '\n';
  }
  if (!this->line.empty() &&
      (!IsWritable(this->descriptor) ||
       write(this->descriptor, this->line.data(), this->line.size()) < 0)) {
    ++this->dropped;
  }
  this->line.clear();
  return 0;
}

}  // namespace hickorystand
