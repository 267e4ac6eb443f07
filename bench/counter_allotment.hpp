/// Allotments by counters that VMs tell each other of: a way that was weighed
/// against the product's.
#ifndef MULBERRY_COUNTER_ALLOTMENT_HPP
#define MULBERRY_COUNTER_ALLOTMENT_HPP

#include "allotment_limiter.hpp"
#include "jitter.hpp"

#include <map>
#include <string>
#include <vector>

namespace mulberry
{

/// After Gabion, a distributed rate limiter: each VM admits by what it knows of
/// all VMs' use, and tells ln(n) + 2 others twice a second what it knows anew.
/// Its counters only rise, and the highest told is kept. Fails open: who hears
/// nobody admits the whole allotment. A message carries, in place of parts, the
/// counters as units under the names VM/TEAM. Thread safety: none.
class counter_allotment final : public allotment_limiter
{
public:
    counter_allotment(vm_id self, std::vector<vm_id> others,
                      std::uint64_t seed);

    void set_allotments(std::map<allotment_id, allotment> const& teams,
                        time_point now) override;
    void set_members(allotment_members members, time_point now) override;
    void request(unit_request const& asked, time_point now) override;
    void give_back(allotment_id const& team, double units,
                   time_point now) override;
    allotment_reply answer(allotment_query const& query,
                           time_point now) override;
    std::vector<allotment_action> run(time_point now) override;
    time_point next_due() const override { return tell_at_; }

private:
    struct counter
    {
        double units = 0;
        /// It last rose then.
        time_point rose_at{};
    };
    struct team_state
    {
        allotment limit;
        double level = 0;
        time_point as_of{};
        /// By the VM that counts.
        std::map<vm_id, counter> counters;
    };

    static void refill(team_state& state, time_point now);

    vm_id const self_;
    std::vector<vm_id> others_;
    jitter random_;
    std::map<allotment_id, team_state> teams_;
    time_point tell_at_{};
    std::uint64_t last_number_ = 0;
    std::vector<allotment_action> actions_;
};

} // namespace mulberry

#endif
