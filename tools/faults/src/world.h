/// Two VMs, two endpoints, an object store and callers that repeat, under one virtual clock.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "entry_vm.h"
#include "fake_endpoint.h"
#include "fault_table.h"
#include "history.h"
#include "scheduler.h"
#include "standins/late_object_store.h"
#include "standins/memory_object_store.h"
#include "suite.h"

namespace radishpulley::faults {

/// Kinds of calls that the suites make, by variant name.
std::vector<std::string> call_variants();

/// One run of a cell.
class world {
public:
    explicit world(std::uint64_t seed);

    /// Brings the cell's faults about when their steps come.
    void expect(const cell& it);
    /// Sends a call of a variant to a VM.
    exchange& start(std::size_t vm, const std::string& variant, const std::string& call);
    void stop(std::size_t vm) { vms_.at(vm)->stop(); }
    /// Reports a step that no request and no daemon comes to by itself.
    void reach(std::string_view step) { on_step(step, nullptr); }
    /// Called at each step of a daemon or request.
    void also_at(std::string step, std::function<void()> action);
    void run_for(duration span) { events_.run_until(events_.now() + span); }

    const history& seen() const { return seen_; }
    const entry_vm& vm(std::size_t i) const { return *vms_.at(i); }
    /// Checks everything and returns the result.
    cell_result result();

private:
    void on_step(std::string_view step, exchange* of);
    void on_end(exchange& it);
    void repeat(const exchange& it);
    void publish(std::function<void()> change);
    void bring_about(fault kind, exchange* of);
    void bring_about_at_endpoint(fault kind, exchange* of);
    void bring_about_at_store(fault kind);
    void bring_about_at_vm(fault kind, exchange* of);
    void bring_about_at_caller(fault kind, exchange* of);
    std::size_t vm_of(const exchange* of) const;
    std::size_t vm_for_new() const;
    bool is_answering(const exchange* of) const;

    std::mt19937_64 random_;
    scheduler events_;
    history seen_;
    std::vector<std::string> trace_;
    standins::memory_object_store memory_;
    standins::late_object_store store_;
    fake_endpoints endpoints_;
    surroundings surroundings_;
    std::array<std::unique_ptr<entry_vm>, 2> vms_;
    std::vector<fault_point> expected_;
    std::multimap<std::string, std::function<void()>, std::less<>> also_;
    std::map<std::string, std::string> variant_of_call_;
    std::map<std::string, std::size_t> repeats_;
    std::string step_;
};

/// Returns the fault of a name. Throws std::invalid_argument.
fault fault_named(std::string_view name);

}  // namespace radishpulley::faults
