#include "http_request_limits.hpp"

#include "http_caller_socket.hpp"
#include "http_message.hpp"

#include <restinio/http_server.hpp>

#include <charconv>
#include <cstdint>
#include <new>
#include <string>

namespace mulberry
{

namespace
{

using restinio::impl::http_parser_ctx_t;

constexpr int malformed = 400;
constexpr int body_too_large = 413;
constexpr int target_too_long = 414;
constexpr int headers_too_large = 431;

/// A body whose announced length exceeds the limit by more than this factor is
/// not read.
constexpr std::uint64_t max_discarded_body_factor = 16;
/// Of a field that is parsed, beside its text.
constexpr std::size_t field_overhead_bytes = 32;

/// Marks a refused request. The mark is a header field, because the header is
/// the only part of the parser's state that reaches the handler. No caller can
/// send this field: the parser accepts no control characters in names.
constexpr char const* refusal_field = "\001refused";

http_parser_settings const& default_callbacks()
{
    static http_parser_settings const callbacks =
        restinio::impl::create_parser_settings<
            restinio::default_http_methods_t>();
    return callbacks;
}

http_parser_ctx_t& context_of(http_parser* parser)
{
    return *static_cast<http_parser_ctx_t*>(parser->data);
}

caller_state& state()
{
    return *caller_state::parsing();
}

/// The parser fails with this result, and RESTinio closes the connection.
constexpr int no_memory = 1;

/// `charge` returns false if the bytes do not fit into the memory. The parser
/// is written in C, so no exception may leave its callbacks.
template <class Charge>
int enforce_memory(Charge charge)
{
    caller_state& receiving = state();
    try
    {
        if (!receiving.refused &&
            !charge(receiving.receipt, !receiving.has_open_answer()))
            receiving.refuse();
    }
    catch (std::bad_alloc const&)
    {
        receiving.refuse();
    }
    return receiving.refused ? no_memory : 0;
}

int on_message_begin(http_parser* /*parser*/)
{
    return enforce_memory([](request_receipt& receipt, bool may_refuse)
                          { return receipt.begin(may_refuse); });
}

bool is_refused(http_parser* parser)
{
    return context_of(parser).m_header.has_field(refusal_field);
}

int charge_head(http_parser* parser, std::size_t bytes)
{
    if (is_refused(parser))
        return 0;
    return enforce_memory([bytes](request_receipt& receipt, bool may_refuse)
                          { return receipt.add_head(bytes, may_refuse); });
}

void drop_fields(http_parser_ctx_t& context)
{
    std::string target = context.m_header.request_target();
    context.m_header = restinio::http_request_header_t{};
    context.m_header.request_target(std::move(target));
}

void refuse(http_parser* parser, int status)
{
    http_parser_ctx_t& context = context_of(parser);
    drop_fields(context);
    context.m_header.add_field(refusal_field, std::to_string(status));
    state().receipt.drop_body();
}

/// Runs one of RESTinio's callbacks, which fail only at a limit, or another
/// check that returns 0 within the limit. Refuses the request with `status` if
/// the callback returns another value.
template <class Callback>
int enforce_limit(http_parser* parser, int status, Callback callback)
{
    if (!is_refused(parser) && callback() != 0)
        refuse(parser, status);
    return 0;
}

std::size_t header_bytes(http_parser_ctx_t const& context)
{
    std::size_t total = context.m_header.request_target().size();
    context.m_header.for_each_field(
        [&total](auto const& field)
        { total += field.name().size() + field.value().size(); });
    return total;
}

/// Failure: this server and a worker read the same head differently, and the
/// worker runs a request that nobody sent.
bool is_well_formed(http_parser* parser)
{
    constexpr unsigned known_major = 1;
    constexpr unsigned last_minor = 1;
    if (parser->http_major != known_major || parser->http_minor > last_minor)
        return false;
    int encodings = 0;
    bool known = true;
    context_of(parser).m_header.for_each_field(
        [&](auto const& field)
        {
            if (same_header_name(field.name(), "Transfer-Encoding"))
                known &= is_chunked_only(field.value()) && ++encodings == 1;
        });
    return known;
}

int on_url(http_parser* parser, char const* at, std::size_t length)
{
    if (int const failed = charge_head(parser, length))
        return failed;
    return enforce_limit(
        parser, target_too_long,
        [&] { return default_callbacks().on_url(parser, at, length); });
}

int on_header_field(http_parser* parser, char const* at, std::size_t length)
{
    if (int const failed = charge_head(parser, length + field_overhead_bytes))
        return failed;
    enforce_limit(parser, malformed,
                  [&] {
                      return length > 0 && !is_token({at, length});
                  });
    return enforce_limit(
        parser, headers_too_large,
        [&]
        { return default_callbacks().on_header_field(parser, at, length); });
}

int on_header_value(http_parser* parser, char const* at, std::size_t length)
{
    if (int const failed = charge_head(parser, length))
        return failed;
    return enforce_limit(
        parser, headers_too_large,
        [&]
        { return default_callbacks().on_header_value(parser, at, length); });
}

int on_headers_complete(http_parser* parser)
{
    constexpr int body_follows = 0;
    constexpr int skip_body = 1;
    // A request to upgrade is answered in HTTP/1.1, as the standard allows.
    // With an upgrade RESTinio would stop reading and not notice a disconnect.
    parser->upgrade = 0;
    http_parser_ctx_t& context = context_of(parser);
    context.m_header.http_minor(parser->http_minor);
    enforce_limit(
        parser, headers_too_large,
        [&context]
        { return header_bytes(context) > context.m_limits.max_url_size(); });
    enforce_limit(parser, malformed, [&] { return !is_well_formed(parser); });
    bool const announced = parser->content_length != UINT64_MAX;
    enforce_limit(parser, body_too_large,
                  [&]
                  {
                      return announced && parser->content_length >
                                              context.m_limits.max_body_size();
                  });
    context.m_leading_headers_completed = true;
    state().body_length =
        announced ? std::optional(parser->content_length) : std::nullopt;
    std::uint64_t const readable =
        context.m_limits.max_body_size() * max_discarded_body_factor;
    if (announced && parser->content_length > readable)
        return skip_body;
    return body_follows;
}

int on_body(http_parser* parser, char const* at, std::size_t length)
{
    std::size_t const largest = context_of(parser).m_limits.max_body_size();
    enforce_limit(parser, body_too_large,
                  [&]
                  { return state().receipt.body_size() + length > largest; });
    if (is_refused(parser))
        return 0;
    return enforce_memory(
        [&](request_receipt& receipt, bool may_refuse)
        {
            return receipt.add_body({at, length}, state().body_length, largest,
                                    may_refuse);
        });
}

} // namespace

http_parser_settings limiting_parser_settings()
{
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = on_message_begin;
    callbacks.on_url = on_url;
    callbacks.on_header_field = on_header_field;
    callbacks.on_header_value = on_header_value;
    callbacks.on_headers_complete = on_headers_complete;
    callbacks.on_body = on_body;
    // RESTinio's callbacks that record chunks are left out: with chunks of one
    // byte the list of chunks grows to many times the limit of the body.
    callbacks.on_message_complete = default_callbacks().on_message_complete;
    return callbacks;
}

std::optional<int> refused_status(restinio::http_request_header_t const& header)
{
    if (!header.has_field(refusal_field))
        return std::nullopt;
    std::string const& text = header.get_field(refusal_field);
    int status = 0;
    std::from_chars(text.data(), text.data() + text.size(), status);
    return status;
}

} // namespace mulberry
