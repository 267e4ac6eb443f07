/// Counts of faults to inject on the next N occasions, set through the control
/// requests.
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
    /// Sets the counts of the faults named in `order`; ignores other members.
    void set(Json::Value const& order);
    /// Returns true and decrements the fault's count if the count is above 0.
    bool take(std::string_view name);

private:
    std::map<std::string, unsigned, std::less<>> counts_;
};

} // namespace mulberry::standins

#endif
