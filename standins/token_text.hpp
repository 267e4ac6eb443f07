/// The text that a fake engine makes: a function of adapter version, prompt
/// and place alone, so that a checker can tell whose answer it is.
#ifndef MULBERRY_TOKEN_TEXT_HPP
#define MULBERRY_TOKEN_TEXT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mulberry::standins
{

/// ADAPTER@VERSION of an engine name ADAPTER@VERSION#FENCE.
std::string_view without_fence(std::string_view engine_name);

class token_text
{
public:
    token_text(std::string_view adapter_version, std::string_view prompt);
    /// `w<n>:<hash> `, the hash being the last 6 hex digits of FNV-1a 64 over
    /// "ADAPTER@VERSION|prompt|n".
    std::string token(std::size_t n) const;

private:
    /// Of everything before n.
    std::uint64_t hash_;
};

} // namespace mulberry::standins

#endif
