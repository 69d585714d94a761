/// Requests of other VMs' callers, which arrive on connections of those VMs.
#pragma once

#include "gateway/gateway.h"

namespace radishpulley::gateway {

/// Accepts the requests that carry a peer's token and refuses all others.
class relay_service final : public caller_service {
public:
    explicit relay_service(gateway& owner) : owner_(owner) {}

    limits caller_limits() const override;
    std::shared_ptr<request_work> start(caller_request request, response_writer& out) override;
    bool refuse_early(caller_request head, response_writer& out) override;
    void refuse(caller_request head, std::string_view reason, response_writer& out) override;
    std::shared_ptr<memory_budget> budget() override { return owner_.budget(); }
    void relieve_memory() override { owner_.relieve_memory(); }
    void schedule_relief() override { owner_.schedule_relief(); }
    bool is_stopping() const override { return owner_.is_stopping(); }
    duration max_unread() const override { return owner_.max_unread(); }
    void on_closed(const std::shared_ptr<caller_link>& it, const caller_closure& how) override {
        owner_.on_closed(it, how);
    }
    void on_finished(close_reason why, const finish_outcome& it) override {
        owner_.on_finished(why, it);
    }

private:
    gateway& owner_;
};

}  // namespace radishpulley::gateway
