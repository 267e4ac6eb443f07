#include "response_observer.hpp"

#include <utility>

namespace mulberry
{
namespace
{

/// Above the maximum size of any answer of the platform or a service. A larger
/// response counts as failed because its body is incomplete.
constexpr std::size_t max_response_bytes = 64UL * 1024 * 1024;

} // namespace

response_observer::response_observer(
    std::function<void(collected_response)> done)
    : done_(std::move(done))
{
}

void response_observer::on_status(int status, http_headers const& headers)
{
    response_.status = status;
    response_.headers = headers;
}

void response_observer::on_data(std::string_view data)
{
    if (response_.body.size() + data.size() > max_response_bytes)
        response_.failure = "the response exceeds the size limit";
    else
        response_.body.append(data);
}

void response_observer::on_end()
{
    if (!response_.failure.empty())
    {
        on_failure(call_stage::answering, response_.failure);
        return;
    }
    done_(std::move(response_));
}

void response_observer::on_failure(call_stage stage, std::string const& text)
{
    collected_response failed;
    failed.stage = stage;
    failed.failure = text;
    done_(std::move(failed));
}

} // namespace mulberry
