/// Whether this VM can open connections to workers at all.
#ifndef MULBERRY_WORKER_REACHABILITY_HPP
#define MULBERRY_WORKER_REACHABILITY_HPP

#include "ids.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace mulberry
{

/// Distinguishes workers that fail from a VM that is cut off from all workers.
/// When calls to several workers fail in a short time, a few workers are
/// probed over new connections; if none of them answers, the VM counts as cut
/// off until a later probe succeeds. Answers over connections that were opened
/// before prove nothing, since these may go on while new ones are refused.
///
/// Thread safety: none. Pure: no I/O, no clock.
class worker_reachability
{
public:
    /// Sets the listed workers that do not drain.
    void set_workers(std::vector<worker_id> workers);
    /// A call of this VM to the worker failed, or got no answer in time.
    void on_failed(worker_id const& worker, time_point now);
    /// Returns the workers to probe now. Each must be reported with
    /// on_probed().
    std::vector<worker_id> take_probes(time_point now);
    /// Whether the probed worker answered over a new connection.
    void on_probed(worker_id const& worker, bool answered, time_point now);

    bool is_cut_off() const { return cut_off_; }
    /// Whether calls failed lately that may mean that the VM is cut off.
    bool is_in_doubt() const { return cut_off_ || !probing_.empty(); }
    /// When take_probes() must be called next; `never` if nothing is due.
    time_point next_due() const;

private:
    std::size_t failures_needed() const;
    void add_probes(std::size_t count, std::vector<worker_id>& probes);

    std::vector<worker_id> workers_;
    /// Workers to which calls failed, and when last.
    std::map<worker_id, time_point> failed_;
    /// Probes in progress.
    std::set<worker_id> probing_;
    /// Index of the worker that is probed next.
    std::size_t next_worker_ = 0;
    time_point next_probe_at_{};
    bool cut_off_ = false;
};

} // namespace mulberry

#endif
