#include "plan_diff.hpp"
#include "target_measure_text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace mulberry
{
namespace
{

/// The entries of one section of a declaration by their keys, each with its
/// fields and their values as text, so that single fields can be compared.
using field_list = std::vector<std::pair<std::string, std::string>>;
using entry_map = std::map<std::string, field_list>;

/// The version numbers, with consecutive ones as ranges: 1-9, 12.
std::string versions_text(std::set<adapter_version> const& versions)
{
    std::vector<std::string> runs;
    for (auto at = versions.begin(); at != versions.end();)
    {
        std::uint64_t const first = at->value();
        std::uint64_t last = first;
        while (++at != versions.end() && at->value() == last + 1)
            ++last;
        runs.push_back(first == last ? std::to_string(first)
                                     : fmt::format("{}-{}", first, last));
    }
    return fmt::format("{}", fmt::join(runs, ", "));
}

std::string applications_text(std::vector<application_id> const& applications)
{
    std::vector<std::string> names;
    names.reserve(applications.size());
    for (application_id const& application : applications)
        names.push_back(application.str());
    return fmt::format("{}", fmt::join(names, ", "));
}

entry_map worker_entries(declaration const& value)
{
    entry_map result;
    for (auto const& [id, worker] : value.workers)
        result[id.str()] = {
            {"base_model", worker.base_model.str()},
            {"domain", worker.domain.str()},
            {"url", worker.url},
            {"batch_slots", std::to_string(worker.batch_slots)},
            {"adapter_slots", std::to_string(worker.adapter_slots)},
            {"checks_fence", worker.checks_fence ? "true" : "false"}};
    return result;
}

entry_map adapter_entries(declaration const& value)
{
    entry_map result;
    for (auto const& [id, adapter] : value.adapters)
        result[id.str()] = {
            {"base_model", adapter.base_model.str()},
            {"versions", versions_text(adapter.versions)},
            {"applications", applications_text(adapter.applications)}};
    return result;
}

entry_map ready_entries(declaration const& value)
{
    entry_map result;
    for (ready_declaration const& ready : value.ready)
        result[ready.application.str() + "." + ready.adapter.str()] = {
            {"copies", std::to_string(ready.copies)}};
    return result;
}

entry_map service_worker_entries(service_declaration const& service)
{
    entry_map result;
    for (service_worker_declaration const& worker : service.workers)
        result[worker.id.str()] = {{"domain", worker.domain.str()},
                                   {"url", worker.url}};
    return result;
}

// The first matching rule decides whether a call may be repeated, so the order
// of the rules matters, and all rules are compared as one text.
std::string rules_text(service_declaration const& service)
{
    std::vector<std::string> items;
    for (call_rule const& rule : service.rules)
        items.push_back(
            fmt::format("{} {} {}", rule.method.empty() ? "any" : rule.method,
                        rule.path_prefix,
                        rule.repeatable ? "repeatable" : "not repeatable"));
    return fmt::format("{}", fmt::join(items, "; "));
}

entry_map service_entries(declaration const& value)
{
    entry_map result;
    for (auto const& [id, service] : value.services)
    {
        result[id.str()] = {{"rules", rules_text(service)}};
        for (auto const& [worker, entry_fields] :
             service_worker_entries(service))
            for (auto const& [field, text] : entry_fields)
                result[id.str()].emplace_back(
                    fmt::format("workers.{}.{}", worker, field), text);
    }
    return result;
}

entry_map target_entries(declaration const& value)
{
    using std::chrono::milliseconds;
    entry_map result;
    for (target_declaration const& target : value.targets)
    {
        auto const bound = std::chrono::floor<milliseconds>(target.bound);
        std::string key = target.application.str() + "." +
                          std::string(to_string(target.measure));
        if (target.measure == target_measure::answered_within)
            key += fmt::format(".{}ms", bound.count());
        result[key] = {{"share", fmt::format("{}", target.share)}};
    }
    return result;
}

entry_map root_entries(declaration const& value)
{
    if (value.deployment.empty()) // no declaration has been confirmed
        return {};
    return {
        {"deployment", {{"", value.deployment}}},
        {"stall_weight", {{"", fmt::format("{}", value.stall_weight)}}},
        {"store",
         {{"loads_per_second", fmt::format("{}", value.store.loads_per_second)},
          {"loads_at_once", std::to_string(value.store.loads_at_once)}}}};
}

std::string entry_text(field_list const& entry_fields)
{
    std::vector<std::string> items;
    for (auto const& [field, text] : entry_fields)
        if (!text.empty())
            items.push_back(field.empty() ? text
                                          : fmt::format("{} {}", field, text));
    return fmt::format("{}", fmt::join(items, ", "));
}

class declaration_differ
{
public:
    std::vector<plan_change> take() { return std::move(changes_); }

    void compare(std::string const& section, entry_map const& before,
                 entry_map const& after)
    {
        std::string const prefix = section.empty() ? "" : section + ".";
        for (auto const& [key, entry_fields] : before)
            if (after.count(key) == 0)
                add(plan_change::kind::removed, prefix + key,
                    entry_text(entry_fields), "");
        for (auto const& [key, entry_fields] : after)
        {
            auto const old = before.find(key);
            if (old == before.end())
                add(plan_change::kind::added, prefix + key, "",
                    entry_text(entry_fields));
            else
                compare_fields(prefix + key, old->second, entry_fields);
        }
    }

    void add(plan_change::kind what, std::string key, std::string before,
             std::string after)
    {
        changes_.push_back(
            {what, std::move(key), std::move(before), std::move(after)});
    }

private:
    void compare_fields(std::string const& key, field_list const& before,
                        field_list const& after)
    {
        if (before == after)
            return;
        std::map<std::string, std::string> const old(before.begin(),
                                                     before.end());
        std::map<std::string, std::string> const now(after.begin(),
                                                     after.end());
        for (auto const& [field, text] : old)
            if (now.count(field) == 0)
                add(plan_change::kind::removed, field_key(key, field), text,
                    "");
        for (auto const& [field, text] : now)
        {
            auto const other = old.find(field);
            if (other == old.end())
                add(plan_change::kind::added, field_key(key, field), "", text);
            else if (other->second != text)
                add(plan_change::kind::changed, field_key(key, field),
                    other->second, text);
        }
    }

    static std::string field_key(std::string const& key,
                                 std::string const& field)
    {
        return field.empty() ? key : key + "." + field;
    }

    std::vector<plan_change> changes_;
};

/// Ready adapters are placed in the order of the list, so a different order is
/// reported as a change too.
void compare_ready_order(declaration const& before, declaration const& after,
                         declaration_differ& changes)
{
    if (ready_entries(before) != ready_entries(after))
        return;
    auto const [old, now] =
        std::mismatch(before.ready.begin(), before.ready.end(),
                      after.ready.begin(), after.ready.end());
    if (old != before.ready.end() && now != after.ready.end())
        changes.add(plan_change::kind::changed,
                    fmt::format("ready[{}]", old - before.ready.begin()),
                    old->adapter.str(),
                    now->adapter.str() + " (order differs)");
}

} // namespace

std::vector<plan_change> diff_declarations(declaration const& before,
                                           declaration const& after)
{
    declaration_differ changes;
    changes.compare("", root_entries(before), root_entries(after));
    changes.compare("workers", worker_entries(before), worker_entries(after));
    changes.compare("adapters", adapter_entries(before),
                    adapter_entries(after));
    changes.compare("ready", ready_entries(before), ready_entries(after));
    compare_ready_order(before, after, changes);
    changes.compare("services", service_entries(before),
                    service_entries(after));
    changes.compare("targets", target_entries(before), target_entries(after));
    return changes.take();
}

} // namespace mulberry
