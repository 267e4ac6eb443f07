/// What a decision and a change of the view cost, and how that grows with
/// workers and adapters.
#include "cluster_view.hpp"
#include "routing_policy.hpp"

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cmath>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace mulberry;
using bench_clock = std::chrono::steady_clock;

constexpr std::size_t batch_slots = 8;
constexpr std::size_t adapter_slots = 8;
constexpr int decisions = 20000;
constexpr double busy_share = 0.65;
constexpr double zipf_exponent = 1.2;

adapter_ref adapter_numbered(std::size_t number)
{
    return adapter_ref(adapter_id("adapter-" + std::to_string(number)),
                       adapter_version(1));
}

worker_id worker_numbered(std::size_t number)
{
    return worker_id("worker-" + std::to_string(number));
}

declaration make_declaration(std::size_t workers, std::size_t adapters)
{
    declaration result;
    base_model_id const model("base");
    for (std::size_t i = 0; i < workers; ++i)
    {
        worker_declaration worker;
        worker.id = worker_numbered(i);
        worker.base_model = model;
        worker.batch_slots = batch_slots;
        worker.adapter_slots = adapter_slots;
        result.workers.emplace(worker.id, worker);
    }
    for (std::size_t i = 0; i < adapters; ++i)
    {
        adapter_declaration adapter;
        adapter.id = adapter_numbered(i).adapter();
        adapter.base_model = model;
        adapter.versions = {adapter_version(1)};
        result.adapters.emplace(adapter.id, adapter);
    }
    return result;
}

/// Skewed draws of adapters.
class skewed_draw
{
public:
    skewed_draw(std::size_t adapters, std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < adapters; ++i)
            weights_.push_back(
                std::pow(static_cast<double>(i + 1), -zipf_exponent));
        draw_ = std::discrete_distribution<std::size_t>(weights_.begin(),
                                                        weights_.end());
    }
    std::size_t operator()() { return draw_(random_); }

private:
    std::mt19937_64 random_;
    std::vector<double> weights_;
    std::discrete_distribution<std::size_t> draw_;
};

worker_view busy_worker(std::size_t number, skewed_draw& draw,
                        std::mt19937_64& random)
{
    worker_view view;
    view.id = worker_numbered(number);
    view.base_model = base_model_id("base");
    view.batch_slots = batch_slots;
    view.adapter_slots = adapter_slots;
    std::binomial_distribution<std::size_t> running(batch_slots, busy_share);
    view.running = running(random);
    while (view.residents.size() < adapter_slots)
    {
        auto const adapter = adapter_numbered(draw());
        if (view.find(adapter) != nullptr)
            continue;
        resident_view resident;
        resident.adapter = adapter;
        resident.in_flight = view.residents.size() < view.running ? 1 : 0;
        view.residents.push_back(resident);
    }
    return view;
}

template <class Call>
double nanoseconds(int times, Call call)
{
    auto const start = bench_clock::now();
    for (int i = 0; i < times; ++i)
        call(i);
    std::chrono::duration<double, std::nano> const passed =
        bench_clock::now() - start;
    return passed.count() / times;
}

std::size_t allocated()
{
    return mallinfo2().uordblks;
}

struct cost_row
{
    double choose = 0;
    double observe = 0;
    double put = 0;
    double add_sent = 0;
    double ahead = 0;
    double bytes_a_worker = 0;
    double bytes_an_adapter = 0;
};

/// On fresh views, as many as there are workers at a time: notes pile up on a
/// worker only until its next view.
double add_sent_cost(std::size_t workers, skewed_draw& draw,
                     std::mt19937_64& random,
                     std::vector<model_request> const& requests)
{
    double sum = 0;
    std::size_t done = 0;
    cluster_view view;
    while (done < requests.size())
    {
        for (std::size_t i = 0; i < workers; ++i)
            view.put(busy_worker(i, draw, random));
        std::vector<worker_id> targets;
        for (std::size_t i = 0; i < workers; ++i)
            targets.push_back(worker_numbered(random() % workers));
        auto const batch = static_cast<int>(workers);
        sum +=
            batch *
            nanoseconds(batch,
                        [&](int i)
                        {
                            auto const place = static_cast<std::size_t>(i);
                            view.add_sent(
                                targets[place],
                                requests[place % requests.size()].adapter, 0);
                        });
        done += workers;
    }
    return sum / static_cast<double>(done);
}

cost_row measure(std::size_t workers, std::size_t adapters)
{
    cost_row row;
    declaration const configuration = make_declaration(workers, adapters);
    skewed_draw draw(adapters, 1);
    std::mt19937_64 random(2);
    std::size_t const before_view = allocated();
    cluster_view view;
    for (std::size_t i = 0; i < workers; ++i)
        view.put(busy_worker(i, draw, random));
    row.bytes_a_worker = static_cast<double>(allocated() - before_view) /
                         static_cast<double>(workers);

    auto policy = make_policy("mulberry", 1);
    policy->configure(configuration);
    std::vector<model_request> requests(decisions);
    for (model_request& request : requests)
    {
        request.adapter = adapter_numbered(draw());
        request.base_model = base_model_id("base");
    }
    time_point const start{};
    auto const at = [&](int i) { return start + i * duration(1000); };
    std::size_t const before_policy = allocated();
    for (std::size_t i = 0; i < adapters; ++i)
    {
        model_request request = requests.front();
        request.adapter = adapter_numbered(i);
        policy->observe(request, start);
        policy->choose_worker(request, view, {}, start);
    }
    row.bytes_an_adapter = static_cast<double>(allocated() - before_policy) /
                           static_cast<double>(adapters);
    row.observe = nanoseconds(
        decisions, [&](int i)
        { policy->observe(requests[static_cast<std::size_t>(i)], at(i)); });
    row.choose = nanoseconds(decisions,
                             [&](int i)
                             {
                                 policy->choose_worker(
                                     requests[static_cast<std::size_t>(i)],
                                     view, {}, at(i));
                             });
    std::vector<worker_view> views;
    for (int i = 0; i < decisions; ++i)
        views.push_back(busy_worker(random() % workers, draw, random));
    row.put = nanoseconds(
        decisions, [&](int i)
        { view.put(std::move(views[static_cast<std::size_t>(i)])); });
    auto const shown = view.all();
    std::vector<worker_view> const some(1, *shown.front());
    row.ahead = nanoseconds(decisions,
                            [&](int i) {
                                policy->adapters_to_preload(some.front(), view,
                                                            at(decisions + i));
                            });
    row.add_sent = add_sent_cost(workers, draw, random, requests);
    return row;
}

} // namespace

int main()
{
    fmt::print("{:>8}{:>9}{:>11}{:>11}{:>9}{:>12}{:>10}{:>12}{:>13}\n",
               "workers", "adapters", "choose ns", "observe ns", "put ns",
               "add_sent ns", "ahead ns", "B a worker", "B an adapter");
    for (std::size_t const workers : {12, 18, 1000, 5800})
        for (std::size_t const adapters : {3000, 18000})
        {
            cost_row const row = measure(workers, adapters);
            fmt::print("{:>8}{:>9}{:>11.0f}{:>11.0f}{:>9.0f}{:>12.0f}{:>10.0f}"
                       "{:>12.0f}{:>13.0f}\n",
                       workers, adapters, row.choose, row.observe, row.put,
                       row.add_sent, row.ahead, row.bytes_a_worker,
                       row.bytes_an_adapter);
        }
    return 0;
}
