#include "answer_board.hpp"

#include <utility>

namespace mulberry
{

bool answer_board::add(request_id const& request, std::shared_ptr<asker> who)
{
    std::lock_guard const lock(mutex_);
    return waiting_.emplace(request, std::move(who)).second;
}

std::shared_ptr<asker> answer_board::find(request_id const& request) const
{
    std::lock_guard const lock(mutex_);
    auto const place = waiting_.find(request);
    return place == waiting_.end() ? nullptr : place->second;
}

std::shared_ptr<asker> answer_board::take(request_id const& request)
{
    std::lock_guard const lock(mutex_);
    auto const place = waiting_.find(request);
    if (place == waiting_.end())
        return nullptr;
    auto who = std::move(place->second);
    waiting_.erase(place);
    return who;
}

void answer_board::keep_all_alive()
{
    std::vector<std::shared_ptr<asker>> all;
    {
        std::lock_guard const lock(mutex_);
        for (auto const& [request, who] : waiting_)
            all.push_back(who);
    }
    for (auto const& who : all)
        who->keep_alive();
}

std::size_t answer_board::size() const
{
    std::lock_guard const lock(mutex_);
    return waiting_.size();
}

} // namespace mulberry
