// The core's knowledge of other VMs and their workers, and the ownership hints
// that VMs exchange.
#include "vm_core.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace mulberry
{
namespace
{

constexpr duration voters_interval = std::chrono::milliseconds(100);

} // namespace

void vm_core::refresh_owners(time_point now)
{
    budget_->set_members(std::max<std::size_t>(ownership_.members().size(), 1),
                         now);
    if (!declared_)
        return;
    for (auto const& [id, declared] : declared_->workers)
    {
        if (dispatchers_.count(id) != 0)
            continue;
        worker_view const* known = view_.find(id);
        vm_id const owner = ownership_.owner_of(id);
        bool const given_up = owner == settings_.ownership.vm;
        if (known != nullptr && known->owner == owner &&
            !(given_up && known->usable))
            continue;
        workers_by_owner_[owner].insert(id);
        worker_view fresh = known != nullptr ? *known : worker_view{};
        fresh.id = id;
        fresh.base_model = declared.base_model;
        fresh.domain = declared.domain;
        fresh.batch_slots = declared.batch_slots;
        fresh.adapter_slots = declared.adapter_slots;
        fresh.owner = owner;
        fresh.usable = !owner.empty() && !given_up;
        fresh.as_of = now;
        view_.put(std::move(fresh));
    }
}

void vm_core::refresh_voters(time_point now)
{
    if (now < next_voter_refresh_at_)
        return;
    next_voter_refresh_at_ = now + voters_interval;
    // The lease of a VM that cannot reach the table lapses and the VM is no
    // longer a member, although a majority of such VMs may continue to serve.
    // If only members had votes, the few VMs that still reach the table would
    // form their own majority and confirm a configuration that the others do
    // not learn of.
    auto voters = ownership_.possibly_alive();
    if (voters == voters_)
        return;
    configuration_.set_members(voters, ownership_.incarnation_number(), now);
    voters_ = std::move(voters);
}

void vm_core::refresh_view(time_point now)
{
    for (auto const& [id, dispatcher] : dispatchers_)
    {
        worker_view fresh = dispatcher->view(now);
        fresh.owner = settings_.ownership.vm;
        fresh.usable = fresh.usable && may_serve_owned_workers(now);
        fresh.can_evict = ownership_.lease_holds(now);
        if (worker_view const* known = view_.find(id))
            fresh.cached_prefixes = known->cached_prefixes;
        view_.put(std::move(fresh));
    }
}

void vm_core::on_ownership_hint(vm_id const& from, ownership_hint const& hint,
                                time_point now)
{
    budget_->update_peer_counts(from, hint.loads, now);
    if (!declared_)
        return;
    std::set<worker_id> listed;
    for (worker_view const& reported : hint.workers)
    {
        auto const declared = declared_->workers.find(reported.id);
        if (declared == declared_->workers.end() ||
            dispatchers_.count(reported.id) != 0)
            continue;
        // A hint may arrive after a change of owner. Only hints of the owner
        // in the rows last read count, so that a late hint cannot restore a
        // VM that has given up the worker.
        if (ownership_.owner_of(reported.id) != from)
            continue;
        listed.insert(reported.id);
        worker_view fresh = reported;
        fresh.base_model = declared->second.base_model;
        fresh.domain = declared->second.domain;
        fresh.batch_slots = declared->second.batch_slots;
        fresh.adapter_slots = declared->second.adapter_slots;
        fresh.owner = from;
        fresh.usable = reported.usable && hint.takes_work;
        fresh.as_of = now;
        if (worker_view const* known = view_.find(reported.id))
            fresh.cached_prefixes = known->cached_prefixes;
        view_.put(std::move(fresh));
    }
    exclude_unlisted(from, listed, now);
}

// Between a handover and the moment at which the next owner has read the row,
// nobody serves the worker. If the table becomes unreachable in between, that
// lasts as long as the outage.
void vm_core::exclude_unlisted(vm_id const& owner,
                               std::set<worker_id> const& listed,
                               time_point now)
{
    auto& owned = workers_by_owner_[owner];
    owned.insert(listed.begin(), listed.end());
    std::erase_if(owned, [&](worker_id const& id)
                  { return ownership_.owner_of(id) != owner; });
    for (worker_id const& id : owned)
    {
        worker_view const* known = view_.find(id);
        if (listed.contains(id) || known == nullptr || !known->usable ||
            dispatchers_.count(id) != 0)
            continue;
        worker_view fresh = *known;
        fresh.usable = false;
        fresh.as_of = now;
        view_.put(std::move(fresh));
    }
}

void vm_core::send_hints(time_point now, action_list& actions)
{
    if (now < next_hint_at_ || !ownership_.registered())
        return;
    next_hint_at_ = now + settings_.hint_interval;
    ownership_hint hint;
    hint.life = ownership_.incarnation_number();
    hint.configuration = configuration_.version();
    hint.takes_work = !leaving_since_ && takes_new_work(now);
    hint.loads = budget_->counts();
    for (auto const& [id, dispatcher] : dispatchers_)
        if (worker_view const* own = view_.find(id))
            hint.workers.push_back(*own);
    for (member_view const& member : ownership_.members())
        if (member.vm != settings_.ownership.vm)
            actions.push_back(send_peer_message{member.vm, hint});
}

std::vector<worker_id> vm_core::watched_workers() const
{
    std::set<worker_id> watched;
    for (auto const& [id, dispatcher] : dispatchers_)
        watched.insert(id);
    for (retired_dispatcher const& one : retired_)
        watched.insert(one.worker);
    return {watched.begin(), watched.end()};
}

std::string vm_core::address_of(vm_id const& vm) const
{
    return ownership_.address_of(vm);
}

} // namespace mulberry
