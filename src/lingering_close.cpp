#include "lingering_close.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::chrono::seconds linger_time{5};
constexpr std::chrono::seconds linger_idle_time{1};

} // namespace

lingering_close::lingering_close(tcp_socket socket, connection_memory charge)
    : socket_(std::move(socket)), charge_(std::move(charge)),
      timer_(socket_.get_executor()), deadline_(clock::now() + linger_time),
      idle_deadline_(clock::now() + linger_idle_time)
{
}

void lingering_close::start()
{
    restinio::asio_ns::error_code ignored;
    socket_.shutdown(tcp_socket::shutdown_send, ignored);
    read();
    await_deadline();
}

void lingering_close::cut()
{
    restinio::asio_ns::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    charge_.release();
}

void lingering_close::read()
{
    socket_.async_read_some(
        restinio::asio_ns::buffer(discarded_),
        [self = shared_from_this()](
            restinio::asio_ns::error_code const& failure, std::size_t)
        {
            if (failure || self->is_closed())
                return self->cut();
            self->idle_deadline_ = clock::now() + linger_idle_time;
            self->read();
        });
}

void lingering_close::await_deadline()
{
    timer_.expires_at(std::min(deadline_, idle_deadline_));
    timer_.async_wait(
        [self =
             shared_from_this()](restinio::asio_ns::error_code const& cancelled)
        {
            if (cancelled || self->is_closed())
                return;
            if (clock::now() >= std::min(self->deadline_, self->idle_deadline_))
                return self->cut();
            self->await_deadline();
        });
}

} // namespace mulberry
