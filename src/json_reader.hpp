/// A checked reader over jsoncpp: collects every fault of a file with its line
/// instead of stopping at the first.
#ifndef MULBERRY_JSON_READER_HPP
#define MULBERRY_JSON_READER_HPP

#include "declaration_text.hpp"
#include "time_point.hpp"

#include <json/value.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry
{

/// The tokens of the form @NAME@ (capitals, digits, '_') in a text: places in
/// an example file that are still to be filled in.
std::vector<std::string> unfilled_tokens(std::string_view text);

/// A parsed file and the faults found in it so far. Not thread safe.
class json_document
{
public:
    /// Parses JSON with comments; syntax errors become faults.
    json_document(std::string_view text, std::string file);

    /// Null when the syntax is wrong.
    Json::Value const& root() const { return root_; }
    bool well_formed() const { return well_formed_; }

    /// Notes a fault at the line of `at`, which is a part of root().
    void add_fault(Json::Value const& at, std::string key, std::string text);
    bool sound() const { return faults_.empty(); }
    /// All faults in the order of their lines.
    std::vector<text_fault> faults() const;

private:
    std::size_t line_at(std::ptrdiff_t offset) const;
    void add_syntax_faults(std::string_view text, std::string const& errors);

    std::string file_;
    std::vector<std::ptrdiff_t> line_starts_;
    Json::Value root_;
    bool well_formed_ = false;
    std::vector<text_fault> faults_;
};

/// Whether a key may be left out; then what it is read into stays as it is.
enum class presence
{
    required,
    optional
};

/// The least and the most that a number may be.
template <class Number>
struct bounds
{
    Number least;
    Number most;
};

/// One object of a document. Each read_... looks one key up, checks it, and
/// notes a fault or stores the value. Not thread safe; the document outlives
/// this object.
class json_object
{
public:
    /// `path` is empty for the root. A value that is no object is a fault,
    /// and its keys are then not missed one by one.
    json_object(json_document& document, Json::Value const& value,
                std::string path);

    void read_text(char const* key, std::string& into, presence need);
    /// A text out of a closed list.
    void read_choice(char const* key, std::string& into,
                     std::vector<std::string> const& choices, presence need);
    /// Letters, digits, '.', '_' and '-', at most 128 (see valid_name).
    void read_name(char const* key, std::string& into, presence need);
    /// http://IP:PORT or http://IP:PORT/PATH, the IP in numbers.
    void read_url(char const* key, std::string& into, presence need);
    void read_flag(char const* key, bool& into, presence need);
    void read_number(char const* key, double& into, bounds<double> range,
                     presence need);
    void read_count(char const* key, std::size_t& into,
                    bounds<std::uint64_t> range, presence need);
    /// Whole milliseconds; `key` ends in _ms.
    void read_milliseconds(char const* key, duration& into,
                           bounds<std::chrono::milliseconds> range,
                           presence need);

    using visitor =
        std::function<void(Json::Value const& value, std::string const& path)>;
    /// Visits each element of a list.
    void read_list(char const* key, presence need, visitor const& visit);
    /// Visits a member that is an object.
    void read_object(char const* key, presence need, visitor const& visit);

    /// Refuses the keys that no read_... asked for. Call it last.
    void refuse_unknown_keys();

    /// Notes a fault at `key`, or at the object when it has no such key.
    void add_fault(char const* key, std::string text);
    /// Whether the object has the key.
    bool has(char const* key) const;
    std::string path_of(char const* key) const;

private:
    Json::Value const* find(char const* key, presence need);

    json_document& document_;
    Json::Value const& value_;
    std::string path_;
    bool is_object_;
    std::vector<std::string> known_;
};

/// Whether the text is http://IP:PORT or http://IP:PORT/..., the IP being
/// numbers (IPv6 in brackets) and the port 1 to 65535.
bool valid_url(std::string_view url);

/// Whether the text is an IPv4 or IPv6 address in numbers.
bool valid_address(std::string const& address);

} // namespace mulberry

#endif
