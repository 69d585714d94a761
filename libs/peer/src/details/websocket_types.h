#pragma once

#include <boost/asio.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace radishpulley::peer::detail {

// One configuration for both roles, so that all connections have the same type. Types of our own
// keep the instantiations apart from those inside other libraries.
struct websocket_config : public websocketpp::config::asio_client {
    struct transport_config : public websocketpp::config::asio_client::transport_config {};
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

using websocket_client = websocketpp::client<websocket_config>;
using websocket_server = websocketpp::server<websocket_config>;
using websocket_connection = websocketpp::connection<websocket_config>;
using connection_handle = websocketpp::connection_hdl;

}  // namespace radishpulley::peer::detail
