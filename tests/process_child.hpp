/// A program of the project that a test runs as a child process.
#ifndef MULBERRY_PROCESS_CHILD_HPP
#define MULBERRY_PROCESS_CHILD_HPP

#include <chrono>
#include <filesystem>
#include <string>
#include <vector>

namespace mulberry_test
{

/// Limit for awaited events. Far longer than any event needs, so that load on
/// the machine does not change a test's result.
inline constexpr std::chrono::seconds generous_wait{30};

/// A child process: started by the constructor, killed and reaped by the
/// destructor in whatever state the process is. The output is written to files.
/// Thread safety: none.
class child_process
{
public:
    /// `command` holds the program's path and its arguments. Standard output
    /// and standard error go to NAME.out and NAME.log in `folder`. Throws if
    /// the program cannot be started.
    child_process(std::vector<std::string> const& command,
                  std::filesystem::path const& folder, std::string name);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// Waits for the output line "listening ..." and returns the rest of that
    /// line. Throws if the process ends first or generous_wait passes.
    std::string wait_for_address();
    /// Waits for the end of the process and returns the exit status, or 128
    /// plus the signal's number if a signal ended the process. Throws if the
    /// process does not end within generous_wait.
    int wait_for_end();
    bool running();
    int pid() const { return pid_; }
    /// Sends SIGTERM.
    void terminate() const;
    /// Sends SIGHUP.
    void hang_up() const;
    /// Sends SIGSTOP.
    void freeze() const;
    /// Sends SIGCONT.
    void thaw() const;
    /// Sends SIGKILL and reaps the process.
    void kill();

    std::string output() const;
    std::string log() const;
    /// The most memory that the process has used so far, in bytes.
    std::size_t peak_memory() const;

private:
    void send(int signal) const;
    bool reap(bool wait);

    std::filesystem::path out_;
    std::filesystem::path log_;
    std::string name_;
    int pid_ = -1;
    int status_ = 0;
};

} // namespace mulberry_test

#endif
