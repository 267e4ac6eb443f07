/// JSON texts that a faulty or foreign writer may leave where a sound one is
/// expected.
#ifndef MULBERRY_ODD_JSON_HPP
#define MULBERRY_ODD_JSON_HPP

#include "json_text.hpp"

#include <json/value.h>

#include <cstddef>
#include <string>
#include <vector>

namespace mulberry_test
{

inline constexpr std::size_t odd_nesting_depth = 100'000;

inline std::string repeated(std::string const& text, std::size_t times)
{
    std::string all;
    all.reserve(text.size() * times);
    for (std::size_t count = 0; count < times; ++count)
        all += text;
    return all;
}

/// JSON values, each of which is wrong in most places.
inline std::vector<std::string> odd_values()
{
    return {"null",
            "true",
            "false",
            "0",
            "-1",
            "1.5",
            "-0.0",
            "1e18",
            "1e300",
            "-1e300",
            "1e999",
            "4294967296",
            "9007199254740993",
            "9223372036854775807",
            "9223372036854775808",
            "-9223372036854775808",
            "9223374036854775808",
            "18446744073709551615",
            "18446744073709551616",
            "NaN",
            "Infinity",
            R"("")",
            R"("\u0000")",
            R"("\ud800")",
            "\"\xff\xfe\xc0\"",
            "\"" + std::string(70'000, 'x') + "\"",
            "[]",
            "[null]",
            "[[[]]]",
            R"([{"a": 1}])",
            "{}",
            R"({"": {}})",
            repeated("[", 50) + repeated("]", 50),
            repeated("[", 900) + repeated("]", 900)};
}

/// Texts that are no JSON object, or hardly one.
inline std::vector<std::string> odd_texts()
{
    return {"",
            " ",
            "null",
            "7",
            "\"text\"",
            "[]",
            "[{}]",
            "{}",
            "{",
            "{}{}",
            "{,}",
            R"({"a" 1})",
            R"({"a": 1, "a": 2})",
            "// no value",
            std::string("{\0}", 3),
            "\xef\xbb\xbf{}",
            "\xff\xfe",
            repeated("[", odd_nesting_depth),
            repeated("[", odd_nesting_depth) + repeated("]", odd_nesting_depth),
            repeated(R"({"a":)", odd_nesting_depth),
            repeated(R"({"a":)", odd_nesting_depth) + "1" +
                repeated("}", odd_nesting_depth)};
}

namespace detail
{

inline constexpr char const* odd_mark = "@odd@";

/// Appends the text of `root` with each odd value in place of `node`, and then
/// the same for the nodes within.
inline void add_variants(Json::Value& node, Json::Value const& root,
                         std::vector<std::string> const& values,
                         std::vector<std::string>& into)
{
    Json::Value const kept = node;
    node = odd_mark;
    std::string const text = mulberry::to_text(root);
    node = kept;
    std::string const mark = std::string("\"") + odd_mark + "\"";
    auto const at = text.find(mark);
    for (std::string const& value : values)
        into.push_back(std::string(text).replace(at, mark.size(), value));
    for (auto each = node.begin(); each != node.end(); ++each)
        add_variants(*each, root, values, into);
    if (!node.isObject())
        return;
    for (std::string const& name : node.getMemberNames())
    {
        Json::Value removed;
        node.removeMember(name, &removed);
        into.push_back(mulberry::to_text(root));
        node[name] = removed;
    }
}

} // namespace detail

/// Every text that differs from the sound one in one value or by one member,
/// every text that is cut off, and odd_texts(). Precondition: `sound` is JSON.
inline std::vector<std::string> odd_variants(std::string const& sound)
{
    std::vector<std::string> texts = odd_texts();
    for (std::size_t size = 0; size < sound.size(); ++size)
        texts.push_back(sound.substr(0, size));
    Json::Value root = mulberry::from_text(sound).value();
    detail::add_variants(root, root, odd_values(), texts);
    return texts;
}

} // namespace mulberry_test

#endif
