#include "adapter_table.hpp"

namespace mulberry::standins
{

load_start adapter_table::start_load(std::string const& name)
{
    if (loaded_.contains(name))
        return load_start::already_loaded;
    if (loading_.contains(name))
        return load_start::joined;
    if (loaded_.size() + loading_.size() >= slots_)
        return load_start::no_free_slot;
    loading_.insert(name);
    return load_start::started;
}

void adapter_table::finish_load(std::string const& name, bool loaded)
{
    loading_.erase(name);
    if (loaded)
        loaded_.insert(name);
}

bool adapter_table::unload(std::string const& name)
{
    return loaded_.erase(name) != 0;
}

void adapter_table::clear()
{
    loaded_.clear();
    loading_.clear();
}

bool adapter_table::is_loaded(std::string_view name) const
{
    return loaded_.find(name) != loaded_.end();
}

} // namespace mulberry::standins
