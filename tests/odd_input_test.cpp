/// Decoders of rows and of other VMs' messages before malformed texts.
#include "crash_row.hpp"
#include "forwarded_call.hpp"
#include "odd_json.hpp"
#include "peer_allotment.hpp"
#include "peer_grant_request.hpp"
#include "peer_rows.hpp"
#include "peer_streams.hpp"
#include "software_record.hpp"
#include "stream_row.hpp"
#include "version_records.hpp"
#include "vm_row.hpp"
#include "worker_row.hpp"

#include <catch2/catch.hpp>

#include <chrono>

using namespace mulberry;
using namespace mulberry_test;
using namespace std::chrono_literals;

namespace
{

time_point const now{1h};
clock_pair const clocks{now, std::chrono::system_clock::time_point(480'000h)};

std::string body_of(std::string const& call)
{
    return call.substr(call.find("\r\n\r\n") + 4);
}

/// Decodes all odd variants of `sound`, and that text itself, which has to be
/// decoded. Returns how many variants are decoded.
template <class Decode>
std::size_t decode_variants(std::string const& sound, Decode const& decode)
{
    CHECK(decode(sound));
    std::size_t decoded = 0;
    for (std::string const& text : odd_variants(sound))
    {
        CAPTURE(text.substr(0, 300));
        CHECK_NOTHROW(decoded += bool(decode(text)));
    }
    return decoded;
}

std::string sound_vm_row()
{
    return to_text(vm_row{"t", incarnation(3), incarnation(2), incarnation(1),
                          "127.0.0.1:80", domain_id("zone-a"),
                          member_state::live, true, true, 9, row_version(4),
                          false, 1000, true});
}

std::string sound_worker_row()
{
    return to_text(worker_row{"t",
                              {vm_id("vm-1"), incarnation(3)},
                              fencing_number(7),
                              {{vm_id("vm-2"), incarnation(1)}},
                              {engine_name("a1")},
                              worker_start(5)});
}

crash_observation const seen{request_digest("d1"),
                             {worker_id("w1"), worker_start(7)},
                             now - 90ms,
                             now - 30ms};

std::string sound_peer_call()
{
    peer_call call;
    call.ask = peer_grant_request{service_id("llm"),
                                  worker_id("w1"),
                                  {base_model_id("base"), adapter_id("a1")},
                                  2,
                                  1500ms,
                                  request_id("r1"),
                                  {worker_id("w3")},
                                  9190,
                                  {77, 6300},
                                  540ms,
                                  320ms,
                                  std::set{software_version("v1")},
                                  team_id("team1"),
                                  70};
    call.done = {{7, send_outcome::served}};
    call.crashes = {{seen}, {request_digest("d2")}, {}, {}};
    call.crashes.cleared = {seen};
    call.crashes.confirmed = {request_digest("p1")};
    call.asked_parts = {request_digest("p2")};
    call.rejections = {{worker_id("w5"), 4, true}};
    return body_of(encode_peer_call(call, "vm", now));
}

std::string sound_rows_answer()
{
    rows_answer answer;
    for (row_set_changes& each : answer)
        each = {true,
                row_version(9),
                40ms,
                true,
                false,
                {{row_kind::worker, "w", row_version(3), "{}", false},
                 {row_kind::worker, "v", row_version(4), {}, true}},
                0,
                std::nullopt};
    return encode_rows_answer(answer);
}

} // namespace

// Guards against a process that ends at a malformed row of the product's own.
TEST_CASE("malformed own rows are reported and not thrown", "[odd_input]")
{
    decode_variants(sound_vm_row(),
                    [](std::string const& text) { return parse_vm_row(text); });
    decode_variants(sound_worker_row(), [](std::string const& text)
                    { return parse_worker_row(text); });
    decode_variants(
        software_record_text(
            {{software_version("v1")}, {software_version("v1")}, true}),
        [](std::string const& text) { return parse_software_record(text); });
    decode_variants(stream_row_text({request_id("s"), service_id("llm"),
                                     software_version("v1"), now + 5s},
                                    now),
                    [](std::string const& text)
                    { return parse_stream_row(text, now); });
}

// Guards against a process that ends at a malformed record of a version, and
// against a record that is not replaced.
TEST_CASE("malformed version records are reported", "[odd_input]")
{
    model_target const target{base_model_id("base"), adapter_id("a1")};
    std::uint64_t version = 0;
    version_records records;
    records.on_declared({target, adapter_version(3)}, now);
    decode_variants(R"({"version": 3})",
                    [&](std::string const& text)
                    {
                        return records.on_row(
                            {row_kind::own, version_record_key(target),
                             row_version(++version), text, false},
                            now);
                    });
    for (std::string const& key :
         {std::string("version/"), std::string("version//"),
          std::string("version/x"), std::string("version"), std::string()})
        CHECK_NOTHROW(records.on_row(
            {row_kind::own, key, row_version(++version), "{}", false}, now));
}

// Guards against crashes in the future, which would be remembered for ever.
TEST_CASE("a malformed crash row never tells of a later moment", "[odd_input]")
{
    std::string const key = crash_row_key({seen.request, seen.crashed});
    decode_variants(crash_row_text(seen, clocks),
                    [&key](std::string const& text)
                    {
                        auto const read = parse_crash_row(key, text, clocks);
                        if (read)
                        {
                            CHECK(read->at <= now);
                            CHECK(read->sent_at <= now);
                        }
                        return read;
                    });
    for (char const* odd :
         {"", "crash/", "crash/d", "crash/d/", "crash/d/1", "crash/d/-1/w",
          "crash/d/18446744073709551616/w", "crash/d//w", "crash///"})
    {
        CAPTURE(odd);
        CHECK_NOTHROW(
            parse_crash_row(odd, crash_row_text(seen, clocks), clocks));
    }
}

// Guards against a process that ends at another VM's malformed rows.
TEST_CASE("malformed rows messages are reported and not thrown", "[odd_input]")
{
    decode_variants(
        body_of(encode_rows_query(
            {{row_version(1), row_version(0), row_version(7)}, 300ms, true},
            "vm")),
        [](std::string const& text)
        {
            auto const read = decode_rows_query(text);
            if (read)
                CHECK(read->wait <= 1min);
            return read;
        });
    decode_variants(sound_rows_answer(), [](std::string const& text)
                    { return decode_rows_answer(text); });
}

// Guards against a process that ends at another VM's malformed records.
TEST_CASE("malformed stream messages are reported and not thrown",
          "[odd_input]")
{
    stream_message const message{service_id("llm"),
                                 {{request_id("s"), service_id("llm"),
                                   software_version("v1"), now + 5s}},
                                 request_id("s2"),
                                 true};
    decode_variants(body_of(encode_stream_message(message, "vm", now)),
                    [](std::string const& text)
                    {
                        auto const read = decode_stream_message(text, now);
                        if (read)
                            for (stream_record const& each : read->began)
                                CHECK(each.until <= now + 1h);
                        return read;
                    });
    decode_variants(encode_stream_reply({software_version("v1"),
                                         software_version("v1"),
                                         {software_version("v1")}}),
                    [](std::string const& text)
                    { return decode_stream_reply(text); });
}

// Guards against a process that ends at another VM's malformed question for a
// grant, or its answer.
TEST_CASE("malformed grant requests are reported and not thrown", "[odd_input]")
{
    decode_variants(sound_peer_call(),
                    [](std::string const& text)
                    {
                        auto const read = decode_peer_call(text, now);
                        if (read && read->ask)
                            CHECK(read->ask->time_left <= 10min);
                        return read;
                    });
    decode_variants(encode_peer_reply({true,
                                       4,
                                       worker_id("w"),
                                       adapter_version(2),
                                       {{request_digest("p"), now - 1s}}},
                                      now),
                    [](std::string const& text)
                    { return decode_peer_reply(text, now); });
}

// Guards against a process that ends at another VM's malformed share of an
// allotment.
TEST_CASE("malformed allotments are reported and not thrown", "[odd_input]")
{
    allotment_query const query{
        vm_id("a"), 2000ms, {{allotment_id("pits"), 0.0625, 1, 2}}};
    allotment_reply const reply{{allotment_id("pits"), 716, 120ms, 900ms}};
    decode_variants(body_of(encode_allotment_query(query, "h")),
                    [](std::string const& text)
                    { return decode_allotment_query(text); });
    decode_variants(encode_allotment_reply(reply), [](std::string const& text)
                    { return decode_allotment_reply(text); });
    std::vector<worker_limit_notice> const notices{
        {worker_id("w"), 4.0, now - 1s}};
    decode_variants(
        body_of(encode_worker_limit_query({query, notices}, "h", now)),
        [](std::string const& text)
        { return decode_worker_limit_query(text, now); });
    decode_variants(encode_worker_limit_reply({reply, notices}, now),
                    [](std::string const& text)
                    { return decode_worker_limit_reply(text, now); });
}

// Guards against timeouts of a forwarded call that overflow, and against a
// process that ends at such a call.
TEST_CASE("the timeouts of a forwarded call are bounded", "[odd_input]")
{
    for (char const* number :
         {"", "-1", "1.5", "1e9", "250", "9223372036854775807",
          "9223372036854775808", "x"})
    {
        CAPTURE(number);
        http_request call;
        call.method = "POST";
        call.headers.add("Worker", "w");
        call.headers.add("Worker-Address", "127.0.0.1:80");
        call.headers.add("Connect-Timeout-Ms", number);
        call.headers.add("Max-Idle-Ms", number);
        call.body = "GET / HTTP/1.1\r\n\r\n";
        auto const read = decode_forwarded_call(call);
        if (!read)
            continue;
        CHECK(read->options.connect_timeout <= 1min);
        CHECK(read->options.max_idle <= 1min);
    }
}

// Guards against a status out of range in a frame of a forwarded answer.
TEST_CASE("malformed frames of a forwarded answer are reported", "[odd_input]")
{
    struct ignoring_observer final : exchange_observer
    {
        void on_head(int status, http_headers) override
        {
            CHECK(status >= 100);
            CHECK(status <= 999);
        }
        void on_body(std::string_view) override {}
        void on_end(bool) override {}
        void on_failure(call_stage, std::string const&) override {}
    };
    for (char const* head :
         {"", "\n", "-1\n", "0\n", "99\n", "1000\n", "4294967496\n",
          "9223372036854775808\n", "2e2\n", "200\nno colon\n", "200\n\n"})
    {
        CAPTURE(head);
        std::string frame = encode_body_frame(head);
        frame.front() = 'H';
        answer_frame_reader reader;
        ignoring_observer observer;
        CHECK_FALSE(reader.feed(frame, observer));
    }
    for (int type = 0; type < 256; ++type)
    {
        CAPTURE(type);
        std::string frame = encode_body_frame("x");
        frame.front() = static_cast<char>(type);
        answer_frame_reader reader;
        ignoring_observer observer;
        CHECK_FALSE(reader.feed(frame, observer));
    }
}
