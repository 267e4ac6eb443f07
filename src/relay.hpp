/// The data path of one VM: relays callers' requests to workers and the answers
/// back.
#ifndef MULBERRY_RELAY_HPP
#define MULBERRY_RELAY_HPP

#include "allotment_limiter.hpp"
#include "answer_gate.hpp"
#include "caller_memory.hpp"
#include "collected_exchange.hpp"
#include "connect_check.hpp"
#include "connection_gate.hpp"
#include "crash_detector.hpp"
#include "due_index.hpp"
#include "event_log.hpp"
#include "forwarded_call.hpp"
#include "forwarder_selector.hpp"
#include "latency_meter.hpp"
#include "objective_scheduling.hpp"
#include "ownership_keeper.hpp"
#include "peer_grant_request.hpp"
#include "peer_streams.hpp"
#include "relay_exchange.hpp"
#include "retry_allowance.hpp"
#include "route_table.hpp"
#include "software_record.hpp"
#include "software_versions.hpp"
#include "startup_hold.hpp"
#include "stream_records.hpp"
#include "stream_row_keeper.hpp"
#include "team_directory.hpp"
#include "usual_deadline.hpp"
#include "worker_limiter.hpp"
#include "worker_reachability.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace mulberry
{

struct relay_options
{
    vm_id vm;
    domain_id domain;
    retry_limits retries;
    /// How long after a newer version was learned a request may still be sent
    /// to a copy of an older version.
    duration release_grace = std::chrono::milliseconds(2000);
    /// How long after a newer version was learned a stream that was sent to an
    /// older copy may begin. A stream that has not begun by then is withdrawn
    /// from its worker.
    duration release_begin = std::chrono::milliseconds(7500);
    /// Whether this VM may give orders to the worker; called right before each
    /// order is sent. Empty: always.
    std::function<bool(worker_id const&)> may_order;
    /// The time as of which configuration, versions and workers are known;
    /// called before requests are placed.
    std::function<registry_timestamps()> registry_as_of;
    /// How often rows of workers may have come and gone unseen. Empty: never.
    std::function<std::uint64_t()> missed_worker_rows;
    /// The time as of which the declarations are known. Empty: they are always
    /// current.
    std::function<declarations_known()> declarations_as_of;
    key_bounds keys;
    allotment_terms allotments;
    objective_mode objectives = objective_mode::automatic;
    std::uint64_t seed = 1;
    startup_limits start;
    /// How long this VM goes by the versions of their software that workers
    /// were listed with, and how long a version is listed before streams begin
    /// at it. The same at all VMs.
    duration software_validity = std::chrono::milliseconds(3000);
    /// Detection of requests that crash workers.
    crash_detector_options crashes;
    /// Local IP address of connections to workers and other VMs; empty: any.
    std::string source_address;
    /// Bytes of answers that this VM may hold; nullopt: any number.
    std::optional<std::size_t> answer_bytes;
    /// What this VM holds for its callers, answers included; null: not
    /// bounded. Outlives the io_context.
    caller_memory* memory = nullptr;
    /// Empty: records of streams are kept in memory only.
    stream_row_access stream_rows;
    /// Changes the product's own rows. Empty: the versions of the workers'
    /// software are not recorded.
    crash_row_writer write_own_rows;
    /// The time as of which the product's own rows are known; the default value
    /// before they were read. Set if `write_own_rows` is.
    std::function<time_point()> own_rows_as_of;
    /// Called when this VM has been cut off from all workers for a while, and
    /// when it reaches them again. May be empty.
    std::function<void(bool cut_off)> on_cut_off;
};

/// Counters since the start of the process; they never decrease. Value.
struct relay_counts
{
    /// Requests received. Each one is in progress or has one of the outcomes
    /// below.
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t worker_failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t caller_gone = 0;
    std::uint64_t retries = 0;
    /// Sends that may begin on a version that is not the newest.
    std::uint64_t sent_to_superseded = 0;
    /// Workers that announced in an answer that they leave, before the registry
    /// listed them as draining.
    std::uint64_t leaving_reported = 0;
    /// Backoffs that workers asked for.
    std::uint64_t backoffs = 0;
    /// Requests that found no room in their worker's limit.
    std::uint64_t limit_reached = 0;
    /// Streams that were cut since their callers did not read them.
    std::uint64_t slow_callers_closed = 0;
    /// Sends by way of another VM, and calls made for other VMs.
    std::uint64_t sent_through = 0;
    std::uint64_t calls_forwarded = 0;
    /// Records of what began a stream that were sent to other VMs, questions
    /// for such records, and streams that nobody knew.
    std::uint64_t stream_records_sent = 0;
    std::uint64_t stream_questions = 0;
    std::uint64_t streams_unknown = 0;

    std::uint64_t orders = 0;
    std::uint64_t orders_unknown = 0;
    std::uint64_t orders_undecided = 0;
    std::uint64_t orders_conflict = 0;
    std::uint64_t reports = 0;
    std::uint64_t key_missing = 0;
    std::uint64_t key_unknown = 0;
    /// Rejected because this VM's knowledge is too old to decide on the key:
    /// the key may have been added or removed since.
    std::uint64_t key_unverified = 0;
    std::uint64_t over_allotment = 0;
    std::uint64_t allotment_unknown = 0;
    friend bool operator==(relay_counts const&, relay_counts const&) = default;
};

/// Thread safety: none; every member is called on the thread that runs the
/// io_context.
class relay final : public exchange_host, public crash_peers
{
public:
    /// `io`, `codec` and `log` outlive this object.
    relay(asio::io_context& io, relay_codec const& codec, relay_options options,
          event_log& log);
    ~relay() override;
    relay(relay const&) = delete;
    relay& operator=(relay const&) = delete;

    /// Handles a request of a caller; `answer` gets exactly one response unless
    /// the caller disconnects.
    void handle(http_request received, std::shared_ptr<http_answer> answer);

    /// Applies a configuration. A version that is not newer than the current
    /// one is ignored.
    void set_config(std::shared_ptr<routing_config const> config);
    /// Replaces the list of workers.
    void set_backends(std::vector<backend_entry> entries);
    /// Declares a version of an adapter or of a model's weights. A version that
    /// is not newer is ignored.
    void on_release(adapter_release const& release);
    /// Replaces the set of workers that this VM owns.
    void set_owned_workers(std::map<worker_id, owned_worker> grants);
    /// Replaces the list of VMs, which includes this one. `registered`: this
    /// process has written its own row. A row of this VM that exists before
    /// that is an earlier process's.
    void set_members(std::vector<member_view> members, bool registered);
    /// Replaces the map from workers to their owners.
    void set_owners(std::map<worker_id, vm_id> owners);
    /// Applies changed rows of the relay's own row set: requests that crash
    /// workers, and versions of the workers' software.
    void on_own_rows(std::vector<stored_row> const& rows);
    /// Handles a call of another VM; see peer_grant_request.hpp.
    void handle_peer(http_request const& received,
                     std::shared_ptr<http_answer> answer);

    /// Handles another VM's query about allotments; see peer_allotment.hpp.
    void handle_allotment(http_request const& received, http_answer& answer);
    /// Handles another VM's query about workers' limits; see
    /// peer_allotment.hpp.
    void handle_worker_limits(http_request const& received,
                              http_answer& answer);

    /// Sets the number of VMs whose records of versions and of streams go
    /// before this one's.
    void set_rank(std::size_t rank)
    {
        software_records_.set_rank(rank);
        stream_rows_.set_sweeps(rank == 0);
    }
    /// Handles another VM's message about streams; see peer_streams.hpp.
    void handle_streams(http_request const& received,
                        std::shared_ptr<http_answer> const& answer);

    /// Makes a call to a worker for another VM; see forwarded_call.hpp.
    void handle_forwarded_call(http_request received,
                               std::shared_ptr<http_answer> answer);

    /// This process is the first of its VM: the store has no row of an earlier
    /// one.
    void set_first_process();

    /// The error with a Retry-After of `min_delay` at least, with jitter.
    error with_retry_after(error const& problem, duration min_delay)
    {
        return {problem.kind(), problem.text(), problem.request_ran(),
                add_jitter(min_delay)};
    }
    /// Whether to take a new connection of a caller.
    bool may_open_connection() { return gate_.may_open(now()); }
    /// Sets what returns the bytes that connections of callers and other VMs
    /// have not taken yet.
    void set_unsent(std::function<std::size_t()> unsent)
    {
        answers_.set_unsent(std::move(unsent));
    }

    /// Refuses all further calls of other VMs, since this VM is about to exit.
    /// Calls in progress continue.
    void refuse_forwarded_calls() { refuses_forwarded_calls_ = true; }
    /// Rejects all further requests of callers, since this VM is about to exit,
    /// and those held until routes and workers are known. Requests in progress
    /// continue.
    void reject_new_requests();
    /// Ends all requests of callers that are in progress, each with an answer,
    /// or, if its stream has begun, by breaking off the stream. Precondition:
    /// reject_new_requests() was called.
    void end_requests();

    /// Whether requests can reach workers, if need be by way of another VM.
    bool can_reach_workers() const
    {
        return !reachability_.is_cut_off() || forwarders_.can_forward(now());
    }
    bool has_config() const { return routes_ != nullptr; }
    /// True if routes and workers are known, so that requests can be admitted.
    bool is_initialized() const { return has_config() && backends_known_; }
    /// Version of the current configuration; the default value if there is
    /// none.
    config_version version() const;
    /// Requests of callers, held ones included, and calls of other VMs.
    std::size_t in_progress() const
    {
        return exchanges_.size() + early_requests_.size() +
               calls_forwarded_now_;
    }
    relay_counts const& counts() const { return counts_; }
    /// Returns the metrics in the Prometheus text format.
    std::string metrics() const;

    time_point now() const override;
    relay_codec const& codec() const override { return codec_; }
    std::shared_ptr<backend_exchange>
    start_send(relay_exchange const& exchange, outgoing_request request,
               exchange_options const& options,
               std::shared_ptr<exchange_observer> observer) override;
    backend_pool& pool() { return pool_; }
    void wait_for_worker(relay_exchange& exchange,
                         std::set<worker_id> const& excluded) override;
    void stop_waiting(relay_exchange& exchange) override;
    void on_first_byte(relay_exchange& exchange) override;
    std::optional<software_version>
    on_stream_begun(relay_exchange& exchange) override;
    void on_stream_bytes(duration gap) override { stream_gaps_.add(gap); }
    answer_memory& answers() override { return answers_; }
    void on_slow_caller() override { ++counts_.slow_callers_closed; }
    void on_worker_silent(relay_exchange const& exchange) override;
    ticket_id keep_send(relay_exchange const& exchange) override;
    void restore_send(relay_exchange const& exchange, ticket_id kept) override;
    void on_send_ended(relay_exchange& exchange, send_outcome outcome) override;
    void on_worker_leaving(relay_exchange const& exchange) override;
    void on_backoff_requested(relay_exchange const& exchange,
                              time_point until) override;
    void on_limit_stated(relay_exchange const& exchange,
                         std::optional<double> per_second) override;
    void on_tolerance_stated(service_id const& service, worker_id const& worker,
                             time_point sent_at,
                             std::optional<std::uint32_t> per_second) override;
    void on_connection_lost(relay_exchange const& exchange) override;
    duration first_byte_timeout(relay_exchange const& exchange) const override;
    duration retry_after(relay_exchange const& exchange,
                         duration min_delay) override;
    bool try_reserve_retry(relay_exchange const& exchange) override;
    void on_retry_sent(relay_exchange const& exchange) override;
    void on_retry_not_sent(relay_exchange const& exchange) override;
    void release_retry(relay_exchange const& exchange) override;
    void wake_at(relay_exchange& exchange, time_point when) override;
    void log_request_event(relay_exchange const& exchange,
                           std::string_view event,
                           std::string_view reason) override;
    void on_finished(relay_exchange& exchange, relay_outcome outcome) override;
    void broadcast(crash_update const& news,
                   std::function<void(bool by_all)> done) override;
    void ask_part_answers(
        std::vector<request_digest> const& parts,
        std::function<void(std::vector<part_answer>)> done) override;
    void check_other_workers(backend_entry const& except,
                             std::function<void(bool reached)> done) override;

private:
    /// A request of another VM that waits for a grant or holds one.
    struct peer_request
    {
        service_id service;
        /// Null once the request is answered.
        std::shared_ptr<http_answer> answer;
        request_id request;
        worker_id worker;
        time_point arrived_at{};
        wait_breakdown waits;
    };
    /// Another VM, and the grants of that VM that have ended and are still to
    /// be reported to it.
    struct peer_state
    {
        backend_address address;
        std::vector<peer_completion> done;
    };
    /// A grant under which one of this VM's requests was sent.
    struct held_grant
    {
        vm_id owner;
        std::uint64_t number = 0;
    };
    /// The units that a request takes from its team's allotment.
    struct metered_request
    {
        team_id team;
        double units = 0;
        /// The decision whether the units are available is still pending.
        bool pending = true;
    };
    /// A request that arrived before routes and workers were known.
    struct early_request
    {
        relay_request request;
        std::shared_ptr<http_answer> answer;
        time_point arrived_at{};
        time_point keep_until{};
        /// Set to true when the caller disconnects.
        std::shared_ptr<bool> disconnected;
    };
    class forwarded_send;
    class call_forwarder;
    struct stream_question;
    /// A call to a worker, as the scheduler decided it.
    using pending_send =
        std::variant<place_request, issue_order, request_report>;
    struct service_state
    {
        service_scheduler scheduler;
        retry_allowance retries;
        software_versions software;
        time_point ask_versions_at{};
        /// Streams that other workers and VMs may go on with come here.
        bool has_resumable_streams = false;
        time_point budget_log_due{};
        bool engine = false;

        service_state(scheduler_settings settings, service_config const& config,
                      retry_limits const& limits, time_point started_at,
                      duration software_validity, bool records_software)
            : scheduler(std::move(settings), config),
              retries(limits, started_at),
              software(software_validity, records_software),
              engine(config.engine.has_value())
        {
        }
    };

    /// When the answer should begin.
    time_point objective_of(route const& matched, relay_request const& request,
                            time_point arrived_at) const;
    void admit(relay_request request, std::shared_ptr<http_answer> answer,
               time_point arrived_at);
    /// Names of the services that are scheduled by objective, separated by
    /// commas.
    std::string services_by_objective() const;
    /// Draws the number that decides among the services of a route.
    double draw_share(relay_request const& request, route const& matched);
    /// Keeps a request until routes and workers are known, or rejects it; see
    /// startup_hold.hpp.
    void hold_early_request(relay_request request,
                            std::shared_ptr<http_answer> answer);
    void reject_early_request(early_request const& early);
    /// Admits held requests once routes and workers are known; rejects those
    /// held for too long.
    void process_early_requests();
    /// Whether the request begins a stream that could begin at no version yet.
    bool awaits_versions(relay_request const& request);
    void reject_immediately(relay_request const& request, http_answer& answer,
                            error const& problem);
    /// Returns the team that the request's key belongs to, or why the request
    /// must not be sent now. A rejection is counted and logged.
    access_decision check_access(relay_request const& request,
                                 route const& matched);
    /// Returns an error if the request's key no longer belongs to its team;
    /// logged.
    std::optional<error> check_key(relay_exchange const& exchange);
    /// As in work_item. A caller without an allotment weighs as much as the
    /// team with the largest. `holder`: null without a team.
    double team_weight(team const* holder) const;
    /// As above, by this VM's configuration, of a team whose request another VM
    /// holds; 1 if the configuration has no such team.
    double team_weight(team_id const& name) const;
    /// Takes the request's units from its team's allotment and starts the
    /// request, at once or when the units are granted.
    void acquire_allotment(std::shared_ptr<relay_exchange> const& exchange,
                           team const* holder);
    /// Starts the request. A stream that it takes up first needs the version
    /// that began the stream, which other VMs are asked for; if nobody knows,
    /// the request is rejected.
    void start_exchange(std::shared_ptr<relay_exchange> const& exchange);
    void ask_for_stream(std::shared_ptr<relay_exchange> const& exchange);
    void on_stream_reply(stream_question& question, vm_id const& from,
                         std::optional<stream_reply> const& reply);
    void take_up_stream(relay_exchange& exchange,
                        software_version const& software,
                        std::string const& known_from, time_point asked_at);
    /// Looks the stream up in the store, and rejects the request if that has
    /// no record either.
    void find_stream_row(std::shared_ptr<relay_exchange> const& exchange,
                         time_point asked_at);
    void reject_unknown_stream(relay_exchange& exchange, time_point asked_at);
    /// Keeps the records here, at a few VMs each, and in the store. Calls
    /// `on_recorded`, if it is set, when the store has the last one, or does
    /// not take records now. Precondition: it is set for one record only.
    void keep_records(service_id const& service,
                      std::vector<stream_record> const& records,
                      std::function<void()> const& on_recorded = {});
    void record_running_streams(service_id const& service);
    void send_records(vm_id const& keeper, stream_message const& message,
                      std::function<void()> const& on_recorded);
    /// Writes the records to the store soon; `on_recorded` as above.
    void store_records(std::vector<stream_record> const& records,
                       std::function<void()> const& on_recorded);
    /// Passes on events that have waited too long for their records.
    void release_held_events();
    void send_stream_message(
        backend_address const& to, stream_message const& message,
        duration timeout,
        std::function<void(std::optional<stream_reply> const&)> done);
    void update_longest_stream(service_id const& name, service_state& service);
    void update_software(service_id const& name, service_state& service,
                         std::vector<backend_entry> const& workers);
    void update_software_known(service_state& service);
    /// Compares the records of versions with what this VM knows, and writes
    /// what is due.
    void review_software_records();
    void write_software_records();
    /// Asks other VMs what they know of the service's versions, if this VM does
    /// not know all.
    void ask_for_versions(service_id const& name, service_state& service);
    void learn_versions(service_state& service, stream_reply const& reply);
    /// The versions at which the request may run; nullopt: any.
    std::optional<std::set<software_version>>
    allowed_software(relay_exchange const& exchange);
    /// Returns an error if the request goes on with a stream and this VM does
    /// not know the workers' versions.
    std::optional<error> check_software_known(relay_exchange const& exchange);
    /// The worker's version if this VM is certain of it: the registry is known
    /// well enough, and lists this incarnation of the worker.
    std::optional<software_version>
    certain_software(service_state& service, backend_entry const& worker);
    /// Whether the worker, as listed now, may run the request.
    bool has_allowed_software(relay_exchange const& exchange,
                              backend_entry const& worker);
    void on_allotment_decision(allotment_decision const& settled);
    void run_allotments();
    /// Passes the configuration's teams and limits to the team directory and
    /// the allotment limiter.
    void update_teams();
    void update_allotment_members(std::vector<member_view> const& members,
                                  bool registered);
    void send_allotment_query(query_pool const& ask);
    /// Returns an error if the request is quarantined because workers crashed
    /// under requests like it; logged.
    std::optional<error> check_quarantine(relay_exchange const& exchange);
    /// Sends the request to its worker, after checking quarantine and key
    /// again.
    void place(service_state& service, place_request const& placed);
    void send_placed(service_state& service, place_request const& placed);
    /// Frees the slot of the send at its worker and returns its grant.
    void release_worker_slot(service_id const& service, ticket_id send,
                             send_outcome outcome);
    /// Accounts for the send under another ticket.
    void move_send(service_id const& service, ticket_id from, ticket_id to);
    /// Withdraws the send from its worker.
    void withdraw_send(ticket_id send);
    /// A call that this VM made to the worker itself failed, or got no answer
    /// in time.
    void on_call_failed(worker_id const& worker);
    /// Starts the probes that are due.
    void run_probes();
    /// Calls `done` with whether the worker answers this VM over a new
    /// connection; not within this call.
    void probe(worker_id const& worker, std::function<void(bool)> done);
    void on_probed(worker_id const& worker, bool answered);
    /// Reports a cut that lasts, and its end.
    void report_cut_off();
    /// Why a call of another VM is not forwarded; nullopt if it is.
    std::optional<forward_refusal>
    refuse_forwarding(forwarded_call const& call) const;
    void on_forwarding_refused(vm_id const& vm, request_id const& request,
                               forward_refusal reason);
    backend_entry const* find_backend(worker_id const& worker) const;
    /// Logs what this VM has used of the service's retry budget, at most once a
    /// second.
    void log_retry_budget(service_id const& name, service_state& service);
    /// Returns null if the service is unknown.
    service_state* find(service_id const& service);
    void add_service(service_config const& config);
    void log_worker(std::string_view event, backend_entry const& worker);
    /// Handles what an answer to an order or a report request says of the
    /// worker's limit.
    void on_limit_stated(worker_id const& worker, time_point sent_at,
                         collected_answer const& answer);
    /// Handles what such an answer says of the rejections that the worker
    /// tolerates.
    void on_tolerance_stated(service_id const& service, worker_id const& worker,
                             time_point sent_at,
                             collected_answer const& answer);
    /// Tells other VMs of rejections by brittle workers.
    void send_rejection_notices(service_state& service);
    void on_rejection_notice(rejection_notice const& notice);
    void log_limit_changes();
    /// Sends now, or when the worker's limit has room, or reports that it was
    /// not sent.
    void send_within_limit(ticket_id ticket, worker_id const& worker,
                           time_point give_up_at, pending_send send);
    void run_limits();
    void on_send_decision(send_decision const& decision);
    void send_pending(worker_id const& worker, pending_send const& send);
    void postpone(pending_send const& send, send_decision const& decision);
    /// Ends the request's wait for its worker's limit. Returns whether it was
    /// waiting.
    bool cancel_pending_send(relay_exchange const& exchange);
    void send_limit_query(query_vm const& ask);
    void log_prompt_copy(relay_exchange const& exchange,
                         place_request const& placed);
    void log_superseded_send(relay_exchange const& exchange,
                             place_request const& placed);

    /// Passes workers and ownership to the schedulers of all services.
    void update_schedulers();
    /// Schedules run() for the end of this turn of the event loop.
    void schedule_run();
    /// Handles what is due and makes the pending decisions of all services.
    void run();
    void run_service(service_state& service);
    /// Passes on what the service's requests wait for.
    void update_waits(service_state& service);
    void update_registry_moment(service_state& service) const;
    void execute(service_state& service, placement_action const& action);
    /// A call of this VM's own to the worker, which has no id.
    collected_call call_worker(backend_entry const& worker, std::string bytes,
                               duration timeout) const;
    /// `id`: one that no other call of any VM has, nor a caller's request.
    answer_mark mark_order(request_id const& id,
                           order_expectation const& expected) const;
    void send_order(issue_order const& order);
    void send_report_request(request_report const& question);
    /// Asks the worker's owner for a grant.
    void send_grant_request(service_state& service,
                            request_owner_grant const& ask);
    void on_grant_reply(service_id const& service,
                        request_owner_grant const& ask, time_point asked_at,
                        grant_outcome outcome, peer_reply const& reply);
    void log_grant_reply(request_owner_grant const& ask, time_point asked_at,
                         grant_outcome outcome, peer_reply const& reply);
    /// The outcome of a send as its worker's owner is told: that this VM cannot
    /// reach the worker says nothing of the worker while it is cut off.
    send_outcome outcome_for_owner(send_outcome outcome) const;
    /// Records that a grant has ended, to be reported to its owner.
    void return_grant(held_grant const& grant, send_outcome outcome);
    /// Reports all ended grants to their owners.
    void send_ended_grants();
    void answer_grant_request(ticket_id ticket, bool granted,
                              granted_copy const& copy, double load);
    /// Withdraws another VM's request that waits, or ends one that was granted.
    void end_peer_request(ticket_id ticket, send_outcome outcome);
    void on_order(service_id const& service, worker_order const& order,
                  order_outcome outcome);
    void on_report(service_id const& service, worker_id const& worker,
                   std::optional<worker_report> const& report);
    /// Adds up to half of `retry_after` at random, so that rejected callers do
    /// not return all at once.
    duration add_jitter(duration retry_after);
    void arm_timer();

    asio::io_context& io_;
    relay_codec const& codec_;
    relay_options options_;
    event_log& log_;
    time_point const started_at_;
    backend_pool pool_;
    answer_memory answers_;
    asio::steady_timer timer_;
    time_point timer_at_ = never;
    std::unique_ptr<route_table> routes_;
    std::shared_ptr<routing_config const> config_;
    std::map<service_id, service_state> services_;
    std::vector<backend_entry> backends_;
    crash_detector crashes_;
    worker_reachability reachability_;
    /// When this VM was last cut off, or last reached workers again.
    time_point cut_off_at_{};
    bool cut_off_reported_ = false;
    forwarder_selector forwarders_;
    /// Requests whose current send goes by way of another VM.
    std::unordered_set<ticket_id> sent_through_;
    /// Calls of other VMs that this VM forwards.
    std::size_t calls_forwarded_now_ = 0;
    /// Until then this VM has too much to do to forward calls.
    time_point overloaded_until_{};
    connection_gate gate_;
    bool backends_known_ = false;
    startup_hold const start_hold_;
    std::vector<early_request> early_requests_;
    std::map<worker_id, owned_worker> owned_workers_;
    adapter_version_history releases_;
    std::size_t members_ = 1;
    /// See set_first_process().
    bool is_first_process_ = false;
    /// The weight of the team with the largest allotment; 1 if none has one.
    double largest_team_weight_ = 1;
    /// limits_by_objective() of the configuration.
    bool by_objective_ = false;
    /// By the name of the route; empty unless `by_objective_`.
    std::map<std::string, usual_deadline> usual_deadlines_;
    std::unique_ptr<team_directory> teams_;
    std::unique_ptr<allotment_limiter> allotments_;
    /// Units taken by the requests in progress.
    std::unordered_map<ticket_id, metered_request> metered_requests_;
    worker_limiter limits_;
    /// Calls to workers with limits that wait for admission.
    std::unordered_map<ticket_id, pending_send> pending_sends_;
    std::map<worker_id, vm_id> owners_;
    std::map<vm_id, peer_state> peers_;
    /// All VMs that are live, this one included.
    std::vector<vm_id> live_vms_;
    /// VMs that reach workers, this VM included.
    std::vector<vm_id> sending_vms_;
    stream_records streams_;
    stream_row_keeper stream_rows_;
    struct held_events
    {
        time_point until{};
        std::shared_ptr<answer_gate> gate;
    };
    /// Ascending.
    std::deque<held_events> held_events_;
    software_record_writer software_records_;
    time_point review_software_at_{};
    std::unordered_map<ticket_id, peer_request> peer_requests_;
    std::unordered_map<ticket_id, held_grant> held_grants_;
    /// The request of each send that is kept beside the request's current one.
    std::unordered_map<ticket_id, ticket_id> kept_sends_;
    std::unordered_map<ticket_id, std::shared_ptr<backend_exchange>>
        grant_requests_;
    time_point send_ended_grants_at_ = never;
    std::unordered_map<ticket_id, std::shared_ptr<relay_exchange>> exchanges_;
    due_index<ticket_id> due_;
    std::uint64_t last_ticket_ = 0;
    bool run_posted_ = false;
    bool rejects_new_requests_ = false;
    bool refuses_forwarded_calls_ = false;
    time_point sweep_at_{};
    std::mt19937_64 random_;
    relay_counts counts_;
    latency_meter first_byte_latency_;
    /// Time from a request's arrival to its first send.
    latency_meter queueing_delays_;
    /// Of callers' requests, and of grant requests of other VMs.
    wait_histograms waits_;
    wait_histograms grant_waits_;
    latency_meter stream_gaps_;
};

} // namespace mulberry

#endif
