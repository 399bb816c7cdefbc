#include "daemon/admin_server.h"

#include <string_view>
#include <utility>

#include "gateway/caller_error.h"

namespace hickorystand {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kRequestParameter = "request=";

// Compares in constant time, so that timing does not reveal a matching prefix.
bool EqualInConstantTime(std::string_view given, std::string_view wanted) {
  unsigned difference = given.size() == wanted.size() ? 0 : 1;
  for (size_t i = 0; i < given.size(); ++i) {
    const auto given_byte = static_cast<unsigned char>(given[i]);
    const auto wanted_byte =
        static_cast<unsigned char>(wanted[i % wanted.size()]);
    difference |= static_cast<unsigned>(given_byte ^ wanted_byte);
  }
  return difference == 0;
}

void AnswerJson(const HttpCallPtr& call, int status, const std::string& json) {
  call->Answer(status, {{"Content-Type", "application/json"}}, json);
}

HttpServerOptions ServerOptions(const AdminSettings& settings) {
  HttpServerOptions options;
  options.listen = settings.listen;
  options.max_body_bytes = 4096;
  return options;
}

}  // namespace

AdminServer::AdminServer(const AdminSettings& settings,
                         AdminHandlers handlers,
                         ResourceBudget* budget)
    : token(settings.token),
      handlers(std::move(handlers)),
      server(
          ServerOptions(settings),
          [this](const HttpCallPtr& call) { this->Handle(call); },
          {},
          budget) {}

bool AdminServer::Authorised(const HttpRequest& request) const {
  const auto header = FindHeader(request.headers, "Authorization");
  const std::string_view value = header ? std::string_view(*header) : "";
  return value.starts_with(kBearer) &&
         EqualInConstantTime(value.substr(kBearer.size()), this->token);
}

void AdminServer::Handle(const HttpCallPtr& call) {
  const HttpRequest& request = call->Request();
  const auto answer = [call](const std::string& json) {
    AnswerJson(call, 200, json);
  };
  const std::string_view query = request.query;
  if (!this->Authorised(request)) {
    AnswerError(call, RequestId(),
                {ErrorKind::kBadKey, "The operators' token is wrong.", {}});
  } else if (request.method == "GET" && request.path == "/admin/status") {
    this->handlers.status(answer);
  } else if (request.method == "GET" && request.path == "/admin/why" &&
             query.starts_with(kRequestParameter)) {
    this->handlers.why(
        RequestId(std::string(query.substr(kRequestParameter.size()))), answer);
  } else if (request.method == "POST" && request.path == "/admin/drain") {
    AnswerJson(call, 202, "{\"draining\":true}");
    this->handlers.drain();
  } else {
    AnswerError(call, RequestId(),
                {ErrorKind::kNotFound,
                 "There is no " + request.method + " " + request.path + ".",
                 {}});
  }
}

}  // namespace hickorystand
