/// Detects changes of the settings file while the daemon runs.
#pragma once

#include <optional>
#include <string>

#include "settings/edge_settings.h"

namespace radishpulley::edge {

/// Polls the settings file for changes of its text.
class settings_file {
public:
    /// An empty `path` means that the settings did not come from a file and never change.
    explicit settings_file(std::string path);

    /// Returns the settings if the text changed since the last call and is valid. An invalid text
    /// is logged once with its findings, and the current settings stay in force.
    std::optional<settings::edge_settings> poll();

private:
    std::string path_;
    std::string text_;
};

}  // namespace radishpulley::edge
