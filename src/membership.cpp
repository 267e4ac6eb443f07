#include "membership.hpp"

#include <utility>

namespace mulberry
{

membership::membership(duration delisted_after, ownership_rules const& rules)
    : delisted_after_(delisted_after), rules_(rules)
{
}

bool membership::store(table_row const& row)
{
    vm_id const vm = vm_of_key(row.key);
    if (!rules_.is_newer(version_of(vm), row.version))
        return true;
    auto parsed = parse_vm_row(row.value);
    bool const readable = parsed.has_value();
    adopt(vm, row.version, std::move(parsed));
    return readable;
}

void membership::store(vm_id const& vm, row_version version, vm_row const& row)
{
    if (rules_.is_newer(version_of(vm), version))
        adopt(vm, version, row);
}

void membership::adopt(vm_id const& vm, row_version version,
                       std::optional<vm_row> row)
{
    vm_row const* const before = row_of(vm);
    bool const was_ready = before != nullptr && before->ready;
    generation_ += was_ready != (row && row->ready);
    rows_[vm] = known_vm{version, std::move(row)};
    refresh_member(vm);
}

void membership::refresh_member(vm_id const& vm)
{
    vm_row const* const row = row_of(vm);
    auto const known = members_.find(vm);
    if (row == nullptr || !is_member(row->state))
    {
        std::size_t const erased = members_.erase(vm);
        changed_ |= erased > 0;
        generation_ += erased;
        return;
    }
    member_view view{
        vm,         row->incarnation_number, row->domain,     row->address,
        row->state, row->stands_by,          row->millicores, row->cut_off};
    if (known != members_.end() && known->second == view)
        return;
    members_[vm] = std::move(view);
    changed_ = true;
    ++generation_;
}

void membership::on_platform_list(std::vector<listed_vm> const& vms,
                                  time_point now)
{
    // An empty list means that the list is broken, not that all VMs are gone.
    // Using it would count running processes as ended.
    if (vms.empty())
        return;
    listed_.clear();
    std::set<vm_id> leaving;
    for (listed_vm const& each : vms)
    {
        listed_.insert(each.vm);
        if (each.leaving)
            leaving.insert(each.vm);
    }
    changed_ |= leaving != listed_leaving_;
    generation_ += leaving != listed_leaving_;
    listed_leaving_ = std::move(leaving);
    ever_listed_.insert(listed_.begin(), listed_.end());
    for (auto const& [vm, known] : rows_)
        update_delisted(vm, now);
    for (vm_id const& vm : ever_listed_)
        update_delisted(vm, now);
}

void membership::update_delisted(vm_id const& vm, time_point now)
{
    if (listed(vm))
    {
        delisted_at_.erase(vm);
        delisted_.erase(vm);
        return;
    }
    auto const delisted_at =
        delisted_at_.emplace(vm, now + delisted_after_).first->second;
    if (now >= delisted_at)
        delisted_.insert(vm);
}

bool membership::take_changed()
{
    return std::exchange(changed_, false);
}

row_version membership::version_of(vm_id const& vm) const
{
    auto const known = rows_.find(vm);
    return known == rows_.end() ? row_version() : known->second.version;
}

vm_row const* membership::row_of(vm_id const& vm) const
{
    auto const known = rows_.find(vm);
    if (known == rows_.end() || !known->second.row)
        return nullptr;
    return &*known->second.row;
}

member_view const* membership::member(vm_id const& vm) const
{
    auto const known = members_.find(vm);
    return known == members_.end() ? nullptr : &known->second;
}

std::map<vm_id, row_version> membership::member_versions() const
{
    std::map<vm_id, row_version> versions;
    for (auto const& [vm, view] : members_)
        versions[vm] = version_of(vm);
    return versions;
}

std::vector<vm_id> membership::assignable() const
{
    std::vector<vm_id> result;
    for (auto const& [vm, view] : members_)
    {
        bool const leaving = view.state == member_state::leaving ||
                             listed_leaving_.count(vm) > 0;
        if (!leaving && !view.stands_by && !view.cut_off && row_of(vm)->ready)
            result.push_back(vm);
    }
    return result;
}

std::vector<incarnation_id> membership::possibly_running() const
{
    std::vector<incarnation_id> result;
    for (auto const& [vm, known] : rows_)
        if (known.row && !has_stopped({vm, known.row->incarnation_number}))
            result.push_back({vm, known.row->incarnation_number});
    return result;
}

bool membership::is_current_member(incarnation_id const& who) const
{
    member_view const* const view = member(who.vm);
    return view != nullptr &&
           view->incarnation_number == who.incarnation_number;
}

bool membership::is_former_member(incarnation_id const& who) const
{
    auto const known = rows_.find(who.vm);
    if (known == rows_.end())
        return false;
    // A VM whose row became unreadable cannot renew it and registers a new
    // incarnation.
    auto const& row = known->second.row;
    if (!row || row->incarnation_number > who.incarnation_number)
        return true;
    return row->incarnation_number == who.incarnation_number &&
           !is_member(row->state);
}

bool membership::closed_cleanly(incarnation_id const& who) const
{
    return evidence_on(who).closed;
}

bool membership::has_stopped(incarnation_id const& who) const
{
    return rules_.has_stopped_sending(evidence_on(who));
}

process_evidence membership::evidence_on(incarnation_id const& who) const
{
    process_evidence evidence;
    vm_row const* const row = row_of(who.vm);
    // Rows are never deleted. If no row of this incarnation or a later one is
    // known, the newest row has not been read yet.
    if (row == nullptr || row->incarnation_number < who.incarnation_number)
        return evidence;
    bool const known_listed = ever_listed_.count(who.vm) > 0 || row->listed;
    evidence.delisted = known_listed && delisted_.count(who.vm) > 0;
    evidence.expired = !is_member(row->state);
    // The row's state describes only the process that wrote it. Whether an
    // earlier process of the VM has ended was recorded in ended_below when the
    // later process registered.
    bool const same_process =
        who.incarnation_number >= row->process_first_incarnation;
    evidence.closed = same_process && row->state == member_state::closed;
    evidence.address_reused = who.incarnation_number < row->ended_below;
    return evidence;
}

} // namespace mulberry
