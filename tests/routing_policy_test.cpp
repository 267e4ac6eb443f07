#include "routing_policy.hpp"

#include "placement.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

constexpr int worker_count = 8;
constexpr int adapter_count = 12;

worker_id worker_numbered(int number)
{
    return worker_id("worker-" + std::to_string(number));
}

adapter_ref adapter_numbered(int number)
{
    return adapter_ref(adapter_id("adapter-" + std::to_string(number)),
                       adapter_version(1));
}

/// Workers with an even number serve one base model, the others another.
base_model_id model_of(int number)
{
    return base_model_id(number % 2 == 0 ? "even" : "odd");
}

declaration a_declaration(double stall_weight = 0.5)
{
    declaration result;
    result.stall_weight = stall_weight;
    for (int i = 0; i < worker_count; ++i)
    {
        worker_declaration worker;
        worker.id = worker_numbered(i);
        worker.base_model = model_of(i);
        worker.domain = domain_id(i % 3 == 0 ? "a" : "b");
        result.workers.emplace(worker.id, worker);
    }
    for (int i = 0; i < adapter_count; ++i)
    {
        adapter_declaration adapter;
        adapter.id = adapter_numbered(i).adapter();
        adapter.base_model = model_of(i);
        adapter.versions = {adapter_version(1)};
        result.adapters.emplace(adapter.id, adapter);
    }
    return result;
}

worker_view a_worker(int number)
{
    worker_view view;
    view.id = worker_numbered(number);
    view.base_model = model_of(number);
    return view;
}

void add_resident(worker_view& view, int adapter, std::size_t in_flight = 0)
{
    resident_view resident;
    resident.adapter = adapter_numbered(adapter);
    resident.in_flight = in_flight;
    view.residents.push_back(resident);
}

model_request a_request(int adapter)
{
    model_request request;
    request.id = request_id("r");
    request.adapter = adapter_numbered(adapter);
    request.base_model = model_of(adapter);
    return request;
}

std::unique_ptr<routing_policy> configured(std::string_view name,
                                           declaration const& configuration)
{
    auto policy = make_policy(name, 1);
    policy->configure(configuration);
    return policy;
}

worker_view random_worker(int number)
{
    worker_view view = a_worker(number);
    view.usable = *rc::gen::inRange(0, 4) != 0;
    view.running = *rc::gen::inRange<std::size_t>(0, 9);
    view.queued = *rc::gen::inRange<std::size_t>(0, 4);
    for (int i = 0; i < adapter_count && view.residents.size() < 4; ++i)
        if (*rc::gen::inRange(0, 4) == 0)
            add_resident(view, i, *rc::gen::inRange<std::size_t>(0, 2));
    return view;
}

std::set<worker_id> random_excluded()
{
    std::set<worker_id> excluded;
    for (int i = 0; i < worker_count; ++i)
        if (*rc::gen::inRange(0, 4) == 0)
            excluded.insert(worker_numbered(i));
    return excluded;
}

bool may_serve(worker_view const& worker, model_request const& request,
               std::set<worker_id> const& excluded)
{
    return worker.usable && worker.base_model == request.base_model &&
           !excluded.contains(worker.id);
}

std::vector<waiting_request> random_waiting()
{
    std::vector<waiting_request> waiting;
    int const count = *rc::gen::inRange(1, 20);
    for (int i = 0; i < count; ++i)
    {
        waiting_request one;
        one.id = request_id(std::to_string(i));
        one.adapter = adapter_numbered(*rc::gen::inRange(0, adapter_count));
        one.priority = *rc::gen::inRange(0, 10);
        waiting.push_back(one);
    }
    return waiting;
}

} // namespace

TEST_CASE("every policy selects a usable worker of the base model if there is "
          "one",
          "[routing_policy]")
{
    for (std::string_view const name : policy_names())
        CHECK(rc::check(std::string(name),
                        [&]
                        {
                            auto const policy =
                                configured(name, a_declaration());
                            cluster_view view;
                            for (int i = 0; i < worker_count; ++i)
                                view.put(random_worker(i));
                            auto const excluded = random_excluded();
                            auto const request =
                                a_request(*rc::gen::inRange(0, adapter_count));
                            policy->observe(request, time_point(1s));
                            auto const chosen = policy->choose_worker(
                                request, view, excluded, time_point(1s));
                            bool any = false;
                            for (worker_view const* one : view.all())
                                any = any || may_serve(*one, request, excluded);
                            RC_ASSERT(chosen.has_value() == any);
                            if (chosen)
                                RC_ASSERT(may_serve(*view.find(*chosen),
                                                    request, excluded));
                        }));
}

TEST_CASE("every policy evicts one of the candidates and serves one of the "
          "eligible requests",
          "[routing_policy]")
{
    for (std::string_view const name : policy_names())
        CHECK(rc::check(
            std::string(name),
            [&]
            {
                auto const policy = configured(name, a_declaration());
                worker_view worker = random_worker(0);
                add_resident(worker, 5);
                auto const victim =
                    policy->choose_victim(worker, adapter_numbered(7),
                                          worker.residents, time_point(1s));
                RC_ASSERT(victim.has_value());
                RC_ASSERT(worker.find(*victim) != nullptr);
                auto const waiting = random_waiting();
                auto const next =
                    policy->choose_next(worker, waiting, time_point(1s));
                RC_ASSERT(next.has_value());
                RC_ASSERT(*next < waiting.size());
            }));
}

TEST_CASE("a policy is deterministic for a seed and a sequence of calls",
          "[routing_policy]")
{
    for (std::string_view const name : policy_names())
        CHECK(rc::check(
            std::string(name),
            [&]
            {
                auto const one = configured(name, a_declaration());
                auto const other = configured(name, a_declaration());
                cluster_view view;
                for (int i = 0; i < worker_count; ++i)
                    view.put(random_worker(i));
                for (int i = 0; i < 10; ++i)
                {
                    auto const request =
                        a_request(*rc::gen::inRange(0, adapter_count));
                    time_point const now{std::chrono::seconds(i)};
                    one->observe(request, now);
                    other->observe(request, now);
                    auto const chosen =
                        one->choose_worker(request, view, {}, now);
                    RC_ASSERT(other->choose_worker(request, view, {}, now) ==
                              chosen);
                    if (chosen)
                        view.add_sent(*chosen, request.adapter, 0, now);
                }
            }));
}

TEST_CASE("no waiting request starves", "[routing_policy]")
{
    // Guards against starvation: a request of the lowest priority waits while
    // two requests of the highest priority, for a popular adapter and close to
    // their deadlines, arrive every half second.
    auto const policy = configured("mulberry", a_declaration());
    worker_view const worker = a_worker(0);
    std::vector<waiting_request> waiting;
    waiting.push_back({request_id("old"), adapter_numbered(2), min_priority,
                       time_point(0s), never});
    bool served = false;
    for (int i = 1; i <= 120 && !served; ++i)
    {
        time_point const at = time_point(i * 500ms);
        for (int each = 0; each < 2; ++each)
            waiting.push_back({request_id(std::to_string(i)),
                               adapter_numbered(4), max_priority, at, at + 1s});
        auto const next = policy->choose_next(worker, waiting, at);
        REQUIRE(next);
        served = *next == 0;
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(*next));
    }
    CHECK(served);
}

TEST_CASE("requests for the same adapter are served together, after requests "
          "of higher priority",
          "[routing_policy]")
{
    auto const policy = configured("mulberry", a_declaration());
    auto const waiting = [](int adapter, int priority)
    {
        return waiting_request{request_id("r"), adapter_numbered(adapter),
                               priority, time_point(0s), never};
    };
    worker_view const worker = a_worker(0);
    CHECK(policy->choose_next(worker,
                              {waiting(0, 5), waiting(2, 5), waiting(2, 5)},
                              time_point(0s)) == 1);
    CHECK(policy->choose_next(worker,
                              {waiting(0, 9), waiting(2, 5), waiting(2, 5)},
                              time_point(0s)) == 0);
}

TEST_CASE("the adapter with the lowest request rate is evicted even if it was "
          "used most recently",
          "[routing_policy]")
{
    auto const policy = configured("mulberry", a_declaration());
    for (int i = 0; i < 50; ++i)
        policy->observe(a_request(0), time_point(std::chrono::seconds(i)));
    policy->observe(a_request(2), time_point(49s));
    worker_view worker = a_worker(0);
    add_resident(worker, 0);
    add_resident(worker, 2);
    worker.residents[0].last_used = time_point(40s);
    worker.residents[1].last_used = time_point(49s);
    CHECK(policy->choose_victim(worker, adapter_numbered(4), worker.residents,
                                time_point(50s)) == adapter_numbered(2));
}

TEST_CASE("an adapter that lost its popularity is evicted soon after the shift",
          "[routing_policy]")
{
    // One adapter is requested every second and then no more; from then on
    // another adapter, not requested before, is requested every fifth second.
    // By the long-term rate alone, the first adapter would keep its slot for
    // minutes.
    auto const policy = configured("mulberry", a_declaration());
    for (int i = 0; i < 300; ++i)
        policy->observe(a_request(0), time_point(std::chrono::seconds(i)));
    for (int i = 300; i < 360; i += 5)
        policy->observe(a_request(2), time_point(std::chrono::seconds(i)));
    worker_view worker = a_worker(0);
    add_resident(worker, 0);
    add_resident(worker, 2);
    CHECK(policy->choose_victim(worker, adapter_numbered(4), worker.residents,
                                time_point(360s)) == adapter_numbered(0));
}

TEST_CASE("adapters declared ready are preloaded and evicted last",
          "[routing_policy]")
{
    declaration configuration = a_declaration();
    ready_declaration ready;
    ready.adapter = adapter_numbered(0);
    configuration.ready.push_back(ready);
    auto const place = place_ready(configuration);
    auto const holds = [](auto const& each) { return !each.second.empty(); };
    auto const at =
        std::find_if(place.by_worker.begin(), place.by_worker.end(), holds);
    REQUIRE(at != place.by_worker.end());
    worker_id const home = at->first;
    worker_view worker = a_worker(0);
    worker.id = home;
    cluster_view view;
    view.put(worker);
    for (std::string_view const name : policy_names())
    {
        auto const policy = configured(name, configuration);
        CHECK(policy->adapters_to_preload(worker, view, time_point(1s)) ==
              std::vector{adapter_numbered(0)});
    }

    auto const policy = configured("mulberry", configuration);
    for (int i = 0; i < 50; ++i)
        policy->observe(a_request(2), time_point(std::chrono::seconds(i)));
    add_resident(worker, 0);
    add_resident(worker, 2);
    CHECK(policy->choose_victim(worker, adapter_numbered(4), worker.residents,
                                time_point(50s)) == adapter_numbered(2));
    // The declared adapter is evicted if there is no other candidate.
    std::vector const only{worker.residents.front()};
    CHECK(policy->choose_victim(worker, adapter_numbered(4), only,
                                time_point(50s)) == adapter_numbered(0));
}

TEST_CASE("no adapter is preloaded in place of adapters with more demand",
          "[routing_policy]")
{
    auto const policy = configured("mulberry", a_declaration());
    for (int i = 0; i < 100; ++i)
    {
        time_point const now{std::chrono::seconds(i)};
        for (int adapter = 2; adapter < 10; adapter += 2)
            policy->observe(a_request(adapter), now);
        if (i % 10 == 0)
            policy->observe(a_request(0), now);
    }
    cluster_view view;
    for (int i = 0; i < worker_count; i += 2)
    {
        worker_view worker = a_worker(i);
        for (int adapter = 2; adapter < 10; adapter += 2)
            add_resident(worker, adapter);
        view.put(worker);
    }
    for (worker_view const* worker : view.all())
        CHECK(policy->adapters_to_preload(*worker, view, time_point(100s))
                  .empty());
}

TEST_CASE("a holder with a free batch slot is selected instead of loading a "
          "second copy",
          "[routing_policy]")
{
    auto const policy = configured("mulberry", a_declaration(1.0));
    cluster_view view;
    for (int i = 0; i < worker_count; i += 2)
        view.put(a_worker(i));
    worker_view holder = a_worker(4);
    holder.running = 7;
    add_resident(holder, 0, 7);
    view.put(holder);
    CHECK(policy->choose_worker(a_request(0), view, {}, time_point(1s)) ==
          holder.id);
}

TEST_CASE("a saturated holder is not selected once its queueing delay costs "
          "more than a load elsewhere",
          "[routing_policy]")
{
    auto const policy = configured("mulberry", a_declaration(0.8));
    cluster_view view;
    for (int i = 0; i < worker_count; i += 2)
        view.put(a_worker(i));
    worker_view holder = a_worker(4);
    holder.running = 8;
    holder.queued = 30;
    add_resident(holder, 0, 8);
    holder.residents.front().queued = 30;
    view.put(holder);
    auto const chosen =
        policy->choose_worker(a_request(0), view, {}, time_point(1s));
    REQUIRE(chosen);
    CHECK(*chosen != holder.id);
}

TEST_CASE("the stall weight decides between an idle holder and a load on a "
          "busy worker",
          "[routing_policy]")
{
    // Six requests run on the first worker in the fill order. The requested
    // adapter is loaded only on an idle worker, the last in the fill order. A
    // high stall weight selects the idle worker to avoid a cold start; a low
    // stall weight keeps that worker unused.
    declaration const configuration = a_declaration();
    std::vector<std::pair<std::uint64_t, int>> order;
    for (int i = 0; i < worker_count; i += 2)
        order.emplace_back(stable_hash(worker_numbered(i).str()), i);
    std::sort(order.begin(), order.end());
    cluster_view view;
    for (auto const& [hash, number] : order)
        view.put(a_worker(number));
    worker_view busy = a_worker(order.front().second);
    busy.running = 6;
    add_resident(busy, 2, 6);
    view.put(busy);
    worker_view idle = a_worker(order.back().second);
    add_resident(idle, 0);
    view.put(idle);

    auto const chosen = [&](double stall_weight)
    {
        auto const policy = configured("mulberry", a_declaration(stall_weight));
        std::optional<worker_id> last;
        for (int i = 1; i < 100; ++i)
            last = policy->choose_worker(a_request(0), view, {},
                                         time_point(std::chrono::seconds(i)));
        return last;
    };
    CHECK(chosen(0.95) == idle.id);
    CHECK(chosen(0.1) == busy.id);
}

TEST_CASE("a worker that has cached the prompt's prefix is preferred",
          "[routing_policy]")
{
    auto const policy = configured("mulberry", a_declaration(1.0));
    cluster_view view;
    for (int const number : {0, 2, 4})
    {
        worker_view holder = a_worker(number);
        holder.running = 1;
        add_resident(holder, 0, 1);
        if (number == 2)
            holder.cached_prefixes.insert(77);
        view.put(holder);
    }
    model_request request = a_request(0);
    request.prefix_key = 77;
    CHECK(policy->choose_worker(request, view, {}, time_point(1s)) ==
          worker_numbered(2));
}

TEST_CASE("a worker that cannot load another adapter is not selected",
          "[routing_policy]")
{
    // A VM is frozen until its lease expires. The new owner of its workers
    // treats their loaded adapters as pinned while the frozen VM may wake up,
    // and requests are packed on one of these workers first. A request for
    // another adapter sent there would wait until its deadline although other
    // workers have free slots.
    for (double const stall_weight : {0.0, 0.5, 1.0})
    {
        auto policy = make_policy("mulberry", 1);
        policy->configure(a_declaration(stall_weight));
        cluster_view view;
        for (int number : {0, 2, 4, 6})
        {
            worker_view worker = a_worker(number);
            worker.adapter_slots = 2;
            if (number != 6)
            {
                add_resident(worker, 2, 1);
                add_resident(worker, 4, 1);
                worker.running = 2;
                for (resident_view& resident : worker.residents)
                    resident.pinned_by_previous_owner = number != 4;
                worker.can_evict = number != 4;
            }
            else
            {
                add_resident(worker, 8, 4);
                add_resident(worker, 10, 3);
                worker.running = 7;
            }
            worker.owner = vm_id("vm");
            view.put(worker);
        }
        time_point const now{1h};
        auto const chosen = policy->choose_worker(a_request(0), view, {}, now);
        REQUIRE(chosen);
        CHECK(*chosen == worker_numbered(6));
        auto const resident =
            policy->choose_worker(a_request(2), view, {}, now);
        REQUIRE(resident);
        CHECK(*resident != worker_numbered(6));
    }
}
