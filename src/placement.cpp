#include "placement.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325;
constexpr std::uint64_t fnv_prime = 0x100000001b3;

/// The finalizer of MurmurHash3: each input bit affects all output bits.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccd;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53;
    value ^= value >> 33;
    return value;
}

/// The rendezvous hashing score of an item on a candidate, both given as
/// hashes.
std::uint64_t rendezvous_score(std::uint64_t item, std::uint64_t candidate)
{
    return mix(item ^ candidate);
}

/// The number of slots for ready adapters: one slot of each worker stays free,
/// so that a request for another adapter need not evict a ready one.
std::size_t ready_slots(worker_declaration const& worker)
{
    return worker.adapter_slots -
           std::min<std::size_t>(1, worker.adapter_slots);
}

/// A worker during the placement of ready adapters.
struct candidate_worker
{
    worker_id id;
    std::size_t domain = 0;
    std::size_t free_slots = 0;
    /// Indexes into the list of ready declarations.
    std::vector<std::size_t> assigned;
};

/// The workers of one base model, in the order of their names. Workers with
/// free slots are called open.
class model_workers
{
public:
    void add(worker_declaration const& worker)
    {
        auto const domain =
            domains_.emplace(worker.domain, domains_.size()).first->second;
        std::size_t const free_slots = ready_slots(worker);
        if (free_slots > 0)
            open_.push_back(
                {stable_hash(worker.id.str()), domain, workers_.size()});
        workers_.push_back({worker.id, domain, free_slots, {}});
    }

    std::vector<candidate_worker>& workers() { return workers_; }

    /// The index of the open worker with the highest score; workers in failure
    /// domains without a copy come before all others. None if every open worker
    /// is in `holders`, the workers that already have a copy.
    std::optional<std::size_t>
    best_open_worker(std::uint64_t item,
                     std::vector<std::size_t> const& holders) const
    {
        std::vector<std::uint64_t> bonus(domains_.size(), unused_domain_bonus);
        for (std::size_t const holder : holders)
            bonus[workers_[holder].domain] = 0;
        std::optional<std::size_t> best;
        std::uint64_t best_score = 0; // below every score
        for (open_worker const& candidate : open_)
        {
            std::uint64_t const biased_score =
                (rendezvous_score(item, candidate.hash) / 2 | 1) +
                bonus[candidate.domain];
            if (biased_score <= best_score ||
                contains(holders, candidate.place))
                continue;
            best = candidate.place;
            best_score = biased_score;
        }
        return best;
    }

    void assign_copy(std::size_t place, std::size_t entry)
    {
        workers_[place].assigned.push_back(entry);
        if (--workers_[place].free_slots == 0)
            std::erase_if(open_, [place](open_worker const& each)
                          { return each.place == place; });
    }

    std::vector<std::size_t> open_workers() const
    {
        std::vector<std::size_t> places;
        for (open_worker const& each : open_)
            places.push_back(each.place);
        return places;
    }

    static bool contains(std::vector<std::size_t> const& list, std::size_t what)
    {
        return std::find(list.begin(), list.end(), what) != list.end();
    }

private:
    /// Added to the scores of workers in failure domains without a copy, so
    /// that they exceed all scores in domains that have one.
    static constexpr std::uint64_t unused_domain_bonus = std::uint64_t{1} << 63;

    /// The data that the search for the best worker reads, packed for speed.
    struct open_worker
    {
        std::uint64_t hash;
        std::size_t domain;
        std::size_t place;
    };

    std::map<domain_id, std::size_t> domains_;
    std::vector<candidate_worker> workers_;
    std::vector<open_worker> open_;
};

/// Places the ready adapters, one declaration after the other.
class ready_placement_builder
{
public:
    explicit ready_placement_builder(declaration const& configuration)
        : configuration_(configuration)
    {
        for (auto const& [id, worker] : configuration.workers)
            groups_[worker.base_model].add(worker);
    }

    ready_placement run()
    {
        for (std::size_t at = 0; at < configuration_.ready.size(); ++at)
            place(at);
        for (auto& [model, group] : groups_)
            for (candidate_worker& each : group.workers())
                placement_.by_worker[each.id] = adapters_of(each);
        return std::move(placement_);
    }

private:
    // Copies of an adapter are shared by all applications that declare it
    // ready.
    void place(std::size_t entry)
    {
        ready_declaration const& ready = configuration_.ready[entry];
        std::vector<std::size_t>& holders = holders_[ready.adapter];
        auto const* adapter = configuration_.find(ready.adapter);
        auto const group = adapter == nullptr
                               ? groups_.end()
                               : groups_.find(adapter->base_model);
        while (holders.size() < ready.copies)
            if (group == groups_.end() ||
                !place_one_copy(group->second, entry, holders))
                break;
        if (holders.size() < ready.copies)
        {
            placement_.unplaced.push_back(ready);
            placement_.unplaced.back().copies = ready.copies - holders.size();
        }
    }

    bool place_one_copy(model_workers& group, std::size_t entry,
                        std::vector<std::size_t>& holders)
    {
        std::uint64_t const item =
            stable_hash(configuration_.ready[entry].adapter.str());
        auto place = group.best_open_worker(item, holders);
        if (!place)
            place = free_slot_by_move(group, holders);
        if (!place)
            return false;
        group.assign_copy(*place, entry);
        holders.push_back(*place);
        return true;
    }

    // If all open workers already have the adapter, moves an adapter of a
    // worker without it to an open worker and returns the worker with the freed
    // slot. Without such moves, the last copies would stay unplaced although
    // there are slots for all.
    std::optional<std::size_t>
    free_slot_by_move(model_workers& group,
                      std::vector<std::size_t> const& holders)
    {
        for (std::size_t const target : group.open_workers())
            for (std::size_t source = 0; source < group.workers().size();
                 ++source)
                if (!model_workers::contains(holders, source) &&
                    move_one_copy(group, source, target))
                    return source;
        return std::nullopt;
    }

    bool move_one_copy(model_workers& group, std::size_t source,
                       std::size_t target)
    {
        std::vector<std::size_t>& assigned = group.workers()[source].assigned;
        for (std::size_t& entry : assigned)
        {
            auto& holders = holders_[configuration_.ready[entry].adapter];
            if (model_workers::contains(holders, target))
                continue;
            std::replace(holders.begin(), holders.end(), source, target);
            group.assign_copy(target, std::exchange(entry, assigned.back()));
            assigned.pop_back();
            ++group.workers()[source].free_slots;
            return true;
        }
        return false;
    }

    std::vector<adapter_ref> adapters_of(candidate_worker& each) const
    {
        std::sort(each.assigned.begin(), each.assigned.end());
        std::vector<adapter_ref> adapters;
        for (std::size_t const entry : each.assigned)
            adapters.push_back(configuration_.ready[entry].adapter);
        return adapters;
    }

    declaration const& configuration_;
    std::map<base_model_id, model_workers> groups_;
    std::unordered_map<adapter_ref, std::vector<std::size_t>> holders_;
    ready_placement placement_;
};

/// Matches workers to VMs by the Gale-Shapley algorithm: each worker proposes
/// to VMs in descending order of score, and a full VM keeps the workers with
/// the highest scores. The result does not depend on the order of proposals.
class worker_matching
{
public:
    worker_matching(std::vector<worker_id> const& workers,
                    std::vector<vm_id> const& vms)
        : max_workers_per_vm_((workers.size() + vms.size() - 1) / vms.size()),
          accepted_(vms.size()),
          last_proposal_(workers.size(), above_all_scores)
    {
        for (worker_id const& worker : workers)
            worker_hashes_.push_back(stable_hash(worker.str()));
        for (vm_id const& vm : vms)
            vm_hashes_.push_back(stable_hash(vm.str()));
    }

    /// The workers of each VM, as indexes into the lists given.
    std::vector<std::vector<std::size_t>> run()
    {
        for (std::size_t worker = 0; worker < worker_hashes_.size(); ++worker)
        {
            std::optional<std::size_t> unassigned = worker;
            while (unassigned)
                unassigned = propose_to_next_vm(*unassigned);
        }
        std::vector<std::vector<std::size_t>> result(accepted_.size());
        for (std::size_t vm = 0; vm < accepted_.size(); ++vm)
            for (; !accepted_[vm].empty(); accepted_[vm].pop())
                result[vm].push_back(accepted_[vm].top().second);
        return result;
    }

private:
    /// The score of a worker and a VM, and the index of one of the two; a
    /// larger value is preferred by both sides.
    using scored = std::pair<std::uint64_t, std::size_t>;
    static constexpr scored above_all_scores{UINT64_MAX, SIZE_MAX};

    /// The worker proposes to the VM with its next lower score; returns the
    /// worker that has no VM afterwards, if any.
    std::optional<std::size_t> propose_to_next_vm(std::size_t worker)
    {
        scored best{0, 0};
        for (std::size_t vm = 0; vm < vm_hashes_.size(); ++vm)
        {
            scored const proposal{
                rendezvous_score(worker_hashes_[worker], vm_hashes_[vm]), vm};
            if (proposal < last_proposal_[worker] && proposal >= best)
                best = proposal;
        }
        last_proposal_[worker] = best;
        auto& accepted = accepted_[best.second];
        accepted.emplace(best.first, worker);
        if (accepted.size() <= max_workers_per_vm_)
            return std::nullopt;
        std::size_t const rejected = accepted.top().second;
        accepted.pop();
        return rejected;
    }

    std::size_t max_workers_per_vm_;
    std::vector<std::uint64_t> worker_hashes_;
    std::vector<std::uint64_t> vm_hashes_;
    /// The accepted workers of each VM, the one with the lowest score on top.
    std::vector<
        std::priority_queue<scored, std::vector<scored>, std::greater<>>>
        accepted_;
    std::vector<scored> last_proposal_;
};

} // namespace

std::uint64_t stable_hash(std::string_view text)
{
    std::uint64_t hash = fnv_offset;
    for (char const c : text)
    {
        hash ^= static_cast<unsigned char>(c);
        hash *= fnv_prime;
    }
    return mix(hash);
}

std::vector<worker_id> homes_of(declaration const& configuration,
                                adapter_ref const& adapter,
                                std::size_t max_count)
{
    auto const declared = configuration.adapters.find(adapter.adapter());
    if (declared == configuration.adapters.end())
        return {};
    std::uint64_t const item = stable_hash(adapter.str());
    std::vector<std::pair<std::uint64_t, worker_id const*>> scored;
    for (auto const& [id, worker] : configuration.workers)
        if (worker.base_model == declared->second.base_model)
            scored.emplace_back(rendezvous_score(item, stable_hash(id.str())),
                                &id);
    std::size_t const count = std::min(max_count, scored.size());
    auto const end = scored.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(scored.begin(), end, scored.end(),
                      [](auto const& a, auto const& b)
                      {
                          if (a.first != b.first)
                              return a.first > b.first;
                          return *a.second < *b.second;
                      });
    std::vector<worker_id> homes;
    for (std::size_t at = 0; at < count; ++at)
        homes.push_back(*scored[at].second);
    return homes;
}

ready_placement place_ready(declaration const& configuration)
{
    return ready_placement_builder(configuration).run();
}

std::map<worker_id, vm_id> assign_workers(std::vector<worker_id> const& workers,
                                          std::vector<vm_id> const& live_vms)
{
    std::vector<worker_id> sorted_workers = workers;
    std::vector<vm_id> sorted_vms = live_vms;
    std::sort(sorted_workers.begin(), sorted_workers.end());
    std::sort(sorted_vms.begin(), sorted_vms.end());
    sorted_workers.erase(
        std::unique(sorted_workers.begin(), sorted_workers.end()),
        sorted_workers.end());
    sorted_vms.erase(std::unique(sorted_vms.begin(), sorted_vms.end()),
                     sorted_vms.end());
    std::map<worker_id, vm_id> assignment;
    if (sorted_vms.empty())
        return assignment;
    auto const matched = worker_matching(sorted_workers, sorted_vms).run();
    for (std::size_t vm = 0; vm < matched.size(); ++vm)
        for (std::size_t const worker : matched[vm])
            assignment.emplace(sorted_workers[worker], sorted_vms[vm]);
    return assignment;
}

} // namespace mulberry
