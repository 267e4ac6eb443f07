#include "prompt_copy.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

/// The shortest load after a restart, from a copy of the weights on the
/// worker's own disk together with the adapter and prompt that follow, is taken
/// to need this fraction (one half) of a load from the weight store.
constexpr int shortest_load_part = 2;

} // namespace

std::string_view to_string(copy_verdict verdict)
{
    switch (verdict)
    {
    case copy_verdict::allowed:
        return "allowed";
    case copy_verdict::weights_unknown:
        return "weights unknown";
    case copy_verdict::weights_differ:
        return "weights differ";
    case copy_verdict::adapter_differs:
        return "adapter differs";
    case copy_verdict::address_shared:
        return "address shared";
    case copy_verdict::knowledge_too_old:
        return "knowledge too old";
    }
    return "weights unknown";
}

copy_verdict judge_copy(served_versions const& source,
                        served_versions const& reader,
                        newest_versions const& newest,
                        registry_moment const& known_as_of, duration load_time,
                        time_point now, time_point begins_at)
{
    weights_version const unknown;
    if (source.weights == unknown || reader.weights == unknown)
        return copy_verdict::weights_unknown;
    if (source.weights != reader.weights)
        return copy_verdict::weights_differ;
    if (std::min(source.adapter, reader.adapter) < newest.adapter)
        return copy_verdict::adapter_differs;
    duration const valid_for = load_time / shortest_load_part;
    bool const newest_yet = source.weights >= newest.weights &&
                            now < known_as_of.declarations + valid_for;
    bool const same_lives =
        std::max(now, begins_at) < known_as_of.workers + valid_for;
    return newest_yet || same_lives ? copy_verdict::allowed
                                    : copy_verdict::knowledge_too_old;
}

} // namespace mulberry
