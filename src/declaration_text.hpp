/// Declarations as JSON with comments: reading, checking, writing.
#ifndef MULBERRY_DECLARATION_TEXT_HPP
#define MULBERRY_DECLARATION_TEXT_HPP

#include "declaration.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mulberry
{

/// One fault in a file, told as FILE:LINE: KEY: text.
struct text_fault
{
    std::string file;
    std::size_t line = 0;
    /// The path of the value, as in `workers[3].url`.
    std::string key;
    std::string text;

    std::string str() const;
    friend bool operator==(text_fault const&, text_fault const&) = default;
};

/// Reads a declaration; every fault found is listed (unknown keys, wrong
/// types, out of range, names used twice, references to nothing).
std::variant<declaration, std::vector<text_fault>>
parse_declaration(std::string_view text, std::string const& file);

/// The canonical form, without comments: parse_declaration reads it back to an
/// equal value.
std::string write_declaration(declaration const& value);

/// SHA-256 of a text in lower-case hexadecimal (by OpenSSL's libcrypto).
std::string digest_of(std::string_view text);

} // namespace mulberry

#endif
