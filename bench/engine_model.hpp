/// A model engine's worker by the step: how a batch reads prompts, makes tokens
/// and keeps adapters, in virtual time.
#ifndef MULBERRY_ENGINE_MODEL_HPP
#define MULBERRY_ENGINE_MODEL_HPP

#include "relay_request.hpp"
#include "time_point.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberry
{

/// Times are of one step or one fetch. Value.
struct engine_settings
{
    /// Requests that run at once, and that wait at the worker besides.
    std::size_t batch = 12;
    std::size_t queue = 36;
    duration step = std::chrono::microseconds(5470);
    duration step_a_request = std::chrono::microseconds(12);
    duration step_a_thousand_tokens = std::chrono::microseconds(23);
    double read_tokens_a_ms = 38.7;
    /// Prompt tokens read in one step at most.
    std::uint32_t chunk = 2048;
    /// Tokens of prompts' beginnings that are kept for later requests.
    std::uint64_t kept_tokens = 120'000;
    std::size_t adapter_slots = 9;
    std::size_t adapter_copies = 54;
    duration fetch = std::chrono::milliseconds(250);
    duration fetch_of_copy = std::chrono::milliseconds(25);
    /// Fetches of all workers that run at full speed; more slow each other.
    std::size_t fetch_width = 72;
    friend bool operator==(engine_settings const&,
                           engine_settings const&) = default;
};

/// Fetches under way, shared by the workers of a deployment. Thread safety:
/// none.
struct fetch_gate
{
    std::size_t under_way = 0;
};

struct engine_request
{
    std::uint64_t id = 0;
    std::string adapter;
    shared_prefix prefix;
    /// Of the whole prompt.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 1;
    int priority = 0;
    /// Another worker has the beginning and hands it over.
    bool prefix_copied = false;
};

enum class admission
{
    taken,
    /// Its queue is full.
    full,
    lacks_adapter,
    down
};

/// What a request came to. Value.
struct engine_progress
{
    enum class kind
    {
        first_token,
        ended
    };
    std::uint64_t request = 0;
    kind what = kind::first_token;
    friend bool operator==(engine_progress const&,
                           engine_progress const&) = default;
};

struct engine_counts
{
    std::uint64_t tokens_read = 0;
    /// Of beginnings that had been read here before and had made way.
    std::uint64_t tokens_read_again = 0;
    std::uint64_t fetches = 0;
    std::uint64_t fetches_of_copies = 0;
    friend bool operator==(engine_counts const&,
                           engine_counts const&) = default;
};

/// Thread safety: none. Pure: no I/O, no clock. `settings` and `gate` outlive
/// it.
class engine_model
{
public:
    engine_model(engine_settings const& settings, fetch_gate& gate);

    admission submit(engine_request request, time_point now);
    /// The sender gave the request up.
    void cancel(std::uint64_t request);
    /// Precondition: orders arrive in the order of time.
    order_outcome take(worker_order const& order, time_point now);
    worker_report report(base_model_id const& model, time_point now);
    /// When the step under way ends; never while nothing runs.
    time_point step_ends_at() const { return step_ends_at_; }
    /// Ends the step that is due and begins the next one.
    std::vector<engine_progress> advance(time_point now);
    /// Loses everything but copies on its disk, and is down until start().
    std::vector<std::uint64_t> crash(time_point now);
    void start() { down_ = false; }

    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }
    engine_counts const& counts() const { return counts_; }

private:
    struct run
    {
        engine_request request;
        std::uint32_t to_read = 0;
        std::uint32_t to_make = 0;
        /// Tokens of its prompt that the step under way reads.
        std::uint32_t reading = 0;
    };
    struct kept_prefix
    {
        std::string key;
        std::uint32_t tokens = 0;
    };

    void settle(time_point now);
    order_outcome load(worker_order const& order, time_point now);
    order_outcome unload(worker_order const& order);
    bool in_use(std::string const& adapter) const;
    void admit();
    void begin_step(time_point now);
    std::uint32_t to_read(engine_request const& request);
    void keep(engine_request const& request);
    static std::string key_of(engine_request const& request);

    engine_settings const& settings_;
    fetch_gate& gate_;
    bool down_ = false;
    std::vector<run> running_;
    /// By priority, then by arrival.
    std::multimap<int, engine_request> waiting_;
    time_point step_ends_at_ = never;
    std::uint64_t sequence_ = 0;
    std::set<std::string> resident_;
    std::map<std::string, time_point> coming_;
    /// Which of those that are coming count at the gate.
    std::set<std::string> fetched_;
    std::set<std::string> leaving_;
    /// Least recently used first.
    std::list<std::string> copies_;
    std::list<kept_prefix> prefixes_;
    std::uint64_t prefix_tokens_ = 0;
    std::set<std::string> read_before_;
    engine_counts counts_;
};

} // namespace mulberry

#endif
