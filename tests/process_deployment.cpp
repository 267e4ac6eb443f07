#include "process_deployment.hpp"

#include "json_rpc.hpp"
#include "process_caller.hpp"
#include "process_wait.hpp"

#include <fmt/format.h>
#include <json/writer.h>

#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace mulberry_test
{
namespace
{

constexpr std::size_t domain_count = 3;
constexpr char const* http = "http://";

std::string address_in(std::string const& listening,
                       std::string const& listener)
{
    std::istringstream words(listening);
    std::string word;
    while (words >> word)
        if (word == listener && words >> word)
            return word;
    throw std::runtime_error("no " + listener + " address in " + listening);
}

std::string without_scheme(std::string const& url)
{
    return url.substr(std::string(http).size());
}

void write_json(std::filesystem::path const& path, Json::Value const& value)
{
    std::ofstream(path) << Json::writeString(Json::StreamWriterBuilder(),
                                             value);
}

Json::Value listener()
{
    Json::Value value;
    value["address"] = "127.0.0.1";
    value["port"] = 0;
    return value;
}

std::string domain(std::size_t index)
{
    return fmt::format("domain-{}", index % domain_count + 1);
}

/// Sets times that are short enough for a quick test suite and long enough
/// that leases do not keep lapsing on a busy machine.
void add_times(Json::Value& settings)
{
    settings["lease_ms"] = 1500;
    settings["heartbeat_ms"] = 250;
    settings["configuration_poll_ms"] = 250;
    settings["configuration_bound_ms"] = 2000;
    settings["hint_interval_ms"] = 100;
    settings["load_report_interval_ms"] = 100;
    settings["progress_timeout_ms"] = 1000;
}

Json::Value declared_worker(std::string const& id, std::size_t index,
                            std::string const& url)
{
    Json::Value worker;
    worker["id"] = id;
    worker["domain"] = domain(index);
    worker["url"] = url;
    return worker;
}

Json::Value declared_service(std::string const& address)
{
    Json::Value service;
    service["id"] = "recordsvc";
    for (std::size_t index = 0; index < domain_count; ++index)
    {
        std::string const id = fmt::format("recordsvc-{}", index + 1);
        service["workers"].append(declared_worker(
            id, index, fmt::format("http://{}/{}", address, id)));
    }
    Json::Value once;
    once["path_prefix"] = "/permits";
    once["repeatable"] = false;
    service["rules"].append(once);
    return service;
}

Json::Value list_of(std::initializer_list<Json::Value> values)
{
    Json::Value list(Json::arrayValue);
    for (Json::Value const& value : values)
        list.append(value);
    return list;
}

Json::Value ready_entry(std::string const& adapter, int copies)
{
    Json::Value ready;
    ready["application"] = "summaries";
    ready["adapter"] = adapter;
    ready["copies"] = copies;
    return ready;
}

} // namespace

Json::Value order(char const* name, Json::Value const& value)
{
    Json::Value body;
    body[name] = value;
    return body;
}

scratch_folder::scratch_folder()
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "mulberry-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error(
            "cannot create a temporary directory for the test");
    path_ = pattern;
}

scratch_folder::~scratch_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

deployment::deployment(deployment_options const& options) : options_(options)
{
    for (std::size_t index = 0; index < options_.adapters; ++index)
        for (int version : {1, 2})
            adapters_.push_back(fmt::format("note-{}@{}", index + 1, version));
    start_standins();
    start_link();
    std::ofstream(folder_.path() / "key") << operators_key_ << "\n";
    for (std::size_t index = 0; index < options_.vms; ++index)
    {
        vms_.push_back(
            {fmt::format("entry-{}", index + 1), nullptr, "", "", ""});
        start_vm(index);
    }
    confirm(write_declaration("first"));
}

deployment::~deployment()
{
    if (std::getenv("MULBERRY_SHOW_LOGS") == nullptr)
        return;
    for (entry_vm const& each : vms_)
        std::cerr << "== " << each.name << "\n"
                  << each.process->output() << each.process->log();
}

void deployment::start_standins()
{
    auto const& folder = folder_.path();
    platform_ = std::make_unique<child_process>(
        std::vector<std::string>{FAKE_PLATFORM, "--loads-per-second", "60",
                                 "--loads-at-once", "8", "--load-time-ms",
                                 "20"},
        folder, "platform");
    platform_url_ = platform_->wait_for_address();
    engine_ = std::make_unique<child_process>(
        std::vector<std::string>{
            FAKE_ENGINE, "--workers", fmt::format("loglm:{}", options_.workers),
            "--base-model", "base", "--token-ms", "5", "--prefill-ms", "10",
            "--load-ms", "10", "--slots",
            std::to_string(options_.adapter_slots), "--report-lag-ms", "100",
            "--fence-every", "2", "--weights", platform_url_},
        folder, "engine");
    engine_url_ = engine_->wait_for_address();
    service_ = std::make_unique<child_process>(
        std::vector<std::string>{FAKE_SERVICE, "--workers", "recordsvc-1",
                                 "--workers", "recordsvc-2", "--workers",
                                 "recordsvc-3"},
        folder, "service");
    service_url_ = service_->wait_for_address();
}

void deployment::start_link()
{
    std::vector<std::string> command{
        FAKE_LINK, "--link", "engines=" + without_scheme(engine_url_), "--link",
        "services=" + without_scheme(service_url_)};
    for (std::size_t index = 0; index < options_.vms; ++index)
    {
        command.emplace_back("--link");
        command.push_back(fmt::format("platform-{}={}", index + 1,
                                      without_scheme(platform_url_)));
    }
    link_ = std::make_unique<child_process>(command, folder_.path(), "link");
    link_url_ = link_->wait_for_address();
    std::istringstream lines(link_->output());
    std::string word;
    while (lines >> word && word == "link")
    {
        std::string name;
        lines >> name >> links_[name];
    }
}

std::vector<std::string> deployment::vm_names() const
{
    std::vector<std::string> names;
    for (entry_vm const& each : vms_)
        names.push_back(each.name);
    return names;
}

std::filesystem::path deployment::write_settings(std::string const& name,
                                                 std::size_t index)
{
    std::string const platform =
        http + links_.at(fmt::format("platform-{}", index + 1));
    Json::Value settings;
    settings["vm"] = name;
    settings["domain"] = domain(index);
    settings["deployment"] = "pit-logbook";
    settings["callers"] = listener();
    settings["peers"] = listener();
    settings["operators"] = listener();
    settings["peers_key"] = "peers-key";
    settings["operators_key"] = operators_key_;
    settings["table_url"] = platform + "/table";
    settings["objects_url"] = platform + "/objects";
    settings["vms_url"] = platform + "/vms";
    settings["seed"] = Json::UInt64(index + 1);
    settings["max_body_bytes"] = 65536;
    add_times(settings);
    auto path = folder_.path() / (name + ".jsonc");
    write_json(path, settings);
    return path;
}

void deployment::start_vm(std::size_t index)
{
    entry_vm& one = vms_.at(index);
    set_in_list(one.name, "live");
    one.process = std::make_unique<child_process>(
        std::vector<std::string>{MULBERRYD, "--settings",
                                 write_settings(one.name, index)},
        folder_.path(), fmt::format("{}-{}", one.name, ++starts_));
    std::string const listening = one.process->wait_for_address();
    one.callers = address_in(listening, "callers");
    one.peers = address_in(listening, "peers");
    one.operators = address_in(listening, "operators");
}

void deployment::kill_vm(std::size_t index)
{
    vm(index).process->kill();
    exchange(client_, "DELETE", platform_url_ + "/vms/" + vm(index).name);
}

std::filesystem::path deployment::write_declaration(std::string const& change)
{
    Json::Value declared;
    declared["deployment"] = "pit-logbook";
    declared["store"]["loads_per_second"] = 60;
    declared["store"]["loads_at_once"] = 8;
    for (std::size_t index = 0; index < options_.workers; ++index)
    {
        std::string const id = fmt::format("loglm-{:02}", index + 1);
        Json::Value worker =
            declared_worker(id, index, http + links_.at("engines") + "/" + id);
        worker["base_model"] = "base";
        worker["adapter_slots"] = Json::UInt64(options_.adapter_slots);
        // The engines' option --fence-every 2.
        worker["checks_fence"] = index % 2 == 1;
        declared["workers"].append(worker);
    }
    for (std::size_t index = 0; index < options_.adapters; ++index)
    {
        Json::Value adapter;
        adapter["id"] = fmt::format("note-{}", index + 1);
        adapter["base_model"] = "base";
        adapter["versions"] = list_of({1, 2});
        adapter["applications"] = list_of({"summaries", "app-" + change});
        declared["adapters"].append(adapter);
    }
    declared["ready"].append(ready_entry(adapters_.at(0), 2));
    declared["ready"].append(ready_entry(adapters_.at(1), 1));
    declared["services"].append(declared_service(links_.at("services")));
    auto path = folder_.path() / (change + ".jsonc");
    write_json(path, declared);
    return path;
}

ctl_run deployment::ctl(std::vector<std::string> const& arguments)
{
    std::vector<std::string> command{MULBERRYCTL};
    command.insert(command.end(), arguments.begin(), arguments.end());
    for (entry_vm& each : vms_)
        if (each.process->running())
        {
            command.emplace_back("--operators");
            command.push_back(each.operators);
        }
    command.emplace_back("--key-file");
    command.push_back(folder_.path() / "key");
    child_process tool(command, folder_.path(),
                       fmt::format("ctl-{}", ++files_));
    int const status = tool.wait_for_end();
    return {status, tool.output(), tool.log()};
}

void deployment::confirm(std::filesystem::path const& declaration)
{
    std::string const plan = folder_.path() / "plan.json";
    std::uint64_t const before =
        status(0)["configuration"]["version"].asUInt64();
    ctl_run last;
    // A VM that has just started gives no promises yet, so a confirm may be
    // refused; a refused confirm changes nothing and is repeated.
    bool const done = eventually(
        [&]
        {
            last = ctl({"plan", declaration, "--output", plan});
            if (last.status == 0)
                last = ctl({"confirm", plan});
            return last.status == 0;
        });
    if (!done)
        throw std::runtime_error(
            "the declaration was not confirmed: " + last.output + last.errors);
    for (std::size_t index = 0; index < vms_.size(); ++index)
        if (!eventually([&] { return in_force(index, before + 1); }))
            throw std::runtime_error("the configuration is not in force on " +
                                     vm(index).name);
}

bool deployment::in_force(std::size_t index, std::uint64_t version)
{
    return status(index)["configuration"]["version"].asUInt64() >= version;
}

void deployment::control_platform(Json::Value const& order)
{
    exchange(client_, "POST", platform_url_ + "/control", order);
}

void deployment::control_engine(Json::Value const& order)
{
    exchange(client_, "POST", engine_url_ + "/control", order);
}

void deployment::control_service(Json::Value const& order)
{
    exchange(client_, "POST", service_url_ + "/control", order);
}

void deployment::control_link(Json::Value const& order)
{
    exchange(client_, "POST", link_url_ + "/control", order);
}

void deployment::set_in_list(std::string const& vm, std::string const& state)
{
    exchange(client_, "PUT", platform_url_ + "/vms/" + vm,
             order("state", state));
}

std::vector<Json::Value> deployment::history_of(std::string const& url)
{
    std::vector<Json::Value> events;
    std::string after = "0";
    while (true)
    {
        Json::Value const page = exchange(
            client_, "GET", fmt::format("{}/history?after={}", url, after));
        if (page["events"].empty())
            return events;
        for (Json::Value const& event : page["events"])
            events.push_back(event);
        after = events.back()["number"].asString();
    }
}

std::vector<Json::Value> deployment::engine_history()
{
    return history_of(engine_url_);
}

std::vector<Json::Value> deployment::service_history()
{
    return history_of(service_url_);
}

Json::Value deployment::rpc(std::size_t index, std::string const& method,
                            Json::Value const& parameters)
{
    mulberry::rpc_client listener(client_, http + vm(index).operators + "/rpc",
                                  operators_key_);
    return listener.call(method, parameters,
                         std::chrono::steady_clock::now() + generous_wait);
}

Json::Value deployment::status(std::size_t index)
{
    try
    {
        return rpc(index, "status", Json::objectValue)["vms"][0];
    }
    catch (mulberry::rpc_failure const&)
    {
        return {};
    }
}

bool deployment::ready(std::size_t index)
{
    mulberry::http_call call;
    call.url = http + vm(index).callers + "/readyz";
    call.deadline = std::chrono::steady_clock::now() + generous_wait;
    return client_.call_and_wait(std::move(call)).status == 200;
}

std::string deployment::metrics(std::size_t index)
{
    mulberry::http_call call;
    call.url = http + vm(index).callers + "/metrics";
    call.deadline = std::chrono::steady_clock::now() + generous_wait;
    return client_.call_and_wait(std::move(call)).body;
}

std::vector<Json::Value> deployment::timeline(std::size_t index)
{
    Json::Value ask;
    ask["limit"] = 10000;
    Json::Value const answer = rpc(index, "timeline", ask);
    return {answer["events"].begin(), answer["events"].end()};
}

} // namespace mulberry_test
