#include "declaration_text.hpp"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>
#include <stdexcept>

namespace mulberry
{

std::string text_fault::str() const
{
    if (key.empty())
        return fmt::format("{}:{}: {}", file, line, text);
    return fmt::format("{}:{}: {}: {}", file, line, key, text);
}

std::string digest_of(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned size = 0;
    if (EVP_Digest(text.data(), text.size(), bytes.data(), &size, EVP_sha256(),
                   nullptr) != 1)
        throw std::runtime_error("libcrypto cannot compute SHA-256");
    std::string digest;
    for (unsigned at = 0; at < size; ++at)
        digest += fmt::format("{:02x}", bytes[at]);
    return digest;
}

} // namespace mulberry
