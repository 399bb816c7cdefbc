// A crowd of clients that misbehave, as a program: connects to a stand-alone
// host, sends, reads nothing, and stays until it is killed. Prints one line
// once each client has sent everything or was disconnected.
//
//   crowd PORT CLIENTS KIND KEY

#include <glib.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <string_view>

#include "crowd_client.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPath = "/services/petitions/petitions";
constexpr size_t kChunk = 64 * kKiB;
constexpr size_t kTinyChunks = 700'000;
constexpr size_t kLargestBody = 4 * kMiB;
constexpr size_t kAnswerTokens = 100'000;
constexpr Duration kLongest = std::chrono::seconds(60);

std::string Head(std::string_view path,
                 const std::string& key,
                 const std::string& framing) {
  return "POST " + std::string(path) +
         " HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
         "Authorization: Bearer " +
         key + "\r\n" + framing + "\r\n\r\n";
}

std::string LengthFraming(size_t length) {
  return "Content-Length: " + std::to_string(length);
}

std::string Repeat(std::string_view text, size_t times) {
  std::string all;
  all.reserve(text.size() * times);
  for (size_t i = 0; i < times; ++i) {
    all += text;
  }
  return all;
}

std::string ShortBody(const std::string& key) {
  return Head(kPath, key, LengthFraming(kLargestBody)) +
         std::string(kLargestBody - 1, 'b');
}

std::string WholeBody(const std::string& key) {
  const std::string_view begin = R"({"claim":")";
  const std::string_view end = R"("})";
  return Head(kPath, key, LengthFraming(kLargestBody)) + std::string(begin) +
         std::string(kLargestBody - begin.size() - end.size(), 'b') +
         std::string(end);
}

std::string LargeChunks(const std::string& key) {
  return Head(kPath, key, "Transfer-Encoding: chunked") +
         Repeat("10000\r\n" + std::string(kChunk, 'b') + "\r\n",
                kLargestBody / kChunk - 1);
}

std::string TinyChunks(const std::string& key) {
  return Head(kPath, key, "Transfer-Encoding: chunked") +
         Repeat("1\r\nb\r\n", kTinyChunks);
}

std::string LongAnswer(const std::string& key) {
  const std::string body =
      R"({"model":"easy-read-7b","stream":true,"max_tokens":)" +
      std::to_string(kAnswerTokens) +
      R"(,"messages":[{"role":"user","content":"Go on."}]})";
  return Head("/v1/chat/completions", key, LengthFraming(body.size())) + body;
}

std::string HeadWithoutEnd(const std::string& /*key*/) {
  return "GET / HTTP/1.1\r\nHost: " + std::string(16000, 'h');
}

std::string Nothing(const std::string& /*key*/) {
  return "";
}

int Main(std::string_view kind,
         uint16_t port,
         size_t clients,
         const std::string& key) {
  const std::map<std::string_view, std::string (*)(const std::string&)> kinds =
      {{"short-bodies", &ShortBody},
       {"whole-bodies", &WholeBody},
       {"large-chunks", &LargeChunks},
       {"tiny-chunks", &TinyChunks},
       {"long-answers", &LongAnswer},
       {"heads", &HeadWithoutEnd},
       {"silent", &Nothing}};
  const auto found = kinds.find(kind);
  if (found == kinds.end()) {
    std::cerr << "crowd: unknown kind " << kind << '\n';
    return EXIT_FAILURE;
  }
  const Crowd crowd({.host = "127.0.0.1", .port = port}, clients, false);
  crowd.Send(found->second(key));
  bool over = false;
  const auto limit = Timer::After(kLongest, [&over] { over = true; });
  const auto wake = Timer::Every(std::chrono::milliseconds(100), [] {});
  while (!crowd.Settled() && !over) {
    g_main_context_iteration(nullptr, TRUE);
  }
  std::cout << "settled: " << std::boolalpha << crowd.Settled() << std::endl;
  while (true) {
    g_main_context_iteration(nullptr, TRUE);
  }
}

}  // namespace
}  // namespace hickorystand

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: crowd PORT CLIENTS KIND KEY\n";
    return EXIT_FAILURE;
  }
  return hickorystand::Main(argv[3], static_cast<uint16_t>(std::atoi(argv[1])),
                            static_cast<size_t>(std::atoi(argv[2])), argv[4]);
}
