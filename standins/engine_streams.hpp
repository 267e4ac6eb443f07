/// The completions of one engine worker, from admission until their records
/// expire.
#ifndef MULBERRY_ENGINE_STREAMS_HPP
#define MULBERRY_ENGINE_STREAMS_HPP

#include "batch_scheduler.hpp"
#include "completion_text.hpp"
#include "engine_journal.hpp"
#include "engine_settings.hpp"
#include "http_server.hpp"
#include "prefix_cache.hpp"
#include "standin_loop.hpp"

#include <json/json.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mulberry::standins
{

/// The fault injected into a stream after its second event.
enum class stream_fault
{
    none,
    /// The reader receives nothing more; the stream itself continues.
    hang,
    /// The reader's connection is closed.
    drop
};

struct completion_order
{
    engine_call call;
    completion_text text;
    /// The headers of the answer.
    http_headers headers;
    std::string prefix{};
    int priority = 5;
    bool streamed = false;
    bool resumable = false;
    stream_fault fault = stream_fault::none;
};

/// Only on the loop's thread.
class engine_streams
{
public:
    using answer_ptr = std::shared_ptr<http_answer>;

    engine_streams(engine_settings const& settings, engine_journal& journal,
                   standin_loop& loop);

    /// Starts a completion. Returns false without answering if the queue is
    /// full.
    bool start(completion_order order, answer_ptr const& reader);
    /// Continues a stream with a new reader and disconnects the earlier reader.
    /// Returns false if the stream is unknown.
    bool resume(std::string const& request, std::size_t offset,
                http_headers headers, answer_ptr const& reader);
    /// Returns false if the stream is complete or unknown.
    bool cancel(std::string const& request);
    /// Aborts every stream in flight for the engine name.
    void abort_streams_for(std::string const& name);
    /// Aborts all streams and clears the prefix cache, as a restart does.
    void abort_all_streams();
    /// Applies the stream settings named in a control request.
    void control(Json::Value const& order);

    std::size_t running() const { return scheduler_.running(); }
    std::size_t waiting() const { return scheduler_.waiting(); }
    prefix_cache const& prefixes() const { return prefixes_; }

private:
    struct stream
    {
        completion_order order;
        bool is_complete = false;
        /// The response headers were sent to the reader.
        bool headers_sent = false;
        std::size_t generated = 0;
        /// The first offset to send to the reader.
        std::size_t from = 0;
        /// Incremented for each reader, so that late notifications about an
        /// earlier reader are recognised.
        std::uint64_t reader_number = 0;
        answer_ptr reader{};
    };
    using stream_map = std::map<job_id, stream>;

    std::chrono::microseconds prefill(job_id job);
    void pump();
    void apply_step(batch_step const& step);
    void attach(job_id job, answer_ptr const& reader);
    static void start_response(stream& entry);
    static void deliver(stream& entry, std::size_t from, std::size_t to);
    void apply_fault(stream_map::iterator found, std::size_t from);
    void finish(stream_map::iterator found);
    void on_reader_closed(job_id job, std::uint64_t reader_number);
    /// Precondition: the stream has no reader.
    void on_reader_lost(stream_map::iterator found);
    void expire(job_id job, std::uint64_t reader_number);
    void end(stream_map::iterator found, std::string_view kind);
    void erase(stream_map::iterator found);
    void expire_finished_streams();
    stream_map::iterator find(std::string const& request);

    engine_settings settings_;
    engine_journal& journal_;
    standin_loop& loop_;
    prefix_cache prefixes_;
    batch_scheduler scheduler_;
    loop_timer token_timer_;
    bool rejects_resume_ = false;
    std::uint64_t last_job_ = 0;
    stream_map streams_;
    /// The latest stream of each request id.
    std::map<std::string, job_id> jobs_;
    /// Complete streams, kept for readers that reconnect.
    std::deque<std::pair<steady_time, job_id>> complete_streams_;
    /// Answers of hanging streams, kept until their clients disconnect, since
    /// destroying an answer closes its connection.
    std::map<std::pair<job_id, std::uint64_t>, answer_ptr> silent_readers_;
};

} // namespace mulberry::standins

#endif
