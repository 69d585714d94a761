#include "status_server.h"

namespace radishpulley::edge {
namespace {

// Those who ask are few: the platform's probes, a collector of metrics, an operator.
constexpr std::size_t max_connections = 32;
constexpr std::size_t max_header_bytes = 4'096;
constexpr std::size_t max_body_bytes = 1'024;

}  // namespace

status_server::status_server(boost::asio::io_context& loop, const clock& time,
                             std::function<status_answer()> answer)
    : loop_(loop), time_(time), answer_(std::move(answer)) {}

void status_server::accept(gateway::link::socket socket) {
    auto connection = std::make_shared<gateway::link>(std::move(socket), gateway::link_options{});
    auto link = std::make_shared<gateway::caller_link>(std::move(connection), loop_, time_, *this);
    open_.push_back(link);
    link->start();
    if (open_.size() > max_connections) {
        const auto oldest = open_.front();
        oldest->close(gateway::close_reason::turned_away);
    }
}

gateway::caller_service::limits status_server::caller_limits() const {
    limits out;
    out.max_header_bytes = max_header_bytes;
    out.max_body_bytes = max_body_bytes;
    return out;
}

std::shared_ptr<gateway::request_work> status_server::start(gateway::caller_request,
                                                            gateway::response_writer& out) {
    const status_answer answer = answer_();
    gateway::caller_response head;
    head.status = answer.status;
    head.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    head.length = answer.body.size();
    out.send_head(head);
    out.send_body(answer.body);
    out.send_end();
    return nullptr;
}

void status_server::on_closed(const std::shared_ptr<gateway::caller_link>& it,
                              const gateway::caller_closure& /*how*/) {
    open_.remove(it);
}

}  // namespace radishpulley::edge
