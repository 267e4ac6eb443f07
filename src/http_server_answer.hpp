/// The answers of the HTTP server and the connections that they belong to.
/// Private to the HTTP server: this header includes RESTinio.
#ifndef MULBERRY_HTTP_SERVER_ANSWER_HPP
#define MULBERRY_HTTP_SERVER_ANSWER_HPP

#include "http_caller_socket.hpp"
#include "http_server.hpp"

#include <restinio/http_server.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mulberry
{

class connection_table;
class server_answer;

/// Receives RESTinio's notice that a connection has closed.
class connection_listener
{
public:
    explicit connection_listener(std::shared_ptr<connection_table> table);
    void state_changed(restinio::connection_state::notice_t const& notice);

private:
    std::shared_ptr<connection_table> table_;
};

struct server_traits : public restinio::default_traits_t
{
    using connection_state_listener_t = connection_listener;
    using stream_socket_t = caller_socket;
};

using server_connection = restinio::impl::connection_t<server_traits>;
using connection_number = restinio::connection_id_t;

/// A request received on a connection, with its answer.
struct pending_request
{
    http_request request;
    std::shared_ptr<server_answer> answer;
};

/// The open connections of one server, each with the request in progress. Lives
/// as long as the last answer, which may outlive the server. Thread safety: any
/// thread.
class connection_table
{
public:
    /// `on_queued` is called when a request waits for the one before it on its
    /// connection.
    connection_table(http_handler handler, std::function<void()> on_removed,
                     std::function<void()> on_queued);

    void add(std::shared_ptr<server_connection> const& connection,
             std::shared_ptr<caller_state> state);
    /// Null if the connection is closed.
    std::shared_ptr<caller_state> state_of(connection_number number) const;
    /// Handles that the caller has closed its sending half, which abandons its
    /// request. Returns whether an answer is pending of which nothing was sent.
    bool on_half_close(connection_number number);
    /// Removes a connection and reports the close to its answers.
    void remove(connection_number number);
    std::size_t size() const;
    std::vector<std::shared_ptr<server_connection>> open_connections() const;
    /// Connections without a request in progress or received in part, whose
    /// last answer was sent completely.
    std::vector<std::shared_ptr<server_connection>> idle_connections() const;
    /// Whether the connection is open and one of idle_connections().
    bool is_idle(connection_number number) const;
    /// Whether a request is in progress, or received in part, on some
    /// connection.
    bool has_requests() const;

    /// Connections on which a request, or a part of one, waits for the one
    /// before it. Nothing is read from them.
    std::vector<std::shared_ptr<server_connection>> queued_connections() const;
    /// The connection that has been idle for longest, since `before` at least;
    /// null if there is none. What follows requires that the server has one
    /// thread.
    std::shared_ptr<server_connection> longest_idle(time_point before) const;
    /// The connection whose request was received in part and has made no
    /// progress for longest, since `before` at least; null if there is none.
    std::shared_ptr<server_connection> longest_stalled(time_point before) const;

    /// Handles a request, or queues it until the previous request on the same
    /// connection is answered.
    void handle_in_order(server_connection& connection,
                         pending_request pending);
    /// Called when the answer in progress on that connection is complete.
    /// `closes`: the connection closes after it, so that a queued request would
    /// have no connection for its answer and is dropped.
    void on_answer_complete(server_connection& connection, bool closes);

    /// From now on every answer closes its connection.
    void drain() { draining_ = true; }
    bool draining() const { return draining_; }
    /// From now on connections are closed because the server stops.
    void close() { closing_ = true; }
    bool closing() const { return closing_; }

    void add_unsent(std::size_t bytes);
    void remove_unsent(std::size_t bytes);
    /// Whether bytes of answers are not yet written to a socket.
    std::size_t unsent_bytes() const;
    /// Waits until all bytes of answers are written to their sockets.
    void wait_until_sent(std::chrono::steady_clock::time_point deadline) const;
    void wait_until_empty(std::chrono::steady_clock::time_point deadline) const;

private:
    struct entry
    {
        std::weak_ptr<server_connection> connection;
        std::shared_ptr<caller_state> state;
        /// The answer in progress.
        std::weak_ptr<server_answer> current;
        bool busy = false;
        std::optional<pending_request> queued;

        bool has_request() const { return busy || state->receiving; }
        bool is_idle() const
        {
            return !has_request() && state->unsent_bytes == 0;
        }
    };

    template <class Condition>
    std::shared_ptr<server_connection>
    least_active(time_point before, Condition const& matches) const;
    void handle(pending_request pending) const;
    /// Handles the request once a close that was received with it is known.
    void handle_after_close(server_connection& connection,
                            pending_request pending) const;

    http_handler handler_;
    std::function<void()> on_removed_;
    std::function<void()> on_queued_;
    std::atomic<bool> draining_{false};
    std::atomic<bool> closing_{false};
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::unordered_map<connection_number, entry> entries_;
    std::size_t unsent_bytes_ = 0;
};

/// The form of response that a request asks for.
struct response_format
{
    bool keep_alive = true;
    /// A response to HEAD has no body.
    bool head = false;
    /// HTTP/1.0 has no chunked encoding.
    bool chunks = true;
};

/// See http_answer. All bytes are written from the connection's strand, in the
/// order of the calls; no RESTinio code runs within a call, so that a caller
/// may hold its own locks.
class server_answer final : public http_answer
{
public:
    server_answer(std::shared_ptr<connection_table> table,
                  std::shared_ptr<server_connection> connection,
                  std::shared_ptr<caller_state> state,
                  std::unique_ptr<request_memory> charge,
                  restinio::request_id_t request, response_format format);
    server_answer(server_answer const&) = delete;
    server_answer& operator=(server_answer const&) = delete;
    ~server_answer() override;

    void respond(http_response response) override;
    void start_stream(int status, http_headers headers) override;
    void write(std::string chunk) override;
    void finish() override;
    void abort() override;
    void on_closed(std::function<void()> callback) override;
    std::size_t unsent_bytes() const override { return *unsent_bytes_; }

    /// Runs the callback of on_closed() unless the answer is complete. Returns
    /// whether the answer was pending and nothing of it was sent.
    bool connection_closed();

private:
    enum class stage
    {
        waiting,
        streaming,
        complete,
        closed
    };
    enum class part
    {
        more,
        last,
        last_then_close
    };

    void send(part which, std::string bytes, std::string body = {});
    void complete(part which, std::string bytes, std::string body = {});
    void respond_locked(http_response response);
    part last_part() const;

    std::shared_ptr<connection_table> const table_;
    std::shared_ptr<caller_state> const state_;
    restinio::request_id_t const request_;
    response_format const format_;
    std::shared_ptr<std::atomic<std::size_t>> const unsent_bytes_;
    std::mutex mutex_;
    std::shared_ptr<server_connection> connection_;
    /// Of the request; null if nothing is charged.
    std::unique_ptr<request_memory> charge_;
    std::function<void()> on_closed_;
    stage stage_ = stage::waiting;
    bool closing_ = false;
};

/// A complete response that closes its connection, as RESTinio's buffers.
/// `head`: the request was HEAD, so the body is left out.
restinio::write_group_t closing_response(http_response const& response,
                                         bool head);
/// The same response, with its body, as one string.
std::string closing_response_text(http_response const& response);

} // namespace mulberry

#endif
