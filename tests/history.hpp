/// Records what callers, backends and VMs observed in a concurrent run and
/// checks the record against the system's guarantees.
#ifndef MULBERRY_HISTORY_HPP
#define MULBERRY_HISTORY_HPP

#include "adapter_ref.hpp"
#include "error_kind.hpp"
#include "ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mulberry_test
{

/// One event of an answer as written by the engine.
struct answer_piece
{
    /// The request for which the engine wrote the event.
    mulberry::request_id written_for;
    mulberry::engine_name name;
    std::uint64_t offset = 0;
    /// The run of the request at the engine that wrote the event; 0 if
    /// unknown.
    std::uint64_t run = 0;
    bool last = false;
};

enum class violation_kind
{
    wrong_adapter,
    evicted_in_flight,
    foreign_answer,
    answer_not_whole,
    final_answers,
    untrue_ran,
    ran_twice,
    work_while_leaving
};

struct violation
{
    violation_kind kind;
    std::string text;
};

/// The events of one run, recorded in the order in which they occur.
/// Thread safety: none; callers on several threads must synchronize.
class history
{
public:
    void invoked(mulberry::request_id const& request,
                 mulberry::adapter_ref const& adapter);
    /// Records a call of a plain service; `once` if the call must not be
    /// repeated.
    void service_invoked(mulberry::request_id const& request, bool once);
    void answer_event(mulberry::request_id const& request,
                      answer_piece const& piece);
    void answered_whole(mulberry::request_id const& request);
    void answered_error(mulberry::request_id const& request,
                        mulberry::error const& what);
    /// Records that the caller disconnected: no final answer is required.
    void withdrawn(mulberry::request_id const& request);
    void started_at_backend(mulberry::request_id const& request,
                            mulberry::engine_name const& name);
    void finished_at_backend(mulberry::request_id const& request);
    /// `in_flight`: number of requests that the engine was running under
    /// the name at the time of the unload.
    void unloaded(mulberry::engine_name const& name, std::size_t in_flight);
    /// `call`: the Idempotency-Key, or the request id if the call has no key.
    void service_ran(std::string const& call,
                     mulberry::request_id const& request);
    /// Records that the VM accepts no new requests from now on.
    void leaving(std::string const& vm);
    void accepted(std::string const& vm, mulberry::request_id const& request);

    /// Number of requests without a final answer that were not withdrawn.
    std::size_t open_requests() const;
    /// Checks a finished run and returns every violation.
    std::vector<violation> check() const;

private:
    struct request_record
    {
        std::optional<mulberry::adapter_ref> adapter;
        bool once = false;
        bool withdrawn = false;
        std::vector<answer_piece> pieces;
        bool piece_after_end = false;
        std::size_t final_answers = 0;
        bool complete = false;
        std::optional<mulberry::error> failure;
        std::vector<mulberry::engine_name> started;
        std::size_t finished = 0;
        std::size_t service_runs = 0;
    };
    using records = std::map<mulberry::request_id, request_record>;

    static void check_adapter(records::value_type const& each,
                              std::vector<violation>& found);
    static void check_answer(records::value_type const& each,
                             std::vector<violation>& found);
    static void check_final(records::value_type const& each,
                            std::vector<violation>& found);
    static void check_ran(records::value_type const& each,
                          std::vector<violation>& found);

    records requests_;
    std::vector<std::pair<mulberry::engine_name, std::size_t>> unloads_;
    std::map<std::string, std::size_t> calls_;
    std::map<std::string, bool> leaving_;
    std::vector<violation> immediate_violations_;
};

std::string to_string(std::vector<violation> const& violations);
bool contains(std::vector<violation> const& violations, violation_kind kind);

} // namespace mulberry_test

#endif
