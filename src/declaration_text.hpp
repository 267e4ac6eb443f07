/// Reads, checks and writes declarations as JSON with comments.
#ifndef MULBERRY_DECLARATION_TEXT_HPP
#define MULBERRY_DECLARATION_TEXT_HPP

#include "declaration.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mulberry
{

/// One fault in a file. str() returns FILE:LINE: KEY: TEXT, without KEY if that
/// is empty.
struct text_fault
{
    std::string file;
    /// Counted from 1.
    std::size_t line = 0;
    /// The path of the value, as in `workers[3].url`.
    std::string key;
    std::string text;

    std::string str() const;
    friend bool operator==(text_fault const&, text_fault const&) = default;
};

/// Reads a declaration, or returns all faults found (unknown keys, wrong types,
/// values out of range, duplicate names, references to undeclared names).
/// `file` is the name used in faults. Thread safety: any thread.
std::variant<declaration, std::vector<text_fault>>
parse_declaration(std::string_view text, std::string const& file);

/// The canonical text, without comments and with series expanded;
/// parse_declaration reads it back as an equal value.
std::string write_declaration(declaration const& value);

/// SHA-256 of a text in lower-case hexadecimal. Throws std::runtime_error if
/// OpenSSL's libcrypto fails.
std::string digest_of(std::string_view text);

} // namespace mulberry

#endif
