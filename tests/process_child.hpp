/// A program of the project, run by a test as a process of its own.
#ifndef MULBERRY_PROCESS_CHILD_HPP
#define MULBERRY_PROCESS_CHILD_HPP

#include <chrono>
#include <filesystem>
#include <string>
#include <vector>

namespace mulberry_test
{

/// How long an awaited event may take. Far longer than any needs, so that a
/// busy machine does not change the verdict.
inline constexpr std::chrono::seconds generous_wait{30};

/// Started when constructed; ended and reaped when destroyed, whatever state
/// it is in then. Its output is kept in files. Not thread safe.
class child_process
{
public:
    /// `command` holds the program's path and its arguments; the output goes
    /// to NAME.out and NAME.log in `folder`.
    child_process(std::vector<std::string> const& command,
                  std::filesystem::path const& folder, std::string name);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// The rest of its line "listening ...". Throws when it ends before.
    std::string wait_for_address();
    /// Its exit status once it has ended; 128 and the signal's number when a
    /// signal ended it. Throws when it does not end.
    int wait_for_end();
    bool running();
    void terminate() const;
    void hang_up() const;
    void freeze() const;
    void thaw() const;
    void kill();

    std::string output() const;
    std::string log() const;

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
