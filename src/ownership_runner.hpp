/// Runs the ownership_keeper, which decides on membership and ownership,
/// against the metadata store.
#ifndef MULBERRY_OWNERSHIP_RUNNER_HPP
#define MULBERRY_OWNERSHIP_RUNNER_HPP

#include "backend_entry.hpp"
#include "event_log.hpp"
#include "ownership_keeper.hpp"
#include "row_mirror.hpp"
#include "row_store.hpp"
#include "service_scheduler.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace mulberry
{

struct ownership_run_options
{
    ownership_settings keeper;
    /// Minimum time between the orders of two owners to one worker: an engine
    /// that does not check fencing tokens executes every order that arrives, so
    /// the orders of two owners are kept apart in time.
    duration order_gap = std::chrono::milliseconds(3000);
    /// This VM registers once the workers and all own rows are known, so that
    /// one write is enough, but at the latest this long after its start.
    duration start_wait{};
};

/// Callbacks for changes. Called on the runner's thread.
struct ownership_listener
{
    std::function<void(std::map<worker_id, owned_worker>)> on_grants;
    std::function<void(std::vector<member_view>)> on_members;
    /// The owners of the workers that other VMs own.
    std::function<void(std::map<worker_id, vm_id>)> on_owners;
};

/// Thread safety: none; used on the thread that runs the io_context.
class ownership_runner
{
public:
    /// The references outlive this object.
    ownership_runner(asio::io_context& io, row_store& store, row_mirror& mirror,
                     ownership_run_options options, event_log& log,
                     ownership_listener listener);

    void start();
    /// Sets the workers that accept orders, as listed in the registry.
    void set_workers(std::vector<backend_entry> const& workers);
    /// Sets whether this VM reaches no worker; see
    /// ownership_keeper::set_cut_off().
    void set_cut_off(bool cut_off);
    /// Whether this VM may issue orders to the worker now: this VM owns the
    /// worker, holds its lease and has waited for the order gap where one is
    /// needed.
    bool may_order(worker_id const& worker) const;
    bool registered() const { return keeper_.registered(); }
    /// See ownership_keeper::stands_by().
    bool stands_by() const { return keeper_.stands_by(); }

private:
    void tick();
    void start_keeper(time_point now);
    bool has_initial_rows() const;
    void execute(action_list const& actions);
    void run(transact const& what);
    void run(read_row const& what);
    void run(std::vector<scan_rows> scans);
    void on_scanned(std::vector<scan_rows> const& scans, bool current,
                    time_point as_of);
    bool requires_current_rows(time_point now);
    void on_written(transact const& what, store_reply const& reply);
    void on_row_read(operation_id operation, store_reply const& reply);
    void deliver(table_reply const& reply);
    void after_change(action_list const& actions);
    void handle_events();
    void publish_grants(bool lease_holds);
    void publish_members(time_point now);
    void observe_owners();
    time_point orders_from(worker_id const& worker, fencing_number fence,
                           time_point now) const;

    asio::io_context& io_;
    row_store& store_;
    row_mirror& mirror_;
    ownership_run_options options_;
    event_log& log_;
    ownership_listener listener_;
    safeguards checks_;
    id_source ids_;
    ownership_keeper keeper_;
    asio::steady_timer timer_;
    std::set<worker_id> declared_;
    /// The owner that a worker's row named, and the row's version. Value.
    struct recorded_owner
    {
        /// Empty if the worker had no owner.
        vm_id vm;
        row_version version;
    };
    /// For each worker, by fencing number.
    std::map<worker_id, std::map<fencing_number, recorded_owner>>
        recorded_owners_;
    std::map<worker_id, owned_worker> grants_;
    std::vector<member_view> members_;
    std::map<worker_id, vm_id> other_owners_;
    bool keeper_started_ = false;
    bool workers_known_ = false;
    time_point keeper_start_deadline_ = never;
    bool held_lease_ = false;
    /// When this VM first noticed that it is registered.
    time_point registered_at_ = never;
};

} // namespace mulberry

#endif
