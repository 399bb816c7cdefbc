#include "platform/http_stream.h"

#include <cassert>
#include <string_view>
#include <utility>

namespace hickorystand {
namespace {

constexpr gsize kReadSize = 64 * 1024;

}  // namespace

// What the library's callbacks hold on to.
struct HttpStream::State : std::enable_shared_from_this<State> {
  bool open = true;  // false once destroyed or ended
  std::function<void(const std::string&)> on_line;
  std::function<void(Error)> on_end;
  SoupSession* session = nullptr;
  SoupMessage* message = nullptr;
  GInputStream* input = nullptr;
  GCancellable* cancel = g_cancellable_new();
  std::string partial;  // a line whose end has not come yet

  State() = default;
  State(const State&) = delete;
  State& operator=(const State&) = delete;
  ~State() {
    g_clear_object(&this->input);
    g_clear_object(&this->message);
    g_clear_object(&this->session);
    g_clear_object(&this->cancel);
  }

  // A reference for a callback of the library to give back.
  gpointer Hold() { return new std::shared_ptr<State>(shared_from_this()); }
  static std::shared_ptr<State> Release(gpointer data) {
    const std::unique_ptr<std::shared_ptr<State>> holder(
        static_cast<std::shared_ptr<State>*>(data));
    return *holder;
  }

  void End(const std::string& why) {
    if (!this->open) {
      return;
    }
    this->open = false;
    const auto call = std::move(this->on_end);  // may destroy the stream
    call({ErrorKind::kPlatformDown, why, {}});
  }

  void Read() {
    g_input_stream_read_bytes_async(this->input, kReadSize, G_PRIORITY_DEFAULT,
                                    this->cancel, &OnRead, this->Hold());
  }

  void Take(std::string_view bytes) {
    this->partial += bytes;
    size_t start = 0;
    size_t end = this->partial.find('\n');
    while (this->open && end != std::string::npos) {
      const std::string line = this->partial.substr(start, end - start);
      start = end + 1;
      end = this->partial.find('\n', start);
      if (!line.empty()) {
        this->on_line(line);
      }
    }
    this->partial.erase(0, start);
    if (this->partial.size() > kMaxStreamLine) {
      this->End("a line of the stream is too long");
    }
  }

  static void OnOpened(GObject* session, GAsyncResult* result, gpointer data);
  static void OnRead(GObject* input, GAsyncResult* result, gpointer data);
};

HttpStream::HttpStream(const HttpCall& call,
                       std::function<void(const std::string&)> on_line,
                       std::function<void(Error)> on_end)
    : state(std::make_shared<State>()) {
  assert(on_line && on_end && "a stream needs somebody to read it");
  this->state->on_line = std::move(on_line);
  this->state->on_end = std::move(on_end);
  this->state->session = soup_session_new();
  soup_session_set_proxy_resolver(this->state->session, nullptr);
  this->state->message = soup_message_new(
      call.method.c_str(), HttpUrl(call.address, call.path).c_str());
  assert(this->state->message != nullptr && "the path makes no valid address");
  g_autoptr(GBytes) body = g_bytes_new(call.body.data(), call.body.size());
  soup_message_set_request_body_from_bytes(this->state->message,
                                           "application/json", body);
  soup_session_send_async(this->state->session, this->state->message,
                          G_PRIORITY_DEFAULT, this->state->cancel,
                          &State::OnOpened, this->state->Hold());
}

HttpStream::~HttpStream() {
  this->state->open = false;
  g_cancellable_cancel(this->state->cancel);
}

void HttpStream::State::OnOpened(GObject* session,
                                 GAsyncResult* result,
                                 gpointer data) {
  const auto state = Release(data);
  g_autoptr(GError) error = nullptr;
  state->input =
      soup_session_send_finish(SOUP_SESSION(session), result, &error);
  if (!state->open) {
    return;
  }
  if (state->input == nullptr) {
    state->End(error->message);
  } else if (soup_message_get_status(state->message) != SOUP_STATUS_OK) {
    state->End("the stream was refused with status " +
               std::to_string(soup_message_get_status(state->message)));
  } else {
    state->Read();
  }
}

void HttpStream::State::OnRead(GObject* input,
                               GAsyncResult* result,
                               gpointer data) {
  const auto state = Release(data);
  g_autoptr(GError) error = nullptr;
  g_autoptr(GBytes) bytes =
      g_input_stream_read_bytes_finish(G_INPUT_STREAM(input), result, &error);
  if (!state->open) {
    return;
  }
  gsize length = 0;
  const void* start =
      bytes == nullptr ? nullptr : g_bytes_get_data(bytes, &length);
  if (length == 0) {
    state->End(error == nullptr ? "the stream ended" : error->message);
    return;
  }
  state->Take({static_cast<const char*>(start), length});
  if (state->open) {
    state->Read();
  }
}

}  // namespace hickorystand
