#include "event_log.hpp"

#include <json/writer.h>

#include <algorithm>
#include <utility>

namespace mulberry
{

void log_fields::begin(std::string_view name)
{
    if (!text_.empty())
        text_ += ',';
    text_ += '"';
    text_ += name;
    text_ += "\":";
}

log_fields& log_fields::add(std::string_view name, std::string_view value)
{
    begin(name);
    text_ += Json::valueToQuotedString(std::string(value).c_str());
    return *this;
}

log_fields& log_fields::add(std::string_view name, std::int64_t value)
{
    begin(name);
    text_ += std::to_string(value);
    return *this;
}

log_fields& log_fields::add(std::string_view name, std::uint64_t value)
{
    begin(name);
    text_ += std::to_string(value);
    return *this;
}

log_fields& log_fields::add(std::string_view name, int value)
{
    return add(name, std::int64_t{value});
}

log_fields& log_fields::add(std::string_view name, duration value)
{
    return add(
        name,
        std::int64_t{
            std::chrono::floor<std::chrono::milliseconds>(value).count()});
}

event_log::event_log(std::string part, double lines_per_second, writer write)
    : part_(std::move(part)), rate_(lines_per_second), write_(std::move(write))
{
}

bool event_log::try_take(token_budget& from, time_point now)
{
    double const passed =
        std::chrono::duration<double>(now - from.filled_at).count();
    from.tokens = std::min(rate_, from.tokens + passed * rate_);
    from.filled_at = now;
    if (from.tokens < 1)
    {
        ++lines_left_out_;
        ++total_lines_left_out_;
        return false;
    }
    from.tokens -= 1;
    return true;
}

void event_log::write(log_level level, std::string_view event,
                      log_fields const& fields)
{
    if (lines_left_out_ == 0)
        return write_(level, part_, event, fields.str());
    log_fields with_count = fields;
    with_count.add("lines_left_out", std::exchange(lines_left_out_, 0));
    write_(level, part_, event, with_count.str());
}

void event_log::routine(std::string_view event, log_fields const& fields,
                        time_point now)
{
    if (try_take(routine_, now))
        write(log_level::info, event, fields);
}

void event_log::notable(std::string_view event, log_fields const& fields,
                        time_point now)
{
    if (try_take(notable_, now))
        write(log_level::warning, event, fields);
}

} // namespace mulberry
