#include "rejection_guard.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

worker_id const worker("w");
time_point const start{1h};
/// Falls that are allowed while a worker is brittle.
constexpr std::size_t max_falls = 2;

std::vector<vm_id> vms(std::size_t count)
{
    std::vector<vm_id> made;
    for (std::size_t number = 0; number < count; ++number)
        made.emplace_back("vm-" + std::to_string(number));
    return made;
}

rejection_guard guard_of(std::size_t number, std::size_t count)
{
    rejection_guard made(vms(count).at(number), number + 1);
    made.set_vms(vms(count));
    return made;
}

struct latency
{
    duration notice = 10ms;
    duration rejection = 5ms;
};

/// VMs that always have requests for one worker, in steps of a millisecond.
class brittle_fleet
{
public:
    brittle_fleet(std::size_t vm_count, std::uint32_t tolerated,
                  std::size_t room, std::uint32_t seed = 1,
                  latency const& delays = {})
        : tolerated_(tolerated), room_(room), delays_(delays),
          outstanding_(vm_count), random_(seed)
    {
        for (std::size_t vm = 0; vm < vm_count; ++vm)
        {
            vms_.push_back(guard_of(vm, vm_count));
            vms_.back().on_answer(worker, tolerated, start, start);
        }
    }

    void set_room(std::size_t room) { room_ = room; }

    void run(duration time)
    {
        for (time_point const end = now_ + time; now_ < end; now_ += 1ms)
        {
            for (std::size_t step = 0; step < vms_.size(); ++step)
                if (random_() % 8 == 0)
                    send(random_() % vms_.size());
            if (now_ == restarts_at_)
                restart();
            end_requests();
            deliver();
            for (rejection_guard& each : vms_)
                each.update(now_);
        }
    }

    void restart()
    {
        for (rejection_guard& each : vms_)
            each.on_started(worker, now_);
    }

    /// How often the worker crashed since it rejected too many requests.
    std::size_t falls() const { return falls_; }

    std::size_t served() const { return served_; }

private:
    struct request
    {
        ticket_id ticket;
        std::size_t vm = 0;
        time_point ends{};
        bool rejected = false;
    };

    worker_room room_of(std::size_t vm) const
    {
        return {worker, slots, outstanding_[vm], false};
    }

    void send(std::size_t vm)
    {
        if (now_ < restarts_at_ || outstanding_[vm] >= slots ||
            !vms_[vm].may_send(room_of(vm), now_))
            return;
        ticket_id const ticket(++last_ticket_);
        vms_[vm].on_sent(ticket, room_of(vm), now_);
        ++outstanding_[vm];
        std::size_t const running = static_cast<std::size_t>(
            std::count_if(requests_.begin(), requests_.end(),
                          [](auto const& each) { return !each.rejected; }));
        bool const rejected = running >= room_;
        if (rejected)
            rejections_.push_back(now_);
        requests_.push_back({ticket, vm,
                             now_ + (rejected ? delays_.rejection : run_time),
                             rejected});
        while (!rejections_.empty() && rejections_.front() <= now_ - 1s)
            rejections_.pop_front();
        if (rejections_.size() > tolerated_)
            crash();
    }

    /// All connections end, those of rejected requests too.
    void crash()
    {
        ++falls_;
        rejections_.clear();
        restarts_at_ = now_ + 700ms;
        for (request const& each : requests_)
        {
            vms_[each.vm].on_given_up(each.ticket);
            --outstanding_[each.vm];
        }
        requests_.clear();
    }

    void end_requests()
    {
        for (request const& each : requests_)
        {
            if (each.ends > now_)
                continue;
            if (each.rejected)
                vms_[each.vm].on_rejected(each.ticket, room_of(each.vm), now_);
            else
                vms_[each.vm].on_accepted(each.ticket, now_);
            served_ += !each.rejected;
            --outstanding_[each.vm];
            for (rejection_notice const& notice : vms_[each.vm].take_notices())
                notices_.push_back({now_ + delays_.notice, each.vm, notice});
        }
        std::erase_if(requests_,
                      [this](auto const& each) { return each.ends <= now_; });
    }

    void deliver()
    {
        for (auto const& [at, from, notice] : notices_)
            if (at <= now_)
                for (std::size_t vm = 0; vm < vms_.size(); ++vm)
                    if (vm != from)
                        vms_[vm].on_notice(notice, room_of(vm), now_);
        std::erase_if(notices_, [this](auto const& each)
                      { return std::get<0>(each) <= now_; });
    }

    static constexpr std::size_t slots = 8;
    static constexpr duration run_time = 100ms;

    std::uint32_t tolerated_;
    std::size_t room_;
    latency delays_;
    std::vector<rejection_guard> vms_;
    std::vector<std::size_t> outstanding_;
    std::vector<request> requests_;
    std::vector<std::tuple<time_point, std::size_t, rejection_notice>> notices_;
    /// Rejections in the last second.
    std::deque<time_point> rejections_;
    std::size_t falls_ = 0;
    time_point restarts_at_{};
    std::size_t served_ = 0;
    std::uint64_t last_ticket_ = 0;
    std::minstd_rand random_;
    time_point now_ = start;
};

} // namespace

TEST_CASE("workers that are not brittle get all requests", "[rejections]")
{
    rejection_guard guard = guard_of(0, 3);
    CHECK(guard.may_send({worker, 8, 100, false}, start));
    guard.on_sent(ticket_id(1), {worker, 8, 100, false}, start);
    guard.on_rejected(ticket_id(1), {worker, 8, 100, false}, start);
    CHECK(guard.may_send({worker, 8, 100, false}, start));
    CHECK(guard.take_notices().empty());
    CHECK(guard.next_change(start) == never);
}

TEST_CASE("all VMs together fill the slots of a brittle worker", "[rejections]")
{
    for (std::size_t const count : {1, 3, 8, 12, 32})
    {
        std::size_t filled = 0;
        for (std::size_t number = 0; number < count; ++number)
        {
            rejection_guard guard = guard_of(number, count);
            // No sends beyond the share.
            guard.on_answer(worker, 0, start, start);
            std::size_t mine = 0;
            while (guard.may_send({worker, 8, mine, false}, start))
                ++mine;
            filled += mine;
        }
        CHECK(filled == 8);
    }
}

TEST_CASE("the owner of a brittle worker fills all its slots", "[rejections]")
{
    rejection_guard guard = guard_of(0, 5);
    guard.on_answer(worker, 0, start, start);
    CHECK(guard.may_send({worker, 8, 7, true}, start));
    CHECK_FALSE(guard.may_send({worker, 8, 8, true}, start));
}

TEST_CASE("a worker's statement ends with a later answer without it",
          "[rejections]")
{
    rejection_guard guard = guard_of(0, 2);
    CHECK(guard.on_answer(worker, 4, start, start + 10ms));
    CHECK_FALSE(guard.on_answer(worker, 4, start, start + 20ms));
    // Sent before the statement was heard, answered later.
    CHECK_FALSE(guard.on_answer(worker, std::nullopt, start, start + 30ms));
    CHECK(guard.tolerated_by(worker, start + 30ms) == 4U);
    CHECK(guard.on_answer(worker, std::nullopt, start + 40ms, start + 50ms));
    CHECK_FALSE(guard.tolerated_by(worker, start + 50ms));
    CHECK(guard.on_answer(worker, 3, start + 60ms, start + 70ms));
    CHECK(guard.tolerated_by(worker, start + 1min) == 3U);
    CHECK_FALSE(guard.tolerated_by(worker, start + 11min));
}

// Guards against taking a worker that starts again after its crash for a sound
// one until its first answer.
TEST_CASE("a worker that has not answered counts as brittle like the others",
          "[rejections]")
{
    rejection_guard guard = guard_of(0, 2);
    guard.on_answer(worker, 4, start, start);
    CHECK(guard.tolerated_by(worker_id("new"), start) == 4U);
    guard.on_answer(worker_id("new"), std::nullopt, start + 1ms, start + 2ms);
    CHECK_FALSE(guard.tolerated_by(worker_id("new"), start + 2ms));
    CHECK(guard.tolerated_by(worker, start + 2ms) == 4U);
}

TEST_CASE("a rejection stops all VMs from exceeding their shares",
          "[rejections]")
{
    rejection_guard guard = guard_of(0, 2);
    rejection_guard other = guard_of(1, 2);
    for (rejection_guard* each : {&guard, &other})
        each->on_answer(worker, 4, start, start);
    worker_room const full{worker, 8, 4, false};
    time_point const sent = start + 100ms;
    CHECK(guard.may_send(full, sent));
    guard.on_sent(ticket_id(1), full, sent);
    CHECK_FALSE(guard.may_send(full, sent));
    guard.on_rejected(ticket_id(1), full, sent + 5ms);
    CHECK_FALSE(guard.may_send(full, sent + 900ms));
    auto const notices = guard.take_notices();
    REQUIRE(notices == std::vector<rejection_notice>{{worker, 4, false}});
    CHECK(guard.others_at(worker) == std::vector<vm_id>{vm_id("vm-1")});
    CHECK(other.may_send(full, sent + 10ms));
    other.on_notice(notices.front(), full, sent + 10ms);
    CHECK_FALSE(other.may_send(full, sent + 900ms));
    CHECK(other.may_send({worker, 8, 3, false}, sent + 300ms));
    CHECK(other.next_change(sent + 10ms) > sent + 10ms);
    CHECK(other.may_send(full, sent + 5s));
}

TEST_CASE("rejections stay within what a brittle worker tolerates",
          "[.][brittle_fleet]")
{
    auto const [count, tolerated, room] =
        GENERATE(table<std::size_t, std::uint32_t, std::size_t>(
            {{3, 3, 8}, {3, 4, 12}, {7, 4, 10}, {12, 5, 12}, {24, 6, 12}}));
    auto const seed = GENERATE(range(1U, 21U));
    CAPTURE(count, tolerated, room, seed);
    brittle_fleet fleet(count, tolerated, room, seed);
    fleet.run(30s);
    CHECK(fleet.falls() == 0);
    // 80 requests a second fit into the slots.
    CHECK(fleet.served() >= 30 * 80 * 7 / 10);
}

// Guards against a request that was tried before a rejection and proves room
// after it.
TEST_CASE("a trial from before a rejection proves no room", "[rejections]")
{
    rejection_guard guard = guard_of(0, 2);
    guard.on_answer(worker, 4, start, start);
    worker_room const at_share{worker, 8, 4, false};
    time_point const sent = start + 1s;
    REQUIRE(guard.may_send(at_share, sent));
    guard.on_sent(ticket_id(1), at_share, sent);
    guard.on_notice({worker, 4, false}, at_share, sent + 10ms);
    guard.on_accepted(ticket_id(1), sent + 100ms);
    CHECK_FALSE(guard.may_send(at_share, sent + 110ms));
}

// Guards against every VM finding out for itself that the room is smaller than
// the listed slots.
TEST_CASE("rejections decrease when a worker has less room than slots",
          "[rejections]")
{
    brittle_fleet fleet(7, 4, 12);
    fleet.run(5s);
    fleet.set_room(4);
    fleet.run(20s);
    CHECK(fleet.falls() <= max_falls);
    CHECK(fleet.served() > 0);
}

// Guards against a worker that falls again at each start, since all VMs fill
// their shares there at once and a crash answers no rejections.
TEST_CASE("a worker that starts again with less room does not fall again",
          "[.][brittle_fleet]")
{
    auto const [count, tolerated] =
        GENERATE(table<std::size_t, std::uint32_t>({{3, 3}, {7, 4}, {12, 5}}));
    auto const seed = GENERATE(range(1U, 101U));
    CAPTURE(count, tolerated, seed);
    brittle_fleet fleet(count, tolerated, 12, seed, {40ms, 20ms});
    fleet.run(3s);
    fleet.set_room(4);
    fleet.run(8s);
    CHECK(fleet.falls() <= max_falls);
    CHECK(fleet.served() > 0);
}

// Guards against a share that stays small after a crash.
TEST_CASE("the slots of a worker that started again are used soon",
          "[rejections]")
{
    brittle_fleet fleet(3, 4, 12);
    fleet.run(5s);
    fleet.restart();
    fleet.run(1s);
    std::size_t const before = fleet.served();
    fleet.run(5s);
    CHECK(fleet.served() - before >= 5 * 80 * 7 / 10);
}
