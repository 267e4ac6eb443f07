#include "trial_plan.hpp"

#include "json_reader.hpp"

#include <algorithm>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;
using enum presence;

constexpr std::uint64_t most_things = 100'000;
constexpr double most_tokens = 1e6;
constexpr milliseconds longest{3'600'000};

void read_span(json_object& from, char const* key, duration& into,
               presence need)
{
    from.read_milliseconds(key, into, {milliseconds(0), longest}, need);
}

void read_tokens(json_document& document, json_object& from, char const* key,
                 token_count& into, presence need)
{
    from.read_object(
        key, need,
        [&](Json::Value const& value, std::string const& path)
        {
            json_object one(document, value, path);
            one.read_number("mean", into.mean, {0.0, most_tokens}, required);
            one.read_number("spread", into.spread, {0.0, 3.0}, optional);
            one.read_number("most", into.most, {1.0, most_tokens}, optional);
            one.refuse_unknown_keys();
        });
}

void read_engine(json_document& document, json_object& root,
                 engine_settings& into)
{
    root.read_object(
        "engine", optional,
        [&](Json::Value const& value, std::string const& path)
        {
            json_object one(document, value, path);
            one.read_count("batch", into.batch, {1, 4096}, optional);
            one.read_count("queue", into.queue, {0, 4096}, optional);
            double step = double(into.step.count());
            double more = double(into.step_a_request.count());
            double context = double(into.step_a_thousand_tokens.count());
            one.read_number("step_us", step, {1.0, 1e6}, optional);
            one.read_number("step_a_request_us", more, {0.0, 1e6}, optional);
            one.read_number("step_a_thousand_tokens_us", context, {0.0, 1e6},
                            optional);
            into.step = duration(static_cast<duration::rep>(step));
            into.step_a_request = duration(static_cast<duration::rep>(more));
            into.step_a_thousand_tokens =
                duration(static_cast<duration::rep>(context));
            one.read_number("read_tokens_a_ms", into.read_tokens_a_ms,
                            {0.01, 1e5}, optional);
            double kept = double(into.kept_tokens);
            one.read_number("kept_tokens", kept, {0.0, 1e9}, optional);
            into.kept_tokens = static_cast<std::uint64_t>(kept);
            one.read_count("adapter_slots", into.adapter_slots, {1, 4096},
                           optional);
            one.read_count("adapter_copies", into.adapter_copies,
                           {1, most_things}, optional);
            one.read_count("fetch_width", into.fetch_width, {1, most_things},
                           optional);
            read_span(one, "fetch_ms", into.fetch, optional);
            read_span(one, "fetch_of_copy_ms", into.fetch_of_copy, optional);
            one.refuse_unknown_keys();
        });
}

void read_kinds(json_document& document, json_object& root, trial_plan& plan)
{
    root.read_list(
        "kinds", required,
        [&](Json::Value const& value, std::string const& path)
        {
            json_object one(document, value, path);
            request_kind kind;
            one.read_name("name", kind.name, required);
            one.read_number("a_second", kind.a_second, {0.0, 1e6}, required);
            read_span(one, "objective_ms", kind.objective, required);
            read_span(one, "deadline_ms", kind.deadline, required);
            std::size_t priority = 0;
            one.read_count("priority", priority, {0, 9}, optional);
            kind.priority = static_cast<int>(priority);
            one.read_number("worth", kind.worth, {0.0, 1e3}, optional);
            one.read_number("late_worth", kind.late_worth, {0.0, 1e3},
                            optional);
            one.read_flag("resumable", kind.resumable, optional);
            read_tokens(document, one, "own_prompt", kind.own_prompt, required);
            read_tokens(document, one, "shared_prompt", kind.shared_prompt,
                        optional);
            one.read_count("shared_prompts", kind.shared_prompts,
                           {1, most_things}, optional);
            read_tokens(document, one, "answer", kind.answer, required);
            one.refuse_unknown_keys();
            plan.kinds.push_back(std::move(kind));
        });
}

void read_disturbances(json_document& document, json_object& root,
                       trial_plan& plan)
{
    root.read_list(
        "disturbances", optional,
        [&](Json::Value const& value, std::string const& path)
        {
            json_object one(document, value, path);
            disturbance made;
            std::string kind = "burst";
            one.read_choice("kind", kind, {"burst", "crash", "popularity"},
                            required);
            made.kind = kind == "burst"   ? disturbance_kind::burst
                        : kind == "crash" ? disturbance_kind::crash
                                          : disturbance_kind::popularity;
            read_span(one, "at_ms", made.at, required);
            read_span(one, "for_ms", made.length, optional);
            one.read_text("of", made.of, optional);
            one.read_number("times", made.times, {0.0, 100.0}, optional);
            one.read_number("share", made.share, {0.0, 1.0}, optional);
            bool const known = made.of.empty() ||
                               std::any_of(plan.kinds.begin(), plan.kinds.end(),
                                           [&made](request_kind const& each)
                                           { return each.name == made.of; });
            if (!known)
                one.add_fault("of", "no kind has that name");
            one.refuse_unknown_keys();
            plan.disturbances.push_back(std::move(made));
        });
}

} // namespace

std::variant<trial_plan, std::vector<text_fault>>
parse_trial_plan(std::string_view text, std::string const& file)
{
    json_document document(text, file);
    if (!document.well_formed())
        return document.faults();
    trial_plan plan;
    json_object root(document, document.root(), "");
    root.read_name("name", plan.name, required);
    root.read_count("domains", plan.domains, {1, 1000}, optional);
    root.read_count("vms", plan.vms, {1, most_things}, required);
    plan.owners = plan.vms;
    root.read_count("owners", plan.owners, {1, most_things}, optional);
    root.read_count("workers", plan.workers, {1, most_things}, required);
    root.read_count("adapters", plan.adapters, {1, 1'000'000}, required);
    root.read_number("zipf", plan.zipf, {0.0, 5.0}, optional);
    read_span(root, "length_ms", plan.length, optional);
    root.read_flag("by_objective", plan.by_objective, optional);
    read_engine(document, root, plan.engine);
    read_kinds(document, root, plan);
    read_disturbances(document, root, plan);
    if (plan.owners > plan.vms)
        root.add_fault("owners", "there are not so many VMs");
    root.refuse_unknown_keys();
    if (!document.sound())
        return document.faults();
    return plan;
}

} // namespace mulberry
