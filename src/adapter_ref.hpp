/// References to adapter versions, and the names under which engines load them.
#ifndef MULBERRY_ADAPTER_REF_HPP
#define MULBERRY_ADAPTER_REF_HPP

#include "ids.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

/// An adapter and one of its versions, as requests name them:
/// `shift-notes-0042@7`. Immutable value.
class adapter_ref
{
public:
    adapter_ref() = default;
    adapter_ref(adapter_id adapter, adapter_version version);

    adapter_id const& adapter() const { return adapter_; }
    adapter_version version() const { return version_; }
    /// ADAPTER@VERSION, as in a request's `model`.
    std::string str() const;

    friend auto operator<=>(adapter_ref const&, adapter_ref const&) = default;

private:
    adapter_id adapter_;
    adapter_version version_;
};

/// Whether the text is a valid name of an adapter or of any other part of a
/// deployment: 1 to 128 characters of a-z, A-Z, 0-9, '.', '_' and '-'.
bool valid_name(std::string_view text);

/// Parses ADAPTER@VERSION, where ADAPTER satisfies valid_name and VERSION is a
/// decimal number from 1 to 10^9. Returns nullopt for any other text.
std::optional<adapter_ref> parse_adapter_ref(std::string_view text);

/// The name under which an owner loads an adapter on an engine:
/// ADAPTER@VERSION#FENCE. Since the name contains the fencing number of the
/// owner, a delayed order of an earlier owner cannot affect an adapter that a
/// later owner loaded.
engine_name engine_name_for(adapter_ref const& adapter, fencing_number fence);

/// The parts of an engine name.
struct engine_name_parts
{
    adapter_ref adapter;
    fencing_number fence;
    friend bool operator==(engine_name_parts const&,
                           engine_name_parts const&) = default;
};
/// Parses ADAPTER@VERSION#FENCE with a FENCE above 0. Returns nullopt for any
/// other text.
std::optional<engine_name_parts> parse_engine_name(std::string_view text);

} // namespace mulberry

template <>
struct std::hash<mulberry::adapter_ref>
{
    std::size_t operator()(mulberry::adapter_ref const& ref) const noexcept
    {
        return std::hash<mulberry::adapter_id>{}(ref.adapter()) * 31 +
               ref.version().value();
    }
};

#endif
