/// The text that a fake engine generates: a function of adapter version, prompt
/// and token position only, so that a checker can verify which adapter version
/// and prompt an answer belongs to.
#ifndef MULBERRY_TOKEN_TEXT_HPP
#define MULBERRY_TOKEN_TEXT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mulberry::standins
{

/// Returns ADAPTER@VERSION of an engine name ADAPTER@VERSION#FENCE.
std::string_view without_fence(std::string_view engine_name);

class token_text
{
public:
    token_text(std::string_view adapter_version, std::string_view prompt);
    /// Returns `w<n>:<hash> `, where hash is the last 6 hex digits of FNV-1a 64
    /// over "ADAPTER@VERSION|prompt|n".
    std::string token(std::size_t n) const;

private:
    /// FNV-1a 64 of "ADAPTER@VERSION|prompt|".
    std::uint64_t hash_;
};

} // namespace mulberry::standins

#endif
