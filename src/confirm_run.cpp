#include "confirm_run.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

constexpr duration retry_pause = std::chrono::milliseconds(200);

publish_event note(std::string kind, std::string text)
{
    return {"configuration", std::move(kind), std::move(text)};
}

std::string version_text(config_version version)
{
    return "version " + std::to_string(version.value());
}

} // namespace

confirm_run::confirm_run(confirm_order order, confirm_surroundings around)
    : order_(std::move(order)), around_(around), promises_(around.rules)
{
}

config_version confirm_run::wanted() const
{
    return config_version(order_.base.value() + 1);
}

time_point confirm_run::promises_end() const
{
    return promises_.majority_until(around_.peers.members());
}

void confirm_run::begin(time_point now, action_list& actions)
{
    deadline_ = now + around_.settings.confirm_timeout;
    actions.emplace_back(
        note("confirm-started", version_text(wanted()) + " on " +
                                    std::to_string(order_.base.value())));
    read(now, actions);
}

void confirm_run::send(step next, table_transaction transaction,
                       time_point deadline, time_point now,
                       action_list& actions)
{
    step_ = next;
    retry_at_ = never;
    operation_ = around_.ids.next_operation();
    operation_overdue_ =
        std::max(deadline, now) + around_.settings.table_timeout;
    actions.emplace_back(
        transact{operation_, std::move(transaction), deadline});
}

void confirm_run::retry_later(time_point now)
{
    retry_at_ = now + around_.random.about(retry_pause);
}

void confirm_run::read(time_point now, action_list& actions)
{
    send(step::reading,
         current_read({configuration_key(), confirmed_key(wanted())}),
         now + around_.settings.table_timeout, now, actions);
}

bool confirm_run::knows(operation_id operation) const
{
    return !over() && !operation.none() && operation == operation_;
}

void confirm_run::on_table(table_reply const& reply, time_point now,
                           action_list& actions)
{
    if (!knows(reply.operation))
        return;
    operation_ = operation_id();
    if (step_ == step::writing)
        on_write(reply, now, actions);
    else if (step_ == step::fencing)
        on_fence(reply, now, actions);
    else if (reply.outcome == table_outcome::done ||
             reply.outcome == table_outcome::conflict)
        decide(reply.rows, now, actions);
    else
        retry_later(now);
}

void confirm_run::on_write(table_reply const& reply, time_point now,
                           action_list& actions)
{
    switch (reply.outcome)
    {
    case table_outcome::done:
        landed(now, actions);
        break;
    case table_outcome::conflict:
        // Not this try, but perhaps the same one sent twice on the way: the
        // rows tell.
        written_under_.reset();
        decide(reply.rows, now, actions);
        break;
    case table_outcome::refused:
        written_under_.reset();
        step_ = step::reading;
        retry_later(now);
        break;
    case table_outcome::unreachable:
        read(now, actions);
        break;
    }
}

void confirm_run::on_fence(table_reply const& reply, time_point now,
                           action_list& actions)
{
    if (reply.outcome == table_outcome::conflict)
    {
        decide(reply.rows, now, actions);
        return;
    }
    if (reply.outcome == table_outcome::done)
        written_under_.reset();
    step_ = step::reading;
    retry_later(now);
}

void confirm_run::decide(std::vector<table_row> const& rows, time_point now,
                         action_list& actions)
{
    auto const row = find_configuration_row(rows, configuration_key());
    auto const mine = find_configuration_row(rows, confirmed_key(wanted()));
    if (!row || !mine)
    {
        step_ = step::reading;
        retry_later(now);
        return;
    }
    row_ = *row;
    // The row moved on: the write's condition can never hold again.
    if (written_under_ &&
        (*written_under_ != row_.at || !around_.rules.may_land_yet()))
        written_under_.reset();
    if (mine->token == order_.token)
        landed(now, actions);
    else if (written_under_)
        fence(now, actions);
    else if (row_.version != order_.base)
        refuse(error(error_kind::plan_outdated,
                     "the configuration changed since the plan was made: " +
                         version_text(row_.version) + " is confirmed",
                     ran::no),
               actions);
    else if (told_)
        refuse(error(error_kind::platform_unavailable,
                     "the write did not take effect and cannot any more",
                     ran::no),
               actions);
    else if (!stored_)
        store(now, actions);
    else
        gather(now, actions);
}

void confirm_run::store(time_point now, action_list& actions)
{
    step_ = step::storing;
    retry_at_ = never;
    operation_ = around_.ids.next_operation();
    time_point const deadline = now + around_.settings.table_timeout;
    operation_overdue_ = deadline + around_.settings.table_timeout;
    actions.emplace_back(store_object{
        operation_, declaration_key(order_.digest), order_.text, deadline});
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
    stored_ = true;
    gather(now, actions);
}

void confirm_run::gather(time_point now, action_list& actions)
{
    step_ = step::gathering;
    retry_at_ = never;
    gather_until_ = now + around_.settings.promise;
    ask(now, actions);
    use_majority(now, actions);
}

void confirm_run::ask(time_point now, action_list& actions)
{
    ask_again_ = now + around_.random.about(around_.settings.promise / 4);
    if (!around_.peers.joined())
        return;
    std::uint64_t const number = around_.peers.next_question();
    promises_.ask(number, now);
    given_promises::facts const own{around_.reader.heard(now),
                                    around_.reader.lost(now),
                                    around_.reader.highest()};
    if (around_.given.promise_confirm(own, order_.base, now))
        promises_.add_own(around_.peers.self(), now + around_.settings.promise);
    around_.peers.tell_all(confirm_question{number, order_.base}, actions);
}

void confirm_run::on_answer(vm_id const& from, confirm_answer const& answer,
                            time_point now, action_list& actions)
{
    if (over() || !answer.promised ||
        !around_.peers.is_member(from, answer.life))
        return;
    promises_.add(from, answer.number, answer.holds_for, now);
    if (step_ == step::gathering)
        use_majority(now, actions);
}

void confirm_run::use_majority(time_point now, action_list& actions)
{
    time_point const end = promises_end();
    if (landed_)
    {
        if (around_.rules.promises_cover(now, end))
            succeed();
        return;
    }
    // Some of the time is kept for the write itself.
    if (now + around_.settings.promise / 4 < end)
        write(now, actions);
}

void confirm_run::write(time_point now, action_list& actions)
{
    configuration_row const next{row_version(), order_.token, wanted(),
                                 order_.digest, declaration_key(order_.digest)};
    std::string const text = write_configuration_row(next);
    table_transaction transaction;
    transaction.conditions = {{configuration_key(), row_.at},
                              {confirmed_key(wanted()), row_version()}};
    transaction.writes = {{configuration_key(), text},
                          {confirmed_key(wanted()), text}};
    written_under_ = row_.at;
    time_point const deadline =
        std::min(promises_end(), now + around_.settings.table_timeout);
    send(step::writing, std::move(transaction), deadline, now, actions);
}

// A write whose answer is lost may land at any later time, long after its
// promises. The same text under a new row version makes it conflict for good;
// the token inside stays, for whoever reads back under it.
void confirm_run::fence(time_point now, action_list& actions)
{
    table_transaction transaction;
    transaction.conditions = {{configuration_key(), row_.at},
                              {confirmed_key(wanted()), row_version()}};
    transaction.writes = {{configuration_key(), write_configuration_row(row_)}};
    send(step::fencing, std::move(transaction),
         now + around_.settings.table_timeout, now, actions);
}

void confirm_run::landed(time_point now, action_list& actions)
{
    landed_ = true;
    written_under_.reset();
    actions.emplace_back(note("confirm-written", version_text(wanted())));
    around_.peers.tell_all(configuration_hint{wanted()}, actions);
    around_.reader.keep_text(order_.digest, order_.text);
    around_.reader.read_now(now, actions);
    if (told_)
        step_ = step::over;
    else if (around_.rules.promises_cover(now, promises_end()))
        succeed();
    else
        gather(now, actions);
}

void confirm_run::tick(time_point now, action_list& actions)
{
    if (!over() && !told_ && now >= deadline_)
        time_out(actions);
    if (over())
        return;
    if (!operation_.none() && now >= operation_overdue_)
    {
        // No reply came at all: the same as one that says unreachable.
        operation_ = operation_id();
        if (step_ != step::storing)
            step_ = step::reading;
        retry_later(now);
    }
    if (step_ == step::gathering && now >= gather_until_)
        gathered_too_few(now, actions);
    else if (step_ == step::gathering && now >= ask_again_)
    {
        ask(now, actions);
        use_majority(now, actions);
    }
    if (now >= retry_at_ && step_ == step::storing)
        store(now, actions);
    else if (now >= retry_at_ && step_ == step::reading)
        read(now, actions);
}

void confirm_run::gathered_too_few(time_point now, action_list& actions)
{
    if (landed_)
    {
        gather(now, actions);
        return;
    }
    std::size_t const members = around_.peers.members().size();
    std::size_t const reached = promises_.running(around_.peers.members(), now);
    refuse(error(error_kind::platform_unavailable,
                 "only " + std::to_string(reached) + " of " +
                     std::to_string(members) +
                     " VMs can be reached and read the table; a change needs "
                     "more than half. Nothing was changed",
                 ran::no, around_.settings.promise),
           actions);
}

void confirm_run::time_out(action_list& actions)
{
    if (landed_)
    {
        settle(error(error_kind::outcome_unknown,
                     version_text(wanted()) +
                         " was written, but too few VMs have promised to "
                         "follow it yet",
                     ran::unknown, around_.settings.promise));
        step_ = step::over;
        return;
    }
    if (written_under_)
    {
        settle(error(error_kind::outcome_unknown,
                     "the table did not answer: the change may have taken "
                     "effect or may yet",
                     ran::unknown, around_.settings.promise));
        return;
    }
    std::string const where = step_ == step::storing ? "object store" : "table";
    refuse(error(error_kind::platform_unavailable,
                 "the " + where + " cannot be reached. Nothing was changed",
                 ran::no, around_.settings.promise),
           actions);
}

void confirm_run::succeed()
{
    settle(wanted());
    step_ = step::over;
}

void confirm_run::refuse(error why, action_list& actions)
{
    actions.emplace_back(
        note("confirm-refused", version_text(wanted()) + ": " + why.text()));
    settle(std::move(why));
    step_ = step::over;
}

void confirm_run::settle(std::variant<config_version, error> result)
{
    if (told_)
        return;
    told_ = true;
    settled_ = confirm_settled{order_.ticket, std::move(result), nullptr};
}

std::optional<confirm_settled> confirm_run::take_settled()
{
    return std::exchange(settled_, std::nullopt);
}

} // namespace mulberry
