#include "http_server_answer.hpp"

#include <http_parser.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace mulberry
{

namespace
{

using restinio::response_connection_attr_t;
using restinio::response_output_flags_t;
using restinio::response_parts_attr_t;

constexpr int no_content = 204;
constexpr int not_modified = 304;
constexpr int internal_error = 500;
constexpr int version_not_supported = 505;
constexpr std::string_view last_chunk = "0\r\n\r\n";

bool may_have_body(int status)
{
    return status >= 200 && status != no_content && status != not_modified;
}

std::string status_line_and_fields(int status, http_headers const& headers)
{
    std::string text =
        fmt::format("HTTP/1.1 {} {}\r\n", status,
                    http_status_str(static_cast<http_status>(status)));
    for (auto const& [name, value] : headers.fields())
    {
        // A line break in a header of a back end would allow header injection
        // and response splitting.
        if (is_connection_header(name) || !is_safe_header(name, value))
            continue;
        text += fmt::format("{}: {}\r\n", name, value);
    }
    return text;
}

std::string connection_field(bool closing)
{
    return closing ? "Connection: close\r\n" : "Connection: keep-alive\r\n";
}

std::string complete_response_head(http_response const& response, bool closing)
{
    std::string text =
        status_line_and_fields(response.status, response.headers);
    if (may_have_body(response.status))
        text += fmt::format("Content-Length: {}\r\n", response.body.size());
    return text + connection_field(closing) + "\r\n";
}

restinio::write_group_t group_of(std::string bytes, std::string body)
{
    restinio::writable_items_container_t items;
    if (!bytes.empty())
        items.emplace_back(std::move(bytes));
    if (!body.empty())
        items.emplace_back(std::move(body));
    return restinio::write_group_t{std::move(items)};
}

} // namespace

restinio::write_group_t closing_response(http_response const& response,
                                         bool head)
{
    bool const has_body = !head && may_have_body(response.status);
    return group_of(complete_response_head(response, true),
                    has_body ? response.body : std::string());
}

std::string closing_response_text(http_response const& response)
{
    return complete_response_head(response, true) + response.body;
}

connection_listener::connection_listener(
    std::shared_ptr<connection_table> table)
    : table_(std::move(table))
{
}

void connection_listener::state_changed(
    restinio::connection_state::notice_t const& notice)
{
    auto const cause = notice.cause();
    if (std::holds_alternative<restinio::connection_state::closed_t>(cause))
        table_->remove(notice.connection_id());
}

connection_table::connection_table(http_handler handler,
                                   std::function<void()> on_removed,
                                   std::function<void()> on_queued)
    : handler_(std::move(handler)), on_removed_(std::move(on_removed)),
      on_queued_(std::move(on_queued))
{
}

void connection_table::add(std::shared_ptr<server_connection> const& connection,
                           std::shared_ptr<caller_state> state)
{
    std::lock_guard const lock(mutex_);
    entry& added = entries_[connection->connection_id()];
    added.connection = connection;
    added.state = std::move(state);
}

std::shared_ptr<caller_state>
connection_table::state_of(connection_number number) const
{
    std::lock_guard const lock(mutex_);
    auto const found = entries_.find(number);
    return found == entries_.end() ? nullptr : found->second.state;
}

bool connection_table::on_half_close(connection_number number)
{
    std::shared_ptr<server_answer> answer;
    {
        std::lock_guard const lock(mutex_);
        auto const found = entries_.find(number);
        if (found != entries_.end())
            answer = found->second.current.lock();
    }
    return answer && answer->connection_closed();
}

void connection_table::remove(connection_number number)
{
    entry removed;
    {
        std::lock_guard const lock(mutex_);
        // RESTinio reports a close twice if reading and writing both fail.
        auto const found = entries_.find(number);
        if (found == entries_.end())
            return;
        removed = std::move(found->second);
        entries_.erase(found);
    }
    changed_.notify_all();
    removed.state->receipt.drop();
    removed.state->charge.release();
    if (auto const answer = removed.current.lock())
        answer->connection_closed();
    if (removed.queued)
        removed.queued->answer->connection_closed();
    on_removed_();
}

std::size_t connection_table::size() const
{
    std::lock_guard const lock(mutex_);
    return entries_.size();
}

std::vector<std::shared_ptr<server_connection>>
connection_table::open_connections() const
{
    std::lock_guard const lock(mutex_);
    std::vector<std::shared_ptr<server_connection>> connections;
    for (auto const& [number, entry] : entries_)
    {
        if (auto connection = entry.connection.lock())
            connections.push_back(std::move(connection));
    }
    return connections;
}

std::vector<std::shared_ptr<server_connection>>
connection_table::idle_connections() const
{
    std::lock_guard const lock(mutex_);
    std::vector<std::shared_ptr<server_connection>> connections;
    for (auto const& [number, entry] : entries_)
    {
        if (!entry.is_idle())
            continue;
        if (auto connection = entry.connection.lock())
            connections.push_back(std::move(connection));
    }
    return connections;
}

bool connection_table::is_idle(connection_number number) const
{
    std::lock_guard const lock(mutex_);
    auto const found = entries_.find(number);
    return found != entries_.end() && found->second.is_idle();
}

bool connection_table::has_requests() const
{
    std::lock_guard const lock(mutex_);
    return std::any_of(entries_.begin(), entries_.end(),
                       [](auto const& each)
                       { return each.second.has_request(); });
}

std::vector<std::shared_ptr<server_connection>>
connection_table::queued_connections() const
{
    std::lock_guard const lock(mutex_);
    std::vector<std::shared_ptr<server_connection>> connections;
    for (auto const& [number, entry] : entries_)
        if (entry.queued || entry.state->defers_read)
            if (auto connection = entry.connection.lock())
                connections.push_back(std::move(connection));
    return connections;
}

template <class Condition>
std::shared_ptr<server_connection>
connection_table::least_active(time_point before,
                               Condition const& matches) const
{
    std::lock_guard const lock(mutex_);
    entry const* chosen = nullptr;
    for (auto const& [number, entry] : entries_)
        if (entry.state->active_at <= before && matches(entry) &&
            (chosen == nullptr ||
             entry.state->active_at < chosen->state->active_at))
            chosen = &entry;
    return chosen == nullptr ? nullptr : chosen->connection.lock();
}

std::shared_ptr<server_connection>
connection_table::longest_idle(time_point before) const
{
    return least_active(before,
                        [](entry const& each) { return each.is_idle(); });
}

std::shared_ptr<server_connection>
connection_table::longest_stalled(time_point before) const
{
    return least_active(before,
                        [](entry const& each) {
                            return each.state->receipt.is_open() &&
                                   !each.state->has_open_answer();
                        });
}

void connection_table::handle_in_order(server_connection& connection,
                                       pending_request pending)
{
    bool waits = false;
    {
        std::lock_guard const lock(mutex_);
        auto const found = entries_.find(connection.connection_id());
        if (found == entries_.end())
            return;
        entry& entry = found->second;
        // Requests of one connection are handled one at a time, in the order
        // received. Handled concurrently, a caller that pipelines a write and a
        // read of the same object could read the old state.
        waits = std::exchange(entry.busy, true);
        if (waits)
            entry.queued = pending;
        else
            entry.current = pending.answer;
    }
    if (waits)
        return on_queued_();
    handle_after_close(connection, std::move(pending));
}

/// Failure: a caller gives up because its request is not read, and both the
/// request and the close wait in the socket. The request would be handled, and
/// sent to a worker, before the close is read. The first turn of the event loop
/// starts the next read, the second one reports its result.
void connection_table::handle_after_close(server_connection& connection,
                                          pending_request pending) const
{
    auto const executor = connection.get_executor();
    restinio::asio_ns::post(
        executor,
        [this, executor, pending = std::move(pending)]() mutable
        {
            restinio::asio_ns::post(
                executor, [this, pending = std::move(pending)]() mutable
                { handle(std::move(pending)); });
        });
}

void connection_table::on_answer_complete(server_connection& connection,
                                          bool closes)
{
    std::optional<pending_request> next;
    {
        std::lock_guard const lock(mutex_);
        auto const found = entries_.find(connection.connection_id());
        if (found == entries_.end())
            return;
        entry& entry = found->second;
        next = std::exchange(entry.queued, std::nullopt);
        entry.busy = closes || next.has_value();
        entry.current =
            next && !closes ? next->answer : std::shared_ptr<server_answer>();
    }
    if (next && closes)
        next->answer->connection_closed();
    else if (next)
        handle_after_close(connection, std::move(*next));
}

void connection_table::handle(pending_request pending) const
{
    auto const answer = pending.answer;
    try
    {
        handler_(std::move(pending.request), std::move(pending.answer));
    }
    catch (std::exception const&)
    {
        answer->respond(http_response{internal_error, {}, {}});
    }
}

void connection_table::add_unsent(std::size_t bytes)
{
    std::lock_guard const lock(mutex_);
    unsent_bytes_ += bytes;
}

void connection_table::remove_unsent(std::size_t bytes)
{
    {
        std::lock_guard const lock(mutex_);
        unsent_bytes_ -= bytes;
    }
    changed_.notify_all();
}

std::size_t connection_table::unsent_bytes() const
{
    std::lock_guard const lock(mutex_);
    return unsent_bytes_;
}

void connection_table::wait_until_sent(
    std::chrono::steady_clock::time_point deadline) const
{
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, deadline, [this] { return unsent_bytes_ == 0; });
}

void connection_table::wait_until_empty(
    std::chrono::steady_clock::time_point deadline) const
{
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, deadline, [this] { return entries_.empty(); });
}

server_answer::server_answer(std::shared_ptr<connection_table> table,
                             std::shared_ptr<server_connection> connection,
                             std::shared_ptr<caller_state> state,
                             std::unique_ptr<request_memory> charge,
                             restinio::request_id_t request,
                             response_format format)
    : table_(std::move(table)), state_(std::move(state)), request_(request),
      format_(format),
      unsent_bytes_(std::make_shared<std::atomic<std::size_t>>(0)),
      connection_(std::move(connection)), charge_(std::move(charge))
{
}

server_answer::~server_answer()
{
    abort();
}

void server_answer::respond(http_response response)
{
    std::lock_guard const lock(mutex_);
    respond_locked(std::move(response));
}

void server_answer::respond_locked(http_response response)
{
    if (stage_ != stage::waiting)
        return;
    closing_ = !format_.keep_alive || table_->draining();
    std::string head = complete_response_head(response, closing_);
    if (format_.head || !may_have_body(response.status))
        response.body.clear();
    complete(last_part(), std::move(head), std::move(response.body));
}

void server_answer::start_stream(int status, http_headers headers)
{
    std::function<void()> closed;
    {
        std::lock_guard const lock(mutex_);
        if (stage_ != stage::waiting)
            return;
        if (!format_.chunks)
        {
            // HTTP/1.0 ends a stream by closing the connection, so the reader
            // could not tell a truncated stream from a complete one.
            closed = std::exchange(on_closed_, nullptr);
            respond_locked(http_response{version_not_supported, {}, {}});
        }
        else
        {
            closing_ = !format_.keep_alive || table_->draining();
            std::string head = status_line_and_fields(status, headers) +
                               "Transfer-Encoding: chunked\r\n" +
                               connection_field(closing_) + "\r\n";
            if (format_.head)
                complete(last_part(), std::move(head));
            else
                send(part::more, std::move(head));
            if (!format_.head)
                stage_ = stage::streaming;
        }
    }
    if (closed)
        closed();
}

void server_answer::write(std::string chunk)
{
    std::lock_guard const lock(mutex_);
    // An empty chunk would end the stream.
    if (stage_ != stage::streaming || chunk.empty())
        return;
    std::string bytes = fmt::format("{:x}\r\n", chunk.size());
    bytes.reserve(bytes.size() + chunk.size() + 2);
    bytes += chunk;
    bytes += "\r\n";
    send(part::more, std::move(bytes));
}

void server_answer::finish()
{
    std::lock_guard const lock(mutex_);
    if (stage_ == stage::streaming)
        complete(last_part(), std::string(last_chunk));
}

void server_answer::abort()
{
    std::lock_guard const lock(mutex_);
    // Bytes already written are sent first, since the last event tells the
    // caller the reason. Without the last chunk, the reader sees a truncated
    // response.
    if (stage_ == stage::waiting || stage_ == stage::streaming)
        complete(part::last_then_close, {});
}

void server_answer::on_closed(std::function<void()> callback)
{
    {
        std::lock_guard const lock(mutex_);
        if (stage_ == stage::complete)
            return;
        if (stage_ != stage::closed)
        {
            on_closed_ = std::move(callback);
            return;
        }
    }
    callback();
}

bool server_answer::connection_closed()
{
    std::function<void()> callback;
    std::shared_ptr<server_connection> connection;
    bool unsent = false;
    {
        std::lock_guard const lock(mutex_);
        if (stage_ == stage::complete || stage_ == stage::closed)
            return false;
        unsent = stage_ == stage::waiting;
        stage_ = stage::closed;
        charge_.reset();
        callback = std::exchange(on_closed_, nullptr);
        connection = std::exchange(connection_, nullptr);
    }
    if (callback)
        callback();
    return unsent;
}

void server_answer::complete(part which, std::string bytes, std::string body)
{
    send(which, std::move(bytes), std::move(body));
    stage_ = stage::complete;
    charge_.reset();
    on_closed_ = nullptr;
    auto const connection = std::exchange(connection_, nullptr);
    table_->on_answer_complete(*connection, which == part::last_then_close);
}

void server_answer::send(part which, std::string bytes, std::string body)
{
    std::size_t const size = bytes.size() + body.size();
    response_output_flags_t const flags{
        which == part::more ? response_parts_attr_t::not_final_parts
                            : response_parts_attr_t::final_parts,
        which == part::last_then_close
            ? response_connection_attr_t::connection_close
            : response_connection_attr_t::connection_keepalive};
    restinio::write_group_t group = group_of(std::move(bytes), std::move(body));
    *unsent_bytes_ += size;
    state_->unsent_bytes += size;
    table_->add_unsent(size);
    // Always called: a group that is dropped calls the notificator when
    // destroyed.
    group.after_write_notificator(
        [unsent = unsent_bytes_, state = state_, table = table_,
         size](auto const&)
        {
            *unsent -= size;
            state->unsent_bytes -= size;
            table->remove_unsent(size);
            state->read_on_if_answered();
        });
    // Always posted, never dispatched: a dispatch from the strand would run at
    // once, overtake what another thread had written before, and call back
    // while mutex_ is locked.
    restinio::asio_ns::post(
        connection_->get_executor(),
        [handle = restinio::impl::connection_handle_t(connection_),
         state = state_, which, request = request_, flags,
         group = std::move(group)]() mutable
        {
            if (which != part::more)
            {
                --state->unanswered_requests;
                state->active_at = boot_clock::now();
            }
            state->closing |= which == part::last_then_close;
            parsing_scope const scope(*state);
            handle->write_response_parts(request, flags, std::move(group));
            state->read_on_if_answered();
        });
}

server_answer::part server_answer::last_part() const
{
    return closing_ ? part::last_then_close : part::last;
}

} // namespace mulberry
