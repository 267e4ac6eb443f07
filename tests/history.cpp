#include "history.hpp"

#include <algorithm>

namespace mulberry_test
{

using namespace mulberry;

void history::invoked(request_id const& request, adapter_ref const& adapter)
{
    requests_[request].adapter = adapter;
}

void history::service_invoked(request_id const& request, bool once)
{
    requests_[request].once = once;
}

void history::answer_event(request_id const& request, answer_piece const& piece)
{
    request_record& record = requests_[request];
    record.piece_after_end |= record.final_answers > 0 || record.withdrawn;
    record.pieces.push_back(piece);
}

void history::answered_whole(request_id const& request)
{
    request_record& record = requests_[request];
    ++record.final_answers;
    record.complete = true;
}

void history::answered_error(request_id const& request, error const& what)
{
    request_record& record = requests_[request];
    ++record.final_answers;
    record.failure = what;
}

void history::withdrawn(request_id const& request)
{
    requests_[request].withdrawn = true;
}

void history::started_at_backend(request_id const& request,
                                 engine_name const& name)
{
    requests_[request].started.push_back(name);
}

void history::finished_at_backend(request_id const& request)
{
    ++requests_[request].finished;
}

void history::unloaded(engine_name const& name, std::size_t in_flight)
{
    unloads_.emplace_back(name, in_flight);
}

void history::service_ran(std::string const& call, request_id const& request)
{
    request_record& record = requests_[request];
    ++record.service_runs;
    if (record.once && ++calls_[call] == 2)
        immediate_violations_.push_back(
            {violation_kind::ran_twice, call + " ran more than once"});
}

void history::leaving(std::string const& vm)
{
    leaving_[vm] = true;
}

void history::accepted(std::string const& vm, request_id const& request)
{
    if (leaving_.contains(vm))
        immediate_violations_.push_back(
            {violation_kind::work_while_leaving,
             vm + " accepted " + request.str() + " while leaving"});
}

std::size_t history::open_requests() const
{
    return static_cast<std::size_t>(std::count_if(
        requests_.begin(), requests_.end(),
        [](auto const& each)
        { return each.second.final_answers == 0 && !each.second.withdrawn; }));
}

void history::check_adapter(records::value_type const& each,
                            std::vector<violation>& found)
{
    auto const& [id, record] = each;
    if (!record.adapter)
        return;
    adapter_ref const& named = *record.adapter;
    auto const other = [&named](engine_name const& name)
    {
        auto const parts = parse_engine_name(name.str());
        return !parts || parts->adapter != named;
    };
    std::vector<engine_name> names = record.started;
    for (answer_piece const& piece : record.pieces)
        if (piece.written_for == id)
            names.push_back(piece.name);
    auto const wrong = std::find_if(names.begin(), names.end(), other);
    if (wrong != names.end())
        found.push_back({violation_kind::wrong_adapter,
                         id.str() + " named " + record.adapter->str() +
                             " and was processed by " + wrong->str()});
}

void history::check_answer(records::value_type const& each,
                           std::vector<violation>& found)
{
    auto const& [id, record] = each;
    std::uint64_t expected = 0;
    bool in_order = !record.piece_after_end;
    for (answer_piece const& piece : record.pieces)
    {
        if (piece.written_for != id)
            found.push_back({violation_kind::foreign_answer,
                             id.str() + " received an event of " +
                                 piece.written_for.str()});
        in_order = in_order && piece.offset == expected++ &&
                   piece.run == record.pieces.front().run;
    }
    if (!in_order)
        found.push_back({violation_kind::answer_not_whole,
                         id.str() + " has a gap, a repetition, a mix of runs "
                                    "or an event after the end"});
    bool const ends = !record.pieces.empty() && record.pieces.back().last;
    if (record.complete && record.adapter && !ends)
        found.push_back(
            {violation_kind::answer_not_whole,
             id.str() +
                 " was reported complete but its last event is missing"});
}

void history::check_final(records::value_type const& each,
                          std::vector<violation>& found)
{
    auto const& [id, record] = each;
    bool const right = record.withdrawn ? record.final_answers <= 1
                                        : record.final_answers == 1;
    if (!right)
        found.push_back({violation_kind::final_answers,
                         id.str() + " has " +
                             std::to_string(record.final_answers) +
                             " final answers"});
}

void history::check_ran(records::value_type const& each,
                        std::vector<violation>& found)
{
    auto const& [id, record] = each;
    if (!record.failure)
        return;
    bool const did_run = !record.started.empty() || record.service_runs > 0;
    ran const reported = record.failure->request_ran();
    if ((reported == ran::no && did_run) || (reported == ran::yes && !did_run))
        found.push_back({violation_kind::untrue_ran,
                         id.str() + " was reported with ran: " +
                             std::string(to_string(reported)) + " (" +
                             record.failure->text() + "), which is incorrect"});
}

std::vector<violation> history::check() const
{
    std::vector<violation> found = immediate_violations_;
    for (auto const& each : requests_)
    {
        check_adapter(each, found);
        check_answer(each, found);
        check_final(each, found);
        check_ran(each, found);
    }
    for (auto const& [name, in_flight] : unloads_)
        if (in_flight > 0)
            found.push_back({violation_kind::evicted_in_flight,
                             name.str() + " was unloaded during " +
                                 std::to_string(in_flight) + " requests"});
    return found;
}

std::string to_string(std::vector<violation> const& violations)
{
    std::string text;
    for (violation const& each : violations)
        text += each.text + "\n";
    return text;
}

bool contains(std::vector<violation> const& violations, violation_kind kind)
{
    return std::any_of(violations.begin(), violations.end(),
                       [&](violation const& each)
                       { return each.kind == kind; });
}

} // namespace mulberry_test
