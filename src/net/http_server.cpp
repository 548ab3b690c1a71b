#include "net/http_server.h"

#include <utility>

#include "net/server_connection.h"

namespace dandelionridge::net {

void send_response(http_exchange& exchange, http_response response, std::string_view body) {
    response.length_ = body.size();
    exchange.send_head(response);
    exchange.send_body(body);
    exchange.finish();
}

http_server::http_server(event_loop& loop, http_server_options options,
                         http_handler_factory factory)
    : loop_(loop), options_(std::move(options)), factory_(std::move(factory)) {}

base::result<std::unique_ptr<http_server>> http_server::create(event_loop& loop,
                                                               http_server_options options,
                                                               http_handler_factory factory) {
    std::unique_ptr<http_server> server(
        new http_server(loop, std::move(options), std::move(factory)));
    http_server* self = server.get();
    auto listener = byte_server::create(
        loop, server->options_.address_,
        [self](std::unique_ptr<byte_socket> socket) { return self->accept(std::move(socket)); });
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    server->listener_ = std::move(*listener);
    return server;
}

// Runs the tasks that connections have deferred, since these refer to this server and to objects
// that its handlers use.
http_server::~http_server() {
    connections_.clear();
    loop_.run_deferred();
}

byte_socket_events* http_server::accept(std::unique_ptr<byte_socket> socket) {
    auto connection = std::make_unique<server_connection>(*this, std::move(socket));
    server_connection* opened = connection.get();
    connections_.emplace(opened, std::move(connection));
    return opened;
}

// Destroys the connection later, since its callbacks may be on the stack.
void http_server::remove_connection(server_connection& connection) {
    const auto found = connections_.find(&connection);
    if (found == connections_.end()) {
        return;
    }
    loop_.defer([ended = std::shared_ptr<server_connection>(std::move(found->second))] {});
    connections_.erase(found);
}

void http_server::close_after_responses() {
    closing_ = true;
    for (const auto& [key, connection] : connections_) {
        connection->on_server_closing();
    }
}

void http_server::close_idle() {
    std::vector<server_connection*> idle;
    for (const auto& [key, connection] : connections_) {
        if (connection->idle()) {
            idle.push_back(key);
        }
    }
    for (server_connection* connection : idle) {
        connection->drop();
    }
}

}  // namespace dandelionridge::net
