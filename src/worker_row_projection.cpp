#include "worker_row_projection.hpp"

#include <fmt/format.h>

namespace mulberry
{

std::string project_worker_row(relay_codec const& codec, stored_row const& row)
{
    std::string fault;
    auto const entry = codec.decode_backend(row.key, row.value, fault);
    if (!entry)
        return row.value;
    std::string text = fmt::format(
        "{} {}:{} {} {} {} {} {}", entry->service.str(), entry->address,
        entry->port, entry->domain.str(), entry->slots, entry->draining,
        entry->started.value(), entry->software.str());
    for (held_model const& held : entry->models)
        text += fmt::format(" {}@{}", held.model.str(), held.weights.value());
    return text;
}

} // namespace mulberry
