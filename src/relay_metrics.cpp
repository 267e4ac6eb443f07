// The relay's metrics in the Prometheus text format.
#include "relay.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>

namespace mulberry
{

std::string relay::metrics() const
{
    std::string text;
    auto const add =
        [&text](std::string_view name, std::string_view labels, auto value)
    { text += fmt::format("mulberry_{}{} {}\n", name, labels, value); };
    auto const outcome = [&](std::string_view label, std::uint64_t value)
    { add("requests_total", fmt::format("{{outcome=\"{}\"}}", label), value); };
    add("requests_received_total", "", counts_.requests);
    outcome("served", counts_.served);
    outcome("worker_failed", counts_.worker_failed);
    outcome("rejected", counts_.refused);
    outcome("failed", counts_.failed);
    outcome("caller_gone", counts_.caller_gone);
    auto const rejected = [&](std::string_view why, std::uint64_t value)
    {
        add("rejected_for_team_total", fmt::format("{{reason=\"{}\"}}", why),
            value);
    };
    rejected("key_missing", counts_.key_missing);
    rejected("key_unknown", counts_.key_unknown);
    rejected("key_in_doubt", counts_.key_unverified);
    rejected("over_allotment", counts_.over_allotment);
    rejected("allotment_unknown", counts_.allotment_unknown);
    allotment_counts const allotments = allotments_->counts();
    add("allotment_refused_early_total", "", allotments.refused_early);
    add("allotment_refused_by_pool_total", "", allotments.refused_by_pool);
    add("allotment_unanswered_total", "", allotments.unanswered);
    add("allotment_second_queries_total", "", allotments.second_queries);
    add("retries_total", "", counts_.retries);
    add("sent_to_replaced_version_total", "", counts_.sent_to_superseded);
    add("workers_leaving_heard_total", "", counts_.leaving_reported);
    add("worker_rests_total", "", counts_.backoffs);
    add("worker_limit_reached_total", "", counts_.limit_reached);
    for (auto const& [worker, usage] : limits_.usage())
    {
        std::string const label =
            fmt::format("{{worker=\"{}\"}}", worker.str());
        add("worker_limit_per_second", label, usage.per_second);
        add("worker_limit_share_per_second", label,
            usage.per_second / double(members_));
        add("worker_limit_admitted_total", label, usage.admitted);
        add("worker_limit_refused_total", label, usage.refused);
    }

    add("caller_connections_closed_total", "", gate_.closed());
    add("slow_callers_closed_total", "", counts_.slow_callers_closed);
    add("unsent_bytes", "", std::uint64_t{answers_.unsent()});
    add("buffered_answer_bytes", "", std::uint64_t{answers_.buffered()});
    if (caller_memory const* const memory = options_.memory)
    {
        auto const held = [&](std::string_view what, std::size_t bytes)
        {
            add("caller_memory_bytes", fmt::format("{{for=\"{}\"}}", what),
                std::uint64_t{bytes});
        };
        held("connections", memory->connections());
        held("worker_connections", memory->worker_connections());
        held("requests", memory->requests());
        held("answers", answers_.held());
        add("caller_memory_capacity_bytes", "",
            std::uint64_t{memory->capacity().value_or(0)});
        add("requests_refused_for_memory_total", "", memory->counts().refused);
        add("requests_yielded_for_memory_total", "", memory->counts().yielded);
    }
    add("cut_off_from_workers", "", std::uint64_t{reachability_.is_cut_off()});
    add("stream_records_sent_total", "", counts_.stream_records_sent);
    add("stream_questions_total", "", counts_.stream_questions);
    add("streams_unknown_total", "", counts_.streams_unknown);
    add("stream_records", "", std::uint64_t{streams_.size()});
    add("sent_through_total", "", counts_.sent_through);
    add("calls_forwarded_total", "", counts_.calls_forwarded);
    add("calls_forwarded_now", "", std::uint64_t{calls_forwarded_now_});
    add("orders_total", "", counts_.orders);
    add("orders_unknown_total", "", counts_.orders_unknown);
    add("orders_undecided_total", "", counts_.orders_undecided);
    add("orders_conflict_total", "", counts_.orders_conflict);
    add("worker_reports_total", "", counts_.reports);
    add("connections_opened_total", "", pool_.connections_opened());
    add("answers_skipped_total", "", pool_.answers_skipped());
    add("log_lines_left_out_total", "", log_.lines_left_out());
    add("config_version", "", version().value());
    add("members", "", members_);
    auto const unfinished =
        std::count_if(exchanges_.begin(), exchanges_.end(),
                      [](auto const& each) { return !each.second->is_over(); });
    add("requests_in_progress", "",
        early_requests_.size() + static_cast<std::size_t>(unfinished));
    auto const add_latency =
        [&](std::string const& name, latency_meter const& meter)
    {
        latency_summary const latency = meter.summary();
        add(name, "{quantile=\"0.5\"}", latency.median);
        add(name, "{quantile=\"0.95\"}", latency.p95);
        add(name, "{quantile=\"0.99\"}", latency.p99);
        add(name + "_count", "", latency.count);
        add(name + "_sum", "", latency.sum);
    };
    add_latency("first_byte_seconds", first_byte_latency_);
    add_latency("waited_seconds", queueing_delays_);
    add_latency("stream_gap_seconds", stream_gaps_);
    for (auto const& [name, service] : services_)
    {
        scheduler_counts const counts = service.scheduler.counts();
        std::string const label = fmt::format("{{service=\"{}\"}}", name.str());
        add("objective_scheduling", label,
            int{service.scheduler.by_objective()});
        add("refused_by_delay_total", label, counts.refused_by_delay);
        add("refused_by_delay_share", label, counts.refused_by_delay_share);
        add("demoted_late_total", label, counts.demoted_late);
        add("rejected_late_total", label, counts.rejected_late);
        add("worker_tokens_held", label, counts.worker_tokens_held);
        for (auto const& [team, tokens] : counts.team_tokens_started)
            add("team_tokens_started_total",
                fmt::format("{{service=\"{}\",team=\"{}\"}}", name.str(),
                            team.str()),
                tokens);
        add("waiting", label, counts.waiting);
        add("sent", label, counts.sent);
        add("placed_resident_total", label, counts.placed_resident);
        add("placed_after_load_total", label, counts.placed_after_load);
        add("placed_elsewhere_total", label, counts.placed_elsewhere);
        add("placed_granted_total", label, counts.placed_granted);
        add("granted_total", label, counts.granted);
        add("refused_total", label, counts.refused);
        add("cold_loads_total", label, counts.cold_loads);
        add("warm_loads_total", label, counts.warm_loads);
        add("evictions_total", label, counts.evictions);
        for (copy_decision const verdict : all_copy_decisions)
            add("prompt_copies_total",
                fmt::format("{{service=\"{}\",verdict=\"{}\"}}", name.str(),
                            to_string(verdict)),
                counts.prompt_copies.at(static_cast<std::size_t>(verdict)));
    }
    return text + waits_.text("mulberry_wait_seconds") +
           grant_waits_.text("mulberry_grant_wait_seconds") +
           crashes_.metrics() + stream_rows_.metrics();
}

} // namespace mulberry
