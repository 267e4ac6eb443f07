/// Copies of the store's rows on this VM, kept up to date from the store or
/// from another VM that reads it.
#ifndef MULBERRY_ROW_MIRROR_HPP
#define MULBERRY_ROW_MIRROR_HPP

#include "backend_pool.hpp"
#include "event_log.hpp"
#include "http_server.hpp"
#include "ownership_keeper.hpp"
#include "peer_rows.hpp"
#include "reader_choice.hpp"
#include "remote_clock.hpp"
#include "row_copy.hpp"
#include "row_store.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace mulberry
{

/// How long after its return the store may be asked again at the latest.
/// Failure: a worker's entry is dropped just then; until some seconds after the
/// return that this VM noticed it may have lapsed with the store, and the
/// worker is used for so long.
inline constexpr std::chrono::milliseconds max_store_retry_delay{600};

struct row_mirror_options
{
    vm_id vm;
    domain_id domain;
    /// How long a question about declarations waits at the store. A change is
    /// answered at once; the bound is there to notice a connection that went
    /// silent. It is about the time that a configuration has to come into
    /// force: each question costs the store a call.
    duration declaration_wait = std::chrono::milliseconds(2000);
    /// How long a question may take beyond its wait.
    duration answer_time = std::chrono::milliseconds(600);
    /// How often the workers are asked for. They heartbeat all the time, so a
    /// question that waits for a change would return at once, a call for each
    /// heartbeat. Half of the bound on draining workers leaves the other half
    /// for a question that fails and the one after it.
    duration worker_interval = std::chrono::milliseconds(1000);
    /// Declarations for which that is not certain to be less ago are asked for
    /// elsewhere; 0: as soon as they are half as old again as the wait.
    duration oldest_declarations{};
    /// How often the product's own rows are asked for.
    duration own_interval = std::chrono::milliseconds(2000);
    /// What of a worker's row others act on; see row_copy.
    row_copy::essence worker_essence;
};

/// Told on the mirror's thread.
struct row_listener
{
    /// Rows that changed in a set, dropped ones among them; also without any,
    /// as often as the set was looked at.
    std::function<void(row_set, std::vector<stored_row> const&)> on_rows;
};

/// Reads each set of rows whole, then its changes; whole again when the store
/// has dropped the history in between. Thread safety: none; used on the thread
/// that runs the io_context.
class row_mirror
{
public:
    /// Whether the rows are there as of the moment that was asked for, and of
    /// which moment they are.
    using refreshed = std::function<void(bool current, time_point as_of)>;

    /// The references outlive this object.
    row_mirror(asio::io_context& io, row_store& store, backend_pool& pool,
               row_mirror_options options, event_log& log,
               row_listener listener);

    void start();
    /// The VMs there are, this one among them.
    void set_members(std::vector<member_view> const& members);
    /// Calls back when the own rows are known as of now or, unless `strict`,
    /// as of a little earlier; with false when the store cannot be asked. Never
    /// within this call.
    void refresh_own(bool strict, refreshed done);
    /// Another VM's question; see peer_rows.hpp.
    void serve(http_request const& request,
               std::shared_ptr<http_answer> answer);

    /// Whether a set has been read.
    bool read(row_set set) const { return at(set).copy.read(); }
    std::vector<stored_row> rows(row_set set) const
    {
        return at(set).copy.rows();
    }
    /// The latest moment whose rows the copy of a set is known to show; where a
    /// question waits for changes, up to a fifth more than the interval at
    /// which workers are asked for may have passed without contact.
    time_point as_of(row_set set, time_point now) const
    {
        return shown_at(at(set), now);
    }
    /// A moment at which the store is certain to have held what the copy shows:
    /// what changed later may be missing, and nothing that changed before. The
    /// VM's own clock and the store's are all that it rests on, however many
    /// VMs the rows came through.
    time_point proven_as_of(row_set set) const { return at(set).proven_at; }
    /// Whether the store does not answer, neither here nor at the VM that
    /// reads it for this one.
    bool lost() const { return store_lost_; }
    /// When the store last began to answer again.
    time_point returned_at() const { return returned_at_; }
    /// Prometheus lines: how old each set of rows is, whether another VM reads
    /// the store for this one, and how many questions of others wait here.
    std::string metrics() const;
    /// The VM that reads the store for this one; empty for none.
    vm_id const& reader() const { return reader_; }

private:
    /// A question to another VM may take this part of the interval at which
    /// workers are asked for beyond its wait.
    static constexpr int reader_answer_part = 5;
    /// The least time between two readings of large rows: one takes a small
    /// VM's link and processor a fifth of a second each, and versions may
    /// follow each other faster.
    static constexpr std::chrono::milliseconds min_large_read_interval{500};

    struct mirrored_set
    {
        row_set set;
        row_copy copy;
        asio::steady_timer timer;
        /// A question is on its way to the store.
        bool asking = false;
        time_point asked_at{};
        /// The question waits at the store for a change.
        bool waits_for_change = false;
        /// When the answer was made that the copy shows.
        time_point as_of{};
        /// The latest moment as of which the copy is certain.
        time_point proven_at{};
        /// Up to which version another VM told the changes; beyond the copy's
        /// while large rows that it left out have yet to be read.
        row_version told;
        /// Which changes the last question to another VM was for.
        row_version requested_after;
        /// Rows gathered while a whole read goes on page by page.
        std::vector<stored_row> pages;
        row_version first_page;
        time_point first_page_at{};
        bool whole = true;
        /// Questions to the store in a row that it did not answer.
        int failures = 0;
        /// It is asked for again after a failure, on behalf of all sets.
        bool probes = false;

        mirrored_set(asio::io_context& io, row_set which,
                     row_copy::essence essence_of)
            : set(which), copy(std::move(essence_of)), timer(io)
        {
        }

        bool lacks_large_rows() const { return told > copy.version(); }
        /// What changed after the last question's version is not all that
        /// changed after the copy's.
        bool requested_beyond_copy() const
        {
            return requested_after > copy.version();
        }
    };
    struct pending_query
    {
        rows_query query;
        std::shared_ptr<http_answer> answer;
        time_point arrived_at{};
        time_point answer_at{};
    };
    struct pending_refresh
    {
        time_point as_of{};
        refreshed done;
    };

    mirrored_set& at(row_set set);
    mirrored_set const& at(row_set set) const;
    duration interval_of(row_set set) const;
    duration max_age(row_set set) const;
    time_point shown_at(mirrored_set const& which, time_point now) const;
    void choose_reader();
    void continue_reading(mirrored_set& which);
    void query_store(mirrored_set& which);
    void read_page(mirrored_set& which, std::string const& after);
    void watch(mirrored_set& which);
    void read_later(mirrored_set& which, duration delay);
    bool check_reply(mirrored_set& which, store_reply const& reply);
    void probe_later(mirrored_set& which);
    void resume_others(mirrored_set const& answered);
    void on_page(mirrored_set& which, store_reply const& reply);
    void on_changes(mirrored_set& which, store_reply const& reply);
    void finish_read(mirrored_set& which, std::vector<stored_row> const& news,
                     time_point as_of);
    time_point made_at(mirrored_set const& which, store_reply const& reply);
    void complete_refreshes(bool failed);

    void query_reader();
    void query_reader_later(duration delay);
    void on_reader_answer(vm_id const& reader, time_point asked_at,
                          std::optional<rows_answer> const& answer);
    bool apply_reader_changes(mirrored_set& which, row_set_changes const& news,
                              time_point asked_at, time_point now);
    void apply_incomplete(mirrored_set& which, row_set_changes const& news);
    void query_store_instead();

    rows_answer answer_to(rows_query const& query, time_point arrived_at) const;
    bool has_urgent_changes(rows_query const& query) const;
    /// Whether other VMs act on a change of the row at once.
    static bool is_urgent(stored_row const& row);
    void schedule_pending_answers();
    void answer_pending();

    asio::io_context& io_;
    row_store& store_;
    backend_pool& pool_;
    row_mirror_options options_;
    event_log& log_;
    row_listener listener_;
    std::array<mirrored_set, all_row_sets.size()> sets_;
    reader_choice choice_;
    std::map<vm_id, backend_address> addresses_;
    vm_id reader_;
    bool reader_query_pending_ = false;
    asio::steady_timer reader_timer_;
    /// Other VMs have asked lately; until then this one reads for itself.
    time_point serves_until_{};
    std::vector<pending_query> pending_queries_;
    asio::steady_timer pending_timer_;
    bool answers_scheduled_ = false;
    std::vector<pending_refresh> refreshes_;
    remote_clock store_clock_;
    bool store_lost_ = false;
    time_point last_contact_at_{};
    time_point returned_at_{};
};

} // namespace mulberry

#endif
