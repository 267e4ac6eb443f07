/// An adapter together with its immutable version.
#ifndef MULBERRY_ADAPTER_REF_HPP
#define MULBERRY_ADAPTER_REF_HPP

#include "ids.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

/// What a request names: `shift-notes-0042@7`. Immutable value.
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

/// Whether a text may name an adapter, or any other part of a deployment: 1 to
/// 128 of a-z, A-Z, 0-9, '.', '_' and '-'.
bool valid_name(std::string_view text);

/// Reads ADAPTER@VERSION. An adapter's name has 1 to 128 of a-z, A-Z, 0-9,
/// '.', '_' and '-'; a version is a decimal number from 1 to 10^9.
std::optional<adapter_ref> parse_adapter_ref(std::string_view text);

/// The name an owner loads an adapter under: ADAPTER@VERSION#FENCE. The
/// fencing number keeps a late order of an earlier owner from touching what a
/// later owner loaded: the late order names another engine name.
engine_name engine_name_for(adapter_ref const& adapter, fencing_number fence);

/// An engine name taken apart.
struct engine_name_parts
{
    adapter_ref adapter;
    fencing_number fence;
    friend bool operator==(engine_name_parts const&,
                           engine_name_parts const&) = default;
};
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
