#include "memory_row_store.hpp"

#include <utility>

namespace mulberry_test
{

using namespace mulberry;

void memory_row_store::write(row_set set, stored_row row)
{
    row.version = row_version(++version_);
    sets_[set][row.key] = std::move(row);
    answer_watches();
}

void memory_row_store::put(row_set set, row_kind kind, std::string const& key,
                           std::string const& value)
{
    write(set, {kind, key, {}, value, false});
}

void memory_row_store::drop(row_set set, std::string const& key)
{
    write(set, {sets_[set].at(key).kind, key, {}, {}, true});
}

void memory_row_store::answer_watches()
{
    std::list<waiting_watch> waiting = std::exchange(waiting_, {});
    for (waiting_watch const& each : waiting)
        each.done(changes(each.set, each.after));
}

void memory_row_store::fail_watches()
{
    std::list<waiting_watch> waiting = std::exchange(waiting_, {});
    for (waiting_watch const& each : waiting)
        each.done({});
}

store_reply memory_row_store::changes(row_set set, row_version after) const
{
    store_reply reply;
    reply.outcome = store_outcome::done;
    reply.newest = row_version(version_);
    auto const rows = sets_.find(set);
    if (rows == sets_.end())
        return reply;
    for (auto const& [key, row] : rows->second)
        if (row.version > after)
            reply.rows.push_back(row);
    return reply;
}

std::size_t memory_row_store::reads_and_watches(row_set set) const
{
    auto const asked = reads_and_watches_.find(set);
    return asked == reads_and_watches_.end() ? 0 : asked->second;
}

bool memory_row_store::refused(store_callback const& done)
{
    ++calls_;
    if (!down_)
        return false;
    store_reply reply;
    reply.outcome = store_outcome::refused;
    reply.failure = "refused";
    done(reply);
    return true;
}

void memory_row_store::read(row_set set, std::string const& prefix,
                            std::string const&, duration, store_callback done)
{
    ++reads_and_watches_[set];
    if (refused(done))
        return;
    store_reply reply = changes(set, {});
    std::erase_if(reply.rows, [&prefix](stored_row const& row)
                  { return row.deleted || !row.key.starts_with(prefix); });
    done(reply);
}

void memory_row_store::watch(row_set set, row_version after, duration wait,
                             duration, store_callback done)
{
    ++reads_and_watches_[set];
    if (refused(done))
        return;
    store_reply const reply = changes(set, after);
    if (reply.rows.empty() && wait > duration(0))
        waiting_.push_back({set, after, std::move(done)});
    else
        done(reply);
}

void memory_row_store::transact(row_set set,
                                table_transaction const& transaction, duration,
                                store_callback done)
{
    ++transactions_;
    if (refused(done))
        return;
    store_reply reply;
    for (table_condition const& condition : transaction.conditions)
    {
        auto const row = sets_[set].find(condition.key);
        row_version const version =
            row == sets_[set].end() ? row_version() : row->second.version;
        if (version != condition.version)
            reply.outcome = store_outcome::conflict;
    }
    if (reply.outcome != store_outcome::conflict)
    {
        reply.outcome = store_outcome::done;
        for (table_write const& each : transaction.writes)
            write(set, {row_kind::own,
                        each.key,
                        {},
                        each.value.value_or(""),
                        !each.value});
    }
    reply.newest = row_version(version_);
    done(reply);
}

} // namespace mulberry_test
