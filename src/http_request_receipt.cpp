#include "http_request_receipt.hpp"

#include "boot_clock.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

/// What a request takes beside its head and body while it is handled: its
/// state in the relay and its entries in tables.
constexpr std::size_t request_overhead_bytes = 8UL * 1024;
/// A head is held as received, as parsed and as encoded for a worker; a field
/// takes some bytes more than its text.
constexpr std::size_t head_copies = 4;
/// A body of which more than this was received is held in one block of its
/// final size, of which the part that is not written to takes no memory.
constexpr std::size_t large_body_bytes = 256UL * 1024;
constexpr std::size_t min_body_capacity = 4UL * 1024;

std::size_t next_capacity(std::size_t size, std::optional<std::uint64_t> length,
                          std::size_t largest)
{
    std::size_t const whole = std::min<std::uint64_t>(length.value_or(largest),
                                                      std::uint64_t{largest});
    if (length && size > large_body_bytes)
        return whole;
    return std::min(whole, std::max(2 * size, min_body_capacity));
}

} // namespace

bool request_receipt::begin(bool may_refuse)
{
    drop();
    open_ = true;
    return charge(request_overhead_bytes, may_refuse);
}

bool request_receipt::add_head(std::size_t bytes, bool may_refuse)
{
    return charge(head_copies * bytes, may_refuse);
}

/// A body without a length may come to fill its capacity with any next byte,
/// so that is charged. While a body moves to a larger block, it takes both;
/// that is one body at a time.
bool request_receipt::add_body(std::string_view bytes,
                               std::optional<std::uint64_t> length,
                               std::size_t largest, bool may_refuse)
{
    std::size_t const size = body_.size() + bytes.size();
    bool const grows = size > body_.capacity();
    std::size_t const capacity =
        grows ? next_capacity(size, length, largest) : body_.capacity();
    std::size_t const more = length  ? bytes.size()
                             : grows ? capacity - body_.capacity()
                                     : 0;
    if (!charge(more, may_refuse))
        return false;
    if (grows)
        body_.reserve(capacity);
    body_.append(bytes);
    return true;
}

bool request_receipt::charge(std::size_t bytes, bool may_refuse)
{
    if (memory_ == nullptr)
        return true;
    if (!charge_)
        charge_ = std::make_unique<request_memory>(*memory_, holder_);
    if (may_refuse)
        return charge_->grow(bytes, boot_clock::now());
    charge_->hold(bytes);
    return true;
}

void request_receipt::drop_body()
{
    std::string().swap(body_);
}

void request_receipt::drop()
{
    drop_body();
    charge_.reset();
    open_ = false;
}

std::string request_receipt::take_body()
{
    open_ = false;
    if (charge_)
        charge_->complete();
    return std::exchange(body_, {});
}

std::unique_ptr<request_memory> request_receipt::take_charge()
{
    return std::move(charge_);
}

} // namespace mulberry
