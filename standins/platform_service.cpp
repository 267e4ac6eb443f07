#include "platform_service.hpp"

#include "json_text.hpp"

namespace mulberry::standins
{
namespace
{

/// Burst of the table's rate limits, in seconds at the full rate.
constexpr double burst_seconds = 0.25;

constexpr std::string_view objects_path = "/objects/";
constexpr std::string_view weights_path = "/weights/";
constexpr std::string_view vms_path = "/vms/";

steady_time now()
{
    return std::chrono::steady_clock::now();
}

Json::Value to_json(table_row const& row, bool with_value)
{
    Json::Value json;
    json["key"] = row.key;
    json["version"] = Json::UInt64(row.version);
    if (with_value)
        json["value"] = row.value ? Json::Value(*row.value) : Json::Value();
    return json;
}

Json::Value to_json(std::vector<table_row> const& rows, bool with_value)
{
    Json::Value json(Json::arrayValue);
    for (table_row const& row : rows)
        json.append(to_json(row, with_value));
    return json;
}

std::string text_member(Json::Value const& object, char const* name)
{
    if (!object[name].isString())
        throw bad_request(std::string("missing or not a string: ") + name);
    return object[name].asString();
}

void set_duration(Json::Value const& order, char const* name,
                  std::chrono::milliseconds& duration)
{
    if (order.isMember(name))
        duration = std::chrono::milliseconds(order[name].asUInt());
}

} // namespace

platform_service::platform_service(platform_limits const& limits,
                                   standin_loop& loop)
    : loop_(loop), write_bucket_(limits.writes_per_second,
                                 limits.writes_per_second * burst_seconds),
      read_bucket_(limits.reads_per_second,
                   limits.reads_per_second * burst_seconds),
      gate_(limits.weights), weights_timer_(loop, [this] { finish_weights(); })
{
}

void platform_service::handle(standin_request const& request)
{
    if (handle_control(request))
        return;
    std::string const& path = request.http.path;
    if (path.starts_with("/table/"))
        handle_table(request);
    else if (path.starts_with(objects_path))
        handle_objects(request);
    else if (path.starts_with(weights_path))
        handle_weights(request);
    else if (path == "/vms")
        list_vms(request);
    else
        request.answer->respond(error_reply(404, "no_such_path"));
}

bool platform_service::handle_control(standin_request const& request)
{
    std::string const& path = request.http.path;
    if (path == "/control")
    {
        control(parse_object(request.http.body));
        request.answer->respond(json_response(200, "{}"));
    }
    else if (path == "/stats")
        request.answer->respond(stats());
    else if (path.starts_with(vms_path))
        register_vm(request);
    else
        return false;
    return true;
}

void platform_service::control(Json::Value const& order)
{
    if (order.isMember("down"))
        set_down(order);
    if (order.isMember("weights_down"))
        part_is_down_[static_cast<std::size_t>(part::weights)] =
            order["weights_down"].asBool();
    faults_.set(order);
    set_duration(order, "slow_ms", response_delay_);
    set_duration(order, "read_lag_ms", read_lag_);
    set_duration(order, "list_lag_ms", list_lag_);
    set_duration(order, "delay_writes_ms", write_delay_);
    if (!order.isMember("weights_slow_factor"))
        return;
    double const factor = order["weights_slow_factor"].asDouble();
    if (factor <= 0)
        throw bad_request("weights_slow_factor must be above 0");
    gate_.slow_down(now(), factor);
    finish_weights();
}

platform_service::part platform_service::part_named(std::string const& name)
{
    if (name == "table")
        return part::table;
    if (name == "objects")
        return part::objects;
    if (name == "weights")
        return part::weights;
    if (name == "list")
        return part::list;
    throw bad_request("unknown part of the platform");
}

void platform_service::set_down(Json::Value const& order)
{
    bool const down = order["down"].asBool();
    if (order.isMember("part"))
        part_is_down_[static_cast<std::size_t>(
            part_named(order["part"].asString()))] = down;
    else
        part_is_down_.fill(down);
}

http_response platform_service::stats() const
{
    Json::Value json;
    json["reads"] = Json::UInt64(statistics_.reads);
    json["writes"] = Json::UInt64(statistics_.writes);
    json["conflicts"] = Json::UInt64(statistics_.conflicts);
    json["throttled"] = Json::UInt64(statistics_.throttled);
    json["loads"] = Json::UInt64(statistics_.loads);
    json["refused_loads"] = Json::UInt64(statistics_.refused_loads);
    return reply(200, json);
}

void platform_service::register_vm(standin_request const& request)
{
    row_write change{request.http.path.substr(vms_path.size()), std::nullopt};
    if (request.http.method == "PUT")
    {
        std::string const state =
            text_member(parse_object(request.http.body), "state");
        if (state != "live" && state != "leaving")
            throw bad_request("unknown VM state");
        change.value = state;
    }
    else if (request.http.method != "DELETE")
        throw bad_request("the method must be PUT or DELETE");
    vms_.transact({}, {change}, now());
    request.answer->respond(json_response(200, "{}"));
}

void platform_service::handle_table(standin_request const& request)
{
    if (is_down(part::table))
        return request.answer->abort();
    if (request.http.path == "/table/transact")
        transact(request);
    else if (request.http.path == "/table/row")
        read_row(request);
    else if (request.http.path == "/table/scan")
        scan(request);
    else
        request.answer->respond(error_reply(404, "no_such_path"));
}

platform_service::transaction
platform_service::parse_transaction(std::string const& body)
{
    Json::Value const json = parse_object(body);
    transaction wanted;
    for (Json::Value const& condition : json["conditions"])
        wanted.conditions.push_back(
            {text_member(condition, "key"), condition["version"].asUInt64()});
    for (Json::Value const& write : json["writes"])
    {
        row_write change{text_member(write, "key"), std::nullopt};
        if (!write["value"].isNull())
            change.value = text_member(write, "value");
        wanted.writes.push_back(std::move(change));
    }
    return wanted;
}

void platform_service::transact(standin_request const& request)
{
    transaction wanted = parse_transaction(request.http.body);
    bool const admitted = wanted.writes.empty()
                              ? admit_read()
                              : admit_writes(wanted.writes.size());
    if (!admitted)
        return answer(part::table, request.answer,
                      error_reply(429, "too_many_requests"));
    if (write_delay_.count() == 0 || wanted.writes.empty())
        return apply(wanted, request.answer);
    loop_.after(write_delay_,
                [this, wanted = std::move(wanted), answer = request.answer]
                { apply(wanted, answer); });
}

void platform_service::apply(transaction const& wanted,
                             answer_ptr const& answer)
{
    transact_result const result =
        table_.transact(wanted.conditions, wanted.writes, now());
    if (!result.applied)
        ++statistics_.conflicts;
    bool const wrote = result.applied && !wanted.writes.empty();
    if (wrote && faults_.take("lose_answers"))
        return answer->abort();
    Json::Value json;
    json["outcome"] = result.applied ? "applied" : "conflict";
    json["rows"] = to_json(result.rows, !wrote);
    this->answer(part::table, answer, reply(result.applied ? 200 : 409, json));
}

void platform_service::read_row(standin_request const& request)
{
    std::optional<std::string> const key = request.http.parameter("key");
    if (!key)
        throw bad_request("a key is required");
    if (!admit_read())
        return answer(part::table, request.answer,
                      error_reply(429, "too_many_requests"));
    auto const row = table_.read(*key, now() - read_lag_);
    answer(part::table, request.answer,
           row ? reply(200, to_json(*row, true))
               : error_reply(404, "no_such_row"));
}

void platform_service::scan(standin_request const& request)
{
    if (!admit_read())
        return answer(part::table, request.answer,
                      error_reply(429, "too_many_requests"));
    Json::Value json;
    json["rows"] =
        to_json(table_.scan(request.http.parameter("prefix").value_or(""),
                            now() - read_lag_),
                true);
    answer(part::table, request.answer, reply(200, json));
}

void platform_service::handle_objects(standin_request const& request)
{
    if (is_down(part::objects))
        return request.answer->abort();
    bool const put = request.http.method == "PUT";
    if (!(put ? admit_writes(1) : admit_read()))
        return answer(part::objects, request.answer,
                      error_reply(429, "too_many_requests"));
    std::string const key =
        percent_decode(request.http.path.substr(objects_path.size()));
    if (put)
    {
        objects_[key] = request.http.body;
        return answer(part::objects, request.answer, json_response(200, "{}"));
    }
    auto const found = objects_.find(key);
    if (found == objects_.end())
        return answer(part::objects, request.answer,
                      error_reply(404, "no_such_object"));
    http_response response;
    response.headers.add("Content-Type", "application/octet-stream");
    response.body = found->second;
    answer(part::objects, request.answer, std::move(response));
}

void platform_service::handle_weights(standin_request const& request)
{
    if (is_down(part::weights))
        return request.answer->abort();
    std::optional<load_id> const id = gate_.start(now());
    if (!id)
    {
        ++statistics_.refused_loads;
        return answer(part::weights, request.answer,
                      error_reply(429, "too_many_loads"));
    }
    ++statistics_.loads;
    loads_.emplace(*id, request.answer);
    finish_weights();
}

void platform_service::finish_weights()
{
    for (load_id id : gate_.finished(now()))
    {
        auto const load = loads_.extract(id);
        answer(part::weights, load.mapped(),
               json_response(200, R"({"weights":"ok"})"));
    }
    weights_timer_.set(gate_.next_finish());
}

void platform_service::list_vms(standin_request const& request)
{
    if (is_down(part::list))
        return request.answer->abort();
    Json::Value json;
    json["vms"] = Json::Value(Json::arrayValue);
    for (table_row const& row : vms_.scan("", now() - list_lag_))
    {
        Json::Value vm;
        vm["id"] = row.key;
        vm["state"] = *row.value;
        json["vms"].append(vm);
    }
    answer(part::list, request.answer, reply(200, json));
}

bool platform_service::admit_writes(std::size_t rows)
{
    if (!write_bucket_.take(now(), static_cast<double>(rows)))
    {
        ++statistics_.throttled;
        return false;
    }
    statistics_.writes += rows;
    return true;
}

bool platform_service::admit_read()
{
    if (!read_bucket_.take(now()))
    {
        ++statistics_.throttled;
        return false;
    }
    ++statistics_.reads;
    return true;
}

bool platform_service::is_down(part where) const
{
    return part_is_down_[static_cast<std::size_t>(where)];
}

void platform_service::answer(part where, answer_ptr const& answer,
                              http_response response)
{
    if (is_down(where))
        return answer->abort();
    if (response_delay_.count() == 0)
        return answer->respond(std::move(response));
    loop_.after(response_delay_,
                [this, where, answer, response = std::move(response)]
                {
                    if (is_down(where))
                        answer->abort();
                    else
                        answer->respond(response);
                });
}

} // namespace mulberry::standins
