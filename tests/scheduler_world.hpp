/// Test harness: a service scheduler with simulated workers in virtual time.
#ifndef MULBERRY_TESTS_SCHEDULER_WORLD_HPP
#define MULBERRY_TESTS_SCHEDULER_WORLD_HPP

#include "service_scheduler.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberry::test
{

/// Simulated worker that executes orders. A load is completed by the first
/// order after its load time is over.
class scripted_worker
{
public:
    order_outcome handle_order(worker_order const& order, time_point now);
    void lose_answers(bool lost) { loses_answers_ = lost; }
    /// Decides for each order whether it gets no answer and how much later it
    /// is carried out instead; nullopt: it is answered. Empty: all are.
    using delay_rule =
        std::function<std::optional<duration>(worker_order const&)>;
    void delay_orders(delay_rule rule) { delay_rule_ = std::move(rule); }
    /// Carries out the delayed orders that are due.
    void carry_out_late(time_point now);
    /// Begins another incarnation, which holds nothing. Delayed orders are
    /// still carried out.
    void restart();
    worker_report report() const;
    std::size_t held() const { return resident_.size() + loading_.size(); }
    std::size_t max_held() const { return max_held_; }
    std::uint64_t sequence() const { return sequence_; }
    /// Simulates a request unknown to the scheduler that uses the adapter; an
    /// unload waits for the end of that request.
    void mark_in_use(std::string const& adapter) { used_.insert(adapter); }
    bool holds(std::string const& adapter) const
    {
        return resident_.count(adapter) > 0;
    }
    /// The version that the last load of the adapter named; 0 for the newest.
    adapter_version ordered_version(std::string const& adapter) const
    {
        auto const found = ordered_.find(adapter);
        return found == ordered_.end() ? adapter_version() : found->second;
    }
    /// When the load of the model that it holds began; nullopt if it holds none
    /// or has held it from the start.
    std::optional<time_point> model_load_started() const
    {
        return model_load_started_;
    }
    std::size_t loads_of(std::string const& adapter) const
    {
        auto const found = loads_.find(adapter);
        return found == loads_.end() ? 0 : found->second;
    }

private:
    order_outcome carry_out(worker_order const& order, time_point now);
    order_outcome load_model(time_point now);

    std::uint64_t sequence_ = 0;
    /// When the load of the model is complete; nullopt: not ordered.
    std::optional<time_point> model_from_ = time_point::min();
    std::optional<time_point> model_load_started_;
    std::set<std::string> resident_;
    std::map<std::string, time_point> loading_;
    std::set<std::string> used_;
    std::map<std::string, time_point> unloading_;
    std::map<std::string, std::size_t> loads_;
    std::map<std::string, adapter_version> ordered_;
    std::size_t max_held_ = 0;
    bool loses_answers_ = false;
    delay_rule delay_rule_;
    std::vector<std::pair<time_point, worker_order>> delayed_;
};

/// Thread safety: none.
class scheduler_world
{
public:
    explicit scheduler_world(std::size_t workers, std::size_t adapter_slots = 4,
                             std::size_t batch_slots = 8);

    /// Submits a request for an adapter, or for the model if `adapter` is
    /// empty.
    ticket_id submit_request(std::string const& adapter, int priority = 0,
                             duration time_left = std::chrono::seconds(5),
                             std::uint32_t prompt_tokens = 0);
    /// Submits another VM's request for a grant at a worker.
    ticket_id submit_peer_request(std::string const& adapter,
                                  std::size_t worker,
                                  std::set<worker_id> excluded = {});
    /// Submits `item` after setting its target, ticket and times.
    ticket_id submit(work_item item, std::string const& adapter,
                     duration time_left = std::chrono::seconds(5));
    /// Runs the scheduler and answers orders and reports until `span` is over.
    void run(duration span);
    void end(ticket_id ticket, send_outcome outcome = send_outcome::served);

    bool placed(ticket_id ticket) const { return placed_.count(ticket) > 0; }
    bool refused(ticket_id ticket) const { return refused_.count(ticket) > 0; }
    bool granted(ticket_id ticket) const { return granted_.count(ticket) > 0; }
    bool withdrawn(ticket_id ticket) const
    {
        return withdrawn_.count(ticket) > 0;
    }
    worker_id granted_worker(ticket_id ticket) const
    {
        return granted_.at(ticket).worker;
    }
    adapter_version granted_version(ticket_id ticket) const
    {
        return granted_.at(ticket).version;
    }
    worker_id worker_of(ticket_id ticket) const { return placed_.at(ticket); }
    reject_request const& refusal(ticket_id ticket) const
    {
        return refused_.at(ticket);
    }
    adapter_version version_of(ticket_id ticket) const
    {
        return versions_.at(ticket);
    }
    std::vector<ticket_id> const& placement_order() const { return order_; }
    std::vector<request_owner_grant> const& grant_requests() const
    {
        return grant_requests_;
    }
    backend_entry prefix_source(ticket_id ticket) const
    {
        return sources_.at(ticket).value_or(backend_entry());
    }
    time_point placed_at(ticket_id ticket) const { return times_.at(ticket); }

    static worker_id name(std::size_t number);
    backend_entry entry(std::size_t number) const;
    void list_all();
    void own_all();
    /// Another VM takes over all workers, and their first owners took them in
    /// the given incarnation.
    void replace_owner(worker_start first_incarnation);

    time_point now{std::chrono::hours(1)};
    /// Whether a placed request starts its answer at once.
    bool begins_at_once = true;
    /// Whether workers answer report requests.
    bool reports = true;
    service_config config;
    std::map<worker_id, scripted_worker> workers;
    std::set<worker_id> draining;
    /// Start times of the workers that list one.
    std::map<worker_id, worker_start> start_times;
    /// Versions of the weights that workers list; 1 if none is given.
    std::map<worker_id, weights_version> weights;
    /// Versions of their software that workers list.
    std::map<worker_id, software_version> software;
    /// Adapters that workers list.
    std::map<worker_id, std::map<adapter_id, adapter_version>> listed_adapters;
    /// All workers list one address.
    bool same_address = false;
    /// Age of the registry data known to the scheduler.
    duration declarations_age{};
    duration workers_age{};
    std::map<worker_id, owned_worker> owned_workers;
    service_scheduler scheduler;

private:
    void carry_out(placement_action const& action);

    std::size_t batch_slots_;
    std::uint64_t owners_ = 1;
    std::uint64_t last_ticket_ = 0;
    std::map<ticket_id, worker_id> placed_;
    /// Grants of other VMs' requests.
    std::map<ticket_id, granted_copy> granted_;
    std::map<ticket_id, time_point> times_;
    std::map<ticket_id, adapter_version> versions_;
    std::map<ticket_id, std::optional<backend_entry>> sources_;
    std::map<ticket_id, reject_request> refused_;
    std::set<ticket_id> withdrawn_;
    std::vector<ticket_id> order_;
    std::vector<request_owner_grant> grant_requests_;
    std::vector<std::pair<time_point, worker_order>> unanswered_;
};

} // namespace mulberry::test

#endif
