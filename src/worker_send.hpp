/// One send of a caller's request to a worker.
#ifndef MULBERRY_WORKER_SEND_HPP
#define MULBERRY_WORKER_SEND_HPP

#include "backend_entry.hpp"
#include "backend_pool.hpp"
#include "event_splitter.hpp"
#include "ids.hpp"
#include "relay_codec.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace mulberry
{

/// A send and what has arrived of its answer. Thread safety: none.
struct worker_send
{
    /// Distinguishes the sends of a request; 0 once the send has ended.
    std::uint64_t number = 0;
    /// The ticket under which the scheduler accounts for the send.
    ticket_id ticket;
    /// The registry entry as of the send.
    backend_entry worker;
    std::shared_ptr<backend_exchange> call;
    /// Not known if another VM makes the call.
    connection_place place;
    time_point sent_at{};
    /// The send is a retry that the service's budget was charged for.
    bool is_retry = false;
    std::string placement_reason;
    /// When the head or the last bytes of the answer arrived.
    time_point last_byte_at{};
    worker_reply reply;
    http_headers headers;
    /// The answer is complete and was not delimited only by the end of its
    /// connection.
    bool is_framed = false;
    /// The answer is a stream that is passed on.
    bool streams = false;
    /// The stream of a send that is kept while another one is the current send.
    event_splitter events;
};

} // namespace mulberry

#endif
