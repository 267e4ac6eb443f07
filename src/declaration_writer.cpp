// Writes the canonical text of a declaration.
#include "declaration_text.hpp"
#include "target_measure_text.hpp"

#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace mulberry
{
namespace
{

constexpr int max_significant_digits = 17;

/// The smallest number of significant digits that reads back as the same
/// number.
int significant_digits(double number)
{
    for (int digits = 1; digits < max_significant_digits; ++digits)
    {
        char text[32];
        auto const end = std::to_chars(text, text + sizeof text - 1, number,
                                       std::chars_format::general, digits);
        *end.ptr = '\0';
        if (std::strtod(text, nullptr) == number)
            return digits;
    }
    return max_significant_digits;
}

Json::Value number_json(std::size_t number)
{
    return Json::Value(static_cast<Json::UInt64>(number));
}

Json::Value worker_json(worker_declaration const& worker)
{
    Json::Value json(Json::objectValue);
    json["id"] = worker.id.str();
    json["base_model"] = worker.base_model.str();
    json["domain"] = worker.domain.str();
    json["url"] = worker.url;
    json["batch_slots"] = number_json(worker.batch_slots);
    json["adapter_slots"] = number_json(worker.adapter_slots);
    json["checks_fence"] = worker.checks_fence;
    return json;
}

Json::Value adapter_json(adapter_declaration const& adapter)
{
    Json::Value json(Json::objectValue);
    json["id"] = adapter.id.str();
    json["base_model"] = adapter.base_model.str();
    json["versions"] = Json::Value(Json::arrayValue);
    for (adapter_version const version : adapter.versions)
        json["versions"].append(number_json(version.value()));
    json["applications"] = Json::Value(Json::arrayValue);
    for (application_id const& application : adapter.applications)
        json["applications"].append(application.str());
    return json;
}

Json::Value ready_json(ready_declaration const& ready)
{
    Json::Value json(Json::objectValue);
    json["application"] = ready.application.str();
    json["adapter"] = ready.adapter.str();
    json["copies"] = number_json(ready.copies);
    return json;
}

Json::Value service_json(service_declaration const& service)
{
    Json::Value json(Json::objectValue);
    json["id"] = service.id.str();
    json["workers"] = Json::Value(Json::arrayValue);
    for (service_worker_declaration const& worker : service.workers)
    {
        Json::Value& entry = json["workers"].append(Json::objectValue);
        entry["id"] = worker.id.str();
        entry["domain"] = worker.domain.str();
        entry["url"] = worker.url;
    }
    json["rules"] = Json::Value(Json::arrayValue);
    for (call_rule const& rule : service.rules)
    {
        Json::Value& entry = json["rules"].append(Json::objectValue);
        if (!rule.method.empty())
            entry["method"] = rule.method;
        entry["path_prefix"] = rule.path_prefix;
        entry["repeatable"] = rule.repeatable;
    }
    return json;
}

Json::Value target_json(target_declaration const& target)
{
    using std::chrono::milliseconds;
    Json::Value json(Json::objectValue);
    json["application"] = target.application.str();
    json["measure"] = std::string(to_string(target.measure));
    json["share"] = target.share;
    if (target.measure == target_measure::answered_within)
        json["bound_ms"] = static_cast<Json::Int64>(
            std::chrono::floor<milliseconds>(target.bound).count());
    return json;
}

Json::Value store_json(store_declaration const& store)
{
    Json::Value json(Json::objectValue);
    json["loads_per_second"] = store.loads_per_second;
    json["loads_at_once"] = number_json(store.loads_at_once);
    return json;
}

Json::Value declaration_json(declaration const& value)
{
    Json::Value json(Json::objectValue);
    json["deployment"] = value.deployment;
    json["stall_weight"] = value.stall_weight;
    json["store"] = store_json(value.store);
    for (char const* list :
         {"workers", "adapters", "ready", "services", "targets"})
        json[list] = Json::Value(Json::arrayValue);
    for (auto const& [id, worker] : value.workers)
        json["workers"].append(worker_json(worker));
    for (auto const& [id, adapter] : value.adapters)
        json["adapters"].append(adapter_json(adapter));
    for (ready_declaration const& ready : value.ready)
        json["ready"].append(ready_json(ready));
    for (auto const& [id, service] : value.services)
        json["services"].append(service_json(service));
    for (target_declaration const& target : value.targets)
        json["targets"].append(target_json(target));
    return json;
}

int significant_digits(declaration const& value)
{
    int digits = std::max(significant_digits(value.stall_weight),
                          significant_digits(value.store.loads_per_second));
    for (target_declaration const& target : value.targets)
        digits = std::max(digits, significant_digits(target.share));
    return digits;
}

} // namespace

std::string write_declaration(declaration const& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    builder["precisionType"] = "significant";
    builder["precision"] = significant_digits(value);
    return Json::writeString(builder, declaration_json(value));
}

} // namespace mulberry
