/// Conversion between the relay's types and the wire formats. Implementations
/// make no decisions.
#ifndef MULBERRY_RELAY_CODEC_HPP
#define MULBERRY_RELAY_CODEC_HPP

#include "backend_entry.hpp"
#include "error_kind.hpp"
#include "relay_request.hpp"
#include "routing_config.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

/// A declared version of an adapter.
struct adapter_release
{
    model_target target;
    adapter_version version;
    friend bool operator==(adapter_release const&,
                           adapter_release const&) = default;
};

/// Stateless. Thread safety: const calls from any thread.
class relay_codec
{
public:
    virtual ~relay_codec() = default;

    virtual relay_request decode_request(http_request received) const = 0;
    /// Returns the head of the HTTP request to send to a worker. The request's
    /// body follows it.
    virtual std::string encode_head(relay_request const& request,
                                    forward_options const& terms) const = 0;
    /// Header field by which a worker's answer names its request.
    virtual std::string request_id_field() const = 0;
    virtual worker_reply decode_reply(int status, http_headers const& headers,
                                      relay_request const& request) const = 0;
    /// Reads the limit that an answer to any call of a worker names. Of several
    /// limits the lowest counts.
    virtual limit_statement decode_limit(http_headers const& headers) const = 0;
    /// Reads the number of rejections that an answer to any call states the
    /// worker to tolerate. Of several the lowest counts.
    virtual tolerance_statement
    decode_tolerance(http_headers const& headers) const = 0;
    /// Returns the header fields of a worker's answer that are forwarded to the
    /// caller.
    virtual http_headers answer_headers(http_headers const& received) const = 0;
    /// Returns the error response to a request that the relay itself rejects or
    /// gives up.
    virtual http_response error_response(relay_request const& request,
                                         error const& problem) const = 0;

    /// Returns a complete HTTP request, which bears the id `call`.
    virtual std::string encode_order(worker_order const& order,
                                     request_id const& call) const = 0;
    virtual order_outcome decode_order_reply(int status) const = 0;
    /// The status that decode_order_reply() takes for the outcome.
    /// Precondition: the outcome is one that a worker states.
    virtual int order_status(order_outcome outcome) const = 0;
    /// Returns a complete HTTP request. It bears no id: a worker of a plain
    /// service would run it as a request.
    virtual std::string encode_report_request() const = 0;
    virtual std::optional<worker_report>
    decode_report(std::string const& body) const = 0;

    /// The following decoders return nullopt and set `fault` to the reason if
    /// the text is malformed.
    virtual std::optional<routing_config>
    decode_config(std::string const& text, std::string& fault) const = 0;
    virtual std::optional<backend_entry>
    decode_backend(std::string const& id, std::string const& text,
                   std::string& fault) const = 0;
    virtual std::optional<adapter_release>
    decode_release(std::string const& text, std::string& fault) const = 0;

    /// Whether the request is a readiness probe: does this VM accept new
    /// connections?
    virtual bool is_readiness_query(http_request const& request) const = 0;
};

} // namespace mulberry

#endif
