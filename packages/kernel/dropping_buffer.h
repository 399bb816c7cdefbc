// A stream buffer that hands whole lines to a file descriptor and drops a line
// rather than wait: whoever reads the log may be slow or gone, and no request
// may wait for that.

#pragma once

#include <atomic>
#include <cstdint>
#include <streambuf>
#include <string>

namespace hickorystand {

class DroppingBuffer final : public std::streambuf {
 public:
  explicit DroppingBuffer(int descriptor) : descriptor(descriptor) {}

  // Lines dropped so far. May be called from any thread.
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
