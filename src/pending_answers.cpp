#include "pending_answers.hpp"

#include <utility>

namespace mulberry
{

bool pending_answers::add(request_id const& request,
                          std::shared_ptr<response_writer> writer)
{
    std::lock_guard const lock(mutex_);
    return writers_.emplace(request, std::move(writer)).second;
}

std::shared_ptr<response_writer>
pending_answers::find(request_id const& request) const
{
    std::lock_guard const lock(mutex_);
    auto const entry = writers_.find(request);
    return entry == writers_.end() ? nullptr : entry->second;
}

std::shared_ptr<response_writer>
pending_answers::take(request_id const& request)
{
    std::lock_guard const lock(mutex_);
    auto const entry = writers_.find(request);
    if (entry == writers_.end())
        return nullptr;
    auto writer = std::move(entry->second);
    writers_.erase(entry);
    return writer;
}

void pending_answers::keep_all_alive()
{
    std::vector<std::shared_ptr<response_writer>> all;
    {
        std::lock_guard const lock(mutex_);
        for (auto const& [request, writer] : writers_)
            all.push_back(writer);
    }
    for (auto const& writer : all)
        writer->keep_alive();
}

std::size_t pending_answers::size() const
{
    std::lock_guard const lock(mutex_);
    return writers_.size();
}

} // namespace mulberry
