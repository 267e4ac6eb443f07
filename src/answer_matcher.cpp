#include "answer_matcher.hpp"

#include <functional>
#include <utility>

namespace mulberry
{
namespace
{

/// A connection that has carried this many named calls carries no more, since
/// it must remember each of them. 8 KB a connection.
constexpr std::size_t max_known_names = 1024;

} // namespace

bool answer_matcher::can_carry(std::optional<answer_mark> const& mark) const
{
    if (!mark)
        return true;
    bool const tells_statuses_apart =
        !unnamed_status_ ||
        (!mark->possible_statuses.empty() &&
         !mark->possible_statuses.contains(*unnamed_status_));
    return !is_known(mark->value) &&
           (!mark->is_optional || tells_statuses_apart);
}

void answer_matcher::begin(std::optional<answer_mark> mark)
{
    mark_ = std::move(mark);
    is_marked_ = false;
}

answer_owner answer_matcher::match(int status, http_headers const& headers)
{
    if (!mark_)
    {
        is_marked_ = true;
        return answer_owner::this_call;
    }
    auto const names = names_in(headers);
    if (names_earlier_call(names))
        return answer_owner::earlier_call;
    bool const is_like_earlier = names.empty() && status == unnamed_status_;
    if (is_like_earlier && status != mark_->harmless_status)
        return mark_->is_optional ? answer_owner::undecided
                                  : answer_owner::earlier_call;
    bool const has_name = !mark_->value.empty();
    bool const is_named = has_name && names == std::set{mark_->value};
    bool const lacks_name = names.empty() && mark_->is_optional;
    // Behind a copy the own answer is yet to come.
    is_marked_ = is_named || (lacks_name && !is_like_earlier);
    answer_status_ = is_named ? std::nullopt : std::optional(status);
    // An answer that names another request is left to the observer of a request
    // that needs its name, which knows what it means for it.
    bool const is_unknown = mark_->is_optional
                                ? !is_named && !lacks_name
                                : !is_first_ && names.empty() == has_name;
    return is_unknown ? answer_owner::unknown : answer_owner::this_call;
}

bool answer_matcher::end()
{
    is_first_ = false;
    if (!mark_)
        return is_marked_;
    unnamed_status_ = answer_status_;
    if (!mark_->value.empty())
        known_names_.insert(std::hash<std::string>()(mark_->value));
    return is_marked_ && known_names_.size() < max_known_names;
}

std::set<std::string>
answer_matcher::names_in(http_headers const& headers) const
{
    std::set<std::string> names;
    for (auto const& [field, value] : headers.fields())
        if (!value.empty() && same_header_name(field, mark_->field))
            names.insert(value);
    return names;
}

bool answer_matcher::is_known(std::string const& name) const
{
    return known_names_.contains(std::hash<std::string>()(name));
}

bool answer_matcher::names_earlier_call(
    std::set<std::string> const& names) const
{
    return names.size() == 1 && is_known(*names.begin());
}

} // namespace mulberry
