/// Starts, signals and awaits processes of this project, by their ids.
#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace radishpulley::standins {

/// A process that ends with this object at the latest.
class child_process {
public:
    /// Starts `arguments[0]`; its output and errors go to `log_file`. Throws std::system_error.
    child_process(const std::vector<std::string>& arguments, const std::string& log_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal; does nothing when the process has ended.
    void signal(int number);
    /// Waits for the end and returns the exit status, or 128 + the number of the ending signal.
    int wait();
    bool has_ended();
    pid_t id() const { return pid_; }

private:
    pid_t pid_ = -1;
    bool ended_ = false;
    int status_ = 0;
};

}  // namespace radishpulley::standins
