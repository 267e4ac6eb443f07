/// The record of one run of the real processes and its checker.
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

/// What the caller did if the system gave no answer.
enum class caller_end
{
    /// The caller waited for the answer.
    waited,
    /// The caller closed the connection.
    went_away,
    /// The caller stopped waiting some time after the request's deadline.
    gave_up
};

template <class Call>
struct recorded
{
    Call call;
    received_answer seen;
    caller_end end = caller_end::waited;
    /// The request was sent after the VM had refused new requests.
    bool sent_while_leaving = false;
};

struct process_record
{
    std::vector<recorded<model_call>> model_calls;
    std::vector<recorded<plain_service_call>> service_calls;
    /// The histories of the backends.
    std::vector<Json::Value> engine_events;
    std::vector<Json::Value> service_events;
    /// VMs that were killed: requests sent to these VMs may be lost.
    std::set<std::string> killed;
    /// VMs that were frozen for a while: callers of these VMs may give up.
    std::set<std::string> frozen;
    /// Configuration versions that one incarnation of a VM exported, in
    /// order.
    std::map<std::string, std::vector<std::uint64_t>> versions;
};

/// One violation: the name of the check and what was observed.
struct finding
{
    std::string check;
    std::string text;
};

/// Checks a finished run and returns every violation.
std::vector<finding> findings(process_record const& run);
std::string to_string(std::vector<finding> const& found);
/// The result of to_string for an empty list of findings.
inline std::string const no_findings;

/// The error in the system's answer, as kind and `ran`; both are empty if the
/// answer holds no error object.
struct reported_error
{
    std::string kind;
    std::string ran;
};
reported_error error_in(received_answer const& seen);
/// Whether the answer is complete: status 200 and, for a stream, the closing
/// [DONE] event.
bool answered_whole(received_answer const& seen);
/// The text of a plain or streamed answer to a completion.
std::string text_in(received_answer const& seen);

} // namespace mulberry_test

#endif
