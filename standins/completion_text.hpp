/// A completion as sent to the client: one JSON body or server-sent events.
#ifndef MULBERRY_COMPLETION_TEXT_HPP
#define MULBERRY_COMPLETION_TEXT_HPP

#include "token_text.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace mulberry::standins
{

enum class completion_kind
{
    text,
    chat
};

/// Generates any range of a stream's events on demand, so that resumable
/// streams need not store the events that were sent.
class completion_text
{
public:
    /// `model` is the engine name written into the answer. Precondition: tokens
    /// is positive.
    completion_text(completion_kind kind, std::string_view id,
                    std::string_view model, std::string_view prompt,
                    std::size_t tokens);

    std::size_t tokens() const { return tokens_; }
    /// Returns the events with offsets in [from, to), followed by [DONE] if
    /// `to` is the number of tokens.
    std::string events(std::size_t from, std::size_t to) const;
    /// Returns the body of an answer that is not streamed.
    std::string body() const;

private:
    void append_event(std::string& out, std::size_t offset) const;
    std::string usage() const;

    completion_kind kind_;
    token_text text_;
    std::size_t tokens_;
    std::size_t prompt_tokens_;
    /// The JSON members "id" and "model".
    std::string names_;
};

} // namespace mulberry::standins

#endif
