#include "standins/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <csignal>

#include <system_error>

extern char** environ;

namespace radishpulley::standins {
namespace {

constexpr int signal_status_base = 128;

int exit_status_of(int status) {
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_status_base + WTERMSIG(status);
}

}  // namespace

child_process::child_process(const std::vector<std::string>& arguments,
                             const std::string& log_file) {
    std::vector<char*> argv;
    for (const std::string& it : arguments) {
        argv.push_back(const_cast<char*>(it.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    const int ec = posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) {
        throw std::system_error(ec, std::generic_category(), "cannot start " + arguments[0]);
    }
}

child_process::~child_process() {
    if (!has_ended()) {
        signal(SIGKILL);
        signal(SIGCONT);
        wait();
    }
}

void child_process::signal(int number) {
    if (!has_ended()) {
        kill(pid_, number);
    }
}

int child_process::wait() {
    if (!ended_) {
        int status = 0;
        waitpid(pid_, &status, 0);
        status_ = exit_status_of(status);
        ended_ = true;
    }
    return status_;
}

bool child_process::has_ended() {
    int status = 0;
    if (!ended_ && waitpid(pid_, &status, WNOHANG) == pid_) {
        status_ = exit_status_of(status);
        ended_ = true;
    }
    return ended_;
}

}  // namespace radishpulley::standins
