/// Simulates several VMs that replicate crash observations, the network between
/// them and the store, in virtual time.
#ifndef MULBERRY_TESTS_CRASH_WORLD_HPP
#define MULBERRY_TESTS_CRASH_WORLD_HPP

#include "answered_parts.hpp"
#include "crash_replicator.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mulberry_test
{

/// Thread safety: none. VMs are numbered from 0.
class crash_world
{
public:
    explicit crash_world(std::size_t vms, mulberry::crash_limits limits = {});

    mulberry::time_point now() const { return now_; }
    /// Advances the time and runs all events that are due.
    void pass(mulberry::duration time);

    /// A worker crashes with the requests of one VM in progress.
    void crash(std::size_t vm, int worker,
               std::vector<std::string> const& requests);
    /// A worker answers a request that the VM sent to it.
    void answer(std::size_t vm, std::string const& request);

    /// A worker answers a request of the VM with the part of a prompt.
    void answer_part(std::size_t vm, std::string const& part);

    /// Whether the request is quarantined at the VM.
    bool is_refused(std::size_t vm, std::string const& request) const;
    bool is_refused_by_all(std::string const& request) const;
    bool is_refused_by_any(std::string const& request) const;

    /// The VM loses its state and reads the rows of the store, if the store is
    /// reachable.
    void restart(std::size_t vm);
    /// Drops all messages between the VM and the other VMs.
    void isolate(std::size_t vm) { isolated_.insert(vm); }
    /// Ends isolate().
    void reconnect(std::size_t vm) { isolated_.erase(vm); }
    void set_store_unavailable(bool away) { store_unavailable_ = away; }
    /// Makes the store unreachable from the VM.
    void cut_from_store(std::size_t vm) { cut_from_store_.insert(vm); }

    std::size_t messages() const { return messages_; }
    /// Questions about parts, each to all other VMs.
    std::size_t questions() const { return questions_; }
    std::size_t writes() const { return writes_; }
    std::size_t rows() const { return rows_.size(); }
    mulberry::crash_record const& record(std::size_t vm) const
    {
        return vms_.at(vm)->record();
    }

private:
    struct event
    {
        mulberry::time_point at{};
        std::function<void()> callback;
    };

    void schedule(mulberry::duration delay, std::function<void()> callback);
    void run(std::size_t vm);
    void send_update(std::size_t from, mulberry::crash_update const& update);
    void note_answers(std::size_t vm,
                      std::vector<mulberry::crash_observation> const& seen);
    void ask(std::size_t from, mulberry::ask_part_answers const& question);
    void write(std::size_t vm, mulberry::write_crash_rows const& changes);
    /// The periodic read of the crash rows by a VM.
    void read_rows(std::size_t vm);
    bool reaches_store(std::size_t vm) const;

    mulberry::crash_limits const limits_;
    mulberry::time_point now_{std::chrono::hours(1)};
    std::vector<std::unique_ptr<mulberry::crash_replicator>> vms_;
    std::vector<mulberry::answered_parts> answered_;
    /// The rows that each VM found at its last read.
    std::vector<std::set<mulberry::crash_key>> seen_rows_;
    std::vector<event> events_;
    std::map<mulberry::crash_key, mulberry::crash_observation> rows_;
    std::set<std::size_t> isolated_;
    std::set<std::size_t> cut_from_store_;
    bool store_unavailable_ = false;
    std::size_t messages_ = 0;
    std::size_t questions_ = 0;
    std::size_t writes_ = 0;
};

} // namespace mulberry_test

#endif
