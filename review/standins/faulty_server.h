// Stand-in of an application server that gives every request the same bytes as its answer.
#pragma once

#include <memory>
#include <string>

#include <boost/asio.hpp>

namespace review {

/// Listens on a free port of 127.0.0.1. Runs on the loop's thread.
class faulty_server {
public:
    using tcp = boost::asio::ip::tcp;

    /// `answer` may hold %ID%, which stands for the request's id.
    faulty_server(boost::asio::io_context& loop, std::string answer)
        : answer_(std::move(answer)),
          acceptor_(loop, {boost::asio::ip::address_v4::loopback(), 0}) {
        accept();
    }

    std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    struct connection {
        explicit connection(tcp::socket from) : socket(std::move(from)) {}
        tcp::socket socket;
        std::string input;
        std::string output;
    };

    void accept() {
        acceptor_.async_accept([this](auto ec, tcp::socket socket) {
            if (!ec) {
                read(std::make_shared<connection>(std::move(socket)));
                accept();
            }
        });
    }

    void read(const std::shared_ptr<connection>& it) {
        boost::asio::async_read_until(it->socket, boost::asio::dynamic_buffer(it->input),
                                      "\r\n\r\n", [this, it](auto ec, std::size_t n) {
                                          if (!ec) {
                                              reply(it, it->input.substr(0, n));
                                              it->input.erase(0, n);
                                          }
                                      });
    }

    void reply(const std::shared_ptr<connection>& it, const std::string& head) {
        const std::string name = "Radishpulley-Attempt-Id: ";
        const std::size_t at = head.find(name) + name.size();
        const std::string id = head.substr(at, head.find("\r\n", at) - at);
        it->output = answer_;
        it->output.replace(it->output.find("%ID%"), 4, id);
        boost::asio::async_write(it->socket, boost::asio::buffer(it->output),
                                 [this, it](auto ec, std::size_t) {
                                     if (!ec) {
                                         read(it);
                                     }
                                 });
    }

    std::string answer_;
    tcp::acceptor acceptor_;
};

}  // namespace review
