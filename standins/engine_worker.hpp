/// One engine worker behind its base URL.
#ifndef MULBERRY_ENGINE_WORKER_HPP
#define MULBERRY_ENGINE_WORKER_HPP

#include "adapter_table.hpp"
#include "engine_journal.hpp"
#include "engine_settings.hpp"
#include "engine_streams.hpp"
#include "event_log.hpp"
#include "fault_counts.hpp"
#include "http_client.hpp"
#include "standin_program.hpp"

#include <json/json.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberry::standins
{

/// Returns the faults that can be injected into a worker a given number of
/// times.
fault_counts engine_faults();

/// State shared by the workers of one process.
struct engine_process
{
    standin_loop& loop;
    /// Base URL of the weight store; may be empty.
    std::string weights_url;
    http_client client{};
    event_log history{};
    /// Faults ordered for "*": N over all workers, not N for each worker.
    fault_counts faults = engine_faults();
};

/// Only on the loop's thread.
class engine_worker
{
public:
    engine_worker(engine_settings const& settings, engine_process& process);
    /// `path` is the part of the request's path after the worker's name. Throws
    /// bad_request.
    void handle(standin_request const& request, std::string const& path);
    /// Applies a control request except for the counted faults.
    void control(Json::Value const& order);
    fault_counts& faults() { return faults_; }

private:
    struct load_report
    {
        std::size_t running = 0;
        std::size_t waiting = 0;
        /// Engine names with their numbers of requests in flight.
        std::vector<std::pair<std::string, std::size_t>> adapters;
        steady_time at;
    };
    struct pending_load
    {
        engine_call call;
        std::vector<standin_request> waiting_requests;
    };

    void handle_change(standin_request const& request, std::string const& path);
    void handle_read(standin_request const& request, std::string const& path);
    void complete(standin_request const& request, completion_kind kind,
                  Json::Value const& body);
    void resume(standin_request const& request, std::string const& id);
    void load(standin_request const& request, Json::Value const& body);
    void fetch_weights(std::string const& name, std::string const& path);
    void on_weights_fetched(std::string const& name, std::uint64_t boot,
                            bool ok);
    void finish_load(std::string const& name, std::uint64_t boot, bool ok);
    void unload(standin_request const& request, Json::Value const& body);
    void restart();

    bool take_fault(std::string_view name);
    bool is_stale_fence(std::uint64_t fence);
    engine_call make_call(standin_request const& request, std::string name);
    http_headers answer_headers(std::string const& request) const;
    void respond(standin_request const& request, int status,
                 std::string const& body) const;
    void refuse(standin_request const& request, engine_call const& call,
                int status, std::string_view code);
    std::string models() const;
    std::string report() const;
    void update_load_report();

    engine_settings settings_;
    engine_process& process_;
    engine_journal journal_;
    engine_streams streams_;
    adapter_table adapters_;
    fault_counts faults_ = engine_faults();
    std::map<std::string, pending_load> loads_;
    load_report report_;
    loop_timer report_timer_;
    std::uint64_t highest_fence_ = 0;
    /// Incremented by each restart; the result of a load that was started
    /// before a restart is ignored.
    std::uint64_t boot_ = 0;
    std::uint64_t unnamed_requests_ = 0;
    std::string boot_id_;
    steady_time restart_ends_at_{};
    bool refuses_connections_ = false;
};

} // namespace mulberry::standins

#endif
