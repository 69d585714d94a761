/// An application endpoint whose calls must not be repeated, behind HTTP.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace radishpulley::standins {

/// Counts the runs of each body it gets and answers {"runs": N} with status 201.
/// Listens from construction to destruction.
class application_engine {
public:
    explicit application_engine(std::string address);
    ~application_engine();

    const std::string& address() const;
    /// Returns how often a POST with this body ran.
    std::uint64_t runs_of(const std::string& body) const;
    /// Runs the next call, and cuts its connection instead of answering.
    void lose_next_answer();

private:
    struct details;
    std::unique_ptr<details> details_;
};

}  // namespace radishpulley::standins
