#include "http_server.hpp"

#include "boot_clock.hpp"
#include "http_request_limits.hpp"
#include "http_server_answer.hpp"
#include "lingering_close.hpp"

#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>
#include <limits>
#include <list>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace mulberry
{

namespace
{

namespace asio = restinio::asio_ns;
using asio::ip::tcp;

constexpr int bad_request = 400;
constexpr int request_timeout = 408;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr std::size_t read_buffer_bytes = 8UL * 1024;
/// State of a connection beside its buffers.
constexpr std::size_t connection_state_bytes = 4UL * 1024;
constexpr std::size_t max_header_count = 100;
constexpr std::size_t max_header_name_bytes = 256;
/// The request in progress and one more, which keeps a read pending: without a
/// pending read a disconnect is not noticed before the next write.
constexpr std::size_t requests_per_connection = 2;
/// An upper bound only: the handler enforces the deadlines of requests.
constexpr std::chrono::hours handling_timeout{1};
constexpr std::chrono::milliseconds accept_retry_delay{100};
/// Interval at which connections are checked from which nothing is read.
constexpr std::chrono::milliseconds close_check_interval{100};
/// Limit for the destructor to send complete answers and close connections.
constexpr std::chrono::seconds shutdown_timeout{1};

using connection_settings =
    restinio::impl::connection_settings_t<server_traits>;
using connection_factory = restinio::impl::connection_factory_t<server_traits>;

using keep_alive_idle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_alive_interval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// The user timeout also decides after how many probes a connection is closed.
void set_dead_peer_timeout(restinio::socket_options_t& options,
                           std::chrono::milliseconds timeout)
{
    asio::error_code ignored;
    options.set_option(keep_alive_idle(1), ignored);
    options.set_option(keep_alive_interval(1), ignored);
    options.set_option(user_timeout(static_cast<int>(timeout.count())),
                       ignored);
}

std::chrono::milliseconds timer_period(std::chrono::milliseconds timeout)
{
    using std::chrono::milliseconds;
    return std::clamp(timeout / 4, milliseconds(10), milliseconds(1000));
}

http_request to_request(restinio::request_t const& received, std::string body)
{
    auto const& header = received.header();
    http_request request;
    request.method = header.method().c_str();
    request.path = header.path();
    request.query = header.query();
    header.for_each_field(
        [&request](auto const& field)
        { request.headers.add(field.name(), field.value()); });
    request.body = std::move(body);
    request.caller = received.remote_endpoint().address().to_string();
    return request;
}

bool is_head(restinio::http_request_header_t const& header)
{
    return header.method() == restinio::http_method_head();
}

response_format format_of(restinio::http_request_header_t const& header)
{
    response_format format;
    format.keep_alive = header.should_keep_alive();
    format.head = is_head(header);
    format.chunks = header.http_minor() >= 1;
    return format;
}

/// The status to refuse a request with before the handler sees it, or 0.
int rejection_status(restinio::http_request_header_t const& header)
{
    if (auto const status = refused_status(header))
        return *status;
    // Absolute URLs and CONNECT are refused: this server is not a proxy.
    return header.request_target().starts_with('/') ? 0 : bad_request;
}

/// Whether the peer has closed the connection, or its sending half. Finds the
/// close also behind unread bytes.
bool is_closed_by_peer(int descriptor)
{
    pollfd entry{descriptor, POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0;
}

/// Also true at the end of the peer's stream, which the next read reports.
bool has_unread_bytes(int descriptor)
{
    pollfd entry{descriptor, POLLIN, 0};
    return ::poll(&entry, 1, 0) > 0;
}

} // namespace

class http_server::implementation
{
public:
    implementation(http_server_options options, http_handler handler);
    implementation(implementation const&) = delete;
    implementation& operator=(implementation const&) = delete;
    ~implementation();

    std::uint16_t port() const { return port_; }
    void close_after_answers() { table_->drain(); }
    void close_idle();
    bool has_requests() const { return table_->has_requests(); }
    std::size_t unsent_bytes() const { return table_->unsent_bytes(); }
    std::uint64_t evicted_connections() const { return evicted_; }
    void stop_accepting();

private:
    void listen();
    std::shared_ptr<connection_settings> make_settings();
    std::shared_ptr<connection_factory> make_factory();
    void accept_next();
    void on_accept(asio::error_code const& failure, tcp::socket socket);
    void retry_accept();
    bool is_full() const;
    /// Whether there is a place for a new connection; another one may be closed
    /// in its favor.
    bool has_place();
    /// Charges a new connection; others may be closed in its favor. Returns
    /// false if it does not fit.
    bool charge_connection(connection_memory& charge);
    /// What a connection takes, its buffers in the kernel included.
    std::size_t connection_bytes() const;
    /// Closes a connection in favor of a new one. Returns false if there is
    /// none to close.
    bool evict_connection();
    bool cut_lingering();
    void linger(tcp::socket socket, connection_memory charge);
    static void reset(tcp::socket& socket);
    void on_connection_removed();
    /// Starts the checks of connections on which a request waits.
    void check_queued_later();
    void check_queued();
    void open_connection(tcp::socket socket, connection_memory charge);
    std::string closing_error_response(int status) const;
    void set_closing_responses(caller_state& state, connection_number number);
    void set_refusal(std::shared_ptr<caller_state> const& state,
                     std::shared_ptr<server_connection> const& connection);
    restinio::request_handling_status_t
    handle_request(restinio::request_handle_t const& received);
    void refuse(restinio::request_handle_t const& received, int status);
    void close_connections();
    /// Called on the connection's strand.
    bool is_idle(server_connection& connection) const;
    void close(restinio::impl::connection_handle_t const& connection);

    http_server_options const options_;
    std::unique_ptr<asio::io_context> own_io_;
    asio::io_context& io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    asio::strand<asio::io_context::executor_type> accept_strand_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    asio::steady_timer close_check_timer_;
    std::atomic<bool> close_check_pending_{false};
    std::atomic<bool> accept_paused_{false};
    std::uint16_t port_ = 0;
    std::uint64_t evicted_ = 0;
    /// In order of their closes.
    std::list<std::weak_ptr<lingering_close>> lingering_;
    std::shared_ptr<connection_table> table_;
    std::shared_ptr<connection_factory> factory_;
    std::vector<std::thread> threads_;
};

http_server::implementation::implementation(http_server_options options,
                                            http_handler handler)
    : options_(std::move(options)),
      own_io_(options_.shared_io == nullptr
                  ? std::make_unique<asio::io_context>()
                  : nullptr),
      io_(own_io_ ? *own_io_ : *options_.shared_io), work_(io_.get_executor()),
      accept_strand_(io_.get_executor()), acceptor_(accept_strand_),
      accept_timer_(accept_strand_), close_check_timer_(accept_strand_),
      table_(std::make_shared<connection_table>(
          std::move(handler), [this] { on_connection_removed(); },
          [this] { check_queued_later(); })),
      factory_(make_factory())
{
    listen();
    accept_next();
    if (!own_io_)
        return;
    for (std::size_t i = 0; i < std::max<std::size_t>(options_.threads, 1); ++i)
        threads_.emplace_back([this] { io_.run(); });
}

http_server::implementation::~implementation()
{
    stop_accepting();
    // No thread runs a shared io_context any more, so waiting would not help.
    auto const deadline = std::chrono::steady_clock::now() + shutdown_timeout;
    if (own_io_)
        table_->wait_until_sent(deadline);
    close_connections();
    if (own_io_)
    {
        table_->wait_until_empty(deadline);
        io_.stop();
    }
    for (std::thread& thread : threads_)
        thread.join();
    // The answers release their connections, which must not outlive the
    // io_context.
    for (auto const& connection : table_->open_connections())
        table_->remove(connection->connection_id());
}

void http_server::implementation::listen()
{
    try
    {
        tcp::endpoint const endpoint(asio::ip::make_address(options_.address),
                                     options_.port);
        acceptor_.open(endpoint.protocol());
        // A restarted process can bind its port while connections of its
        // predecessor are still in TIME_WAIT.
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        // Accepted sockets inherit the size of the buffers.
        if (options_.socket_buffer_bytes > 0)
        {
            acceptor_.set_option(asio::socket_base::receive_buffer_size(
                options_.socket_buffer_bytes));
            acceptor_.set_option(asio::socket_base::send_buffer_size(
                options_.socket_buffer_bytes));
        }
        acceptor_.bind(endpoint);
        acceptor_.listen();
        port_ = acceptor_.local_endpoint().port();
    }
    catch (std::system_error const& failure)
    {
        throw std::runtime_error("cannot listen on " + options_.address + ":" +
                                 std::to_string(options_.port) + ": " +
                                 failure.what());
    }
}

std::shared_ptr<connection_settings>
http_server::implementation::make_settings()
{
    restinio::server_settings_t<server_traits> settings;
    settings.buffer_size(read_buffer_bytes)
        .read_next_http_message_timelimit(options_.read_timeout)
        .write_http_response_timelimit(options_.write_timeout)
        .handle_request_timeout(handling_timeout)
        .max_pipelined_requests(requests_per_connection)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}
                .max_url_size(options_.max_header_bytes)
                .max_field_name_size(max_header_name_bytes)
                .max_field_value_size(options_.max_header_bytes)
                .max_field_count(max_header_count)
                .max_body_size(options_.max_body_bytes))
        .connection_state_listener(
            std::make_shared<connection_listener>(table_))
        .request_handler([this](restinio::request_handle_t const& received)
                         { return handle_request(received); });
    auto timers = std::make_shared<restinio::asio_timer_manager_t>(
        io_, timer_period(options_.read_timeout));
    return std::make_shared<connection_settings>(
        settings, limiting_parser_settings(), std::move(timers));
}

// RESTinio's connections are used, but not its acceptor. After one failed
// accept (the process is out of file descriptors) RESTinio's acceptor never
// accepts again: callers time out while the process looks healthy. RESTinio's
// connections also refer to their acceptor after its destruction. The accept
// loop below retries after accept_retry_delay.
std::shared_ptr<connection_factory> http_server::implementation::make_factory()
{
    auto set_options = std::make_unique<restinio::socket_options_setter_t>(
        [timeout =
             options_.dead_peer_timeout](restinio::socket_options_t& options)
        {
            asio::error_code ignored;
            options.set_option(tcp::no_delay(true), ignored);
            options.set_option(asio::socket_base::keep_alive(true), ignored);
            if (timeout.count() > 0)
                set_dead_peer_timeout(options, timeout);
        });
    return std::make_shared<connection_factory>(make_settings(),
                                                std::move(set_options));
}

void http_server::implementation::accept_next()
{
    if (!acceptor_.is_open())
        return;
    accept_paused_ = true;
    if (!options_.closes_excess_connections && is_full())
        return;
    if (!accept_paused_.exchange(false))
        return;
    acceptor_.async_accept(
        io_, [this](asio::error_code const& failure, tcp::socket socket)
        { on_accept(failure, std::move(socket)); });
}

void http_server::implementation::on_accept(asio::error_code const& failure,
                                            tcp::socket socket)
{
    if (failure == asio::error::operation_aborted)
        return;
    if (failure)
    {
        retry_accept();
        return;
    }
    // A socket that is not opened is closed with its request unread, and the
    // caller may try another server at once.
    connection_memory charge;
    if (has_place() && (!options_.may_open || options_.may_open()) &&
        charge_connection(charge))
        open_connection(std::move(socket), std::move(charge));
    else
        reset(socket);
    accept_next();
}

bool http_server::implementation::has_place()
{
    if (!options_.closes_excess_connections || !is_full())
        return true;
    return !own_io_ && evict_connection();
}

std::size_t http_server::implementation::connection_bytes() const
{
    // Two buffers in the kernel, each of twice the size that was set.
    return read_buffer_bytes + connection_state_bytes +
           4 * static_cast<std::size_t>(options_.socket_buffer_bytes);
}

bool http_server::implementation::charge_connection(connection_memory& charge)
{
    if (options_.memory == nullptr || !options_.charges_connections)
        return true;
    while (!charge.reserve(*options_.memory, connection_bytes(),
                           boot_clock::now()))
        if (!evict_connection())
            return false;
    return true;
}

bool http_server::implementation::evict_connection()
{
    if (cut_lingering())
        return true;
    // Bytes of a younger one may have been received and not yet handled.
    time_point const before = boot_clock::now() - caller_memory::stall_time;
    auto connection = table_->longest_idle(before);
    if (!connection)
        connection = table_->longest_stalled(before);
    if (!connection)
        return false;
    auto const state = table_->state_of(connection->connection_id());
    state->evicted = true;
    if (state->receipt.is_open())
        state->refuse();
    ++evicted_;
    close(connection);
    return true;
}

bool http_server::implementation::cut_lingering()
{
    while (!lingering_.empty())
    {
        auto const oldest = lingering_.front().lock();
        lingering_.pop_front();
        if (!oldest || oldest->is_closed())
            continue;
        oldest->cut();
        return true;
    }
    return false;
}

void http_server::implementation::linger(tcp::socket socket,
                                         connection_memory charge)
{
    std::erase_if(lingering_, [](auto const& each) { return each.expired(); });
    auto const closing =
        std::make_shared<lingering_close>(std::move(socket), std::move(charge));
    lingering_.push_back(closing);
    closing->start();
}

bool http_server::implementation::is_full() const
{
    return table_->size() >= options_.max_connections;
}

/// A plain close would leave the caller's request, which arrives later,
/// unanswered until the kernel resets the connection.
void http_server::implementation::reset(tcp::socket& socket)
{
    asio::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

void http_server::implementation::retry_accept()
{
    accept_timer_.expires_after(accept_retry_delay);
    accept_timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (!cancelled)
                accept_next();
        });
}

void http_server::implementation::on_connection_removed()
{
    if (accept_paused_.exchange(false))
        asio::post(accept_strand_, [this] { accept_next(); });
}

void http_server::implementation::check_queued_later()
{
    if (close_check_pending_.exchange(true))
        return;
    asio::post(accept_strand_,
               [this]
               {
                   close_check_timer_.expires_after(close_check_interval);
                   close_check_timer_.async_wait(
                       [this](asio::error_code const& cancelled)
                       {
                           if (!cancelled)
                               check_queued();
                       });
               });
}

/// Nothing is read from a connection on which two requests are pending, so a
/// close would be noticed at the next write only.
void http_server::implementation::check_queued()
{
    close_check_pending_ = false;
    auto const queued = table_->queued_connections();
    for (auto const& connection : queued)
        if (auto const state = table_->state_of(connection->connection_id());
            state && is_closed_by_peer(state->descriptor))
            close(connection);
    if (!queued.empty())
        check_queued_later();
}

void http_server::implementation::open_connection(tcp::socket socket,
                                                  connection_memory charge)
{
    asio::error_code failure;
    auto const remote = socket.remote_endpoint(failure);
    if (failure)
        return;
    auto const state = std::make_shared<caller_state>(options_.memory);
    state->descriptor = socket.native_handle();
    state->charge = std::move(charge);
    state->active_at = boot_clock::now();
    auto const connection = factory_->create_new_connection(
        caller_socket(std::move(socket), state), remote,
        server_connection::lifetime_monitor_t{nullptr});
    set_closing_responses(*state, connection->connection_id());
    set_refusal(state, connection);
    table_->add(connection, state);
    asio::post(connection->get_executor(),
               [connection] { connection->init(); });
}

/// Empty without error_page: a status line alone could not be told from an
/// answer of the handler.
std::string
http_server::implementation::closing_error_response(int status) const
{
    if (!options_.error_page || table_->closing())
        return {};
    return closing_response_text(options_.error_page(status));
}

// Both callbacks run on the connection's strand, so never after the destructor.
void http_server::implementation::set_closing_responses(
    caller_state& state, connection_number number)
{
    state.timeout_response = [this]
    { return closing_error_response(request_timeout); };
    state.half_close_response = [this, number]
    {
        return table_->on_half_close(number)
                   ? closing_error_response(bad_gateway)
                   : std::string();
    };
}

/// The callbacks hold no reference to the connection, which holds the state.
void http_server::implementation::set_refusal(
    std::shared_ptr<caller_state> const& state,
    std::shared_ptr<server_connection> const& connection)
{
    state->refusal_response = [this]
    { return closing_error_response(service_unavailable); };
    state->on_read_deferred = [this] { check_queued_later(); };
    state->close_soon = [this, weak = std::weak_ptr(connection)]
    {
        if (auto const open = weak.lock())
            asio::post(open->get_executor(), [this, open] { close(open); });
    };
    // With threads of the server's own, nothing is charged or refused.
    if (!own_io_)
        state->linger = [this, state = state.get()](tcp::socket socket)
        { linger(std::move(socket), std::move(state->charge)); };
}

restinio::request_handling_status_t http_server::implementation::handle_request(
    restinio::request_handle_t const& received)
{
    auto const state = table_->state_of(received->connection_id());
    if (!state)
        return restinio::request_accepted();
    state->receiving = false;
    std::string body = state->receipt.take_body();
    auto charge = state->receipt.take_charge();
    if (int const status = rejection_status(received->header()))
    {
        state->closing = true;
        state->lingers = true;
        refuse(received, status);
        return restinio::request_accepted();
    }
    auto const connection = std::static_pointer_cast<server_connection>(
        restinio::impl::access_req_connection(*received));
    ++state->unanswered_requests;
    auto answer = std::make_shared<server_answer>(
        table_, connection, state, std::move(charge), received->request_id(),
        format_of(received->header()));
    table_->handle_in_order(
        *connection,
        {to_request(*received, std::move(body)), std::move(answer)});
    return restinio::request_accepted();
}

/// Runs on the connection's strand, so that RESTinio knows that the connection
/// closes before it reads on: the bytes that follow are the rest of an unread
/// body.
void http_server::implementation::refuse(
    restinio::request_handle_t const& received, int status)
{
    http_response const page = options_.error_page
                                   ? options_.error_page(status)
                                   : http_response{status, {}, {}};
    auto const connection = restinio::impl::access_req_connection(*received);
    connection->write_response_parts(
        received->request_id(),
        {restinio::response_parts_attr_t::final_parts,
         restinio::response_connection_attr_t::connection_close},
        closing_response(page, is_head(received->header())));
}

void http_server::implementation::stop_accepting()
{
    table_->drain();
    asio::post(accept_strand_,
               [this]
               {
                   asio::error_code ignored;
                   acceptor_.close(ignored);
                   accept_timer_.cancel();
               });
}

void http_server::implementation::close_connections()
{
    table_->close();
    for (auto const& connection : table_->open_connections())
        close(connection);
}

/// RESTinio has no call to close a connection, but closes one that receives an
/// answer with an unknown request id.
void http_server::implementation::close(
    restinio::impl::connection_handle_t const& connection)
{
    constexpr auto unknown = std::numeric_limits<restinio::request_id_t>::max();
    restinio::response_output_flags_t const flags{
        restinio::response_parts_attr_t::final_parts,
        restinio::response_connection_attr_t::connection_close};
    connection->write_response_parts(
        unknown, flags,
        restinio::write_group_t{restinio::writable_items_container_t{}});
}

/// Failure: a request arrives while its connection is closed as idle, and its
/// caller gets no answer. So the connection is looked at again on its strand,
/// which runs what was read first.
void http_server::implementation::close_idle()
{
    for (auto const& connection : table_->idle_connections())
        asio::post(connection->get_executor(),
                   [this, connection]
                   {
                       if (is_idle(*connection))
                           close(connection);
                   });
}

bool http_server::implementation::is_idle(server_connection& connection) const
{
    auto const state = table_->state_of(connection.connection_id());
    return state && table_->is_idle(connection.connection_id()) &&
           !has_unread_bytes(state->descriptor);
}

http_server::http_server(http_server_options options, http_handler handler)
    : implementation_(std::make_unique<implementation>(std::move(options),
                                                       std::move(handler)))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return implementation_->port();
}

void http_server::close_after_answers()
{
    implementation_->close_after_answers();
}

bool http_server::has_requests() const
{
    return implementation_->has_requests();
}

std::size_t http_server::unsent_bytes() const
{
    return implementation_->unsent_bytes();
}

std::uint64_t http_server::evicted_connections() const
{
    return implementation_->evicted_connections();
}

void http_server::close_idle()
{
    implementation_->close_idle();
}

void http_server::stop_accepting()
{
    implementation_->stop_accepting();
}

} // namespace mulberry
