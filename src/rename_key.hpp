/// Renames a key of an associative container.
#ifndef MULBERRY_RENAME_KEY_HPP
#define MULBERRY_RENAME_KEY_HPP

#include <utility>

namespace mulberry
{

/// Does nothing if `from` is not in the container. Precondition: `to` is not in
/// the container.
template <class Container, class Key>
void rename_key(Container& container, Key const& from, Key const& to)
{
    auto node = container.extract(from);
    if (node.empty())
        return;
    if constexpr (requires { node.key(); })
        node.key() = to;
    else
        node.value() = to;
    container.insert(std::move(node));
}

} // namespace mulberry

#endif
