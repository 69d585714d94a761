#include "standins/model_engine.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "http/server.h"

namespace radishpulley::standins {
namespace {

using http::request;
using http::response;
using nlohmann::json;

constexpr std::uint64_t default_max_tokens = 16;

response error_response(int status, std::string_view code) {
    return http::json_response(status, json{{"error", {{"code", code}}}}.dump());
}

enum class adapter_state { loading, loaded };

struct loaded_adapter {
    adapter_state state = adapter_state::loading;
    std::uint32_t active = 0;
};

}  // namespace

struct model_engine::details {
    model_engine_settings settings;
    mutable std::mutex mutex;
    std::condition_variable idle;
    std::map<std::string, loaded_adapter> adapters;
    model_engine_record record;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    std::uint64_t highest_fence = 0;
    std::uint64_t cut_after = 0;
    std::uint64_t silent_after = 0;
    std::size_t threads = 0;
    bool stopping = false;
    std::unique_ptr<http::server> listener;

    // Runs `work` on a thread that the destructor waits for.
    template <typename Work>
    void run(Work work) {
        {
            const std::lock_guard<std::mutex> lock(mutex);
            ++threads;
        }
        std::thread([this, work] {
            work();
            const std::lock_guard<std::mutex> lock(mutex);
            --threads;
            idle.notify_all();
        }).detach();
    }

    void wait_for_stop() {
        std::unique_lock<std::mutex> lock(mutex);
        idle.wait(lock, [this] { return stopping; });
    }

    void wait_until_idle() {
        std::unique_lock<std::mutex> lock(mutex);
        stopping = true;
        idle.notify_all();
        idle.wait(lock, [this] { return threads == 0; });
    }

    bool is_fenced(const json& order) {
        const std::uint64_t fence = order.value("fencing_number", std::uint64_t{0});
        if (settings.checks_fencing && fence < highest_fence) {
            return true;
        }
        highest_fence = std::max(highest_fence, fence);
        return false;
    }

    void load(const json& order, const std::shared_ptr<http::responder>& answer) {
        const std::string name = order.at("lora_name").get<std::string>();
        std::unique_lock<std::mutex> lock(mutex);
        if (is_fenced(order)) {
            lock.unlock();
            answer->send(error_response(409, "fenced"));
            return;
        }
        if (adapters.count(name) == 0 && adapters.size() >= settings.slots) {
            lock.unlock();
            answer->send(error_response(507, "no_slot"));
            return;
        }
        if (adapters.count(name) != 0 && adapters[name].state == adapter_state::loaded) {
            const response done = order_done();
            lock.unlock();
            answer->send(done);
            return;
        }
        adapters[name].state = adapter_state::loading;
        ++record.loads;
        lock.unlock();
        run([this, name, answer] {
            std::this_thread::sleep_for(settings.load_time);
            std::unique_lock<std::mutex> again(mutex);
            const auto it = adapters.find(name);
            if (it == adapters.end()) {
                again.unlock();
                answer->send(error_response(500, "load_failed"));
                return;
            }
            it->second.state = adapter_state::loaded;
            const response done = order_done();
            again.unlock();
            answer->send(done);
        });
    }

    response order_done() const {
        response it = http::json_response(200, "{}");
        it.headers["X-Engine-Incarnation"] = std::to_string(incarnation);
        return it;
    }

    response unload(const json& order) {
        const std::string name = order.at("lora_name").get<std::string>();
        const std::lock_guard<std::mutex> lock(mutex);
        if (is_fenced(order)) {
            return error_response(409, "fenced");
        }
        const auto it = adapters.find(name);
        if (it != adapters.end()) {
            ++record.evictions;
            record.evictions_in_use += it->second.active > 0 ? 1 : 0;
            adapters.erase(it);
        }
        return order_done();
    }

    response report() {
        const std::lock_guard<std::mutex> lock(mutex);
        json list = json::array();
        std::uint32_t running = 0;
        for (const auto& [name, it] : adapters) {
            list.push_back({{"lora_name", name},
                            {"state", it.state == adapter_state::loaded ? "loaded" : "loading"},
                            {"active", it.active}});
            running += it.active;
        }
        const json value = {{"engine_incarnation", std::to_string(incarnation)},
                            {"sequence", ++sequence},
                            {"running", running},
                            {"queued", 0},
                            {"adapters", list}};
        return http::json_response(200, value.dump());
    }

    // Returns false when the adapter is not loaded.
    bool begin(const request& it, const std::string& name) {
        const std::lock_guard<std::mutex> lock(mutex);
        record.keys_seen += it.header("Authorization").empty() ? 0 : 1;
        const auto found = adapters.find(name);
        if (found == adapters.end() || found->second.state != adapter_state::loaded) {
            return false;
        }
        ++found->second.active;
        ++record.requests;
        record.adapters.push_back(name);
        return true;
    }

    void end(const std::string& name, bool left) {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto it = adapters.find(name);
        if (it != adapters.end() && it->second.active > 0) {
            --it->second.active;
        }
        record.cancelled += left ? 1 : 0;
    }

    static std::string token_text(std::uint64_t n) { return "t" + std::to_string(n) + " "; }

    void complete(const request& it, const std::shared_ptr<http::responder>& answer) {
        const json body = json::parse(it.body, nullptr, false);
        if (!body.is_object() || !body.contains("model")) {
            answer->send(error_response(400, "bad_request"));
            return;
        }
        const std::string name = body["model"].get<std::string>();
        if (!begin(it, name)) {
            answer->send(error_response(404, "model_not_found"));
            return;
        }
        const std::uint64_t tokens = body.value("max_tokens", default_max_tokens);
        const std::string id(it.header("X-Request-Id"));
        if (!body.value("stream", false)) {
            run([this, name, tokens, id, answer] { answer_whole(name, tokens, id, answer); });
            return;
        }
        std::uint64_t cut = 0;
        std::uint64_t silent = 0;
        {
            const std::lock_guard<std::mutex> lock(mutex);
            cut = std::exchange(cut_after, 0);
            silent = std::exchange(silent_after, 0);
        }
        const std::string resume(it.header("X-Resume-From-Event"));
        const std::uint64_t first = resume.empty() ? 0 : std::stoull(resume);
        run([=] { answer_stream(name, first, tokens, cut, silent, id, answer); });
    }

    void answer_whole(const std::string& name, std::uint64_t tokens, const std::string& id,
                      const std::shared_ptr<http::responder>& answer) {
        std::string text;
        for (std::uint64_t n = 0; n < tokens; ++n) {
            std::this_thread::sleep_for(settings.token_time);
            text += token_text(n);
        }
        response out = http::json_response(
            200, json{{"model", name},
                      {"choices", {{{"index", 0}, {"text", text}, {"finish_reason", "stop"}}}},
                      {"usage", {{"completion_tokens", tokens}}}}
                     .dump());
        out.headers["X-Request-Id"] = id;
        end(name, false);
        answer->send(out);
    }

    void answer_stream(const std::string& name, std::uint64_t first, std::uint64_t tokens,
                       std::uint64_t cut, std::uint64_t silent, const std::string& id,
                       const std::shared_ptr<http::responder>& answer) {
        const auto left = std::make_shared<std::atomic<bool>>(false);
        answer->on_done([left](bool sent) { *left = !sent; });
        response head{200, {{"Content-Type", "text/event-stream"}, {"X-Request-Id", id}}, {}};
        head.headers["X-Served-Model"] = name;
        head.headers["X-Resumed-From-Event"] = std::to_string(first);
        answer->start(head);
        for (std::uint64_t n = first; n < tokens && !*left; ++n) {
            if (cut != 0 && n - first == cut) {
                end(name, false);
                answer->abort();
                return;
            }
            if (silent != 0 && n - first == silent) {
                wait_for_stop();
            }
            std::this_thread::sleep_for(settings.token_time);
            const json event = {{"model", name},
                                {"choices", {{{"index", 0}, {"text", token_text(n)}}}}};
            answer->write("data: " + event.dump() + "\n\n");
        }
        end(name, *left);
        answer->write("data: [DONE]\n\n");
        answer->finish();
    }

    void take(const request& it, const std::shared_ptr<http::responder>& answer) {
        const std::string_view path = it.path();
        if (path == "/v1/load") {
            answer->send(report());
        } else if (path == "/v1/load_lora_adapter") {
            load(json::parse(it.body), answer);
        } else if (path == "/v1/unload_lora_adapter") {
            answer->send(unload(json::parse(it.body)));
        } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
            complete(it, answer);
        } else {
            answer->send({404, {}, {}});
        }
    }
};

model_engine::model_engine(model_engine_settings settings) : details_(std::make_unique<details>()) {
    details_->settings = std::move(settings);
    details* state = details_.get();
    details_->listener = std::make_unique<http::server>(
        details_->settings.address,
        [state](const request& it, const auto& answer) { state->take(it, answer); });
}

model_engine::~model_engine() {
    details_->wait_until_idle();
    details_->listener.reset();
}

const std::string& model_engine::address() const {
    return details_->listener->address();
}

model_engine_record model_engine::record() const {
    const std::lock_guard<std::mutex> lock(details_->mutex);
    return details_->record;
}

void model_engine::restart() {
    const std::lock_guard<std::mutex> lock(details_->mutex);
    details_->adapters.clear();
    ++details_->incarnation;
    details_->sequence = 0;
}

void model_engine::cut_next_stream_after(std::uint64_t tokens) {
    const std::lock_guard<std::mutex> lock(details_->mutex);
    details_->cut_after = tokens;
}

void model_engine::silence_next_stream_after(std::uint64_t tokens) {
    const std::lock_guard<std::mutex> lock(details_->mutex);
    details_->silent_after = tokens;
}

}  // namespace radishpulley::standins
