/// Collects a complete HTTP response and passes it to a callback.
#ifndef MULBERRY_RESPONSE_OBSERVER_HPP
#define MULBERRY_RESPONSE_OBSERVER_HPP

#include "http_client.hpp"

#include <cstddef>
#include <functional>
#include <string>

namespace mulberry
{

/// The result of a call. If `status` is 0, the call failed at `stage` and
/// `failure` says why; otherwise the response is complete.
struct collected_response
{
    int status = 0;
    http_headers headers;
    std::string body;
    call_stage stage = call_stage::not_sent;
    std::string failure;
};

/// Calls `done` once, with the response or the failure.
///
/// Thread safety: used on the HTTP client's thread only; `done` runs there.
class response_observer : public http_call_observer
{
public:
    explicit response_observer(std::function<void(collected_response)> done);

    void on_status(int status, http_headers const& headers) override;
    void on_data(std::string_view data) override;
    void on_end() override;
    void on_failure(call_stage stage, std::string const& text) override;

private:
    std::function<void(collected_response)> done_;
    collected_response response_;
};

} // namespace mulberry

#endif
