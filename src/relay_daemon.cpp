#include "relay_daemon.hpp"

#include "boot_clock.hpp"
#include "http_server.hpp"
#include "kernel.hpp"
#include "log.hpp"
#include "ownership_runner.hpp"
#include "peer_allotment.hpp"
#include "registry_watch.hpp"
#include "relay.hpp"
#include "row_mirror.hpp"
#include "store_meter.hpp"
#include "version_records.hpp"
#include "vm_rank.hpp"
#include "vm_row.hpp"
#include "worker_row_projection.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <fmt/format.h>

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <random>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

/// The load balancer polls readiness once a second and removes a VM after two
/// failures. Until then it sends new connections, which must be accepted.
constexpr milliseconds balancer_detection_time{2500};
constexpr milliseconds stop_check_interval{50};
/// Subtracted from the stop bound, so that the process exits before it is
/// killed.
constexpr milliseconds stop_margin{700};
/// How long the callers have to take their last answers when requests are still
/// in progress at the stop bound.
constexpr milliseconds last_answers_time{250};
/// Lease duration in multiples of the order gap. The owner stops sending orders
/// one gap before others may take over, and before that it survives two gaps
/// without the store, which is longer than most outages. With three, a VM whose
/// writes are all left unanswered never holds the lease; with five, the workers
/// of a VM that is gone for good are without orders for three seconds longer.
constexpr int lease_order_gaps = 4;
/// The order gap is extended by this fraction (1/15), since an order takes some
/// time to arrive.
constexpr int order_gap_extension_divisor = 15;
/// Five renewals fit into the time for which an owner may rely on its lease;
/// each renewal costs two calls of the store.
constexpr double heartbeats_per_gap = 1.5;
/// Minimum number of owners in a failure domain: when one is lost, three
/// quarters of the domain's workers keep their owners, and four VMs can read
/// the store for the others. An owner answers a grant request for each request
/// at its workers (some ten a second per worker) beside its own callers, on an
/// eighth of a core where the domain has no larger VMs. Hence four workers per
/// owner, which is what the minimum number of owners has in a domain of sixteen
/// workers.
constexpr owner_limits relay_owners{4, 4};
constexpr double millicores_per_core = 1000;
/// The part of a VM's memory that may hold answers. Bytes that were received
/// and not yet read count as well as its tables and connections.
constexpr double answer_memory_part = 0.25;
/// The part of it that may be held for callers: their connections, requests and
/// answers.
constexpr double caller_memory_part = 0.375;
/// SO_RCVBUF and SO_SNDBUF of callers' connections where memory is bounded.
constexpr int caller_buffer_bytes = 16 * 1024;
/// Requests to the listeners for readiness and metrics have no bodies.
constexpr std::size_t max_probe_body_bytes = 4UL * 1024;
/// Connections to each of these listeners.
constexpr std::size_t max_probe_connections = 64;
/// A forwarded call is as large as the largest request of a caller with its
/// head.
constexpr std::size_t max_peer_body_bytes = 4UL * 1024 * 1024 + 64UL * 1024;
constexpr int status_unavailable = 503;
constexpr int body_block_bytes = 128 * 1024;
/// Retry-After for a request that does not fit into the memory: the requests
/// that are handled end within seconds, those that stall yield sooner.
constexpr milliseconds memory_retry_delay{500};
constexpr double bytes_per_megabyte = 1024.0 * 1024;
/// Until its workers have an owner, a VM retries this many times per heartbeat,
/// that is every one or two tenths of a second.
constexpr int first_retry_divisor = 10;
/// A call of the store that takes longer than this fraction (1/3) of the order
/// gap is treated as lost. VMs that start together have registered within the
/// same time.
constexpr int order_gap_divisor = 3;
/// An older version may be used for this fraction (1/5) of the bound within
/// which a new version takes effect. Failure: a request that was sent to an old
/// copy after half of the bound waited 2.7 s at its worker and began too late.
/// Four fifths remain for learning of the version, which takes a second at
/// most, and for such a wait; the new copy is loaded after a quarter of a
/// second.
constexpr int release_grace_divisor = 5;
/// A request that was sent to an older version must begin within three quarters
/// of that bound; the rest is for learning of the new version.
constexpr int release_begin_quarters = 3;
/// Callers keep connections open as long as the operator's limits allow;
/// closing them sooner has no benefit.
constexpr std::chrono::seconds idle_timeout{60};
/// A worker's entry lapses after this many heartbeats without one. An outage
/// that is shorter than half of that lapses no entry, even if the last
/// heartbeat before it was late by half an interval.
constexpr int lapse_heartbeats = 3;
/// What a VM does for another one ends this long after the link between them
/// was cut.
constexpr milliseconds dead_peer_timeout{2000};

std::uint64_t random_seed()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32) ^ source();
}

/// nullopt: not bounded.
std::optional<std::size_t> caller_memory_bytes(relay_settings const& value)
{
    double const megabytes = value.caller_memory_mb > 0
                                 ? value.caller_memory_mb
                                 : value.memory_mb * caller_memory_part;
    if (megabytes <= 0)
        return std::nullopt;
    return static_cast<std::size_t>(megabytes * bytes_per_megabyte);
}

std::string bound_address(listen_address const& at, http_server const& server)
{
    return at.address + ":" + std::to_string(server.port());
}

duration heartbeat_interval(relay_settings const& value)
{
    return std::chrono::duration_cast<duration>(value.order_gap /
                                                heartbeats_per_gap);
}

ownership_run_options ownership_options(relay_settings const& value,
                                        std::string const& peers_address,
                                        std::uint64_t seed)
{
    ownership_run_options options;
    options.keeper.vm = value.vm;
    options.keeper.domain = value.domain;
    options.keeper.address = peers_address;
    options.keeper.lease = value.order_gap * lease_order_gaps;
    duration const gap =
        value.order_gap + value.order_gap / order_gap_extension_divisor;
    options.keeper.lease_margin = gap;
    options.keeper.heartbeat = heartbeat_interval(value);
    options.keeper.table_timeout = value.order_gap / order_gap_divisor;
    options.keeper.settle = value.order_gap / order_gap_divisor;
    // A worker whose owner changes takes no orders for one gap, so workers are
    // handed over one at a time.
    options.keeper.handover_interval = gap;
    options.keeper.seed = seed;
    options.keeper.order_gap = gap;
    options.keeper.owners = relay_owners;
    options.keeper.first_retry = options.keeper.heartbeat / first_retry_divisor;
    options.keeper.millicores = static_cast<unsigned>(
        std::lround(value.processor_share * millicores_per_core));
    options.order_gap = gap;
    options.start_wait = options.keeper.settle;
    return options;
}

row_mirror_options mirror_options(relay_settings const& value,
                                  relay_codec const& codec)
{
    row_mirror_options options;
    options.vm = value.vm;
    options.domain = value.domain;
    options.declaration_wait = value.configuration_bound;
    if (value.keys.revocation > duration(0))
        options.max_declaration_age = value.keys.revocation * 3 / 4;
    options.answer_timeout = value.configuration_bound * 3 / 10;
    options.worker_interval = value.drain_bound / 2;
    options.own_interval = heartbeat_interval(value);
    options.min_lapse_outage = value.worker_heartbeat * lapse_heartbeats / 2;
    options.project_worker_row = [&codec](stored_row const& row)
    { return project_worker_row(codec, row); };
    return options;
}

/// Returns the workers of engines, which take orders; plain services do not.
std::vector<backend_entry> engine_workers(std::vector<backend_entry> entries,
                                          routing_config const& config)
{
    std::erase_if(entries,
                  [&config](backend_entry const& each)
                  {
                      auto const service = config.services.find(each.service);
                      return service == config.services.end() ||
                             !service->second.engine;
                  });
    return entries;
}

/// All components share one thread and its io_context, so that a worker's
/// answer is handled without a switch of threads.
class relay_process
{
public:
    relay_process(relay_settings const& value, relay_codec const& codec,
                  row_store& store, settings_reader const& reload_settings);

    int run();

private:
    http_server_options server_options(listen_address const& at);
    http_server_options caller_options();
    http_server_options peer_options();
    http_server_options probe_options(listen_address const& at);
    http_response caller_error_page(int status);
    void answer_readiness(http_request const& request, http_answer& answer);
    void answer_metrics(http_request const& request, http_answer& answer);
    void await_signal();
    void on_signal(int number);
    void reload();
    void begin_stop();
    void check_stop();
    bool ready() const;
    bool registry_known() const;
    registry_timestamps registry_as_of() const;
    void write_rows(row_set set, table_transaction const& transaction,
                    std::function<void(bool)> const& done);
    void read_stream_rows(std::string const& prefix, std::string const& after,
                          store_callback const& done);
    void on_rows(row_set set, std::vector<stored_row> const& rows);
    void schedule_lapses();
    void on_declared(adapter_release const& release);
    void on_version_records(std::vector<stored_row> const& rows);
    /// Passes on versions that are newly in force, and records them.
    void update_versions();
    void set_members(std::vector<member_view> members);
    void update_ownership_workers();
    void start_ownership();
    void print_addresses() const;

    relay_settings const settings_;
    relay_codec const& codec_;
    store_meter store_;
    settings_reader const& reload_settings_;
    std::uint64_t const seed_;
    /// Outlives io_context, whose handlers keep charges.
    caller_memory memory_;
    asio::io_context io_{1};
    asio::signal_set signals_;
    asio::steady_timer stop_timer_;
    asio::steady_timer versions_timer_;
    /// Until the next worker whose entry is missing counts as gone.
    asio::steady_timer lapse_timer_;
    event_log log_;
    relay relay_;
    version_records versions_;
    registry_watch registry_;
    row_mirror mirror_;
    std::optional<ownership_runner> ownership_;
    std::vector<backend_entry> backends_;
    std::shared_ptr<routing_config const> config_;
    std::optional<http_server> callers_;
    std::optional<http_server> readiness_;
    std::optional<http_server> metrics_;
    std::optional<http_server> peers_;
    bool own_rows_read_ = false;
    bool stopping_ = false;
    bool was_ready_ = false;
    bool was_idle_ = false;
    time_point stop_accepting_at_ = never;
    time_point exit_at_ = never;
};

relay_options
make_relay_options(relay_settings const& value, std::uint64_t seed,
                   std::function<bool(worker_id const&)> may_order,
                   std::function<registry_timestamps()> registry_as_of,
                   std::function<std::uint64_t()> missed_worker_rows,
                   std::function<declarations_known()> declarations_as_of,
                   crash_row_writer write_rows,
                   std::function<time_point()> own_rows_as_of,
                   stream_row_access stream_rows,
                   std::function<void(bool)> on_cut_off, caller_memory& memory)
{
    relay_options options;
    options.memory = &memory;
    options.stream_rows = std::move(stream_rows);
    options.own_rows_as_of = std::move(own_rows_as_of);
    options.write_own_rows = write_rows;
    options.crashes.write_rows = std::move(write_rows);
    options.crashes.limits = value.crashes;
    options.crashes.seed = seed;
    options.on_cut_off = std::move(on_cut_off);
    options.crashes.source_address = value.source_address;
    options.source_address = value.source_address;
    if (value.memory_mb > 0)
        options.answer_bytes = static_cast<std::size_t>(
            value.memory_mb * answer_memory_part * bytes_per_megabyte);
    options.registry_as_of = std::move(registry_as_of);
    options.missed_worker_rows = std::move(missed_worker_rows);
    options.declarations_as_of = std::move(declarations_as_of);
    options.keys = value.keys;
    options.allotments = value.allotments;
    options.objectives = value.objectives;
    options.vm = value.vm;
    options.domain = value.domain;
    options.retries = value.retries;
    options.software_validity = value.software_validity;
    options.release_grace = value.release_bound / release_grace_divisor;
    options.release_begin = value.release_bound / 4 * release_begin_quarters;
    options.may_order = std::move(may_order);
    options.seed = seed;
    return options;
}

relay_process::relay_process(relay_settings const& value,
                             relay_codec const& codec, row_store& store,
                             settings_reader const& reload_settings)
    : settings_(value), codec_(codec), store_(store),
      reload_settings_(reload_settings), seed_(random_seed()),
      memory_(caller_memory_bytes(value)),
      signals_(io_, SIGTERM, SIGINT, SIGHUP), stop_timer_(io_),
      versions_timer_(io_), lapse_timer_(io_),
      log_("relay", value.log_lines_per_second,
           [](log_level level, std::string_view part, std::string_view event,
              std::string const& fields)
           { log_event(level, part, event, fields); }),
      relay_(
          io_, codec,
          make_relay_options(
              value, seed_,
              [this](worker_id const& worker)
              { return ownership_ && ownership_->may_order(worker); },
              [this] { return registry_as_of(); },
              [this] { return mirror_.missed(row_set::workers); },
              [this]
              {
                  return declarations_known{
                      mirror_.proven_as_of(row_set::declarations),
                      mirror_.as_of(row_set::declarations, boot_clock::now())};
              },
              [this](table_transaction const& transaction,
                     std::function<void(bool)> const& done)
              { write_rows(row_set::own, transaction, done); },
              [this]
              {
                  return mirror_.has_read(row_set::own)
                             ? mirror_.as_of(row_set::own, boot_clock::now())
                             : time_point();
              },
              {[this](std::string const& prefix, std::string const& after,
                      store_callback const& done)
               { read_stream_rows(prefix, after, done); },
               [this](table_transaction const& transaction,
                      std::function<void(bool)> const& done)
               { write_rows(row_set::streams, transaction, done); }},
              [this](bool cut_off)
              {
                  if (ownership_)
                      ownership_->set_cut_off(cut_off);
              },
              memory_),
          log_),
      registry_(codec, log_,
                {[this](std::shared_ptr<routing_config const> config)
                 {
                     config_ = config;
                     relay_.set_config(std::move(config));
                     update_ownership_workers();
                 },
                 [this](adapter_release const& release)
                 { on_declared(release); },
                 [this](model_target const& target)
                 { versions_.on_withdrawn(target, boot_clock::now()); },
                 [this](std::vector<backend_entry> entries)
                 {
                     backends_ = std::move(entries);
                     relay_.set_backends(backends_);
                     update_ownership_workers();
                 }}),
      mirror_(io_, store_, relay_.pool(), mirror_options(value, codec), log_,
              {[this](row_set set, std::vector<stored_row> const& rows)
               { on_rows(set, rows); }})
{
}

bool relay_process::registry_known() const
{
    return mirror_.has_read(row_set::declarations) &&
           mirror_.has_read(row_set::workers);
}

registry_timestamps relay_process::registry_as_of() const
{
    time_point const now = boot_clock::now();
    // Right after the store has returned, entries may be of worker incarnations
    // that ended during the outage and whose rows could not be updated.
    bool const entries_renewed =
        !mirror_.contact().is_lost() &&
        now >= mirror_.contact().returned_at() + lapse_grace;
    return {mirror_.as_of(row_set::declarations, now),
            entries_renewed ? mirror_.as_of(row_set::workers, now)
                            : time_point()};
}

void relay_process::write_rows(row_set set,
                               table_transaction const& transaction,
                               std::function<void(bool)> const& done)
{
    store_.transact(set, transaction, settings_.order_gap / order_gap_divisor,
                    [this, done](store_reply const& reply)
                    {
                        bool const written =
                            reply.outcome == store_outcome::done;
                        asio::post(io_, [done, written] { done(written); });
                    });
}

void relay_process::read_stream_rows(std::string const& prefix,
                                     std::string const& after,
                                     store_callback const& done)
{
    store_.read(row_set::streams, prefix, after,
                settings_.order_gap / order_gap_divisor,
                [this, done](store_reply const& reply)
                { asio::post(io_, [done, reply] { done(reply); }); });
}

void relay_process::on_rows(row_set set, std::vector<stored_row> const& rows)
{
    if (set == row_set::own)
    {
        bool const known_before =
            std::any_of(rows.begin(), rows.end(),
                        [this](stored_row const& each)
                        { return each.key == vm_key(settings_.vm); });
        if (!std::exchange(own_rows_read_, true) && !known_before)
            relay_.set_first_process();
        relay_.on_own_rows(rows);
        on_version_records(rows);
    }
    time_point const now = boot_clock::now();
    registry_.on_rows(set, rows, now, mirror_.contact().trusted_at(now));
    if (set == row_set::workers)
        schedule_lapses();
    update_versions();
}

/// Failure: a worker that left is dropped only with the next answer about
/// workers after its entry counts as gone, and is used beyond the bound.
void relay_process::schedule_lapses()
{
    time_point const next = registry_.next_lapse();
    if (next == never)
        return;
    lapse_timer_.expires_after(
        std::max<duration>(duration(0), next - boot_clock::now()));
    lapse_timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (cancelled)
                return;
            registry_.drop_lapsed(boot_clock::now());
            schedule_lapses();
        });
}

void relay_process::on_declared(adapter_release const& release)
{
    time_point const now = boot_clock::now();
    if (release.version < versions_.declared(release.target))
        log_.notable(
            "adapter version went back",
            log_fields()
                .add("model", release.target.model.str())
                .add("adapter", release.target.adapter.str())
                .add("version", release.version.value())
                .add("newest", versions_.newest(release.target).value()),
            now);
    versions_.on_declared(release, now);
}

void relay_process::on_version_records(std::vector<stored_row> const& rows)
{
    time_point const now = boot_clock::now();
    for (stored_row const& row : rows)
        if (!versions_.on_row(row, now))
            log_.notable("malformed version record",
                         log_fields().add("key", row.key), now);
}

void relay_process::update_versions()
{
    for (adapter_release const& release : versions_.take_changes())
        relay_.on_release(release);
    // Before both sets are read, a version may seem unrecorded.
    if (!mirror_.has_read(row_set::own))
        return;
    if (auto const transaction = versions_.take_write(boot_clock::now()))
        write_rows(row_set::own, *transaction,
                   [this](bool)
                   {
                       versions_.on_written();
                       update_versions();
                   });
    time_point const due = versions_.next_due();
    if (due == never)
        return;
    versions_timer_.expires_after(due - boot_clock::now());
    versions_timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (!cancelled)
                update_versions();
        });
}

/// The VM with the most processor capacity records versions first.
void relay_process::set_members(std::vector<member_view> members)
{
    std::vector<ranked_vm> live;
    for (member_view const& member : members)
        if (member.state == member_state::live)
            live.push_back({member.vm, member.millicores});
    std::vector<vm_id> const ranked = by_rank(std::move(live));
    auto const own = std::find(ranked.begin(), ranked.end(), settings_.vm);
    auto const rank = static_cast<std::size_t>(own - ranked.begin());
    versions_.set_rank(rank);
    relay_.set_rank(rank);
    mirror_.set_members(members);
    relay_.set_members(std::move(members), ownership_->registered());
}

void relay_process::update_ownership_workers()
{
    if (config_ && registry_known())
        ownership_->set_workers(engine_workers(backends_, *config_));
}

http_server_options relay_process::server_options(listen_address const& at)
{
    http_server_options options;
    options.address = at.address;
    options.port = at.port;
    options.max_connections = settings_.max_connections;
    options.read_timeout = idle_timeout;
    options.shared_io = &io_;
    options.memory = &memory_;
    return options;
}

http_server_options relay_process::caller_options()
{
    http_server_options options = server_options(settings_.callers);
    options.closes_excess_connections = true;
    options.charges_connections = true;
    if (memory_.capacity())
        options.socket_buffer_bytes = caller_buffer_bytes;
    options.may_open = [this] { return relay_.may_open_connection(); };
    options.error_page = [this](int status)
    { return caller_error_page(status); };
    return options;
}

http_response relay_process::caller_error_page(int status)
{
    error problem = server_error(status);
    if (status == status_unavailable)
    {
        problem = relay_.with_retry_after(problem, memory_retry_delay);
        log_.notable(
            "request refused",
            log_fields()
                .add("reason", "no memory is left for it")
                .add("held", std::uint64_t{memory_.held()})
                .add("for_requests", std::uint64_t{memory_.requests()}),
            boot_clock::now());
    }
    http_response page = codec_.error_response({}, problem);
    page.status = status;
    return page;
}

http_server_options relay_process::peer_options()
{
    http_server_options options = server_options(settings_.peers);
    options.dead_peer_timeout = dead_peer_timeout;
    options.max_body_bytes = max_peer_body_bytes;
    // The other VM asks the next one.
    options.error_page = [](int status)
    {
        return http_response{status,
                             {},
                             status == status_unavailable
                                 ? std::string(name_of(forward_refusal::busy))
                                 : std::string()};
    };
    return options;
}

http_server_options relay_process::probe_options(listen_address const& at)
{
    http_server_options options = server_options(at);
    options.max_body_bytes = max_probe_body_bytes;
    options.max_connections = max_probe_connections;
    options.closes_excess_connections = true;
    return options;
}

bool relay_process::ready() const
{
    return !stopping_ && relay_.has_config() && registry_known() &&
           mirror_.has_read(row_set::own) && relay_.can_reach_workers();
}

void relay_process::answer_readiness(http_request const& request,
                                     http_answer& answer)
{
    if (!codec_.is_readiness_query(request))
        return answer.respond({404, {}, {}});
    bool const now_ready = ready();
    if (now_ready != was_ready_)
        log_.notable(now_ready ? "ready" : "not ready", log_fields(),
                     boot_clock::now());
    was_ready_ = now_ready;
    answer.respond({now_ready ? 200 : 503, {}, {}});
}

void relay_process::answer_metrics(http_request const& request,
                                   http_answer& answer)
{
    if (request.path != "/metrics")
        return answer.respond({404, {}, {}});
    http_response response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = relay_.metrics() + registry_.metrics() + mirror_.metrics() +
                    store_.metrics();
    response.body += fmt::format(
        "mulberry_stands_by {}\n"
        "mulberry_caller_connections_evicted_total {}\n",
        ownership_->stands_by() ? 1 : 0, callers_->evicted_connections());
    answer.respond(std::move(response));
}

void relay_process::await_signal()
{
    signals_.async_wait(
        [this](asio::error_code const& cancelled, int number)
        {
            if (cancelled)
                return;
            on_signal(number);
            await_signal();
        });
}

void relay_process::on_signal(int number)
{
    if (number == SIGHUP)
        return reload();
    if (!stopping_)
        begin_stop();
}

/// A running process applies no changed settings: it only checks and logs
/// whether they are valid. Changes take effect at the next start.
void relay_process::reload()
{
    auto const read = reload_settings_();
    log_.notable("reload",
                 log_fields().add("outcome", !read                ? "faulty"
                                             : *read == settings_ ? "unchanged"
                                                                  : "changed"),
                 boot_clock::now());
}

/// Failure: the load balancer sends connections for up to two seconds after the
/// VM reports that it is not ready; a VM that closes its listener at once
/// refuses them, and each caller loses a second. Therefore the VM accepts
/// connections until then, closes each connection after its answer, and exits
/// when no request is in progress.
void relay_process::begin_stop()
{
    time_point const now = boot_clock::now();
    stopping_ = true;
    stop_accepting_at_ = now + std::min<duration>(balancer_detection_time,
                                                  settings_.stop_bound / 2);
    exit_at_ = now + std::max<duration>(settings_.stop_bound - stop_margin,
                                        settings_.stop_bound / 2);
    callers_->close_after_answers();
    relay_.refuse_forwarded_calls();
    log_.notable(
        "stopping",
        log_fields().add("in_progress", std::uint64_t{relay_.in_progress()}),
        now);
    check_stop();
}

void relay_process::check_stop()
{
    time_point const now = boot_clock::now();
    // Failure: a connection accepted earlier sends its request long after the
    // load balancer has removed this VM; the request would be relayed, and cut
    // off in the middle of its answer when the process exits. Therefore the
    // request is rejected, and its caller retries at another VM.
    if (now >= stop_accepting_at_)
    {
        relay_.reject_new_requests();
        callers_->stop_accepting();
        callers_->close_idle();
        if (now >= exit_at_)
            relay_.end_requests();
        bool const idle = relay_.in_progress() == 0 &&
                          !callers_->has_requests() &&
                          !callers_->has_unsent() && !peers_->has_unsent();
        // The last answers are handed to the connections in a later turn of the
        // event loop than the one that ends their requests, so the process must
        // be idle twice in a row.
        if ((idle && was_idle_) || now >= exit_at_ + last_answers_time)
        {
            log_.notable("stopped",
                         log_fields().add("in_progress",
                                          std::uint64_t{relay_.in_progress()}),
                         now);
            return io_.stop();
        }
        was_idle_ = idle;
    }
    stop_timer_.expires_after(stop_check_interval);
    stop_timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (!cancelled)
                check_stop();
        });
}

/// The address published to other VMs contains the port that was bound.
void relay_process::start_ownership()
{
    ownership_.emplace(
        io_, store_, mirror_,
        ownership_options(settings_, bound_address(settings_.peers, *peers_),
                          seed_),
        log_,
        ownership_listener{[this](std::map<worker_id, owned_worker> grants)
                           { relay_.set_owned_workers(std::move(grants)); },
                           [this](std::vector<member_view> members)
                           { set_members(std::move(members)); },
                           [this](std::map<worker_id, vm_id> owners)
                           { relay_.set_owners(std::move(owners)); }});
    ownership_->start();
}

/// Prints one line with the bound addresses for the process that started this
/// one.
void relay_process::print_addresses() const
{
    std::string line =
        "listening callers " + bound_address(settings_.callers, *callers_) +
        " readiness " + bound_address(settings_.readiness, *readiness_) +
        " peers " + bound_address(settings_.peers, *peers_);
    if (metrics_)
        line += " metrics " + bound_address(settings_.metrics, *metrics_);
    write_line(line);
}

int relay_process::run()
{
    await_signal();
    readiness_.emplace(
        probe_options(settings_.readiness),
        [this](http_request request, std::shared_ptr<http_answer> answer)
        { answer_readiness(request, *answer); });
    callers_.emplace(
        caller_options(),
        [this](http_request request, std::shared_ptr<http_answer> answer)
        { relay_.handle(std::move(request), std::move(answer)); });
    peers_.emplace(
        peer_options(),
        [this](http_request request, std::shared_ptr<http_answer> answer)
        {
            if (request.path == rows_path)
                return mirror_.serve(request, std::move(answer));
            if (request.path == allotment_path)
                return relay_.handle_allotment(request, *answer);
            if (request.path == worker_limits_path)
                return relay_.handle_worker_limits(request, *answer);
            if (request.path == streams_path)
                return relay_.handle_streams(request, answer);
            if (request.path == forwarded_call_path)
                return relay_.handle_forwarded_call(std::move(request),
                                                    std::move(answer));
            relay_.handle_peer(request, std::move(answer));
        });
    relay_.set_unsent(
        [this] { return callers_->unsent_bytes() + peers_->unsent_bytes(); });
    if (settings_.serves_metrics)
        metrics_.emplace(
            probe_options(settings_.metrics),
            [this](http_request request, std::shared_ptr<http_answer> answer)
            { answer_metrics(request, *answer); });
    print_addresses();
    log_.notable("started", log_fields().add("domain", settings_.domain.str()),
                 boot_clock::now());
    start_ownership();
    mirror_.start();
    io_.run();
    return 0;
}

} // namespace

int run_relay(relay_settings const& value, relay_codec const& codec,
              row_store& store, settings_reader const& reload_settings)
{
    // Large bodies get blocks of their own, which return to the system when
    // they are freed. By default the threshold grows to the size of blocks that
    // were freed, and bodies would fragment the heap.
    mallopt(M_MMAP_THRESHOLD, body_block_bytes);
    start_logging(value.vm.str(), value.log_level, value.log_format);
    relay_process process(value, codec, store, reload_settings);
    int const status = process.run();
    // The store posts its answers to the process's io_context, so it is closed
    // first.
    store.close();
    stop_logging();
    return status;
}

} // namespace mulberry
