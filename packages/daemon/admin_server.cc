#include "daemon/admin_server.h"

#include <gio/gio.h>
#include <json-glib/json-glib.h>

#include <array>
#include <string_view>
#include <utility>

namespace hickorystand {
namespace {

constexpr std::string_view kBearer = "Bearer ";

// Compares in a time that doesn't tell how much of the token was right.
bool EqualInConstantTime(std::string_view given, std::string_view wanted) {
  unsigned difference = given.size() == wanted.size() ? 0 : 1;
  for (size_t i = 0; i < given.size(); ++i) {
    const char other = wanted[i % wanted.size()];
    difference |= static_cast<unsigned char>(given[i] ^ other);
  }
  return difference == 0;
}

void Respond(SoupServerMessage* message, int status, const std::string& json) {
  soup_server_message_set_status(message, status, nullptr);
  soup_server_message_set_response(message, "application/json",
                                   SOUP_MEMORY_COPY, json.data(), json.size());
}

void RespondError(SoupServerMessage* message, const Error& error) {
  const ErrorAnswer& answer = AnswerFor(error.kind);
  g_autoptr(JsonBuilder) builder = json_builder_new();
  json_builder_begin_object(builder);
  json_builder_set_member_name(builder, "error");
  json_builder_begin_object(builder);
  json_builder_set_member_name(builder, "message");
  json_builder_add_string_value(builder, error.message.c_str());
  json_builder_set_member_name(builder, "type");
  json_builder_add_string_value(builder, answer.type.data());
  json_builder_set_member_name(builder, "code");
  json_builder_add_string_value(builder, answer.code.data());
  json_builder_end_object(builder);
  json_builder_end_object(builder);
  g_autoptr(JsonNode) root = json_builder_get_root(builder);
  g_autofree char* text = json_to_string(root, FALSE);
  Respond(message, answer.status, text);
}

// Holds a message until its answer is known.
AdminHandlers::Answer AnswerLater(SoupServerMessage* message) {
  soup_server_message_pause(message);
  const std::shared_ptr<SoupServerMessage> held(
      static_cast<SoupServerMessage*>(g_object_ref(message)), &g_object_unref);
  return [held](const std::string& json) {
    Respond(held.get(), SOUP_STATUS_OK, json);
    soup_server_message_unpause(held.get());
  };
}

}  // namespace

Result<std::unique_ptr<AdminServer>> AdminServer::Start(
    const AdminSettings& settings,
    AdminHandlers handlers) {
  std::unique_ptr<AdminServer> admin(
      new AdminServer(settings.token, std::move(handlers)));
  g_autoptr(GSocketAddress) address = g_inet_socket_address_new_from_string(
      settings.listen.host.c_str(), settings.listen.port);
  g_autoptr(GError) error = nullptr;
  if (!soup_server_listen(admin->server, address,
                          static_cast<SoupServerListenOptions>(0), &error)) {
    return Fail(ErrorKind::kBadSetting,
                std::string("[admin] listen: ") + error->message);
  }
  return admin;
}

AdminServer::AdminServer(std::string token, AdminHandlers handlers)
    : token(std::move(token)),
      handlers(std::move(handlers)),
      server(soup_server_new("server-header", "hickorystand", nullptr)) {
  soup_server_add_handler(this->server, "/admin", &AdminServer::OnRequest, this,
                          nullptr);
}

AdminServer::~AdminServer() {
  soup_server_disconnect(this->server);
  g_object_unref(this->server);
}

bool AdminServer::Authorised(SoupServerMessage* message) const {
  const char* header = soup_message_headers_get_one(
      soup_server_message_get_request_headers(message), "Authorization");
  const std::string_view value = header == nullptr ? "" : header;
  return value.starts_with(kBearer) &&
         EqualInConstantTime(value.substr(kBearer.size()), this->token);
}

void AdminServer::OnRequest(SoupServer* /*server*/,
                            SoupServerMessage* message,
                            const char* path,
                            GHashTable* query,
                            gpointer self) {
  auto* admin = static_cast<AdminServer*>(self);
  if (!admin->Authorised(message)) {
    RespondError(message,
                 {ErrorKind::kBadKey, "The admin token is wrong.", {}});
    return;
  }
  const auto* request = static_cast<const char*>(
      query == nullptr ? nullptr : g_hash_table_lookup(query, "request"));
  admin->Route(message, path, request == nullptr ? "" : request);
}

void AdminServer::Route(SoupServerMessage* message,
                        const std::string& path,
                        const std::string& request) {
  const std::string method = soup_server_message_get_method(message);
  if (method == "GET" && path == "/admin/status") {
    this->handlers.status(AnswerLater(message));
  } else if (method == "GET" && path == "/admin/why" && !request.empty()) {
    this->handlers.why(request, AnswerLater(message));
  } else if (method == "POST" && path == "/admin/drain") {
    Respond(message, SOUP_STATUS_ACCEPTED, "{\"draining\":true}");
    this->handlers.drain();
  } else {
    RespondError(
        message,
        {ErrorKind::kNotFound, "There is no " + method + " " + path + ".", {}});
  }
}

}  // namespace hickorystand
