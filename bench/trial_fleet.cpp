#include "trial_fleet.hpp"

#include "event_queue.hpp"
#include "service_scheduler.hpp"
#include "trial_load.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// Every VM is told at once of what the registry says.
constexpr time_point always_current{std::chrono::hours(24 * 365)};
/// One way between a VM and another VM or a worker, their own work included.
constexpr milliseconds hop{1};
/// The end of a grant is told to its owner so much later; see relay_peers.cpp.
constexpr milliseconds tell_done_delay{30};
/// When a worker without an answer counts as gone for a send, and for an order.
constexpr milliseconds connect_timeout{300};
/// Requests that workers reject one after the other are not sent to more.
constexpr int most_sends = 4;
/// Callers come back once, if they are told to within this part of their time.
constexpr int caller_returns = 1;
constexpr int return_part = 3;
constexpr milliseconds worst_span{2000};
constexpr std::size_t worst_spans_counted = 2;
constexpr duration longest_first_load{std::chrono::seconds(2)};
char const* const model_name = "base";

double milliseconds_of(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/// One play. Everything refers to the plan, which outlives it.
class fleet
{
public:
    fleet(trial_plan const& plan, std::uint64_t seed);
    trial_result play();

private:
    struct vm
    {
        vm_id name;
        std::unique_ptr<service_scheduler> scheduler;
        bool run_posted = false;
        time_point wakes_at = never;
    };
    struct worker
    {
        backend_entry entry;
        std::unique_ptr<engine_model> engine;
        std::size_t owner = 0;
        time_point step_at = never;
        std::uint64_t lives = 1;
    };
    /// A try of a caller's request at one VM.
    struct open_request
    {
        trial_request made;
        std::size_t vm = 0;
        int returns_left = caller_returns;
        int sends = 0;
        std::set<worker_id> excluded;
        std::optional<std::size_t> sent_to;
        bool begun = false;
        /// The owner's ticket that it was granted under.
        std::optional<std::pair<std::size_t, ticket_id>> grant;
    };
    struct peer_grant_request
    {
        std::size_t asker = 0;
        ticket_id ticket;
    };
    struct tally
    {
        kind_result result;
        std::vector<double> first_ms;
    };
    struct span_worth
    {
        double owed = 0;
        double earned = 0;
    };

    void make_vms();
    void make_workers();
    void share_registry();
    void disturb(disturbance const& what);
    void restart(std::size_t index);

    void arrive(trial_request const& made, std::size_t at_vm, int returns_left);
    void submit(ticket_id ticket);
    void post_run(std::size_t index);
    void run(std::size_t index);
    void wake_at(std::size_t index, time_point when);
    void carry_out(std::size_t index, placement_action const& action);
    void send(std::size_t index, place_request const& placed);
    void on_sent(ticket_id ticket, std::size_t to, admission outcome);
    void refuse(std::size_t index, reject_request const& refused);
    void ask(std::size_t index, request_owner_grant const& question);
    void watch_ask(std::size_t index, ticket_id ticket, ticket_id at_owner,
                   std::size_t owner);
    void answer(ticket_id at_owner, bool granted, granted_copy const& on);
    void order(std::size_t index, issue_order const& given);
    void report(std::size_t index, request_report const& question);
    void step(std::size_t index);
    void plan_step(std::size_t index);
    void on_progress(engine_progress const& progress);
    void give_back(open_request& request, send_outcome outcome);
    void deadline(ticket_id ticket);
    void lose(ticket_id ticket);
    void end(ticket_id ticket);

    time_point now() const { return queue_.now(); }
    std::size_t index_of(worker_id const& id) const { return places_.at(id); }
    std::size_t index_of(vm_id const& id) const { return vm_places_.at(id); }
    ticket_id next_ticket() { return ticket_id(++last_ticket_); }
    request_kind const& kind_of(open_request const& request) const
    {
        return plan_.kinds.at(request.made.kind);
    }
    void count(open_request const& request, double earned);
    trial_result sum_up();

    trial_plan const& plan_;
    std::uint64_t const seed_;
    std::mt19937_64 random_;
    event_queue queue_;
    fetch_gate gate_;
    service_config config_;
    std::vector<vm> vms_;
    std::vector<worker> workers_;
    std::map<worker_id, std::size_t> places_;
    std::map<vm_id, std::size_t> vm_places_;
    std::unordered_map<ticket_id, open_request> open_;
    std::unordered_map<ticket_id, peer_grant_request> asks_;
    /// The owner's ticket of a question, by the asker's.
    std::unordered_map<ticket_id, ticket_id> asked_;
    std::vector<tally> tallies_;
    std::vector<span_worth> spans_;
    std::uint64_t last_ticket_ = 0;
    trial_result result_;
};

fleet::fleet(trial_plan const& plan, std::uint64_t seed)
    : plan_(plan), seed_(seed), random_(seed)
{
    config_.name = service_id("llm");
    engine_limits limits;
    limits.batch_slots = plan.engine.batch;
    limits.adapter_slots = plan.engine.adapter_slots;
    limits.weight_loads_per_second = 1;
    limits.models.push_back(
        {base_model_id(model_name), plan.adapters, std::chrono::seconds(1)});
    config_.engine = limits;
    for (request_kind const& each : plan.kinds)
    {
        tallies_.emplace_back();
        tallies_.back().result.name = each.name;
    }
    spans_.resize(static_cast<std::size_t>(plan.length / worst_span) + 1);
    make_vms();
    make_workers();
    share_registry();
}

void fleet::make_vms()
{
    for (std::size_t number = 0; number < plan_.vms; ++number)
    {
        vm made;
        made.name = vm_id("vm-" + std::to_string(number));
        scheduler_settings settings;
        settings.vm = made.name;
        settings.domain =
            domain_id("domain-" + std::to_string(number % plan_.domains));
        made.scheduler = std::make_unique<service_scheduler>(settings, config_);
        made.scheduler->set_members(plan_.vms);
        made.scheduler->schedule_by_objective(plan_.by_objective);
        made.scheduler->set_registry_timestamps(
            {always_current, always_current});
        vm_places_.emplace(made.name, number);
        vms_.push_back(std::move(made));
    }
}

void fleet::make_workers()
{
    for (std::size_t number = 0; number < plan_.workers; ++number)
    {
        worker made;
        made.entry.id = worker_id("w-" + std::to_string(number));
        made.entry.service = config_.name;
        made.entry.domain =
            domain_id("domain-" + std::to_string(number % plan_.domains));
        made.entry.slots = plan_.engine.batch;
        made.entry.started = worker_start(1);
        made.entry.models.push_back(
            {base_model_id(model_name), {}, weights_version(1)});
        made.engine = std::make_unique<engine_model>(plan_.engine, gate_);
        made.owner = number % plan_.owners;
        places_.emplace(made.entry.id, number);
        workers_.push_back(std::move(made));
    }
}

void fleet::share_registry()
{
    std::vector<backend_entry> entries;
    for (worker const& each : workers_)
        entries.push_back(each.entry);
    for (std::size_t index = 0; index < vms_.size(); ++index)
    {
        std::map<worker_id, owned_worker> grants;
        std::map<worker_id, vm_id> others;
        for (worker const& each : workers_)
            if (each.owner == index)
                grants[each.entry.id] = {fencing_number(1), time_point()};
            else
                others[each.entry.id] = vms_.at(each.owner).name;
        service_scheduler& scheduler = *vms_.at(index).scheduler;
        scheduler.set_backends(entries);
        scheduler.set_owned_workers(grants);
        scheduler.set_owners(std::move(others));
        post_run(index);
    }
}

trial_result fleet::play()
{
    trial_load load(plan_, seed_);
    for (trial_request const& each : load.draw())
        queue_.at(each.arrives_at, [this, each]
                  { arrive(each, random_() % vms_.size(), caller_returns); });
    for (disturbance const& each : plan_.disturbances)
        if (each.kind == disturbance_kind::crash)
            queue_.at(time_point(each.at), [this, each] { disturb(each); });
    duration longest{};
    for (request_kind const& each : plan_.kinds)
        longest = std::max(longest, each.deadline);
    queue_.run_until(time_point(plan_.length + longest + longest_first_load));
    return sum_up();
}

void fleet::disturb(disturbance const& what)
{
    std::vector<std::size_t> all(workers_.size());
    for (std::size_t index = 0; index < all.size(); ++index)
        all[index] = index;
    std::shuffle(all.begin(), all.end(), random_);
    all.resize(static_cast<std::size_t>(double(all.size()) * what.share));
    for (std::size_t const index : all)
    {
        for (std::uint64_t const each : workers_.at(index).engine->crash(now()))
            lose(ticket_id(each));
        queue_.after(what.length, [this, index] { restart(index); });
    }
}

void fleet::restart(std::size_t index)
{
    worker& again = workers_.at(index);
    again.engine->start();
    again.entry.started = worker_start(++again.lives);
    std::vector<backend_entry> entries;
    for (worker const& each : workers_)
        entries.push_back(each.entry);
    for (std::size_t vm = 0; vm < vms_.size(); ++vm)
    {
        vms_.at(vm).scheduler->set_backends(entries);
        post_run(vm);
    }
}

void fleet::arrive(trial_request const& made, std::size_t at_vm,
                   int returns_left)
{
    ticket_id const ticket = next_ticket();
    open_request request;
    request.made = made;
    request.vm = at_vm;
    request.returns_left = returns_left;
    queue_.at(made.arrives_at + kind_of(request).deadline,
              [this, ticket] { deadline(ticket); });
    open_.emplace(ticket, std::move(request));
    submit(ticket);
}

void fleet::submit(ticket_id ticket)
{
    open_request const& request = open_.at(ticket);
    request_kind const& kind = kind_of(request);
    work_item item;
    item.ticket = ticket;
    item.target = model_target{base_model_id(model_name),
                               adapter_id(request.made.adapter)};
    item.priority = kind.priority;
    item.arrived_at = now();
    item.give_up_at = request.made.arrives_at + kind.deadline;
    item.objective_at = request.made.arrives_at + kind.objective;
    item.prompt_tokens = request.made.prompt_tokens;
    item.prefix = request.made.prefix;
    item.excluded = request.excluded;
    vms_.at(request.vm).scheduler->submit(std::move(item), now());
    post_run(request.vm);
}

void fleet::post_run(std::size_t index)
{
    if (std::exchange(vms_.at(index).run_posted, true))
        return;
    queue_.at(now(), [this, index] { run(index); });
}

void fleet::run(std::size_t index)
{
    vm& at = vms_.at(index);
    at.run_posted = false;
    for (placement_action const& each : at.scheduler->run(now()))
        carry_out(index, each);
    wake_at(index, at.scheduler->next_due());
}

void fleet::wake_at(std::size_t index, time_point when)
{
    vm& at = vms_.at(index);
    if (when == never)
        return;
    when = std::max<time_point>(when, now() + milliseconds(1));
    if (at.wakes_at > now() && at.wakes_at <= when)
        return;
    at.wakes_at = when;
    queue_.at(when, [this, index] { post_run(index); });
}

void fleet::carry_out(std::size_t index, placement_action const& action)
{
    if (auto const* placed = std::get_if<place_request>(&action))
        return send(index, *placed);
    if (auto const* refused = std::get_if<reject_request>(&action))
        return refuse(index, *refused);
    if (auto const* question = std::get_if<request_owner_grant>(&action))
        return ask(index, *question);
    if (auto const* granted = std::get_if<grant_peer_request>(&action))
        return answer(granted->ticket, true, granted->copy);
    if (auto const* given = std::get_if<issue_order>(&action))
        return order(index, *given);
    // No version is declared in a trial.
    if (std::holds_alternative<withdraw_request>(action))
        return;
    report(index, std::get<request_report>(action));
}

void fleet::send(std::size_t index, place_request const& placed)
{
    auto const found = open_.find(placed.ticket);
    if (found == open_.end())
        return vms_.at(index).scheduler->ended(placed.ticket,
                                               send_outcome::abandoned, now());
    open_request& request = found->second;
    std::size_t const to = index_of(placed.worker);
    ++request.sends;
    request.sent_to = to;
    engine_request made;
    made.id = placed.ticket.value();
    made.adapter = request.made.adapter;
    made.prefix = request.made.prefix;
    made.prompt_tokens = request.made.prompt_tokens;
    made.answer_tokens = request.made.answer_tokens;
    made.priority = kind_of(request).priority;
    made.prefix_copied = placed.prefix_source.has_value();
    queue_.after(hop,
                 [this, ticket = placed.ticket, to, made]
                 {
                     if (open_.count(ticket) == 0)
                         return;
                     admission const outcome =
                         workers_.at(to).engine->submit(made, now());
                     duration const known =
                         outcome == admission::down ? connect_timeout : hop;
                     queue_.after(known, [this, ticket, to, outcome]
                                  { on_sent(ticket, to, outcome); });
                     plan_step(to);
                 });
}

void fleet::on_sent(ticket_id ticket, std::size_t to, admission outcome)
{
    auto const found = open_.find(ticket);
    if (outcome == admission::taken || found == open_.end())
        return;
    open_request& request = found->second;
    send_outcome const told = outcome == admission::full ? send_outcome::full
                              : outcome == admission::lacks_adapter
                                  ? send_outcome::not_held
                                  : send_outcome::unreachable;
    vms_.at(request.vm).scheduler->ended(ticket, told, now());
    give_back(request, told);
    request.excluded.insert(workers_.at(to).entry.id);
    request.sent_to.reset();
    if (request.sends >= most_sends)
    {
        ++tallies_.at(request.made.kind).result.lost;
        count(request, 0);
        return end(ticket);
    }
    submit(ticket);
}

void fleet::refuse(std::size_t index, reject_request const& refused)
{
    auto const found = open_.find(refused.ticket);
    if (found == open_.end())
        return answer(refused.ticket, false, {});
    open_request const request = found->second;
    end(refused.ticket);
    time_point const gives_up =
        request.made.arrives_at + kind_of(request).deadline;
    bool const returns =
        request.returns_left > 0 && request.sends == 0 &&
        refused.retry_after <= (gives_up - now()) / return_part;
    if (!returns)
    {
        ++tallies_.at(request.made.kind).result.rejected;
        return count(request, 0);
    }
    std::size_t const elsewhere =
        (index + 1 + random_() % vms_.size()) % vms_.size();
    queue_.after(refused.retry_after,
                 [this, request, elsewhere]
                 {
                     ticket_id const ticket = next_ticket();
                     open_request again;
                     again.made = request.made;
                     again.vm = elsewhere;
                     again.returns_left = request.returns_left - 1;
                     queue_.at(request.made.arrives_at +
                                   kind_of(request).deadline,
                               [this, ticket] { deadline(ticket); });
                     open_.emplace(ticket, std::move(again));
                     submit(ticket);
                 });
}

void fleet::ask(std::size_t index, request_owner_grant const& question)
{
    ++result_.questions;
    std::size_t const owner = index_of(question.owner);
    ticket_id const at_owner = next_ticket();
    asks_.emplace(at_owner, peer_grant_request{index, question.ticket});
    asked_[question.ticket] = at_owner;
    work_item item;
    item.ticket = at_owner;
    item.target = question.target;
    item.priority = question.priority;
    item.give_up_at = question.give_up_at;
    item.requested_worker = question.worker;
    item.excluded = question.excluded;
    item.prompt_tokens = question.prompt_tokens;
    item.prefix = question.prefix;
    item.objective_at = question.objective_at;
    item.begins_elsewhere_at = question.begins_elsewhere_at;
    queue_.after(hop,
                 [this, owner, item]() mutable
                 {
                     item.arrived_at = now();
                     vms_.at(owner).scheduler->submit(item, now());
                     post_run(owner);
                 });
    queue_.after(
        2 * hop, [this, index, ticket = question.ticket]
        { vms_.at(index).scheduler->on_grant_answer_started(ticket, now()); });
    watch_ask(index, question.ticket, at_owner, owner);
}

void fleet::watch_ask(std::size_t index, ticket_id ticket, ticket_id at_owner,
                      std::size_t owner)
{
    time_point const ends = vms_.at(index).scheduler->grant_deadline(ticket);
    queue_.at(std::max<time_point>(ends, now() + milliseconds(1)),
              [this, index, ticket, at_owner, owner]
              {
                  auto const asked = asked_.find(ticket);
                  if (asked == asked_.end() || asked->second != at_owner)
                      return;
                  if (vms_.at(index).scheduler->grant_deadline(ticket) > now())
                      return watch_ask(index, ticket, at_owner, owner);
                  asked_.erase(asked);
                  asks_.erase(at_owner);
                  vms_.at(owner).scheduler->withdraw(at_owner, now());
                  vms_.at(owner).scheduler->ended(
                      at_owner, send_outcome::abandoned, now());
                  vms_.at(index).scheduler->on_grant_answer(
                      ticket, grant_outcome::silent, {}, now());
                  post_run(index);
              });
}

void fleet::answer(ticket_id at_owner, bool granted, granted_copy const& on)
{
    auto const found = asks_.find(at_owner);
    if (found == asks_.end())
        return;
    peer_grant_request const asked = found->second;
    asks_.erase(found);
    queue_.after(
        hop,
        [this, asked, at_owner, granted, on]
        {
            auto const waiting = asked_.find(asked.ticket);
            bool const wanted =
                waiting != asked_.end() && waiting->second == at_owner;
            if (wanted)
                asked_.erase(waiting);
            auto const request = open_.find(asked.ticket);
            bool used = false;
            if (wanted && request != open_.end())
            {
                if (granted)
                    request->second.grant = {
                        workers_.at(index_of(on.worker)).owner, at_owner};
                used = vms_.at(asked.asker)
                           .scheduler->on_grant_answer(
                               asked.ticket,
                               granted ? grant_outcome::granted
                                       : grant_outcome::refused,
                               on, now());
                post_run(asked.asker);
            }
            if (!granted || used)
                return;
            if (request != open_.end())
                request->second.grant.reset();
            std::size_t const owner = workers_.at(index_of(on.worker)).owner;
            vms_.at(owner).scheduler->ended(at_owner, send_outcome::abandoned,
                                            now());
            post_run(owner);
        });
}

void fleet::order(std::size_t index, issue_order const& given)
{
    ++result_.orders;
    queue_.after(
        hop,
        [this, index, order = given.order]
        {
            order_outcome const outcome =
                workers_.at(index_of(order.worker)).engine->take(order, now());
            bool const silent = outcome == order_outcome::unknown;
            result_.orders_refused += outcome == order_outcome::conflict;
            queue_.after(silent ? duration(connect_timeout) : duration(hop),
                         [this, index, order, outcome]
                         {
                             vms_.at(index).scheduler->on_order(order, outcome,
                                                                now());
                             post_run(index);
                         });
        });
}

void fleet::report(std::size_t index, request_report const& question)
{
    queue_.after(2 * hop,
                 [this, index, worker = question.worker]
                 {
                     auto& at = workers_.at(index_of(worker));
                     worker_report told =
                         at.engine->report(base_model_id(model_name), now());
                     told.started = at.entry.started;
                     vms_.at(index).scheduler->on_report(worker, told, now());
                     post_run(index);
                 });
}

void fleet::plan_step(std::size_t index)
{
    worker& at = workers_.at(index);
    time_point const ends = at.engine->step_ends_at();
    if (ends == never || ends == at.step_at)
        return;
    at.step_at = ends;
    queue_.at(ends, [this, index] { step(index); });
}

void fleet::step(std::size_t index)
{
    worker& at = workers_.at(index);
    at.step_at = never;
    for (engine_progress const& each : at.engine->advance(now()))
        queue_.after(hop, [this, each] { on_progress(each); });
    plan_step(index);
}

void fleet::on_progress(engine_progress const& progress)
{
    ticket_id const ticket(progress.request);
    auto const found = open_.find(ticket);
    if (found == open_.end())
        return;
    open_request& request = found->second;
    request_kind const& kind = kind_of(request);
    tally& of_kind = tallies_.at(request.made.kind);
    duration const age = now() - request.made.arrives_at;
    if (progress.what == engine_progress::kind::first_token)
    {
        if (std::exchange(request.begun, true))
            return;
        of_kind.first_ms.push_back(milliseconds_of(age));
        bool const in_time = age <= kind.objective;
        ++(in_time ? of_kind.result.in_time : of_kind.result.late);
        count(request, in_time ? kind.worth : kind.late_worth);
        vms_.at(request.vm).scheduler->first_byte(ticket, now());
        return post_run(request.vm);
    }
    vms_.at(request.vm).scheduler->ended(ticket, send_outcome::served, now());
    give_back(request, send_outcome::served);
    post_run(request.vm);
    end(ticket);
}

void fleet::give_back(open_request& request, send_outcome outcome)
{
    auto const grant = std::exchange(request.grant, std::nullopt);
    if (!grant)
        return;
    queue_.after(
        tell_done_delay,
        [this, grant = *grant, outcome]
        {
            vms_.at(grant.first).scheduler->ended(grant.second, outcome, now());
            post_run(grant.first);
        });
}

void fleet::deadline(ticket_id ticket)
{
    auto const found = open_.find(ticket);
    if (found == open_.end())
        return;
    open_request& request = found->second;
    if (request.begun)
        return;
    service_scheduler& scheduler = *vms_.at(request.vm).scheduler;
    if (request.sent_to)
    {
        workers_.at(*request.sent_to).engine->cancel(ticket.value());
        scheduler.ended(ticket, send_outcome::abandoned, now());
        give_back(request, send_outcome::abandoned);
    }
    else
    {
        asked_.erase(ticket);
        scheduler.withdraw(ticket, now());
    }
    ++tallies_.at(request.made.kind).result.lost;
    count(request, 0);
    post_run(request.vm);
    end(ticket);
}

/// The worker that ran it is gone.
void fleet::lose(ticket_id ticket)
{
    auto const found = open_.find(ticket);
    if (found == open_.end())
        return;
    open_request& request = found->second;
    vms_.at(request.vm).scheduler->ended(ticket, send_outcome::broken, now());
    give_back(request, send_outcome::broken);
    post_run(request.vm);
    if (request.sent_to)
        request.excluded.insert(workers_.at(*request.sent_to).entry.id);
    request.sent_to.reset();
    if (kind_of(request).resumable && request.sends < most_sends)
        return submit(ticket);
    if (!request.begun)
    {
        ++tallies_.at(request.made.kind).result.lost;
        count(request, 0);
    }
    end(ticket);
}

void fleet::end(ticket_id ticket)
{
    open_.erase(ticket);
}

/// Once for each request of a caller.
void fleet::count(open_request const& request, double earned)
{
    request_kind const& kind = kind_of(request);
    ++tallies_.at(request.made.kind).result.asked;
    auto const span = static_cast<std::size_t>(
        request.made.arrives_at.time_since_epoch() / worst_span);
    spans_.at(span).owed += kind.worth;
    spans_.at(span).earned += earned;
}

double percentile(std::vector<double> const& sorted, double share)
{
    if (sorted.empty())
        return 0;
    auto const place =
        static_cast<std::size_t>(share * double(sorted.size() - 1));
    return sorted.at(place);
}

trial_result fleet::sum_up()
{
    result_.seed = seed_;
    for (tally& each : tallies_)
    {
        std::sort(each.first_ms.begin(), each.first_ms.end());
        each.result.first_p50_ms = percentile(each.first_ms, 0.5);
        each.result.first_p95_ms = percentile(each.first_ms, 0.95);
        each.result.first_p99_ms = percentile(each.first_ms, 0.99);
        result_.kinds.push_back(each.result);
    }
    double owed = 0;
    double earned = 0;
    std::vector<double> shares;
    for (span_worth const& each : spans_)
    {
        owed += each.owed;
        earned += each.earned;
        if (each.owed > 0)
            shares.push_back(each.earned / each.owed);
    }
    result_.worth = owed == 0 ? 0 : earned / owed;
    std::sort(shares.begin(), shares.end());
    std::size_t const worst = std::min(shares.size(), worst_spans_counted);
    for (std::size_t index = 0; index < worst; ++index)
        result_.worst_spans += shares.at(index) / double(worst);
    for (worker const& each : workers_)
    {
        engine_counts const& counts = each.engine->counts();
        result_.fetches += counts.fetches;
        result_.fetches_of_copies += counts.fetches_of_copies;
        result_.tokens_read += counts.tokens_read;
        result_.tokens_read_again += counts.tokens_read_again;
    }
    return result_;
}

} // namespace

trial_result play_trial(trial_plan const& plan, std::uint64_t seed)
{
    return fleet(plan, seed).play();
}

} // namespace mulberry
