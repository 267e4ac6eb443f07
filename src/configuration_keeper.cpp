#include "configuration_keeper.hpp"

#include "configuration_peers.hpp"
#include "configuration_reader.hpp"
#include "confirm_run.hpp"
#include "jitter.hpp"
#include "promise_store.hpp"

#include <algorithm>
#include <list>
#include <utility>

namespace mulberry
{
namespace
{

/// A VM that never registered before has no row, and rows are never deleted: so
/// in this life nobody has promised anything under its name before.
constexpr incarnation first_life(1);

publish_event note(std::string kind, std::string text)
{
    return {"configuration", std::move(kind), std::move(text)};
}

/// A refused confirm that waits until the declaration it lost to is loaded.
struct waiting_refusal
{
    confirm_settled settled;
    config_version found;
    time_point until;
};

} // namespace

class configuration_keeper::implementation
{
public:
    implementation(configuration_settings settings, safeguards const& checks,
                   id_source& ids, promise_rules const& rules)
        : settings_(std::move(settings)), rules_(rules), ids_(ids),
          random_(settings_.seed + 1), reader_(settings_, checks, rules_, ids_),
          peers_(settings_.vm), given_(rules_, settings_.promise),
          support_(rules_)
    {
    }

    void start(time_point now, action_list& actions);
    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    void on_object(object_reply const& reply, time_point now,
                   action_list& actions);
    void set_members(std::vector<std::pair<vm_id, incarnation>> const& members,
                     incarnation own_life);
    void on_peer(vm_id const& from, peer_message const& message, time_point now,
                 action_list& actions);
    void table_heard(time_point asked_at) { reader_.table_heard(asked_at); }
    void confirm(confirm_order order, time_point now, action_list& actions);
    void tick(time_point now, action_list& actions);
    std::vector<configuration_event> take_events();
    std::string next_token(std::uint64_t ticket);

    configuration_reader const& reader() const { return reader_; }
    bool known(time_point now) const;
    bool going_on(time_point now) const;

private:
    void hear(vm_id const& from, outage_question const& question,
              time_point now, action_list& actions);
    void hear(vm_id const& from, outage_answer const& answer, time_point now,
              action_list& actions);
    void hear(vm_id const& from, confirm_question const& question,
              time_point now, action_list& actions);
    given_promises::facts facts(time_point now) const;
    void watch_table(time_point now, action_list& actions);
    void ask_for_support(time_point now, action_list& actions);
    bool caught_up(time_point now) const;
    void observe(time_point now, action_list& actions);
    void collect_runs(time_point now);
    void release_refusals(time_point now);

    configuration_settings const settings_;
    promise_rules const& rules_;
    id_source& ids_;
    jitter random_;
    configuration_reader reader_;
    configuration_peers peers_;
    given_promises given_;
    collected_promises support_;
    std::list<confirm_run> runs_;
    std::vector<waiting_refusal> refusals_;
    std::vector<configuration_event> events_;
    bool outage_ = false;
    time_point outage_since_{};
    /// The table was found to answer again, and the row is being read.
    bool catching_up_ = false;
    time_point ask_again_ = never;
    bool was_going_on_ = false;
    bool was_known_ = false;
};

void configuration_keeper::implementation::start(time_point now,
                                                 action_list& actions)
{
    given_.start(now);
    reader_.start(now, actions);
}

bool configuration_keeper::implementation::knows(operation_id operation) const
{
    return reader_.knows(operation) ||
           std::any_of(runs_.begin(), runs_.end(),
                       [&](confirm_run const& run)
                       { return run.knows(operation); });
}

void configuration_keeper::implementation::on_table(table_reply const& reply,
                                                    time_point now,
                                                    action_list& actions)
{
    reader_.on_table(reply, now, actions);
    for (confirm_run& run : runs_)
        run.on_table(reply, now, actions);
    observe(now, actions);
}

void configuration_keeper::implementation::on_object(object_reply const& reply,
                                                     time_point now,
                                                     action_list& actions)
{
    reader_.on_object(reply, now, actions);
    for (confirm_run& run : runs_)
        run.on_object(reply, now, actions);
    observe(now, actions);
}

void configuration_keeper::implementation::set_members(
    std::vector<std::pair<vm_id, incarnation>> const& members,
    incarnation own_life)
{
    peers_.set_members(members, own_life);
    if (own_life == first_life)
        given_.begin_first_life();
}

void configuration_keeper::implementation::on_peer(vm_id const& from,
                                                   peer_message const& message,
                                                   time_point now,
                                                   action_list& actions)
{
    if (auto const* hint = std::get_if<configuration_hint>(&message))
        reader_.hear_of(hint->version, now, actions);
    else if (auto const* question = std::get_if<outage_question>(&message))
        hear(from, *question, now, actions);
    else if (auto const* answer = std::get_if<outage_answer>(&message))
        hear(from, *answer, now, actions);
    else if (auto const* plea = std::get_if<confirm_question>(&message))
        hear(from, *plea, now, actions);
    else if (auto const* promise = std::get_if<confirm_answer>(&message))
        for (confirm_run& run : runs_)
            run.on_answer(from, *promise, now, actions);
    observe(now, actions);
}

given_promises::facts
configuration_keeper::implementation::facts(time_point now) const
{
    return {reader_.heard(now), reader_.lost(now), reader_.highest()};
}

void configuration_keeper::implementation::hear(vm_id const& from,
                                                outage_question const& question,
                                                time_point now,
                                                action_list& actions)
{
    reader_.hear_of(question.configuration, now, actions);
    outage_answer answer;
    answer.number = question.number;
    answer.life = peers_.own_life();
    answer.promised =
        peers_.joined() &&
        given_.promise_outage(facts(now), question.configuration, now);
    answer.holds_for = settings_.promise;
    answer.configuration = reader_.highest();
    actions.emplace_back(send_peer_message{from, answer});
}

void configuration_keeper::implementation::hear(vm_id const& from,
                                                outage_answer const& answer,
                                                time_point now,
                                                action_list& actions)
{
    reader_.hear_of(answer.configuration, now, actions);
    if (answer.promised && peers_.is_member(from, answer.life))
        support_.add(from, answer.number, answer.holds_for, now);
}

void configuration_keeper::implementation::hear(
    vm_id const& from, confirm_question const& question, time_point now,
    action_list& actions)
{
    confirm_answer answer;
    answer.number = question.number;
    answer.life = peers_.own_life();
    answer.promised = peers_.joined() &&
                      given_.promise_confirm(facts(now), question.base, now);
    answer.holds_for = settings_.promise;
    actions.emplace_back(send_peer_message{from, answer});
}

void configuration_keeper::implementation::confirm(confirm_order order,
                                                   time_point now,
                                                   action_list& actions)
{
    confirm_surroundings const around{settings_, rules_, ids_,   random_,
                                      peers_,    given_, reader_};
    runs_.emplace_back(std::move(order), around).begin(now, actions);
    observe(now, actions);
}

void configuration_keeper::implementation::tick(time_point now,
                                                action_list& actions)
{
    reader_.tick(now, actions);
    for (confirm_run& run : runs_)
        run.tick(now, actions);
    watch_table(now, actions);
    observe(now, actions);
}

void configuration_keeper::implementation::watch_table(time_point now,
                                                       action_list& actions)
{
    bool const lost = reader_.lost(now);
    if (lost && !outage_)
    {
        outage_ = true;
        outage_since_ = now;
        ask_again_ = now;
        actions.emplace_back(note("outage-begun", "the table does not answer"));
    }
    if (outage_ && !lost && !catching_up_)
        reader_.read_surely(now, actions);
    catching_up_ = outage_ && !lost;
    if (outage_ && lost && now >= ask_again_)
        ask_for_support(now, actions);
}

// Any answered call shows that the table is back, but only a read of the row
// says which version holds. Were the outage over with the first answer, a VM
// whose last read is past the bound would drop its peers' promises and refuse
// requests until its next read. The promises are no weaker for the table being
// back: those who gave them keep to them, and they run out by themselves.
bool configuration_keeper::implementation::caught_up(time_point now) const
{
    return !reader_.lost(now) && reader_.last_read() >= outage_since_ &&
           reader_.fresh(now);
}

void configuration_keeper::implementation::ask_for_support(time_point now,
                                                           action_list& actions)
{
    // Each promise is renewed once a poll, and asked for twice as often while
    // it is due: so that it takes several lost messages to lose it.
    duration const pace = std::min(settings_.poll, settings_.promise / 3);
    ask_again_ = now + pace / 2;
    config_version const own = reader_.version();
    if (own.none() || !peers_.joined())
        return;
    std::uint64_t const number = peers_.next_question();
    support_.ask(number, now);
    if (given_.promise_outage(facts(now), own, now))
        support_.add_own(peers_.self(), now + settings_.promise);
    time_point const due = now + settings_.promise - pace;
    for (vm_id const& member : peers_.members())
        if (member != peers_.self() && support_.until(member) <= due)
            actions.emplace_back(
                send_peer_message{member, outage_question{number, own}});
}

void configuration_keeper::implementation::observe(time_point now,
                                                   action_list& actions)
{
    if (reader_.last_read())
        given_.read_answered(*reader_.last_read());
    if (outage_ && caught_up(now))
    {
        outage_ = false;
        catching_up_ = false;
        support_.clear();
        actions.emplace_back(note("outage-ended", "the table answers again"));
    }
    for (configuration_in_force& loaded : reader_.take_in_force())
        events_.emplace_back(std::move(loaded));
    collect_runs(now);
    release_refusals(now);
    if (going_on(now) != was_going_on_)
    {
        was_going_on_ = !was_going_on_;
        events_.emplace_back(outage_changed{was_going_on_});
    }
    if (known(now) != was_known_)
    {
        was_known_ = !was_known_;
        actions.emplace_back(
            was_known_ ? note("configuration-known", "the version holds")
                       : note("configuration-stale",
                              "whether the version holds cannot be told"));
    }
}

void configuration_keeper::implementation::collect_runs(time_point now)
{
    for (confirm_run& run : runs_)
    {
        auto settled = run.take_settled();
        if (!settled)
            continue;
        auto const* why = std::get_if<error>(&settled->result);
        if (why != nullptr && why->kind() == error_kind::plan_outdated)
            refusals_.push_back({std::move(*settled), run.found(),
                                 now + 2 * settings_.table_timeout});
        else
            events_.emplace_back(std::move(*settled));
    }
    std::erase_if(runs_, [](confirm_run const& run) { return run.over(); });
}

void configuration_keeper::implementation::release_refusals(time_point now)
{
    auto const ready = [&](waiting_refusal& refusal)
    {
        if (reader_.version() < refusal.found && now < refusal.until)
            return false;
        refusal.settled.current = reader_.current();
        events_.emplace_back(std::move(refusal.settled));
        return true;
    };
    std::erase_if(refusals_, ready);
}

std::vector<configuration_event>
configuration_keeper::implementation::take_events()
{
    return std::exchange(events_, {});
}

std::string
configuration_keeper::implementation::next_token(std::uint64_t ticket)
{
    return settings_.vm.str() + "/" +
           std::to_string(peers_.own_life().value()) + "/" +
           std::to_string(ticket) + "/" + std::to_string(random_.next());
}

bool configuration_keeper::implementation::going_on(time_point now) const
{
    auto const& members = peers_.members();
    return outage_ && !reader_.version().none() &&
           reader_.highest() == reader_.version() && peers_.joined() &&
           support_.running({peers_.self()}, now) == 1 &&
           rules_.is_majority(support_.running(members, now), members.size());
}

bool configuration_keeper::implementation::known(time_point now) const
{
    return reader_.fresh(now) || going_on(now);
}

configuration_keeper::configuration_keeper(configuration_settings settings,
                                           safeguards const& checks,
                                           id_source& ids,
                                           promise_rules const& rules)
    : implementation_(std::make_unique<implementation>(std::move(settings),
                                                       checks, ids, rules))
{
}

configuration_keeper::~configuration_keeper() = default;

void configuration_keeper::start(time_point now, action_list& actions)
{
    implementation_->start(now, actions);
}

bool configuration_keeper::knows(operation_id operation) const
{
    return implementation_->knows(operation);
}

void configuration_keeper::on_table(table_reply const& reply, time_point now,
                                    action_list& actions)
{
    implementation_->on_table(reply, now, actions);
}

void configuration_keeper::on_object(object_reply const& reply, time_point now,
                                     action_list& actions)
{
    implementation_->on_object(reply, now, actions);
}

void configuration_keeper::set_members(
    std::vector<std::pair<vm_id, incarnation>> const& members,
    incarnation own_life, time_point /*now*/)
{
    implementation_->set_members(members, own_life);
}

void configuration_keeper::on_peer(vm_id const& from,
                                   peer_message const& message, time_point now,
                                   action_list& actions)
{
    implementation_->on_peer(from, message, now, actions);
}

void configuration_keeper::table_heard(time_point asked_at)
{
    implementation_->table_heard(asked_at);
}

void configuration_keeper::confirm(std::uint64_t ticket, config_version base,
                                   std::string digest,
                                   std::string canonical_text, time_point now,
                                   action_list& actions)
{
    auto text = std::make_shared<std::string const>(std::move(canonical_text));
    implementation_->confirm({ticket, base, std::move(digest), std::move(text),
                              implementation_->next_token(ticket)},
                             now, actions);
}

void configuration_keeper::tick(time_point now, action_list& actions)
{
    implementation_->tick(now, actions);
}

std::vector<configuration_event> configuration_keeper::take_events()
{
    return implementation_->take_events();
}

config_version configuration_keeper::version() const
{
    return implementation_->reader().version();
}

std::shared_ptr<declaration const> configuration_keeper::current() const
{
    return implementation_->reader().current();
}

bool configuration_keeper::known(time_point now) const
{
    return implementation_->known(now);
}

bool configuration_keeper::going_on_without_table(time_point now) const
{
    return implementation_->going_on(now);
}

} // namespace mulberry
