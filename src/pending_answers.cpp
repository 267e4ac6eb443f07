#include "pending_answers.hpp"

#include <utility>

namespace mulberry
{

bool pending_answers::add(request_id const& request,
                          std::shared_ptr<response_writer> who)
{
    std::lock_guard const lock(mutex_);
    return waiting_.emplace(request, std::move(who)).second;
}

std::shared_ptr<response_writer>
pending_answers::find(request_id const& request) const
{
    std::lock_guard const lock(mutex_);
    auto const place = waiting_.find(request);
    return place == waiting_.end() ? nullptr : place->second;
}

std::shared_ptr<response_writer>
pending_answers::take(request_id const& request)
{
    std::lock_guard const lock(mutex_);
    auto const place = waiting_.find(request);
    if (place == waiting_.end())
        return nullptr;
    auto who = std::move(place->second);
    waiting_.erase(place);
    return who;
}

void pending_answers::keep_all_alive()
{
    std::vector<std::shared_ptr<response_writer>> all;
    {
        std::lock_guard const lock(mutex_);
        for (auto const& [request, who] : waiting_)
            all.push_back(who);
    }
    for (auto const& who : all)
        who->keep_alive();
}

std::size_t pending_answers::size() const
{
    std::lock_guard const lock(mutex_);
    return waiting_.size();
}

} // namespace mulberry
