#include "connect_check.hpp"

#include <utility>

namespace mulberry
{
namespace
{

using asio::ip::tcp;

constexpr std::chrono::milliseconds connect_timeout{300};

} // namespace

bool connect_check::start(backend_address const& to, std::string const& source,
                          std::chrono::milliseconds delay,
                          std::function<void(bool)> done)
{
    asio::error_code unusable;
    auto const address = asio::ip::make_address(to.ip, unusable);
    if (!unusable && !source.empty())
        source_ = asio::ip::make_address(source, unusable);
    if (unusable)
        return false;
    done_ = std::move(done);
    to_ = tcp::endpoint(address, to.port);
    timer_.expires_after(delay);
    timer_.async_wait(
        [self = shared_from_this()](asio::error_code const& cancelled)
        {
            if (!cancelled)
                self->connect();
        });
    return true;
}

void connect_check::cancel()
{
    done_ = nullptr;
    timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
}

void connect_check::connect()
{
    timer_.expires_after(connect_timeout);
    timer_.async_wait(
        [self = shared_from_this()](asio::error_code const& cancelled)
        {
            if (!cancelled)
                self->report(false);
        });
    if (!source_.is_unspecified())
    {
        asio::error_code failure;
        socket_.open(to_.protocol(), failure);
        socket_.bind({source_, 0}, failure);
    }
    socket_.async_connect(
        to_, [self = shared_from_this()](asio::error_code const& failure)
        { self->report(!failure); });
}

void connect_check::report(bool opened)
{
    auto const done = std::exchange(done_, nullptr);
    cancel();
    if (done)
        done(opened);
}

} // namespace mulberry
