#include "answer_gate.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace mulberry;

namespace
{

struct recorded_answer final : http_answer
{
    void respond(http_response) override { log += "respond "; }
    void start_stream(int, http_headers) override { log += "start "; }
    void write(std::string chunk) override { log += chunk + " "; }
    void finish() override { log += "finish "; }
    void abort() override { log += "abort "; }
    void on_closed(std::function<void()>) override { log += "closed "; }
    std::size_t unsent_bytes() const override { return 1; }

    std::string log;
};

struct gate_fixture
{
    std::shared_ptr<recorded_answer> const answer =
        std::make_shared<recorded_answer>();
    answer_gate gate{answer};
};

} // namespace

TEST_CASE("chunks and the end wait for the gate", "[answer_gate]")
{
    gate_fixture world;
    world.gate.write("a");
    world.gate.write("bc");
    world.gate.finish();
    CHECK(world.answer->log.empty());
    CHECK(world.gate.unsent_bytes() == 4);
    world.gate.open();
    CHECK(world.answer->log == "a bc finish ");
    CHECK(world.gate.unsent_bytes() == 1);
    world.gate.open();
    CHECK(world.answer->log == "a bc finish ");
}

TEST_CASE("an open gate passes everything on", "[answer_gate]")
{
    gate_fixture world;
    world.gate.open();
    CHECK(world.answer->log.empty());
    world.gate.write("a");
    world.gate.write("b");
    world.gate.finish();
    CHECK(world.answer->log == "a b finish ");
}

// Guards against showing a caller events that nobody has a record of.
TEST_CASE("an answer that is aborted behind its gate shows nothing",
          "[answer_gate]")
{
    gate_fixture world;
    world.gate.write("a");
    world.gate.abort();
    world.gate.open();
    CHECK(world.answer->log == "abort ");
}

// Guards against cutting a stream that is complete.
TEST_CASE("a complete answer cannot be aborted behind its gate",
          "[answer_gate]")
{
    gate_fixture world;
    world.gate.write("a");
    world.gate.finish();
    world.gate.abort();
    world.gate.write("b");
    world.gate.open();
    CHECK(world.answer->log == "a finish ");
}

TEST_CASE("a caller that leaves is noticed behind a gate", "[answer_gate]")
{
    gate_fixture world;
    world.gate.on_closed([] {});
    CHECK(world.answer->log == "closed ");
}
