#include "backend_pool.hpp"

#include "answer_parser.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace mulberry
{
namespace
{

using asio::ip::tcp;
using clock = std::chrono::steady_clock;

constexpr std::size_t read_buffer_bytes = 8UL * 1024;
/// SO_RCVBUF and SO_SNDBUF of each connection where memory is bounded; the
/// kernel doubles them. With a send buffer that is smaller than a segment, as
/// on the loopback interface, each part would wait for a delayed
/// acknowledgement.
constexpr int receive_buffer_bytes = 16 * 1024;
constexpr int send_buffer_bytes = 64 * 1024;
/// What a connection takes: its buffers for reading here and in the kernel, and
/// its state.
constexpr std::size_t connection_bytes =
    read_buffer_bytes + 2UL * receive_buffer_bytes + 4UL * 1024;
/// Workers close idle connections after a timeout of their own, which is
/// unknown without a Keep-Alive header field. So idle connections are kept only
/// for a short time.
constexpr std::chrono::milliseconds max_idle_time{4000};
/// A worker's idle timeout starts when the worker sends its last byte, which is
/// earlier than the byte's arrival here.
constexpr std::chrono::milliseconds keep_alive_margin{500};
/// A connection is closed when sent bytes stay unacknowledged for this long
/// (TCP_USER_TIMEOUT): a worker behind a network partition does not even send a
/// reset. Leaves time for several retransmissions.
constexpr unsigned unacknowledged_timeout_ms = 2000;
/// An exchange fails behind more copies of earlier answers, or more bytes of
/// their bodies: a faulty worker may send them without end.
constexpr int max_skipped_answers = 8;
constexpr std::size_t max_skipped_bytes = 1024UL * 1024;
/// Behind a copy of an earlier answer the own one usually follows at once.
constexpr std::chrono::milliseconds undecided_timeout{10};

class connection;

/// The part of the pool that connections call.
class connection_registry
{
public:
    virtual ~connection_registry() = default;
    virtual void keep(std::shared_ptr<connection> idle) = 0;
    virtual void remove(connection const* gone) = 0;
    virtual void on_answer_skipped() = 0;
};

/// One TCP connection to a worker, serving one exchange at a time.
class connection final : public answer_listener,
                         public std::enable_shared_from_this<connection>
{
public:
    /// `memory` may be null.
    connection(asio::io_context& io, std::uint64_t number, backend_address to,
               connection_registry* registry, caller_memory* memory)
        : socket_(io), timer_(io), number_(number), address_(std::move(to)),
          registry_(registry), memory_(memory)
    {
        if (memory_ != nullptr)
            charge_.hold_for_worker(*memory_, connection_bytes);
    }

    backend_address const& address() const { return address_; }
    clock::time_point idle_since() const { return idle_since_; }
    bool usable_at(clock::time_point now) const { return now < usable_until_; }
    std::uint64_t number() const { return number_; }
    std::uint64_t exchange_number() const { return exchange_number_; }

    void open(outgoing_request request, exchange_options const& options,
              std::string const& source,
              std::shared_ptr<exchange_observer> observer)
    {
        begin(std::move(request), options.mark, std::move(observer));
        asio::error_code failure;
        auto const ip = asio::ip::make_address(address_.ip, failure);
        if (failure)
            return fail_later("not an IP address: " + address_.ip);
        if (!source.empty() && !bind_to(source))
            return fail_later("cannot connect from " + source);
        if (memory_ != nullptr)
            limit_buffers(tcp::endpoint(ip, address_.port).protocol());
        timer_.expires_after(options.connect_timeout);
        timer_.async_wait(
            [self = shared_from_this()](asio::error_code const& cancelled)
            {
                if (!cancelled && !self->connected_)
                    self->fail(call_stage::not_sent, "connect timed out");
            });
        socket_.async_connect(
            {ip, address_.port},
            [self = shared_from_this()](asio::error_code const& refused)
            { self->on_connected(refused); });
    }

    /// Whether the answer to the request can be told from copies of earlier
    /// ones here.
    bool can_carry(std::optional<answer_mark> const& mark) const
    {
        return matcher_.can_carry(mark);
    }

    /// Preconditions: the connection is idle; can_carry(mark).
    void reuse(outgoing_request request, std::optional<answer_mark> const& mark,
               std::shared_ptr<exchange_observer> observer)
    {
        begin(std::move(request), mark, std::move(observer));
        send();
    }

    void cancel(std::uint64_t exchange)
    {
        if (exchange == exchange_number_ && observer_)
        {
            observer_.reset();
            close();
        }
    }

    void close()
    {
        connected_ = false;
        idle_ = false;
        asio::error_code ignored;
        timer_.cancel();
        socket_.close(ignored);
        charge_.release();
        sent_charge_.release();
        if (registry_ != nullptr)
            registry_->remove(this);
    }

    void detach() { registry_ = nullptr; }

private:
    void begin(outgoing_request request, std::optional<answer_mark> const& mark,
               std::shared_ptr<exchange_observer> observer)
    {
        matcher_.begin(mark);
        foreign_ = false;
        skips_ = false;
        skipped_answers_ = 0;
        skipped_bytes_ = 0;
        request_ = std::move(request);
        if (memory_ != nullptr)
            sent_charge_.hold_for_worker(
                *memory_, std::min<std::size_t>(request_.size(),
                                                2UL * send_buffer_bytes));
        observer_ = std::move(observer);
        ++exchange_number_;
        idle_ = false;
        sent_ = false;
        written_ = false;
        write_failed_ = false;
        parser_.begin();
    }

    bool bind_to(std::string const& source)
    {
        asio::error_code failure;
        auto const ip = asio::ip::make_address(source, failure);
        if (!failure)
            socket_.open(tcp::v4(), failure);
        if (!failure)
            socket_.bind({ip, 0}, failure);
        return !failure;
    }

    /// Buffers must be limited before the connection is established.
    void limit_buffers(tcp const& protocol)
    {
        asio::error_code ignored;
        if (!socket_.is_open())
            socket_.open(protocol, ignored);
        socket_.set_option(
            asio::socket_base::send_buffer_size(send_buffer_bytes), ignored);
        socket_.set_option(
            asio::socket_base::receive_buffer_size(receive_buffer_bytes),
            ignored);
    }

    void on_connected(asio::error_code const& refused)
    {
        if (!observer_)
            return;
        if (refused)
            return fail(call_stage::not_sent, "connect: " + refused.message());
        connected_ = true;
        timer_.cancel();
        asio::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                   &unacknowledged_timeout_ms,
                   sizeof unacknowledged_timeout_ms);
        send();
        read();
    }

    void send()
    {
        sent_ = true;
        std::array<asio::const_buffer, 2> const parts{
            asio::buffer(request_.head), request_.body
                                             ? asio::buffer(*request_.body)
                                             : asio::const_buffer()};
        asio::async_write(
            socket_, parts,
            [self = shared_from_this(), exchange = exchange_number_](
                asio::error_code const& failure, std::size_t)
            {
                if (exchange != self->exchange_number_)
                    return;
                self->written_ = !failure;
                // An answer that the worker sent before it closed the
                // connection is read first; the end of the connection is
                // reported by the read.
                self->write_failed_ = failure.operator bool();
            });
    }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(buffer_),
            [self = shared_from_this()](asio::error_code const& failure,
                                        std::size_t size)
            { self->on_read(failure, size); });
    }

    void on_read(asio::error_code const& failure, std::size_t size)
    {
        if (!connected_)
            return;
        if (idle_)
            // The worker closed the connection, or sent bytes that belong to no
            // request (a late or second answer). The next request must not
            // receive these bytes as its answer.
            return close();
        if (failure)
            return on_closed(failure);
        feed({buffer_.data(), size});
        if (connected_)
            read();
    }

    /// Failure: the kernel reports a reset once, to the write of the request if
    /// that is in progress, and the read then sees the end of the stream, as
    /// if the worker had closed the connection in order. A part of an answer
    /// without a length would pass for a whole one.
    void on_closed(asio::error_code const& failure)
    {
        bool const in_order = failure == asio::error::eof && !write_failed_;
        if (in_order && parser_.has_head() && !skips_)
        {
            parser_.finish();
            if (!connected_)
                return;
            if (parser_.is_complete())
                return finish(false);
        }
        fail(stage(), "connection: " + failure.message());
    }

    void feed(std::string_view bytes)
    {
        std::uint64_t const exchange = exchange_number_;
        bool valid = parser_.feed(bytes);
        while (valid && skips_ && parser_.is_complete())
        {
            bytes = bytes.substr(bytes.size() - parser_.excess_bytes());
            skips_ = false;
            parser_.begin();
            valid = parser_.feed(bytes);
        }
        // The observer may have cancelled the exchange within a callback.
        if (!connected_ || exchange != exchange_number_ || !observer_)
            return;
        if (skipped_bytes_ > max_skipped_bytes)
            fail(stage(), "an answer to an earlier request does not end");
        else if (parser_.is_complete())
            finish_framed();
        else if (!valid)
            fail(stage(), foreign_ ? "an answer that may be another request's"
                                   : "not a valid HTTP answer");
    }

    call_stage stage() const
    {
        return parser_.has_head() && !skips_ ? call_stage::answering
                                             : call_stage::sent;
    }

    void finish_framed()
    {
        bool const keep = matcher_.end() && parser_.excess_bytes() == 0 &&
                          written_ && parser_.keeps_alive();
        auto const observer = std::exchange(observer_, nullptr);
        if (keep)
        {
            idle_ = true;
            idle_since_ = clock::now();
            usable_until_ = idle_since_ + idle_limit_;
            request_ = {};
            sent_charge_.release();
            if (registry_ != nullptr)
                registry_->keep(shared_from_this());
        }
        else
            close();
        observer->on_end(true);
    }

    void finish(bool framed)
    {
        auto const observer = std::exchange(observer_, nullptr);
        close();
        if (observer)
            observer->on_end(framed);
    }

    void fail(call_stage stage, std::string const& reason)
    {
        auto const observer = std::exchange(observer_, nullptr);
        close();
        if (observer)
            observer->on_failure(stage, reason);
    }

    void end_undecided()
    {
        auto const observer = std::exchange(observer_, nullptr);
        close();
        if (observer)
            observer->on_undecided();
    }

    void fail_later(std::string reason)
    {
        asio::post(socket_.get_executor(),
                   [self = shared_from_this(), reason = std::move(reason)]
                   { self->fail(call_stage::not_sent, reason); });
    }

    bool on_head(int status, http_headers headers) override
    {
        // The head of a copy that was cut would lend its status to the answer
        // behind it, which has the awaited name.
        bool const may_hold_copy =
            exchange_number_ > 1 && parser_.has_joined_heads();
        auto const owner = may_hold_copy ? answer_owner::unknown
                                         : matcher_.match(status, headers);
        if (owner == answer_owner::undecided)
            start_undecided_timer();
        if (owner == answer_owner::earlier_call ||
            owner == answer_owner::undecided)
        {
            skips_ = true;
            if (registry_ != nullptr)
                registry_->on_answer_skipped();
            return ++skipped_answers_ <= max_skipped_answers;
        }
        foreign_ = owner == answer_owner::unknown;
        if (foreign_)
            return false;
        timer_.cancel();
        idle_limit_ = idle_limit(headers);
        if (auto const observer = observer_)
            observer->on_head(status, std::move(headers));
        return true;
    }

    /// Ends the exchange if no other answer follows.
    void start_undecided_timer()
    {
        timer_.expires_after(undecided_timeout);
        timer_.async_wait(
            [self = shared_from_this(),
             exchange = exchange_number_](asio::error_code const& cancelled)
            {
                if (!cancelled && exchange == self->exchange_number_)
                    self->end_undecided();
            });
    }

    void on_body(std::string_view bytes) override
    {
        if (skips_)
            skipped_bytes_ += bytes.size();
        else if (auto const observer = observer_)
            observer->on_body(bytes);
    }

    /// Idle timeout from the header field "Keep-Alive: timeout=SECONDS", minus
    /// the margin.
    static std::chrono::milliseconds idle_limit(http_headers const& headers)
    {
        auto const field = headers.find("Keep-Alive");
        if (!field)
            return max_idle_time;
        constexpr std::string_view key = "timeout=";
        auto const at = field->find(key);
        if (at == std::string::npos)
            return max_idle_time;
        int seconds = 0;
        std::from_chars(field->data() + at + key.size(),
                        field->data() + field->size(), seconds);
        return std::min<std::chrono::milliseconds>(
            max_idle_time, std::chrono::seconds(seconds) - keep_alive_margin);
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    std::uint64_t const number_;
    backend_address address_;
    connection_registry* registry_;
    /// Null if nothing is charged.
    caller_memory* const memory_;
    connection_memory charge_;
    /// For the part of the request that the kernel may hold.
    connection_memory sent_charge_;
    std::array<char, read_buffer_bytes> buffer_{};
    answer_parser parser_{*this};
    outgoing_request request_;
    answer_matcher matcher_;
    /// The answer may be one to an earlier request.
    bool foreign_ = false;
    /// The answer is a copy of one to an earlier request.
    bool skips_ = false;
    int skipped_answers_ = 0;
    std::size_t skipped_bytes_ = 0;
    std::shared_ptr<exchange_observer> observer_;
    std::uint64_t exchange_number_ = 0;
    bool connected_ = false;
    bool idle_ = false;
    bool sent_ = false;
    bool written_ = false;
    bool write_failed_ = false;
    std::chrono::milliseconds idle_limit_{0};
    clock::time_point idle_since_;
    clock::time_point usable_until_;
};

class running_exchange final : public backend_exchange
{
public:
    running_exchange(std::shared_ptr<connection> const& on)
        : connection_(on),
          number_(on->exchange_number()), place_{on->number(), number_ - 1}
    {
    }
    connection_place place() const override { return place_; }
    void cancel() override
    {
        if (auto const open = connection_.lock())
            open->cancel(number_);
    }

private:
    std::weak_ptr<connection> connection_;
    std::uint64_t number_;
    connection_place place_;
};

} // namespace

std::optional<backend_address> parse_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    std::uint16_t port = 0;
    char const* const end = text.data() + text.size();
    auto const [stop, fault] =
        std::from_chars(text.data() + colon + 1, end, port);
    if (fault != std::errc() || stop != end || port == 0)
        return std::nullopt;
    return backend_address{text.substr(0, colon), port};
}

class backend_pool::implementation final : public connection_registry
{
public:
    implementation(asio::io_context& io, std::string source,
                   caller_memory* memory)
        : io_(io), source_(std::move(source)), memory_(memory)
    {
    }
    ~implementation() override
    {
        auto const open = std::exchange(connections_, {});
        for (auto const& [key, each] : open)
        {
            each->detach();
            each->close();
        }
    }
    implementation(implementation const&) = delete;
    implementation& operator=(implementation const&) = delete;

    std::shared_ptr<backend_exchange>
    start(backend_address const& to, outgoing_request request,
          exchange_options const& options,
          std::shared_ptr<exchange_observer> observer)
    {
        if (auto const kept = take_idle(to, options))
        {
            kept->reuse(std::move(request), options.mark, std::move(observer));
            return std::make_shared<running_exchange>(kept);
        }
        auto const made =
            std::make_shared<connection>(io_, ++opened_, to, this, memory_);
        connections_.emplace(made.get(), made);
        made->open(std::move(request), options, source_, std::move(observer));
        return std::make_shared<running_exchange>(made);
    }

    void sweep()
    {
        auto const now = clock::now();
        std::vector<std::shared_ptr<connection>> stale;
        for (auto const& [address, list] : idle_)
            for (auto const& each : list)
                if (!each->usable_at(now))
                    stale.push_back(each);
        for (auto const& each : stale)
            each->close();
    }

    std::uint64_t opened() const { return opened_; }
    std::uint64_t skipped() const { return skipped_; }

    void keep(std::shared_ptr<connection> idle) override
    {
        idle_[idle->address()].push_back(std::move(idle));
    }

    void remove(connection const* gone) override
    {
        auto const list = idle_.find(gone->address());
        if (list != idle_.end())
            std::erase_if(list->second, [gone](auto const& each)
                          { return each.get() == gone; });
        if (list != idle_.end() && list->second.empty())
            idle_.erase(list);
        connections_.erase(gone);
    }

    void on_answer_skipped() override { ++skipped_; }

private:
    /// Returns the most recently used idle connection that can carry the
    /// request. Connections that are not needed stay unused, expire and are
    /// closed.
    std::shared_ptr<connection> take_idle(backend_address const& to,
                                          exchange_options const& options)
    {
        auto const list = idle_.find(to);
        if (list == idle_.end())
            return nullptr;
        auto const now = clock::now();
        auto& kept = list->second;
        auto const newest = std::find_if(
            kept.rbegin(), kept.rend(),
            [&](auto const& each) { return each->can_carry(options.mark); });
        if (newest == kept.rend() || !(*newest)->usable_at(now) ||
            now - (*newest)->idle_since() > options.max_idle)
            return nullptr;
        auto taken = *newest;
        kept.erase(std::prev(newest.base()));
        return taken;
    }

    asio::io_context& io_;
    std::string const source_;
    caller_memory* const memory_;
    std::map<backend_address, std::vector<std::shared_ptr<connection>>> idle_;
    std::map<connection const*, std::shared_ptr<connection>> connections_;
    std::uint64_t opened_ = 0;
    std::uint64_t skipped_ = 0;
};

backend_pool::backend_pool(asio::io_context& io, std::string source,
                           caller_memory* memory)
    : implementation_(
          std::make_unique<implementation>(io, std::move(source), memory))
{
}

backend_pool::~backend_pool() = default;

std::shared_ptr<backend_exchange>
backend_pool::start(backend_address const& to, outgoing_request request,
                    exchange_options const& options,
                    std::shared_ptr<exchange_observer> observer)
{
    return implementation_->start(to, std::move(request), options,
                                  std::move(observer));
}

void backend_pool::sweep()
{
    implementation_->sweep();
}

std::uint64_t backend_pool::connections_opened() const
{
    return implementation_->opened();
}

std::uint64_t backend_pool::answers_skipped() const
{
    return implementation_->skipped();
}

} // namespace mulberry
