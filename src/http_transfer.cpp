#include "http_transfer.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace mulberry
{

namespace
{

constexpr int first_final_status = 200;
constexpr int no_content = 204;
constexpr int not_modified = 304;
/// Shorter than the idle timeout of servers: a call on a kept connection that
/// the server is closing has to be sent again.
constexpr long max_idle_connection_seconds = 4;
/// Limit on all header lines of a call: interim responses and trailers count,
/// since libcurl keeps their fields, too.
constexpr std::size_t max_header_bytes = 256UL * 1024;
constexpr long keepalive_idle_seconds = 15;
constexpr long keepalive_interval_seconds = 5;

std::string_view trim_line_end(std::string_view line)
{
    std::size_t const end = line.find_last_not_of("\r\n \t");
    return line.substr(0, end == std::string_view::npos ? 0 : end + 1);
}

/// The status in a line such as `HTTP/1.1 200 OK`; 0 if the line has none.
int status_of(std::string_view line)
{
    std::size_t const space = line.find(' ');
    if (space == std::string_view::npos)
        return 0;
    int status = 0;
    std::string_view const digits = line.substr(space + 1, 3);
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
    return status;
}

} // namespace

http_transfer::http_transfer(http_call call,
                             std::shared_ptr<http_call_observer> observer,
                             cancellation cancelled)
    : call_(std::move(call)), observer_(std::move(observer)),
      cancelled_(std::move(cancelled)), handle_(curl_easy_init()),
      last_byte_(clock::now())
{
    set_address();
    set_method();
    set_headers();
    set_connection();
    set_callbacks();
}

void http_transfer::set_address()
{
    CURL* const handle = handle_.get();
    curl_easy_setopt(handle, CURLOPT_URL, call_.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
}

void http_transfer::set_method()
{
    CURL* const handle = handle_.get();
    bool const announces_body = call_.method == "POST" ||
                                call_.method == "PUT" ||
                                call_.method == "PATCH";
    if (call_.method == "HEAD")
    {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
        return;
    }
    if (!call_.body.empty() || announces_body)
    {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call_.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call_.body.data());
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call_.method.c_str());
}

void http_transfer::add_header_line(std::string const& line)
{
    // Appending changes the head only of an empty list.
    curl_slist* const head =
        curl_slist_append(header_lines_.get(), line.c_str());
    if (!header_lines_)
        header_lines_.reset(head);
}

void http_transfer::set_headers()
{
    // A name without a value removes a field that libcurl adds by default.
    // `Expect` would delay a large body by a second if the server does not
    // support it.
    add_header_line("Expect:");
    if (!call_.headers.find("Accept"))
        add_header_line("Accept:");
    if (!call_.headers.find("Content-Type"))
        add_header_line("Content-Type:");
    if (!call_.repeatable)
        add_header_line("Connection: close");
    for (auto const& [name, value] : call_.headers.fields())
    {
        if (is_connection_header(name))
            continue;
        bad_header_ = bad_header_ || !is_safe_header(name, value);
        std::string line = name;
        line += value.empty() ? ";" : ": ";
        line += value;
        add_header_line(line);
    }
    curl_easy_setopt(handle_.get(), CURLOPT_HTTPHEADER, header_lines_.get());
}

void http_transfer::set_connection()
{
    CURL* const handle = handle_.get();
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPIDLE, keepalive_idle_seconds);
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPINTVL, keepalive_interval_seconds);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, max_idle_connection_seconds);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(std::max<std::int64_t>(
                         call_.connect_timeout.count(), 1)));
    // When a kept connection closes before the first byte of the answer,
    // libcurl sends the request again on a new connection. If the back end ran
    // the request and crashed before it answered, a slip is billed twice while
    // the caller sees one answer. libcurl retries on kept connections only, so
    // a call that must run at most once gets a connection of its own. Such a
    // call also never uses a kept connection that died undetected.
    long const own_connection = call_.repeatable ? 0L : 1L;
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, own_connection);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, own_connection);
}

void http_transfer::set_callbacks()
{
    CURL* const handle = handle_.get();
    curl_easy_setopt(handle, CURLOPT_ERRORBUFFER, error_text_.data());
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &before_request);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
}

std::optional<std::string>
http_transfer::start_error(clock::time_point now) const
{
    if (now >= call_.deadline)
        return "the deadline has passed";
    if (bad_header_)
        return "a header field has an invalid name or a line break";
    return std::nullopt;
}

http_transfer::clock::time_point http_transfer::next_check() const
{
    // Until the request begins, the connect timeout applies.
    if (call_.silence_timeout.count() == 0)
        return call_.deadline;
    return std::min(call_.deadline, last_byte_ + call_.silence_timeout);
}

std::optional<std::string> http_transfer::timeout_reason(clock::time_point now)
{
    if (now >= call_.deadline)
        return "the deadline passed";
    curl_off_t uploaded = 0;
    curl_easy_getinfo(handle_.get(), CURLINFO_SIZE_UPLOAD_T, &uploaded);
    bool const upload_progressed =
        std::exchange(uploaded_bytes_, uploaded) != uploaded;
    if (upload_progressed || !request_begun_)
        last_byte_ = now;
    if (now < next_check())
        return std::nullopt;
    return "the back end was silent for too long";
}

int http_transfer::before_request(void* self, char* /*remote*/, char* /*local*/,
                                  int /*port*/, int /*local_port*/)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    if (transfer.cancelled())
        return CURL_PREREQFUNC_ABORT;
    // libcurl calls this before each time that it sends the request. A second
    // time would run a call twice that must run at most once; set_connection()
    // should already prevent this.
    if (transfer.request_begun_ && !transfer.call_.repeatable)
        return CURL_PREREQFUNC_ABORT;
    transfer.request_begun_ = true;
    transfer.last_byte_ = clock::now();
    return CURL_PREREQFUNC_OK;
}

std::size_t http_transfer::on_header(char* data, std::size_t size,
                                     std::size_t count, void* self)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    if (transfer.cancelled())
        return 0;
    transfer.last_byte_ = clock::now();
    transfer.response_begun_ = true;
    transfer.header_bytes_ += size * count;
    if (transfer.header_bytes_ > max_header_bytes)
        return 0;
    // Header lines after the body are trailers.
    if (!transfer.status_reported_)
        transfer.parse_header_line({data, size * count});
    return size * count;
}

std::size_t http_transfer::on_body(char* data, std::size_t size,
                                   std::size_t count, void* self)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    if (transfer.cancelled())
        return 0;
    transfer.last_byte_ = clock::now();
    transfer.observer_->on_data({data, size * count});
    return size * count;
}

void http_transfer::parse_header_line(std::string_view line)
{
    line = trim_line_end(line);
    if (line.starts_with("HTTP/"))
    {
        status_ = status_of(line);
        headers_ = {};
        return;
    }
    if (line.empty())
    {
        headers_complete();
        return;
    }
    std::size_t const colon = line.find(':');
    if (colon == std::string_view::npos)
        return;
    malformed_head_ |= !is_token(line.substr(0, colon));
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    headers_.add(std::string(line.substr(0, colon)), std::string(value));
}

void http_transfer::headers_complete()
{
    // done() reports the failure.
    if (status_ < first_final_status || malformed_head_)
        return;
    status_reported_ = true;
    observer_->on_status(status_, headers_);
}

bool http_transfer::has_message_framing() const
{
    return call_.method == "HEAD" || status_ == no_content ||
           status_ == not_modified || headers_.find("Content-Length") ||
           headers_.find("Transfer-Encoding");
}

void http_transfer::done(CURLcode code)
{
    if (code != CURLE_OK)
    {
        fail(failure_text(code));
        return;
    }
    // A body that ends with its connection cannot be told from a truncated one:
    // a summary that lost its second half would pass for a complete one.
    if (!status_reported_ || !has_message_framing())
    {
        fail("the response does not say where it ends");
        return;
    }
    if (!cancelled())
        observer_->on_end();
}

void http_transfer::fail(std::string const& text)
{
    if (!cancelled())
        observer_->on_failure(stage(), text);
}

call_stage http_transfer::stage() const
{
    if (response_begun_)
        return call_stage::answering;
    // After "not sent" the caller retries elsewhere, so a wrong "not sent" runs
    // the request twice. libcurl writes the first byte only after it has called
    // before_request(): without that call no byte was written; after it a byte
    // may have been written, which counts as sent.
    return request_begun_ ? call_stage::sent : call_stage::not_sent;
}

std::string http_transfer::failure_text(CURLcode code) const
{
    if (header_bytes_ > max_header_bytes)
        return "the response has too many header fields";
    if (error_text_.front() != '\0')
        return error_text_.data();
    return curl_easy_strerror(code);
}

} // namespace mulberry
