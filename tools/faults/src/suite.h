/// The fault matrix: suites of cells, each of which brings one or two faults about at one step.
///
/// To add a matter, write a table of its steps and faults and a function that runs one cell, and
/// list the suite in suites().
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace radishpulley::faults {

/// One fault at one step of one suite.
struct fault_point {
    std::string step;
    std::string fault;
};

/// One cell of the matrix. Its name is `suite/variant/step/fault`, and `+step/fault` follows for
/// the second of a pair.
struct cell {
    std::string suite;
    std::string variant;
    std::vector<fault_point> points;
};

/// A must-hold line that was broken.
struct violation {
    /// Name of the checker, such as `at_most_once`.
    std::string line;
    std::string detail;
};

/// What running a cell showed.
struct cell_result {
    std::vector<violation> violations;
    /// False where the run never came to one of the cell's steps.
    bool reached = false;
    std::vector<std::string> trace;
};

/// One matter of the matrix.
struct suite {
    std::string_view name;
    std::vector<std::string> variants;
    std::vector<std::string> steps;
    /// Single faults, each with its step.
    std::vector<fault_point> points;
    /// Whether a variant comes to a step when nothing fails.
    bool (*applies)(const std::string& variant, const std::string& step);
    cell_result (*run)(const cell& it, std::uint64_t seed);
};

/// Returns all suites.
std::vector<suite> suites();

/// Returns a cell's name, and the cell of a name. `parse_cell` throws std::invalid_argument.
std::string name_of(const cell& it);
cell parse_cell(std::string_view name);

/// Returns every cell with one fault. Each must come to its step.
std::vector<cell> single_cells(const suite& it);

/// Returns every cell with two faults, the second at the same step or a later one.
/// The first fault may keep the run from coming to the second step.
std::vector<cell> pair_cells(const suite& it);

}  // namespace radishpulley::faults
