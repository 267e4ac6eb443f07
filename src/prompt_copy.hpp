/// Decides whether a worker may copy the KV cache of a prompt from another
/// worker.
#ifndef MULBERRY_PROMPT_COPY_HPP
#define MULBERRY_PROMPT_COPY_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <array>
#include <cstddef>
#include <string_view>

namespace mulberry
{

/// The versions with which a worker serves a model or an adapter. The KV cache
/// of a prompt is valid only under the versions that computed it. Value.
struct served_versions
{
    /// 0 if unknown.
    weights_version weights;
    /// A lower bound; 0 if unknown.
    adapter_version adapter;
    friend bool operator==(served_versions const&,
                           served_versions const&) = default;
};

/// The newest known versions. Value.
struct newest_versions
{
    /// 0 if none was declared or seen; the same holds for `adapter`.
    weights_version weights;
    adapter_version adapter;
    friend bool operator==(newest_versions const&,
                           newest_versions const&) = default;
};

/// The times as of which this VM knows the registry's content. Value.
struct registry_timestamps
{
    /// Of the declared versions.
    time_point declarations{};
    /// Of the workers' entries: which incarnations exist and what each holds.
    time_point workers{};
    friend bool operator==(registry_timestamps const&,
                           registry_timestamps const&) = default;
};

enum class copy_decision : std::size_t
{
    allowed,
    weights_unknown,
    weights_differ,
    /// One of the two workers may have another version of the adapter.
    adapter_differs,
    /// Another worker is listed at the source's address: one of these two is
    /// gone, and the KV cache at the address may be the other worker's.
    address_shared,
    /// One of the two workers may have restarted on newer weights by now.
    registry_data_too_old
};

inline constexpr std::array all_copy_decisions{
    copy_decision::allowed,        copy_decision::weights_unknown,
    copy_decision::weights_differ, copy_decision::adapter_differs,
    copy_decision::address_shared, copy_decision::registry_data_too_old};

std::string_view to_string(copy_decision decision);

/// Decides whether `reader` may copy the KV cache of a prompt from `source`.
/// Failure: a worker continues from a KV cache that other weights computed, and
/// the caller gets an answer that neither version would give. Workers load the
/// newest weights whenever they restart, so that two versions are in use side
/// by side, and the model's name does not show which version a worker has.
///
/// Two workers with the newest weights keep these through every restart until
/// newer weights are declared; two workers with the same older weights keep
/// these while their incarnations last. Either fact is known only as of
/// `known_as_of`. A worker that has restarted since then can serve newer
/// weights only after loading these, which takes at least half of `load_time`
/// if a copy is on its own disk. The known facts are therefore valid for that
/// long, and a copy that may begin later is refused.
///
/// `load_time` is the time of a load from the weight store, `begins_at` the
/// time at which the reader is expected to begin. Pure. Thread safety: any
/// thread.
copy_decision decide_prompt_copy(served_versions const& source,
                                 served_versions const& reader,
                                 newest_versions const& newest,
                                 registry_timestamps const& known_as_of,
                                 duration load_time, time_point now,
                                 time_point begins_at);

} // namespace mulberry

#endif
