#include "telemetry/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <glog/logging.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <ctime>

#include "telemetry/line_writer.h"

namespace radishpulley::telemetry {
namespace {

bool needs_quotes(std::string_view text) {
    for (const char c : text) {
        const auto code = static_cast<unsigned char>(c);
        if (code <= ' ' || code == 0x7f || c == '"' || c == '=' || c == '\\') {
            return true;
        }
    }
    return text.empty();
}

void append_escaped(std::string& line, char c) {
    const auto code = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
        line += '\\';
        line += c;
    } else if (c == '\n') {
        line += "\\n";
    } else if (code < ' ' || code == 0x7f) {
        std::array<char, 8> buf{};
        std::snprintf(buf.data(), buf.size(), "\\x%02x", code);
        line += buf.data();
    } else {
        line += c;
    }
}

void append_text(std::string& line, std::string_view text) {
    const bool is_cut = text.size() > max_field_length;
    text = text.substr(0, max_field_length);
    const bool is_quoted = needs_quotes(text);
    if (is_quoted) {
        line += '"';
    }
    for (const char c : text) {
        append_escaped(line, c);
    }
    if (is_cut) {
        line += "...";
    }
    if (is_quoted) {
        line += '"';
    }
}

void append_double(std::string& line, double value) {
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.9g", value);
    line += buf.data();
}

struct value_appender {
    std::string& line;

    void operator()(std::string_view text) const { append_text(line, text); }
    void operator()(bool value) const { line += value ? "true" : "false"; }
    void operator()(double value) const { append_double(line, value); }
    void operator()(duration value) const {
        append_double(line, std::chrono::duration<double>(value).count());
        line += 's';
    }
    void operator()(std::int64_t value) const { line += std::to_string(value); }
    void operator()(std::uint64_t value) const { line += std::to_string(value); }
};

// The wall clock serves readers of the log only; no decision is made from it.
std::string present_time() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const auto seconds = static_cast<std::time_t>(whole / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 48> buf{};
    std::snprintf(buf.data(), buf.size(), "%s.%03dZ", date.data(), static_cast<int>(whole % 1000));
    return buf.data();
}

const char* level_name(severity level) {
    constexpr std::array<const char*, 3> names = {"info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

// Standard output's own buffer would tear lines where the output takes only a part of them.
class output_sink final : public google::LogSink {
public:
    using google::LogSink::send;

    void send(google::LogSeverity /*severity*/, const char* /*full_filename*/,
              const char* /*base_filename*/, int /*line*/, const google::LogMessageTime& /*time*/,
              const char* message, std::size_t size) override {
        writer_.write({message, size});
    }

    std::uint64_t take_dropped() { return writer_.take_dropped(); }

private:
    line_writer writer_{STDOUT_FILENO};
};

output_sink& output() {
    static output_sink it;
    return it;
}

// Set where lines go to standard output.
std::atomic<bool> writes_to_output{false};

line_budget& budget_of(severity level) {
    static std::array<line_budget, 3> budgets{line_budget(max_lines_per_second),
                                              line_budget(max_lines_per_second),
                                              line_budget(max_lines_per_second)};
    return budgets.at(static_cast<std::size_t>(level));
}

google::LogSeverity glog_severity(severity level) {
    constexpr std::array<google::LogSeverity, 3> levels = {google::GLOG_INFO, google::GLOG_WARNING,
                                                           google::GLOG_ERROR};
    return levels.at(static_cast<std::size_t>(level));
}

}  // namespace

line_budget::verdict line_budget::take(time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (now - second_began_ >= std::chrono::seconds(1)) {
        second_began_ = now;
        lines_ = 0;
    }
    if (lines_ >= lines_per_second_) {
        ++left_out_;
        return {};
    }
    ++lines_;
    verdict out{true, left_out_};
    left_out_ = 0;
    return out;
}

void never_wait_for_output() {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void field_value::append_to(std::string& line) const {
    std::visit(value_appender{line}, value_);
}

void start_log(const char* program, severity lowest, log_target target) {
    FLAGS_logtostderr = target == log_target::standard_error;
    writes_to_output = target == log_target::standard_output;
    FLAGS_minloglevel = glog_severity(lowest);
    FLAGS_log_prefix = false;
    if (!google::IsGoogleLoggingInitialized()) {
        google::InitGoogleLogging(program);
    }
}

void log_event(severity level, std::string_view event,
               std::initializer_list<field> fields) noexcept {
    try {
        if (glog_severity(level) < FLAGS_minloglevel) {
            return;
        }
        const auto verdict = budget_of(level).take(std::chrono::steady_clock::now());
        if (!verdict.allowed) {
            return;
        }
        std::string line = format_event(event, fields);
        const std::uint64_t left_out = verdict.left_out + output().take_dropped();
        if (left_out > 0) {
            line += " lines_left_out=" + std::to_string(left_out);
        }
        google::LogSink* const sink = writes_to_output ? &output() : nullptr;
        google::LogMessage(__FILE__, __LINE__, glog_severity(level), sink, sink == nullptr).stream()
            << "time=" << present_time() << " level=" << level_name(level) << ' ' << line;
    } catch (...) {
        // Logging must not turn a working request into a failed one.
        return;
    }
}

std::string format_event(std::string_view event, std::initializer_list<field> fields) {
    std::string line = "event=";
    append_text(line, event);
    for (const field& it : fields) {
        line += ' ';
        line += it.name;
        line += '=';
        it.value.append_to(line);
    }
    return line;
}

}  // namespace radishpulley::telemetry
