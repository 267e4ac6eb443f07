#include "token_text.hpp"

#include <fmt/format.h>

namespace mulberry::standins
{
namespace
{

constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325U;
constexpr std::uint64_t fnv_prime = 0x100000001b3U;
constexpr std::uint64_t last_six_digits = 0xffffffU;

std::uint64_t fnv1a(std::uint64_t hash, std::string_view text)
{
    for (char letter : text)
        hash = (hash ^ static_cast<unsigned char>(letter)) * fnv_prime;
    return hash;
}

} // namespace

std::string_view without_fence(std::string_view engine_name)
{
    return engine_name.substr(0, engine_name.find('#'));
}

token_text::token_text(std::string_view adapter_version,
                       std::string_view prompt)
    : hash_(fnv1a(fnv_offset, adapter_version))
{
    hash_ = fnv1a(hash_, "|");
    hash_ = fnv1a(hash_, prompt);
    hash_ = fnv1a(hash_, "|");
}

std::string token_text::token(std::size_t n) const
{
    std::uint64_t const hash = fnv1a(hash_, fmt::format_int(n).c_str());
    return fmt::format("w{}:{:06x} ", n, hash & last_six_digits);
}

} // namespace mulberry::standins
