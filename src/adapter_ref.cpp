#include "adapter_ref.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::size_t max_name_bytes = 128;
constexpr std::uint64_t max_version = 1'000'000'000;

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    auto const* end = text.data() + text.size();
    auto const [parsed_end, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc{} || parsed_end != end)
        return std::nullopt;
    return value;
}

} // namespace

adapter_ref::adapter_ref(adapter_id adapter, adapter_version version)
    : adapter_(std::move(adapter)), version_(version)
{
}

std::string adapter_ref::str() const
{
    return adapter_.str() + "@" + std::to_string(version_.value());
}

bool valid_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

std::optional<adapter_ref> parse_adapter_ref(std::string_view text)
{
    auto const at = text.find('@');
    if (at == std::string_view::npos)
        return std::nullopt;
    std::string_view const name = text.substr(0, at);
    if (!valid_name(name))
        return std::nullopt;
    auto const version = parse_number(text.substr(at + 1));
    if (!version || *version == 0 || *version > max_version)
        return std::nullopt;
    return adapter_ref(adapter_id(std::string(name)),
                       adapter_version(*version));
}

engine_name engine_name_for(adapter_ref const& adapter, fencing_number fence)
{
    return engine_name(adapter.str() + "#" + std::to_string(fence.value()));
}

std::optional<engine_name_parts> parse_engine_name(std::string_view text)
{
    auto const separator = text.rfind('#');
    if (separator == std::string_view::npos)
        return std::nullopt;
    auto const adapter = parse_adapter_ref(text.substr(0, separator));
    auto const fence = parse_number(text.substr(separator + 1));
    if (!adapter || !fence || *fence == 0)
        return std::nullopt;
    return engine_name_parts{*adapter, fencing_number(*fence)};
}

} // namespace mulberry
