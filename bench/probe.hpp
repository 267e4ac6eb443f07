/// One measured request and what its caller saw of it.
#ifndef MULBERRY_PROBE_HPP
#define MULBERRY_PROBE_HPP

#include "http_client.hpp"
#include "sse_parser.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace mulberry
{

/// Where requests are sent, under the name that the tables give.
struct probe_target
{
    std::string name;
    /// http://a.b.c.d:port, or an engine worker's base URL.
    std::string url;
    /// Sent in place of the model's name when it is not empty: the name under
    /// which an engine holds the adapter.
    std::string engine_name;
};

struct probe_request
{
    probe_target target;
    /// ADAPTER@VERSION
    std::string model;
    std::string prompt;
    std::size_t tokens = 8;
    bool streamed = false;
    std::chrono::milliseconds deadline{10000};
    /// 1 for the first try.
    unsigned try_number = 1;
};

enum class probe_verdict
{
    whole,
    /// Another text than the adapter, version and prompt give.
    wrong,
    /// An error of the closed list before anything was delivered.
    refused,
    /// Told as cut: an error event inside a stream.
    told_cut,
    /// The connection failed or ended early.
    lost
};

char const* name_of(probe_verdict verdict);

/// Immutable once reported. Times are microseconds.
struct probe_result
{
    probe_request request;
    /// Unix time, to be compared with other processes' logs.
    std::chrono::system_clock::time_point sent_at;
    std::chrono::microseconds first_event{0};
    std::chrono::microseconds whole{0};
    /// After the first event.
    std::chrono::microseconds longest_silence{0};
    probe_verdict verdict = probe_verdict::lost;
    int status = 0;
    std::string error_kind;
    /// Whole seconds; 0 if the answer named none.
    std::chrono::seconds retry_after{0};
};

/// Watches one request on the HTTP client's thread, reports it once.
class probe final : public http_call_observer
{
public:
    using report = std::function<void(probe_result)>;
    probe(probe_request request, report done);

    void on_status(int status, http_headers const& headers) override;
    void on_data(std::string_view data) override;
    void on_end() override;
    void on_failure(call_stage stage, std::string const& text) override;

private:
    using clock = std::chrono::steady_clock;

    void note_bytes();
    void take_event(sse_event const& event);
    void read_whole_answer();
    void read_error(std::string_view body);
    void finish(probe_verdict verdict);
    bool text_is_right() const;

    report done_;
    probe_result result_;
    clock::time_point sent_;
    clock::time_point last_bytes_;
    sse_parser parser_;
    std::string body_;
    std::string text_;
    bool ended_properly_ = false;
    bool told_error_ = false;
};

/// The HTTP request for it; its deadline runs from now.
http_call call_of(probe_request const& request);

} // namespace mulberry

#endif
