#include "kernel.hpp"

#include <catch2/catch.hpp>

using namespace mulberry;

namespace
{

class recording_part : public daemon_part
{
public:
    recording_part(std::string name, std::vector<std::string>& told,
                   bool fails = false)
        : name_(std::move(name)), told_(&told), fails_(fails)
    {
    }
    void start(kernel&) override
    {
        if (fails_)
            throw std::runtime_error("cannot");
        told_->push_back("start " + name_);
    }
    void stop() override { told_->push_back("stop " + name_); }

private:
    std::string name_;
    std::vector<std::string>* told_;
    bool fails_;
};

} // namespace

TEST_CASE("parts start in order, stop in the reverse, and are found by name",
          "[kernel]")
{
    std::vector<std::string> told;
    kernel parts;
    parts.add("one", std::make_unique<recording_part>("one", told));
    parts.add("two", std::make_unique<recording_part>("two", told));
    CHECK_NOTHROW(parts.find<recording_part>("one"));
    CHECK_THROWS_AS(parts.find<recording_part>("three"), std::logic_error);
    CHECK_THROWS_AS(
        parts.add("one", std::make_unique<recording_part>("one", told)),
        std::logic_error);
    parts.start();
    parts.stop();
    CHECK(told == std::vector<std::string>{"start one", "start two", "stop two",
                                           "stop one"});
}

TEST_CASE("when a part cannot start, those started are stopped", "[kernel]")
{
    std::vector<std::string> told;
    kernel parts;
    parts.add("one", std::make_unique<recording_part>("one", told));
    parts.add("bad", std::make_unique<recording_part>("bad", told, true));
    CHECK_THROWS_AS(parts.start(), std::runtime_error);
    CHECK(told == std::vector<std::string>{"start one", "stop one"});
}
