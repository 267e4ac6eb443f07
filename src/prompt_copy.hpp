/// Whether a worker may copy from another what that one keeps of a prompt.
#ifndef MULBERRY_PROMPT_COPY_HPP
#define MULBERRY_PROMPT_COPY_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <array>
#include <cstddef>
#include <string_view>

namespace mulberry
{

/// What a worker serves a model or an adapter with. Memory of a prompt was made
/// under these and is of use under no others. Value.
struct served_versions
{
    /// 0 where it is not known.
    weights_version weights;
    /// At least this one; 0 where nothing is known.
    adapter_version adapter;
    friend bool operator==(served_versions const&,
                           served_versions const&) = default;
};

/// The newest versions there are, and as of when they are known. Value.
struct newest_versions
{
    /// 0: none was declared or seen; the same for the adapter.
    weights_version weights;
    adapter_version adapter;
    friend bool operator==(newest_versions const&,
                           newest_versions const&) = default;
};

/// As of when this VM knows what the registry says. Value.
struct registry_moment
{
    /// Declared versions.
    time_point declarations{};
    /// The workers' entries: which lives there are and what they hold.
    time_point workers{};
    friend bool operator==(registry_moment const&,
                           registry_moment const&) = default;
};

enum class copy_verdict : std::size_t
{
    allowed,
    weights_unknown,
    weights_differ,
    /// One of the two may have another version of the adapter.
    adapter_differs,
    /// Another worker is listed at the source's address: one of the two is
    /// gone, and what is kept there may be the other's.
    address_shared,
    /// One of the two may have started again on newer weights by now.
    knowledge_too_old
};

inline constexpr std::array all_copy_verdicts{
    copy_verdict::allowed,        copy_verdict::weights_unknown,
    copy_verdict::weights_differ, copy_verdict::adapter_differs,
    copy_verdict::address_shared, copy_verdict::knowledge_too_old};

std::string_view to_string(copy_verdict verdict);

/// Failure: a worker goes on from memory that other weights made, and its
/// caller gets an answer that neither version would give. Workers take the
/// newest weights whenever they start again, so that two versions are in use
/// side by side, and a name says nothing of which a worker has.
///
/// Two workers with the newest weights have them through every start that
/// follows, until newer ones are declared; two with the same older ones while
/// their lives last. Either is known as of a moment only. A worker that has
/// started again since has newer weights no sooner than a load of them takes,
/// half of `load_time` where a copy is on its own disk; what is known holds for
/// so long, and a copy that may begin later is not made.
///
/// `begins_at` is when the reader is expected to begin. Pure; thread safety:
/// any thread.
copy_verdict judge_copy(served_versions const& source,
                        served_versions const& reader,
                        newest_versions const& newest,
                        registry_moment const& known_as_of, duration load_time,
                        time_point now, time_point begins_at);

} // namespace mulberry

#endif
