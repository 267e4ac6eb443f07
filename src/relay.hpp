/// The data path of one VM: callers' requests in, workers' answers out.
#ifndef MULBERRY_RELAY_HPP
#define MULBERRY_RELAY_HPP

#include "allotment_keeper.hpp"
#include "crash_watch.hpp"
#include "due_index.hpp"
#include "event_log.hpp"
#include "latency_meter.hpp"
#include "ownership_keeper.hpp"
#include "peer_grant_request.hpp"
#include "relay_exchange.hpp"
#include "retry_allowance.hpp"
#include "route_table.hpp"
#include "start_hold.hpp"
#include "team_directory.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace mulberry
{

struct relay_options
{
    vm_id vm;
    domain_id domain;
    retry_limits retries;
    /// How long an older version of an adapter may be used.
    duration release_grace = std::chrono::milliseconds(2000);
    /// How long after a newer version was heard of a stream that was sent to an
    /// older copy may begin; one that has not is withdrawn.
    duration release_begin = std::chrono::milliseconds(7500);
    /// Orders are sent only while this holds, asked right before each.
    std::function<bool(worker_id const&)> may_order;
    /// As of when configuration, versions and workers are known; asked before
    /// requests are placed.
    std::function<registry_moment()> registry_as_of;
    /// As of when the declarations are known. Empty: they always are.
    std::function<declarations_known()> declarations_as_of;
    key_bounds keys;
    allotment_terms allotments;
    std::uint64_t seed = 1;
    start_limits start;
    /// What is known of requests that crash workers.
    crash_watch_options crashes;
};

/// Counts since the start; only rise. Value.
struct relay_counts
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t worker_failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t caller_gone = 0;
    std::uint64_t retries = 0;
    /// Sends that may begin on a version that is not the newest.
    std::uint64_t sent_to_replaced = 0;
    /// Workers that said that they leave before the registry listed it.
    std::uint64_t leaving_heard = 0;
    /// Times that a worker asked for rest.
    std::uint64_t rests = 0;

    std::uint64_t orders = 0;
    std::uint64_t orders_unknown = 0;
    std::uint64_t orders_conflict = 0;
    std::uint64_t reports = 0;
    std::uint64_t key_missing = 0;
    std::uint64_t key_unknown = 0;
    /// Since a key may have been added or taken away.
    std::uint64_t key_in_doubt = 0;
    std::uint64_t over_allotment = 0;
    std::uint64_t allotment_unknown = 0;
    friend bool operator==(relay_counts const&, relay_counts const&) = default;
};

/// Thread safety: none; every member on the thread that runs the io_context.
class relay final : public exchange_host, public crash_peers
{
public:
    /// The references outlive this object.
    relay(asio::io_context& io, relay_codec const& codec, relay_options options,
          event_log& log);
    ~relay() override;
    relay(relay const&) = delete;
    relay& operator=(relay const&) = delete;

    /// Takes a caller's request.
    void handle(http_request received, std::shared_ptr<http_answer> answer);

    /// A newer configuration. An older one, or the same, is ignored.
    void set_config(std::shared_ptr<routing_config const> config);
    void set_backends(std::vector<backend_entry> entries);
    void on_release(adapter_release const& release);
    void set_grants(std::map<worker_id, order_grant> grants);
    /// The VMs there are, this one among them. `registered`: this process has
    /// written its own row; one that is there before is an earlier process's.
    void set_members(std::vector<member_view> members, bool registered);
    void set_owners(std::map<worker_id, vm_id> owners);
    /// Changed rows of the product's own set.
    void on_own_rows(std::vector<stored_row> const& rows)
    {
        crashes_.on_rows(rows);
    }
    /// Takes a call of another VM; see peer_grant_request.hpp.
    void handle_peer(http_request const& received,
                     std::shared_ptr<http_answer> answer);

    /// Takes a question about allotments; see peer_allotment.hpp.
    void handle_allotment(http_request const& received, http_answer& answer);

    /// From now on callers' requests are rejected at once: this VM is about to
    /// end. What is in progress goes on.
    void refuse_new() { refuses_new_ = true; }

    bool has_config() const { return routes_ != nullptr; }
    /// Whether requests can be decided on: routes and workers are known.
    bool informed() const { return has_config() && backends_known_; }
    config_version version() const;
    std::size_t in_progress() const { return exchanges_.size(); }
    relay_counts const& counts() const { return counts_; }
    /// Prometheus text.
    std::string metrics() const;

    time_point now() const override;
    relay_codec const& codec() const override { return codec_; }
    backend_pool& pool() override { return pool_; }
    void wait_for_worker(relay_exchange& exchange,
                         std::set<worker_id> const& excluded) override;
    void stop_waiting(relay_exchange& exchange) override;
    void first_byte(relay_exchange& exchange) override;
    void stream_went_on(duration gap) override { stream_gaps_.add(gap); }
    void send_ended(relay_exchange& exchange, send_outcome outcome) override;
    void said_leaving(relay_exchange const& exchange) override;
    void asked_for_rest(relay_exchange const& exchange,
                        time_point until) override;
    void broke_off(relay_exchange const& exchange) override;
    duration patience(relay_exchange const& exchange) const override;
    duration retry_after(relay_exchange const& exchange,
                         duration least) override;
    bool take_retry(relay_exchange const& exchange) override;
    void wake_at(relay_exchange& exchange, time_point when) override;
    void note(relay_exchange const& exchange, std::string_view event,
              std::string_view reason) override;
    void finished(relay_exchange& exchange, relay_outcome outcome) override;
    void tell_all(crash_news const& news,
                  std::function<void(bool by_all)> done) override;

private:
    /// A request of another VM that waits for a grant or was given one.
    struct peer_request
    {
        service_id service;
        /// Until it is answered.
        std::shared_ptr<http_answer> answer;
        request_id request;
        worker_id worker;
        time_point arrived_at{};
    };
    /// What other VMs are owed: which of their grants are over.
    struct peer_link
    {
        backend_address address;
        std::vector<peer_completion> done;
    };
    /// A grant that one of this VM's requests was sent under.
    struct held_grant
    {
        vm_id owner;
        std::uint64_t number = 0;
    };
    /// What a request counts against its team's allotment.
    struct metered_request
    {
        team_id team;
        double units = 0;
        /// It waits to be told whether it fits.
        bool waits = true;
    };
    /// A request that arrived before routes and workers were known.
    struct early_request
    {
        relay_request request;
        std::shared_ptr<http_answer> answer;
        time_point arrived_at{};
        time_point keep_until{};
        /// Set when its caller has gone.
        std::shared_ptr<bool> gone;
    };
    struct service_state
    {
        service_scheduler scheduler;
        retry_allowance retries;
        bool engine = false;

        service_state(scheduler_settings settings, service_config const& config,
                      retry_limits const& limits)
            : scheduler(std::move(settings), config), retries(limits),
              engine(config.engine.has_value())
        {
        }
    };

    void admit(relay_request request, std::shared_ptr<http_answer> answer,
               time_point arrived_at);
    void keep_early(relay_request request, std::shared_ptr<http_answer> answer);
    void refuse_uninformed(early_request const& early);
    void review_early();
    void refuse_at_once(relay_request const& request, http_answer& answer,
                        error const& problem);
    /// Whose the request is, or why it is not to be sent now; counted.
    access_decision access_to(relay_request const& request,
                              route const& matched);
    /// Whether the key it came with is still its team's; logged.
    std::optional<error> refused_for_key(relay_exchange const& exchange);
    /// Takes what the request counts out of its team's allotment, then starts
    /// it, at once or when that is known to fit.
    void start_metered(std::shared_ptr<relay_exchange> const& exchange,
                       team const* holder);
    void on_allotment(allotment_settled const& settled);
    void run_allotments();
    void share_teams();
    void share_members(std::vector<member_view> const& members,
                       bool registered);
    void send_question(ask_pool const& ask);
    /// Whether the request is not to be sent since workers crashed under it;
    /// logged.
    std::optional<error> refused_for_crashes(relay_exchange const& exchange);
    void place(service_state& service, place_request const& placed);
    /// The request does not take its place at its worker any more.
    void free_place(relay_exchange const& exchange, send_outcome outcome);
    service_state* find(service_id const& service);
    void add_service(service_config const& config);
    void note_worker(std::string_view event, backend_entry const& worker);
    void note_copy(relay_exchange const& exchange, place_request const& placed);
    void note_replaced(relay_exchange const& exchange,
                       place_request const& placed);

    void share_backends();
    void run_soon();
    void run();
    void run_service(service_state& service);
    void tell_registry_moment(service_state& service) const;
    void carry_out(service_state& service, placement_action const& action);
    void send_order(give_order const& order);
    void send_report(ask_report const& question);
    void send_ask(service_state& service, ask_owner const& ask);
    void on_ask(service_id const& service, ask_owner const& ask,
                time_point asked_at, ask_outcome outcome,
                peer_reply const& reply);
    void note_ask(ask_owner const& ask, time_point asked_at,
                  ask_outcome outcome, peer_reply const& reply);
    void give_back(held_grant const& grant, send_outcome outcome);
    void tell_done();
    void answer_peer(ticket_id ticket, bool granted, granted_copy const& copy,
                     double load);
    void forget_peer_request(ticket_id ticket, send_outcome outcome);
    void on_order(service_id const& service, worker_order const& order,
                  order_outcome outcome);
    void on_report(service_id const& service, worker_id const& worker,
                   std::optional<worker_report> const& report);
    duration spread(duration retry_after);
    void arm_timer();

    asio::io_context& io_;
    relay_codec const& codec_;
    relay_options options_;
    event_log& log_;
    backend_pool pool_;
    asio::steady_timer timer_;
    time_point timer_at_ = never;
    std::unique_ptr<route_table> routes_;
    std::shared_ptr<routing_config const> config_;
    std::map<service_id, service_state> services_;
    std::vector<backend_entry> backends_;
    crash_watch crashes_;
    bool backends_known_ = false;
    start_hold const start_;
    std::vector<early_request> early_;
    std::map<worker_id, order_grant> grants_;
    adapter_releases releases_;
    std::size_t members_ = 1;
    std::unique_ptr<team_directory> teams_;
    std::unique_ptr<allotment_keeper> allotments_;
    /// What requests in progress took out of allotments.
    std::unordered_map<ticket_id, metered_request> metered_;
    std::map<worker_id, vm_id> owners_;
    std::map<vm_id, peer_link> peers_;
    std::unordered_map<ticket_id, peer_request> peer_requests_;
    std::unordered_map<ticket_id, held_grant> held_grants_;
    std::unordered_map<ticket_id, std::shared_ptr<backend_exchange>> asks_;
    time_point tell_done_at_ = never;
    std::unordered_map<ticket_id, std::shared_ptr<relay_exchange>> exchanges_;
    due_index<ticket_id> due_;
    std::uint64_t last_ticket_ = 0;
    bool run_posted_ = false;
    bool refuses_new_ = false;
    time_point sweep_at_{};
    std::mt19937_64 random_;
    relay_counts counts_;
    latency_meter first_byte_;
    /// From a request's arrival to its first send.
    latency_meter waits_;
    latency_meter stream_gaps_;
};

} // namespace mulberry

#endif
