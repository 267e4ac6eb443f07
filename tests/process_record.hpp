/// What was recorded of one run of the real processes, and its checker.
#ifndef MULBERRY_PROCESS_RECORD_HPP
#define MULBERRY_PROCESS_RECORD_HPP

#include "process_caller.hpp"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mulberry_test
{

/// How a request stands that has no answer of the system's.
enum class caller_end
{
    waited,
    /// The caller went away itself.
    went_away,
    /// The caller's patience ended, some time after its deadline.
    gave_up
};

template <class Call>
struct recorded
{
    Call call;
    received_answer seen;
    caller_end end = caller_end::waited;
    /// Sent after its VM had said that it takes no new work.
    bool sent_while_leaving = false;
};

struct process_record
{
    std::vector<recorded<model_call>> model_calls;
    std::vector<recorded<service_call_made>> service_calls;
    /// The histories of the back ends.
    std::vector<Json::Value> engine_events;
    std::vector<Json::Value> service_events;
    /// VMs that were killed: requests sent to them may be lost.
    std::set<std::string> killed;
    /// VMs that stood still for a while: their callers may give up.
    std::set<std::string> frozen;
    /// Configuration versions as one life of a VM showed them, in order.
    std::map<std::string, std::vector<std::uint64_t>> versions;
};

/// What the checker found: the check's name, then what was seen.
struct finding
{
    std::string check;
    std::string text;
};

/// Everything that must hold of a run that is over.
std::vector<finding> findings(process_record const& run);
std::string to_string(std::vector<finding> const& found);
/// What to_string makes of no findings.
inline std::string const no_findings;

/// What the system answered, as far as it is one of the closed list's errors.
struct reported_error
{
    std::string kind;
    std::string ran;
};
reported_error error_in(received_answer const& seen);
/// Whether the answer is whole, as its own end says.
bool answered_whole(received_answer const& seen);
/// The text of a whole or streamed answer to a completion.
std::string text_in(received_answer const& seen);

} // namespace mulberry_test

#endif
