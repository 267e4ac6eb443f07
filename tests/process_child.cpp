#include "process_child.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace mulberry_test
{
namespace
{

constexpr std::chrono::milliseconds poll_interval{10};
constexpr std::string_view address_line = "listening ";
constexpr int signal_base = 128;

std::string read_file(std::filesystem::path const& path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// File descriptor setup of one child.
class file_actions
{
public:
    file_actions() { posix_spawn_file_actions_init(&actions_); }
    ~file_actions() { posix_spawn_file_actions_destroy(&actions_); }
    file_actions(file_actions const&) = delete;
    file_actions& operator=(file_actions const&) = delete;

    void open(int descriptor, std::filesystem::path const& path)
    {
        posix_spawn_file_actions_addopen(&actions_, descriptor, path.c_str(),
                                         O_WRONLY | O_CREAT | O_TRUNC, 0600);
    }
    /// Closes all other descriptors in the child: an inherited listening
    /// socket would accept connections after the test has closed it.
    void close_others()
    {
        posix_spawn_file_actions_addclosefrom_np(&actions_, STDERR_FILENO + 1);
    }
    posix_spawn_file_actions_t const* get() const { return &actions_; }

private:
    posix_spawn_file_actions_t actions_{};
};

} // namespace

child_process::child_process(std::vector<std::string> const& command,
                             std::filesystem::path const& folder,
                             std::string name)
    : out_(folder / (name + ".out")), log_(folder / (name + ".log")),
      name_(std::move(name))
{
    std::vector<char*> arguments;
    for (std::string const& each : command)
        arguments.push_back(const_cast<char*>(each.c_str()));
    arguments.push_back(nullptr);
    file_actions files;
    files.open(1, out_);
    files.open(2, log_);
    files.close_others();
    if (posix_spawn(&pid_, arguments[0], files.get(), nullptr, arguments.data(),
                    environ) != 0)
        throw std::runtime_error("cannot start " + command.front());
}

child_process::~child_process()
{
    kill();
}

std::string child_process::wait_for_address()
{
    auto const limit = std::chrono::steady_clock::now() + generous_wait;
    while (std::chrono::steady_clock::now() < limit)
    {
        std::string const text = output();
        auto const begin = text.find(address_line);
        auto const end = text.find('\n', begin);
        if (begin != std::string::npos && end != std::string::npos)
            return text.substr(begin + address_line.size(),
                               end - begin - address_line.size());
        if (!running())
            break;
        std::this_thread::sleep_for(poll_interval);
    }
    throw std::runtime_error(name_ + " did not report its address: " + log());
}

int child_process::wait_for_end()
{
    auto const limit = std::chrono::steady_clock::now() + generous_wait;
    while (running())
    {
        if (std::chrono::steady_clock::now() > limit)
            throw std::runtime_error(name_ + " did not exit: " + log());
        std::this_thread::sleep_for(poll_interval);
    }
    return WIFSIGNALED(status_) ? signal_base + WTERMSIG(status_)
                                : WEXITSTATUS(status_);
}

bool child_process::running()
{
    return pid_ > 0 && !reap(false);
}

bool child_process::reap(bool wait)
{
    if (waitpid(pid_, &status_, wait ? 0 : WNOHANG) != pid_)
        return false;
    pid_ = -1;
    return true;
}

void child_process::send(int signal) const
{
    if (pid_ > 0)
        ::kill(pid_, signal);
}

void child_process::terminate() const
{
    send(SIGTERM);
}

void child_process::hang_up() const
{
    send(SIGHUP);
}

void child_process::freeze() const
{
    send(SIGSTOP);
}

void child_process::thaw() const
{
    send(SIGCONT);
}

void child_process::kill()
{
    if (pid_ <= 0)
        return;
    send(SIGKILL);
    reap(true);
}

std::string child_process::output() const
{
    return read_file(out_);
}

std::size_t child_process::peak_memory() const
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find(':') + 1)) * 1024;
    throw std::runtime_error("the memory of " + name_ + " is not known");
}

std::string child_process::log() const
{
    return read_file(log_);
}

} // namespace mulberry_test
