#include "kernel.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

namespace
{

class recording_part : public daemon_part
{
public:
    recording_part(std::string name, std::vector<std::string>& calls,
                   bool fails = false)
        : name_(std::move(name)), calls_(&calls), fails_(fails)
    {
    }
    void start(kernel&) override
    {
        if (fails_)
            throw std::runtime_error("cannot");
        calls_->push_back("start " + name_);
    }
    void stop() override { calls_->push_back("stop " + name_); }

private:
    std::string name_;
    std::vector<std::string>* calls_;
    bool fails_;
};

} // namespace

TEST_CASE("parts start in order, stop in reverse order and are found by name",
          "[kernel]")
{
    std::vector<std::string> calls;
    kernel parts;
    parts.add("one", std::make_unique<recording_part>("one", calls));
    parts.add("two", std::make_unique<recording_part>("two", calls));
    CHECK_NOTHROW(parts.find<recording_part>("one"));
    CHECK_THROWS_AS(parts.find<recording_part>("three"), std::logic_error);
    CHECK_THROWS_AS(
        parts.add("one", std::make_unique<recording_part>("one", calls)),
        std::logic_error);
    parts.start();
    parts.stop();
    CHECK(calls == std::vector<std::string>{"start one", "start two",
                                            "stop two", "stop one"});
}

TEST_CASE("when a part fails to start, the parts already started are stopped",
          "[kernel]")
{
    std::vector<std::string> calls;
    kernel parts;
    parts.add("one", std::make_unique<recording_part>("one", calls));
    parts.add("bad", std::make_unique<recording_part>("bad", calls, true));
    CHECK_THROWS_AS(parts.start(), std::runtime_error);
    CHECK(calls == std::vector<std::string>{"start one", "stop one"});
}
