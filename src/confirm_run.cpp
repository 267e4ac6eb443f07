#include "confirm_run.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

constexpr duration retry_delay = std::chrono::milliseconds(200);

publish_event log_entry(std::string kind, std::string text)
{
    return {"configuration", std::move(kind), std::move(text)};
}

std::string version_text(config_version version)
{
    return "version " + std::to_string(version.value());
}

} // namespace

confirm_run::confirm_run(confirm_request request, confirm_context context)
    : request_(std::move(request)), context_(context), promises_(context.rules)
{
}

config_version confirm_run::target_version() const
{
    return config_version(request_.base.value() + 1);
}

time_point confirm_run::majority_end() const
{
    return promises_.majority_until(context_.peers.members());
}

void confirm_run::begin(time_point now, action_list& actions)
{
    deadline_ = now + context_.settings.confirm_timeout;
    actions.emplace_back(log_entry("confirm-started",
                                   version_text(target_version()) + " on " +
                                       std::to_string(request_.base.value())));
    read(now, actions);
}

void confirm_run::send(step next, table_transaction transaction,
                       time_point deadline, time_point now,
                       action_list& actions)
{
    step_ = next;
    retry_at_ = never;
    operation_ = context_.ids.next_operation();
    operation_expires_at_ =
        std::max(deadline, now) + context_.settings.table_timeout;
    actions.emplace_back(
        transact{operation_, std::move(transaction), deadline});
}

void confirm_run::retry_later(time_point now)
{
    retry_at_ = now + context_.random.equal_jitter(retry_delay);
}

void confirm_run::read(time_point now, action_list& actions)
{
    send(step::reading,
         linearizable_read(
             {configuration_key(), confirmed_key(target_version())}),
         now + context_.settings.table_timeout, now, actions);
}

bool confirm_run::knows(operation_id operation) const
{
    return !is_finished() && !operation.none() && operation == operation_;
}

void confirm_run::on_table(table_reply const& reply, time_point now,
                           action_list& actions)
{
    if (!knows(reply.operation))
        return;
    operation_ = operation_id();
    if (step_ == step::writing)
        on_write(reply, now, actions);
    else if (step_ == step::invalidating)
        on_invalidated(reply, now, actions);
    else if (reply.outcome == table_outcome::done ||
             reply.outcome == table_outcome::conflict)
        on_row_read(reply.rows, now, actions);
    else
        retry_later(now);
}

void confirm_run::on_write(table_reply const& reply, time_point now,
                           action_list& actions)
{
    switch (reply.outcome)
    {
    case table_outcome::done:
        on_written(now, actions);
        break;
    case table_outcome::conflict:
        // This attempt was not applied, but a duplicate of it may have been;
        // the rows show it.
        pending_write_version_.reset();
        on_row_read(reply.rows, now, actions);
        break;
    case table_outcome::refused:
        pending_write_version_.reset();
        step_ = step::reading;
        retry_later(now);
        break;
    case table_outcome::unreachable:
        read(now, actions);
        break;
    }
}

void confirm_run::on_invalidated(table_reply const& reply, time_point now,
                                 action_list& actions)
{
    if (reply.outcome == table_outcome::conflict)
    {
        on_row_read(reply.rows, now, actions);
        return;
    }
    if (reply.outcome == table_outcome::done)
        pending_write_version_.reset();
    step_ = step::reading;
    retry_later(now);
}

void confirm_run::on_row_read(std::vector<table_row> const& rows,
                              time_point now, action_list& actions)
{
    auto const row = find_configuration_row(rows, configuration_key());
    auto const confirmed_row =
        find_configuration_row(rows, confirmed_key(target_version()));
    if (!row || !confirmed_row)
    {
        step_ = step::reading;
        retry_later(now);
        return;
    }
    row_ = *row;
    // If the row has changed, the condition of the pending write can never be
    // satisfied.
    if (pending_write_version_ && (*pending_write_version_ != row_.at ||
                                   !context_.rules.may_apply_later()))
        pending_write_version_.reset();
    if (confirmed_row->token == request_.token)
        on_written(now, actions);
    else if (pending_write_version_)
        invalidate_write(now, actions);
    else if (row_.version != request_.base)
        refuse(error(error_kind::plan_outdated,
                     "the configuration changed since the plan was made: " +
                         version_text(row_.version) + " is confirmed",
                     ran::no),
               actions);
    else if (answered_)
        refuse(error(error_kind::platform_unavailable,
                     "the write did not take effect and cannot any more",
                     ran::no),
               actions);
    else if (!object_stored_)
        store(now, actions);
    else
        gather_promises(now, actions);
}

void confirm_run::store(time_point now, action_list& actions)
{
    step_ = step::storing;
    retry_at_ = never;
    operation_ = context_.ids.next_operation();
    time_point const deadline = now + context_.settings.table_timeout;
    operation_expires_at_ = deadline + context_.settings.table_timeout;
    actions.emplace_back(store_object{
        operation_, declaration_key(request_.digest), request_.text, deadline});
}

void confirm_run::on_object(object_reply const& reply, time_point now,
                            action_list& actions)
{
    if (!knows(reply.operation))
        return;
    operation_ = operation_id();
    if (reply.outcome != object_outcome::done)
    {
        retry_later(now);
        return;
    }
    object_stored_ = true;
    gather_promises(now, actions);
}

void confirm_run::gather_promises(time_point now, action_list& actions)
{
    step_ = step::gathering;
    retry_at_ = never;
    gather_deadline_ = now + context_.settings.promise_duration;
    request_promises(now, actions);
    proceed_with_majority(now, actions);
}

void confirm_run::request_promises(time_point now, action_list& actions)
{
    next_request_at_ = now + context_.random.equal_jitter(
                                 context_.settings.promise_duration / 4);
    if (!context_.peers.is_registered())
        return;
    std::uint64_t const number = context_.peers.next_question_number();
    promises_.record_question(number, now);
    given_promises::observed_state const own{
        context_.reader.is_table_reachable(now),
        context_.reader.is_table_unreachable(now), context_.reader.highest()};
    if (context_.given.promise_confirm(own, request_.base, now))
        promises_.add_own(context_.peers.self(),
                          now + context_.settings.promise_duration);
    context_.peers.broadcast(confirm_question{number, request_.base}, actions);
}

void confirm_run::on_answer(vm_id const& from, confirm_answer const& answer,
                            time_point now, action_list& actions)
{
    if (is_finished() || !answer.promised ||
        !context_.peers.is_member(from, answer.life))
        return;
    promises_.add(from, answer.number, answer.holds_for, now);
    if (step_ == step::gathering)
        proceed_with_majority(now, actions);
}

void confirm_run::proceed_with_majority(time_point now, action_list& actions)
{
    time_point const end = majority_end();
    if (written_)
    {
        if (context_.rules.promises_cover(now, end))
            succeed();
        return;
    }
    // Leaves time for the write itself.
    if (now + context_.settings.promise_duration / 4 < end)
        write(now, actions);
}

void confirm_run::write(time_point now, action_list& actions)
{
    configuration_row const next{row_version(), request_.token,
                                 target_version(), request_.digest,
                                 declaration_key(request_.digest)};
    std::string const text = write_configuration_row(next);
    table_transaction transaction;
    transaction.conditions = {{configuration_key(), row_.at},
                              {confirmed_key(target_version()), row_version()}};
    transaction.writes = {{configuration_key(), text},
                          {confirmed_key(target_version()), text}};
    pending_write_version_ = row_.at;
    time_point const deadline =
        std::min(majority_end(), now + context_.settings.table_timeout);
    send(step::writing, std::move(transaction), deadline, now, actions);
}

// A write whose answer is lost may take effect at any later time, long after
// its promises have expired. Writing the same text under a new row version
// makes that write conflict for good; the text keeps its token, so that the
// writer of the current version still finds it.
void confirm_run::invalidate_write(time_point now, action_list& actions)
{
    table_transaction transaction;
    transaction.conditions = {{configuration_key(), row_.at},
                              {confirmed_key(target_version()), row_version()}};
    transaction.writes = {{configuration_key(), write_configuration_row(row_)}};
    send(step::invalidating, std::move(transaction),
         now + context_.settings.table_timeout, now, actions);
}

void confirm_run::on_written(time_point now, action_list& actions)
{
    written_ = true;
    pending_write_version_.reset();
    actions.emplace_back(
        log_entry("confirm-written", version_text(target_version())));
    context_.peers.broadcast(configuration_hint{target_version()}, actions);
    context_.reader.cache_text(request_.digest, request_.text);
    context_.reader.read_now(now, actions);
    if (answered_)
        step_ = step::finished;
    else if (context_.rules.promises_cover(now, majority_end()))
        succeed();
    else
        gather_promises(now, actions);
}

void confirm_run::tick(time_point now, action_list& actions)
{
    if (!is_finished() && !answered_ && now >= deadline_)
        on_deadline(actions);
    if (is_finished())
        return;
    if (!operation_.none() && now >= operation_expires_at_)
    {
        // No reply at all is handled like `unreachable`.
        operation_ = operation_id();
        if (step_ != step::storing)
            step_ = step::reading;
        retry_later(now);
    }
    if (step_ == step::gathering && now >= gather_deadline_)
        on_gather_timeout(now, actions);
    else if (step_ == step::gathering && now >= next_request_at_)
    {
        request_promises(now, actions);
        proceed_with_majority(now, actions);
    }
    if (now >= retry_at_ && step_ == step::storing)
        store(now, actions);
    else if (now >= retry_at_ && step_ == step::reading)
        read(now, actions);
}

void confirm_run::on_gather_timeout(time_point now, action_list& actions)
{
    if (written_)
    {
        gather_promises(now, actions);
        return;
    }
    std::size_t const members = context_.peers.members().size();
    std::size_t const reached =
        promises_.count_valid(context_.peers.members(), now);
    refuse(error(error_kind::platform_unavailable,
                 "only " + std::to_string(reached) + " of " +
                     std::to_string(members) +
                     " VMs can be reached and read the table; a change needs "
                     "more than half. Nothing was changed",
                 ran::no, context_.settings.promise_duration),
           actions);
}

void confirm_run::on_deadline(action_list& actions)
{
    if (written_)
    {
        set_result(error(error_kind::outcome_unknown,
                         version_text(target_version()) +
                             " was written, but too few VMs have promised to "
                             "follow it yet",
                         ran::unknown, context_.settings.promise_duration));
        step_ = step::finished;
        return;
    }
    if (pending_write_version_)
    {
        set_result(error(error_kind::outcome_unknown,
                         "the table did not answer: the change may have taken "
                         "effect or may yet",
                         ran::unknown, context_.settings.promise_duration));
        return;
    }
    std::string const where = step_ == step::storing ? "object store" : "table";
    refuse(error(error_kind::platform_unavailable,
                 "the " + where + " cannot be reached. Nothing was changed",
                 ran::no, context_.settings.promise_duration),
           actions);
}

void confirm_run::succeed()
{
    set_result(target_version());
    step_ = step::finished;
}

void confirm_run::refuse(error why, action_list& actions)
{
    actions.emplace_back(log_entry(
        "confirm-refused", version_text(target_version()) + ": " + why.text()));
    set_result(std::move(why));
    step_ = step::finished;
}

void confirm_run::set_result(std::variant<config_version, error> result)
{
    if (answered_)
        return;
    answered_ = true;
    settled_ = confirm_settled{request_.ticket, std::move(result), nullptr};
}

std::optional<confirm_settled> confirm_run::take_settled()
{
    return std::exchange(settled_, std::nullopt);
}

} // namespace mulberry
