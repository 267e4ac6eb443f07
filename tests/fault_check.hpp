/// Helper for tests of file parsers.
#ifndef MULBERRY_FAULT_CHECK_HPP
#define MULBERRY_FAULT_CHECK_HPP

#include "declaration_text.hpp"

#include <string>
#include <variant>
#include <vector>

namespace mulberry
{

/// The parser's faults as lines of text; empty if the file was valid.
template <class Value>
std::vector<std::string>
fault_lines(std::variant<Value, std::vector<text_fault>> const& parsed)
{
    std::vector<std::string> lines;
    if (auto const* faults = std::get_if<std::vector<text_fault>>(&parsed))
        for (text_fault const& fault : *faults)
            lines.push_back(fault.str());
    return lines;
}

} // namespace mulberry

#endif
