#include "configuration_reader.hpp"

#include "declaration_text.hpp"

#include <algorithm>
#include <utility>

namespace mulberry
{
namespace
{

constexpr duration fetch_retry_delay = std::chrono::milliseconds(400);

publish_event log_entry(std::string kind, std::string text)
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
    // The jitter keeps VMs that start together from polling together.
    next_poll_ = now + jitter_.equal_jitter(settings_.poll_interval);
}

void configuration_reader::tick(time_point now, action_list& actions)
{
    drop_overdue_reads(now);
    if (next_poll_ <= now)
    {
        next_poll_ = std::max(next_poll_ + settings_.poll_interval,
                              now + settings_.poll_interval / 2);
        read_with_retry(now, actions);
    }
    if (retry_read_at_ <= now)
    {
        // One lost answer or one stalled connection is not an outage.
        retry_read_at_ = never;
        read_now(now, actions);
    }
    if (next_fetch_ <= now)
        fetch(now, actions);
}

// The poll is a transaction without writes rather than a plain read: it also
// costs the table one read, but is linearizable. A stale read shows only that
// the version was current some unknown time ago. If is_fresh() relied on it, a
// VM could continue with a replaced version for as long as reads are stale.
// 6 VMs with a poll interval of 1 s make 6 reads per second, 320 VMs with 4 s
// make 80.
void configuration_reader::read_now(time_point now, action_list& actions)
{
    operation_id const operation = ids_.next_operation();
    time_point const deadline = now + settings_.table_timeout;
    reads_[operation] = {now, deadline + settings_.table_timeout};
    if (rules_.allows_stale_reads())
        actions.emplace_back(
            read_row{operation, configuration_key(), deadline});
    else
        actions.emplace_back(transact{
            operation, linearizable_read({configuration_key()}), deadline});
}

void configuration_reader::read_with_retry(time_point now, action_list& actions)
{
    retry_read_at_ = now + overdue_after();
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
            std::min(next_poll_,
                     now + jitter_.equal_jitter(settings_.poll_interval / 2));
        return;
    }
    if (reply.outcome == table_outcome::unreachable)
    {
        count_failure(read);
        return;
    }
    on_table_answer(read.asked_at);
    retry_read_at_ = never;
    auto const row = find_configuration_row(reply.rows, configuration_key());
    if (!row)
    {
        log_fault("the configuration row is malformed", actions);
        return;
    }
    last_read_asked_at_ =
        std::max(last_read_asked_at_.value_or(read.asked_at), read.asked_at);
    if (read.asked_at >= reported_at_)
        reported_version_ = config_version();
    on_row(*row, rules_.valid_from(read.asked_at, now), now, actions);
}

void configuration_reader::on_row(configuration_row const& row,
                                  time_point asked_at, time_point now,
                                  action_list& actions)
{
    if (row.version == in_force_)
        last_agreeing_read_at_ =
            std::max(last_agreeing_read_at_.value_or(asked_at), asked_at);
    if (row.version == latest_row_.version)
        latest_row_read_at_ = std::max(latest_row_read_at_, asked_at);
    if (!checks_.replaces(latest_row_.version, row.version) ||
        row.version == latest_row_.version)
        return;
    latest_row_ = row;
    latest_row_read_at_ = asked_at;
    if (latest_row_.version != in_force_)
        fetch(now, actions);
}

void configuration_reader::fetch(time_point now, action_list& actions)
{
    next_fetch_ = never;
    if (cached_text_ && cached_digest_ == latest_row_.digest)
    {
        auto const text = std::exchange(cached_text_, nullptr);
        load(latest_row_, *text, now, actions);
        return;
    }
    operation_id const operation = ids_.next_operation();
    fetches_[operation] = latest_row_;
    actions.emplace_back(fetch_object{operation, latest_row_.object,
                                      now + settings_.table_timeout});
    // Repeats the fetch if no reply arrives.
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

// The previous version stays in force while the new one cannot be loaded, but
// reads no longer show the previous one: after the staleness bound it is not
// known to be current.
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
        retry_fetch(row, "its object is not a valid declaration", now, actions);
        return;
    }
    bool const newest = row.version == latest_row_.version;
    in_force_ = row.version;
    declaration_ = std::make_shared<declaration const>(
        std::move(std::get<declaration>(parsed)));
    last_agreeing_read_at_ =
        newest ? std::optional(latest_row_read_at_) : std::nullopt;
    if (newest)
        next_fetch_ = never;
    activated_.push_back({in_force_, declaration_});
    actions.emplace_back(
        log_entry("configuration-in-force", version_text(in_force_)));
}

void configuration_reader::retry_fetch(configuration_row const& row,
                                       std::string const& why, time_point now,
                                       action_list& actions)
{
    log_fault(version_text(row.version) + " cannot be loaded: " + why, actions);
    if (latest_row_.version != in_force_)
        next_fetch_ = now + jitter_.equal_jitter(fetch_retry_delay);
}

void configuration_reader::log_fault(std::string const& text,
                                     action_list& actions)
{
    // Logged once per fault, not once per retry.
    if (logged_fault_ == text)
        return;
    logged_fault_ = text;
    actions.emplace_back(log_entry("configuration-unreadable", text));
}

void configuration_reader::on_version_reported(config_version version,
                                               time_point now,
                                               action_list& actions)
{
    if (version <= highest())
        return;
    reported_version_ = version;
    reported_at_ = now;
    read_now(now, actions);
}

void configuration_reader::on_table_answer(time_point asked_at)
{
    if (asked_at <= last_answer_asked_at_)
        return;
    last_answer_asked_at_ = asked_at;
    failures_ = 0;
}

void configuration_reader::cache_text(std::string digest,
                                      std::shared_ptr<std::string const> text)
{
    cached_digest_ = std::move(digest);
    cached_text_ = std::move(text);
}

config_version configuration_reader::highest() const
{
    return std::max({in_force_, latest_row_.version, reported_version_});
}

bool configuration_reader::is_fresh(time_point now) const
{
    return last_agreeing_read_at_ &&
           now < *last_agreeing_read_at_ + settings_.staleness_bound;
}

bool configuration_reader::is_table_reachable(time_point now) const
{
    // With a long poll interval the last answer is old even without a fault.
    duration const recent =
        std::max(settings_.outage_after,
                 settings_.poll_interval + settings_.table_timeout / 2);
    return last_answer_asked_at_ && now < *last_answer_asked_at_ + recent;
}

bool configuration_reader::is_table_unreachable(time_point now) const
{
    if (!last_answer_asked_at_ ||
        now < *last_answer_asked_at_ + settings_.outage_after)
        return false;
    auto const unanswered = static_cast<std::size_t>(std::count_if(
        reads_.begin(), reads_.end(),
        [&](auto const& read) { return is_overdue(read.second, now); }));
    return failures_ + unanswered >= 2;
}

// A read that never gets a reply counts like one that the table left
// unanswered.
void configuration_reader::drop_overdue_reads(time_point now)
{
    auto const is_expired = [&](auto const& read)
    {
        bool const expired = read.second.expires_at <= now;
        if (expired)
            count_failure(read.second);
        return expired;
    };
    std::erase_if(reads_, is_expired);
}

void configuration_reader::count_failure(pending_read const& read)
{
    if (read.asked_at > last_answer_asked_at_)
        ++failures_;
}

bool configuration_reader::is_overdue(pending_read const& read,
                                      time_point now) const
{
    return read.asked_at > last_answer_asked_at_ &&
           read.asked_at + overdue_after() <= now;
}

duration configuration_reader::overdue_after() const
{
    return settings_.table_timeout / 4;
}

std::vector<configuration_in_force> configuration_reader::take_in_force()
{
    return std::exchange(activated_, {});
}

} // namespace mulberry
