/// A worker's entry in the registry.
#ifndef MULBERRY_BACKEND_ENTRY_HPP
#define MULBERRY_BACKEND_ENTRY_HPP

#include "ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mulberry
{

/// A model that a worker has loaded, with the adapters loaded for it. Value.
struct held_model
{
    base_model_id model;
    std::map<adapter_id, adapter_version> adapters;
    /// Version of the model's weights.
    weights_version weights;
    friend bool operator==(held_model const&, held_model const&) = default;
};

/// One incarnation of a worker process. Immutable value.
struct backend_entry
{
    worker_id id;
    /// Distinguishes incarnations: a worker may restart under the same id.
    worker_start started;
    service_id service;
    software_version software;
    std::string address;
    std::uint16_t port = 0;
    domain_id domain;
    std::size_t slots = 1;
    /// The worker accepts no new requests and is about to shut down.
    bool draining = false;
    /// As of the worker's last heartbeat. May be stale, since a load or unload
    /// does not trigger a heartbeat.
    std::vector<held_model> models;
    friend bool operator==(backend_entry const&,
                           backend_entry const&) = default;
};

/// Returns the version of the weights that the worker lists for a model; 0 if
/// none is listed.
inline weights_version weights_of(backend_entry const& worker,
                                  base_model_id const& model)
{
    for (held_model const& held : worker.models)
        if (held.model == model)
            return held.weights;
    return {};
}

} // namespace mulberry

#endif
