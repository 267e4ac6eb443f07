#include "decision_loop.hpp"

#include "calendar_quarter.hpp"
#include "log.hpp"
#include "shell_clock.hpp"

#include <type_traits>
#include <utility>

namespace mulberry
{
namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(5);
constexpr duration status_interval = std::chrono::milliseconds(100);
constexpr duration keep_alive_interval = std::chrono::milliseconds(500);
constexpr duration calendar_interval = std::chrono::seconds(1);

} // namespace

decision_loop::decision_loop(loop_settings settings,
                             std::function<loop_ports(event_sink&)> make_ports,
                             pending_answers& answers, timeline& events)
    : settings_(std::move(settings)), make_ports_(std::move(make_ports)),
      answers_(&answers), timeline_(&events), ring_(settings_.ring_capacity),
      status_(std::make_shared<core_status const>()),
      ended_(end_.get_future().share())
{
}

decision_loop::~decision_loop() = default;

void decision_loop::start(kernel& parts)
{
    settings_.core.ownership.address = settings_.own_address(parts);
    ports_ = make_ports_(*this);
    core_ = std::make_unique<vm_core>(settings_.core, checks_);
    publish(shell_clock::now());
    thread_ = std::thread([this] { run(); });
}

void decision_loop::stop()
{
    ring_.close();
    thread_.join();
    std::lock_guard const lock(mutex_);
    for (auto& [ticket, promise] : confirms_)
        promise.set_value(
            {ticket,
             error(error_kind::outcome_unknown, "this VM is stopping"),
             {}});
    confirms_.clear();
}

bool decision_loop::offer(core_event event)
{
    return ring_.try_push(std::move(event));
}

void decision_loop::post(core_event event)
{
    ring_.push(std::move(event));
}

void decision_loop::run()
{
    core_->start(shell_clock::now(), actions_);
    for (action const& one : std::exchange(actions_, {}))
        perform(one);
    update_calendar_quarter(shell_clock::now());
    while (!ring_.closed())
    {
        auto event = ring_.pop(shell_clock::to_steady(next_tick_));
        if (event)
            handle(*event);
        time_point const now = shell_clock::now();
        if (now < next_tick_)
            continue;
        next_tick_ = now + tick_interval;
        handle(clock_ticked{});
        apply_configuration();
        poll_ports(now);
        update_calendar_quarter(now);
        publish(now);
    }
}

void decision_loop::handle(core_event const& event)
{
    core_->handle(event, shell_clock::now(), actions_);
    for (action const& one : std::exchange(actions_, {}))
        perform(one);
    complete_confirms();
}

void decision_loop::perform(action const& one)
{
    std::visit(
        [this](auto const& what)
        {
            using kind = std::decay_t<decltype(what)>;
            if constexpr (std::is_same_v<kind, start_attempt>)
                ports_.engines->start(what);
            else if constexpr (std::is_same_v<kind, cancel_attempt>)
            {
                ports_.engines->cancel(what);
                ports_.peers->cancel(what.attempt);
                ports_.services->cancel(what.attempt);
            }
            else if constexpr (std::is_same_v<kind, forward_request>)
                ports_.peers->forward(what, address_of(what.owner));
            else if constexpr (std::is_same_v<kind, deliver_event>)
            {
                if (auto const receiver = answers_->find(what.request))
                    receiver->on_event(what.offset, what.payload);
            }
            else if constexpr (std::is_same_v<kind, deliver_end>)
            {
                if (auto const receiver = answers_->take(what.request))
                    receiver->on_end();
            }
            else if constexpr (std::is_same_v<kind, deliver_error>)
            {
                if (auto const receiver = answers_->take(what.request))
                    receiver->on_error(what.what);
            }
            else if constexpr (std::is_same_v<kind, deliver_service_answer>)
            {
                if (auto const receiver = answers_->take(what.request))
                    receiver->on_service_answer(what.answer, what.replayed);
            }
            else if constexpr (std::is_same_v<kind, load_adapter>)
                ports_.engines->load(what);
            else if constexpr (std::is_same_v<kind, unload_adapter>)
                ports_.engines->unload(what);
            else if constexpr (std::is_same_v<kind, call_service>)
                ports_.services->call(what);
            else if constexpr (std::is_same_v<kind, send_peer_message>)
                ports_.peers->send_message(what, address_of(what.to));
            else if constexpr (std::is_same_v<kind, publish_event>)
            {
                log(log_level::info, what.part, what.kind + ": " + what.text);
                timeline_->add(what.part, what.kind, what.text);
            }
            else if constexpr (std::is_same_v<kind, record_intent> ||
                               std::is_same_v<kind, forget_intent>)
            {
                // The core handles these two actions itself.
            }
            else
                ports_.platform->run(what);
        },
        one);
}

std::string decision_loop::address_of(vm_id const& vm) const
{
    return core_->address_of(vm);
}

void decision_loop::apply_configuration()
{
    auto const current = core_->declared();
    if (current == applied_configuration_ || !current)
        return;
    applied_configuration_ = current;
    ports_.engines->configure(current);
    ports_.services->configure(current);
}

void decision_loop::poll_ports(time_point now)
{
    if (now >= next_load_report_)
    {
        next_load_report_ = now + settings_.load_report_interval;
        ports_.engines->request_load_reports(core_->watched_workers());
    }
    if (now >= next_vm_list_)
    {
        next_vm_list_ = now + settings_.vm_list_interval;
        ports_.platform->request_vm_list();
    }
    if (now >= next_keep_alive_)
    {
        next_keep_alive_ = now + keep_alive_interval;
        answers_->keep_all_alive();
    }
}

void decision_loop::update_calendar_quarter(time_point now)
{
    if (now < next_calendar_)
        return;
    next_calendar_ = now + calendar_interval;
    // The quarter and its end are sent to the core each time because the wall
    // clock may have been set since the last update.
    auto const wall = std::chrono::system_clock::now();
    calendar_quarter const quarter = quarter_of(wall);
    auto const time_left =
        std::chrono::duration_cast<duration>(quarter.ends - wall);
    handle(quarter_started{quarter.name, now + time_left});
}

void decision_loop::publish(time_point now)
{
    if (core_->can_exit(now) && !end_reported_)
    {
        end_reported_ = true;
        end_.set_value();
    }
    if (now < next_status_)
        return;
    next_status_ = now + status_interval;
    auto current = std::make_shared<core_status const>(core_->status(now));
    std::lock_guard const lock(mutex_);
    status_ = std::move(current);
}

std::shared_ptr<core_status const> decision_loop::status() const
{
    std::lock_guard const lock(mutex_);
    return status_;
}

confirm_result decision_loop::confirm(config_version base, std::string digest,
                                      std::string canonical_text)
{
    std::future<confirm_result> outcome;
    std::uint64_t ticket = 0;
    {
        std::lock_guard const lock(mutex_);
        ticket = ++last_ticket_;
        outcome = confirms_[ticket].get_future();
    }
    post(confirm_requested{ticket, base, std::move(digest),
                           std::move(canonical_text)});
    return outcome.get();
}

void decision_loop::complete_confirms()
{
    for (confirm_result& result : core_->take_confirms())
    {
        std::lock_guard const lock(mutex_);
        auto const entry = confirms_.find(result.ticket);
        if (entry == confirms_.end())
            continue;
        entry->second.set_value(std::move(result));
        confirms_.erase(entry);
    }
}

} // namespace mulberry
