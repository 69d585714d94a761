// Runs the fault matrix.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "report.h"
#include "suite.h"

ABSL_FLAG(std::string, cell, "", "run this cell only and print its trace");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of every cell and of the sample of pairs");
ABSL_FLAG(std::string, pairs, "sample", "pairs of faults to run: none, sample or all");
ABSL_FLAG(std::size_t, sample, 2000, "pairs in a sample");
ABSL_FLAG(std::string, html, "", "also write the matrix to this file");
ABSL_FLAG(bool, verbose, false, "print every cell and not only the red ones");

namespace {

using namespace radishpulley::faults;

report_row run(const std::vector<suite>& all, const cell& it, std::uint64_t seed) {
    const auto of =
        std::find_if(all.begin(), all.end(), [&](const suite& s) { return s.name == it.suite; });
    if (of == all.end()) {
        throw std::invalid_argument("there is no suite named " + it.suite);
    }
    return {it, seed, of->run(it, seed)};
}

std::vector<cell> chosen_pairs(const std::vector<suite>& all, std::uint64_t seed) {
    const std::string mode = absl::GetFlag(FLAGS_pairs);
    std::vector<cell> cells;
    if (mode == "none") {
        return cells;
    }
    for (const suite& it : all) {
        const std::vector<cell> pairs = pair_cells(it);
        cells.insert(cells.end(), pairs.begin(), pairs.end());
    }
    if (mode == "all") {
        return cells;
    }
    std::vector<cell> sample;
    std::sample(cells.begin(), cells.end(), std::back_inserter(sample), absl::GetFlag(FLAGS_sample),
                std::mt19937_64(seed));
    return sample;
}

int run_one(const std::vector<suite>& all, const std::string& name, std::uint64_t seed) {
    const report_row row = run(all, parse_cell(name), seed);
    for (const std::string& line : row.result.trace) {
        std::cout << line << "\n";
    }
    write_line(std::cout, row);
    return verdict_of(row) == verdict::red ? 1 : 0;
}

struct totals {
    std::size_t cells = 0;
    std::size_t red = 0;
    std::size_t not_reached = 0;
};

void take(const report_row& row, totals& sum) {
    const verdict it = verdict_of(row);
    ++sum.cells;
    sum.red += it == verdict::red ? 1 : 0;
    sum.not_reached += it == verdict::not_reached ? 1 : 0;
    if (it == verdict::red || absl::GetFlag(FLAGS_verbose)) {
        write_line(std::cout, row);
    }
    if (it == verdict::red) {
        std::cout << "    repeat: faults --cell=" << name_of(row.what) << " --seed=" << row.seed
                  << "\n";
    }
}

int run_matrix(const std::vector<suite>& all, std::uint64_t seed) {
    std::vector<report_row> rows;
    totals sum;
    for (const suite& it : all) {
        for (const cell& what : single_cells(it)) {
            rows.push_back(run(all, what, seed));
            rows.back().result.trace.clear();
            take(rows.back(), sum);
        }
    }
    totals pairs;
    for (const cell& what : chosen_pairs(all, seed)) {
        take(run(all, what, seed), pairs);
    }
    for (const suite& it : all) {
        write_text_matrix(std::cout, it, rows);
    }
    if (!absl::GetFlag(FLAGS_html).empty()) {
        std::ofstream page(absl::GetFlag(FLAGS_html));
        write_html(page, all, rows);
    }
    std::cout << "\nseed " << seed << ": single faults " << sum.cells << " cells, " << sum.red
              << " red, " << sum.not_reached << " not reached; pairs " << pairs.cells << " cells, "
              << pairs.red << " red, " << pairs.not_reached << " not reached\n";
    return sum.red + sum.not_reached + pairs.red == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage("Runs every fault at every step of a request and a shutdown.");
    absl::ParseCommandLine(argc, argv);
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    try {
        const std::vector<suite> all = suites();
        const std::string name = absl::GetFlag(FLAGS_cell);
        return name.empty() ? run_matrix(all, seed) : run_one(all, name, seed);
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << "\n";
        return 2;
    }
}
