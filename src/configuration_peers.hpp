/// The member VMs that are asked for promises, as of the rows that this VM last
/// read.
#ifndef MULBERRY_CONFIGURATION_PEERS_HPP
#define MULBERRY_CONFIGURATION_PEERS_HPP

#include "action.hpp"
#include "ids.hpp"
#include "peer_message.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace mulberry
{

/// Thread safety: none; part of a configuration_keeper.
class configuration_peers
{
public:
    explicit configuration_peers(vm_id self) : self_(std::move(self)) {}

    void set_members(std::vector<std::pair<vm_id, incarnation>> const& members,
                     incarnation own_incarnation)
    {
        own_incarnation_ = own_incarnation;
        members_.clear();
        incarnations_.clear();
        for (auto const& [vm, incarnation_number] : members)
            if (incarnations_.emplace(vm, incarnation_number).second)
                members_.push_back(vm);
    }

    vm_id const& self() const { return self_; }
    incarnation own_incarnation() const { return own_incarnation_; }
    std::vector<vm_id> const& members() const { return members_; }

    /// Whether this VM is a member. Only members give and request promises.
    bool is_registered() const
    {
        return !own_incarnation_.none() && incarnations_.contains(self_);
    }

    /// Whether `vm` is a member whose current incarnation is the given one.
    bool is_member(vm_id const& vm, incarnation incarnation_number) const
    {
        auto const found = incarnations_.find(vm);
        return found != incarnations_.end() &&
               found->second == incarnation_number;
    }

    /// Unique over all incarnations of this VM. Otherwise a late answer to a
    /// question of a previous incarnation would be taken for an answer to a
    /// later question and count from the time at which that one was sent.
    std::uint64_t next_question_number()
    {
        constexpr unsigned incarnation_shift = 32;
        return (own_incarnation_.value() << incarnation_shift) +
               ++question_count_;
    }

    void broadcast(peer_message const& message, action_list& actions) const
    {
        for (vm_id const& member : members_)
            if (member != self_)
                actions.emplace_back(send_peer_message{member, message});
    }

private:
    vm_id self_;
    incarnation own_incarnation_;
    std::vector<vm_id> members_;
    std::map<vm_id, incarnation> incarnations_;
    std::uint64_t question_count_ = 0;
};

} // namespace mulberry

#endif
