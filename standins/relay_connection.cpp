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
    : state_(std::move(state)), client_(std::move(near)),
      server_(client_.get_executor()),
      to_target_{client_, server_, asio::steady_timer(client_.get_executor())},
      to_client_{server_, client_, asio::steady_timer(client_.get_executor())}
{
}

void relay_connection::start(asio::ip::tcp::endpoint const& target)
{
    server_.async_connect(
        target,
        [self = shared_from_this()](std::error_code error)
        {
            if (error)
                return self->close();
            self->connected_ = true;
            std::error_code ignored;
            self->client_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->server_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->read(self->to_target_);
            self->read(self->to_client_);
        });
}

void relay_connection::blackhole()
{
    silent_ = true;
    for (direction* way : {&to_target_, &to_client_})
    {
        way->timer.cancel();
        way->chunks.clear();
        way->queued = 0;
        // Further bytes are read and dropped.
        read(*way);
    }
}

void relay_connection::close()
{
    std::error_code ignored;
    client_.close(ignored);
    server_.close(ignored);
    to_target_.timer.cancel();
    to_client_.timer.cancel();
}

void relay_connection::unblock()
{
    pump(to_target_);
    pump(to_client_);
}

void relay_connection::read(direction& way)
{
    if (!connected_ || way.reading || way.ended ||
        way.queued >= max_queued_bytes || !way.from.is_open())
        return;
    way.reading = true;
    way.from.async_read_some(asio::buffer(way.buffer),
                             [self = shared_from_this(),
                              &way](std::error_code error, std::size_t size)
                             { self->on_read(way, error, size); });
}

void relay_connection::on_read(direction& way, std::error_code error,
                               std::size_t size)
{
    way.reading = false;
    if (error)
        return end(way, error);
    if (!silent_)
    {
        way.chunks.push_back({std::chrono::steady_clock::now() + state_->delay,
                              std::string(way.buffer.data(), size)});
        way.queued += size;
        pump(way);
    }
    read(way);
}

void relay_connection::end(direction& way, std::error_code error)
{
    way.ended = true;
    if (silent_)
    {
        // Neither end may notice that the other end has disconnected.
        return close_if_done();
    }
    if (error != asio::error::eof)
        return close();
    way.chunks.push_back(
        {std::chrono::steady_clock::now() + state_->delay, ""});
    pump(way);
}

void relay_connection::pump(direction& way)
{
    if (way.writing || way.chunks.empty() || state_->blocked || silent_)
        return;
    way.writing = true;
    way.timer.expires_at(way.chunks.front().due);
    way.timer.async_wait(
        [self = shared_from_this(), &way](std::error_code)
        {
            way.writing = false;
            if (!self->silent_ && !self->state_->blocked)
                self->write(way);
        });
}

void relay_connection::write(direction& way)
{
    if (way.chunks.empty() || !way.to.is_open())
        return;
    auto const bytes =
        std::make_shared<std::string const>(way.chunks.front().bytes);
    way.chunks.pop_front();
    if (bytes->empty())
    {
        std::error_code ignored;
        way.to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        return close_if_done();
    }
    way.writing = true;
    way.queued -= bytes->size();
    asio::async_write(way.to, asio::buffer(*bytes),
                      [self = shared_from_this(), &way,
                       bytes](std::error_code error, std::size_t)
                      { self->on_written(way, error); });
}

void relay_connection::on_written(direction& way, std::error_code error)
{
    way.writing = false;
    if (error && !silent_)
        return close();
    pump(way);
    read(way);
    close_if_done();
}

void relay_connection::close_if_done()
{
    for (direction const* way : {&to_target_, &to_client_})
    {
        if (!way->ended || way->writing || !way->chunks.empty())
            return;
    }
    close();
}

} // namespace mulberry::standins
