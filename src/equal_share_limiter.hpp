/// Limits each VM to an equal share of each allotment.
#ifndef MULBERRY_EQUAL_SHARE_LIMITER_HPP
#define MULBERRY_EQUAL_SHARE_LIMITER_HPP

#include "allotment_limiter.hpp"
#include "token_bucket.hpp"

namespace mulberry
{

/// Needs no messages between VMs, but refuses most of the allotment of a team
/// whose callers use only a few VMs. Thread safety: none. No I/O, no clock.
class equal_share_limiter final : public allotment_limiter
{
public:
    explicit equal_share_limiter(allotment_terms terms) : terms_(terms) {}

    void set_allotments(std::map<allotment_id, allotment> const& teams,
                        time_point now) override;
    void set_members(allotment_members members, time_point now) override;
    void request(unit_request const& asked, time_point now) override;
    void give_back(allotment_id const& team, double units,
                   time_point now) override;
    std::vector<allotment_action> run(time_point now) override;

private:
    void update_rates(time_point now);

    allotment_terms const terms_;
    std::size_t count_ = 1;
    std::map<allotment_id, allotment> limits_;
    std::map<allotment_id, token_bucket> buckets_;
    std::vector<allotment_action> decisions_;
};

} // namespace mulberry

#endif
