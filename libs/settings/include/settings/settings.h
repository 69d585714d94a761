/// Settings of the daemon: a TOML file read at start, checked as a whole.
///
/// Example:
///     const settings it = settings::load_settings("radishpulleyd.toml");
///     listen(it.callers.listen);
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/findings.h"
#include "base/identifier.h"

namespace radishpulley::settings {

/// Where this VM is.
struct vm_settings {
    vm_id id;
    zone_id availability_zone;
    region_id region;
};

/// Files in PEM form; both are empty without TLS.
struct tls_settings {
    std::string certificate_file;
    std::string key_file;

    bool enabled() const { return !certificate_file.empty(); }
};

/// The port for callers.
struct callers_settings {
    /// The scheme is https exactly where `tls` is set.
    std::string listen = "http://127.0.0.1:8080";
    std::uint64_t max_header_bytes = 65'536;
    std::uint64_t max_body_bytes = 8'388'608;
    /// Longest answer that is streamed to a caller, in bytes.
    std::uint64_t max_stream_bytes = 67'108'864;
    duration request_timeout = std::chrono::minutes(2);
    tls_settings tls;
};

/// The port for operators. Exactly one of `token_file` and `token_digest` is set.
struct administration_settings {
    std::string listen = "http://127.0.0.1:8081";
    /// File that holds the operators' token.
    std::string token_file;
    /// SHA-256 digest of the token as 64 lower-case hexadecimal digits.
    std::string token_digest;
    tls_settings tls;
};

/// Connections between the daemons.
struct peers_settings {
    std::string listen = "ws://127.0.0.1:8082";
    /// Address under which other daemons reach this one; empty means `listen`.
    std::string advertise;
    /// File that holds the secret of the fleet, by which daemons authenticate each other.
    std::string secret_file;
    duration heartbeat_interval = std::chrono::seconds(1);
    /// Silence after which a connection is replaced; longer than `heartbeat_interval`.
    duration heartbeat_deadline = std::chrono::seconds(3);
};

/// The platform's services.
struct platform_settings {
    std::string object_api;
    std::string vm_list;
    /// PEM file of the authority that signs the platform's certificates; empty means the system's.
    std::string ca_file;
    duration timeout = std::chrono::seconds(1);
    /// Longest wait of one watch call.
    duration watch_wait = std::chrono::seconds(10);
};

/// Checking of callers' keys.
struct keys_settings {
    /// File that holds the HMAC secret of the key digests.
    std::string secret_file;
    /// Age of the newest evidence of current configuration up to which keys are accepted.
    duration freshness_limit = std::chrono::seconds(2);
};

/// Bounds of one daemon.
struct limits_settings {
    std::uint64_t max_queue_per_account = 256;
    /// Time that running requests have at shutdown; at least `callers.request_timeout`.
    duration shutdown_grace = std::chrono::seconds(150);
    /// Time between reporting not ready and closing the callers' port.
    duration balancer_notice = std::chrono::seconds(5);
    /// Retries per first attempt, over all requests of the daemon.
    double retry_budget_ratio = 0.1;
    std::uint64_t attempts_per_request = 3;
};

/// Lowest severity that is logged.
enum class log_level { info, warning, error };

struct log_settings {
    log_level level = log_level::info;
};

/// All settings, one member a section of the file.
struct settings {
    vm_settings vm;
    callers_settings callers;
    administration_settings administration;
    peers_settings peers;
    platform_settings platform;
    keys_settings keys;
    limits_settings limits;
    log_settings log;
};

/// One setting as it stands in a file.
struct setting_entry {
    /// Section and key, such as `peers.heartbeat_interval`.
    std::string name;
    /// The value as text, without quotes.
    std::string value;
    /// True for a setting that has no default.
    bool required = false;
};

/// Reads and checks a file.
/// Throws invalid_input with every finding, each placed as `file:line:column`.
settings load_settings(const std::string& path);

/// Checks `text`; `file_name` stands in the places of the findings. Throws invalid_input.
settings parse_settings(std::string_view text, std::string_view file_name);

/// Lists every setting with its value in `it`, in the order of the file's sections.
std::vector<setting_entry> list_settings(const settings& it);

}  // namespace radishpulley::settings
