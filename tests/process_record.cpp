#include "process_record.hpp"

#include "history.hpp"
#include "sse_parser.hpp"
#include "token_text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <sstream>

namespace mulberry_test
{
namespace
{

using namespace mulberry;

constexpr std::size_t max_event_bytes = 1 << 20;

std::vector<sse_event> events_in(std::string const& body)
{
    return sse_parser(max_event_bytes).feed(body);
}

bool is_stream(received_answer const& seen)
{
    return seen.headers.find("Content-Type")
        .value_or("")
        .starts_with("text/event-stream");
}

std::optional<sse_event> last_event(received_answer const& seen)
{
    auto const events = events_in(seen.body);
    if (events.empty())
        return std::nullopt;
    return events.back();
}

std::string text_of_choice(Json::Value const& choice)
{
    if (choice["text"].isString())
        return choice["text"].asString();
    for (char const* holder : {"delta", "message"})
        if (choice[holder].isObject())
            return choice[holder]["content"].asString();
    return "";
}

/// The error object of an answer; null if the answer holds none.
Json::Value error_object(received_answer const& seen)
{
    if (!is_stream(seen))
        return seen.ended && seen.status != 200 ? parsed(seen.body)["error"]
                                                : Json::Value();
    auto const last = last_event(seen);
    if (!last || last->event != "error")
        return {};
    return parsed(last->data)["error"];
}

std::string request_id_of(received_answer const& seen,
                          std::string const& otherwise)
{
    if (auto const id = seen.headers.find("X-Request-Id"))
        return *id;
    std::string const reported = error_object(seen)["request_id"].asString();
    return reported.empty() ? otherwise : reported;
}

/// The request id without the attempt number: backends see REQUEST.N.
std::string without_attempt_number(std::string const& name)
{
    auto const dot = name.rfind('.');
    bool const numbered =
        dot != std::string::npos && dot + 1 < name.size() &&
        name.find_first_not_of("0123456789", dot + 1) == std::string::npos;
    return numbered ? name.substr(0, dot) : name;
}

std::optional<error> list_error(Json::Value const& object)
{
    if (!object.isObject())
        return std::nullopt;
    auto const kind = error_kind_named(object["kind"].asString());
    std::string const reported = object["ran"].asString();
    for (ran const value : {ran::no, ran::yes, ran::unknown})
        if (kind && to_string(value) == reported)
            return error(*kind, object["message"].asString(), value);
    return std::nullopt;
}

/// Converts a record into the history that the tests of the core use too and
/// checks it.
class history_builder
{
public:
    explicit history_builder(process_record const& run) : run_(run) {}

    std::vector<finding> findings()
    {
        for (std::size_t index = 0; index < run_.model_calls.size(); ++index)
            add(run_.model_calls[index], fmt::format("model-{}", index));
        for (std::size_t index = 0; index < run_.service_calls.size(); ++index)
            add(run_.service_calls[index], fmt::format("call-{}", index));
        for (Json::Value const& event : run_.engine_events)
            add_engine_event(event);
        for (Json::Value const& event : run_.service_events)
            add_service_event(event);
        check_answers_by_key();
        check_versions();
        for (violation const& each : history_.check())
            found_.push_back({name_of(each.kind), each.text});
        return std::move(found_);
    }

private:
    static std::string name_of(violation_kind kind)
    {
        switch (kind)
        {
        case violation_kind::wrong_adapter:
            return "wrong_adapter";
        case violation_kind::evicted_in_flight:
            return "evicted_in_flight";
        case violation_kind::foreign_answer:
            return "foreign_answer";
        case violation_kind::answer_not_whole:
            return "answer_not_whole";
        case violation_kind::final_answers:
            return "final_answers";
        case violation_kind::untrue_ran:
            return "untrue_ran";
        case violation_kind::ran_twice:
            return "ran_twice";
        case violation_kind::work_while_leaving:
            return "work_while_leaving";
        }
        return "unknown";
    }

    /// Whether the request may end without a final answer.
    template <class Call>
    bool may_lack_answer(recorded<Call> const& one) const
    {
        return one.end == caller_end::went_away ||
               run_.killed.contains(one.call.vm) ||
               (one.end == caller_end::gave_up &&
                run_.frozen.contains(one.call.vm));
    }

    /// Returns the id of the request. Reports a violation if another caller's
    /// request has the same id.
    request_id unique_id(received_answer const& seen,
                         std::string const& otherwise)
    {
        request_id id(request_id_of(seen, otherwise));
        if (!known_.insert(id).second)
            found_.push_back(
                {"foreign_answer", id.str() + " was answered to two callers"});
        return id;
    }

    template <class Call>
    void add_outcome(recorded<Call> const& one, request_id const& id)
    {
        Json::Value const object = error_object(one.seen);
        if (auto const reported = list_error(object))
            history_.answered_error(id, *reported);
        else if (!object.isNull() || (one.seen.ended && one.seen.status != 200))
            found_.push_back({"no_listed_error",
                              id.str() + " was answered " + one.seen.body});
        else if (answered_whole(one.seen))
            history_.answered_whole(id);
        else if (may_lack_answer(one))
            history_.withdrawn(id);
        if (!one.sent_while_leaving || !answered_whole(one.seen))
            return;
        history_.leaving(one.call.vm);
        history_.accepted(one.call.vm, id);
    }

    void add(recorded<model_call> const& one, std::string const& number)
    {
        request_id const id = unique_id(one.seen, number);
        auto const adapter = parse_adapter_ref(one.call.adapter);
        history_.invoked(id, adapter.value_or(adapter_ref()));
        if (one.seen.status == 200)
            add_pieces(one, id);
        add_outcome(one, id);
    }

    void add_pieces(recorded<model_call> const& one, request_id const& id)
    {
        if (!is_stream(one.seen))
        {
            add_complete_answer(one, id);
            return;
        }
        for (sse_event const& event : events_in(one.seen.body))
        {
            Json::Value const data = parsed(event.data);
            if (!event.event.empty() || !data.isObject())
                continue;
            add_piece(one, id, data["model"].asString(),
                      data["offset"].asUInt64(),
                      text_of_choice(data["choices"][0]));
        }
    }

    void add_complete_answer(recorded<model_call> const& one,
                             request_id const& id)
    {
        Json::Value const body = parsed(one.seen.body);
        std::istringstream words(text_of_choice(body["choices"][0]));
        std::string word;
        for (std::uint64_t offset = 0; words >> word; ++offset)
            add_piece(one, id, body["model"].asString(), offset, word + " ");
    }

    /// The text of the engine stand-ins depends only on adapter, prompt and
    /// offset, so a text that differs from the expected one belongs to another
    /// request or adapter.
    void add_piece(recorded<model_call> const& one, request_id const& id,
                   std::string const& model, std::uint64_t offset,
                   std::string const& text)
    {
        std::string const expected =
            standins::token_text(one.call.adapter, one.call.prompt)
                .token(offset);
        answer_piece piece;
        piece.written_for = text == expected ? id : request_id("text " + text);
        piece.name = engine_name(model + "#1");
        piece.offset = offset;
        piece.last = offset + 1 == one.call.tokens;
        history_.answer_event(id, piece);
        // The history does not check the adapter of events that were written
        // for another request.
        if (model != one.call.adapter)
            found_.push_back(
                {"wrong_adapter", id.str() + " named " + one.call.adapter +
                                      " and was answered by " + model});
    }

    void add(recorded<plain_service_call> const& one, std::string const& number)
    {
        request_id const id = unique_id(one.seen, number);
        history_.service_invoked(id, !one.call.key.empty());
        add_outcome(one, id);
        if (one.seen.status == 200 && one.seen.ended && !one.call.key.empty())
            answers_by_key_[one.call.key].insert(one.seen.body);
    }

    void add_engine_event(Json::Value const& event)
    {
        std::string const kind = event["kind"].asString();
        engine_name const name(event["name"].asString());
        request_id const id(
            without_attempt_number(event["request"].asString()));
        if (kind == "unloaded")
            history_.unloaded(name, event["in_flight"].asUInt64());
        else if (kind == "started" && known_.contains(id))
            history_.started_at_backend(id, name);
    }

    void add_service_event(Json::Value const& event)
    {
        request_id const id(
            without_attempt_number(event["request"].asString()));
        std::string const key = event["key"].asString();
        ran_keys_.insert(key);
        if (!known_.contains(id))
        {
            // The caller lost the answer, which holds the request id.
            history_.service_invoked(id, !key.empty());
            history_.withdrawn(id);
        }
        history_.service_ran(key.empty() ? id.str() : key, id);
    }

    void check_answers_by_key()
    {
        for (auto const& [key, bodies] : answers_by_key_)
        {
            if (bodies.size() > 1)
                found_.push_back({"ran_twice", key + " has two answers"});
            if (!ran_keys_.contains(key))
                found_.push_back({"untrue_ran", key + " never ran"});
        }
    }

    void check_versions()
    {
        for (auto const& [vm, versions] : run_.versions)
            if (!std::is_sorted(versions.begin(), versions.end()))
                found_.push_back(
                    {"configuration_went_back",
                     vm + " applied an older configuration version"});
    }

    process_record const& run_;
    history history_;
    std::vector<finding> found_;
    std::set<request_id> known_;
    std::map<std::string, std::set<std::string>> answers_by_key_;
    std::set<std::string> ran_keys_;
};

} // namespace

std::vector<finding> findings(process_record const& run)
{
    return history_builder(run).findings();
}

std::string to_string(std::vector<finding> const& found)
{
    std::string text;
    for (finding const& each : found)
        text += each.check + ": " + each.text + "\n";
    return text;
}

reported_error error_in(received_answer const& seen)
{
    Json::Value const object = error_object(seen);
    if (!object.isObject())
        return {};
    return {object["kind"].asString(), object["ran"].asString()};
}

bool answered_whole(received_answer const& seen)
{
    if (seen.status != 200 || !seen.ended)
        return false;
    if (!is_stream(seen))
        return true;
    auto const last = last_event(seen);
    return last && last->data == "[DONE]";
}

std::string text_in(received_answer const& seen)
{
    if (!is_stream(seen))
        return text_of_choice(parsed(seen.body)["choices"][0]);
    std::string text;
    for (sse_event const& event : events_in(seen.body))
    {
        Json::Value const data = parsed(event.data);
        if (data.isObject())
            text += text_of_choice(data["choices"][0]);
    }
    return text;
}

} // namespace mulberry_test
