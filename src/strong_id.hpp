/// Strongly typed identifiers. Ids of different kinds neither compare nor
/// convert, so that a worker id cannot be passed as a VM id.
#ifndef MULBERRY_STRONG_ID_HPP
#define MULBERRY_STRONG_ID_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mulberry
{

/// An immutable identifier that wraps a text. Thread safety: as std::string.
template <class Tag>
class text_id
{
public:
    text_id() = default;
    explicit text_id(std::string text) : text_(std::move(text)) {}

    std::string const& str() const { return text_; }
    bool empty() const { return text_.empty(); }

    friend auto operator<=>(text_id const&, text_id const&) = default;

private:
    std::string text_;
};

/// An immutable identifier that wraps a number; 0 means "none".
template <class Tag>
class number_id
{
public:
    constexpr number_id() = default;
    constexpr explicit number_id(std::uint64_t value) : value_(value) {}

    constexpr std::uint64_t value() const { return value_; }
    constexpr bool none() const { return value_ == 0; }

    friend constexpr auto operator<=>(number_id, number_id) = default;

private:
    std::uint64_t value_ = 0;
};

} // namespace mulberry

template <class Tag>
struct std::hash<mulberry::text_id<Tag>>
{
    std::size_t operator()(mulberry::text_id<Tag> const& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};

template <class Tag>
struct std::hash<mulberry::number_id<Tag>>
{
    std::size_t operator()(mulberry::number_id<Tag> id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value());
    }
};

#endif
