#include "collected_exchange.hpp"

#include <asio/steady_timer.hpp>

#include <utility>

namespace mulberry
{
namespace
{

class collector final : public exchange_observer,
                        public backend_exchange,
                        public std::enable_shared_from_this<collector>
{
public:
    collector(asio::io_context& io, collected_call call)
        : call_(std::move(call)), timer_(io)
    {
    }

    void start(backend_pool& pool)
    {
        backend_exchange_ = pool.start(call_.to, std::move(call_.bytes),
                                       call_.options, shared_from_this());
        start_deadline_timer();
    }

    void cancel() override
    {
        if (std::exchange(finished_, true))
            return;
        timer_.cancel();
        backend_exchange_->cancel();
    }

    void on_head(int status, http_headers headers) override
    {
        answer_.status = status;
        answer_.headers = std::move(headers);
        if (call_.on_head)
            call_.on_head(status);
    }
    void on_body(std::string_view bytes) override
    {
        if (answer_.body.size() + bytes.size() > call_.max_body_bytes)
        {
            // The pool may hold the last other reference.
            auto const self = shared_from_this();
            backend_exchange_->cancel();
            return complete({});
        }
        answer_.body += bytes;
    }
    void on_end(bool framed) override
    {
        complete(framed || !call_.framed_only ? std::move(answer_)
                                              : collected_answer());
    }
    void on_failure(call_stage, std::string const&) override { complete({}); }
    void on_undecided() override { complete({0, {}, {}, false, true}); }

private:
    void start_deadline_timer()
    {
        timer_.expires_at(call_.current_deadline());
        timer_.async_wait(
            [self = shared_from_this()](asio::error_code const& cancelled)
            {
                if (!cancelled && !self->finished_)
                    self->on_deadline_timer();
            });
    }

    void on_deadline_timer()
    {
        if (call_.current_deadline() > std::chrono::steady_clock::now())
            return start_deadline_timer();
        backend_exchange_->cancel();
        complete({0, {}, {}, true});
    }

    void complete(collected_answer answer)
    {
        if (std::exchange(finished_, true))
            return;
        timer_.cancel();
        call_.on_end(std::move(answer));
    }

    collected_call call_;
    asio::steady_timer timer_;
    std::shared_ptr<backend_exchange> backend_exchange_;
    collected_answer answer_;
    bool finished_ = false;
};

} // namespace

std::shared_ptr<backend_exchange>
start_collected(asio::io_context& io, backend_pool& pool, collected_call call)
{
    auto const started = std::make_shared<collector>(io, std::move(call));
    started->start(pool);
    return started;
}

} // namespace mulberry
