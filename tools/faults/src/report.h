/// The matrix to look at, as text and as an HTML page.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <vector>

#include "suite.h"

namespace radishpulley::faults {

/// How a cell came out.
enum class verdict {
    green,
    red,
    /// One of its steps was never come to.
    not_reached
};

/// One cell that was run.
struct report_row {
    cell what;
    std::uint64_t seed = 0;
    cell_result result;
};

verdict verdict_of(const report_row& it);

/// Writes a line with cell, seed and verdict.
void write_line(std::ostream& out, const report_row& it);

/// Writes the single faults of one suite as a table: faults down, steps across, a mark for each
/// variant.
void write_text_matrix(std::ostream& out, const suite& of, const std::vector<report_row>& rows);

/// Writes the tables of all suites as one page.
void write_html(std::ostream& out, const std::vector<suite>& all,
                const std::vector<report_row>& rows);

}  // namespace radishpulley::faults
