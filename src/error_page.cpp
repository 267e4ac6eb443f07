#include "error_page.hpp"

#include "json_text.hpp"
#include "peer_codec.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

constexpr duration default_retry_after = std::chrono::seconds(1);

std::string round_up_to_seconds(duration span)
{
    auto const up = std::chrono::ceil<std::chrono::seconds>(span).count();
    return std::to_string(std::max<long long>(up, 1));
}

} // namespace

std::string error_text(error const& what, std::string const& request)
{
    Json::Value body;
    body["error"] = error_json(what, request);
    return to_text(body);
}

http_response error_page(error const& what, std::string const& request)
{
    error_answer const& row = answer_of(what.kind());
    http_response page =
        json_response(row.http_status, error_text(what, request));
    if (!request.empty())
        page.headers.add("X-Request-Id", request);
    if (what.retry_after() || row.retry_helps)
        page.headers.add("Retry-After",
                         round_up_to_seconds(
                             what.retry_after().value_or(default_retry_after)));
    return page;
}

http_response server_error_page(int status)
{
    error const what = server_error(status);
    http_response page = error_page(what, "");
    page.status = status;
    return page;
}

} // namespace mulberry
