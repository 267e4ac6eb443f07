// Orders and report requests to workers.
#include "collected_exchange.hpp"
#include "relay.hpp"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

constexpr int status_ok = 200;
/// A worker answers an order within some ten milliseconds. After a timeout the
/// order is sent again at once: orders are idempotent, since one with the same
/// number takes effect only once.
constexpr milliseconds order_timeout{80};
constexpr milliseconds report_timeout{400};

std::string_view outcome_name(order_outcome outcome)
{
    switch (outcome)
    {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::already_applied:
        return "holds";
    case order_outcome::conflict:
        return "conflict";
    case order_outcome::fenced:
        return "fenced";
    case order_outcome::refused:
        return "refused";
    case order_outcome::other_worker:
        return "other worker";
    case order_outcome::unknown:
        return "unknown";
    case order_outcome::undecided:
        return "undecided";
    }
    return "unknown";
}

} // namespace

collected_call relay::call_worker(backend_entry const& worker,
                                  std::string bytes, duration timeout) const
{
    collected_call call;
    call.to = {worker.address, worker.port};
    call.bytes = std::move(bytes);
    call.options.connect_timeout =
        std::chrono::duration_cast<milliseconds>(timeout);
    call.options.mark =
        answer_mark{codec_.request_id_field(), {}, true, {status_ok}};
    call.current_deadline = [deadline = std::chrono::steady_clock::now() +
                                        timeout] { return deadline; };
    return call;
}

/// Failure: a worker answers one order twice, and the second answer is taken
/// for that to the next order. So each order has an id, which its answer may
/// repeat, and goes out where no copy of an answer without one has a status
/// that its own answer may well have.
answer_mark relay::mark_order(request_id const& id,
                              order_expectation const& expected) const
{
    answer_mark mark{codec_.request_id_field(), id.str(), true};
    for (order_outcome const each : expected.possible)
        mark.possible_statuses.insert(codec_.order_status(each));
    if (expected.without_news)
        mark.harmless_status = codec_.order_status(*expected.without_news);
    return mark;
}

void relay::send_order(issue_order const& order)
{
    service_id const service = order.entry.service;
    if (options_.may_order && !options_.may_order(order.order.worker))
    {
        // The lease has expired since the decision.
        asio::post(io_, [this, service, order = order.order]
                   { on_order(service, order, order_outcome::unknown); });
        return;
    }
    ++counts_.orders;
    request_id const id(fmt::format("{}-{:x}-{}", options_.vm.str(),
                                    options_.seed, counts_.orders));
    collected_call call = call_worker(
        order.entry, codec_.encode_order(order.order, id), order_timeout);
    call.options.mark = mark_order(id, order.expected);
    call.on_end = [this, service, order = order.order,
                   sent_at = now()](collected_answer const& answer)
    {
        on_limit_stated(order.worker, sent_at, answer);
        on_tolerance_stated(service, order.worker, sent_at, answer);
        on_order(service, order,
                 answer.undecided ? order_outcome::undecided
                                  : codec_.decode_order_reply(answer.status));
    };
    start_collected(io_, pool_, std::move(call));
}

void relay::send_report_request(request_report const& question)
{
    ++counts_.reports;
    collected_call call = call_worker(
        question.entry, codec_.encode_report_request(), report_timeout);
    call.on_end = [this, service = question.entry.service,
                   worker = question.worker,
                   sent_at = now()](collected_answer const& answer)
    {
        on_limit_stated(worker, sent_at, answer);
        on_tolerance_stated(service, worker, sent_at, answer);
        on_report(service, worker,
                  answer.status == status_ok ? codec_.decode_report(answer.body)
                                             : std::nullopt);
    };
    start_collected(io_, pool_, std::move(call));
}

void relay::on_order(service_id const& service, worker_order const& order,
                     order_outcome outcome)
{
    counts_.orders_unknown += outcome == order_outcome::unknown;
    counts_.orders_undecided += outcome == order_outcome::undecided;
    counts_.orders_conflict += outcome == order_outcome::conflict;
    bool const is_failure = outcome != order_outcome::accepted &&
                            outcome != order_outcome::already_applied;
    auto const fields = [&]
    {
        return log_fields()
            .add("worker", order.worker.str())
            .add("order", order.kind == order_kind::load ? "load" : "unload")
            .add("model", order.model.str())
            .add("adapter", order.adapter.str())
            .add("sequence", order.expected_sequence)
            .add("fence", order.fence.value())
            .add("outcome", outcome_name(outcome));
    };
    service_state* const known = find(service);
    bool const changed =
        known != nullptr && known->scheduler.on_order(order, outcome, now());
    if (is_failure)
        log_.notable("order answered", fields(), now());
    else if (changed)
        log_.routine("order answered", fields(), now());
    schedule_run();
}

void relay::on_report(service_id const& service, worker_id const& worker,
                      std::optional<worker_report> const& report)
{
    log_.notable(
        "worker report",
        log_fields()
            .add("worker", worker.str())
            .add("outcome", report ? "read" : "none")
            .add("sequence", report ? report->sequence : std::uint64_t{0}),
        now());
    if (service_state* const known = find(service))
        known->scheduler.on_report(worker, report, now());
    schedule_run();
}

} // namespace mulberry
