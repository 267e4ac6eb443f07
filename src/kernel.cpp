#include "kernel.hpp"

#include <utility>

namespace mulberry
{

void kernel::add(std::string name, std::unique_ptr<daemon_part> part)
{
    if (!by_name_.emplace(name, part.get()).second)
        throw std::logic_error("two parts named " + name);
    parts_.push_back(std::move(part));
}

void kernel::start()
{
    try
    {
        for (; started_ < parts_.size(); ++started_)
            parts_[started_]->start(*this);
    }
    catch (...)
    {
        stop();
        throw;
    }
}

void kernel::stop()
{
    while (started_ > 0)
        parts_[--started_]->stop();
}

daemon_part& kernel::part(std::string_view name) const
{
    auto const entry = by_name_.find(name);
    if (entry == by_name_.end())
        throw std::logic_error("no part named " + std::string(name));
    return *entry->second;
}

} // namespace mulberry
