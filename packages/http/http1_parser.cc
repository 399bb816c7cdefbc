#include "http/http1_parser.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace hickorystand {
namespace {

namespace http = boost::beast::http;
using boost::beast::string_view;
using boost::system::error_code;

std::string_view View(string_view text) {
  return {text.data(), text.size()};
}

// Status codes of three digits that an answer may have. No request of this
// project asks for another protocol, so none may be switched to.
bool IsStatus(int status) {
  constexpr int kLowest = 100;
  constexpr int kHighest = 599;
  constexpr int kSwitchingProtocols = 101;
  return status >= kLowest && status <= kHighest &&
         status != kSwitchingProtocols;
}

// HTTP/1.1, the first version with transfer codings, as Beast numbers them.
constexpr int kHttp11 = 11;

// Whether the body is sent without a transfer coding or in chunks. Beast takes
// any other coding for none, or drops it from a list that ends with chunks.
bool HasReadableCoding(const HttpHeaders& headers, int version) {
  return std::ranges::all_of(headers, [version](const HttpHeader& header) {
    return !HeaderNamesEqual(header.name, "Transfer-Encoding") ||
           (version >= kHttp11 &&
            boost::beast::iequals(header.value, "chunked"));
  });
}

// Which failure an error of Beast is.
struct FailureRow {
  http::error error;
  Http1Failure failure;
};

constexpr std::array kFailures = {
    FailureRow{http::error::bad_method, Http1Failure::kStartLine},
    FailureRow{http::error::bad_target, Http1Failure::kStartLine},
    FailureRow{http::error::bad_version, Http1Failure::kStartLine},
    FailureRow{http::error::bad_reason, Http1Failure::kStartLine},
    FailureRow{http::error::bad_status, Http1Failure::kStatus},
    FailureRow{http::error::bad_field, Http1Failure::kHeader},
    FailureRow{http::error::bad_value, Http1Failure::kHeader},
    FailureRow{http::error::bad_obs_fold, Http1Failure::kHeader},
    FailureRow{http::error::bad_content_length, Http1Failure::kLength},
    FailureRow{http::error::bad_transfer_encoding,
               Http1Failure::kTransferCoding},
    FailureRow{http::error::bad_chunk, Http1Failure::kChunk},
    FailureRow{http::error::bad_chunk_extension, Http1Failure::kChunk},
    FailureRow{http::error::header_limit, Http1Failure::kHeadTooLarge},
    FailureRow{http::error::body_limit, Http1Failure::kBodyTooLarge},
};

Http1Failure FailureOf(const error_code& error) {
  const auto* row = std::ranges::find_if(
      kFailures, [&](const FailureRow& each) { return error == each.error; });
  return row == kFailures.end() ? Http1Failure::kMalformed : row->failure;
}

}  // namespace

std::string_view NameOf(Http1Failure failure) {
  switch (failure) {
    case Http1Failure::kNone:
      return "none";
    case Http1Failure::kStartLine:
      return "start_line";
    case Http1Failure::kStatus:
      return "status";
    case Http1Failure::kHeader:
      return "header";
    case Http1Failure::kLength:
      return "length";
    case Http1Failure::kTransferCoding:
      return "transfer_coding";
    case Http1Failure::kChunk:
      return "chunk";
    case Http1Failure::kHeadTooLarge:
      return "head_too_large";
    case Http1Failure::kBodyTooLarge:
      return "body_too_large";
    case Http1Failure::kMalformed:
      break;
  }
  return "malformed";
}

std::string_view FramingOf(const Http1Head& head) {
  if (head.until_close) {
    return "close";
  }
  return head.body_length ? "length" : "chunks";
}

// Parser of a single message.
class Http1Parser::MessageParser {
 public:
  virtual ~MessageParser() = default;
  virtual size_t Put(std::string_view bytes, error_code& error) = 0;
  virtual void PutEof(error_code& error) = 0;
  virtual bool IsDone() const = 0;
};

template <bool kRequest>
class Http1Parser::BeastMessageParser final
    : public Http1Parser::MessageParser,
      private http::basic_parser<kRequest> {
 public:
  BeastMessageParser(Http1Parser* owner,
                     const Http1Limits& limits,
                     bool no_body)
      : owner(owner) {
    this->eager(true);
    this->header_limit(limits.head);
    this->body_limit(limits.body);
    this->skip(no_body);
  }

  size_t Put(std::string_view bytes, error_code& error) override {
    return this->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
  }
  void PutEof(error_code& error) override { this->put_eof(error); }
  bool IsDone() const override { return this->is_done(); }

 private:
  void on_request_impl(http::verb /*verb*/,
                       string_view method,
                       string_view target,
                       int version,
                       error_code& error) override {
    error = {};
    this->version = version;
    this->head.method = View(method);
    this->head.target = View(target);
  }
  void on_response_impl(int status,
                        string_view /*reason*/,
                        int /*version*/,
                        error_code& error) override {
    error = IsStatus(status) ? error_code() : http::error::bad_status;
    this->head.status = status;
  }
  void on_field_impl(http::field /*field*/,
                     string_view name,
                     string_view value,
                     error_code& error) override {
    error = {};
    if (!this->head_complete) {  // trailers after the body are ignored
      this->head.headers.push_back(
          {.name = std::string(View(name)), .value = std::string(View(value))});
    }
  }
  void on_header_impl(error_code& error) override {
    error = {};
    if (!HasReadableCoding(this->head.headers, this->version)) {
      error = http::error::bad_transfer_encoding;
      return;
    }
    this->head_complete = true;
    this->head.keep_alive = this->keep_alive();
    this->head.until_close = this->need_eof();
    if (const auto length = this->content_length()) {
      this->head.body_length = *length;
    }
    this->owner->head_read = true;
    this->owner->events.on_head(std::move(this->head));
  }
  void on_body_init_impl(const boost::optional<uint64_t>& /*length*/,
                         error_code& error) override {
    error = {};
  }
  size_t on_body_impl(string_view body, error_code& error) override {
    error = {};
    this->owner->events.on_body(View(body));
    return body.size();
  }
  void on_chunk_header_impl(uint64_t /*size*/,
                            string_view /*extensions*/,
                            error_code& error) override {
    error = {};
  }
  size_t on_chunk_body_impl(uint64_t /*remain*/,
                            string_view body,
                            error_code& error) override {
    return this->on_body_impl(body, error);
  }
  void on_finish_impl(error_code& error) override { error = {}; }

  Http1Parser* owner;
  Http1Head head;
  int version = kHttp11;  // of a request
  bool head_complete = false;
};

Http1Parser::Http1Parser(Http1Side side, Http1Events events)
    : side(side), events(std::move(events)) {}

Http1Parser::~Http1Parser() = default;

void Http1Parser::Begin(const Http1Limits& limits, bool no_body) {
  this->started = false;
  this->head_read = false;
  this->done = false;
  this->failure = Http1Failure::kNone;
  this->parsed = 0;
  this->max_unread = limits.head;
  if (this->side == Http1Side::kRequests) {
    this->engine =
        std::make_unique<BeastMessageParser<true>>(this, limits, no_body);
  } else {
    this->engine =
        std::make_unique<BeastMessageParser<false>>(this, limits, no_body);
  }
}

void Http1Parser::Read() {
  this->Parse();
  if (this->unread.empty()) {
    this->unread.shrink_to_fit();  // an idle connection keeps no buffer
  }
}

void Http1Parser::Parse() {
  while (!this->done && this->failure == Http1Failure::kNone &&
         !this->unread.empty()) {
    this->started = true;
    error_code error;
    const size_t used = this->engine->Put(this->unread, error);
    this->unread.erase(0, used);
    this->parsed += used;
    if (error == http::error::need_more) {
      if (this->unread.size() > this->max_unread) {
        this->failure = Http1Failure::kHeadTooLarge;
      }
      return;
    }
    if (error) {
      this->failure = FailureOf(error);
      return;
    }
    if (this->engine->IsDone()) {
      this->done = true;
      this->events.on_end();
      return;
    }
    if (used == 0) {
      return;
    }
  }
}

bool Http1Parser::Finish() {
  if (this->done || !this->head_read || this->failure != Http1Failure::kNone) {
    return this->done;
  }
  error_code error;
  this->engine->PutEof(error);
  if (error || !this->engine->IsDone()) {
    return false;
  }
  this->done = true;
  this->events.on_end();
  return true;
}

}  // namespace hickorystand
