/// Response writers that write a model's answer to a caller's connection.
#ifndef MULBERRY_COMPLETION_ANSWER_HPP
#define MULBERRY_COMPLETION_ANSWER_HPP

#include "http_server.hpp"
#include "model_request.hpp"
#include "pending_answers.hpp"

#include <memory>
#include <string>

namespace mulberry
{

/// Writes each event to the caller as it arrives (`stream`: true).
class streamed_answer : public response_writer
{
public:
    streamed_answer(request_id id, adapter_ref adapter,
                    std::shared_ptr<http_answer> out);
    void on_event(std::uint64_t offset, std::string const& payload) override;
    void on_end() override;
    void on_error(error const& what) override;
    void on_service_answer(service_answer const& answer,
                           bool replayed) override;
    void keep_alive() override {}

private:
    request_id id_;
    adapter_ref adapter_;
    std::shared_ptr<http_answer> out_;
    bool stream_started_ = false;
};

/// Collects all events and writes one JSON answer at the end (`stream`: false).
class buffered_answer : public response_writer
{
public:
    buffered_answer(request_id id, adapter_ref adapter, model_endpoint endpoint,
                    std::shared_ptr<http_answer> out);
    void on_event(std::uint64_t offset, std::string const& payload) override;
    void on_end() override;
    void on_error(error const& what) override;
    void on_service_answer(service_answer const& answer,
                           bool replayed) override;
    void keep_alive() override {}

private:
    request_id id_;
    adapter_ref adapter_;
    model_endpoint endpoint_;
    std::shared_ptr<http_answer> out_;
    std::string text_;
    std::string finish_reason_;
    std::string usage_;
};

/// Converts an event's JSON for callers: removes the fencing number from the
/// engine's adapter name, which leaves ADAPTER@VERSION, and the attempt number
/// from the id, which leaves the request's id.
std::string caller_payload(std::string payload, adapter_ref const& adapter,
                           request_id const& id);

} // namespace mulberry

#endif
