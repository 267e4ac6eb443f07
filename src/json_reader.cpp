#include "json_reader.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <json/reader.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <regex>
#include <sstream>
#include <utility>

namespace mulberry
{
namespace
{

/// An unknown key within this edit distance of a known key is treated as a
/// typo.
constexpr std::size_t max_typo_distance = 3;
/// Wrong values are truncated to this length in faults.
constexpr std::size_t max_quoted_bytes = 60;
constexpr std::size_t max_url_bytes = 2000;

Json::CharReaderBuilder reader_with_comments()
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["allowComments"] = true;
    builder["allowTrailingCommas"] = true;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    return builder;
}

bool parse_json(std::string_view text, Json::Value& root, std::string& errors)
{
    std::unique_ptr<Json::CharReader> const reader(
        reader_with_comments().newCharReader());
    try
    {
        return reader->parse(text.data(), text.data() + text.size(), &root,
                             &errors);
    }
    catch (Json::Exception const& thrown) // nested too deeply for jsoncpp
    {
        errors = fmt::format("* Line 1, Column 1\n  {}\n", thrown.what());
        return false;
    }
}

std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j)
        row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j)
        {
            std::size_t const replaced =
                diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

std::string nearest_word(std::string const& word,
                         std::vector<std::string> const& known)
{
    std::string best;
    std::size_t best_distance =
        std::min(max_typo_distance, word.size() / 2) + 1;
    for (std::string const& candidate : known)
    {
        // A missing unit ("lease" for "lease_ms") is one mistake, whatever the
        // edit distance.
        std::size_t const distance = candidate.starts_with(word + "_")
                                         ? 1
                                         : edit_distance(word, candidate);
        if (distance < best_distance)
        {
            best = candidate;
            best_distance = distance;
        }
    }
    return best;
}

std::string suggestion(std::string const& word,
                       std::vector<std::string> const& known)
{
    std::string const best = nearest_word(word, known);
    return best.empty() ? "" : fmt::format("; did you mean \"{}\"?", best);
}

std::string quoted(std::string const& text)
{
    if (text.size() <= max_quoted_bytes)
        return "\"" + text + "\"";
    return "\"" + text.substr(0, max_quoted_bytes) + "...\"";
}

std::string json_type_name(Json::Value const& value)
{
    switch (value.type())
    {
    case Json::nullValue:
        return "null";
    case Json::stringValue:
        return "a text";
    case Json::booleanValue:
        return "true or false";
    case Json::arrayValue:
        return "a list";
    case Json::objectValue:
        return "an object";
    default:
        return "a number";
    }
}

std::string type_mismatch(std::string_view what, Json::Value const& value)
{
    return fmt::format("{} is expected, not {}", what, json_type_name(value));
}

std::string_view line_of(std::string_view text, std::size_t line)
{
    std::size_t start = 0;
    for (std::size_t at = 1; at < line && start != std::string_view::npos; ++at)
    {
        start = text.find('\n', start);
        start = start == std::string_view::npos ? start : start + 1;
    }
    if (start == std::string_view::npos)
        return {};
    return text.substr(start, text.find('\n', start) - start);
}

std::string normalized_jsoncpp_message(std::string text)
{
    if (!text.empty() && text[0] >= 'A' && text[0] <= 'Z')
        text[0] = static_cast<char>(text[0] - 'A' + 'a');
    while (!text.empty() && text.back() == '.')
        text.pop_back();
    return text;
}

std::string unfilled_tokens_message(std::vector<std::string> const& tokens)
{
    return fmt::format("{} {} still to be filled in", fmt::join(tokens, ", "),
                       tokens.size() == 1 ? "is" : "are");
}

} // namespace

std::vector<std::string> unfilled_tokens(std::string_view text)
{
    auto const in_name = [](char c)
    { return (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_'; };
    std::vector<std::string> tokens;
    auto start = std::find(text.begin(), text.end(), '@');
    while (start != text.end())
    {
        auto const end = std::find_if_not(start + 1, text.end(), in_name);
        bool const found = end != text.end() && *end == '@' && end > start + 1;
        if (found)
            tokens.emplace_back(start, end + 1);
        start = std::find(found ? end + 1 : start + 1, text.end(), '@');
    }
    return tokens;
}

json_document::json_document(std::string_view text, std::string file)
    : file_(std::move(file))
{
    line_starts_.push_back(0);
    for (std::size_t at = 0; at < text.size(); ++at)
        if (text[at] == '\n')
            line_starts_.push_back(static_cast<std::ptrdiff_t>(at) + 1);
    std::string errors;
    well_formed_ = parse_json(text, root_, errors);
    if (!well_formed_)
        add_syntax_faults(text, errors);
}

// jsoncpp reports an error in two lines, "* Line L, Column C" and the text. A
// third line, "See Line ...", does not help the author of the file and is
// skipped.
void json_document::add_syntax_faults(std::string_view text,
                                      std::string const& errors)
{
    static std::regex const place("\\* Line (\\d+), Column (\\d+)");
    std::istringstream lines(errors);
    std::string line;
    while (std::getline(lines, line))
    {
        std::smatch match;
        if (!std::regex_match(line, match, place))
            continue;
        std::size_t const number = std::stoul(match[1]);
        std::string what;
        std::getline(lines, what);
        what = fmt::format(
            "{} (column {})",
            normalized_jsoncpp_message(what.substr(std::min<std::size_t>(
                what.find_first_not_of(' '), what.size()))),
            match[2].str());
        if (auto const tokens = unfilled_tokens(line_of(text, number));
            !tokens.empty())
            what = unfilled_tokens_message(tokens);
        faults_.push_back({file_, number, "", what});
    }
    if (faults_.empty())
        faults_.push_back({file_, 1, "", "this is not JSON"});
}

std::size_t json_document::line_at(std::ptrdiff_t offset) const
{
    auto const next =
        std::upper_bound(line_starts_.begin(), line_starts_.end(), offset);
    return static_cast<std::size_t>(next - line_starts_.begin());
}

void json_document::add_fault(Json::Value const& at, std::string key,
                              std::string text)
{
    faults_.push_back(
        {file_, line_at(at.getOffsetStart()), std::move(key), std::move(text)});
}

std::vector<text_fault> json_document::faults() const
{
    std::vector<text_fault> sorted = faults_;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](text_fault const& a, text_fault const& b)
                     { return a.line < b.line; });
    return sorted;
}

json_object::json_object(json_document& document, Json::Value const& value,
                         std::string path)
    : document_(document), value_(value), path_(std::move(path)),
      is_object_(value.isObject())
{
    if (!is_object_)
        document_.add_fault(value_, path_, type_mismatch("an object", value_));
}

std::string json_object::path_of(char const* key) const
{
    return path_.empty() ? std::string(key) : path_ + "." + key;
}

bool json_object::has(char const* key) const
{
    return is_object_ && value_.isMember(key);
}

void json_object::add_fault(char const* key, std::string text)
{
    Json::Value const& at = has(key) ? value_[key] : value_;
    document_.add_fault(at, path_of(key), std::move(text));
}

Json::Value const* json_object::find(char const* key, presence need)
{
    read_keys_.emplace_back(key);
    if (has(key))
        return &value_[key];
    if (is_object_ && need == presence::required)
        add_fault(key, "is missing");
    return nullptr;
}

void json_object::read_text(char const* key, std::string& into, presence need)
{
    Json::Value const* value = find(key, need);
    if (value == nullptr)
        return;
    if (!value->isString())
        return add_fault(key, type_mismatch("a text", *value));
    std::string text = value->asString();
    if (auto const tokens = unfilled_tokens(text); !tokens.empty())
        return add_fault(key, unfilled_tokens_message(tokens));
    if (text.empty())
        return add_fault(key, "must not be empty");
    into = std::move(text);
}

void json_object::read_choice(char const* key, std::string& into,
                              std::vector<std::string> const& choices,
                              presence need)
{
    std::string text;
    read_text(key, text, need);
    if (text.empty())
        return;
    if (std::find(choices.begin(), choices.end(), text) == choices.end())
        return add_fault(key, fmt::format("{} is none of {}{}", quoted(text),
                                          fmt::join(choices, ", "),
                                          suggestion(text, choices)));
    into = std::move(text);
}

void json_object::read_name(char const* key, std::string& into, presence need)
{
    std::string text;
    read_text(key, text, need);
    if (text.empty())
        return;
    if (!valid_name(text))
        return add_fault(
            key, fmt::format("{} is no name: 1 to 128 letters, digits, '.', "
                             "'_' and '-'",
                             quoted(text)));
    into = std::move(text);
}

void json_object::read_url(char const* key, std::string& into, presence need)
{
    std::string text;
    read_text(key, text, need);
    if (text.empty())
        return;
    if (!valid_url(text))
        return add_fault(key,
                         fmt::format("{} is not of the form http://IP:PORT "
                                     "or http://IP:PORT/PATH with a numeric IP",
                                     quoted(text)));
    into = std::move(text);
}

void json_object::read_flag(char const* key, bool& into, presence need)
{
    Json::Value const* value = find(key, need);
    if (value == nullptr)
        return;
    if (!value->isBool())
        return add_fault(key, type_mismatch("true or false", *value));
    into = value->asBool();
}

void json_object::read_number(char const* key, double& into,
                              bounds<double> range, presence need)
{
    Json::Value const* value = find(key, need);
    if (value == nullptr)
        return;
    if (!value->isNumeric())
        return add_fault(key, type_mismatch("a number", *value));
    double const number = value->asDouble();
    if (!(number >= range.least && number <= range.most))
        return add_fault(key, fmt::format("{} is out of range: {} to {}",
                                          number, range.least, range.most));
    into = number;
}

void json_object::read_count(char const* key, std::size_t& into,
                             bounds<std::uint64_t> range, presence need)
{
    Json::Value const* value = find(key, need);
    if (value == nullptr)
        return;
    if (!value->isNumeric())
        return add_fault(key, type_mismatch("a whole number", *value));
    if (!value->isUInt64() || value->asUInt64() < range.least ||
        value->asUInt64() > range.most)
        return add_fault(
            key, fmt::format("{} is out of range: a whole number from {} to {}",
                             value->asString(), range.least, range.most));
    into = value->asUInt64();
}

void json_object::read_milliseconds(char const* key, duration& into,
                                    bounds<std::chrono::milliseconds> range,
                                    presence need)
{
    using std::chrono::milliseconds;
    auto count = static_cast<std::size_t>(
        std::chrono::floor<milliseconds>(into).count());
    read_count(key, count,
               {static_cast<std::uint64_t>(range.least.count()),
                static_cast<std::uint64_t>(range.most.count())},
               need);
    into = milliseconds(count);
}

void json_object::read_list(char const* key, presence need,
                            visitor const& visit)
{
    Json::Value const* value = find(key, need);
    if (value == nullptr)
        return;
    if (!value->isArray())
        return add_fault(key, type_mismatch("a list", *value));
    std::string const path = path_of(key);
    for (Json::ArrayIndex index = 0; index < value->size(); ++index)
        visit((*value)[index], fmt::format("{}[{}]", path, index));
}

void json_object::read_object(char const* key, presence need,
                              visitor const& visit)
{
    Json::Value const* value = find(key, need);
    if (value != nullptr)
        visit(*value, path_of(key));
}

void json_object::refuse_unknown_keys()
{
    if (!is_object_)
        return;
    for (std::string const& key : value_.getMemberNames())
    {
        if (std::find(read_keys_.begin(), read_keys_.end(), key) ==
            read_keys_.end())
            add_fault(key.c_str(),
                      "is not a known key" + suggestion(key, read_keys_));
    }
}

bool valid_address(std::string const& address)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    return inet_pton(AF_INET, address.c_str(), bytes.data()) == 1 ||
           inet_pton(AF_INET6, address.c_str(), bytes.data()) == 1;
}

bool valid_url(std::string_view url)
{
    static std::regex const form(
        R"(http://(?:([0-9.]+)|\[([0-9a-fA-F:.]+)\]):([0-9]{1,5})(/[!-~]*)?)");
    std::match_results<std::string_view::const_iterator> match;
    if (url.size() > max_url_bytes) // std::regex recurses over its input
        return false;
    if (!std::regex_match(url.begin(), url.end(), match, form))
        return false;
    std::string const address =
        match[1].matched ? match[1].str() : match[2].str();
    unsigned long const port = std::stoul(match[3].str());
    return valid_address(address) && port >= 1 && port <= 65535;
}

} // namespace mulberry
