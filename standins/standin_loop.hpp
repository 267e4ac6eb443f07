/// Event loop with one thread that owns all of a stand-in's state, so that the
/// state needs no locks.
#ifndef MULBERRY_STANDIN_LOOP_HPP
#define MULBERRY_STANDIN_LOOP_HPP

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace mulberry::standins
{

using loop_task = std::function<void()>;

class standin_loop
{
public:
    standin_loop() = default;
    /// Drops every task that has not run.
    ~standin_loop();
    standin_loop(standin_loop const&) = delete;
    standin_loop& operator=(standin_loop const&) = delete;

    /// Starts the thread. Tasks posted before start() run afterwards.
    void start();
    /// Stops and joins the thread; no task runs afterwards. Must not be called
    /// on the loop's thread.
    void stop();
    /// Drops every task that has not run. Precondition: stopped, and all
    /// sockets and timers of the loop are gone.
    void clear();
    /// Runs the task on the loop's thread. Thread safe. After stop() the task
    /// is dropped unrun.
    void post(loop_task task);
    /// Runs the task after `delay`. Only on the loop's thread.
    void after(std::chrono::microseconds delay, loop_task task);
    /// For the caller's own sockets and timers.
    asio::io_context& context() { return *context_; }

private:
    std::mutex mutex_;
    bool stopped_ = false;
    std::optional<asio::io_context> context_{std::in_place, 1};
    std::thread thread_;
};

/// A timer that runs a task and can be rearmed. Only on the loop's thread; must
/// be destroyed before the loop is cleared.
class loop_timer
{
public:
    loop_timer(standin_loop& loop, loop_task task);
    loop_timer(loop_timer const&) = delete;
    loop_timer& operator=(loop_timer const&) = delete;
    /// Rearms the timer; nullopt disarms the timer.
    void set(std::optional<std::chrono::steady_clock::time_point> moment);

private:
    asio::steady_timer timer_;
    std::optional<std::chrono::steady_clock::time_point> moment_;
    loop_task task_;
};

} // namespace mulberry::standins

#endif
