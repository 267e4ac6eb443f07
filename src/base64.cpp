#include "base64.hpp"

#include <openssl/evp.h>

namespace mulberry
{

std::string to_base64(std::string const& bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    int const size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<unsigned char const*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> from_base64(std::string const& text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    int const size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<unsigned char const*>(text.data()),
                        static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    // EVP_DecodeBlock counts the padding as bytes.
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() &&
           text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace mulberry
