/// The members that promises are asked of, as this VM's rows last told them.
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
                     incarnation own_life)
    {
        own_life_ = own_life;
        members_.clear();
        lives_.clear();
        for (auto const& [vm, life] : members)
            if (lives_.emplace(vm, life).second)
                members_.push_back(vm);
    }

    vm_id const& self() const { return self_; }
    incarnation own_life() const { return own_life_; }
    std::vector<vm_id> const& members() const { return members_; }

    /// Whether this VM is a member; only then does it give or ask promises.
    bool joined() const { return !own_life_.none() && lives_.contains(self_); }

    /// Whether the answer comes from that member's present life.
    bool is_member(vm_id const& vm, incarnation life) const
    {
        auto const found = lives_.find(vm);
        return found != lives_.end() && found->second == life;
    }

    /// Unique over this VM's lives: else a late answer to a former life's
    /// question would count from the moment this life asked another.
    std::uint64_t next_question()
    {
        constexpr unsigned life_shift = 32;
        return (own_life_.value() << life_shift) + ++questions_;
    }

    void tell_all(peer_message const& message, action_list& actions) const
    {
        for (vm_id const& member : members_)
            if (member != self_)
                actions.emplace_back(send_peer_message{member, message});
    }

private:
    vm_id self_;
    incarnation own_life_;
    std::vector<vm_id> members_;
    std::map<vm_id, incarnation> lives_;
    std::uint64_t questions_ = 0;
};

} // namespace mulberry

#endif
