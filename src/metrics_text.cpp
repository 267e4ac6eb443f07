#include "metrics_text.hpp"

#include "target_measure_text.hpp"

#include <chrono>
#include <sstream>

namespace mulberry
{
namespace
{

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

dispatch_counts total_of(core_status const& status)
{
    dispatch_counts sum = status.retired_counts;
    for (core_status::worker_status const& worker : status.workers)
        sum += worker.counts;
    return sum;
}

/// Escapes a label's value for the Prometheus text format. A line feed becomes
/// a space.
std::string escaped(std::string const& text)
{
    std::string result;
    for (char const each : text)
    {
        if (each == '\\' || each == '"')
            result += '\\';
        result += each == '\n' ? ' ' : each;
    }
    return result;
}

class metric_page
{
public:
    explicit metric_page(std::string vm) : vm_(std::move(vm)) {}

    void add(char const* name, char const* type, char const* help, double value)
    {
        out_ << "# HELP mulberry_" << name << " " << help
             << "\n# TYPE mulberry_" << name << " " << type << "\nmulberry_"
             << name << "{vm=\"" << vm_ << "\"} " << value << "\n";
    }
    void add(char const* name, char const* help, latency_summary const& spans)
    {
        out_ << "# HELP mulberry_" << name << " " << help
             << "\n# TYPE mulberry_" << name << " summary\n";
        quantile(name, "0.5", spans.median);
        quantile(name, "0.95", spans.p95);
        quantile(name, "0.99", spans.p99);
        out_ << "mulberry_" << name << "_sum{vm=\"" << vm_ << "\"} "
             << spans.sum << "\nmulberry_" << name << "_count{vm=\"" << vm_
             << "\"} " << spans.count << "\n";
    }
    /// Adds one gauge for each target for which `value` returns a number.
    template <class Value>
    void add(char const* name, char const* help,
             std::vector<target_standing> const& standings, Value value)
    {
        out_ << "# HELP mulberry_" << name << " " << help
             << "\n# TYPE mulberry_" << name << " gauge\n";
        for (target_standing const& each : standings)
            if (std::optional<double> const number = value(each))
                out_ << "mulberry_" << name << labels(each) << " " << *number
                     << "\n";
    }
    std::string text() const { return out_.str(); }

private:
    void quantile(char const* name, char const* place, double value)
    {
        out_ << "mulberry_" << name << "{vm=\"" << vm_ << "\",quantile=\""
             << place << "\"} " << value << "\n";
    }

    std::string labels(target_standing const& standing) const
    {
        target_declaration const& target = standing.target;
        std::string text = "{vm=\"" + vm_ + "\",application=\"" +
                           escaped(target.application.str()) + "\",measure=\"" +
                           std::string(to_string(target.measure));
        if (target.bound > duration::zero())
            text += "\",bound_ms=\"" +
                    std::to_string(target.bound / std::chrono::milliseconds(1));
        return text + "\"}";
    }

    std::string vm_;
    std::ostringstream out_;
};

char const* state_of(core_status const& status)
{
    if (!status.registered)
        return "starting";
    if (status.leaving)
        return "leaving";
    return status.takes_new_work ? "live" : "stale";
}

char const* state_name(resident_state state)
{
    switch (state)
    {
    case resident_state::loading:
        return "loading";
    case resident_state::ready:
        return "ready";
    case resident_state::evicting:
        return "evicting";
    }
    return "ready";
}

Json::Value worker_json(core_status::worker_status const& worker)
{
    Json::Value value;
    value["worker"] = worker.view.id.str();
    value["fence"] = Json::UInt64(worker.fence.value());
    value["running"] = Json::UInt64(worker.view.running);
    value["queued"] = Json::UInt64(worker.view.queued);
    value["batch_slots"] = Json::UInt64(worker.view.batch_slots);
    value["residents"] = Json::arrayValue;
    bool suspects = false;
    for (resident_view const& resident : worker.view.residents)
    {
        Json::Value one;
        one["adapter"] = resident.adapter.str();
        one["state"] = state_name(resident.state);
        one["in_flight"] = Json::UInt64(resident.in_flight);
        suspects = suspects || resident.pinned_by_previous_owner;
        value["residents"].append(std::move(one));
    }
    value["suspects"] = suspects;
    return value;
}

} // namespace

measures measures_of(core_status const& status)
{
    dispatch_counts const sum = total_of(status);
    measures result;
    auto const ended =
        static_cast<double>(sum.finished + sum.failed + sum.withdrawn);
    if (ended > 0)
        result.stall_share = static_cast<double>(sum.stalled) / ended;
    result.stall_seconds = seconds(sum.stall_time);
    if (sum.open_slot_time > duration::zero())
        result.batch_efficiency =
            seconds(sum.busy_slot_time) / seconds(sum.open_slot_time);
    return result;
}

std::string metrics_text(core_status const& status)
{
    dispatch_counts const sum = total_of(status);
    measures const totals = measures_of(status);
    metric_page page(status.vm.str());
    auto count = [&](char const* name, char const* help, std::uint64_t value)
    { page.add(name, "counter", help, static_cast<double>(value)); };
    auto gauge = [&](char const* name, char const* help, double value)
    { page.add(name, "gauge", help, value); };
    gauge("takes_new_work", "Whether this VM takes new work.",
          status.takes_new_work ? 1 : 0);
    gauge("configuration_version", "The configuration in force.",
          static_cast<double>(status.configuration.value()));
    gauge("lease_holds", "Whether this VM's lease holds.",
          status.lease_holds ? 1 : 0);
    gauge("going_on_without_table",
          "Whether this VM serves on its peers' promises.",
          status.going_on_without_table ? 1 : 0);
    gauge("workers_owned", "Workers that this VM owns.",
          static_cast<double>(status.workers.size()));
    gauge("requests_in_progress", "Requests without a final answer.",
          static_cast<double>(status.in_progress));
    count("requests_accepted_total", "Model requests accepted from callers.",
          status.entry.accepted);
    count("requests_answered_total", "Model requests answered whole.",
          status.entry.answered);
    count("requests_failed_total", "Model requests answered with an error.",
          status.entry.failed);
    page.add("first_event_seconds",
             "From a request's arrival to its first "
             "event.",
             status.first_event_latency);
    page.add("whole_answer_seconds",
             "From a request's arrival to its whole "
             "answer.",
             status.answer_latency);
    count("retries_total", "Tries added to those of callers.",
          status.entry.retries);
    count("misroutes_total", "Tries at VMs that did not own the worker.",
          status.entry.misroutes);
    count("stream_resumes_total", "Streams resumed on another connection.",
          status.entry.resumes + sum.resumes);
    count("requests_stalled_total", "Requests that waited for a load.",
          sum.stalled);
    page.add("stall_seconds_total", "counter",
             "Time that requests waited for a load.", totals.stall_seconds);
    gauge("stall_share", "Share of requests that waited for a load.",
          totals.stall_share);
    gauge("batch_efficiency", "Ratio of running requests to open batch slots.",
          totals.batch_efficiency);
    count("loads_total", "Adapters loaded.", sum.loads);
    count("failed_loads_total", "Loads that failed.", sum.failed_loads);
    count("evictions_total", "Adapters evicted.", sum.evictions);
    count("service_answered_total", "Calls of plain services answered.",
          status.services.answered);
    count("service_replayed_total", "Answers kept from an earlier run.",
          status.services.replayed);
    count("service_unknown_total", "Calls whose outcome is not known.",
          status.services.unknown);
    gauge("service_claims_unwritten",
          "Ends of claims not yet written to the table.",
          static_cast<double>(status.services.unwritten));
    page.add("target_reached", "The quarter to date, of the whole deployment.",
             status.standings,
             [](target_standing const& each) { return each.reached; });
    return page.text();
}

Json::Value targets_json(core_status const& status)
{
    Json::Value result;
    result["quarter"] = status.quarter;
    result["targets"] = Json::arrayValue;
    for (target_standing const& standing : status.standings)
    {
        target_declaration const& target = standing.target;
        Json::Value one;
        one["application"] = target.application.str();
        one["measure"] = std::string(to_string(target.measure));
        one["share"] = target.share;
        if (target.bound > duration::zero())
            one["bound_ms"] =
                Json::Int64(target.bound / std::chrono::milliseconds(1));
        one["counted"] = Json::UInt64(standing.counted);
        if (standing.reached)
            one["reached"] = *standing.reached;
        one["left"] = Json::Int64(standing.left);
        if (standing.forecast)
            one["forecast"] = *standing.forecast;
        one["at_risk"] = standing.at_risk;
        result["targets"].append(std::move(one));
    }
    return result;
}

Json::Value status_json(core_status const& status)
{
    Json::Value value;
    value["vm"] = status.vm.str();
    value["incarnation"] = Json::UInt64(status.vm_incarnation.value());
    value["state"] = state_of(status);
    value["configuration"]["version"] =
        Json::UInt64(status.configuration.value());
    value["configuration"]["fresh"] = status.configuration_known;
    value["table"] = status.lease_holds ? "reachable" : "unreachable";
    value["going_on_without_table"] = status.going_on_without_table;
    value["in_progress"] = Json::UInt64(status.in_progress);
    value["workers"] = Json::arrayValue;
    for (core_status::worker_status const& worker : status.workers)
        value["workers"].append(worker_json(worker));
    measures const totals = measures_of(status);
    value["measures"]["stall_share"] = totals.stall_share;
    value["measures"]["stall_seconds"] = totals.stall_seconds;
    value["measures"]["batch_efficiency"] = totals.batch_efficiency;
    value["measures"]["first_event_p95_s"] = status.first_event_latency.p95;
    value["measures"]["whole_answer_p95_s"] = status.answer_latency.p95;
    value["measures"]["answered"] = Json::UInt64(status.entry.answered);
    value["measures"]["failed"] = Json::UInt64(status.entry.failed);
    return value;
}

} // namespace mulberry
