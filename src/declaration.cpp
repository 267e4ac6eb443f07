#include "declaration.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace mulberry
{
namespace
{

bool is_unreserved(unsigned char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' ||
           c == '~';
}

/// Whether the escape at `at` is malformed, or stands for a character that
/// needs no escape or that gives the path another meaning when decoded (/, \,
/// %).
bool is_needless_escape(std::string_view path, std::size_t at)
{
    if (at + 2 >= path.size())
        return true;
    unsigned value = 0;
    char const* const digits = path.data() + at + 1;
    auto const [end, error] = std::from_chars(digits, digits + 2, value, 16);
    if (error != std::errc{} || end != digits + 2)
        return true;
    auto const c = static_cast<unsigned char>(value);
    return is_unreserved(c) || c == '/' || c == '\\' || c == '%';
}

// A service may normalize dot segments and escapes after the rules are applied:
// "/balances/../payments" and "/p%61yments" would then reach "/payments" under
// the rule of another path, and a payment could be sent twice. Normalized paths
// contain neither, so an ambiguous path is never repeatable.
bool is_ambiguous_path(std::string_view path)
{
    for (std::size_t at = 0; at < path.size(); ++at)
        if (path[at] == '\\' ||
            (path[at] == '%' && is_needless_escape(path, at)))
            return true;
    for (std::string_view const sequence : {"//", "/./", "/../"})
        if (path.find(sequence) != std::string_view::npos)
            return true;
    return path.ends_with("/.") || path.ends_with("/..");
}

/// Compares whole path segments: "/balances" is not a prefix of
/// "/balances-settle".
bool has_prefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') ||
           path[prefix.size()] == '/';
}

bool matches(call_rule const& rule, std::string const& method,
             std::string const& path)
{
    return (rule.method.empty() || rule.method == method) &&
           has_prefix(path, rule.path_prefix);
}

} // namespace

bool service_declaration::repeatable(std::string const& method,
                                     std::string const& path) const
{
    if (is_ambiguous_path(path))
        return false;
    auto const rule = std::find_if(rules.begin(), rules.end(),
                                   [&](call_rule const& candidate) {
                                       return matches(candidate, method, path);
                                   });
    if (rule != rules.end())
        return rule->repeatable;
    return method == "GET" || method == "HEAD";
}

adapter_declaration const* declaration::find(adapter_ref const& ref) const
{
    auto const found = adapters.find(ref.adapter());
    if (found == adapters.end() ||
        found->second.versions.count(ref.version()) == 0)
        return nullptr;
    return &found->second;
}

} // namespace mulberry
