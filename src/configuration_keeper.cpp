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

/// The incarnation of a VM that never registered before. VM rows are never
/// deleted, so no promise was given under this VM's name before.
constexpr incarnation first_incarnation(1);

publish_event log_entry(std::string kind, std::string text)
{
    return {"configuration", std::move(kind), std::move(text)};
}

/// A refused confirm whose result is delayed until the declaration that was
/// confirmed instead is loaded.
struct delayed_refusal
{
    confirm_settled settled;
    config_version found;
    time_point wait_until;
};

} // namespace

class configuration_keeper::implementation
{
public:
    implementation(configuration_settings settings, safeguards const& checks,
                   id_source& ids, promise_rules const& rules)
        : settings_(std::move(settings)), rules_(rules), ids_(ids),
          random_(settings_.seed + 1), reader_(settings_, checks, rules_, ids_),
          peers_(settings_.vm), given_(rules_, settings_.promise_duration),
          outage_promises_(rules_)
    {
    }

    void start(time_point now, action_list& actions);
    bool knows(operation_id operation) const;
    void on_table(table_reply const& reply, time_point now,
                  action_list& actions);
    void on_object(object_reply const& reply, time_point now,
                   action_list& actions);
    void set_members(std::vector<std::pair<vm_id, incarnation>> const& members,
                     incarnation own_incarnation);
    void on_peer(vm_id const& from, peer_message const& message, time_point now,
                 action_list& actions);
    void on_table_answer(time_point asked_at)
    {
        reader_.on_table_answer(asked_at);
    }
    void confirm(confirm_request request, time_point now, action_list& actions);
    void tick(time_point now, action_list& actions);
    std::vector<configuration_event> take_events();
    std::string next_token(std::uint64_t ticket);

    configuration_reader const& reader() const { return reader_; }
    bool is_known(time_point now) const;
    bool going_on(time_point now) const;

private:
    void handle(vm_id const& from, outage_question const& question,
                time_point now, action_list& actions);
    void handle(vm_id const& from, outage_answer const& answer, time_point now,
                action_list& actions);
    void handle(vm_id const& from, confirm_question const& question,
                time_point now, action_list& actions);
    given_promises::observed_state facts(time_point now) const;
    void update_outage(time_point now, action_list& actions);
    void request_promises(time_point now, action_list& actions);
    bool is_up_to_date(time_point now) const;
    void update_state(time_point now, action_list& actions);
    void collect_results(time_point now);
    void release_refusals(time_point now);

    configuration_settings const settings_;
    promise_rules const& rules_;
    id_source& ids_;
    jitter random_;
    configuration_reader reader_;
    configuration_peers peers_;
    given_promises given_;
    collected_promises outage_promises_;
    std::list<confirm_run> runs_;
    std::vector<delayed_refusal> refusals_;
    std::vector<configuration_event> events_;
    bool in_outage_ = false;
    time_point outage_since_{};
    /// The table answers again, and the row is being read.
    bool catching_up_ = false;
    time_point next_request_at_ = never;
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
    update_state(now, actions);
}

void configuration_keeper::implementation::on_object(object_reply const& reply,
                                                     time_point now,
                                                     action_list& actions)
{
    reader_.on_object(reply, now, actions);
    for (confirm_run& run : runs_)
        run.on_object(reply, now, actions);
    update_state(now, actions);
}

void configuration_keeper::implementation::set_members(
    std::vector<std::pair<vm_id, incarnation>> const& members,
    incarnation own_incarnation)
{
    peers_.set_members(members, own_incarnation);
    if (own_incarnation == first_incarnation)
        given_.set_first_incarnation();
}

void configuration_keeper::implementation::on_peer(vm_id const& from,
                                                   peer_message const& message,
                                                   time_point now,
                                                   action_list& actions)
{
    if (auto const* hint = std::get_if<configuration_hint>(&message))
        reader_.on_version_reported(hint->version, now, actions);
    else if (auto const* question = std::get_if<outage_question>(&message))
        handle(from, *question, now, actions);
    else if (auto const* answer = std::get_if<outage_answer>(&message))
        handle(from, *answer, now, actions);
    else if (auto const* confirm_query =
                 std::get_if<confirm_question>(&message))
        handle(from, *confirm_query, now, actions);
    else if (auto const* promise = std::get_if<confirm_answer>(&message))
        for (confirm_run& run : runs_)
            run.on_answer(from, *promise, now, actions);
    update_state(now, actions);
}

given_promises::observed_state
configuration_keeper::implementation::facts(time_point now) const
{
    return {reader_.is_table_reachable(now), reader_.is_table_unreachable(now),
            reader_.highest()};
}

void configuration_keeper::implementation::handle(
    vm_id const& from, outage_question const& question, time_point now,
    action_list& actions)
{
    reader_.on_version_reported(question.configuration, now, actions);
    outage_answer answer;
    answer.number = question.number;
    answer.life = peers_.own_incarnation();
    answer.promised =
        peers_.is_registered() &&
        given_.promise_outage(facts(now), question.configuration, now);
    answer.holds_for = settings_.promise_duration;
    answer.configuration = reader_.highest();
    actions.emplace_back(send_peer_message{from, answer});
}

void configuration_keeper::implementation::handle(vm_id const& from,
                                                  outage_answer const& answer,
                                                  time_point now,
                                                  action_list& actions)
{
    reader_.on_version_reported(answer.configuration, now, actions);
    if (answer.promised && peers_.is_member(from, answer.life))
        outage_promises_.add(from, answer.number, answer.holds_for, now);
}

void configuration_keeper::implementation::handle(
    vm_id const& from, confirm_question const& question, time_point now,
    action_list& actions)
{
    confirm_answer answer;
    answer.number = question.number;
    answer.life = peers_.own_incarnation();
    answer.promised = peers_.is_registered() &&
                      given_.promise_confirm(facts(now), question.base, now);
    answer.holds_for = settings_.promise_duration;
    actions.emplace_back(send_peer_message{from, answer});
}

void configuration_keeper::implementation::confirm(confirm_request request,
                                                   time_point now,
                                                   action_list& actions)
{
    confirm_context const context{settings_, rules_, ids_,   random_,
                                  peers_,    given_, reader_};
    runs_.emplace_back(std::move(request), context).begin(now, actions);
    update_state(now, actions);
}

void configuration_keeper::implementation::tick(time_point now,
                                                action_list& actions)
{
    reader_.tick(now, actions);
    for (confirm_run& run : runs_)
        run.tick(now, actions);
    update_outage(now, actions);
    update_state(now, actions);
}

void configuration_keeper::implementation::update_outage(time_point now,
                                                         action_list& actions)
{
    bool const lost = reader_.is_table_unreachable(now);
    if (lost && !in_outage_)
    {
        in_outage_ = true;
        outage_since_ = now;
        next_request_at_ = now;
        actions.emplace_back(
            log_entry("outage-begun", "the table does not answer"));
    }
    if (in_outage_ && !lost && !catching_up_)
        reader_.read_with_retry(now, actions);
    catching_up_ = in_outage_ && !lost;
    if (in_outage_ && lost && now >= next_request_at_)
        request_promises(now, actions);
}

// Any answered call shows that the table is reachable again, but only a read of
// the row shows which version is current. If the outage ended with the first
// answer, a VM whose last read is older than the staleness bound would drop its
// peers' promises and refuse requests until its next read. The promises remain
// valid: the VMs that gave them keep them until they expire.
bool configuration_keeper::implementation::is_up_to_date(time_point now) const
{
    return !reader_.is_table_unreachable(now) &&
           reader_.last_read_asked_at() >= outage_since_ &&
           reader_.is_fresh(now);
}

void configuration_keeper::implementation::request_promises(
    time_point now, action_list& actions)
{
    // Each promise is renewed once per poll interval. A promise that is due is
    // requested twice as often, so that it expires only if several messages
    // are lost.
    duration const request_interval =
        std::min(settings_.poll_interval, settings_.promise_duration / 3);
    next_request_at_ = now + request_interval / 2;
    config_version const own = reader_.version();
    if (own.none() || !peers_.is_registered())
        return;
    std::uint64_t const number = peers_.next_question_number();
    outage_promises_.record_question(number, now);
    if (given_.promise_outage(facts(now), own, now))
        outage_promises_.add_own(peers_.self(),
                                 now + settings_.promise_duration);
    time_point const renew_until =
        now + settings_.promise_duration - request_interval;
    for (vm_id const& member : peers_.members())
        if (member != peers_.self() &&
            outage_promises_.until(member) <= renew_until)
            actions.emplace_back(
                send_peer_message{member, outage_question{number, own}});
}

void configuration_keeper::implementation::update_state(time_point now,
                                                        action_list& actions)
{
    if (reader_.last_read_asked_at())
        given_.read_answered(*reader_.last_read_asked_at());
    if (in_outage_ && is_up_to_date(now))
    {
        in_outage_ = false;
        catching_up_ = false;
        outage_promises_.clear();
        actions.emplace_back(
            log_entry("outage-ended", "the table answers again"));
    }
    for (configuration_in_force& loaded : reader_.take_in_force())
        events_.emplace_back(std::move(loaded));
    collect_results(now);
    release_refusals(now);
    if (going_on(now) != was_going_on_)
    {
        was_going_on_ = !was_going_on_;
        events_.emplace_back(outage_changed{was_going_on_});
    }
    if (is_known(now) != was_known_)
    {
        was_known_ = !was_known_;
        actions.emplace_back(
            was_known_
                ? log_entry("configuration-known", "the version holds")
                : log_entry("configuration-stale",
                            "it is not known whether the version holds"));
    }
}

void configuration_keeper::implementation::collect_results(time_point now)
{
    for (confirm_run& run : runs_)
    {
        auto settled = run.take_settled();
        if (!settled)
            continue;
        auto const* why = std::get_if<error>(&settled->result);
        if (why != nullptr && why->kind() == error_kind::plan_outdated)
            refusals_.push_back({std::move(*settled), run.found_version(),
                                 now + 2 * settings_.table_timeout});
        else
            events_.emplace_back(std::move(*settled));
    }
    std::erase_if(runs_,
                  [](confirm_run const& run) { return run.is_finished(); });
}

void configuration_keeper::implementation::release_refusals(time_point now)
{
    auto const ready = [&](delayed_refusal& refusal)
    {
        if (reader_.version() < refusal.found && now < refusal.wait_until)
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
           std::to_string(peers_.own_incarnation().value()) + "/" +
           std::to_string(ticket) + "/" + std::to_string(random_.next());
}

bool configuration_keeper::implementation::going_on(time_point now) const
{
    auto const& members = peers_.members();
    return in_outage_ && !reader_.version().none() &&
           reader_.highest() == reader_.version() && peers_.is_registered() &&
           outage_promises_.count_valid({peers_.self()}, now) == 1 &&
           rules_.is_majority(outage_promises_.count_valid(members, now),
                              members.size());
}

bool configuration_keeper::implementation::is_known(time_point now) const
{
    return reader_.is_fresh(now) || going_on(now);
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
    incarnation own_incarnation, time_point /*now*/)
{
    implementation_->set_members(members, own_incarnation);
}

void configuration_keeper::on_peer(vm_id const& from,
                                   peer_message const& message, time_point now,
                                   action_list& actions)
{
    implementation_->on_peer(from, message, now, actions);
}

void configuration_keeper::on_table_answer(time_point asked_at)
{
    implementation_->on_table_answer(asked_at);
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

bool configuration_keeper::is_known(time_point now) const
{
    return implementation_->is_known(now);
}

bool configuration_keeper::going_on_without_table(time_point now) const
{
    return implementation_->going_on(now);
}

} // namespace mulberry
