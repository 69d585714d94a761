#include "report.h"

#include <algorithm>
#include <functional>
#include <ostream>
#include <string>

namespace radishpulley::faults {
namespace {

constexpr std::size_t first_column = 24;
constexpr std::size_t column = 14;

std::string padded(std::string text, std::size_t width) {
    text.resize(std::max(width, text.size()), ' ');
    return text;
}

char mark_of(verdict it) {
    switch (it) {
        case verdict::green:
            return '+';
        case verdict::red:
            return 'X';
        case verdict::not_reached:
            return '.';
    }
    return '?';
}

std::vector<std::string> faults_of(const suite& of) {
    std::vector<std::string> names;
    for (const fault_point& it : of.points) {
        if (std::find(names.begin(), names.end(), it.fault) == names.end()) {
            names.push_back(it.fault);
        }
    }
    return names;
}

// Returns a mark for each variant, or nothing where the table has no such cell.
std::string marks_at(const suite& of, const std::vector<report_row>& rows, const std::string& step,
                     const std::string& fault) {
    std::string marks;
    for (const report_row& it : rows) {
        const bool is_single = it.what.points.size() == 1 && it.what.suite == of.name;
        const fault_point& point = it.what.points.front();
        if (is_single && point.step == step && point.fault == fault) {
            marks.push_back(mark_of(verdict_of(it)));
        }
    }
    return marks;
}

std::string html_class(const std::string& marks) {
    if (marks.empty()) {
        return "none";
    }
    return marks.find('X') == std::string::npos ? "green" : "red";
}

std::string variants_of(const suite& of) {
    std::string text;
    for (const std::string& it : of.variants) {
        text += (text.empty() ? "" : ", ") + it;
    }
    return text;
}

}  // namespace

verdict verdict_of(const report_row& it) {
    if (!it.result.violations.empty()) {
        return verdict::red;
    }
    return it.result.reached ? verdict::green : verdict::not_reached;
}

void write_line(std::ostream& out, const report_row& it) {
    static constexpr const char* names[] = {"green", "RED", "not reached"};
    out << name_of(it.what) << "  seed " << it.seed << "  "
        << names[static_cast<std::size_t>(verdict_of(it))] << "\n";
    for (const violation& broken : it.result.violations) {
        out << "    " << broken.line << ": " << broken.detail << "\n";
    }
}

void write_text_matrix(std::ostream& out, const suite& of, const std::vector<report_row>& rows) {
    out << "\n"
        << of.name << "; in each cell: " << variants_of(of) << "; + green, X red, . not reached\n\n"
        << padded("", first_column);
    for (const std::string& step : of.steps) {
        out << padded(step, column);
    }
    out << "\n";
    for (const std::string& fault : faults_of(of)) {
        out << padded(fault, first_column);
        for (const std::string& step : of.steps) {
            out << padded(marks_at(of, rows, step, fault), column);
        }
        out << "\n";
    }
}

void write_html(std::ostream& out, const std::vector<suite>& all,
                const std::vector<report_row>& rows) {
    out << "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Fault matrix</title>"
           "<style>body{font:14px sans-serif}td,th{border:1px solid #ccc;padding:2px 8px}"
           "table{border-collapse:collapse}.green{background:#cfc}.red{background:#f99}"
           ".none{background:#eee}</style>\n";
    for (const suite& of : all) {
        out << "<h2>" << of.name << "</h2><p>Marks in a cell: " << variants_of(of)
            << ". + green, X red, . not reached.</p><table><tr><th></th>";
        for (const std::string& step : of.steps) {
            out << "<th>" << step << "</th>";
        }
        out << "</tr>\n";
        for (const std::string& fault : faults_of(of)) {
            out << "<tr><th>" << fault << "</th>";
            for (const std::string& step : of.steps) {
                const std::string marks = marks_at(of, rows, step, fault);
                out << "<td class=\"" << html_class(marks) << "\">" << marks << "</td>";
            }
            out << "</tr>\n";
        }
        out << "</table>\n";
    }
    out << "</html>\n";
}

}  // namespace radishpulley::faults
