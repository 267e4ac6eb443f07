/// A call to a worker that another VM makes for a VM that is cut off from the
/// workers.
///
///   POST /worker_call   Worker: ID
///                       Worker-Address: IP:PORT
///                       Request: ID
///                       From: VM
///                       Connect-Timeout-Ms: N
///                       Max-Idle-Ms: N
///                       body: the bytes to send to the worker
///   200                 chunked frames: the worker's answer, or how it failed
///   503                 body: a forward_refusal; nothing was sent
///
/// A frame is a type byte, the length of the content as four bytes, most
/// significant first, and the content. The last frame is an end or a failure;
/// an answer without one is incomplete.
#ifndef MULBERRY_FORWARDED_CALL_HPP
#define MULBERRY_FORWARDED_CALL_HPP

#include "backend_pool.hpp"
#include "ids.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

inline constexpr char const* forwarded_call_path = "/worker_call";

/// Value.
struct forwarded_call
{
    worker_id worker;
    backend_address to;
    /// The worker's answer names it; also for the logs of both VMs.
    request_id request;
    vm_id from;
    exchange_options options;
    /// The request for the worker.
    outgoing_request outgoing;
    friend bool operator==(forwarded_call const&,
                           forwarded_call const&) = default;
};

/// Returns the request to the VM at `host`.
outgoing_request encode_forwarded_call(forwarded_call const& call,
                                       std::string const& host);
/// Returns nullopt if a field is missing or malformed.
std::optional<forwarded_call> decode_forwarded_call(http_request received);

std::string encode_head_frame(int status, http_headers const& headers);
std::string encode_body_frame(std::string_view bytes);
/// `framed` as in exchange_observer::on_end().
std::string encode_end_frame(bool framed);
std::string encode_failure_frame(call_stage stage, std::string_view reason);

/// Reads frames and passes on the events that they stand for. Thread safety:
/// none.
class answer_frame_reader
{
public:
    /// Reads bytes of the answer. The observer may destroy this object, or
    /// call stop(), within the call. Returns false if the bytes are malformed
    /// or follow the last frame.
    bool feed(std::string_view bytes, exchange_observer& observer);
    /// No further events are passed on.
    void stop() { stopped_ = true; }
    /// Whether the last frame was read.
    bool is_complete() const { return complete_; }
    bool has_head() const { return has_head_; }

private:
    bool read_frame(char type, std::string_view content,
                    exchange_observer& observer);

    std::string buffer_;
    bool has_head_ = false;
    bool complete_ = false;
    bool stopped_ = false;
};

} // namespace mulberry

#endif
