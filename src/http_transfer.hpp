/// One call of the HTTP client on one libcurl handle. Private to the client:
/// this header includes libcurl.
#ifndef MULBERRY_HTTP_TRANSFER_HPP
#define MULBERRY_HTTP_TRANSFER_HPP

#include "http_client.hpp"

#include <curl/curl.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mulberry
{

/// Set once, by any thread, to stop all further callbacks to the observer.
using cancellation = std::shared_ptr<std::atomic<bool>>;

/// Thread safety: used by the client's thread only.
class http_transfer
{
public:
    using clock = std::chrono::steady_clock;

    http_transfer(http_call call, std::shared_ptr<http_call_observer> observer,
                  cancellation cancelled);
    http_transfer(http_transfer const&) = delete;
    http_transfer& operator=(http_transfer const&) = delete;

    CURL* handle() const { return handle_.get(); }
    /// The reason why the call cannot be started, if there is one.
    std::optional<std::string> start_error(clock::time_point now) const;
    /// When to call timeout_reason() next; may be before the call times out.
    clock::time_point next_check() const;
    /// The reason why the call has timed out, if it has.
    std::optional<std::string> timeout_reason(clock::time_point now);
    /// Reports the end or the failure of the call to the observer, after
    /// libcurl has finished the transfer with `code`.
    void done(CURLcode code);
    /// Reports a failure to the observer. No member may be called after fail()
    /// or done().
    void fail(std::string const& text);

private:
    struct easy_deleter
    {
        void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
    };
    struct list_deleter
    {
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };

    void set_address();
    void set_method();
    void set_headers();
    void set_connection();
    void set_callbacks();
    void add_header_line(std::string const& line);

    static int before_request(void* self, char* remote, char* local, int port,
                              int local_port);
    static std::size_t on_header(char* data, std::size_t size,
                                 std::size_t count, void* self);
    static std::size_t on_body(char* data, std::size_t size, std::size_t count,
                               void* self);

    void parse_header_line(std::string_view line);
    void headers_complete();
    bool cancelled() const { return *cancelled_; }
    bool has_message_framing() const;
    call_stage stage() const;
    std::string failure_text(CURLcode code) const;

    http_call const call_;
    std::shared_ptr<http_call_observer> const observer_;
    cancellation const cancelled_;
    std::unique_ptr<CURL, easy_deleter> const handle_;
    std::unique_ptr<curl_slist, list_deleter> header_lines_;
    std::array<char, CURL_ERROR_SIZE> error_text_{};
    http_headers headers_;
    std::size_t header_bytes_ = 0;
    int status_ = 0;
    curl_off_t uploaded_bytes_ = 0;
    clock::time_point last_byte_;
    bool bad_header_ = false;
    /// Of the response.
    bool malformed_head_ = false;
    bool request_begun_ = false;
    bool response_begun_ = false;
    bool status_reported_ = false;
};

} // namespace mulberry

#endif
