/// Local replicas of the metadata store's rows, kept up to date from the store
/// or from another VM that reads the store (the reader).
#ifndef MULBERRY_ROW_MIRROR_HPP
#define MULBERRY_ROW_MIRROR_HPP

#include "backend_pool.hpp"
#include "event_log.hpp"
#include "http_server.hpp"
#include "ownership_keeper.hpp"
#include "peer_rows.hpp"
#include "reader_selector.hpp"
#include "remote_clock.hpp"
#include "row_replica.hpp"
#include "row_store.hpp"
#include "store_contact.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace mulberry
{

struct row_mirror_options
{
    vm_id vm;
    domain_id domain;
    /// How long a query for declarations waits at the store for a change (long
    /// polling). A change is answered at once; the bound serves to detect a
    /// connection that went silent. It is about the time within which a
    /// configuration must take effect, since each query costs the store a call.
    duration declaration_wait = std::chrono::milliseconds(2000);
    /// Time allowed for the store's answer beyond the wait.
    duration answer_timeout = std::chrono::milliseconds(600);
    /// Polling interval of the workers' rows. Workers write heartbeats all the
    /// time, so a long poll would return at once and cost a call for each
    /// heartbeat. The interval is half of the bound on noticing a draining
    /// worker; the other half leaves time for a query that fails and the next
    /// one.
    duration worker_interval = std::chrono::milliseconds(1000);
    /// Maximum age of declarations that a reader may answer with; if they are
    /// older, the store is queried. 0 means one and a half times
    /// declaration_wait.
    duration max_declaration_age{};
    /// Polling interval of the product's own rows.
    duration own_interval = std::chrono::milliseconds(2000);
    /// The shortest outage of the store in which the entry of a live worker can
    /// lapse.
    duration min_lapse_outage{};
    /// Projection of a worker's row to what other VMs act on; see row_replica.
    row_replica::projection project_worker_row;
};

/// Called on the mirror's thread.
struct row_listener
{
    /// Rows of a set that changed, deleted rows included. Also called with no
    /// rows whenever the set was checked and nothing had changed.
    std::function<void(row_set, std::vector<stored_row> const&)> on_rows;
};

/// Reads each set of rows completely, then its changes; completely again when
/// the store no longer has the history in between. Thread safety: none; used on
/// the thread that runs the io_context.
class row_mirror
{
public:
    /// Result of a refresh: whether the rows are at least as recent as
    /// requested, and the time as of which they are known.
    using refreshed = std::function<void(bool current, time_point as_of)>;

    /// The references outlive this object.
    row_mirror(asio::io_context& io, row_store& store, backend_pool& pool,
               row_mirror_options options, event_log& log,
               row_listener listener);

    void start();
    /// Sets the current members, this VM included; one of them may be chosen as
    /// the reader.
    void set_members(std::vector<member_view> const& members);
    /// Calls `done` when the product's own rows are known as of now or, unless
    /// `strict` and while another VM is the reader, as of at most one and a
    /// half own_intervals ago. `done` gets false if the store cannot be
    /// reached. `done` is never called within this call.
    void refresh_own(bool strict, refreshed done);
    /// Answers another VM's query, at once or when rows change; see
    /// peer_rows.hpp.
    void serve(http_request const& request,
               std::shared_ptr<http_answer> answer);

    /// Whether a set has been read completely at least once.
    bool has_read(row_set set) const { return at(set).copy.is_loaded(); }
    std::vector<stored_row> rows(row_set set) const
    {
        return at(set).copy.rows();
    }
    /// The latest time as of which the replica of a set is known to be current.
    /// While a long poll waits at the store, this is `now` as long as any set
    /// was answered within the last worker_interval plus a fifth.
    time_point as_of(row_set set, time_point now) const
    {
        return shown_at(at(set), now);
    }
    /// A time at which the store certainly held what the replica shows: changes
    /// after that time may be missing, earlier changes are not. It depends only
    /// on the clocks of this VM and of the store, however many VMs passed the
    /// rows on.
    time_point proven_as_of(row_set set) const { return at(set).proven_at; }
    /// How often rows of the set may have come and gone unseen.
    std::uint64_t missed(row_set set) const { return at(set).copy.missed(); }
    /// Outages of the store, seen by this VM and its reader.
    store_contact const& contact() const { return contact_; }
    /// Prometheus lines: the age of each set of rows, whether another VM reads
    /// the store for this one, and the number of other VMs' queries that wait
    /// here.
    std::string metrics() const;
    /// The VM that reads the store for this one; empty if this VM reads the
    /// store itself.
    vm_id const& reader() const { return reader_; }

private:
    /// A query to the reader may take worker_interval divided by this, beyond
    /// its wait.
    static constexpr int reader_answer_part = 5;
    /// Minimum interval between reads of large rows: a read takes a fifth of a
    /// second each of a small VM's link and CPU, and new versions may follow
    /// each other faster.
    static constexpr std::chrono::milliseconds min_large_read_interval{500};

    struct mirrored_set
    {
        row_set set;
        row_replica copy;
        asio::steady_timer timer;
        /// A query to the store is in progress.
        bool asking = false;
        time_point asked_at{};
        /// That query is a long poll, waiting at the store for a change.
        bool waits_for_change = false;
        /// When the answer that the replica shows was made.
        time_point as_of{};
        /// See proven_as_of().
        time_point proven_at{};
        /// The version up to which the reader reported changes; newer than the
        /// replica's version while large rows that the reader left out have yet
        /// to be read.
        row_version announced_version;
        /// The version after which the last query to the reader requested
        /// changes.
        row_version requested_after;
        /// What the last answer of a reader said that it missed.
        std::uint64_t reader_missed = 0;
        /// Rows collected during a complete read, which goes page by page.
        std::vector<stored_row> pages;
        row_version first_page;
        time_point first_page_at{};
        bool needs_full_read = true;
        /// Consecutive queries that the store did not answer.
        int failures = 0;
        /// After a failure, only this set is retried, on behalf of all sets.
        bool probes = false;

        mirrored_set(asio::io_context& io, row_set which,
                     row_replica::projection essence_of)
            : set(which), copy(std::move(essence_of)), timer(io)
        {
        }

        bool lacks_large_rows() const
        {
            return announced_version > copy.version();
        }
        /// The last query to the reader requested only a part of the changes
        /// after the replica's version.
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
    static bool is_far_ahead(mirrored_set const& which, row_version version);
    bool check_reply(mirrored_set& which, store_reply const& reply);
    void probe_later(mirrored_set& which);
    void resume_others(mirrored_set const& answered);
    void on_page(mirrored_set& which, store_reply const& reply);
    void on_changes(mirrored_set& which, store_reply const& reply);
    void finish_read(mirrored_set& which,
                     std::vector<stored_row> const& changes, time_point as_of);
    time_point made_at(mirrored_set const& which, store_reply const& reply);
    void complete_refreshes(bool failed);

    void query_reader();
    void query_reader_later(duration delay);
    void on_reader_answer(vm_id const& reader, time_point asked_at,
                          std::optional<rows_answer> const& answer);
    bool apply_reader_changes(mirrored_set& which,
                              row_set_changes const& changes,
                              time_point asked_at, time_point now);
    void apply_incomplete(mirrored_set& which, row_set_changes const& changes);
    void query_store_instead();

    rows_answer answer_to(rows_query const& query, time_point arrived_at) const;
    bool has_urgent_changes(rows_query const& query) const;
    /// Whether a change of the row is to be reported to other VMs without
    /// delay.
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
    reader_selector choice_;
    std::map<vm_id, backend_address> addresses_;
    vm_id reader_;
    bool reader_query_pending_ = false;
    asio::steady_timer reader_timer_;
    /// Until then this VM reads the store itself, since other VMs have queried
    /// it recently.
    time_point serves_until_{};
    std::vector<pending_query> pending_queries_;
    asio::steady_timer pending_timer_;
    bool answers_scheduled_ = false;
    std::vector<pending_refresh> refreshes_;
    remote_clock store_clock_;
    store_contact contact_;
};

} // namespace mulberry

#endif
