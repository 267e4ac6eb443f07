/// Plain TCP sockets for tests whose peer violates HTTP.
#ifndef MULBERRY_RAW_SOCKET_HPP
#define MULBERRY_RAW_SOCKET_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace mulberry
{

/// One connected or listening socket on the loopback address. Reads time out
/// after 20 seconds, so that a test fails instead of hanging.
class raw_socket
{
public:
    explicit raw_socket(int descriptor) : descriptor_(descriptor)
    {
        if (descriptor_ < 0)
            throw std::runtime_error("cannot create or accept a socket");
        limit_reads(20000);
    }
    raw_socket(raw_socket&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
    {
    }
    raw_socket& operator=(raw_socket&& other) noexcept
    {
        std::swap(descriptor_, other.descriptor_);
        return *this;
    }
    ~raw_socket() { close(); }

    static raw_socket unconnected()
    {
        return raw_socket(::socket(AF_INET, SOCK_STREAM, 0));
    }

    static raw_socket connected(std::uint16_t port)
    {
        raw_socket result = unconnected();
        result.connect(port);
        return result;
    }

    void connect(std::uint16_t port) const
    {
        sockaddr_in const address = loopback(port);
        if (::connect(descriptor_, as_sockaddr(address), sizeof address) != 0)
            throw std::runtime_error("cannot connect");
    }

    static raw_socket listening()
    {
        raw_socket result = unconnected();
        sockaddr_in const address = loopback(0);
        if (::bind(result.descriptor_, as_sockaddr(address), sizeof address) !=
                0 ||
            ::listen(result.descriptor_, 16) != 0)
            throw std::runtime_error("cannot listen");
        return result;
    }

    raw_socket accepted() const
    {
        return raw_socket(::accept(descriptor_, nullptr, nullptr));
    }

    std::uint16_t port() const
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address),
                      &size);
        return ntohs(address.sin_port);
    }

    void limit_reads(int milliseconds) const
    {
        timeval const timeout{milliseconds / 1000, milliseconds % 1000 * 1000};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout,
                     sizeof timeout);
    }

    void send(std::string const& text) const { try_send(text); }

    /// Returns false if the peer has closed the connection before it took all
    /// bytes.
    bool try_send(std::string const& text) const
    {
        std::size_t sent = 0;
        while (sent < text.size())
        {
            ssize_t const count = ::send(descriptor_, text.data() + sent,
                                         text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Sends that take longer than this fail.
    void limit_sends(int milliseconds) const
    {
        timeval const timeout{milliseconds / 1000, milliseconds % 1000 * 1000};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &timeout,
                     sizeof timeout);
    }

    /// Sends a part of the text within the limit of limit_sends(). Returns how
    /// many bytes the peer took; nullopt if it has closed the connection.
    std::optional<std::size_t> send_some(std::string_view text) const
    {
        ssize_t const count =
            ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
        if (count > 0)
            return static_cast<std::size_t>(count);
        if (errno == EAGAIN || errno == EWOULDBLOCK)
            return 0;
        return std::nullopt;
    }

    /// Whether the socket becomes readable, or has a connection to accept,
    /// within this time.
    bool ready(int milliseconds) const
    {
        pollfd entry{descriptor_, POLLIN, 0};
        return ::poll(&entry, 1, milliseconds) > 0;
    }

    /// Waits up to 20 seconds until either socket is readable. Returns whether
    /// `a` is readable.
    static bool first_ready(raw_socket const& a, raw_socket const& b)
    {
        pollfd entries[] = {{a.descriptor_, POLLIN, 0},
                            {b.descriptor_, POLLIN, 0}};
        ::poll(entries, 2, 20000);
        return entries[0].revents != 0;
    }

    /// Reads some bytes; empty at the end of the stream, after a reset and at
    /// the timeout.
    std::string read_some() const
    {
        std::string buffer(65536, '\0');
        ssize_t const count =
            ::recv(descriptor_, buffer.data(), buffer.size(), 0);
        buffer.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return buffer;
    }

    /// Reads up to and including `end`, or up to the end of the stream.
    std::string read_until(std::string const& end) const
    {
        std::string text;
        std::size_t searched = 0;
        while (text.find(end, searched) == std::string::npos)
        {
            searched = text.size() - std::min(text.size(), end.size());
            std::string const piece = read_some();
            if (piece.empty())
                break;
            text += piece;
        }
        return text;
    }

    /// Reads up to the end of the stream.
    std::string read_all() const { return read_until(std::string(1, '\1')); }

    void shutdown_send() const { ::shutdown(descriptor_, SHUT_WR); }

    /// Closes the connection so that the peer sees a reset.
    void reset()
    {
        linger const at_once{1, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once,
                     sizeof at_once);
        close();
    }

    void close()
    {
        if (descriptor_ >= 0)
            ::close(std::exchange(descriptor_, -1));
    }

private:
    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }
    static sockaddr const* as_sockaddr(sockaddr_in const& address)
    {
        return reinterpret_cast<sockaddr const*>(&address);
    }

    int descriptor_;
};

inline constexpr char const* end_of_headers = "\r\n\r\n";

} // namespace mulberry

#endif
