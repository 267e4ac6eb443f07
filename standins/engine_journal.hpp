/// What one worker tells of itself in the engine's history.
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

/// Who asked for what.
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
    /// Counts a request in flight under that name.
    void enter(std::string const& name) { ++in_flight_[name]; }
    std::size_t in_flight(std::string const& name) const;
    /// Precondition: it was counted.
    void leave(std::string const& name);

private:
    event_log& history_;
    /// Quoted.
    std::string worker_;
    std::map<std::string, std::size_t> in_flight_;
};

} // namespace mulberry::standins

#endif
