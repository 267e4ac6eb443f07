#include "http_platform_port.hpp"

#include "json_text.hpp"
#include "response_observer.hpp"
#include "shell_clock.hpp"

#include <memory>
#include <utility>

namespace mulberry
{
namespace
{

constexpr std::chrono::milliseconds list_timeout{1000};

table_row parse_row(Json::Value const& value)
{
    return {text_or(value, "key", ""),
            row_version(number_or(value, "version", 0)),
            text_or(value, "value", "")};
}

std::vector<table_row> parse_rows(Json::Value const& body)
{
    std::vector<table_row> rows;
    if (!body.isObject())
        return rows;
    if (body["rows"].isArray())
    {
        for (Json::Value const& one : body["rows"])
            rows.push_back(parse_row(one));
    }
    else if (body.isMember("key"))
        rows.push_back(parse_row(body));
    return rows;
}

/// Converts an answer of the table service. A missing or invalid answer gives
/// `unreachable`: the operation may have taken effect.
table_reply to_table_reply(operation_id operation,
                           collected_response const& response)
{
    table_reply reply{operation, table_outcome::unreachable, {}};
    if (response.status == 429)
    {
        reply.outcome = table_outcome::refused;
        return reply;
    }
    if (response.status == 404)
    {
        reply.outcome = table_outcome::done;
        return reply;
    }
    auto const body = from_text(response.body);
    if (!body || (response.status != 200 && response.status != 409))
        return reply;
    reply.outcome =
        response.status == 200 ? table_outcome::done : table_outcome::conflict;
    reply.rows = parse_rows(*body);
    return reply;
}

std::string transaction_text(table_transaction const& transaction,
                             std::string const& token)
{
    Json::Value body;
    body["token"] = token;
    body["conditions"] = Json::arrayValue;
    for (table_condition const& condition : transaction.conditions)
    {
        Json::Value one;
        one["key"] = condition.key;
        one["version"] = Json::UInt64(condition.version.value());
        body["conditions"].append(std::move(one));
    }
    body["writes"] = Json::arrayValue;
    for (table_write const& write : transaction.writes)
    {
        Json::Value one;
        one["key"] = write.key;
        one["value"] = write.value ? Json::Value(*write.value) : Json::Value();
        body["writes"].append(std::move(one));
    }
    return to_text(body);
}

object_reply to_object_reply(operation_id operation,
                             collected_response response)
{
    object_reply reply{operation, object_outcome::unreachable, {}};
    if (response.status == 404)
        reply.outcome = object_outcome::absent;
    else if (response.status >= 200 && response.status < 300)
    {
        reply.outcome = object_outcome::done;
        reply.bytes = std::move(response.body);
    }
    return reply;
}

std::vector<listed_vm> parse_vms(std::string const& text)
{
    std::vector<listed_vm> vms;
    auto const body = from_text(text);
    if (!body || !body->isObject())
        return vms;
    for (Json::Value const& one : (*body)["vms"])
        vms.push_back({vm_id(text_or(one, "id", "")),
                       text_or(one, "state", "live") == "leaving"});
    return vms;
}

} // namespace

http_platform_port::http_platform_port(platform_urls urls,
                                       std::string token_prefix,
                                       event_sink& sink)
    : urls_(std::move(urls)), token_prefix_(std::move(token_prefix)),
      sink_(&sink)
{
}

void http_platform_port::run(transact const& what)
{
    http_call call;
    call.method = "POST";
    call.url = urls_.table + "/transact";
    call.headers.add("Content-Type", "application/json");
    call.body = transaction_text(what.transaction,
                                 token_prefix_ + "-" +
                                     std::to_string(what.operation.value()));
    call.deadline = shell_clock::to_steady(what.deadline);
    // The client may retry a read. It must not retry a write: only the core can
    // determine from the rows whether the first attempt took effect.
    call.repeatable = what.transaction.writes.empty();
    table_client_.start(std::move(call),
                        std::make_shared<response_observer>(
                            [operation = what.operation,
                             sink = sink_](collected_response const& response) {
                                sink->post(to_table_reply(operation, response));
                            }));
}

void http_platform_port::read(operation_id operation, std::string url,
                              time_point deadline)
{
    http_call call;
    call.url = std::move(url);
    call.deadline = shell_clock::to_steady(deadline);
    call.repeatable = true;
    table_client_.start(
        std::move(call),
        std::make_shared<response_observer>(
            [operation, sink = sink_](collected_response const& response)
            { sink->post(to_table_reply(operation, response)); }));
}

void http_platform_port::run(read_row const& what)
{
    read(what.operation, urls_.table + "/row?key=" + percent_encode(what.key),
         what.deadline);
}

void http_platform_port::run(scan_rows const& what)
{
    read(what.operation,
         urls_.table + "/scan?prefix=" + percent_encode(what.prefix),
         what.deadline);
}

void http_platform_port::run(fetch_object const& what)
{
    http_call call;
    call.url = urls_.objects + "/" + what.key;
    call.deadline = shell_clock::to_steady(what.deadline);
    call.repeatable = true;
    object_client_.start(
        std::move(call),
        std::make_shared<response_observer>(
            [operation = what.operation,
             sink = sink_](collected_response response)
            { sink->post(to_object_reply(operation, std::move(response))); }));
}

void http_platform_port::run(store_object const& what)
{
    http_call call;
    call.method = "PUT";
    call.url = urls_.objects + "/" + what.key;
    call.body = *what.bytes;
    call.deadline = shell_clock::to_steady(what.deadline);
    // Objects are named by their content, so a write is idempotent.
    call.repeatable = true;
    object_client_.start(
        std::move(call),
        std::make_shared<response_observer>(
            [operation = what.operation,
             sink = sink_](collected_response response)
            { sink->post(to_object_reply(operation, std::move(response))); }));
}

void http_platform_port::request_vm_list()
{
    http_call call;
    call.url = urls_.vms;
    call.deadline = std::chrono::steady_clock::now() + list_timeout;
    call.repeatable = true;
    list_client_.start(std::move(call),
                       std::make_shared<response_observer>(
                           [sink = sink_](collected_response const& response)
                           {
                               // A list service that has just
                               // restarted returns an empty list. Using
                               // it would report every VM as gone.
                               auto vms = parse_vms(response.body);
                               if (response.status == 200 && !vms.empty())
                                   sink->post(vm_list_received{std::move(vms)});
                           }));
}

} // namespace mulberry
