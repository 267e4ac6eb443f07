/// One TCP connection through a link: two sockets and the bytes between them.
#ifndef MULBERRY_RELAY_CONNECTION_HPP
#define MULBERRY_RELAY_CONNECTION_HPP

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace mulberry::standins
{

/// Network faults that apply to all connections of a link.
struct link_state
{
    bool blocked = false;
    std::chrono::milliseconds delay{0};
};

/// Only on the loop's thread.
class relay_connection : public std::enable_shared_from_this<relay_connection>
{
public:
    relay_connection(asio::ip::tcp::socket near,
                     std::shared_ptr<link_state const> state);
    /// Connects to the target and starts to relay bytes.
    void start(asio::ip::tcp::endpoint const& target);
    /// Drops all further bytes while both ends stay connected.
    void blackhole();
    void close();
    bool is_open() const { return client_socket_.is_open(); }
    /// Resumes relaying after `link_state::blocked` was reset.
    void unblock();

private:
    struct chunk
    {
        std::chrono::steady_clock::time_point due;
        /// Empty at the end of the stream.
        std::string bytes;
    };
    struct direction
    {
        asio::ip::tcp::socket& from;
        asio::ip::tcp::socket& to;
        asio::steady_timer timer;
        std::array<char, 16384> buffer{};
        std::deque<chunk> chunks{};
        std::size_t queued = 0;
        bool reading = false;
        bool writing = false;
        bool ended = false;
    };

    void read(direction& dir);
    void on_read(direction& dir, std::error_code error, std::size_t size);
    void pump(direction& dir);
    void write(direction& dir);
    void on_written(direction& dir, std::error_code error);
    void end(direction& dir, std::error_code error);
    void close_if_done();

    std::shared_ptr<link_state const> state_;
    asio::ip::tcp::socket client_socket_;
    asio::ip::tcp::socket target_socket_;
    direction to_target_;
    direction to_client_;
    bool connected_ = false;
    bool silent_ = false;
};

} // namespace mulberry::standins

#endif
