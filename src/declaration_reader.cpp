// Reads and checks the text of a declaration.
#include "declaration_text.hpp"
#include "json_reader.hpp"
#include "target_measure_text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t max_series_count = 100'000;
constexpr std::uint64_t max_series_digits = 9;
constexpr std::uint64_t max_number = 1'000'000'000;
constexpr std::uint64_t max_slots = 4096;
constexpr std::uint64_t max_copies = 1000;
constexpr double min_loads_per_second = 0.001;
constexpr double max_loads_per_second = 100'000;
constexpr std::uint64_t max_loads_at_once = 10'000;
constexpr milliseconds max_target_bound{600'000};

/// The names PREFIX001, PREFIX002, ... of a series.
struct name_series
{
    std::string prefix;
    std::size_t first = 1;
    std::size_t count = 0;
    std::size_t digits = 1;

    std::string name(std::size_t number) const
    {
        return fmt::format("{}{:0{}}", prefix, number, digits);
    }
};

name_series read_series(json_object& object)
{
    name_series series;
    object.read_name("prefix", series.prefix, presence::required);
    object.read_count("first", series.first, {0, max_number},
                      presence::optional);
    object.read_count("count", series.count, {1, max_series_count},
                      presence::required);
    object.read_count("digits", series.digits, {1, max_series_digits},
                      presence::optional);
    if (!valid_name(series.name(series.first + series.count)))
        object.add_fault("prefix", "makes names longer than 128 characters");
    return series;
}

/// Replaces {id} by a worker's name and {n} by its number in a URL template.
std::string expand_url(std::string url, std::string const& id,
                       std::size_t number)
{
    for (auto const& [placeholder, text] :
         {std::pair<std::string_view, std::string>{"{id}", id},
          {"{n}", std::to_string(number)}})
    {
        for (auto at = url.find(placeholder); at != std::string::npos;
             at = url.find(placeholder, at + text.size()))
            url.replace(at, placeholder.size(), text);
    }
    return url;
}

class declaration_reader
{
public:
    declaration_reader(std::string_view text, std::string const& file)
        : document_(text, file)
    {
        if (document_.well_formed())
            read_root();
    }

    std::variant<declaration, std::vector<text_fault>> result() const
    {
        if (document_.sound())
            return value_;
        return document_.faults();
    }

private:
    // Workers are read first and adapters second, since all later sections
    // refer to workers or adapters.
    void read_root()
    {
        json_object root(document_, document_.root(), "");
        root.read_name("deployment", value_.deployment, presence::required);
        root.read_number("stall_weight", value_.stall_weight, {0, 1},
                         presence::optional);
        root.read_object("store", presence::required,
                         [this](auto const& json, auto const& path)
                         { read_store(json_object(document_, json, path)); });
        read_each(root, "workers", &declaration_reader::read_worker);
        read_each(root, "worker_series",
                  &declaration_reader::read_worker_series);
        read_each(root, "adapters", &declaration_reader::read_adapter);
        read_each(root, "adapter_series",
                  &declaration_reader::read_adapter_series);
        read_each(root, "ready", &declaration_reader::read_ready);
        read_each(root, "ready_series", &declaration_reader::read_ready_series);
        read_each(root, "services", &declaration_reader::read_service);
        read_each(root, "targets", &declaration_reader::read_target);
        root.refuse_unknown_keys();
    }

    void read_each(json_object& root, char const* key,
                   void (declaration_reader::*read)(json_object))
    {
        root.read_list(key, presence::optional,
                       [&](auto const& json, auto const& path)
                       { (this->*read)(json_object(document_, json, path)); });
    }

    void read_store(json_object object)
    {
        object.read_number("loads_per_second", value_.store.loads_per_second,
                           {min_loads_per_second, max_loads_per_second},
                           presence::required);
        object.read_count("loads_at_once", value_.store.loads_at_once,
                          {1, max_loads_at_once}, presence::required);
        object.refuse_unknown_keys();
    }

    /// Reads the fields that a worker and a series of workers share.
    static worker_declaration read_common_worker_fields(json_object& object)
    {
        worker_declaration worker;
        std::string base_model;
        std::string domain;
        object.read_name("base_model", base_model, presence::required);
        object.read_name("domain", domain, presence::required);
        object.read_count("batch_slots", worker.batch_slots, {1, max_slots},
                          presence::optional);
        object.read_count("adapter_slots", worker.adapter_slots, {1, max_slots},
                          presence::optional);
        object.read_flag("checks_fence", worker.checks_fence,
                         presence::optional);
        worker.base_model = base_model_id(base_model);
        worker.domain = domain_id(domain);
        return worker;
    }

    void read_worker(json_object object)
    {
        worker_declaration worker = read_common_worker_fields(object);
        std::string id;
        object.read_name("id", id, presence::required);
        object.read_url("url", worker.url, presence::required);
        object.refuse_unknown_keys();
        worker.id = worker_id(id);
        add_worker(object, "id", worker);
    }

    void read_worker_series(json_object object)
    {
        worker_declaration worker = read_common_worker_fields(object);
        name_series const series = read_series(object);
        std::string url_template;
        object.read_text("url", url_template, presence::required);
        object.refuse_unknown_keys();
        if (!url_template.empty() &&
            !valid_url(expand_url(url_template, "id", 1)))
        {
            object.add_fault("url", "is not of the form http://IP:PORT or "
                                    "http://IP:PORT/PATH with a numeric IP; "
                                    "{n} and {id} stand for each worker's "
                                    "number and name");
            url_template.clear(); // avoids one more fault for each worker
        }
        for (std::size_t at = 0; at < series.count; ++at)
        {
            std::size_t const number = series.first + at;
            worker.id = worker_id(series.name(number));
            worker.url = expand_url(url_template, worker.id.str(), number);
            add_worker(object, "prefix", worker);
        }
    }

    void add_worker(json_object& object, char const* key,
                    worker_declaration const& worker)
    {
        base_models_.insert(worker.base_model);
        if (worker.id.empty())
            return;
        if (!value_.workers.emplace(worker.id, worker).second)
            return object.add_fault(
                key,
                fmt::format("worker {} is declared twice", worker.id.str()));
        check_unique_url(object, worker.url, worker.id.str());
    }

    // A back end under two names would have two owners, and each owner would
    // count only its own requests against the slots.
    void check_unique_url(json_object& object, std::string const& url,
                          std::string const& worker)
    {
        if (url.empty())
            return;
        auto const [other, added] = urls_.emplace(url, worker);
        if (!added)
            object.add_fault("url", fmt::format("{} is the URL of {} and of {}",
                                                url, other->second, worker));
    }

    /// Reads the fields that an adapter and a series of adapters share.
    adapter_declaration read_common_adapter_fields(json_object& object)
    {
        adapter_declaration adapter;
        std::string base_model;
        object.read_name("base_model", base_model, presence::required);
        adapter.base_model = base_model_id(base_model);
        if (!base_model.empty() &&
            base_models_.insert(adapter.base_model).second)
            object.add_fault(
                "base_model",
                fmt::format("no worker serves base model {}", base_model));
        read_versions(object, adapter);
        read_applications(object, adapter);
        return adapter;
    }

    void read_versions(json_object& object, adapter_declaration& adapter)
    {
        object.read_list("versions", presence::required,
                         [&](Json::Value const& json, std::string const& path)
                         {
                             if (!json.isUInt64() || json.asUInt64() < 1 ||
                                 json.asUInt64() > max_number)
                                 return document_.add_fault(
                                     json, path,
                                     "a whole number from 1 to 1000000000 "
                                     "is expected");
                             adapter_version const version(json.asUInt64());
                             if (!adapter.versions.insert(version).second)
                                 document_.add_fault(
                                     json, path,
                                     fmt::format("version {} is listed twice",
                                                 version.value()));
                         });
        if (object.has("versions") && adapter.versions.empty())
            object.add_fault("versions", "must name at least one version");
    }

    void read_applications(json_object& object, adapter_declaration& adapter)
    {
        object.read_list(
            "applications", presence::required,
            [&](Json::Value const& json, std::string const& path)
            {
                if (!json.isString() || !valid_name(json.asString()))
                    return document_.add_fault(json, path,
                                               "a name is expected");
                application_id const application(json.asString());
                auto& list = adapter.applications;
                if (std::find(list.begin(), list.end(), application) !=
                    list.end())
                    return document_.add_fault(
                        json, path, application.str() + " is listed twice");
                list.push_back(application);
                applications_.insert(application);
            });
        if (object.has("applications") && adapter.applications.empty())
            object.add_fault("applications",
                             "must name at least one application");
    }

    void read_adapter(json_object object)
    {
        adapter_declaration adapter = read_common_adapter_fields(object);
        std::string id;
        object.read_name("id", id, presence::required);
        object.refuse_unknown_keys();
        adapter.id = adapter_id(id);
        add_adapter(object, "id", adapter);
    }

    void read_adapter_series(json_object object)
    {
        adapter_declaration adapter = read_common_adapter_fields(object);
        name_series const series = read_series(object);
        object.refuse_unknown_keys();
        for (std::size_t at = 0; at < series.count; ++at)
        {
            adapter.id = adapter_id(series.name(series.first + at));
            add_adapter(object, "prefix", adapter);
        }
    }

    void add_adapter(json_object& object, char const* key,
                     adapter_declaration const& adapter)
    {
        if (adapter.id.empty())
            return;
        if (!value_.adapters.emplace(adapter.id, adapter).second)
            object.add_fault(key, fmt::format("adapter {} is declared twice",
                                              adapter.id.str()));
    }

    static ready_declaration read_common_ready_fields(json_object& object)
    {
        ready_declaration ready;
        std::string application;
        object.read_name("application", application, presence::required);
        object.read_count("copies", ready.copies, {1, max_copies},
                          presence::optional);
        ready.application = application_id(application);
        return ready;
    }

    void read_ready(json_object object)
    {
        ready_declaration ready = read_common_ready_fields(object);
        std::string text;
        object.read_text("adapter", text, presence::required);
        object.refuse_unknown_keys();
        auto const adapter = parse_adapter_ref(text);
        if (adapter)
        {
            ready.adapter = *adapter;
            add_ready(object, "adapter", ready);
        }
        else if (!text.empty())
            object.add_fault("adapter",
                             fmt::format("\"{}\" is not ADAPTER@VERSION, as "
                                         "in shift-notes-0042@7",
                                         text));
    }

    void read_ready_series(json_object object)
    {
        ready_declaration ready = read_common_ready_fields(object);
        name_series const series = read_series(object);
        std::size_t version = 0;
        object.read_count("version", version, {1, max_number},
                          presence::required);
        object.refuse_unknown_keys();
        if (version == 0 || series.prefix.empty())
            return;
        for (std::size_t at = 0; at < series.count; ++at)
        {
            ready.adapter =
                adapter_ref(adapter_id(series.name(series.first + at)),
                            adapter_version(version));
            if (!add_ready(object, "prefix", ready))
                return;
        }
    }

    bool add_ready(json_object& object, char const* key,
                   ready_declaration const& ready)
    {
        std::string const fault = ready_fault(ready);
        if (fault.empty())
            value_.ready.push_back(ready);
        else
            object.add_fault(key, fault);
        return fault.empty();
    }

    std::string ready_fault(ready_declaration const& ready)
    {
        std::string const name = ready.adapter.str();
        auto const* adapter = value_.find(ready.adapter);
        if (adapter == nullptr)
            return fmt::format("no adapter {} is declared", name);
        auto const& list = adapter->applications;
        if (!ready.application.empty() &&
            std::find(list.begin(), list.end(), ready.application) ==
                list.end())
            return fmt::format("{} is not declared for application {}", name,
                               ready.application.str());
        if (!ready_.emplace(ready.application, ready.adapter).second)
            return fmt::format("{} is declared ready twice for {}", name,
                               ready.application.str());
        return "";
    }

    void read_service(json_object object)
    {
        service_declaration service;
        std::string id;
        object.read_name("id", id, presence::required);
        service.id = service_id(id);
        object.read_list("workers", presence::required,
                         [&](auto const& json, auto const& path) {
                             read_service_worker(
                                 json_object(document_, json, path), service);
                         });
        object.read_list(
            "rules", presence::optional,
            [&](auto const& json, auto const& path)
            { read_rule(json_object(document_, json, path), service); });
        object.refuse_unknown_keys();
        if (!id.empty() && !value_.services.emplace(service.id, service).second)
            object.add_fault("id",
                             fmt::format("service {} is declared twice", id));
    }

    void read_service_worker(json_object object, service_declaration& service)
    {
        service_worker_declaration worker;
        std::string id;
        std::string domain;
        object.read_name("id", id, presence::required);
        object.read_name("domain", domain, presence::required);
        object.read_url("url", worker.url, presence::required);
        object.refuse_unknown_keys();
        worker.id = service_worker_id(id);
        worker.domain = domain_id(domain);
        if (!id.empty() && !service_workers_.insert(worker.id).second)
            return object.add_fault(
                "id", fmt::format("service worker {} is declared twice", id));
        check_unique_url(object, worker.url, id);
        service.workers.push_back(std::move(worker));
    }

    static void read_rule(json_object object, service_declaration& service)
    {
        call_rule rule;
        object.read_choice(
            "method", rule.method,
            {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"},
            presence::optional);
        object.read_text("path_prefix", rule.path_prefix, presence::required);
        object.read_flag("repeatable", rule.repeatable, presence::required);
        object.refuse_unknown_keys();
        if (!rule.path_prefix.empty() && !is_plain_path(rule.path_prefix))
            object.add_fault("path_prefix",
                             "must begin with / and have neither escapes, "
                             "spaces nor a query");
        service.rules.push_back(std::move(rule));
    }

    static bool is_plain_path(std::string const& path)
    {
        return path.front() == '/' &&
               std::all_of(path.begin(), path.end(),
                           [](char c)
                           {
                               return c > ' ' && c <= '~' && c != '%' &&
                                      c != '?' && c != '#' && c != '\\';
                           });
    }

    void read_target(json_object object)
    {
        target_declaration target;
        std::string application;
        object.read_name("application", application, presence::required);
        target.application = application_id(application);
        object.read_number("share", target.share, {0, 1}, presence::required);
        read_measure(object, target);
        object.refuse_unknown_keys();
        if (!application.empty() &&
            applications_.count(target.application) == 0)
            object.add_fault("application",
                             fmt::format("no adapter is declared for "
                                         "application {}",
                                         application));
        if (!targets_.emplace(target.application, target.measure, target.bound)
                 .second)
            object.add_fault(
                "application",
                fmt::format("{} has this target already", application));
        value_.targets.push_back(std::move(target));
    }

    static void read_measure(json_object& object, target_declaration& target)
    {
        std::vector<std::string> const names(target_measure_names.begin(),
                                             target_measure_names.end());
        std::string name = names.front();
        object.read_choice("measure", name, names, presence::required);
        auto const position = std::find(names.begin(), names.end(), name);
        target.measure = static_cast<target_measure>(position - names.begin());
        bool const has_bound =
            target.measure == target_measure::answered_within;
        object.read_milliseconds(
            "bound_ms", target.bound, {milliseconds(1), max_target_bound},
            has_bound ? presence::required : presence::optional);
        if (!has_bound && object.has("bound_ms"))
            object.add_fault("bound_ms",
                             fmt::format("has no meaning for {}", name));
    }

    json_document document_;
    declaration value_;
    /// Base models with a worker, and base models without one that were
    /// reported already.
    std::set<base_model_id> base_models_;
    /// The name of the worker or service worker at each URL.
    std::map<std::string, std::string> urls_;
    std::set<application_id> applications_;
    std::set<std::pair<application_id, adapter_ref>> ready_;
    std::set<service_worker_id> service_workers_;
    std::set<std::tuple<application_id, target_measure, duration>> targets_;
};

} // namespace

std::variant<declaration, std::vector<text_fault>>
parse_declaration(std::string_view text, std::string const& file)
{
    return declaration_reader(text, file).result();
}

} // namespace mulberry
