/// HTTP server of the readiness and metrics addresses.
#pragma once

#include <functional>
#include <list>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "gateway/caller_link.h"

namespace radishpulley::edge {

/// Response of a status address.
struct status_answer {
    unsigned status = 200;
    std::string body;
};

/// A small HTTP server that answers every request synchronously, whatever its path. It takes small
/// requests on a few connections; a new one beyond that takes the place of the oldest.
class status_server final : public gateway::caller_service {
public:
    status_server(boost::asio::io_context& loop, const clock& time,
                  std::function<status_answer()> answer);

    void accept(gateway::link::socket socket);

    limits caller_limits() const override;
    std::shared_ptr<gateway::request_work> start(gateway::caller_request request,
                                                 gateway::response_writer& out) override;
    bool is_stopping() const override { return false; }
    std::size_t connection_count() const { return open_.size(); }
    void on_closed(const std::shared_ptr<gateway::caller_link>& it,
                   const gateway::caller_closure& how) override;

private:
    boost::asio::io_context& loop_;
    const clock& time_;
    std::function<status_answer()> answer_;
    /// The oldest first.
    std::list<std::shared_ptr<gateway::caller_link>> open_;
};

}  // namespace radishpulley::edge
