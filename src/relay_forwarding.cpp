// Calls to workers by way of other VMs, for a VM that is cut off from the
// workers.
#include "collected_exchange.hpp"
#include "relay.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

constexpr milliseconds probe_connect_timeout{300};
/// A sound worker may be silent for about a second. An open connection proves
/// nothing: on some links new connections open and carry no bytes.
constexpr milliseconds probe_timeout{1500};
constexpr milliseconds min_reported_cut{900};
/// Workers that are probed to tell a crash from a cut.
constexpr std::size_t workers_per_check = 3;
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;
constexpr milliseconds forwarder_connect_timeout{150};
/// A VM that forwards a call says so at once. One that is longer silent is
/// frozen or gone.
constexpr milliseconds max_accept_time{250};
/// Limit on the calls of all other VMs that this VM forwards at a time.
constexpr std::size_t max_forwarded_calls = 256;
/// Limit on the bytes of an answer that the other VM has not read.
constexpr std::size_t max_unsent_bytes = 1UL * 1024 * 1024;

} // namespace

backend_entry const* relay::find_backend(worker_id const& worker) const
{
    auto const found =
        std::find_if(backends_.begin(), backends_.end(),
                     [&worker](auto const& each) { return each.id == worker; });
    return found == backends_.end() ? nullptr : &*found;
}

/// Workers that are handed over get no orders for a while, so a cut that ends
/// at once, as on a link that loses packets, is not reported.
void relay::report_cut_off()
{
    bool const lasting =
        reachability_.is_cut_off() && now() >= cut_off_at_ + min_reported_cut;
    if (std::exchange(cut_off_reported_, lasting) != lasting &&
        options_.on_cut_off)
        options_.on_cut_off(lasting);
}

send_outcome relay::outcome_for_owner(send_outcome outcome) const
{
    bool const no_answer = outcome == send_outcome::unreachable ||
                           outcome == send_outcome::broken ||
                           outcome == send_outcome::silent;
    return no_answer && reachability_.is_in_doubt() ? send_outcome::abandoned
                                                    : outcome;
}

void relay::on_call_failed(worker_id const& worker)
{
    reachability_.on_failed(worker, now());
    schedule_run();
}

/// A worker that limits its calls or is in backoff is only connected to.
void relay::probe(worker_id const& worker, std::function<void(bool)> done)
{
    backend_entry const* const entry = find_backend(worker);
    if (entry == nullptr)
        return asio::post(io_, [done = std::move(done)] { done(false); });
    backend_address const to{entry->address, entry->port};
    service_state const* const service = find(entry->service);
    if (limits_.is_limited(worker) || service == nullptr ||
        !service->scheduler.is_open(worker, now()))
    {
        auto const check = std::make_shared<connect_check>(io_);
        if (!check->start(to, options_.source_address, milliseconds(0), done))
            asio::post(io_, [done = std::move(done)] { done(false); });
        return;
    }
    collected_call call =
        call_worker(*entry, codec_.encode_report_request(), probe_timeout);
    call.options.connect_timeout = probe_connect_timeout;
    call.options.max_idle = milliseconds(0);
    call.on_end = [done = std::move(done)](collected_answer const& answer)
    { done(answer.status != 0); };
    start_collected(io_, pool_, std::move(call));
}

void relay::run_probes()
{
    for (worker_id const& worker : reachability_.take_probes(now()))
        probe(worker,
              [this, worker](bool answered) { on_probed(worker, answered); });
}

void relay::on_probed(worker_id const& worker, bool answered)
{
    bool const was_cut_off = reachability_.is_cut_off();
    time_point const at = now();
    reachability_.on_probed(worker, answered, at);
    if (reachability_.is_cut_off() != was_cut_off)
        log_.notable(was_cut_off ? "workers reached again"
                                 : "cut off from workers",
                     log_fields()
                         .add("worker", worker.str())
                         .add("workers", std::uint64_t{backends_.size()})
                         .add("in_progress", std::uint64_t{in_progress()}),
                     at);
    if (reachability_.is_cut_off() != was_cut_off)
    {
        cut_off_at_ = at;
        for (auto& [name, service] : services_)
            service.scheduler.on_path_changed(at);
    }
    report_cut_off();
    schedule_run();
}

void relay::check_other_workers(backend_entry const& except,
                                std::function<void(bool reached)> done)
{
    std::vector<backend_entry const*> others;
    for (backend_entry const& each : backends_)
        if (each.id != except.id && !each.draining)
            others.push_back(&each);
    if (others.empty())
        return asio::post(io_, [done = std::move(done)] { done(true); });
    std::shuffle(others.begin(), others.end(), random_);
    std::stable_partition(others.begin(), others.end(),
                          [&except](backend_entry const* each)
                          { return each->domain != except.domain; });
    // A request that crashes worker after worker leaves many that would not
    // answer; this VM would take itself for cut off and report no crash.
    std::stable_partition(others.begin(), others.end(),
                          [this](backend_entry const* each)
                          { return !crashes_.may_be_down(*each); });
    others.resize(std::min(others.size(), workers_per_check));
    struct open_check
    {
        std::size_t open = 0;
        std::function<void(bool)> done;
    };
    auto const check = std::make_shared<open_check>();
    check->open = others.size();
    check->done = std::move(done);
    for (backend_entry const* each : others)
        probe(each->id,
              [check](bool answered)
              {
                  bool const last = --check->open == 0;
                  if (!check->done || (!answered && !last))
                      return;
                  std::exchange(check->done, nullptr)(answered);
              });
}

/// A call to a worker that another VM makes for this one. VMs that refuse it
/// have sent nothing, so the next one is asked.
class relay::forwarded_send final
    : public backend_exchange,
      public exchange_observer,
      public std::enable_shared_from_this<forwarded_send>
{
public:
    forwarded_send(relay& owner, forwarded_call call,
                   std::shared_ptr<exchange_observer> observer)
        : owner_(owner), call_(std::move(call)), observer_(std::move(observer))
    {
    }

    void start()
    {
        auto const vm = owner_.forwarders_.choose(tried_, owner_.now());
        if (!vm)
            return asio::post(owner_.io_,
                              [self = shared_from_this()] {
                                  self->fail(call_stage::not_sent,
                                             "no VM forwards the call");
                              });
        vm_ = *vm;
        tried_.insert(vm_);
        started_at_ = owner_.now();
        accepted_ = false;
        refusal_.clear();
        owner_.forwarders_.on_started(vm_);
        exchange_options options;
        options.connect_timeout = forwarder_connect_timeout;
        options.max_idle = call_.options.max_idle;
        backend_address const& to = owner_.peers_.at(vm_).address;
        exchange_ = owner_.pool_.start(to, encode_forwarded_call(call_, to.ip),
                                       options, shared_from_this());
    }

    void cancel() override
    {
        if (!observer_)
            return;
        if (!accepted_ && owner_.now() > started_at_ + max_accept_time)
            refused(forward_refusal::unreachable);
        release();
        if (exchange_)
            exchange_->cancel();
    }

    void on_head(int status, http_headers) override
    {
        accepted_ = status == status_ok;
        is_refusal_ = status == status_unavailable;
        if (accepted_)
            owner_.log_.routine("sent through",
                                log_fields()
                                    .add("request", call_.request.str())
                                    .add("worker", call_.worker.str())
                                    .add("through", vm_.str()),
                                owner_.now());
    }

    void on_body(std::string_view bytes) override
    {
        if (!accepted_)
        {
            refusal_ += bytes;
            return;
        }
        auto const self = shared_from_this();
        auto const observer = observer_;
        if (observer && !reader_.feed(bytes, *observer) && observer_)
        {
            exchange_->cancel();
            return fail(broken_stage(), "malformed frames");
        }
        if (reader_.is_complete())
            release();
    }

    void on_end(bool) override
    {
        if (!observer_)
            return;
        if (accepted_)
            return fail(broken_stage(), "the forwarding VM broke off");
        try_next(is_refusal_ ? parse_forward_refusal(refusal_)
                             : forward_refusal::unavailable);
    }

    void on_failure(call_stage stage, std::string const& reason) override
    {
        if (!observer_)
            return;
        if (stage == call_stage::not_sent)
            return try_next(forward_refusal::unreachable);
        if (!accepted_)
            refused(forward_refusal::unreachable);
        fail(broken_stage(), "the forwarding VM: " + reason);
    }

private:
    call_stage broken_stage() const
    {
        return reader_.has_head() ? call_stage::answering : call_stage::sent;
    }

    void refused(forward_refusal reason)
    {
        owner_.on_forwarding_refused(vm_, call_.request, reason);
    }

    void try_next(forward_refusal reason)
    {
        refused(reason);
        owner_.forwarders_.on_ended(vm_);
        vm_ = {};
        start();
    }

    void fail(call_stage stage, std::string const& reason)
    {
        auto const observer = observer_;
        release();
        if (observer)
            observer->on_failure(stage, reason);
    }

    void release()
    {
        observer_.reset();
        reader_.stop();
        owner_.forwarders_.on_ended(std::exchange(vm_, {}));
    }

    relay& owner_;
    forwarded_call call_;
    std::shared_ptr<exchange_observer> observer_;
    std::set<vm_id> tried_;
    vm_id vm_;
    time_point started_at_{};
    std::shared_ptr<backend_exchange> exchange_;
    bool accepted_ = false;
    bool is_refusal_ = false;
    std::string refusal_;
    answer_frame_reader reader_;
};

void relay::on_forwarding_refused(vm_id const& vm, request_id const& request,
                                  forward_refusal reason)
{
    time_point const at = now();
    forwarders_.on_refused(vm, reason, at);
    log_.notable("call not forwarded",
                 log_fields()
                     .add("request", request.str())
                     .add("through", vm.str())
                     .add("reason", name_of(reason)),
                 at);
}

std::shared_ptr<backend_exchange>
relay::start_send(relay_exchange const& exchange, outgoing_request request,
                  exchange_options const& options,
                  std::shared_ptr<exchange_observer> observer)
{
    backend_entry const& worker = exchange.worker_entry();
    backend_address const to{worker.address, worker.port};
    if (!reachability_.is_cut_off() || !forwarders_.can_forward(now()))
        return pool_.start(to, std::move(request), options,
                           std::move(observer));
    ++counts_.sent_through;
    sent_through_.insert(exchange.terms().ticket);
    auto const send = std::make_shared<forwarded_send>(
        *this,
        forwarded_call{worker.id, to, exchange.request().id, options_.vm,
                       options, std::move(request)},
        std::move(observer));
    send->start();
    return send;
}

/// Passes a worker's answer on to the VM that the call is made for.
class relay::call_forwarder final : public exchange_observer
{
public:
    call_forwarder(relay& owner, std::shared_ptr<http_answer> answer)
        : owner_(owner), answer_(std::move(answer))
    {
        ++owner_.calls_forwarded_now_;
    }

    void on_head(int status, http_headers headers) override
    {
        write(encode_head_frame(status, headers));
    }
    void on_body(std::string_view bytes) override
    {
        write(encode_body_frame(bytes));
        if (answer_ &&
            answer_->unsent_bytes() > owner_.answers_.limit(max_unsent_bytes))
        {
            answer_->abort();
            end();
        }
    }
    void on_end(bool framed) override { finish(encode_end_frame(framed)); }
    void on_failure(call_stage stage, std::string const& reason) override
    {
        finish(encode_failure_frame(stage, reason));
    }

    /// The call is over; events of the worker are ignored from now on.
    void end()
    {
        if (std::exchange(answer_, nullptr) == nullptr)
            return;
        --owner_.calls_forwarded_now_;
        if (call_)
            call_->cancel();
    }
    bool is_over() const { return answer_ == nullptr; }
    void set_call(std::shared_ptr<backend_exchange> call)
    {
        call_ = std::move(call);
    }

private:
    void write(std::string frame)
    {
        if (answer_)
            answer_->write(std::move(frame));
    }
    void finish(std::string frame)
    {
        write(std::move(frame));
        call_.reset();
        if (answer_)
            answer_->finish();
        end();
    }

    relay& owner_;
    std::shared_ptr<http_answer> answer_;
    std::shared_ptr<backend_exchange> call_;
};

std::optional<forward_refusal>
relay::refuse_forwarding(forwarded_call const& call) const
{
    if (reachability_.is_cut_off())
        return forward_refusal::cut_off;
    if (calls_forwarded_now_ >= max_forwarded_calls ||
        now() < overloaded_until_)
        return forward_refusal::busy;
    backend_entry const* const known = find_backend(call.worker);
    bool const listed = known != nullptr &&
                        backend_address{known->address, known->port} == call.to;
    // Another VM can ask the next one at once, unlike a caller, whose balancer
    // takes a while to notice that this VM stops.
    if (refuses_forwarded_calls_)
        return forward_refusal::unavailable;
    return listed ? std::nullopt
                  : std::optional(forward_refusal::unknown_worker);
}

void relay::handle_forwarded_call(http_request received,
                                  std::shared_ptr<http_answer> answer)
{
    auto call = decode_forwarded_call(std::move(received));
    if (!call)
        return answer->respond({status_bad_request, {}, {}});
    if (auto const refusal = refuse_forwarding(*call))
        return answer->respond(
            {status_unavailable, {}, std::string(name_of(*refusal))});
    ++counts_.calls_forwarded;
    log_.routine("call forwarded",
                 log_fields()
                     .add("request", call->request.str())
                     .add("worker", call->worker.str())
                     .add("for", call->from.str()),
                 now());
    auto const forwarder = std::make_shared<call_forwarder>(*this, answer);
    answer->on_closed([forwarder] { forwarder->end(); });
    if (forwarder->is_over())
        return;
    // The head shows the other VM that this one is at work.
    answer->start_stream(status_ok, {});
    call->options.mark =
        answer_mark{codec_.request_id_field(), call->request.str()};
    forwarder->set_call(pool_.start(call->to, std::move(call->outgoing),
                                    call->options, forwarder));
}

} // namespace mulberry
