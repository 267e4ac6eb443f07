/// Requests of a caller to the real processes and their answers.
#ifndef MULBERRY_PROCESS_CALLER_HPP
#define MULBERRY_PROCESS_CALLER_HPP

#include "http_client.hpp"

#include <json/value.h>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>

namespace mulberry_test
{

/// A model request.
struct model_call
{
    /// IP:PORT of the VM's listener for callers.
    std::string address;
    /// Name of that VM.
    std::string vm;
    /// ADAPTER@VERSION
    std::string adapter;
    std::string prompt;
    std::size_t tokens = 8;
    bool streamed = false;
    bool chat = false;
    std::chrono::milliseconds deadline{20000};
};

/// A call of a plain service.
struct plain_service_call
{
    std::string address;
    std::string vm;
    std::string method = "POST";
    /// Path below /services/.
    std::string path = "recordsvc/permits";
    /// The Idempotency-Key; no header is sent if empty.
    std::string key;
    std::chrono::milliseconds deadline{10000};
};

/// What a caller has received for one request so far.
struct received_answer
{
    int status = 0;
    mulberry::http_headers headers;
    std::string body;
    /// The response was received to its end.
    bool ended = false;
    /// The connection failed.
    bool failed = false;
    /// The connection failed before a byte was sent: no VM received the
    /// request.
    bool not_sent = false;
    std::chrono::steady_clock::time_point over_at;
    bool over() const { return ended || failed; }
};

/// One request in progress and its answer. Thread safety: safe.
class request_in_progress : public mulberry::http_call_observer
{
public:
    void on_status(int status, mulberry::http_headers const& headers) override;
    void on_data(std::string_view data) override;
    void on_end() override;
    void on_failure(mulberry::call_stage stage,
                    std::string const& text) override;

    received_answer seen() const;
    /// Waits until the request is over. Throws after twice generous_wait.
    received_answer wait();
    /// Waits until the body contains the text, the request is over or
    /// generous_wait has passed. Returns whether the body contains the text.
    bool wait_for(std::string const& text);

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    received_answer seen_;
};

mulberry::http_call to_http(model_call const& call);
mulberry::http_call to_http(plain_service_call const& call);

/// Sends a JSON body and returns the JSON answer. Throws if the status is not
/// 200.
Json::Value exchange(mulberry::http_client& client, std::string const& method,
                     std::string const& url, Json::Value const& body = {});

/// Parses a body as JSON; returns null if the body is not valid JSON.
Json::Value parsed(std::string const& body);

} // namespace mulberry_test

#endif
