#include "routing_policy.hpp"

#include "baseline_policies.hpp"
#include "mulberry_policy.hpp"

#include <cassert>

namespace mulberry
{

std::vector<std::string_view> policy_names()
{
    return {"mulberry", "least_loaded_lru", "consistent_hash", "random"};
}

std::unique_ptr<routing_policy> make_policy(std::string_view name,
                                            std::uint64_t seed)
{
    if (name == "least_loaded_lru")
        return std::make_unique<least_loaded_policy>();
    if (name == "consistent_hash")
        return std::make_unique<consistent_hash_policy>();
    if (name == "random")
        return std::make_unique<random_policy>(seed);
    assert(name == "mulberry");
    return std::make_unique<mulberry_policy>();
}

} // namespace mulberry
