/// The daemon's settings file while the daemon runs.
#pragma once

#include <optional>
#include <string>

#include "settings/edge_settings.h"

namespace radishpulley::edge {

/// Tells when the file's text changed.
class settings_file {
public:
    /// `path` may be empty, where settings did not come from a file; they never change then.
    explicit settings_file(std::string path);

    /// Returns the settings where the text is another one than at the last call and is valid. A
    /// text that is not valid is logged with its findings, once, and the old settings stay.
    std::optional<settings::edge_settings> poll();

private:
    std::string path_;
    std::string text_;
};

}  // namespace radishpulley::edge
