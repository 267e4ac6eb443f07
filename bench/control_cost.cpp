/// What control messages and configurations cost, and how that grows: bytes
/// and processor time of a hint by workers and residents, of a forwarded
/// request, and of a declaration by adapters.
#include "adapter_ref.hpp"
#include "declaration_text.hpp"
#include "json_text.hpp"
#include "peer_codec.hpp"

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace
{

using namespace mulberry;
using bench_clock = std::chrono::steady_clock;

constexpr std::size_t repeats = 200;
constexpr std::size_t adapters_an_application = 100;

template <class Work>
double microseconds_each(std::size_t times, Work work)
{
    auto const begin = bench_clock::now();
    for (std::size_t n = 0; n < times; ++n)
        work();
    std::chrono::duration<double, std::micro> const spent =
        bench_clock::now() - begin;
    return spent.count() / static_cast<double>(times);
}

ownership_hint hint_of(std::size_t workers, std::size_t residents)
{
    ownership_hint hint;
    hint.life = incarnation(7);
    hint.configuration = config_version(123);
    for (std::size_t w = 0; w < workers; ++w)
    {
        worker_view worker;
        worker.id = worker_id(fmt::format("loglm-{:02}", w));
        worker.running = 5;
        for (std::size_t r = 0; r < residents; ++r)
        {
            resident_view resident;
            resident.adapter = adapter_ref(
                adapter_id(fmt::format("shift-notes-{:04}", w * 8 + r)),
                adapter_version(2));
            worker.residents.push_back(resident);
        }
        hint.workers.push_back(std::move(worker));
    }
    return hint;
}

void measure_hint(std::size_t workers, std::size_t residents)
{
    peer_message const message = hint_of(workers, residents);
    std::string const text = to_text(peer_message_json(message));
    double const written = microseconds_each(
        repeats, [&] { to_text(peer_message_json(message)); });
    double const read = microseconds_each(
        repeats, [&] { parse_peer_message(*from_text(text)); });
    fmt::print("hint      workers {:3} residents {:2}: {:6} bytes, write "
               "{:7.1f} us, read {:7.1f} us\n",
               workers, residents, text.size(), written, read);
}

void measure_forward()
{
    model_request request;
    request.id = request_id("entry-1-0a1b2c3d-1234.1");
    request.adapter =
        adapter_ref(adapter_id("shift-notes-0042"), adapter_version(2));
    request.base_model = base_model_id("loglm-base");
    request.application = application_id("shift-summaries");
    request.body = std::make_shared<std::string const>(
        fmt::format("{{\"prompt\":\"{}\"}}", std::string(1000, 'x')));
    time_point const now{};
    std::string const text = forwarded_text(request, now);
    double const written =
        microseconds_each(repeats, [&] { forwarded_text(request, now); });
    double const read =
        microseconds_each(repeats, [&] { parse_forwarded(text, now); });
    fmt::print("forward   body {} bytes: {} bytes, write {:.1f} us, read "
               "{:.1f} us\n",
               request.body->size(), text.size(), written, read);
}

declaration declaration_of(std::size_t adapters)
{
    declaration value;
    value.deployment = "measured";
    base_model_id const model("base");
    worker_declaration worker;
    worker.id = worker_id("worker-01");
    worker.base_model = model;
    worker.domain = domain_id("domain-a");
    worker.url = "http://127.0.0.1:9000/worker-01";
    value.workers.emplace(worker.id, worker);
    for (std::size_t n = 0; n < adapters; ++n)
    {
        adapter_declaration adapter;
        adapter.id = adapter_id(fmt::format("shift-notes-{:05}", n));
        adapter.base_model = model;
        adapter.versions = {adapter_version(1), adapter_version(2)};
        adapter.applications = {application_id(
            fmt::format("application-{}", n / adapters_an_application))};
        value.adapters.emplace(adapter.id, adapter);
    }
    return value;
}

void measure_declaration(std::size_t adapters)
{
    std::string const text = write_declaration(declaration_of(adapters));
    std::size_t const before = mallinfo2().uordblks;
    auto const begin = bench_clock::now();
    auto const parsed = parse_declaration(text, "measured");
    std::chrono::duration<double, std::milli> const spent =
        bench_clock::now() - begin;
    std::size_t const held = mallinfo2().uordblks - before;
    if (!std::holds_alternative<declaration>(parsed))
    {
        fmt::print("declaration of {} adapters has faults: {}\n", adapters,
                   std::get<1>(parsed).front().str());
        return;
    }
    double const digest = microseconds_each(1, [&] { digest_of(text); }) / 1000;
    fmt::print("declaration adapters {:6}: {:8} bytes, read {:6.1f} ms, "
               "digest {:5.1f} ms, held {:5.0f} bytes an adapter\n",
               adapters, text.size(), spent.count(), digest,
               static_cast<double>(held) / static_cast<double>(adapters));
}

} // namespace

int main()
{
    for (std::size_t const workers : {0UL, 1UL, 3UL, 6UL, 18UL})
        for (std::size_t const residents : {0UL, 4UL, 8UL})
            measure_hint(workers, residents);
    measure_forward();
    for (std::size_t const adapters : {3000UL, 6000UL, 18000UL, 30000UL})
        measure_declaration(adapters);
}
