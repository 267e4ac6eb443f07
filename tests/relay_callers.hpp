/// Test doubles of a caller's connection and of the wire codec, for tests of
/// one relay.
#ifndef MULBERRY_TESTS_RELAY_CALLERS_HPP
#define MULBERRY_TESTS_RELAY_CALLERS_HPP

#include "http_server.hpp"
#include "relay_codec.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace mulberry_test
{

using namespace mulberry;

/// Decodes only the path of a request; requests cannot be sent to workers.
class plain_codec : public relay_codec
{
public:
    relay_request decode_request(http_request received) const override
    {
        relay_request request;
        request.host = "host";
        request.path = received.path;
        request.time_left = std::chrono::seconds(40);
        return request;
    }
    std::string encode_head(relay_request const&,
                            forward_options const&) const override
    {
        return {};
    }
    std::string request_id_field() const override { return "Id"; }
    worker_reply decode_reply(int, http_headers const&,
                              relay_request const&) const override
    {
        return {};
    }
    tolerance_statement decode_tolerance(http_headers const&) const override
    {
        return {};
    }
    limit_statement decode_limit(http_headers const&) const override
    {
        return {};
    }
    http_headers answer_headers(http_headers const& received) const override
    {
        return received;
    }
    http_response error_response(relay_request const&,
                                 error const& problem) const override
    {
        http_response response{503, {}, problem.text()};
        response.headers.add(
            "Retry-After",
            std::to_string(std::chrono::duration<double>(
                               problem.retry_after().value_or(duration(0)))
                               .count()));
        return response;
    }
    std::string encode_order(worker_order const&,
                             request_id const&) const override
    {
        return {};
    }
    order_outcome decode_order_reply(int) const override
    {
        return order_outcome::unknown;
    }
    int order_status(order_outcome) const override { return 200; }
    std::string encode_report_request() const override { return {}; }
    std::optional<worker_report>
    decode_report(std::string const&) const override
    {
        return std::nullopt;
    }
    std::optional<routing_config> decode_config(std::string const&,
                                                std::string&) const override
    {
        return std::nullopt;
    }
    std::optional<backend_entry> decode_backend(std::string const&,
                                                std::string const&,
                                                std::string&) const override
    {
        return std::nullopt;
    }
    std::optional<adapter_release> decode_release(std::string const&,
                                                  std::string&) const override
    {
        return std::nullopt;
    }
    bool is_readiness_query(http_request const&) const override
    {
        return false;
    }
};

/// Records the response that the relay gives.
struct recorded_answer final : http_answer
{
    void respond(http_response given) override { response = std::move(given); }
    void start_stream(int, http_headers) override {}
    void write(std::string) override {}
    void finish() override {}
    void abort() override {}
    void on_closed(std::function<void()> callback) override
    {
        closed = std::move(callback);
    }
    std::size_t unsent_bytes() const override { return 0; }

    std::optional<http_response> response;
    std::function<void()> closed;
};

} // namespace mulberry_test

#endif
