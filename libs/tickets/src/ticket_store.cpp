#include "tickets/ticket_store.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <utility>

#include "base/digest.h"

namespace radishpulley::tickets {

using object_api::conflict;
using object_api::not_found;
using object_api::object;
using object_api::object_version;
using object_api::outcome_unknown;
using object_api::stored;
using object_api::unreachable;

struct ticket_store::versioned_head {
    head at;
    object_version version = 0;
};

namespace {

// Compares a ticket with what was accepted before; nothing when it is newer than all of it.
std::optional<accept_result> decide_by_history(const head& at, const model::ticket& it,
                                               const std::string& digest) {
    if (it.number > at.number) {
        return std::nullopt;
    }
    for (const accepted_ticket& entry : at.history) {
        if (entry.number != it.number) {
            continue;
        }
        if (entry.digest == digest) {
            return accepted_before{};
        }
        return refused_as_different{entry.digest};
    }
    return refused_as_older{at.number};
}

findings check_sizes(const committed_configuration& before, const committed_configuration& after) {
    findings found;
    for (std::size_t i = 0; i < model::shard_count; ++i) {
        const auto& held = after.value.shard_at(i);
        if (held == before.value.shard_at(i)) {
            continue;
        }
        if (model::to_text(*held).size() > object_api::max_value_size) {
            found.add("shards/" + std::to_string(i), "would be larger than one object may be");
        }
    }
    return found;
}

// Number of the ticket that wrote a shard object, or nothing when the name has another form.
std::optional<model::ticket_number> writer_of(std::string_view name) {
    const std::size_t slash = name.rfind('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view last = name.substr(slash + 1);
    model::ticket_number number = 0;
    const auto [end, ec] = std::from_chars(last.data(), last.data() + last.size(), number);
    if (ec != std::errc() || end == last.data() + last.size() || *end != '-') {
        return std::nullopt;
    }
    return number;
}

}  // namespace

ticket_store::ticket_store(object_api::object_store& api, const clock& time, pause_function pause,
                           ticket_store_settings settings)
    : api_(api), clock_(time), pause_(std::move(pause)), settings_(settings) {}

bool ticket_store::wait_before(time_point until) {
    if (clock_.now() + settings_.pause >= until) {
        return false;
    }
    pause_(settings_.pause);
    return true;
}

ticket_store::read_result ticket_store::read_head() {
    const object_api::get_result result = api_.get(head_object);
    if (const auto* held = std::get_if<object>(&result)) {
        return versioned_head{parse_head(held->value), held->version};
    }
    if (std::holds_alternative<not_found>(result)) {
        return versioned_head{};
    }
    return unreachable{};
}

accept_result ticket_store::accept(const model::ticket& it, const committed_configuration& known) {
    const time_point until = clock_.now() + settings_.deadline;
    const std::string digest = model::ticket_digest(it);
    committed_configuration base = known;
    // The last update of the head without an answer, and the version that it depends on.
    std::optional<committed_configuration> tried;
    object_version tried_version = 0;
    const auto give_up = [&]() -> accept_result {
        if (tried) {
            return acceptance_unknown{};
        }
        return not_accepted{};
    };
    for (;;) {
        const read_result read = read_head();
        const auto* current = std::get_if<versioned_head>(&read);
        if (current == nullptr) {
            if (!wait_before(until)) {
                return give_up();
            }
            continue;
        }
        if (tried && fingerprint(tried->at) == fingerprint(current->at)) {
            return accepted{std::move(*tried)};
        }
        if (const auto decided = decide_by_history(current->at, it, digest)) {
            return *decided;
        }
        if (tried && current->version != tried_version) {
            tried.reset();
        }
        load_result loaded = complete(current->at, base, until);
        if (!std::holds_alternative<committed_configuration>(loaded)) {
            if (!wait_before(until)) {
                return give_up();
            }
            continue;
        }
        base = std::get<committed_configuration>(std::move(loaded));
        findings found = model::check(base.value, it);
        if (!found.empty()) {
            return refused_with_findings{std::move(found)};
        }
        committed_configuration after = apply(base, it);
        found = check_sizes(base, after);
        if (!found.empty()) {
            return refused_with_findings{std::move(found)};
        }
        if (!write_shards(base, after, until)) {
            return give_up();
        }
        const object_api::put_result result =
            api_.put(head_object, to_text(after.at), current->version);
        if (std::holds_alternative<stored>(result)) {
            return accepted{std::move(after)};
        }
        if (std::holds_alternative<outcome_unknown>(result)) {
            tried = std::move(after);
            tried_version = current->version;
            if (!wait_before(until)) {
                return give_up();
            }
        } else if (clock_.now() >= until) {
            return give_up();
        }
    }
}

bool ticket_store::write_shard(std::string_view name, std::string_view text, time_point until) {
    for (;;) {
        const object_api::put_result result = api_.put(name, text, 0);
        // The digest in the name says that an object which is there already has this text.
        if (!std::holds_alternative<outcome_unknown>(result)) {
            return true;
        }
        if (!wait_before(until)) {
            return false;
        }
    }
}

bool ticket_store::write_shards(const committed_configuration& before,
                                const committed_configuration& after, time_point until) {
    for (std::size_t i = 0; i < model::shard_count; ++i) {
        const shard_name& name = after.at.shards[i];
        if (name == before.at.shards[i] || name.digest.empty()) {
            continue;
        }
        const std::string text = model::to_text(*after.value.shard_at(i));
        if (!write_shard(object_name(i, name), text, until)) {
            return false;
        }
    }
    return true;
}

shard_result ticket_store::load_shard(std::size_t i, const shard_name& name) {
    const object_api::get_result result = api_.get(object_name(i, name));
    if (const auto* held = std::get_if<object>(&result)) {
        return held->value;
    }
    if (std::holds_alternative<not_found>(result)) {
        return not_found{};
    }
    return unreachable{};
}

load_result ticket_store::complete(const head& at, const committed_configuration& known,
                                   time_point until) {
    std::array<std::shared_ptr<const model::shard>, model::shard_count> shards;
    for (std::size_t i = 0; i < model::shard_count; ++i) {
        const shard_name& name = at.shards[i];
        if (name == known.at.shards[i]) {
            shards[i] = known.value.shard_at(i);
            continue;
        }
        std::string text;
        if (!name.digest.empty()) {
            shard_result result = load_shard(i, name);
            while (std::holds_alternative<unreachable>(result) && wait_before(until)) {
                result = load_shard(i, name);
            }
            if (!std::holds_alternative<std::string>(result)) {
                return unreachable{};
            }
            text = std::get<std::string>(std::move(result));
        }
        shards[i] = std::make_shared<const model::shard>(parse_verified(name, text));
    }
    return committed_configuration{at, model::configuration(at.number, std::move(shards))};
}

load_result ticket_store::load(const committed_configuration& known) {
    const time_point until = clock_.now() + settings_.deadline;
    for (;;) {
        const read_result read = read_head();
        if (const auto* current = std::get_if<versioned_head>(&read)) {
            // A shard that is gone was replaced by a newer head, which is read next.
            load_result result = complete(current->at, known, until);
            if (std::holds_alternative<committed_configuration>(result)) {
                return result;
            }
        }
        if (!wait_before(until)) {
            return unreachable{};
        }
    }
}

head_result ticket_store::load_head() {
    read_result read = read_head();
    if (auto* current = std::get_if<versioned_head>(&read)) {
        return std::move(current->at);
    }
    return unreachable{};
}

std::size_t ticket_store::remove_unused_shards(std::size_t limit) {
    const read_result read = read_head();
    const auto* current = std::get_if<versioned_head>(&read);
    const object_api::list_result listed = api_.list(shard_prefix);
    const auto* names = std::get_if<std::vector<std::string>>(&listed);
    if (current == nullptr || names == nullptr) {
        return 0;
    }
    std::set<std::string> used;
    for (std::size_t i = 0; i < model::shard_count; ++i) {
        used.insert(object_name(i, current->at.shards[i]));
    }
    std::size_t removed = 0;
    for (const std::string& name : *names) {
        const auto writer = writer_of(name);
        if (removed == limit || used.count(name) != 0 || !writer || *writer > current->at.number) {
            continue;
        }
        const object_api::get_result held = api_.get(name);
        if (const auto* found = std::get_if<object>(&held)) {
            const object_api::put_result result = api_.remove(name, found->version);
            removed += std::holds_alternative<stored>(result) ? 1 : 0;
        }
    }
    return removed;
}

}  // namespace radishpulley::tickets
