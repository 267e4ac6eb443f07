/// The messages that VMs send each other. Every message is a hint or part of
/// the exchange of a promise. Safety does not depend on the delivery of any
/// message: each may be lost, delayed or duplicated.
#ifndef MULBERRY_PEER_MESSAGE_HPP
#define MULBERRY_PEER_MESSAGE_HPP

#include "adapter_ref.hpp"
#include "cluster_view.hpp"
#include "ids.hpp"
#include "load_budget.hpp"
#include "time_point.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace mulberry
{

/// Reports the sender's workers and their load. Sent once per hint interval.
struct ownership_hint
{
    incarnation life;
    config_version configuration;
    /// Whether the sender accepts new work.
    bool takes_work = true;
    load_counts loads;
    /// The field as_of is not sent; the receiver sets it to its own time.
    std::vector<worker_view> workers;
};

/// Reports that a configuration of this version was confirmed, so that the
/// receiver reads the configuration's row at once.
struct configuration_hint
{
    config_version version;
};

/// Sent by a VM that cannot reach the table. Asks whether the receiver can
/// reach the table and, if it cannot, for a promise not to support a confirm
/// for a while, so that the sender may continue with version `configuration`.
struct outage_question
{
    /// Identifies the question; chosen by the sender and repeated in the
    /// answer.
    std::uint64_t number = 0;
    config_version configuration;
};

struct outage_answer
{
    std::uint64_t number = 0;
    incarnation life;
    /// Whether the promise is given.
    bool promised = false;
    /// How long the promise holds, counted by the VM that asked, from the
    /// moment at which it sent the question.
    duration holds_for{};
    config_version configuration;
};

/// Sent by a VM that is about to confirm a configuration. Asks whether the
/// receiver can read the table, and for a promise not to support other VMs in
/// continuing without the table for a while.
struct confirm_question
{
    std::uint64_t number = 0;
    config_version base;
};

struct confirm_answer
{
    std::uint64_t number = 0;
    incarnation life;
    bool promised = false;
    duration holds_for{};
};

using peer_message =
    std::variant<ownership_hint, configuration_hint, outage_question,
                 outage_answer, confirm_question, confirm_answer>;

} // namespace mulberry

#endif
