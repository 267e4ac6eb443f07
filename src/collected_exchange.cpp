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
        running_ = pool.start(call_.to, std::move(call_.bytes), call_.options,
                              shared_from_this());
        wait();
    }

    void cancel() override
    {
        if (std::exchange(over_, true))
            return;
        timer_.cancel();
        running_->cancel();
    }

    void on_head(int status, http_headers) override
    {
        answer_.status = status;
        if (call_.on_head)
            call_.on_head(status);
    }
    void on_body(std::string_view bytes) override { answer_.body += bytes; }
    void on_end(bool) override { tell(std::move(answer_)); }
    void on_failure(call_stage, std::string const&) override { tell({}); }

private:
    void wait()
    {
        timer_.expires_at(call_.ends_at());
        timer_.async_wait(
            [self = shared_from_this()](asio::error_code const& cancelled)
            {
                if (!cancelled && !self->over_)
                    self->on_time();
            });
    }

    void on_time()
    {
        if (call_.ends_at() > std::chrono::steady_clock::now())
            return wait();
        running_->cancel();
        tell({0, {}, true});
    }

    void tell(collected_answer answer)
    {
        if (std::exchange(over_, true))
            return;
        timer_.cancel();
        call_.on_end(std::move(answer));
    }

    collected_call call_;
    asio::steady_timer timer_;
    std::shared_ptr<backend_exchange> running_;
    collected_answer answer_;
    bool over_ = false;
};

} // namespace

std::shared_ptr<backend_exchange>
start_collected(asio::io_context& io, backend_pool& pool, collected_call call)
{
    auto const made = std::make_shared<collector>(io, std::move(call));
    made->start(pool);
    return made;
}

} // namespace mulberry
