/// Faults ordered through the control listener for the next N occasions.
#ifndef MULBERRY_FAULT_COUNTS_HPP
#define MULBERRY_FAULT_COUNTS_HPP

#include <json/json.h>

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace mulberry::standins
{

/// Not thread safe.
class fault_counts
{
public:
    explicit fault_counts(std::initializer_list<std::string_view> names);
    /// Sets the counts that the order names; the other members are ignored.
    void set(Json::Value const& order);
    /// True if one occasion was left, which is then used up.
    bool take(std::string_view name);

private:
    std::map<std::string, unsigned, std::less<>> counts_;
};

} // namespace mulberry::standins

#endif
