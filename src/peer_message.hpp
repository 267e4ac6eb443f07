/// What the system's VMs tell each other. Every message is a hint or a
/// promise; none is needed for safety to hold, and any may be lost, late or
/// repeated.
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

/// "Here is what I own and how busy it is", at each hint interval.
struct ownership_hint
{
    incarnation life;
    config_version configuration;
    /// Whether the sender takes new work.
    bool takes_work = true;
    load_counts loads;
    /// as_of is not sent; the receiver stamps its own time.
    std::vector<worker_view> workers;
};

/// "A configuration of this version was confirmed: read the row now."
struct configuration_hint
{
    config_version version;
};

/// "I cannot reach the table. Can you? If not, promise for a while not to help
/// a confirm, so that I may go on with version `configuration`."
struct outage_question
{
    /// Chosen by the sender; the answer repeats it.
    std::uint64_t number = 0;
    config_version configuration;
};

struct outage_answer
{
    std::uint64_t number = 0;
    incarnation life;
    /// Whether the promise is given.
    bool promised = false;
    /// Measured by the response writer from the moment it asked.
    duration holds_for{};
    config_version configuration;
};

/// "I am about to confirm a configuration. Can you read the table, and do you
/// promise for a while not to support going on without it?"
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
