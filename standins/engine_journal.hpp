/// Records the events of one worker in the engine's history and counts the
/// requests in flight for each adapter.
#ifndef MULBERRY_ENGINE_JOURNAL_HPP
#define MULBERRY_ENGINE_JOURNAL_HPP

#include "event_log.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace mulberry::standins
{

/// A request to a worker, as recorded in the history.
struct engine_call
{
    std::string request;
    /// The engine name of the adapter.
    std::string name;
    std::uint64_t fence = 0;
};

/// Not thread safe.
class engine_journal
{
public:
    engine_journal(event_log& history, std::string_view worker);
    void record(std::string_view kind, engine_call const& call);
    /// Counts a request in flight for the engine name.
    void enter(std::string const& name) { ++in_flight_[name]; }
    std::size_t in_flight(std::string const& name) const;
    /// Ends the count of a request. Precondition: enter() was called for it.
    void leave(std::string const& name);

private:
    event_log& history_;
    /// The worker's name as a JSON string.
    std::string worker_;
    std::map<std::string, std::size_t> in_flight_;
};

} // namespace mulberry::standins

#endif
