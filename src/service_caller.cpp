#include "service_caller_implementation.hpp"

#include <string>
#include <utility>

namespace mulberry
{
namespace
{

constexpr double retries_per_first_try = 0.2;
constexpr double max_saved_retries = 20;

std::string path_without_query(std::string const& target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

service_caller::implementation::implementation(
    service_settings settings, safeguards const& checks, id_source& ids,
    std::function<bool(vm_id const&, incarnation)> incarnation_ended)
    : settings_(std::move(settings)), checks_(checks), ids_(ids),
      incarnation_ended_(std::move(incarnation_ended)),
      budget_(retries_per_first_try, max_saved_retries, settings_.seed),
      picker_(settings_.seed + 1),
      claims_(ids, settings_.table_timeout, settings_.inline_answer_bytes,
              settings_.seed + 2)
{
}

void service_caller::implementation::configure(
    std::shared_ptr<declaration const> configuration)
{
    configuration_ = std::move(configuration);
    picker_.configure(*configuration_);
}

service_declaration const*
service_caller::implementation::find_service(service_id const& service) const
{
    if (!configuration_)
        return nullptr;
    auto const found = configuration_->services.find(service);
    return found == configuration_->services.end() ? nullptr : &found->second;
}

std::optional<error> service_caller::implementation::admission_error(
    service_request const& request, bool repeatable, time_point now) const
{
    if (now >= request.deadline)
        return error(error_kind::deadline_passed,
                     "the deadline passed before the call", ran::no);
    if (repeatable)
        return std::nullopt;
    if (request.key.empty())
        return error(error_kind::key_required,
                     std::string(answer_of(error_kind::key_required).meaning));
    if (vm_incarnation_.none())
        return error(error_kind::platform_unavailable,
                     "this VM is not registered yet", ran::no, retry_after);
    if (claims_.size() >= settings_.max_unwritten_claims)
        return error(error_kind::overloaded,
                     "too many calls wait for the table service", ran::no,
                     retry_after);
    return std::nullopt;
}

void service_caller::implementation::submit(service_request request,
                                            time_point now,
                                            action_list& actions)
{
    service_declaration const* const service = find_service(request.service);
    bool const repeatable =
        service != nullptr &&
        service->repeatable(request.method, path_without_query(request.target));
    request_id const id = request.id;
    service_call& call = calls_[id];
    call.request = std::move(request);
    call.repeatable = repeatable;
    if (!configuration_)
        fail_call(call,
                  error(error_kind::configuration_stale,
                        "this VM has no configuration yet", ran::no,
                        retry_after),
                  actions);
    else if (service == nullptr)
        fail_call(call,
                  error(error_kind::unknown_service,
                        "no service " + call.request.service.str()),
                  actions);
    else if (auto refused = admission_error(call.request, repeatable, now))
        fail_call(call, std::move(*refused), actions);
    else if (repeatable)
        start_first_try(call, now, actions);
    else
        start_claim(call, now, actions);
    release_or_schedule(call);
}

void service_caller::implementation::start_claim(service_call const& call,
                                                 time_point now,
                                                 action_list& actions)
{
    service_request const& request = call.request;
    std::string const token = settings_.vm.str() + '/' +
                              std::to_string(vm_incarnation_.value()) + '/' +
                              request.id.str();
    claim_row const row{token,
                        settings_.vm,
                        vm_incarnation_,
                        request.id,
                        call_fingerprint(request),
                        claim_stage::claimed,
                        std::nullopt};
    claims_.start_claim(request.id, claim_key(request.service, request.key),
                        row, request.deadline, now, actions);
}

void service_caller::implementation::withdraw(request_id const& request,
                                              time_point now,
                                              action_list& actions)
{
    auto const found = calls_.find(request);
    if (found == calls_.end() || found->second.finished())
        return;
    service_call& call = found->second;
    call.withdrawn = true;
    call.next_try_at = never;
    // The call ran, and its outcome is being written.
    bool const answer_held = call.held_answer.has_value();
    call.held_answer.reset();
    call.held_answer_deadline = never;
    if (call.repeatable)
        cancel_attempts(call, attempt_id(), now, actions);
    else if (!answer_held && call.attempts.empty() &&
             claims_.has_claim(request))
    {
        claims_.record_outcome(request, claim_stage::not_run, std::nullopt, now,
                               actions);
        log_event(call, "call-not-run", "withdrawn before the call", actions);
    }
    release_or_schedule(call);
}

bool service_caller::implementation::knows(operation_id operation) const
{
    return claims_.knows(operation) || fetches_.count(operation) != 0;
}

bool service_caller::implementation::knows(attempt_id attempt) const
{
    return attempts_.count(attempt) != 0;
}

void service_caller::implementation::tick(time_point now, action_list& actions)
{
    while (auto const result = claims_.tick(now, actions))
        on_claim_result(*result, now, actions);
    while (auto const request = due_.pop(now))
    {
        service_call& call = calls_.at(*request);
        on_due(call, now, actions);
        release_or_schedule(call);
    }
}

void service_caller::implementation::on_due(service_call& call, time_point now,
                                            action_list& actions)
{
    if (call.held_answer_deadline <= now)
        deliver_held_answer(call, actions);
    else if (call.late_answer_deadline <= now)
        cancel_attempts(call, after_all_attempts, now, actions);
    else if (call.late_answer_deadline != never)
        return;
    else if (call.request.deadline <= now)
        on_deadline(call, now, actions);
    else if (call.next_try_at <= now)
        start_try(call, now, actions);
    else if (call.hedge_at <= now)
        start_hedge(call, now, actions);
    else if (call.fetch && call.fetch->reply_due <= now)
        on_stored_answer(call, {}, now, actions);
    else if (call.fetch && call.fetch->retry_due <= now)
        fetch_stored_answer(call, now, actions);
}

void service_caller::implementation::on_deadline(service_call& call,
                                                 time_point now,
                                                 action_list& actions)
{
    call.next_try_at = never;
    if (!call.repeatable)
    {
        on_unrepeatable_deadline(call, now, actions);
        return;
    }
    bool const may_have_run = call.may_have_run || !call.attempts.empty();
    cancel_attempts(call, after_all_attempts, now, actions);
    fail_call(call,
              error(error_kind::deadline_passed,
                    "the deadline passed before the answer was complete",
                    may_have_run ? ran::unknown : ran::no),
              actions);
}

void service_caller::implementation::on_unrepeatable_deadline(
    service_call& call, time_point now, action_list& actions)
{
    if (!call.attempts.empty())
    {
        call.late_answer_deadline = now + settings_.late_answer_wait;
        finish_outcome_unknown(call, "no answer came before the deadline", now,
                               actions);
    }
    else if (call.fetch)
        fail_call(call,
                  error(error_kind::platform_unavailable,
                        "the call ran; its stored answer cannot be read now",
                        ran::yes, retry_after),
                  actions);
    else if (call.attempted)
        finish_not_run(call,
                       error(error_kind::back_end_unavailable,
                             "no worker of the service could be reached",
                             ran::no, retry_after),
                       now, actions);
    else
        finish_not_run(
            call,
            error(error_kind::platform_unavailable,
                  "the table service did not answer before the deadline; "
                  "the call was not made",
                  ran::no, retry_after),
            now, actions);
}

void service_caller::implementation::deliver(service_call& call,
                                             service_answer answer,
                                             bool replayed,
                                             action_list& actions)
{
    if (call.finished())
        return;
    call.answered = true;
    if (replayed)
    {
        ++counts_.replayed;
        log_event(call, "call-replayed", "", actions);
    }
    else
        ++counts_.answered;
    actions.emplace_back(
        deliver_service_answer{call.request.id, std::move(answer), replayed});
}

void service_caller::implementation::fail_call(service_call& call, error what,
                                               action_list& actions)
{
    if (call.finished())
        return;
    call.answered = true;
    if (what.request_ran() == ran::no)
        ++counts_.refused;
    else
        ++counts_.unknown;
    actions.emplace_back(deliver_error{call.request.id, std::move(what)});
}

void service_caller::implementation::log_event(service_call const& call,
                                               char const* kind,
                                               std::string const& text,
                                               action_list& actions) const
{
    std::string text_with_ids =
        call.request.service.str() + ' ' + call.request.id.str();
    if (!text.empty())
        text_with_ids += ": " + text;
    actions.emplace_back(
        publish_event{"service", kind, std::move(text_with_ids)});
}

void service_caller::implementation::release_or_schedule(service_call& call)
{
    request_id const id = call.request.id;
    bool const claim_released =
        !claims_.has_claim(id) || claims_.outcome_recorded(id);
    if (!call.finished() || !call.attempts.empty() || !claim_released)
    {
        bool const is_pending = !call.finished() || !call.attempts.empty();
        due_.set(id, is_pending ? call.next_due() : never);
        return;
    }
    claims_.forget(id);
    if (call.fetch)
        fetches_.erase(call.fetch->operation);
    due_.erase(id);
    calls_.erase(id);
}

std::size_t service_caller::implementation::in_progress() const
{
    std::size_t count = claims_.unwritten_outcomes();
    for (auto const& [id, call] : calls_)
    {
        bool const still_running = call.withdrawn && !call.attempts.empty() &&
                                   call.late_answer_deadline == never;
        if (!call.finished() || still_running)
            ++count;
    }
    return count;
}

service_counts service_caller::implementation::counts() const
{
    service_counts counts = counts_;
    counts.unwritten = claims_.unwritten_outcomes();
    return counts;
}

service_caller::service_caller(
    service_settings settings, safeguards const& checks, id_source& ids,
    std::function<bool(vm_id const&, incarnation)> incarnation_ended)
    : implementation_(std::make_unique<implementation>(
          std::move(settings), checks, ids, std::move(incarnation_ended)))
{
}

service_caller::~service_caller() = default;

void service_caller::configure(std::shared_ptr<declaration const> configuration)
{
    implementation_->configure(std::move(configuration));
}

void service_caller::set_incarnation(incarnation vm_incarnation)
{
    implementation_->set_incarnation(vm_incarnation);
}

void service_caller::submit(service_request request, time_point now,
                            action_list& actions)
{
    implementation_->submit(std::move(request), now, actions);
}

void service_caller::withdraw(request_id const& request, time_point now,
                              action_list& actions)
{
    implementation_->withdraw(request, now, actions);
}

bool service_caller::knows(operation_id operation) const
{
    return implementation_->knows(operation);
}

bool service_caller::knows(attempt_id attempt) const
{
    return implementation_->knows(attempt);
}

void service_caller::on_table(table_reply const& reply, time_point now,
                              action_list& actions)
{
    implementation_->on_table(reply, now, actions);
}

void service_caller::on_object(object_reply const& reply, time_point now,
                               action_list& actions)
{
    implementation_->on_object(reply, now, actions);
}

void service_caller::on_answer(service_attempt_answer const& event,
                               time_point now, action_list& actions)
{
    implementation_->on_answer(event, now, actions);
}

void service_caller::on_failure(attempt_failure const& event, time_point now,
                                action_list& actions)
{
    implementation_->on_failure(event, now, actions);
}

void service_caller::tick(time_point now, action_list& actions)
{
    implementation_->tick(now, actions);
}

std::size_t service_caller::in_progress() const
{
    return implementation_->in_progress();
}

service_counts service_caller::counts() const
{
    return implementation_->counts();
}

} // namespace mulberry
