/// A reader with type and range checks on top of jsoncpp. The reader collects
/// all faults of a file with their lines instead of stopping at the first.
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

/// The placeholders of the form @NAME@ (capitals, digits, '_') in a text; an
/// operator has to replace them when copying an example file.
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

    /// Records a fault at the line of `at`, which must be a part of root().
    void add_fault(Json::Value const& at, std::string key, std::string text);
    /// Whether no faults have been found.
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

/// Whether a key may be absent. The variable that the key is read into keeps
/// its value if the key is absent or faulty.
enum class presence
{
    required,
    optional
};

/// The inclusive limits of a number.
template <class Number>
struct bounds
{
    Number least;
    Number most;
};

/// One object of a document. Each read_... function looks up one key, checks
/// the value, and either stores the value or records a fault. Not thread safe.
/// The document must outlive this object.
class json_object
{
public:
    /// `path` is empty for the root. A value that is not an object is recorded
    /// as one fault; its missing keys are then not reported.
    json_object(json_document& document, Json::Value const& value,
                std::string path);

    /// A non-empty text without placeholders (see unfilled_tokens).
    void read_text(char const* key, std::string& into, presence need);
    /// One of the given texts.
    void read_choice(char const* key, std::string& into,
                     std::vector<std::string> const& choices, presence need);
    /// 1 to 128 letters, digits, '.', '_' and '-' (see valid_name).
    void read_name(char const* key, std::string& into, presence need);
    /// http://IP:PORT or http://IP:PORT/PATH with a numeric IP (see valid_url).
    void read_url(char const* key, std::string& into, presence need);
    void read_flag(char const* key, bool& into, presence need);
    void read_number(char const* key, double& into, bounds<double> range,
                     presence need);
    void read_count(char const* key, std::size_t& into,
                    bounds<std::uint64_t> range, presence need);
    /// Whole milliseconds; `key` ends in _ms. If the key is absent or faulty,
    /// `into` is rounded down to whole milliseconds.
    void read_milliseconds(char const* key, duration& into,
                           bounds<std::chrono::milliseconds> range,
                           presence need);

    using visitor =
        std::function<void(Json::Value const& value, std::string const& path)>;
    /// Visits each element of a list.
    void read_list(char const* key, presence need, visitor const& visit);
    /// Visits a member that is an object.
    void read_object(char const* key, presence need, visitor const& visit);

    /// Records a fault for each key that no read_... function has looked up.
    /// Must be called after all of them.
    void refuse_unknown_keys();

    /// Records a fault at `key`, or at the object if the key is absent.
    void add_fault(char const* key, std::string text);
    bool has(char const* key) const;
    /// The path of `key` from the root, as in `workers[3].url`.
    std::string path_of(char const* key) const;

private:
    Json::Value const* find(char const* key, presence need);

    json_document& document_;
    Json::Value const& value_;
    std::string path_;
    bool is_object_;
    std::vector<std::string> read_keys_;
};

/// Whether the text is http://IP:PORT or http://IP:PORT/... with a numeric IP
/// (IPv6 in brackets) and a port from 1 to 65535.
bool valid_url(std::string_view url);

/// Whether the text is a numeric IPv4 or IPv6 address.
bool valid_address(std::string const& address);

} // namespace mulberry

#endif
