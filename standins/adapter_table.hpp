/// The adapter slots of one engine.
#ifndef MULBERRY_ADAPTER_TABLE_HPP
#define MULBERRY_ADAPTER_TABLE_HPP

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

namespace mulberry::standins
{

enum class load_start
{
    started,
    /// An earlier load of that name is under way.
    joined,
    already_loaded,
    no_free_slot
};

/// Not thread safe.
class adapter_table
{
public:
    explicit adapter_table(std::size_t slots) : slots_(slots) {}
    /// A load under way holds a slot.
    load_start start_load(std::string const& name);
    /// Precondition: the load was started.
    void finish_load(std::string const& name, bool loaded);
    /// False if it is not loaded.
    bool unload(std::string const& name);
    void clear();
    bool is_loaded(std::string_view name) const;
    std::set<std::string, std::less<>> const& loaded() const { return loaded_; }

private:
    std::size_t slots_;
    std::set<std::string, std::less<>> loaded_;
    std::set<std::string, std::less<>> loading_;
};

} // namespace mulberry::standins

#endif
