#include "settings_file.h"

#include "base/findings.h"
#include "settings/read_file.h"
#include "telemetry/event_log.h"

namespace radishpulley::edge {

settings_file::settings_file(std::string path)
    : path_(std::move(path)), text_(settings::read_file(path_).value_or("")) {}

std::optional<settings::edge_settings> settings_file::poll() {
    std::string text = settings::read_file(path_).value_or("");
    // A file that is being replaced may be missing or empty for a moment.
    if (path_.empty() || text.empty() || text == text_) {
        return std::nullopt;
    }
    text_ = std::move(text);
    try {
        return settings::parse_edge_settings(text_, path_);
    } catch (const invalid_input& e) {
        telemetry::log_event(telemetry::severity::error, "reload_refused",
                             {{"file", path_}, {"reason", std::string_view(e.what())}});
        return std::nullopt;
    }
}

}  // namespace radishpulley::edge
