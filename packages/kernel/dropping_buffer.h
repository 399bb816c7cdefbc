// A stream buffer for logs that never blocks.
//
//   DroppingBuffer buffer(STDOUT_FILENO);
//   std::ostream out(&buffer);
//   out << "one line\n" << std::flush;

#pragma once

#include <atomic>
#include <cstdint>
#include <streambuf>
#include <string>

namespace hickorystand {

// Writes the buffered line to a file descriptor at each flush. A line that
// can't be written at once is dropped and counted, because the reader of the
// log may be slow or gone and requests must not block on it. Lines longer than
// 4096 bytes are truncated.
class DroppingBuffer final : public std::streambuf {
 public:
  explicit DroppingBuffer(int descriptor) : descriptor(descriptor) {}

  // Lines dropped so far. Thread-safe.
  int64_t Dropped() const { return this->dropped; }

 protected:
  int_type overflow(int_type character) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;
  int sync() override;

 private:
  int descriptor;
  std::string line;
  std::atomic<int64_t> dropped = 0;
};

}  // namespace hickorystand
