#include "cluster_view.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>

using namespace mulberry;

namespace
{

constexpr int worker_count = 9;
constexpr int adapter_count = 6;

worker_id worker_numbered(int number)
{
    return worker_id("worker-" + std::to_string(number));
}

adapter_ref adapter_numbered(int number)
{
    return adapter_ref(adapter_id("adapter-" + std::to_string(number)),
                       adapter_version(1));
}

base_model_id model_numbered(int number)
{
    return base_model_id("model-" + std::to_string(number));
}

worker_view random_worker()
{
    worker_view view;
    view.id = worker_numbered(*rc::gen::inRange(0, worker_count));
    view.base_model = model_numbered(*rc::gen::inRange(0, 2));
    view.usable = *rc::gen::inRange(0, 4) != 0;
    view.batch_slots = 4;
    view.running = *rc::gen::inRange<std::size_t>(0, 5);
    view.as_of = time_point(duration(*rc::gen::inRange(0, 5)));
    for (int i = 0; i < adapter_count; ++i)
    {
        if (*rc::gen::inRange(0, 3) != 0)
            continue;
        resident_view resident;
        resident.adapter = adapter_numbered(i);
        resident.state = static_cast<resident_state>(*rc::gen::inRange(0, 3));
        view.residents.push_back(resident);
    }
    return view;
}

/// Reference implementation of cluster_view without indexes.
class reference_view
{
public:
    struct sent_request
    {
        adapter_ref adapter;
        time_point at;
    };

    void put(worker_view view)
    {
        auto& sent = sent_[view.id];
        std::erase_if(sent, [&](sent_request const& one)
                      { return one.at <= view.as_of; });
        worker_view& kept = views_[view.id] = std::move(view);
        for (sent_request const& one : sent)
            apply(kept, one.adapter);
    }

    void remove(worker_id const& id)
    {
        views_.erase(id);
        sent_.erase(id);
    }

    void add_sent(worker_id const& id, adapter_ref const& adapter,
                  time_point at)
    {
        auto const found = views_.find(id);
        if (found == views_.end())
            return;
        apply(found->second, adapter);
        if (at > found->second.as_of)
            sent_[id].push_back({adapter, at});
    }

    std::map<worker_id, worker_view> const& views() const { return views_; }

    std::set<worker_id> holders(adapter_ref const& adapter) const
    {
        std::set<worker_id> found;
        for (auto const& [id, view] : views_)
        {
            resident_view const* resident = view.find(adapter);
            if (view.usable && resident != nullptr &&
                resident->state != resident_state::evicting)
                found.insert(id);
        }
        return found;
    }

    std::multiset<double> loads(base_model_id const& model) const
    {
        std::multiset<double> found;
        for (auto const& [id, view] : views_)
            if (view.usable && view.base_model == model)
                found.insert(view.load());
        return found;
    }

private:
    static void apply(worker_view& view, adapter_ref const& adapter)
    {
        ++view.queued;
        for (resident_view& resident : view.residents)
            if (resident.adapter == adapter)
            {
                ++resident.queued;
                return;
            }
        resident_view loading;
        loading.adapter = adapter;
        loading.state = resident_state::loading;
        loading.queued = 1;
        view.residents.push_back(loading);
    }

    std::map<worker_id, worker_view> views_;
    std::map<worker_id, std::vector<sent_request>> sent_;
};

void apply_random_change(cluster_view& view, reference_view& reference)
{
    int const kind = *rc::gen::inRange(0, 5);
    worker_id const id = worker_numbered(*rc::gen::inRange(0, worker_count));
    if (kind == 0)
    {
        view.remove(id);
        reference.remove(id);
    }
    else if (kind == 1)
    {
        auto const adapter =
            adapter_numbered(*rc::gen::inRange(0, adapter_count));
        time_point const at(duration(*rc::gen::inRange(0, 6)));
        view.add_sent(id, adapter, 7, at);
        reference.add_sent(id, adapter, at);
    }
    else
    {
        worker_view const one = random_worker();
        view.put(one);
        reference.put(one);
    }
}

std::set<worker_id> ids_of(std::vector<worker_view const*> const& views)
{
    std::set<worker_id> ids;
    for (worker_view const* one : views)
        ids.insert(one->id);
    RC_ASSERT(ids.size() == views.size());
    return ids;
}

void check_adapter(cluster_view const& view, reference_view const& reference,
                   adapter_ref const& adapter)
{
    auto const expected = reference.holders(adapter);
    RC_ASSERT(ids_of(view.holders(adapter)) == expected);
    RC_ASSERT(view.holder_count(adapter) == expected.size());
    auto const least = view.least_loaded_holders(adapter, 2);
    RC_ASSERT(least.size() == std::min<std::size_t>(2, expected.size()));
    for (worker_view const* one :
         view.fullest_holders_with_room(adapter, worker_count))
    {
        RC_ASSERT(expected.contains(one->id));
        RC_ASSERT(one->load() < 1);
    }
}

void check_model(cluster_view const& view, reference_view const& reference,
                 base_model_id const& model)
{
    auto const expected = reference.loads(model);
    std::vector<double> found;
    for (worker_view const* one : view.least_loaded(model, worker_count))
        found.push_back(one->load());
    RC_ASSERT(std::is_sorted(found.begin(), found.end()));
    RC_ASSERT(std::multiset<double>(found.begin(), found.end()) == expected);
    std::vector<double> room;
    for (worker_view const* one : view.fullest_with_room(model, worker_count))
        room.push_back(one->load());
    RC_ASSERT(std::is_sorted(room.rbegin(), room.rend()));
    auto const with_room = static_cast<std::size_t>(
        std::distance(expected.begin(), expected.lower_bound(1.0)));
    RC_ASSERT(room.size() == with_room);
}

} // namespace

TEST_CASE("index lookups return the same workers as a scan of all workers",
          "[cluster_view]")
{
    CHECK(rc::check(
        []
        {
            cluster_view view;
            reference_view reference;
            int const changes = *rc::gen::inRange(1, 40);
            for (int i = 0; i < changes; ++i)
                apply_random_change(view, reference);
            RC_ASSERT(view.size() == reference.views().size());
            std::map<base_model_id, std::size_t> in_progress;
            std::size_t stalled = 0;
            for (auto const& [id, one] : reference.views())
            {
                RC_ASSERT(view.find(id) != nullptr);
                RC_ASSERT(view.find(id)->queued == one.queued);
                RC_ASSERT(view.find(id)->residents == one.residents);
                if (!one.usable)
                    continue;
                in_progress[one.base_model] += one.running + one.queued;
                stalled += one.stalled();
            }
            RC_ASSERT(view.stalled() == stalled);
            for (int i = 0; i < adapter_count; ++i)
                check_adapter(view, reference, adapter_numbered(i));
            for (int i = 0; i < 2; ++i)
            {
                base_model_id const model = model_numbered(i);
                check_model(view, reference, model);
                RC_ASSERT(view.in_progress(model) == in_progress[model]);
            }
        }));
}

TEST_CASE("requests sent after a stale view's as_of stay counted",
          "[cluster_view]")
{
    // Guards against herding: a VM sends two requests to a worker, then
    // receives a hint that describes the worker between the two. If the hint
    // erased the second request, the worker would look less loaded than it is
    // and every VM would send its requests there.
    cluster_view view;
    worker_view worker;
    worker.id = worker_numbered(1);
    worker.base_model = model_numbered(0);
    view.put(worker);
    view.add_sent(worker.id, adapter_numbered(1), 5, time_point(duration(10)));
    view.add_sent(worker.id, adapter_numbered(2), 6, time_point(duration(20)));
    CHECK(view.find(worker.id)->queued == 2);
    CHECK(view.find(worker.id)->cached_prefixes.contains(5));

    worker.as_of = time_point(duration(15));
    worker.running = 1;
    view.put(worker);
    CHECK(view.find(worker.id)->queued == 1);
    CHECK(view.holder_count(adapter_numbered(2)) == 1);
    CHECK(view.holder_count(adapter_numbered(1)) == 0);

    worker.as_of = time_point(duration(20));
    view.put(worker);
    CHECK(view.find(worker.id)->queued == 0);
}

TEST_CASE("all() returns the workers ordered by id", "[cluster_view]")
{
    cluster_view view;
    for (int const number : {3, 1, 2})
    {
        worker_view worker;
        worker.id = worker_numbered(number);
        view.put(worker);
    }
    std::vector<worker_id> ids;
    for (worker_view const* one : view.all())
        ids.push_back(one->id);
    CHECK(ids == std::vector{worker_numbered(1), worker_numbered(2),
                             worker_numbered(3)});
}
