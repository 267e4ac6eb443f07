#include "standin_loop.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

#include <memory>
#include <utility>

namespace mulberry::standins
{

standin_loop::~standin_loop()
{
    stop();
    clear();
}

void standin_loop::start()
{
    thread_ = std::thread(
        [this]
        {
            auto guard = asio::make_work_guard(*context_);
            context_->run();
        });
}

void standin_loop::stop()
{
    {
        std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    if (context_)
        context_->stop();
    if (thread_.joinable())
        thread_.join();
}

void standin_loop::clear()
{
    context_.reset();
}

void standin_loop::post(loop_task task)
{
    std::lock_guard lock(mutex_);
    if (!stopped_)
        asio::post(*context_, std::move(task));
}

void standin_loop::after(std::chrono::microseconds delay, loop_task task)
{
    auto timer = std::make_shared<asio::steady_timer>(*context_, delay);
    timer->async_wait(
        [timer, task = std::move(task)](std::error_code error)
        {
            if (!error)
                task();
        });
}

loop_timer::loop_timer(standin_loop& loop, loop_task task)
    : timer_(loop.context()), task_(std::move(task))
{
}

void loop_timer::set(
    std::optional<std::chrono::steady_clock::time_point> moment)
{
    if (moment == moment_)
        return;
    moment_ = moment;
    if (!moment)
    {
        timer_.cancel();
        return;
    }
    timer_.expires_at(*moment);
    timer_.async_wait(
        [this](std::error_code error)
        {
            if (error)
                return;
            moment_.reset();
            task_();
        });
}

} // namespace mulberry::standins
