#include "checkers.h"

#include <algorithm>
#include <set>
#include <string>

namespace radishpulley::faults {
namespace {

using requests::error_code;
using requests::repeat_policy;
using requests::run_state;

bool is_prefix(const std::string& part, const std::string& whole) {
    return whole.compare(0, part.size(), part) == 0;
}

std::size_t runs_of(const history& seen, const request_id& request) {
    const auto is_own = [&](const endpoint_run& it) { return it.request == request; };
    return std::count_if(seen.runs.begin(), seen.runs.end(), is_own);
}

void check_whole_answer(const history& seen, std::vector<violation>& found) {
    for (const exchange& it : seen.exchanges) {
        if (it.end == exchange_end::none) {
            found.push_back({"whole_answer", it.id.str() + " never ended"});
        }
        if (it.end == exchange_end::whole && it.received != it.expected) {
            found.push_back({"whole_answer", it.id.str() + " ended as whole and is not"});
        }
        if (!is_prefix(it.received, it.expected)) {
            found.push_back({"whole_answer", it.id.str() + " got bytes that are not its own"});
        }
    }
}

void check_refusal_is_true(const history& seen, std::vector<violation>& found) {
    for (const exchange& it : seen.exchanges) {
        if (it.error && it.error->run == run_state::not_run && runs_of(seen, it.id) != 0) {
            found.push_back(
                {"refusal_is_true", it.id.str() + " was said not to have run, and ran"});
        }
    }
}

void check_at_most_once(const history& seen, std::vector<violation>& found) {
    std::set<std::string> calls;
    for (const exchange& it : seen.exchanges) {
        if (it.repeat != repeat_policy::idempotent) {
            calls.insert(it.call);
        }
    }
    for (const std::string& call : calls) {
        const auto is_own = [&](const endpoint_run& it) { return it.call == call; };
        const auto n = std::count_if(seen.runs.begin(), seen.runs.end(), is_own);
        if (n > 1) {
            found.push_back({"at_most_once", call + " ran " + std::to_string(n) + " times"});
        }
    }
}

void check_leaving_endpoint(const history& seen, std::vector<violation>& found) {
    for (const endpoint_run& it : seen.runs) {
        const auto left = seen.left.find(it.endpoint);
        if (left != seen.left.end() && it.begun > left->second + leaving_bound) {
            found.push_back({"leaving_endpoint", it.endpoint.str() + " got " + it.request.str()});
        }
    }
}

void check_graceful_shutdown(const history& seen, std::vector<violation>& found) {
    for (const graceful_exit& it : seen.exits) {
        if (it.running != 0) {
            found.push_back({"graceful_shutdown", it.vm.str() + " left requests behind"});
        }
    }
    for (const exchange& it : seen.exchanges) {
        if (it.error && it.error->code == error_code::shutting_down &&
            it.error->run != run_state::not_run) {
            found.push_back({"graceful_shutdown", it.id.str() + " was cut by the shutdown"});
        }
    }
}

void check_right_adapter(const history& seen, std::vector<violation>& found) {
    for (const exchange& it : seen.exchanges) {
        if (it.received.find("@old") != std::string::npos) {
            found.push_back({"right_adapter", it.id.str() + " got another version's answer"});
        }
    }
}

void check_withdrawn_key(const history& seen, std::vector<violation>& found) {
    if (!seen.key_withdrawn) {
        return;
    }
    const time_point end = *seen.key_withdrawn + withdrawal_bound;
    for (const exchange& it : seen.exchanges) {
        if (it.last_byte && *it.last_byte > end) {
            found.push_back({"withdrawn_key", it.id.str() + " got bytes for a withdrawn key"});
        }
        if (it.begun > end && runs_of(seen, it.id) != 0) {
            found.push_back({"withdrawn_key", it.id.str() + " ran for a withdrawn key"});
        }
    }
}

void check_adapter_in_use(const history& seen, std::vector<violation>& found) {
    for (const holdings_return& it : seen.returns) {
        if (it.running != 0) {
            found.push_back({"adapter_in_use", it.vm.str() + " gave its leases back too early"});
        }
    }
    for (const use_count& it : seen.uses) {
        const std::string place = it.vm.str() + " at " + it.endpoint.str();
        if (it.uses < it.running) {
            found.push_back({"adapter_in_use", place + " runs uncounted"});
        }
        if (it.at_end && it.uses != 0) {
            found.push_back({"adapter_in_use", place + " is counted for ever"});
        }
    }
}

}  // namespace

const std::vector<checker>& checkers() {
    static const std::vector<checker> all = {{"whole_answer", check_whole_answer},
                                             {"refusal_is_true", check_refusal_is_true},
                                             {"at_most_once", check_at_most_once},
                                             {"leaving_endpoint", check_leaving_endpoint},
                                             {"graceful_shutdown", check_graceful_shutdown},
                                             {"right_adapter", check_right_adapter},
                                             {"withdrawn_key", check_withdrawn_key},
                                             {"adapter_in_use", check_adapter_in_use}};
    return all;
}

std::vector<violation> check_all(const history& seen) {
    std::vector<violation> found;
    for (const checker& it : checkers()) {
        it.check(seen, found);
    }
    return found;
}

}  // namespace radishpulley::faults
