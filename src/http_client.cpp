#include "http_client.hpp"

#include "http_transfer.hpp"

#include <algorithm>
#include <future>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mulberry
{

namespace
{

using clock = http_transfer::clock;

constexpr long max_kept_connections = 256;
constexpr std::chrono::milliseconds max_poll_interval{10000};
constexpr std::size_t max_response_bytes = 64UL * 1024 * 1024;

void initialize_libcurl()
{
    static CURLcode const result = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (result != CURLE_OK)
        throw std::runtime_error("libcurl cannot be initialised");
}

/// Collects one response for call_and_wait().
class response_collector final : public http_call_observer
{
public:
    std::future<http_client::result> future() { return promise_.get_future(); }

    void on_status(int status, http_headers const& headers) override
    {
        result_.status = status;
        result_.headers = headers;
    }
    void on_data(std::string_view data) override
    {
        too_large_ = too_large_ ||
                     result_.body.size() + data.size() > max_response_bytes;
        if (!too_large_)
            result_.body += data;
    }
    void on_end() override
    {
        if (too_large_)
            on_failure(call_stage::answering, "the response is too large");
        else
            promise_.set_value(std::move(result_));
    }
    void on_failure(call_stage stage, std::string const& text) override
    {
        http_client::result failed;
        failed.body = text;
        failed.stage = stage;
        promise_.set_value(std::move(failed));
    }

private:
    std::promise<http_client::result> promise_;
    http_client::result result_{0, {}, {}, call_stage::answering};
    bool too_large_ = false;
};

} // namespace

class http_client::implementation
{
public:
    implementation();
    implementation(implementation const&) = delete;
    implementation& operator=(implementation const&) = delete;
    ~implementation();

    call_handle start(http_call call,
                      std::shared_ptr<http_call_observer> observer);
    void cancel(call_handle handle);

private:
    struct new_call
    {
        call_handle handle;
        http_call call;
        std::shared_ptr<http_call_observer> observer;
        cancellation cancelled;
    };
    struct multi_deleter
    {
        void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
    };
    using timer = std::pair<clock::time_point, call_handle>;
    struct running_call
    {
        std::unique_ptr<http_transfer> transfer;
        clock::time_point check_at;
    };

    void run();
    bool process_commands();
    void start_transfer(new_call started);
    void perform();
    void finish(CURL* handle, CURLcode code);
    void check_timers();
    void check(call_handle handle, clock::time_point now);
    std::unique_ptr<http_transfer> remove_call(call_handle handle);
    int poll_timeout() const;

    std::unique_ptr<CURLM, multi_deleter> const multi_;

    std::mutex mutex_;
    std::uint64_t last_handle_ = 0;
    bool stopping_ = false;
    std::vector<new_call> started_;
    std::vector<call_handle> cancelled_;
    std::unordered_map<call_handle, cancellation> cancellations_;

    // The members below are used by the client's thread only.
    std::unordered_map<call_handle, running_call> running_;
    std::unordered_map<CURL*, call_handle> handles_;
    std::set<timer> timers_;

    std::thread thread_;
};

http_client::implementation::implementation()
    : multi_((initialize_libcurl(), curl_multi_init()))
{
    if (!multi_)
        throw std::runtime_error("libcurl cannot create a multi handle");
    curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, max_kept_connections);
    thread_ = std::thread([this] { run(); });
}

http_client::implementation::~implementation()
{
    {
        std::lock_guard const lock(mutex_);
        stopping_ = true;
        for (auto const& [handle, cancelled] : cancellations_)
            *cancelled = true;
    }
    curl_multi_wakeup(multi_.get());
    thread_.join();
}

call_handle
http_client::implementation::start(http_call call,
                                   std::shared_ptr<http_call_observer> observer)
{
    auto const cancelled = std::make_shared<std::atomic<bool>>(false);
    call_handle handle{};
    {
        std::lock_guard const lock(mutex_);
        handle = call_handle{++last_handle_};
        cancellations_.emplace(handle, cancelled);
        started_.push_back(
            {handle, std::move(call), std::move(observer), cancelled});
    }
    curl_multi_wakeup(multi_.get());
    return handle;
}

void http_client::implementation::cancel(call_handle handle)
{
    {
        std::lock_guard const lock(mutex_);
        auto const found = cancellations_.find(handle);
        if (found == cancellations_.end())
            return;
        *found->second = true;
        cancellations_.erase(found);
        cancelled_.push_back(handle);
    }
    curl_multi_wakeup(multi_.get());
}

void http_client::implementation::run()
{
    while (process_commands())
    {
        perform();
        check_timers();
        curl_multi_poll(multi_.get(), nullptr, 0, poll_timeout(), nullptr);
    }
    while (!running_.empty())
        remove_call(running_.begin()->first);
}

/// Starts and cancels calls as requested. Returns false when the client stops.
bool http_client::implementation::process_commands()
{
    std::vector<new_call> started;
    std::vector<call_handle> cancelled;
    {
        std::lock_guard const lock(mutex_);
        if (stopping_)
            return false;
        started.swap(started_);
        cancelled.swap(cancelled_);
    }
    for (new_call& call : started)
        start_transfer(std::move(call));
    for (call_handle const handle : cancelled)
        remove_call(handle);
    return true;
}

void http_client::implementation::start_transfer(new_call started)
{
    auto transfer = std::make_unique<http_transfer>(
        std::move(started.call), std::move(started.observer),
        std::move(started.cancelled));
    if (auto const start_error = transfer->start_error(clock::now()))
    {
        remove_call(started.handle);
        transfer->fail(*start_error);
        return;
    }
    CURL* const easy = transfer->handle();
    clock::time_point const check_at = transfer->next_check();
    handles_.emplace(easy, started.handle);
    timers_.emplace(check_at, started.handle);
    running_.emplace(started.handle,
                     running_call{std::move(transfer), check_at});
    curl_multi_add_handle(multi_.get(), easy);
}

void http_client::implementation::perform()
{
    int running = 0;
    curl_multi_perform(multi_.get(), &running);
    int waiting = 0;
    while (CURLMsg const* message =
               curl_multi_info_read(multi_.get(), &waiting))
    {
        if (message->msg == CURLMSG_DONE)
            finish(message->easy_handle, message->data.result);
    }
}

void http_client::implementation::finish(CURL* handle, CURLcode code)
{
    auto const found = handles_.find(handle);
    if (found == handles_.end())
        return;
    auto const transfer = remove_call(found->second);
    transfer->done(code);
}

/// Removes the call. libcurl closes the call's connection unless the transfer
/// is complete.
std::unique_ptr<http_transfer>
http_client::implementation::remove_call(call_handle handle)
{
    {
        std::lock_guard const lock(mutex_);
        cancellations_.erase(handle);
    }
    auto const found = running_.find(handle);
    if (found == running_.end())
        return nullptr;
    running_call call = std::move(found->second);
    running_.erase(found);
    timers_.erase({call.check_at, handle});
    handles_.erase(call.transfer->handle());
    curl_multi_remove_handle(multi_.get(), call.transfer->handle());
    return std::move(call.transfer);
}

void http_client::implementation::check_timers()
{
    clock::time_point const now = clock::now();
    while (!timers_.empty() && timers_.begin()->first <= now)
        check(timers_.begin()->second, now);
}

void http_client::implementation::check(call_handle handle,
                                        clock::time_point now)
{
    running_call& call = running_.at(handle);
    if (auto const reason = call.transfer->timeout_reason(now))
    {
        auto const transfer = remove_call(handle);
        transfer->fail(*reason);
        return;
    }
    timers_.erase({call.check_at, handle});
    call.check_at = call.transfer->next_check();
    timers_.emplace(call.check_at, handle);
}

int http_client::implementation::poll_timeout() const
{
    using std::chrono::milliseconds;
    if (timers_.empty())
        return static_cast<int>(max_poll_interval.count());
    auto const wait =
        std::chrono::ceil<milliseconds>(timers_.begin()->first - clock::now());
    return static_cast<int>(
        std::clamp(wait, milliseconds(0), max_poll_interval).count());
}

http_client::http_client() : implementation_(std::make_unique<implementation>())
{
}

http_client::~http_client() = default;

call_handle http_client::start(http_call call,
                               std::shared_ptr<http_call_observer> observer)
{
    return implementation_->start(std::move(call), std::move(observer));
}

void http_client::cancel(call_handle handle)
{
    implementation_->cancel(handle);
}

http_client::result http_client::call_and_wait(http_call call)
{
    auto const collector = std::make_shared<response_collector>();
    auto future = collector->future();
    start(std::move(call), collector);
    return future.get();
}

} // namespace mulberry
