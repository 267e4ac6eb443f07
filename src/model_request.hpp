/// A caller's inference request to one adapter version.
#ifndef MULBERRY_MODEL_REQUEST_HPP
#define MULBERRY_MODEL_REQUEST_HPP

#include "adapter_ref.hpp"
#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace mulberry
{

enum class model_endpoint
{
    completions,
    chat
};

inline constexpr int min_priority = 0;
inline constexpr int default_priority = 5;
inline constexpr int max_priority = 9;

/// Immutable once made; cheap to copy (the body is shared).
struct model_request
{
    request_id id;
    adapter_ref adapter;
    base_model_id base_model;
    application_id application;
    model_endpoint endpoint = model_endpoint::completions;
    /// Whether the caller asked for a streamed answer. Engines always stream.
    bool streamed = false;
    int priority = default_priority;
    time_point arrived{};
    time_point deadline = never;
    /// Hash of the prompt's prefix; requests with equal keys share a cached
    /// prefix. 0 if there is none.
    std::uint64_t prefix_key = 0;
    std::size_t max_tokens = 16;
    /// The caller's validated JSON body; `model` is replaced when the request
    /// is sent to an engine.
    std::shared_ptr<std::string const> body;
};

} // namespace mulberry

#endif
