#include "completion_text.hpp"

#include "json_text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace mulberry::standins
{
namespace
{

/// The stand-in has no tokenizer; any fixed ratio serves for the usage counts.
constexpr std::size_t bytes_per_prompt_token = 4;

} // namespace

completion_text::completion_text(completion_kind kind, std::string_view id,
                                 std::string_view model,
                                 std::string_view prompt, std::size_t tokens)
    : kind_(kind), text_(without_fence(model), prompt), tokens_(tokens),
      prompt_tokens_(
          std::max<std::size_t>(1, prompt.size() / bytes_per_prompt_token)),
      names_(fmt::format(R"("id":{},"model":{})", quoted(id), quoted(model)))
{
}

std::string completion_text::events(std::size_t from, std::size_t to) const
{
    std::string out;
    for (std::size_t offset = from; offset < to; ++offset)
        append_event(out, offset);
    if (to == tokens_)
        out += "data: [DONE]\n\n";
    return out;
}

void completion_text::append_event(std::string& out, std::size_t offset) const
{
    bool const last = offset + 1 == tokens_;
    fmt::format_to(std::back_inserter(out),
                   R"(data: {{{},"offset":{},"choices":[{{"index":0,)", names_,
                   offset);
    // Tokens consist of letters, digits, colon and space, which need no JSON
    // escapes.
    out += kind_ == completion_kind::chat ? R"("delta":{"content":")"
                                          : R"("text":")";
    out += text_.token(offset);
    out += kind_ == completion_kind::chat ? R"("})" : R"(")";
    out += last ? R"(,"finish_reason":"length"}],)" + usage() + "}\n\n"
                : std::string(",\"finish_reason\":null}]}\n\n");
}

std::string completion_text::body() const
{
    std::string text;
    for (std::size_t offset = 0; offset < tokens_; ++offset)
        text += text_.token(offset);
    std::string const content =
        kind_ == completion_kind::chat
            ? fmt::format(R"("message":{{"role":"assistant","content":"{}"}})",
                          text)
            : fmt::format(R"("text":"{}")", text);
    return fmt::format(
        R"({{{},"choices":[{{"index":0,{},"finish_reason":"length"}}],{}}})",
        names_, content, usage());
}

std::string completion_text::usage() const
{
    return fmt::format(R"("usage":{{"prompt_tokens":{},"completion_tokens":{},)"
                       R"("total_tokens":{}}})",
                       prompt_tokens_, tokens_, prompt_tokens_ + tokens_);
}

} // namespace mulberry::standins
