/// The request that a connection receives. Private to the HTTP server.
#ifndef MULBERRY_HTTP_REQUEST_RECEIPT_HPP
#define MULBERRY_HTTP_REQUEST_RECEIPT_HPP

#include "caller_memory.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

/// Collects the body of a request, and charges for the whole request before
/// its bytes are kept. Thread safety: none.
class request_receipt
{
public:
    /// `memory` may be null: nothing is charged. Both outlive this object, as
    /// far as memory_holder is concerned.
    request_receipt(caller_memory* memory, memory_holder& holder)
        : memory_(memory), holder_(holder)
    {
    }

    /// Expects another request. The functions that return bool return false if
    /// the bytes do not fit. `may_refuse`: otherwise they are charged without
    /// asking.
    bool begin(bool may_refuse);
    /// Bytes of the request line or of a field.
    bool add_head(std::size_t bytes, bool may_refuse);
    /// `length`: of the whole body, if it is known. Precondition: the body
    /// keeps to the server's limit, `largest`.
    bool add_body(std::string_view bytes, std::optional<std::uint64_t> length,
                  std::size_t largest, bool may_refuse);
    std::size_t body_size() const { return body_.size(); }
    /// A request was received in part.
    bool is_open() const { return open_; }

    /// Frees the body only; the rest of the request is discarded.
    void drop_body();
    /// Frees the request and its charge.
    void drop();
    /// The request is complete.
    std::string take_body();
    /// Precondition: take_body() was called. Null if nothing is charged.
    std::unique_ptr<request_memory> take_charge();

private:
    bool charge(std::size_t bytes, bool may_refuse);

    caller_memory* memory_;
    memory_holder& holder_;
    bool open_ = false;
    std::string body_;
    std::unique_ptr<request_memory> charge_;
};

} // namespace mulberry

#endif
