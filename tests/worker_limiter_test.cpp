// Several VMs that keep workers' limits together, in virtual time.
#include "pooled_limiter.hpp"
#include "worker_limiter.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <set>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

worker_id const worker("w-1");
constexpr duration step = 10ms;

/// VMs that exchange messages within a step. A VM may be cut off from the
/// others.
class limiter_fleet
{
public:
    explicit limiter_fleet(std::size_t vms)
    {
        allotment_members members;
        members.count = vms;
        members.joined = true;
        for (std::size_t vm = 0; vm < vms; ++vm)
            members.candidates.push_back({name(vm), 1000});
        for (std::size_t vm = 0; vm < vms; ++vm)
        {
            limiters_.push_back(std::make_unique<worker_limiter>(
                name(vm), std::make_unique<pooled_limiter>(
                              name(vm), worker_limit_terms())));
            limiters_.back()->set_members(members, now);
        }
    }

    worker_limiter& vm(std::size_t index) { return *limiters_.at(index); }

    /// An answer of the worker to a request that was just sent.
    void answer(std::size_t at, std::optional<double> per_second)
    {
        now += step;
        vm(at).on_answer(worker, per_second, now - step / 2, now);
    }

    /// Lets time pass. Each of `senders` requests to send in each step.
    void pass(duration span, std::set<std::size_t> const& senders = {})
    {
        for (time_point const end = now + span; now < end; now += step)
        {
            for (std::size_t const sender : senders)
                vm(sender).request(ticket_id(++last_ticket_), worker, now + 1s,
                                   now);
            act();
        }
    }

    bool all_know(std::optional<double> per_second)
    {
        return std::all_of(limiters_.begin(), limiters_.end(),
                           [per_second](auto const& each)
                           { return each->limit_of(worker) == per_second; });
    }

    time_point now{100s};
    std::set<std::size_t> cut;
    std::size_t admitted = 0;
    std::size_t refused = 0;
    std::size_t messages = 0;
    duration last_retry_after{};

private:
    static vm_id name(std::size_t vm)
    {
        return vm_id(fmt::format("vm-{}", vm));
    }

    void act()
    {
        for (std::size_t vm = 0; vm < limiters_.size(); ++vm)
            for (auto actions = limiters_[vm]->run(now); !actions.empty();
                 actions = limiters_[vm]->run(now))
                for (worker_limit_action const& action : actions)
                    carry_out(vm, action);
    }

    void carry_out(std::size_t from, worker_limit_action const& action)
    {
        if (auto const* decision = std::get_if<send_decision>(&action))
        {
            ++(decision->admitted ? admitted : refused);
            last_retry_after = decision->retry_after;
            return;
        }
        auto const& ask = std::get<query_vm>(action);
        std::size_t to = 0;
        while (name(to) != ask.to)
            ++to;
        messages += from != to;
        bool const lost =
            from != to && (cut.count(from) > 0 || cut.count(to) > 0);
        limiters_[from]->on_reply(
            ask.number,
            lost ? std::nullopt
                 : std::optional(limiters_[to]->answer(ask.message, now)),
            now);
    }

    std::vector<std::unique_ptr<worker_limiter>> limiters_;
    std::uint64_t last_ticket_ = 0;
};

} // namespace

// Guards against messages and decisions that cost something while no worker is
// in need.
TEST_CASE("VMs exchange nothing while no worker names a limit",
          "[worker_limiter]")
{
    limiter_fleet fleet(3);
    fleet.answer(0, std::nullopt);
    fleet.pass(5s);
    CHECK(fleet.messages == 0);
    CHECK(fleet.vm(0).next_due() == never);
    CHECK(fleet.vm(0).usage().empty());
}

// Guards against shares that nobody uses: those of VMs without requests, which
// hear of no limit by themselves.
TEST_CASE("all VMs learn of a limit that one of them heard", "[worker_limiter]")
{
    limiter_fleet fleet(7);
    fleet.answer(5, 4.0);
    fleet.pass(1200ms);
    CHECK(fleet.all_know(4.0));
    std::size_t const before = fleet.admitted;
    fleet.pass(10s, {5});
    CHECK(double(fleet.admitted - before) >= 0.9 * 4.0 * 10);
    CHECK(double(fleet.admitted - before) <= 1.1 * 4.0 * 10 + 3);
}

TEST_CASE("all VMs learn of a changed limit and of its end", "[worker_limiter]")
{
    std::optional<double> const next =
        GENERATE(std::optional<double>(2.0), std::optional<double>(9.0),
                 std::optional<double>());
    limiter_fleet fleet(7);
    fleet.answer(5, 4.0);
    fleet.pass(2s, {5});
    fleet.answer(5, next);
    fleet.pass(2s, {5});
    CHECK(fleet.all_know(next));
}

TEST_CASE("the cost of a limit ends with it", "[worker_limiter]")
{
    limiter_fleet fleet(3);
    fleet.answer(0, 4.0);
    fleet.pass(2s, {0});
    fleet.answer(0, std::nullopt);
    fleet.pass(12s);
    std::size_t const before = fleet.messages;
    fleet.pass(5s);
    CHECK(fleet.messages == before);
    CHECK(fleet.vm(0).next_due() == never);
}

// Guards against VMs that take the whole limit for themselves while they hear
// nobody.
TEST_CASE("VMs that are cut off stay within the limit together",
          "[worker_limiter]")
{
    constexpr double per_second = 8;
    limiter_fleet fleet(7);
    fleet.answer(5, per_second);
    fleet.pass(3s, {0, 1, 2, 3, 4, 5, 6});
    fleet.cut = {1, 3, 5};
    std::size_t const before = fleet.admitted;
    fleet.pass(4s, {0, 1, 2, 3, 4, 5, 6});
    CHECK(double(fleet.admitted - before) <= 1.1 * per_second * 4 + 3);
}

TEST_CASE("a refused request is told when it is its turn", "[worker_limiter]")
{
    limiter_fleet fleet(2);
    fleet.answer(0, 2.0);
    fleet.pass(3s, {0});
    CHECK(fleet.refused > 0);
    CHECK(fleet.last_retry_after > duration(0));
    CHECK(fleet.last_retry_after <= 5s);
}

TEST_CASE("a withdrawn request gets no decision", "[worker_limiter]")
{
    limiter_fleet fleet(1);
    fleet.answer(0, 1.0);
    fleet.vm(0).request(ticket_id(1), worker, fleet.now + 1s, fleet.now);
    fleet.vm(0).withdraw(ticket_id(1));
    fleet.pass(2s);
    CHECK(fleet.admitted + fleet.refused == 0);
}
