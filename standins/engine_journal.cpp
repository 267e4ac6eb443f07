#include "engine_journal.hpp"

#include "json_text.hpp"

#include <fmt/format.h>

#include <chrono>

namespace mulberry::standins
{

engine_journal::engine_journal(event_log& history, std::string_view worker)
    : history_(history), worker_(quoted(worker))
{
}

void engine_journal::record(std::string_view kind, engine_call const& call)
{
    auto const at = std::chrono::system_clock::now().time_since_epoch();
    history_.append(fmt::format(
        R"("at_ms":{},"worker":{},"kind":"{}","request":{},"name":{},)"
        R"("in_flight":{},"fence":{})",
        std::chrono::duration_cast<std::chrono::milliseconds>(at).count(),
        worker_, kind, quoted(call.request), quoted(call.name),
        in_flight(call.name), call.fence));
}

void engine_journal::leave(std::string const& name)
{
    auto const found = in_flight_.find(name);
    if (--found->second == 0)
        in_flight_.erase(found);
}

std::size_t engine_journal::in_flight(std::string const& name) const
{
    auto const found = in_flight_.find(name);
    return found == in_flight_.end() ? 0 : found->second;
}

} // namespace mulberry::standins
