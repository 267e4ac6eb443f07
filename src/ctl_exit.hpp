/// The exit status of mulberryctl.
#ifndef MULBERRY_CTL_EXIT_HPP
#define MULBERRY_CTL_EXIT_HPP

namespace mulberry
{

/// Exit status; scripts rely on the values, which `mulberryctl --help` lists.
enum class ctl_exit : int
{
    ok = 0,
    /// The system refused: nothing was changed.
    refused = 1,
    bad_usage = 2,
    /// No VM could be reached, or none answered: nothing was changed.
    unreachable = 3,
    /// A file has faults.
    faults = 4,
    /// Whether the change took effect is not known (yet).
    outcome_unknown = 5
};

} // namespace mulberry

#endif
