/// A worker as the registry lists it.
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

/// One model that a worker holds, with the adapters beside it. Value.
struct held_model
{
    base_model_id model;
    std::map<adapter_id, adapter_version> adapters;
    /// Of the model itself.
    weights_version weights;
    friend bool operator==(held_model const&, held_model const&) = default;
};

/// One life of one worker process. Immutable value.
struct backend_entry
{
    worker_id id;
    /// A worker may start again under its id.
    worker_start started;
    service_id service;
    std::string address;
    std::uint16_t port = 0;
    domain_id domain;
    std::size_t slots = 1;
    /// Takes no new work and is about to leave.
    bool draining = false;
    /// As of its last heartbeat: a hint, since loads send none.
    std::vector<held_model> models;
    friend bool operator==(backend_entry const&,
                           backend_entry const&) = default;
};

/// The version of the weights that the worker lists for a model; 0 for none.
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
