/// A model engine with adapter slots, behind HTTP, that speaks the usual completion calls.
///
/// POST /v1/completions and /v1/chat/completions; POST /v1/load_lora_adapter and
/// /v1/unload_lora_adapter with {lora_name, lora_path, fencing_number}; GET /v1/load.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace radishpulley::standins {

/// How an engine behaves.
struct model_engine_settings {
    std::string id;
    std::string address;
    std::uint32_t slots = 4;
    bool checks_fencing = false;
    std::chrono::milliseconds load_time{250};
    std::chrono::milliseconds token_time{2};
};

/// What an engine has seen, for checks.
struct model_engine_record {
    std::uint64_t requests = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t loads = 0;
    std::uint64_t evictions = 0;
    /// Evictions of an adapter with requests under way: must stay 0.
    std::uint64_t evictions_in_use = 0;
    /// Requests that carried an Authorization header: must stay 0.
    std::uint64_t keys_seen = 0;
    /// Adapter of each request, in order.
    std::vector<std::string> adapters;
};

/// Listens from construction to destruction.
class model_engine {
public:
    explicit model_engine(model_engine_settings settings);
    ~model_engine();

    const std::string& address() const;
    model_engine_record record() const;
    /// Forgets every adapter, as a restarted engine does.
    void restart();
    /// Cuts the next stream after this many tokens; 0 for none.
    void cut_next_stream_after(std::uint64_t tokens);
    /// Lets the next stream go silent after this many tokens, its connection open; 0 for none.
    void silence_next_stream_after(std::uint64_t tokens);

private:
    struct details;
    std::unique_ptr<details> details_;
};

}  // namespace radishpulley::standins
