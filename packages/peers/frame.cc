#include "peers/frame.h"

#include <glib.h>

#include <algorithm>
#include <cassert>
#include <random>

namespace hickorystand {
namespace {

constexpr size_t kSha256Bytes = 32;
constexpr int kBitsPerByte = 8;

const guchar* Bytes(std::string_view text) {
  return reinterpret_cast<const guchar*>(text.data());
}

void AppendBigEndian(std::string& out, uint64_t value, size_t bytes) {
  for (size_t i = bytes; i-- > 0;) {
    out.push_back(static_cast<char>((value >> (i * kBitsPerByte)) & 0xff));
  }
}

std::string Tag(std::string_view key,
                std::string_view context,
                std::string_view payload) {
  GHmac* hmac = g_hmac_new(G_CHECKSUM_SHA256, Bytes(key), key.size());
  g_hmac_update(hmac, Bytes(context), static_cast<gssize>(context.size()));
  g_hmac_update(hmac, Bytes(payload), static_cast<gssize>(payload.size()));
  std::string digest(kSha256Bytes, '\0');
  gsize length = digest.size();
  g_hmac_get_digest(hmac, reinterpret_cast<guint8*>(digest.data()), &length);
  g_hmac_unref(hmac);
  assert(length == kSha256Bytes);
  return digest;
}

// Constant-time comparison. If the time depended on the position of the first
// difference, a sender without the secret could find a tag byte by byte.
bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

}  // namespace

std::string HmacSha256(std::string_view key, std::string_view bytes) {
  return Tag(key, {}, bytes);
}

std::string SealFrame(std::string_view key,
                      std::string_view context,
                      std::string_view payload) {
  assert(payload.size() <= kMaxFrameBytes - kTagBytes &&
         "payload exceeds the frame limit");
  std::string frame;
  frame.reserve(kLengthBytes + kTagBytes + payload.size());
  AppendBigEndian(frame, kTagBytes + payload.size(), kLengthBytes);
  frame.append(Tag(key, context, payload), 0, kTagBytes);
  frame.append(payload);
  return frame;
}

Result<std::string_view> OpenFrame(std::string_view key,
                                   std::string_view context,
                                   std::string_view body) {
  if (body.size() < kTagBytes) {
    return Fail(ErrorKind::kUnauthenticated,
                "frame shorter than its authentication tag");
  }
  const auto payload = body.substr(kTagBytes);
  const std::string expected = Tag(key, context, payload);
  if (!ConstantTimeEquals(body.substr(0, kTagBytes),
                          std::string_view(expected).substr(0, kTagBytes))) {
    return Fail(ErrorKind::kUnauthenticated,
                "authentication tag does not match");
  }
  return payload;
}

std::string FrameContext(bool from_dialler, uint64_t sequence) {
  std::string context(1, from_dialler ? 'd' : 'a');
  AppendBigEndian(context, sequence, sizeof(sequence));
  return context;
}

std::string MakeNonce() {
  thread_local std::random_device device;
  std::string nonce;
  while (nonce.size() < kNonceBytes) {
    AppendBigEndian(nonce, device(), sizeof(uint32_t));
  }
  return nonce;
}

Result<std::string> FrameReader::Next() {
  const auto rest = std::string_view(this->buffer).substr(this->consumed);
  if (rest.size() < kLengthBytes) {
    return std::string();
  }
  size_t length = 0;
  for (const char byte : rest.substr(0, kLengthBytes)) {
    length = (length << kBitsPerByte) | static_cast<unsigned char>(byte);
  }
  if (length > this->limit) {
    return Fail(ErrorKind::kTooLarge, "frame length exceeds the limit");
  }
  if (length <= kTagBytes) {
    return Fail(ErrorKind::kBadRequest,
                "frame length leaves no room for a payload");
  }
  if (rest.size() < kLengthBytes + length) {
    this->buffer.erase(0, this->consumed);
    this->consumed = 0;
    return std::string();
  }
  std::string body(rest.substr(kLengthBytes, length));
  this->consumed += kLengthBytes + length;
  if (this->consumed == this->buffer.size()) {
    this->buffer.clear();
    this->consumed = 0;
  }
  return body;
}

}  // namespace hickorystand
