#include "answer_gate.hpp"

#include <utility>

namespace mulberry
{

answer_gate::answer_gate(std::shared_ptr<http_answer> answer)
    : answer_(std::move(answer))
{
}

void answer_gate::open()
{
    if (std::exchange(open_, true))
        return;
    waiting_bytes_ = 0;
    for (std::string& each : std::exchange(waiting_, {}))
        answer_->write(std::move(each));
    if (finished_)
        answer_->finish();
}

void answer_gate::respond(http_response response)
{
    answer_->respond(std::move(response));
}

void answer_gate::start_stream(int status, http_headers headers)
{
    answer_->start_stream(status, std::move(headers));
}

void answer_gate::write(std::string chunk)
{
    if (open_)
        return answer_->write(std::move(chunk));
    if (finished_)
        return;
    waiting_bytes_ += chunk.size();
    waiting_.push_back(std::move(chunk));
}

void answer_gate::finish()
{
    if (open_)
        answer_->finish();
    finished_ = true;
}

void answer_gate::abort()
{
    if (!open_ && finished_)
        return;
    open_ = true;
    waiting_.clear();
    waiting_bytes_ = 0;
    answer_->abort();
}

void answer_gate::on_closed(std::function<void()> callback)
{
    answer_->on_closed(std::move(callback));
}

std::size_t answer_gate::unsent_bytes() const
{
    return answer_->unsent_bytes() + waiting_bytes_;
}

} // namespace mulberry
