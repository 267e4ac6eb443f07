#include "configuration_cluster.hpp"

#include "configuration_row.hpp"
#include "declaration_text.hpp"

#include <algorithm>

namespace mulberry::tests
{
namespace
{

using namespace std::chrono_literals;

constexpr duration tick_interval = 100ms;
constexpr duration registration_interval = 500ms;
/// A confirm must be answered by this long after its deadline.
constexpr duration answer_grace = 5s;

std::string make_declaration(std::uint64_t ticket)
{
    declaration value;
    value.deployment = "deployment-" + std::to_string(ticket);
    return write_declaration(value);
}

} // namespace

configuration_cluster::configuration_cluster(std::size_t vms,
                                             std::uint64_t seed,
                                             promise_rules const& rules,
                                             safeguards const& checks,
                                             configuration_settings settings)
    : random_(seed), settings_(std::move(settings)), rules_(rules),
      checks_(checks), vms_(vms)
{
    // Version 1 is written before the VMs start.
    std::string const text = make_declaration(0);
    std::string const digest = digest_of(text);
    objects_[declaration_key(digest)] = text;
    transact first;
    first.transaction.writes = {
        {configuration_key(),
         write_configuration_row({row_version(), "first", config_version(1),
                                  digest, declaration_key(digest)})}};
    apply(first);
    now_ += 1s;
    for (std::size_t vm = 0; vm < vms; ++vm)
    {
        vms_[vm].id = vm_id("vm-" + std::to_string(vm));
        at(now_ + random_duration(0ms, 1s), [this, vm] { start_vm(vm); });
    }
}

void configuration_cluster::at(time_point when, std::function<void()> run)
{
    events_.push({std::max(when, now_), ++order_, std::move(run)});
}

void configuration_cluster::run_until(time_point end)
{
    while (!events_.empty() && events_.top().at <= end)
    {
        event const next = events_.top();
        events_.pop();
        now_ = next.at;
        next.run();
    }
    now_ = end;
}

bool configuration_cluster::chance(unsigned percent)
{
    return random_() % 100 < percent;
}

duration configuration_cluster::random_duration(duration min, duration max)
{
    auto const range = static_cast<std::uint64_t>((max - min).count()) + 1;
    return min + duration(static_cast<duration::rep>(random_() % range));
}

void configuration_cluster::add_violation(std::string const& what)
{
    if (std::find(violations_.begin(), violations_.end(), what) ==
        violations_.end())
        violations_.push_back(what);
}

std::size_t configuration_cluster::count_knowing()
{
    return static_cast<std::size_t>(
        std::count_if(vms_.begin(), vms_.end(),
                      [this](virtual_vm const& vm)
                      { return vm.keeper && vm.keeper->is_known(now_); }));
}

std::size_t configuration_cluster::count_at_version(config_version version)
{
    return static_cast<std::size_t>(std::count_if(
        vms_.begin(), vms_.end(),
        [version](virtual_vm const& vm)
        { return vm.keeper && vm.keeper->version() == version; }));
}

// Input for a paused VM is delivered when it resumes, as from socket buffers;
// input for an earlier incarnation is lost.
void configuration_cluster::run_in_vm(std::size_t index,
                                      incarnation incarnation_number,
                                      vm_action const& what)
{
    virtual_vm& vm = vms_[index];
    if (vm.incarnation_number != incarnation_number)
        return;
    if (now_ < vm.paused_until)
    {
        at(vm.paused_until, [this, index, incarnation_number, what]
           { run_in_vm(index, incarnation_number, what); });
        return;
    }
    action_list actions;
    what(vm, actions);
    perform(index, actions);
    for (configuration_event const& said : vm.keeper->take_events())
        if (auto const* settled = std::get_if<confirm_settled>(&said))
            on_settled(index, *settled);
    check_vm(index);
}

void configuration_cluster::start_vm(std::size_t index)
{
    virtual_vm& vm = vms_[index];
    incarnation const incarnation_number(vm.incarnation_number.value() + 1);
    vm.incarnation_number = incarnation_number;
    vm.registered = false;
    configuration_settings settings = settings_;
    settings.vm = vm.id;
    settings.seed = random_();
    vm.ids = std::make_unique<id_source>();
    vm.keeper = std::make_unique<configuration_keeper>(settings, checks_,
                                                       *vm.ids, rules_);
    run_in_vm(index, incarnation_number,
              [this](virtual_vm& self, action_list& actions)
              { self.keeper->start(now_, actions); });
    tick_vm(index, incarnation_number);
    register_vm(index, incarnation_number);
}

void configuration_cluster::tick_vm(std::size_t index,
                                    incarnation incarnation_number)
{
    run_in_vm(index, incarnation_number,
              [this, index, incarnation_number](virtual_vm& self,
                                                action_list& actions)
              {
                  self.keeper->tick(now_, actions);
                  at(now_ + tick_interval, [this, index, incarnation_number]
                     { tick_vm(index, incarnation_number); });
              });
}

// Members are read from table rows: a VM registers, and learns of the new
// incarnations of others, only while it reaches the table.
void configuration_cluster::register_vm(std::size_t index,
                                        incarnation incarnation_number)
{
    if (vms_[index].incarnation_number != incarnation_number)
        return;
    at(now_ + registration_interval, [this, index, incarnation_number]
       { register_vm(index, incarnation_number); });
    if (!reaches_table(index) || now_ < vms_[index].paused_until)
        return;
    vms_[index].registered = true;
    std::vector<std::pair<vm_id, incarnation>> members;
    for (virtual_vm const& vm : vms_)
        members.emplace_back(
            vm.id, vm.registered
                       ? vm.incarnation_number
                       : incarnation(vm.incarnation_number.value() - 1));
    run_in_vm(index, incarnation_number,
              [&](virtual_vm& self, action_list&)
              { self.keeper->set_members(members, incarnation_number, now_); });
}

bool configuration_cluster::reaches_table(std::size_t vm) const
{
    return now_ >= vms_[vm].table_cut_until;
}

void configuration_cluster::add(fault const& planned)
{
    at(planned.at, [this, planned] { begin_fault(planned); });
}

void configuration_cluster::begin_fault(fault const& what)
{
    virtual_vm& vm = vms_[what.vm];
    time_point const end = now_ + what.length;
    switch (what.kind)
    {
    case fault_kind::confirm:
        begin_confirm(what.vm);
        break;
    case fault_kind::cut_table:
        vm.table_cut_until = std::max(vm.table_cut_until, end);
        break;
    case fault_kind::cut_table_of_all:
        for (virtual_vm& each : vms_)
            each.table_cut_until = std::max(each.table_cut_until, end);
        break;
    case fault_kind::pause:
        vm.paused_until = std::max(vm.paused_until, end);
        break;
    case fault_kind::restart:
        vm.paused_until = time_point();
        start_vm(what.vm);
        break;
    case fault_kind::isolate:
        vm.isolated_until = end;
        break;
    case fault_kind::slow_messages:
        vm.slow_until = end;
        break;
    case fault_kind::lose_answers:
        vm.losing_answers_until = end;
        break;
    case fault_kind::delay_writes:
        vm.delaying_writes_until = end;
        break;
    case fault_kind::corrupt_objects:
        objects_corrupt_until_ = end;
        break;
    }
}

void configuration_cluster::begin_confirm(std::size_t index)
{
    virtual_vm const& vm = vms_[index];
    if (vm.keeper == nullptr || now_ < vm.paused_until)
        return;
    std::uint64_t const ticket = ++tickets_;
    std::string const text = make_declaration(ticket);
    std::string const digest = digest_of(text);
    confirms_[ticket] = {digest, vm.incarnation_number, index,
                         now_ + settings_.confirm_timeout + answer_grace};
    run_in_vm(index, vm.incarnation_number,
              [&](virtual_vm& self, action_list& actions)
              {
                  self.keeper->confirm(ticket, self.keeper->version(), digest,
                                       text, now_, actions);
              });
}

void configuration_cluster::perform(std::size_t vm, action_list const& actions)
{
    for (action const& each : actions)
    {
        if (auto const* order = std::get_if<transact>(&each))
            perform_transact(vm, *order);
        else if (auto const* row = std::get_if<read_row>(&each))
            perform_read(vm, *row);
        else if (auto const* wanted = std::get_if<fetch_object>(&each))
            perform_fetch(vm, *wanted);
        else if (auto const* object = std::get_if<store_object>(&each))
            perform_store(vm, *object);
        else if (auto const* message = std::get_if<send_peer_message>(&each))
            perform_send(vm, *message);
    }
}

void configuration_cluster::answer(std::size_t vm,
                                   incarnation incarnation_number,
                                   table_reply reply, time_point when)
{
    at(when,
       [this, vm, incarnation_number, reply = std::move(reply)]
       {
           // A call gets one reply: the table's answer, or unreachable at the
           // deadline.
           bool const first =
               answered_.emplace(vm, incarnation_number, reply.operation)
                   .second;
           if (!first)
               return;
           run_in_vm(vm, incarnation_number,
                     [this, reply](virtual_vm& self, action_list& actions)
                     { self.keeper->on_table(reply, now_, actions); });
       });
}

void configuration_cluster::answer(std::size_t vm,
                                   incarnation incarnation_number,
                                   object_reply reply, time_point when)
{
    at(when,
       [this, vm, incarnation_number, reply = std::move(reply)]
       {
           run_in_vm(vm, incarnation_number,
                     [this, reply](virtual_vm& self, action_list& actions)
                     { self.keeper->on_object(reply, now_, actions); });
       });
}

void configuration_cluster::perform_transact(std::size_t vm,
                                             transact const& order)
{
    incarnation const incarnation_number = vms_[vm].incarnation_number;
    bool const writes = !order.transaction.writes.empty();
    counts_.reads += writes ? 0 : 1;
    answer(vm, incarnation_number,
           {order.operation, table_outcome::unreachable, {}}, order.deadline);
    if (!reaches_table(vm) || chance(1))
        return;
    duration delay = random_duration(1ms, 30ms);
    if (writes && now_ < vms_[vm].delaying_writes_until)
        delay += random_duration(0ms, 9s);
    at(now_ + delay,
       [this, vm, incarnation_number, order, writes]
       {
           table_reply const reply = apply(order);
           bool const loses = writes && now_ < vms_[vm].losing_answers_until;
           if (reaches_table(vm) && !loses)
               answer(vm, incarnation_number, reply,
                      now_ + random_duration(1ms, 30ms));
       });
}

// A stale read. Used only when a test disables the rule against stale reads.
void configuration_cluster::perform_read(std::size_t vm, read_row const& order)
{
    ++counts_.reads;
    table_reply reply{order.operation, table_outcome::unreachable, {}};
    if (reaches_table(vm))
    {
        time_point const seen = now_ - random_duration(0ms, 5s);
        reply.outcome = table_outcome::done;
        for (auto const& [since, state] : rows_[order.key])
            if (since <= seen || reply.rows.empty())
                reply.rows = {{order.key, state.version, state.value}};
    }
    answer(vm, vms_[vm].incarnation_number, reply,
           now_ + random_duration(1ms, 60ms));
}

table_reply configuration_cluster::apply(transact const& order)
{
    table_reply reply{order.operation, table_outcome::done, {}};
    for (table_condition const& condition : order.transaction.conditions)
    {
        auto const& states = rows_[condition.key];
        row_state const state =
            states.empty() ? row_state() : states.back().second;
        if (!state.version.none())
            reply.rows.push_back({condition.key, state.version, state.value});
        if (state.version != condition.version)
            reply.outcome = table_outcome::conflict;
    }
    if (reply.outcome == table_outcome::conflict)
        return reply;
    row_version const version(++last_row_version_);
    for (table_write const& write : order.transaction.writes)
    {
        rows_[write.key].push_back({now_, {version, *write.value}});
        if (write.key != configuration_key())
            continue;
        auto const row = find_configuration_row(
            {{write.key, version, *write.value}}, write.key);
        if (row->version.value() == history_.size() + 1)
            history_.push_back(row->digest);
        else if (row->version.value() != history_.size() ||
                 row->digest != history_.back())
            add_violation("the row went from version " +
                          std::to_string(history_.size()) + " to " +
                          std::to_string(row->version.value()));
    }
    return reply;
}

void configuration_cluster::perform_fetch(std::size_t vm,
                                          fetch_object const& order)
{
    object_reply reply{order.operation, object_outcome::absent, {}};
    auto const found = objects_.find(order.key);
    if (found != objects_.end())
        reply = {order.operation, object_outcome::done, found->second};
    if (now_ < objects_corrupt_until_)
        reply = chance(50)
                    ? object_reply{order.operation, object_outcome::done, "{"}
                    : object_reply{order.operation, object_outcome::absent, {}};
    // Some fetches are slow, so that a later version's object may arrive first.
    duration const max_delay = chance(20) ? duration(1s) : duration(30ms);
    answer(vm, vms_[vm].incarnation_number, reply,
           now_ + random_duration(1ms, max_delay));
}

void configuration_cluster::perform_store(std::size_t vm,
                                          store_object const& order)
{
    objects_[order.key] = *order.bytes;
    answer(vm, vms_[vm].incarnation_number,
           object_reply{order.operation, object_outcome::done, {}},
           now_ + random_duration(1ms, 30ms));
}

void configuration_cluster::perform_send(std::size_t from,
                                         send_peer_message const& order)
{
    ++counts_.messages;
    auto const is_target = [&](virtual_vm const& vm)
    { return vm.id == order.to; };
    auto const found = std::find_if(vms_.begin(), vms_.end(), is_target);
    auto const to = static_cast<std::size_t>(found - vms_.begin());
    bool const isolated =
        now_ < vms_[from].isolated_until || now_ < found->isolated_until;
    bool const hint = std::holds_alternative<configuration_hint>(order.message);
    if (isolated || chance(3) || (hint && drops_hints_))
        return;
    std::size_t const copies = chance(5) ? 2 : 1;
    for (std::size_t copy = 0; copy < copies; ++copy)
    {
        bool const slow = copy > 0 || now_ < vms_[from].slow_until;
        duration const delay = random_duration(1ms, slow ? 3s : 10ms);
        at(now_ + delay,
           [this, from, to, message = order.message]
           {
               run_in_vm(to, vms_[to].incarnation_number,
                         [this, from, message](virtual_vm& self,
                                               action_list& actions) {
                             self.keeper->on_peer(vms_[from].id, message, now_,
                                                  actions);
                         });
           });
    }
}

void configuration_cluster::on_settled(std::size_t vm,
                                       confirm_settled const& settled)
{
    answers_.push_back(settled);
    requested_confirm& request = confirms_.at(settled.ticket);
    if (std::exchange(request.settled, true))
        add_violation("a confirm was answered twice");
    if (auto const* version = std::get_if<config_version>(&settled.result))
    {
        ++counts_.confirmed;
        if (!acknowledged_.emplace(*version, now_).second)
            add_violation("one version was reported to two operators");
        if (version->value() > history_.size() ||
            history_[version->value() - 1] != request.digest)
            add_violation("a version was reported that was not written");
        return;
    }
    auto const& why = std::get<error>(settled.result);
    request.refused = why.request_ran() == ran::no;
    ++(request.refused ? counts_.refused : counts_.unknown);
    bool const late =
        now_ > request.answer_deadline && now_ >= vms_[vm].paused_until;
    if (late && vms_[vm].paused_until + answer_grace < now_)
        add_violation("a confirm was answered late");
}

void configuration_cluster::check_vm(std::size_t index)
{
    virtual_vm& vm = vms_[index];
    config_version const version = vm.keeper->version();
    if (!version.none())
    {
        if (version < vm.highest)
            add_violation("a VM went back to an older version");
        vm.highest = std::max(vm.highest, version);
    }
    if (!vm.keeper->is_known(now_))
        return;
    bool const going_on = vm.keeper->going_on_without_table(now_);
    if (going_on && !acknowledged_.empty() &&
        version < acknowledged_.rbegin()->first)
        add_violation(
            "a VM continues without the table with a replaced version");
    for (auto const& [confirmed, when] : acknowledged_)
        if (version < confirmed && when + settings_.staleness_bound < now_)
            add_violation("a VM takes a replaced version for the current one");
}

void configuration_cluster::check_history()
{
    for (auto const& [ticket, request] : confirms_)
    {
        bool const written = std::find(history_.begin(), history_.end(),
                                       request.digest) != history_.end();
        if (request.refused && written)
            add_violation("a refused change took effect");
        bool const alive =
            vms_[request.vm].incarnation_number == request.incarnation_number;
        if (alive && !request.settled && request.answer_deadline < now_ &&
            vms_[request.vm].paused_until + answer_grace < now_)
            add_violation("a confirm was never answered");
    }
}

void configuration_cluster::check_recovery()
{
    for (std::size_t index = 0; index < vms_.size(); ++index)
    {
        if (vms_[index].keeper->version() != written())
            add_violation("a VM has not loaded the newest version");
        if (!vms_[index].keeper->is_known(now_))
            add_violation("a VM does not know whether its version is current");
    }
}

} // namespace mulberry::tests
