#include "cluster_view.hpp"

#include "placement.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberry
{
namespace
{

/// A request that this VM sent and that the worker's view may not include yet.
struct sent_request
{
    adapter_ref adapter;
    std::uint64_t prefix_key = 0;
    time_point sent_at{};
};

struct entry
{
    worker_view view;
    /// The load by which the indexes sort the worker. Must not change while
    /// the worker is indexed.
    double load = 0;
    /// Orders workers of equal load the same way on every VM, without
    /// comparing ids at each step of a tree lookup.
    std::uint64_t tie_break = 0;
    std::vector<sent_request> sent;
};

struct by_load
{
    bool operator()(entry const* left, entry const* right) const
    {
        if (left->load != right->load)
            return left->load < right->load;
        if (left->tie_break != right->tie_break)
            return left->tie_break < right->tie_break;
        return left->view.id < right->view.id;
    }
};

using load_order = std::set<entry*, by_load>;
using view_list = std::vector<worker_view const*>;

constexpr double full_load = 1.0;

bool routable(resident_view const& resident)
{
    return resident.state != resident_state::evicting;
}

view_list first_of(load_order const& order, std::size_t max_count)
{
    view_list found;
    found.reserve(std::min(max_count, order.size()));
    for (entry const* at : order)
    {
        if (found.size() == max_count)
            break;
        found.push_back(&at->view);
    }
    return found;
}

view_list fullest_of(load_order const& order, std::size_t max_count)
{
    entry bound;
    bound.load = full_load;
    view_list found;
    auto at = order.lower_bound(&bound);
    while (at != order.begin() && found.size() < max_count)
    {
        --at;
        found.push_back(&(*at)->view);
    }
    return found;
}

resident_view& resident_for(worker_view& view, adapter_ref const& adapter)
{
    for (resident_view& resident : view.residents)
        if (resident.adapter == adapter)
            return resident;
    // The request makes the worker load the adapter. The next request for the
    // same adapter should be sent to the same worker instead of starting a
    // second load elsewhere.
    resident_view loading;
    loading.adapter = adapter;
    loading.state = resident_state::loading;
    view.residents.push_back(std::move(loading));
    return view.residents.back();
}

void apply(worker_view& view, sent_request const& sent)
{
    ++view.queued;
    ++resident_for(view, sent.adapter).queued;
    if (sent.prefix_key != 0)
        view.cached_prefixes.insert(sent.prefix_key);
}

} // namespace

resident_view const* worker_view::find(adapter_ref const& adapter) const
{
    auto const at = std::find_if(residents.begin(), residents.end(),
                                 [&](resident_view const& resident)
                                 { return resident.adapter == adapter; });
    return at == residents.end() ? nullptr : &*at;
}

double worker_view::load() const
{
    auto const slots = std::max<std::size_t>(batch_slots, 1);
    return static_cast<double>(running + queued) / static_cast<double>(slots);
}

std::size_t worker_view::stalled() const
{
    std::size_t placed = 0;
    for (resident_view const& resident : residents)
        if (resident.state == resident_state::ready)
            placed += resident.queued;
    return queued - std::min(queued, placed);
}

bool worker_view::can_accept_adapter() const
{
    if (residents.size() < adapter_slots)
        return true;
    return can_evict &&
           std::any_of(residents.begin(), residents.end(),
                       [](resident_view const& resident)
                       { return !resident.pinned_by_previous_owner; });
}

class cluster_view::implementation
{
public:
    void put(worker_view view)
    {
        entry& at = entry_of(view.id);
        unindex(at);
        std::erase_if(at.sent, [&](sent_request const& sent)
                      { return sent.sent_at <= view.as_of; });
        at.view = std::move(view);
        for (sent_request const& sent : at.sent)
            apply(at.view, sent);
        index(at);
    }

    void remove(worker_id const& id)
    {
        auto const at = workers_.find(id);
        if (at == workers_.end())
            return;
        unindex(at->second);
        workers_.erase(at);
    }

    void set_unusable(worker_id const& id)
    {
        auto const at = workers_.find(id);
        if (at == workers_.end())
            return;
        unindex(at->second);
        at->second.view.usable = false;
        index(at->second);
    }

    void add_sent(worker_id const& id, sent_request sent)
    {
        auto const at = workers_.find(id);
        if (at == workers_.end())
            return;
        unindex(at->second);
        apply(at->second.view, sent);
        if (sent.sent_at > at->second.view.as_of)
            at->second.sent.push_back(std::move(sent));
        index(at->second);
    }

    worker_view const* find(worker_id const& id) const
    {
        auto const at = workers_.find(id);
        return at == workers_.end() ? nullptr : &at->second.view;
    }

    std::size_t size() const { return workers_.size(); }
    std::size_t in_progress(base_model_id const& model) const
    {
        auto const at = in_progress_.find(model);
        return at == in_progress_.end() ? 0 : at->second;
    }
    std::size_t stalled() const { return stalled_; }

    load_order const& holders(adapter_ref const& adapter) const
    {
        auto const at = by_adapter_.find(adapter);
        return at == by_adapter_.end() ? no_workers_ : at->second;
    }

    load_order const& of_model(base_model_id const& model) const
    {
        auto const at = by_model_.find(model);
        return at == by_model_.end() ? no_workers_ : at->second;
    }

    view_list all() const
    {
        view_list found;
        found.reserve(workers_.size());
        for (auto const& [id, at] : workers_)
            found.push_back(&at.view);
        std::sort(found.begin(), found.end(),
                  [](worker_view const* left, worker_view const* right)
                  { return left->id < right->id; });
        return found;
    }

private:
    entry& entry_of(worker_id const& id)
    {
        auto const [at, added] = workers_.try_emplace(id);
        if (added)
        {
            at->second.tie_break = stable_hash(id.str());
            at->second.view.id = id;
            at->second.view.usable = false;
        }
        return at->second;
    }

    void index(entry& at)
    {
        at.load = at.view.load();
        if (!at.view.usable)
            return;
        in_progress_[at.view.base_model] += at.view.running + at.view.queued;
        stalled_ += at.view.stalled();
        by_model_[at.view.base_model].insert(&at);
        for (resident_view const& resident : at.view.residents)
            if (routable(resident))
                by_adapter_[resident.adapter].insert(&at);
    }

    void unindex(entry& at)
    {
        if (!at.view.usable)
            return;
        in_progress_[at.view.base_model] -= at.view.running + at.view.queued;
        stalled_ -= at.view.stalled();
        erase_from(by_model_, at.view.base_model, at);
        for (resident_view const& resident : at.view.residents)
            if (routable(resident))
                erase_from(by_adapter_, resident.adapter, at);
    }

    template <class Index>
    static void erase_from(Index& index, typename Index::key_type const& key,
                           entry& at)
    {
        auto const found = index.find(key);
        if (found == index.end())
            return;
        found->second.erase(&at);
        if (found->second.empty())
            index.erase(found);
    }

    std::unordered_map<worker_id, entry> workers_;
    std::unordered_map<base_model_id, load_order> by_model_;
    std::unordered_map<adapter_ref, load_order> by_adapter_;
    load_order no_workers_;
    std::unordered_map<base_model_id, std::size_t> in_progress_;
    std::size_t stalled_ = 0;
};

cluster_view::cluster_view()
    : implementation_(std::make_unique<implementation>())
{
}

cluster_view::~cluster_view() = default;
cluster_view::cluster_view(cluster_view&&) noexcept = default;
cluster_view& cluster_view::operator=(cluster_view&&) noexcept = default;

void cluster_view::put(worker_view view)
{
    implementation_->put(std::move(view));
}

void cluster_view::remove(worker_id const& id)
{
    implementation_->remove(id);
}

void cluster_view::set_unusable(worker_id const& id)
{
    implementation_->set_unusable(id);
}

void cluster_view::add_sent(worker_id const& id, adapter_ref const& adapter,
                            std::uint64_t prefix_key, time_point sent_at)
{
    implementation_->add_sent(id, sent_request{adapter, prefix_key, sent_at});
}

worker_view const* cluster_view::find(worker_id const& id) const
{
    return implementation_->find(id);
}

std::size_t cluster_view::size() const
{
    return implementation_->size();
}

std::vector<worker_view const*>
cluster_view::holders(adapter_ref const& adapter) const
{
    load_order const& order = implementation_->holders(adapter);
    return first_of(order, order.size());
}

std::vector<worker_view const*>
cluster_view::least_loaded(base_model_id const& model,
                           std::size_t max_count) const
{
    return first_of(implementation_->of_model(model), max_count);
}

std::vector<worker_view const*>
cluster_view::fullest_with_room(base_model_id const& model,
                                std::size_t max_count) const
{
    return fullest_of(implementation_->of_model(model), max_count);
}

std::vector<worker_view const*>
cluster_view::least_loaded_holders(adapter_ref const& adapter,
                                   std::size_t max_count) const
{
    return first_of(implementation_->holders(adapter), max_count);
}

std::vector<worker_view const*>
cluster_view::fullest_holders_with_room(adapter_ref const& adapter,
                                        std::size_t max_count) const
{
    return fullest_of(implementation_->holders(adapter), max_count);
}

std::size_t cluster_view::holder_count(adapter_ref const& adapter) const
{
    return implementation_->holders(adapter).size();
}

std::size_t cluster_view::in_progress(base_model_id const& model) const
{
    return implementation_->in_progress(model);
}

std::size_t cluster_view::stalled() const
{
    return implementation_->stalled();
}

std::vector<worker_view const*> cluster_view::all() const
{
    return implementation_->all();
}

} // namespace mulberry
