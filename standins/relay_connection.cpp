#include "relay_connection.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <utility>

namespace mulberry::standins
{
namespace
{

/// In bytes per direction; reading from the sender stops at this limit.
constexpr std::size_t queue_limit = 1U << 20U;

} // namespace

relay_connection::relay_connection(asio::ip::tcp::socket near,
                                   std::shared_ptr<link_state const> state)
    : state_(std::move(state)), near_(std::move(near)),
      far_(near_.get_executor()), outward_{near_, far_,
                                           asio::steady_timer(
                                               near_.get_executor())},
      homeward_{far_, near_, asio::steady_timer(near_.get_executor())}
{
}

void relay_connection::start(asio::ip::tcp::endpoint const& target)
{
    far_.async_connect(
        target,
        [self = shared_from_this()](std::error_code error)
        {
            if (error)
                return self->close();
            self->connected_ = true;
            std::error_code ignored;
            self->near_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->far_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->read(self->outward_);
            self->read(self->homeward_);
        });
}

void relay_connection::silence()
{
    silent_ = true;
    for (direction* way : {&outward_, &homeward_})
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
    near_.close(ignored);
    far_.close(ignored);
    outward_.timer.cancel();
    homeward_.timer.cancel();
}

void relay_connection::unblock()
{
    pump(outward_);
    pump(homeward_);
}

void relay_connection::read(direction& way)
{
    if (!connected_ || way.reading || way.ended || way.queued >= queue_limit ||
        !way.from.is_open())
        return;
    way.reading = true;
    way.from.async_read_some(asio::buffer(way.buffer),
                             [self = shared_from_this(),
                              &way](std::error_code error, std::size_t size)
                             { self->take(way, error, size); });
}

void relay_connection::take(direction& way, std::error_code error,
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
                      { self->wrote(way, error); });
}

void relay_connection::wrote(direction& way, std::error_code error)
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
    for (direction const* way : {&outward_, &homeward_})
    {
        if (!way->ended || way->writing || !way->chunks.empty())
            return;
    }
    close();
}

} // namespace mulberry::standins
