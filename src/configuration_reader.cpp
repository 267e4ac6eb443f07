#include "configuration_reader.hpp"

#include "declaration_text.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

constexpr duration fetch_retry = std::chrono::milliseconds(400);

publish_event note(std::string kind, std::string text)
{
    return {"configuration", std::move(kind), std::move(text)};
}

std::string version_text(config_version version)
{
    return "version " + std::to_string(version.value());
}

} // namespace

configuration_reader::configuration_reader(
    configuration_settings const& settings, safeguards const& checks,
    promise_rules const& rules, id_source& ids)
    : settings_(settings), checks_(checks), rules_(rules), ids_(ids),
      jitter_(settings.seed)
{
}

void configuration_reader::start(time_point now, action_list& actions)
{
    read_now(now, actions);
    // VMs that start together do not poll together.
    next_poll_ = now + jitter_.about(settings_.poll);
}

void configuration_reader::tick(time_point now, action_list& actions)
{
    drop_overdue_reads(now);
    if (next_poll_ <= now)
    {
        next_poll_ =
            std::max(next_poll_ + settings_.poll, now + settings_.poll / 2);
        read_surely(now, actions);
    }
    if (ask_again_ <= now)
    {
        // One lost answer, or one connection gone silent, is no outage.
        ask_again_ = never;
        read_now(now, actions);
    }
    if (next_fetch_ <= now)
        fetch(now, actions);
}

// The poll is a transaction without writes rather than a read of the row: it
// costs the table one read as well, but does not lag. A lagging read says
// only that the version held some unknown time ago; were `fresh` to rest on
// it, a VM could go on with a replaced version for as long as the lag lasts.
// 6 VMs at a poll of 1 s make 6 reads a second, 320 VMs at 4 s make 80.
void configuration_reader::read_now(time_point now, action_list& actions)
{
    operation_id const operation = ids_.next_operation();
    time_point const deadline = now + settings_.table_timeout;
    reads_[operation] = {now, deadline + settings_.table_timeout};
    if (rules_.reads_may_lag())
        actions.emplace_back(
            read_row{operation, configuration_key(), deadline});
    else
        actions.emplace_back(
            transact{operation, current_read({configuration_key()}), deadline});
}

void configuration_reader::read_surely(time_point now, action_list& actions)
{
    ask_again_ = now + overdue_after();
    read_now(now, actions);
}

bool configuration_reader::knows(operation_id operation) const
{
    return reads_.contains(operation) || fetches_.contains(operation);
}

void configuration_reader::on_table(table_reply const& reply, time_point now,
                                    action_list& actions)
{
    auto const found = reads_.find(reply.operation);
    if (found == reads_.end())
        return;
    pending_read const read = found->second;
    reads_.erase(found);
    finish_read(read, reply, now, actions);
}

void configuration_reader::finish_read(pending_read const& read,
                                       table_reply const& reply, time_point now,
                                       action_list& actions)
{
    if (reply.outcome == table_outcome::refused)
    {
        next_poll_ =
            std::min(next_poll_, now + jitter_.about(settings_.poll / 2));
        return;
    }
    if (reply.outcome == table_outcome::unreachable)
    {
        note_unanswered(read);
        return;
    }
    table_heard(read.asked_at);
    ask_again_ = never;
    auto const row = find_configuration_row(reply.rows, configuration_key());
    if (!row)
    {
        note_fault("the configuration row is malformed", actions);
        return;
    }
    last_read_ = std::max(last_read_.value_or(read.asked_at), read.asked_at);
    if (read.asked_at >= heard_of_at_)
        heard_of_ = config_version();
    see_row(*row, rules_.counts_from(read.asked_at, now), now, actions);
}

void configuration_reader::see_row(configuration_row const& row,
                                   time_point asked_at, time_point now,
                                   action_list& actions)
{
    if (row.version == in_force_)
        agreed_ = std::max(agreed_.value_or(asked_at), asked_at);
    if (row.version == seen_.version)
        seen_at_ = std::max(seen_at_, asked_at);
    if (!checks_.replaces(seen_.version, row.version) ||
        row.version == seen_.version)
        return;
    seen_ = row;
    seen_at_ = asked_at;
    if (seen_.version != in_force_)
        fetch(now, actions);
}

void configuration_reader::fetch(time_point now, action_list& actions)
{
    next_fetch_ = never;
    if (kept_text_ && kept_digest_ == seen_.digest)
    {
        auto const text = std::exchange(kept_text_, nullptr);
        load(seen_, *text, now, actions);
        return;
    }
    operation_id const operation = ids_.next_operation();
    fetches_[operation] = seen_;
    actions.emplace_back(
        fetch_object{operation, seen_.object, now + settings_.table_timeout});
    // Also should no reply come.
    next_fetch_ = now + 2 * settings_.table_timeout;
}

void configuration_reader::on_object(object_reply const& reply, time_point now,
                                     action_list& actions)
{
    auto const found = fetches_.find(reply.operation);
    if (found == fetches_.end())
        return;
    configuration_row const row = found->second;
    fetches_.erase(found);
    if (reply.outcome == object_outcome::done)
        load(row, reply.bytes, now, actions);
    else if (reply.outcome == object_outcome::absent)
        retry_fetch(row, "its object is missing", now, actions);
    else
        retry_fetch(row, "the object store cannot be reached", now, actions);
}

// The version before stays in force while this one cannot be loaded, but no
// read agrees with it any more: after the bound it is not known to hold.
void configuration_reader::load(configuration_row const& row,
                                std::string const& text, time_point now,
                                action_list& actions)
{
    if (!checks_.replaces(in_force_, row.version))
        return;
    if (digest_of(text) != row.digest)
    {
        retry_fetch(row, "its object is corrupt", now, actions);
        return;
    }
    auto parsed = parse_declaration(text, row.object);
    if (!std::holds_alternative<declaration>(parsed))
    {
        retry_fetch(row, "its object is no declaration", now, actions);
        return;
    }
    bool const newest = row.version == seen_.version;
    in_force_ = row.version;
    value_ = std::make_shared<declaration const>(
        std::move(std::get<declaration>(parsed)));
    agreed_ = newest ? std::optional(seen_at_) : std::nullopt;
    if (newest)
        next_fetch_ = never;
    events_.push_back({in_force_, value_});
    actions.emplace_back(
        note("configuration-in-force", version_text(in_force_)));
}

void configuration_reader::retry_fetch(configuration_row const& row,
                                       std::string const& why, time_point now,
                                       action_list& actions)
{
    note_fault(version_text(row.version) + " cannot be loaded: " + why,
               actions);
    if (seen_.version != in_force_)
        next_fetch_ = now + jitter_.about(fetch_retry);
}

void configuration_reader::note_fault(std::string const& text,
                                      action_list& actions)
{
    // Once for each fault, not for each retry.
    if (noted_fault_ == text)
        return;
    noted_fault_ = text;
    actions.emplace_back(note("configuration-unreadable", text));
}

void configuration_reader::hear_of(config_version version, time_point now,
                                   action_list& actions)
{
    if (version <= highest())
        return;
    heard_of_ = version;
    heard_of_at_ = now;
    read_now(now, actions);
}

void configuration_reader::table_heard(time_point asked_at)
{
    if (asked_at <= last_answer_)
        return;
    last_answer_ = asked_at;
    failures_ = 0;
}

void configuration_reader::keep_text(std::string digest,
                                     std::shared_ptr<std::string const> text)
{
    kept_digest_ = std::move(digest);
    kept_text_ = std::move(text);
}

config_version configuration_reader::highest() const
{
    return std::max({in_force_, seen_.version, heard_of_});
}

bool configuration_reader::fresh(time_point now) const
{
    return agreed_ && now < *agreed_ + settings_.bound;
}

bool configuration_reader::heard(time_point now) const
{
    // At a slow poll the last answer is old also while all is well.
    duration const recent = std::max(
        settings_.outage_after, settings_.poll + settings_.table_timeout / 2);
    return last_answer_ && now < *last_answer_ + recent;
}

bool configuration_reader::lost(time_point now) const
{
    if (!last_answer_ || now < *last_answer_ + settings_.outage_after)
        return false;
    auto const unanswered = static_cast<std::size_t>(std::count_if(
        reads_.begin(), reads_.end(),
        [&](auto const& read) { return overdue(read.second, now); }));
    return failures_ + unanswered >= 2;
}

// A shell that never replies is as a table that never answers.
void configuration_reader::drop_overdue_reads(time_point now)
{
    auto const given_up = [&](auto const& read)
    {
        bool const over = read.second.give_up_at <= now;
        if (over)
            note_unanswered(read.second);
        return over;
    };
    std::erase_if(reads_, given_up);
}

void configuration_reader::note_unanswered(pending_read const& read)
{
    if (read.asked_at > last_answer_)
        ++failures_;
}

bool configuration_reader::overdue(pending_read const& read,
                                   time_point now) const
{
    return read.asked_at > last_answer_ &&
           read.asked_at + overdue_after() <= now;
}

duration configuration_reader::overdue_after() const
{
    return settings_.table_timeout / 4;
}

std::vector<configuration_in_force> configuration_reader::take_in_force()
{
    return std::exchange(events_, {});
}

} // namespace mulberry
