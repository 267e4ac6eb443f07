#include "forwarded_call.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

/// Writes down the events of an exchange.
class recorder final : public exchange_observer
{
public:
    void on_head(int status, http_headers headers) override
    {
        text += "head " + std::to_string(status);
        for (auto const& [name, value] : headers.fields())
            text += " " + name + "=" + value;
        text += ";";
    }
    void on_body(std::string_view bytes) override
    {
        text += "body " + std::string(bytes) + ";";
    }
    void on_end(bool framed) override { text += framed ? "end" : "closed"; }
    void on_failure(call_stage stage, std::string const& reason) override
    {
        text +=
            "failed " + std::to_string(static_cast<int>(stage)) + " " + reason;
    }

    std::string text;
};

forwarded_call example()
{
    return {worker_id("w-1"), {"10.0.0.7", 8001}, request_id("r-1"),
            vm_id("vm-2"),    {300ms, 1000ms},    "POST / HTTP/1.1\r\n\r\n"};
}

http_request received(forwarded_call const& call)
{
    http_request request;
    request.method = "POST";
    request.path = forwarded_call_path;
    request.headers.add("Worker", call.worker.str());
    request.headers.add("Worker-Address", "10.0.0.7:8001");
    request.headers.add("Request", call.request.str());
    request.headers.add("From", call.from.str());
    request.headers.add("Connect-Timeout-Ms", "300");
    request.headers.add("Max-Idle-Ms", "1000");
    request.body = call.outgoing.head;
    return request;
}

} // namespace

TEST_CASE("a forwarded call is read as it was written", "[forwarded_call]")
{
    CHECK(decode_forwarded_call(received(example())) == example());
    std::string const text = encode_forwarded_call(example(), "vm-2").head;
    CHECK(text.find("Worker-Address: 10.0.0.7:8001\r\n") != std::string::npos);
    CHECK(text.ends_with("\r\n\r\n" + example().outgoing.head));
}

TEST_CASE("the body of a forwarded call is not copied", "[forwarded_call]")
{
    forwarded_call call = example();
    call.outgoing.body = std::make_shared<std::string const>("a body");
    outgoing_request const sent = encode_forwarded_call(call, "vm-2");
    CHECK(sent.body == call.outgoing.body);
    std::string const length =
        std::to_string(call.outgoing.head.size() + 6) + "\r\n\r\n";
    CHECK(
        sent.head.ends_with("Content-Length: " + length + call.outgoing.head));
}

TEST_CASE("a forwarded call with a bad field is refused", "[forwarded_call]")
{
    http_request no_worker = received(example());
    no_worker.headers = {};
    CHECK_FALSE(decode_forwarded_call(no_worker));
    http_request empty = received(example());
    empty.body.clear();
    CHECK_FALSE(decode_forwarded_call(empty));
    forwarded_call call = example();
    http_request bad = received(call);
    http_headers fields;
    for (auto const& [name, value] : bad.headers.fields())
        fields.add(name, name == "Max-Idle-Ms" ? "soon" : value);
    bad.headers = fields;
    CHECK_FALSE(decode_forwarded_call(bad));
}

TEST_CASE("an answer in frames is passed on however it is cut",
          "[forwarded_call]")
{
    http_headers headers;
    headers.add("Content-Type", "text/event-stream");
    std::string const text = encode_head_frame(200, headers) +
                             encode_body_frame("id: 1\n\n") +
                             encode_body_frame("") + encode_end_frame(true);
    for (std::size_t size : {std::size_t{1}, std::size_t{7}, text.size()})
    {
        recorder seen;
        answer_frame_reader reader;
        for (std::size_t at = 0; at < text.size(); at += size)
            REQUIRE(reader.feed(std::string_view(text).substr(at, size), seen));
        CHECK(seen.text ==
              "head 200 Content-Type=text/event-stream;body id: 1\n\n;body ;"
              "end");
        CHECK(reader.is_complete());
    }
}

TEST_CASE("a failure in frames keeps how far the request got",
          "[forwarded_call]")
{
    for (auto const stage :
         {call_stage::not_sent, call_stage::sent, call_stage::answering})
    {
        recorder seen;
        answer_frame_reader reader;
        REQUIRE(reader.feed(encode_failure_frame(stage, "reset"), seen));
        CHECK(seen.text ==
              "failed " + std::to_string(static_cast<int>(stage)) + " reset");
        CHECK(reader.is_complete());
    }
}

// Guards against an answer that looks complete although the VM between broke
// off, and against bytes that belong to no answer.
TEST_CASE("an answer without its last frame is incomplete", "[forwarded_call]")
{
    recorder seen;
    answer_frame_reader reader;
    CHECK(reader.feed(encode_head_frame(200, {}) + encode_body_frame("half"),
                      seen));
    CHECK_FALSE(reader.is_complete());
    CHECK(reader.has_head());
    CHECK(reader.feed(encode_end_frame(false), seen));
    CHECK(reader.is_complete());
    CHECK_FALSE(reader.feed(encode_body_frame("more"), seen));
    CHECK(seen.text == "head 200;body half;closed");
    for (std::string const& bad :
         {encode_body_frame("no head"), encode_end_frame(true),
          std::string("X\0\0\0\0", 5), std::string("B\xff\xff\xff\xff", 5)})
    {
        recorder ignored;
        answer_frame_reader strict;
        CHECK_FALSE(strict.feed(bad, ignored));
        CHECK(ignored.text.empty());
    }
}
