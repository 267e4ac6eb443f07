#include "relay_connection.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <utility>

namespace mulberry::standins
{
namespace
{

/// In bytes per direction; reading from the sender stops at this limit.
constexpr std::size_t max_queued_bytes = 1U << 20U;

} // namespace

relay_connection::relay_connection(asio::ip::tcp::socket near,
                                   std::shared_ptr<link_state const> state)
    : state_(std::move(state)), client_socket_(std::move(near)),
      target_socket_(client_socket_.get_executor()),
      to_target_{client_socket_, target_socket_,
                 asio::steady_timer(client_socket_.get_executor())},
      to_client_{target_socket_, client_socket_,
                 asio::steady_timer(client_socket_.get_executor())}
{
}

void relay_connection::start(asio::ip::tcp::endpoint const& target)
{
    target_socket_.async_connect(
        target,
        [self = shared_from_this()](std::error_code error)
        {
            if (error)
                return self->close();
            self->connected_ = true;
            std::error_code ignored;
            self->client_socket_.set_option(asio::ip::tcp::no_delay(true),
                                            ignored);
            self->target_socket_.set_option(asio::ip::tcp::no_delay(true),
                                            ignored);
            self->read(self->to_target_);
            self->read(self->to_client_);
        });
}

void relay_connection::blackhole()
{
    silent_ = true;
    for (direction* dir : {&to_target_, &to_client_})
    {
        dir->timer.cancel();
        dir->chunks.clear();
        dir->queued = 0;
        // Further bytes are read and dropped.
        read(*dir);
    }
}

void relay_connection::close()
{
    std::error_code ignored;
    client_socket_.close(ignored);
    target_socket_.close(ignored);
    to_target_.timer.cancel();
    to_client_.timer.cancel();
}

void relay_connection::unblock()
{
    pump(to_target_);
    pump(to_client_);
}

void relay_connection::read(direction& dir)
{
    if (!connected_ || dir.reading || dir.ended ||
        dir.queued >= max_queued_bytes || !dir.from.is_open())
        return;
    dir.reading = true;
    dir.from.async_read_some(asio::buffer(dir.buffer),
                             [self = shared_from_this(),
                              &dir](std::error_code error, std::size_t size)
                             { self->on_read(dir, error, size); });
}

void relay_connection::on_read(direction& dir, std::error_code error,
                               std::size_t size)
{
    dir.reading = false;
    if (error)
        return end(dir, error);
    if (!silent_)
    {
        dir.chunks.push_back({std::chrono::steady_clock::now() + state_->delay,
                              std::string(dir.buffer.data(), size)});
        dir.queued += size;
        pump(dir);
    }
    read(dir);
}

void relay_connection::end(direction& dir, std::error_code error)
{
    dir.ended = true;
    if (silent_)
    {
        // Neither end may notice that the other end has disconnected.
        return close_if_done();
    }
    if (error != asio::error::eof)
        return close();
    dir.chunks.push_back(
        {std::chrono::steady_clock::now() + state_->delay, ""});
    pump(dir);
}

void relay_connection::pump(direction& dir)
{
    if (dir.writing || dir.chunks.empty() || state_->blocked || silent_)
        return;
    dir.writing = true;
    dir.timer.expires_at(dir.chunks.front().due);
    dir.timer.async_wait(
        [self = shared_from_this(), &dir](std::error_code)
        {
            dir.writing = false;
            if (!self->silent_ && !self->state_->blocked)
                self->write(dir);
        });
}

void relay_connection::write(direction& dir)
{
    if (dir.chunks.empty() || !dir.to.is_open())
        return;
    auto const bytes =
        std::make_shared<std::string const>(dir.chunks.front().bytes);
    dir.chunks.pop_front();
    if (bytes->empty())
    {
        std::error_code ignored;
        dir.to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        return close_if_done();
    }
    dir.writing = true;
    dir.queued -= bytes->size();
    asio::async_write(dir.to, asio::buffer(*bytes),
                      [self = shared_from_this(), &dir,
                       bytes](std::error_code error, std::size_t)
                      { self->on_written(dir, error); });
}

void relay_connection::on_written(direction& dir, std::error_code error)
{
    dir.writing = false;
    if (error && !silent_)
        return close();
    pump(dir);
    read(dir);
    close_if_done();
}

void relay_connection::close_if_done()
{
    for (direction const* dir : {&to_target_, &to_client_})
    {
        if (!dir->ended || dir->writing || !dir->chunks.empty())
            return;
    }
    close();
}

} // namespace mulberry::standins
