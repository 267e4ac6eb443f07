// Keeps streams at the version of the workers' software that began them.
#include "collected_exchange.hpp"
#include "peer_streams.hpp"
#include "relay.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

using std::chrono::milliseconds;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
/// A VM answers from memory.
constexpr milliseconds question_timeout{150};
constexpr milliseconds record_timeout{500};
constexpr milliseconds peer_connect_timeout{100};
constexpr milliseconds peer_max_idle{3000};
/// Retry-After of a stream that cannot be taken up here: another VM may know
/// what began it.
constexpr milliseconds unknown_stream_retry_delay{100};
constexpr milliseconds software_review_interval{500};
/// Interval at which a VM asks others what they know of a service's versions.
constexpr milliseconds version_query_interval{500};
constexpr std::size_t max_vms_asked = 3;
/// A stream may outlast its route's timeout by what its caller's clock and the
/// network take.
constexpr milliseconds stream_end_margin{1000};
/// How long a caller waits for its first event while the record of its stream
/// is written. A write takes some ten milliseconds.
constexpr milliseconds max_record_wait{150};
/// Up to this number of VMs, each one writes its own records to the store.
/// Beyond it the first keepers of the streams do, which are no more.
constexpr std::size_t max_row_writers = 16;

bool takes_up_stream(relay_exchange const& exchange)
{
    relay_request const& request = exchange.request();
    return exchange.terms().matched->resumable &&
           (request.last_event || request.resumes);
}

stream_record record_of(relay_exchange const& exchange,
                        software_version const& software)
{
    return {exchange.stream(), exchange.terms().service, software,
            exchange.terms().give_up_at + stream_end_margin};
}

} // namespace

/// A question that is open at several VMs.
struct relay::stream_question
{
    std::shared_ptr<relay_exchange> exchange;
    std::size_t open = 0;
    time_point asked_at{};
};

void relay::update_longest_stream(service_id const& name,
                                  service_state& service)
{
    for (route const& each : config_->routes)
    {
        bool const leads_here =
            std::any_of(each.services.begin(), each.services.end(),
                        [&name](weighted_service const& target)
                        { return target.service == name; });
        if (!each.resumable || !leads_here)
            continue;
        service.has_resumable_streams = true;
        review_software_at_ = time_point();
        service.software.set_longest_stream(each.timeout + stream_end_margin);
    }
}

void relay::update_software(service_id const& name, service_state& service,
                            std::vector<backend_entry> const& workers)
{
    time_point const at = now();
    bool const had_one = service.software.only_version(at).has_value();
    std::set<software_version> listed;
    for (backend_entry const& each : workers)
        listed.insert(each.software);
    service.software.set_listed(listed, at);
    if (had_one && !service.software.only_version(at))
        record_running_streams(name);
    review_software_at_ = time_point();
    ask_for_versions(name, service);
}

void relay::update_software_known(service_state& service)
{
    service.software.set_known_as_of(
        options_.registry_as_of ? options_.registry_as_of().workers : now(),
        options_.missed_worker_rows ? options_.missed_worker_rows() : 0, now());
}

void relay::on_own_rows(std::vector<stored_row> const& rows)
{
    crashes_.on_rows(rows);
    time_point const at = now();
    for (stored_row const& row : rows)
    {
        auto const service = parse_software_record_key(row.key);
        if (!service)
            continue;
        std::optional<software_record> record;
        if (!row.deleted)
            record = parse_software_record(row.value);
        if (!row.deleted && !record)
        {
            log_.notable("malformed record of software",
                         log_fields().add("key", row.key), at);
            record.emplace();
        }
        software_records_.on_row(*service, record,
                                 row.deleted ? row_version() : row.version, at);
    }
    review_software_at_ = time_point();
    schedule_run();
}

void relay::review_software_records()
{
    time_point const at = now();
    if (!options_.write_own_rows || at < review_software_at_)
        return;
    time_point const as_of = options_.own_rows_as_of();
    if (as_of == time_point())
        return;
    review_software_at_ = at + duration(software_review_interval);
    for (auto& [name, service] : services_)
    {
        if (!service.has_resumable_streams)
            continue;
        software_record const* const record = software_records_.find(name);
        bool const had_one = service.software.only_version(at).has_value();
        service.software.set_record(
            record != nullptr ? std::optional(*record) : std::nullopt, as_of);
        // The record may name a version before this VM reads it in the list.
        if (had_one && !service.software.only_version(at))
            record_running_streams(name);
        software_records_.set_view(name, service.software.view(at), at);
    }
    write_software_records();
}

void relay::write_software_records()
{
    auto const transaction = software_records_.take_write(now());
    if (!transaction)
        return;
    options_.write_own_rows(
        *transaction,
        [this](bool done)
        {
            software_records_.on_written(done);
            log_.notable(
                "versions of software recorded",
                log_fields().add("outcome", done ? "written" : "not written"),
                now());
            review_software_at_ = time_point();
            schedule_run();
        });
}

/// Streams that began while only one version could have begun them have no
/// record.
void relay::record_running_streams(service_id const& service)
{
    std::vector<stream_record> records;
    for (auto const& [ticket, exchange] : exchanges_)
        if (exchange->terms().service == service &&
            exchange->begins_resumable_stream() && exchange->stream_version())
            records.push_back(
                record_of(*exchange, *exchange->stream_version()));
    keep_records(service, records);
}

std::optional<software_version>
relay::certain_software(service_state& service, backend_entry const& worker)
{
    update_software_known(service);
    backend_entry const* const listed = find_backend(worker.id);
    bool const is_listed =
        listed != nullptr && listed->started == worker.started;
    if (!is_listed || !service.software.is_current(now()))
        return std::nullopt;
    return listed->software;
}

/// Failure: all VMs are lost right after a caller got the first event of a
/// stream, and nobody knows at which version the stream goes on. So events wait
/// until the store has the record.
std::optional<software_version> relay::on_stream_begun(relay_exchange& exchange)
{
    if (!exchange.begins_resumable_stream())
        return std::nullopt;
    service_state& service = *find(exchange.terms().service);
    auto version = certain_software(service, exchange.worker_entry());
    if (!version || service.software.only_version(now()))
        return version;
    log_.routine("stream began",
                 log_fields()
                     .add("request", exchange.request().id.str())
                     .add("stream", exchange.stream().str())
                     .add("worker", exchange.worker().str())
                     .add("software", version->str()),
                 now());
    stream_record const record = record_of(exchange, *version);
    std::function<void()> on_recorded;
    if (stream_rows_.is_writing())
    {
        auto const gate = exchange.hold_events();
        on_recorded = [gate] { gate->open(); };
        held_events_.push_back({now() + max_record_wait, gate});
    }
    keep_records(exchange.terms().service, {record}, on_recorded);
    return version;
}

void relay::release_held_events()
{
    time_point const at = now();
    for (; !held_events_.empty() && held_events_.front().until <= at;
         held_events_.pop_front())
        held_events_.front().gate->open();
}

void relay::keep_records(service_id const& service,
                         std::vector<stream_record> const& records,
                         std::function<void()> const& on_recorded)
{
    bool const writes_all = live_vms_.size() <= max_row_writers;
    std::vector<stream_record> written_here;
    std::map<std::pair<vm_id, bool>, std::vector<stream_record>> by_keeper;
    for (stream_record const& each : records)
    {
        streams_.add(each, now());
        std::vector<vm_id> const keepers =
            record_keepers(each.stream, live_vms_);
        bool const writes =
            writes_all || keepers.empty() || peers_.count(keepers.front()) == 0;
        if (writes)
            written_here.push_back(each);
        for (vm_id const& keeper : keepers)
            if (peers_.count(keeper) > 0)
                by_keeper[{keeper, !writes && keeper == keepers.front()}]
                    .push_back(each);
    }
    store_records(written_here, on_recorded);
    for (auto& [keeper, kept] : by_keeper)
        send_records(keeper.first,
                     {service, std::move(kept), std::nullopt, keeper.second},
                     on_recorded);
}

/// If the VM that is to write the records cannot be reached, this one writes
/// them.
void relay::send_records(vm_id const& keeper, stream_message const& message,
                         std::function<void()> const& on_recorded)
{
    counts_.stream_records_sent += message.began.size();
    std::vector<stream_record> to_store;
    if (message.to_store)
        to_store = message.began;
    send_stream_message(
        peers_.at(keeper).address, message, record_timeout,
        [this, to_store, on_recorded](std::optional<stream_reply> const& reply)
        {
            if (to_store.empty())
                return;
            if (!reply)
                store_records(to_store, on_recorded);
            else if (on_recorded)
                on_recorded();
        });
}

void relay::store_records(std::vector<stream_record> const& records,
                          std::function<void()> const& on_recorded)
{
    if (records.empty())
        return;
    stream_rows_.set_writers(live_vms_.size());
    for (stream_record const& each : records)
        stream_rows_.add(each, now(),
                         &each == &records.back() ? on_recorded : nullptr);
    schedule_run();
}

void relay::send_stream_message(
    backend_address const& to, stream_message const& message, duration timeout,
    std::function<void(std::optional<stream_reply> const&)> done)
{
    collected_call call;
    call.to = to;
    call.bytes = encode_stream_message(message, to.ip, now());
    call.options.connect_timeout = peer_connect_timeout;
    call.options.max_idle = peer_max_idle;
    call.framed_only = true;
    call.current_deadline = [ends = std::chrono::steady_clock::now() + timeout]
    { return ends; };
    call.on_end = [done = std::move(done)](collected_answer const& answer)
    {
        done(answer.status == status_ok ? decode_stream_reply(answer.body)
                                        : std::nullopt);
    };
    start_collected(io_, pool_, std::move(call));
}

/// A VM that has records written is answered when the store has them.
void relay::handle_streams(http_request const& received,
                           std::shared_ptr<http_answer> const& answer)
{
    time_point const at = now();
    auto const message = decode_stream_message(received.body, at);
    if (!message)
        return answer->respond({status_bad_request, {}, {}});
    for (stream_record const& each : message->began)
        streams_.add(each, at);
    stream_reply reply;
    if (message->asks_for)
        reply.software =
            streams_.find(*message->asks_for, message->service, at);
    if (service_state* const service = find(message->service))
    {
        update_software_known(*service);
        reply.only = service->software.only_version(at);
        reply.established = service->software.established();
    }
    auto const respond = [answer, reply]
    { answer->respond(json_response(status_ok, encode_stream_reply(reply))); };
    if (!message->to_store || message->began.empty())
        return respond();
    store_records(message->began, respond);
}

/// A VM that has just started does not know for how long versions were listed,
/// and which ones were listed before.
void relay::ask_for_versions(service_id const& name, service_state& service)
{
    time_point const at = now();
    if (at < service.ask_versions_at || !service.has_resumable_streams ||
        service.software.knows_history(at))
        return;
    service.ask_versions_at = at + version_query_interval;
    std::vector<vm_id> vms;
    for (auto const& [vm, peer] : peers_)
        vms.push_back(vm);
    std::shuffle(vms.begin(), vms.end(), random_);
    vms.resize(std::min(vms.size(), max_vms_asked));
    for (vm_id const& vm : vms)
        send_stream_message(
            peers_.at(vm).address, {name, {}, std::nullopt}, record_timeout,
            [this, name](std::optional<stream_reply> const& reply)
            {
                if (reply)
                    learn_versions(*find(name), *reply);
            });
}

void relay::learn_versions(service_state& service, stream_reply const& reply)
{
    service.software.learn_established(reply.established);
    if (reply.only)
        service.software.learn_only(*reply.only, now());
}

void relay::start_exchange(std::shared_ptr<relay_exchange> const& exchange)
{
    if (!takes_up_stream(*exchange))
        return exchange->start();
    service_state& service = *find(exchange->terms().service);
    update_software_known(service);
    time_point const at = now();
    if (auto const known =
            streams_.find(exchange->stream(), exchange->terms().service, at))
        return take_up_stream(*exchange, *known, "a record here", at);
    if (auto const only = service.software.only_version(at))
        return take_up_stream(*exchange, *only, "one version is listed", at);
    ask_for_stream(exchange);
}

void relay::ask_for_stream(std::shared_ptr<relay_exchange> const& exchange)
{
    auto const question = std::make_shared<stream_question>();
    question->exchange = exchange;
    question->asked_at = now();
    std::vector<vm_id> keepers = record_keepers(exchange->stream(), live_vms_);
    std::erase_if(keepers,
                  [this](vm_id const& vm) { return peers_.count(vm) == 0; });
    if (!exchange->request().resumes)
        return reject_unknown_stream(*exchange, question->asked_at);
    if (keepers.empty())
        return find_stream_row(exchange, question->asked_at);
    question->open = keepers.size();
    stream_message const message{
        exchange->terms().service, {}, exchange->stream()};
    for (vm_id const& keeper : keepers)
    {
        ++counts_.stream_questions;
        send_stream_message(
            peers_.at(keeper).address, message, question_timeout,
            [this, question, keeper](std::optional<stream_reply> const& reply)
            { on_stream_reply(*question, keeper, reply); });
    }
}

void relay::on_stream_reply(stream_question& question, vm_id const& from,
                            std::optional<stream_reply> const& reply)
{
    --question.open;
    if (!question.exchange)
        return;
    if (reply)
        learn_versions(*find(question.exchange->terms().service), *reply);
    auto const version = !reply            ? std::nullopt
                         : reply->software ? reply->software
                                           : reply->only;
    if (!version && question.open > 0)
        return;
    auto const exchange = std::exchange(question.exchange, nullptr);
    if (exchange->is_over())
        return;
    if (!version)
        return find_stream_row(exchange, question.asked_at);
    take_up_stream(*exchange, *version,
                   (reply->software ? "a record at " : "one version at ") +
                       from.str(),
                   question.asked_at);
}

void relay::take_up_stream(relay_exchange& exchange,
                           software_version const& software,
                           std::string const& known_from, time_point asked_at)
{
    log_.routine("stream taken up",
                 log_fields()
                     .add("request", exchange.request().id.str())
                     .add("stream", exchange.stream().str())
                     .add("software", software.str())
                     .add("known_from", known_from)
                     .add("took_ms", now() - asked_at),
                 now());
    exchange.keep_to_version(software);
    exchange.start();
}

void relay::find_stream_row(std::shared_ptr<relay_exchange> const& exchange,
                            time_point asked_at)
{
    if (!stream_rows_.may_find())
        return reject_unknown_stream(*exchange, asked_at);
    stream_rows_.find(exchange->stream(), exchange->terms().service,
                      [this, exchange,
                       asked_at](std::optional<software_version> const& version)
                      {
                          if (exchange->is_over())
                              return;
                          if (!version)
                              return reject_unknown_stream(*exchange, asked_at);
                          take_up_stream(*exchange, *version,
                                         "a row of the store", asked_at);
                      });
}

void relay::reject_unknown_stream(relay_exchange& exchange, time_point asked_at)
{
    ++counts_.streams_unknown;
    log_.notable("stream unknown",
                 log_fields()
                     .add("request", exchange.request().id.str())
                     .add("stream", exchange.stream().str())
                     .add("took_ms", now() - asked_at),
                 now());
    exchange.on_refused(error(error_kind::back_end_unavailable,
                              "nobody knows at which version the stream began",
                              ran::no, add_jitter(unknown_stream_retry_delay)));
}

std::optional<std::set<software_version>>
relay::allowed_software(relay_exchange const& exchange)
{
    if (!exchange.begins_resumable_stream())
        return std::nullopt;
    if (auto const& version = exchange.stream_version())
        return std::set{*version};
    service_state& service = *find(exchange.terms().service);
    update_software_known(service);
    if (service.software.are_all_established())
        return std::nullopt;
    ask_for_versions(exchange.terms().service, service);
    return service.software.established();
}

/// Without news of the registry a worker may have started again under its id
/// with another version.
std::optional<error> relay::check_software_known(relay_exchange const& exchange)
{
    if (!exchange.begins_resumable_stream() || !exchange.stream_version())
        return std::nullopt;
    service_state& service = *find(exchange.terms().service);
    update_software_known(service);
    if (service.software.is_current(now()))
        return std::nullopt;
    return error(error_kind::back_end_unavailable,
                 "it is not known which versions the workers have", ran::no,
                 add_jitter(unknown_stream_retry_delay));
}

/// The worker may have started again since it was chosen.
bool relay::has_allowed_software(relay_exchange const& exchange,
                                 backend_entry const& worker)
{
    auto const allowed = allowed_software(exchange);
    if (!allowed)
        return true;
    auto const version =
        certain_software(*find(exchange.terms().service), worker);
    return version && allowed->count(*version) > 0;
}

} // namespace mulberry
