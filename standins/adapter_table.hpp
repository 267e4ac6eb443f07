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
    /// An earlier load of the same adapter is still in progress.
    joined,
    already_loaded,
    no_free_slot
};

/// Tracks which adapters are loaded or being loaded, up to a fixed number of
/// slots. Not thread safe.
class adapter_table
{
public:
    explicit adapter_table(std::size_t slots) : slots_(slots) {}
    /// Takes a slot from the start of the load on, so that loads in progress
    /// count towards the limit.
    load_start start_load(std::string const& name);
    /// Ends a load; `loaded` says whether the load succeeded. A failed load
    /// frees the slot. Precondition: start_load() returned `started` for
    /// `name`.
    void finish_load(std::string const& name, bool loaded);
    /// Frees the adapter's slot. Returns false if the adapter is not loaded.
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
