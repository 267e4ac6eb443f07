#include "prompt_copy.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// The shortest load after a restart, from a copy of the weights on the
/// worker's own disk together with the adapter and prompt that follow, is taken
/// to need this fraction (one half) of a load from the weight store.
constexpr int min_load_time_divisor = 2;

} // namespace

std::string_view to_string(copy_decision decision)
{
    switch (decision)
    {
    case copy_decision::allowed:
        return "allowed";
    case copy_decision::weights_unknown:
        return "weights unknown";
    case copy_decision::weights_differ:
        return "weights differ";
    case copy_decision::adapter_differs:
        return "adapter differs";
    case copy_decision::address_shared:
        return "address shared";
    case copy_decision::registry_data_too_old:
        return "knowledge too old";
    }
    return "weights unknown";
}

copy_decision decide_prompt_copy(served_versions const& source,
                                 served_versions const& reader,
                                 newest_versions const& newest,
                                 registry_timestamps const& known_as_of,
                                 duration load_time, time_point now,
                                 time_point begins_at)
{
    weights_version const unknown;
    if (source.weights == unknown || reader.weights == unknown)
        return copy_decision::weights_unknown;
    if (source.weights != reader.weights)
        return copy_decision::weights_differ;
    if (std::min(source.adapter, reader.adapter) < newest.adapter)
        return copy_decision::adapter_differs;
    duration const valid_for = load_time / min_load_time_divisor;
    bool const both_newest = source.weights >= newest.weights &&
                             now < known_as_of.declarations + valid_for;
    bool const same_incarnations =
        std::max(now, begins_at) < known_as_of.workers + valid_for;
    return both_newest || same_incarnations
               ? copy_decision::allowed
               : copy_decision::registry_data_too_old;
}

} // namespace mulberry
