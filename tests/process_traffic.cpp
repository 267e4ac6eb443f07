#include "process_traffic.hpp"

#include "process_wait.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <stdexcept>
#include <utility>

namespace mulberry_test
{
namespace
{

constexpr unsigned model_threads = 6;
constexpr std::size_t max_attempts = 6;
constexpr std::chrono::milliseconds pause_after_error{50};
constexpr std::chrono::milliseconds watch_interval{50};

/// Picks an adapter's index with a skewed popularity: low indices are requested
/// often, high ones rarely.
std::size_t skewed_index(std::mt19937& random, std::size_t count)
{
    std::uniform_real_distribution<double> even(0.0, 1.0);
    double const place = even(random);
    return std::min(count - 1, static_cast<std::size_t>(
                                   place * place * static_cast<double>(count)));
}

std::string outcome(received_answer const& seen)
{
    if (!seen.over())
        return "in progress";
    if (answered_whole(seen))
        return "whole";
    auto const what = error_in(seen);
    return what.kind.empty() ? "connection lost"
                             : what.kind + " ran " + what.ran;
}

} // namespace

template <class Call>
caller_registry::request_ptr
caller_registry::send(Call const& call, std::deque<sent_request<Call>>& list)
{
    auto request = std::make_shared<request_in_progress>();
    std::lock_guard const lock(mutex_);
    recorded<Call> what{
        call, {}, caller_end::waited, leaving_.contains(call.vm)};
    mulberry::http_call made = to_http(call);
    auto const gives_up_at = made.deadline;
    auto const sent_at = std::chrono::steady_clock::now();
    list.push_back({what, request, client_.start(std::move(made), request),
                    gives_up_at, sent_at});
    return request;
}

caller_registry::request_ptr caller_registry::send(model_call const& call)
{
    return send(call, model_calls_);
}

caller_registry::request_ptr
caller_registry::send(plain_service_call const& call)
{
    return send(call, service_calls_);
}

template <class Call>
bool caller_registry::close(std::deque<sent_request<Call>>& list,
                            request_ptr const& request)
{
    auto const found = std::find_if(list.begin(), list.end(),
                                    [&](sent_request<Call> const& each)
                                    { return each.request == request; });
    if (found == list.end())
        return false;
    found->what.end = caller_end::went_away;
    client_.cancel(found->handle);
    request->on_failure(mulberry::call_stage::sent, "the caller disconnected");
    return true;
}

void caller_registry::disconnect(request_ptr const& request)
{
    std::lock_guard const lock(mutex_);
    if (!close(model_calls_, request))
        close(service_calls_, request);
}

void caller_registry::mark_leaving(std::string const& vm)
{
    std::lock_guard const lock(mutex_);
    leaving_.insert(vm);
}

template <class Call>
void caller_registry::write(std::deque<sent_request<Call>>& list,
                            std::vector<recorded<Call>>& out)
{
    for (sent_request<Call>& each : list)
    {
        each.what.seen = each.request->wait();
        received_answer const& seen = each.what.seen;
        if (seen.failed && seen.over_at >= each.gives_up_at)
            each.what.end = caller_end::gave_up;
        if (!each.what.seen.not_sent)
            out.push_back(each.what);
    }
}

void caller_registry::write_to(process_record& record)
{
    write(model_calls_, record.model_calls);
    write(service_calls_, record.service_calls);
}

std::string caller_registry::outcome_counts()
{
    std::map<std::string, std::size_t> counts;
    std::lock_guard const lock(mutex_);
    for (auto const& each : model_calls_)
        ++counts[each.what.call.vm + " " + outcome(each.request->seen())];
    std::string text;
    for (auto const& [what, count] : counts)
        text += fmt::format("{}: {}\n", what, count);
    return text;
}

std::string caller_registry::slow_requests()
{
    using seconds = std::chrono::duration<double>;
    auto const now = std::chrono::steady_clock::now();
    std::string text;
    std::lock_guard const lock(mutex_);
    for (auto const& each : model_calls_)
    {
        auto const seen = each.request->seen();
        seconds const taken = (seen.over() ? seen.over_at : now) - each.sent_at;
        if (taken > seconds(1))
            text += fmt::format(
                "{:.1f} s, from {:.1f} s on, {} {}: {}\n", taken.count(),
                seconds(each.sent_at - started_at_).count(), each.what.call.vm,
                each.what.call.adapter, outcome(seen));
    }
    return text;
}

scenario::scenario(deployment_options const& options) : world_(options)
{
    std::vector<std::size_t> all;
    for (std::size_t index = 0; index < options.vms; ++index)
        all.push_back(index);
    send_traffic_to(all);
}

scenario::~scenario()
{
    stop_traffic();
    if (std::getenv("MULBERRY_SHOW_LOGS") != nullptr)
        std::cerr << "== outcomes\n"
                  << outcome_counts() << "== slow requests\n"
                  << registry_.slow_requests();
}

void scenario::send_traffic_to(std::vector<std::size_t> const& vms)
{
    std::lock_guard const lock(mutex_);
    targets_.clear();
    for (std::size_t const index : vms)
        targets_.push_back({world_.vm(index).name, world_.vm(index).callers});
}

std::vector<scenario::target> scenario::targets()
{
    std::lock_guard const lock(mutex_);
    return targets_;
}

scenario::target scenario::pick(std::mt19937& random)
{
    auto const all = targets();
    return all[random() % all.size()];
}

void scenario::start_traffic()
{
    for (unsigned seed = 1; seed <= model_threads; ++seed)
        threads_.emplace_back([this, seed] { send_model_calls(seed); });
    threads_.emplace_back([this] { send_unrepeatable_calls(); });
    threads_.emplace_back([this] { watch_versions(); });
}

void scenario::send_model_calls(unsigned seed)
{
    std::mt19937 random(seed);
    auto const& adapters = world_.adapters();
    for (std::size_t number = 1; !stop_; ++number)
    {
        target const to = pick(random);
        model_call call;
        call.vm = to.name;
        call.address = to.callers;
        call.adapter = adapters[skewed_index(random, adapters.size())];
        call.prompt = fmt::format("note {} of caller {}", number, seed);
        call.tokens = 4 + random() % 30;
        call.streamed = random() % 2 == 0;
        call.chat = random() % 4 == 0;
        if (answered_whole(registry_.send(call)->wait()))
            ++answers_;
        else
            std::this_thread::sleep_for(pause_after_error);
    }
}

void scenario::send_unrepeatable_calls()
{
    std::mt19937 random(model_threads + 1);
    for (std::size_t number = 1; !stop_; ++number)
    {
        plain_service_call call;
        call.key = fmt::format("permit-{}", number);
        // A retry may reach any VM, as behind a load balancer.
        for (std::size_t tries = 0; tries < max_attempts && !stop_; ++tries)
        {
            target const to = pick(random);
            call.vm = to.name;
            call.address = to.callers;
            auto const seen = registry_.send(call)->wait();
            if (seen.status == 200 && seen.ended)
            {
                ++unrepeatable_answers_;
                break;
            }
            std::this_thread::sleep_for(pause_after_error);
        }
    }
}

void scenario::watch_versions()
{
    auto const all = targets();
    mulberry::http_client client;
    while (!stop_)
    {
        for (target const& one : all)
        {
            mulberry::http_call call;
            call.url = "http://" + one.callers + "/metrics";
            call.deadline =
                std::chrono::steady_clock::now() + std::chrono::seconds(1);
            auto const page = client.call_and_wait(std::move(call));
            // Another process may listen at the address of a killed VM.
            if (was_killed(one.callers))
                continue;
            constexpr std::string_view name =
                "\nmulberry_configuration_version{";
            auto const place = page.body.find(name);
            if (page.status != 200 || place == std::string::npos)
                continue;
            auto const value = page.body.find("} ", place) + 2;
            record_.versions[one.name + " " + one.callers].push_back(
                std::stoull(page.body.substr(value)));
        }
        std::this_thread::sleep_for(watch_interval);
    }
}

bool scenario::wait_for_answers(std::size_t count)
{
    std::size_t const wanted = answers_ + count;
    return eventually([&] { return answers_ >= wanted; });
}

bool scenario::wait_for_unrepeatable_calls(std::size_t count)
{
    std::size_t const wanted = unrepeatable_answers_ + count;
    return eventually([&] { return unrepeatable_answers_ >= wanted; });
}

void scenario::stop_traffic()
{
    stop_ = true;
    for (std::thread& each : threads_)
        each.join();
    threads_.clear();
}

model_call scenario::call_to(std::size_t vm, std::string const& adapter)
{
    model_call call;
    call.vm = world_.vm(vm).name;
    call.address = world_.vm(vm).callers;
    call.adapter = adapter;
    call.prompt = "asked for alone";
    return call;
}

plain_service_call scenario::unrepeatable_call_to(std::size_t vm,
                                                  std::string const& key)
{
    plain_service_call call;
    call.vm = world_.vm(vm).name;
    call.address = world_.vm(vm).callers;
    call.key = key;
    return call;
}

void scenario::kill_vm(std::size_t vm)
{
    record_.killed.insert(world_.vm(vm).name);
    {
        std::lock_guard const lock(mutex_);
        killed_addresses_.insert(world_.vm(vm).callers);
    }
    world_.kill_vm(vm);
}

bool scenario::was_killed(std::string const& callers)
{
    std::lock_guard const lock(mutex_);
    return killed_addresses_.contains(callers);
}

void scenario::freeze_vm(std::size_t vm)
{
    record_.frozen.insert(world_.vm(vm).name);
    world_.vm(vm).process->freeze();
}

bool scenario::wait_until_owner(std::size_t vm)
{
    return eventually([&] { return !world_.status(vm)["workers"].empty(); });
}

bool scenario::await_refusal_of_new_work(std::size_t vm)
{
    bool const refused = eventually(
        [&]
        {
            auto const seen =
                registry_.send(call_to(vm, world_.adapters().front()))->wait();
            return seen.not_sent || error_in(seen).kind == "draining";
        });
    registry_.mark_leaving(world_.vm(vm).name);
    return refused;
}

std::string scenario::outcome_counts()
{
    return registry_.outcome_counts();
}

std::vector<finding> scenario::finish()
{
    bool const watched = !threads_.empty();
    stop_traffic();
    if (watched && record_.versions.empty())
        throw std::runtime_error("no VM exported its configuration version");
    registry_.write_to(record_);
    record_.engine_events = world_.engine_history();
    record_.service_events = world_.service_history();
    return findings(record_);
}

} // namespace mulberry_test
