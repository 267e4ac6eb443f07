/// Bounds the bytes that a VM holds for its callers.
#ifndef MULBERRY_CALLER_MEMORY_HPP
#define MULBERRY_CALLER_MEMORY_HPP

#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace mulberry
{

class request_memory;

/// Holds the bytes of a request that is being received.
class memory_holder
{
public:
    virtual ~memory_holder() = default;
    /// Frees the bytes of the request, which will not be handled, before the
    /// call returns. Called within calls of other objects of caller_memory;
    /// must not use caller_memory itself.
    virtual void yield_request() = 0;
};

/// Decisions since the start; they never decrease. Value.
struct caller_memory_counts
{
    /// Requests that were refused because no other request yielded.
    std::uint64_t refused = 0;
    /// Requests that yielded while they were being received.
    std::uint64_t yielded = 0;
    friend bool operator==(caller_memory_counts const&,
                           caller_memory_counts const&) = default;
};

/// Load: many callers send bodies of the largest size, and most stop just
/// short of the end and stay connected. Each keeps to its limits; together they
/// exceed the VM's memory, and the process is killed with every request in it.
///
/// One capacity covers connections, requests and answers. Bytes are charged
/// before they are taken in; what does not fit is refused.
///
/// - Connections of callers may take half of the capacity.
/// - A request may hold no more than what is left behind it (a dynamic
///   threshold, as in answer_memory), unless it is the only one. So requests
///   that are complete, and cannot yield, leave room for others.
/// - If a request does not fit, another one that is still being received
///   yields: the largest that has made no progress for `stall_time`, or else
///   the largest, if that is larger than the one that asks. So small requests
///   get room while large ones are being received.
///
/// Thread safety: none. Pure: no I/O, no clock.
class caller_memory
{
public:
    static constexpr duration stall_time = std::chrono::seconds(1);

    /// `capacity` in bytes; nullopt: everything fits.
    explicit caller_memory(std::optional<std::size_t> capacity = std::nullopt)
        : capacity_(capacity)
    {
    }
    caller_memory(caller_memory const&) = delete;
    caller_memory& operator=(caller_memory const&) = delete;

    /// Sets what returns the bytes held of answers. Empty: none.
    void set_answers(std::function<std::size_t()> held)
    {
        answers_ = std::move(held);
    }

    std::optional<std::size_t> capacity() const { return capacity_; }
    /// Bytes charged for connections of callers, for connections to workers
    /// and for requests.
    std::size_t connections() const { return connections_; }
    std::size_t worker_connections() const { return worker_connections_; }
    std::size_t requests() const { return requests_; }
    /// Bytes held for callers.
    std::size_t held() const;
    /// Bytes that may still be taken in; nullopt: any number.
    std::optional<std::size_t> left() const;
    caller_memory_counts counts() const { return counts_; }

private:
    friend class connection_memory;
    friend class request_memory;

    bool connection_fits(std::size_t bytes) const;
    /// `own`: what the request that asks holds already.
    bool request_fits(std::size_t own, std::size_t bytes) const;
    /// Makes a request other than `asking` yield in favor of one with `size`
    /// bytes. Returns false if none does.
    bool make_room(request_memory const* asking, std::size_t size,
                   time_point now);

    std::optional<std::size_t> const capacity_;
    std::function<std::size_t()> answers_;
    std::size_t connections_ = 0;
    std::size_t worker_connections_ = 0;
    std::size_t requests_ = 0;
    /// Requests that may yield, in order of arrival.
    std::map<std::uint64_t, request_memory*> receiving_;
    std::uint64_t last_number_ = 0;
    caller_memory_counts counts_;
};

/// The charge for one connection: its buffers, those of the kernel included.
/// The caller_memory outlives this object.
class connection_memory
{
public:
    /// Charges nothing.
    connection_memory() = default;
    connection_memory(connection_memory&& other) noexcept;
    connection_memory& operator=(connection_memory&& other) noexcept;
    ~connection_memory() { release(); }

    /// Charges a connection of a caller. Returns false if it does not fit.
    /// Precondition: nothing is charged.
    bool reserve(caller_memory& memory, std::size_t bytes, time_point now);
    /// Charges a connection to a worker, which carries requests that were
    /// accepted; never refused. Precondition: nothing is charged.
    void hold_for_worker(caller_memory& memory, std::size_t bytes);
    void release();

private:
    /// The sum that is charged; null if nothing is.
    std::size_t* sum_ = nullptr;
    std::size_t bytes_ = 0;
};

/// The charge for one request. The caller_memory and the holder outlive this
/// object, the holder at least until complete().
class request_memory
{
public:
    request_memory(caller_memory& memory, memory_holder& holder)
        : memory_(memory), holder_(holder)
    {
    }
    ~request_memory();
    request_memory(request_memory const&) = delete;
    request_memory& operator=(request_memory const&) = delete;

    /// Charges bytes that are about to be taken in; other requests may yield.
    /// Returns false if they do not fit. From the first call on, the request
    /// may yield itself, until complete().
    bool grow(std::size_t bytes, time_point now);
    /// Charges bytes that were taken in together with an earlier request.
    void hold(std::size_t bytes);
    /// The request was received completely and yields no more.
    void complete();
    std::size_t bytes() const { return bytes_; }

private:
    friend class caller_memory;

    void yield();

    caller_memory& memory_;
    memory_holder& holder_;
    std::size_t bytes_ = 0;
    time_point last_progress_{};
    /// The key in caller_memory::receiving_, if the request may yield.
    std::optional<std::uint64_t> number_;
};

} // namespace mulberry

#endif
