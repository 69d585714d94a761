// Stand-in of an application server, sound but for one of its answers.
#pragma once

#include <memory>
#include <string>

#include <boost/asio.hpp>

namespace review {

/// Listens on a free port of 127.0.0.1. All members run on the loop's thread.
class stock_server {
public:
    using tcp = boost::asio::ip::tcp;

    /// `spoilt` is the answer number `spoilt_at`, from 1; it holds %ID% for the request's id.
    stock_server(boost::asio::io_context& loop, std::string id, std::string spoilt, int spoilt_at)
        : id_(std::move(id)),
          spoilt_(std::move(spoilt)),
          spoilt_at_(spoilt_at),
          acceptor_(loop, {boost::asio::ip::address_v4::loopback(), 0}) {
        accept();
    }

    const std::string& id() const { return id_; }
    /// Number of requests that it ran and answered.
    int answers() const { return answers_; }
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

    // The requests have no body.
    void read(const std::shared_ptr<connection>& it) {
        boost::asio::async_read_until(it->socket, boost::asio::dynamic_buffer(it->input),
                                      "\r\n\r\n", [this, it](auto ec, std::size_t n) {
                                          if (!ec) {
                                              it->output = answer_to(it->input.substr(0, n));
                                              it->input.erase(0, n);
                                              write(it);
                                          }
                                      });
    }

    void write(const std::shared_ptr<connection>& it) {
        boost::asio::async_write(it->socket, boost::asio::buffer(it->output),
                                 [this, it](auto ec, std::size_t) {
                                     if (!ec) {
                                         read(it);
                                     }
                                 });
    }

    static std::string header(const std::string& head, const std::string& name) {
        const std::size_t at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
            return {};
        }
        const std::size_t begin = at + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    std::string answer_to(const std::string& head) {
        std::string out =
            "HTTP/1.1 200 OK\r\nRadishpulley-Attempt-Id: %ID%\r\n"
            "Radishpulley-Response-Signature: stand-in\r\nContent-Length: 3\r\n\r\nabc";
        if (header(head, "Radishpulley-Expected-Instance") != id_) {
            out =
                "HTTP/1.1 421 Misdirected Request\r\nRadishpulley-Attempt-Id: %ID%\r\n"
                "Radishpulley-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        } else if (++answers_ == spoilt_at_) {
            out = spoilt_;
        }
        return out.replace(out.find("%ID%"), 4, header(head, "Radishpulley-Attempt-Id"));
    }

    std::string id_;
    std::string spoilt_;
    int spoilt_at_;
    tcp::acceptor acceptor_;
    int answers_ = 0;
};

}  // namespace review
