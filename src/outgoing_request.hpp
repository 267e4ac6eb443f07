/// A complete HTTP request that is sent to a worker or another VM.
#ifndef MULBERRY_OUTGOING_REQUEST_HPP
#define MULBERRY_OUTGOING_REQUEST_HPP

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace mulberry
{

/// The body is shared: it may be megabytes, and each send of a request would
/// hold a copy of its own. Value.
struct outgoing_request
{
    outgoing_request() = default;
    /// `text`: the whole request, or its head if a body follows.
    outgoing_request(std::string text,
                     std::shared_ptr<std::string const> following = nullptr)
        : head(std::move(text)), body(std::move(following))
    {
    }

    outgoing_request(char const* text) : head(text) {}

    std::size_t body_size() const { return body ? body->size() : 0; }
    std::size_t size() const { return head.size() + body_size(); }

    friend bool operator==(outgoing_request const& a, outgoing_request const& b)
    {
        return a.head == b.head && a.body_size() == b.body_size() &&
               (a.body_size() == 0 || *a.body == *b.body);
    }

    std::string head;
    /// Null if nothing follows the head.
    std::shared_ptr<std::string const> body;
};

} // namespace mulberry

#endif
