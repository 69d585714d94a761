#include "suite.h"

#include <algorithm>
#include <stdexcept>

namespace radishpulley::faults {
namespace {

std::vector<std::string> split(std::string_view text, char separator) {
    std::vector<std::string> parts;
    std::size_t first = 0;
    for (std::size_t at = text.find(separator); at != std::string_view::npos;
         at = text.find(separator, first)) {
        parts.emplace_back(text.substr(first, at - first));
        first = at + 1;
    }
    parts.emplace_back(text.substr(first));
    return parts;
}

std::size_t position_of(const suite& it, const std::string& step) {
    const auto at = std::find(it.steps.begin(), it.steps.end(), step);
    return static_cast<std::size_t>(at - it.steps.begin());
}

}  // namespace

std::string name_of(const cell& it) {
    std::string name = it.suite + "/" + it.variant + "/";
    for (const fault_point& point : it.points) {
        if (&point != &it.points.front()) {
            name += "+";
        }
        name += point.step + "/" + point.fault;
    }
    return name;
}

cell parse_cell(std::string_view name) {
    constexpr std::size_t parts_before_plus = 4;
    const std::vector<std::string> points = split(name, '+');
    const std::vector<std::string> first = split(points.front(), '/');
    if (first.size() != parts_before_plus) {
        throw std::invalid_argument("a cell is named suite/variant/step/fault[+step/fault]");
    }
    cell it{first[0], first[1], {{first[2], first[3]}}};
    for (std::size_t i = 1; i < points.size(); ++i) {
        const std::vector<std::string> parts = split(points[i], '/');
        if (parts.size() != 2) {
            throw std::invalid_argument("after + a cell's name goes on with step/fault");
        }
        it.points.push_back({parts[0], parts[1]});
    }
    return it;
}

std::vector<cell> single_cells(const suite& it) {
    std::vector<cell> cells;
    for (const std::string& variant : it.variants) {
        for (const fault_point& point : it.points) {
            if (it.applies(variant, point.step)) {
                cells.push_back({std::string(it.name), variant, {point}});
            }
        }
    }
    return cells;
}

std::vector<cell> pair_cells(const suite& it) {
    std::vector<cell> cells;
    for (const std::string& variant : it.variants) {
        for (const fault_point& first : it.points) {
            for (const fault_point& second : it.points) {
                const bool applies =
                    it.applies(variant, first.step) && it.applies(variant, second.step);
                if (applies && position_of(it, first.step) <= position_of(it, second.step)) {
                    cells.push_back({std::string(it.name), variant, {first, second}});
                }
            }
        }
    }
    return cells;
}

}  // namespace radishpulley::faults
