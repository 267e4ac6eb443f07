#include "ctl_commands.hpp"
#include "ctl_text.hpp"
#include "declaration_text.hpp"
#include "plan_file.hpp"

#include <catch2/catch.hpp>
#include <json/reader.h>

#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>

#include <unistd.h>

using namespace mulberry;
using namespace std::chrono_literals;

namespace
{

using words = std::vector<std::string>;
using scripted_answer = std::function<Json::Value(std::string const&)>;

/// Answers calls in order from a script; the last answer is repeated.
class scripted_client : public operator_client
{
public:
    Json::Value call(std::string const& method, Json::Value const&,
                     resend lost) override
    {
        calls.push_back(method);
        if (lost == resend::never)
            sent_once.push_back(method);
        REQUIRE_FALSE(script.empty());
        scripted_answer const next = script.front();
        if (script.size() > 1) // the last answer is repeated
            script.pop_front();
        return next(method);
    }

    std::deque<scripted_answer> script;
    words calls;
    words sent_once;
};

class manual_clock : public ctl_clock
{
public:
    time_point now() const override { return now_; }
    void sleep_until(time_point when) override { now_ = when; }

private:
    time_point now_;
};

/// What a command uses: a client, a clock, a folder and the printed output.
struct ctl_fixture
{
    ctl_fixture()
        : folder(std::filesystem::temp_directory_path() /
                 ("ctl_test_" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(folder);
    }
    ctl_fixture(ctl_fixture const&) = delete;
    ctl_fixture& operator=(ctl_fixture const&) = delete;
    ~ctl_fixture() { std::filesystem::remove_all(folder); }

    std::string write(std::string const& name, std::string const& text) const
    {
        std::string const path = folder / name;
        std::ofstream(path) << text;
        return path;
    }

    ctl_exit run(words arguments)
    {
        for (char const* word :
             {"--operators", "127.0.0.1:9", "--key-file", "key"})
            arguments.emplace_back(word);
        return run_command(parse_ctl_options(arguments),
                           {client, clock, out, err});
    }

    std::filesystem::path folder;
    scripted_client client;
    manual_clock clock;
    std::ostringstream out;
    std::ostringstream err;
};

std::string usage_fault(words const& arguments)
{
    try
    {
        parse_ctl_options(arguments);
        return "";
    }
    catch (usage_failure const& failure)
    {
        return failure.what();
    }
}

std::string plan_text(std::uint64_t base)
{
    return write_plan_file({config_version(base), digest_of("wanted"), "wanted",
                            Json::Value(Json::objectValue)});
}

scripted_answer configuration(std::uint64_t version, std::string const& text)
{
    return [=](std::string const&)
    {
        Json::Value answer;
        answer["version"] = static_cast<Json::UInt64>(version);
        answer["declaration"] = text;
        return answer;
    };
}

scripted_answer failure(operator_call_failure::kind kind,
                        char const* ran = nullptr)
{
    return [=](std::string const&) -> Json::Value
    {
        Json::Value data;
        if (ran != nullptr)
            data["ran"] = ran;
        throw operator_call_failure(kind, "the client's words", data);
    };
}

Json::Value json(std::string const& text)
{
    Json::Value value;
    std::istringstream(text) >> value;
    return value;
}

scripted_answer answer(std::string const& text)
{
    return [text](std::string const&) { return json(text); };
}

std::string const declaration_text = R"({"deployment": "trust",
"store": {"loads_per_second": 9, "loads_at_once": 4}})";

constexpr auto lost = operator_call_failure::kind::outcome_unknown;

} // namespace

TEST_CASE("a command line is parsed", "[ctl]")
{
    ctl_options const options =
        parse_ctl_options({"--operators", "10.0.0.1:9200", "drain", "vm-3",
                           "--wait", "--operators", "10.0.0.2:9200",
                           "--key-file", "k", "--timeout-ms", "50", "--json"});
    CHECK(options.command == "drain");
    CHECK(options.arguments == words{"vm-3"});
    CHECK(options.operators == words{"10.0.0.1:9200", "10.0.0.2:9200"});
    CHECK(options.wait);
    CHECK(options.json);
    CHECK(options.timeout == 50ms);
}

TEST_CASE("the error of a wrong command line says what is wrong", "[ctl]")
{
    CHECK(usage_fault({}) == "a command is missing");
    CHECK(usage_fault({"paln"}) == "there is no command \"paln\"");
    CHECK(usage_fault({"check"}) == "check needs FILE...");
    CHECK(usage_fault({"plan", "a", "b"}) == "\"b\" is too much for plan");
    CHECK(usage_fault({"status"}) == "status needs --operators IP:PORT of a "
                                     "VM");
    CHECK(usage_fault({"status", "--operators", "vm-1:80"}) ==
          "--operators \"vm-1:80\" is not IP:PORT with a numeric IP");
    CHECK_FALSE(usage_fault({"check", "f", "--follow"}).empty());
    CHECK_FALSE(usage_fault({"check", "f", "--timeout-ms", "0"}).empty());
    CHECK_FALSE(usage_fault({"check", "f", "--timeout-ms", "x"}).empty());
}

TEST_CASE("the help of each command has an example", "[ctl]")
{
    for (char const* command :
         {"", "check", "team", "plan", "confirm", "status", "configuration",
          "targets", "drain", "timeline"})
    {
        CAPTURE(command);
        std::string const help = ctl_help(command);
        CHECK(help.find("\n  mulberryctl ") != std::string::npos);
        CHECK(help.find("Exit codes") != std::string::npos);
        CHECK(parse_ctl_options({command, "--help"}).help);
    }
}

TEST_CASE("check distinguishes declarations from settings and lists faults",
          "[ctl]")
{
    ctl_fixture fixture;
    ctl_options options;
    options.arguments = {fixture.write("d.jsonc", declaration_text)};
    CHECK(run_check(options, fixture.out, fixture.err) == ctl_exit::ok);
    options.arguments = {fixture.write("vm.jsonc", R"({"vm": "vm-1"})")};
    CHECK(run_check(options, fixture.out, fixture.err) == ctl_exit::faults);
    CHECK(fixture.err.str().find("peers_key: is missing") != std::string::npos);
    options.arguments = {"/no/such/file"};
    CHECK_THROWS_AS(run_check(options, fixture.out, fixture.err), file_failure);
}

TEST_CASE("a plan is saved in a file that confirm accepts", "[ctl]")
{
    ctl_fixture fixture;
    Json::Value planned;
    planned["declaration"] = "wanted";
    planned["plan"]["base"] = 4;
    planned["plan"]["digest"] = digest_of("wanted");
    planned["plan"]["feasible"] = true;
    planned["plan"]["summary"] = "Plan ...\n";
    fixture.client.script = {[=](std::string const&) { return planned; },
                             answer(R"({"version": 5})")};
    std::string const file = fixture.folder / "plan.json";
    CHECK(fixture.run({"plan", fixture.write("d.jsonc", declaration_text),
                       "--output", file}) == ctl_exit::ok);
    CHECK(fixture.out.str() == "Plan ...\n");
    CHECK(fixture.run({"confirm", file}) == ctl_exit::ok);
    CHECK(fixture.out.str().find("version 5 is in force") != std::string::npos);
}

TEST_CASE("a plan that does not fit is not saved", "[ctl]")
{
    ctl_fixture fixture;
    fixture.client.script = {answer(R"({"plan": {"feasible": false}})")};
    std::string const file = fixture.folder / "plan.json";
    CHECK(fixture.run({"plan", fixture.write("d.jsonc", declaration_text),
                       "--output", file}) == ctl_exit::refused);
    CHECK_FALSE(std::filesystem::exists(file));
}

TEST_CASE("a changed plan file is refused before anything is sent", "[ctl]")
{
    ctl_fixture fixture;
    std::string text = plan_text(4);
    text.replace(text.find("wanted"), 6, "wanter");
    CHECK(fixture.run({"confirm", fixture.write("p.json", text)}) ==
          ctl_exit::faults);
    CHECK(fixture.client.calls.empty());
}

// Guards against a confirm that is sent again after the answer of the table or
// of the VM was lost: the second confirm could replace another operator's newer
// declaration by an old one. The configuration is read back instead.
TEST_CASE("a confirm with a lost answer is read back, never sent again",
          "[ctl]")
{
    ctl_fixture fixture;
    std::string const file = fixture.write("p.json", plan_text(4));
    SECTION("it is in force, although the first read was stale")
    {
        fixture.client.script = {
            failure(lost), configuration(4, "old"),
            failure(operator_call_failure::kind::unreachable),
            configuration(5, "wanted")};
        CHECK(fixture.run({"confirm", file}) == ctl_exit::ok);
    }
    SECTION("the VM itself does not know")
    {
        fixture.client.script = {
            failure(operator_call_failure::kind::refused, "unknown"),
            configuration(5, "wanted")};
        CHECK(fixture.run({"confirm", file}) == ctl_exit::ok);
    }
    SECTION("another operator came first")
    {
        fixture.client.script = {failure(lost), configuration(5, "other")};
        CHECK(fixture.run({"confirm", file}) == ctl_exit::refused);
    }
    SECTION("it may have been in force in between")
    {
        fixture.client.script = {failure(lost), configuration(6, "other")};
        CHECK(fixture.run({"confirm", file}) == ctl_exit::outcome_unknown);
    }
    SECTION("it is not in force yet")
    {
        fixture.client.script = {failure(lost), configuration(4, "old")};
        CHECK(fixture.run({"confirm", file}) == ctl_exit::outcome_unknown);
    }
    CHECK(fixture.client.sent_once == words{"confirm"});
    CHECK(std::count(fixture.client.calls.begin(), fixture.client.calls.end(),
                     "confirm") == 1);
}

TEST_CASE("after a confirm that did not run nothing is read back", "[ctl]")
{
    ctl_fixture fixture;
    std::string const file = fixture.write("p.json", plan_text(4));
    fixture.client.script = {
        failure(operator_call_failure::kind::refused, "no")};
    CHECK(fixture.run({"confirm", file}) == ctl_exit::refused);
    fixture.client.script = {failure(operator_call_failure::kind::unreachable)};
    CHECK(fixture.run({"confirm", file}) == ctl_exit::unreachable);
    CHECK(fixture.client.calls == words{"confirm", "confirm"});
}

TEST_CASE("a refusal is printed as JSON with --json", "[ctl]")
{
    // A script that confirms an outdated plan with --json reads from standard
    // output why it was refused, whether anything ran, and what changed. The
    // exit status and standard error are the same as without --json.
    ctl_fixture fixture;
    std::string const file = fixture.write("p.json", plan_text(4));
    fixture.client.script = {
        [](std::string const&) -> Json::Value
        {
            throw operator_call_failure(
                operator_call_failure::kind::refused, "changed",
                json(R"({"kind": "plan_outdated", "ran": "no",
"retry_after_ms": 300, "changes": [{"key": "adapter a@1"}]})"));
        }};
    CHECK(fixture.run({"confirm", file}) == ctl_exit::refused);
    CHECK(fixture.out.str().empty());
    std::string const text = fixture.err.str();
    CHECK(fixture.run({"confirm", file, "--json"}) == ctl_exit::refused);
    CHECK(fixture.err.str() == text + text);
    CHECK(json(fixture.out.str()) == json(R"({"error": {"kind": "plan_outdated",
"message": "changed", "ran": "no", "retry_after_ms": 300,
"changes": [{"key": "adapter a@1"}]}})"));
}

TEST_CASE("the result of reading a confirm back is printed as JSON", "[ctl]")
{
    ctl_fixture fixture;
    std::string const file = fixture.write("p.json", plan_text(4));
    std::string kind;
    std::string ran;
    ctl_exit expected = ctl_exit::refused;
    SECTION("another operator came first")
    {
        fixture.client.script = {failure(lost), configuration(5, "other")};
        kind = "plan_outdated";
        ran = "no";
    }
    SECTION("it is not in force yet")
    {
        fixture.client.script = {failure(lost), configuration(4, "old")};
        expected = ctl_exit::outcome_unknown;
        kind = "outcome_unknown";
        ran = "unknown";
    }
    CHECK(fixture.run({"confirm", file, "--json"}) == expected);
    Json::Value const error = json(fixture.out.str())["error"];
    CHECK(error["kind"].asString() == kind);
    CHECK(error["ran"].asString() == ran);
    CHECK(error["retry_after_ms"].isNull());
}

TEST_CASE("a read without an answer counts as unreachable", "[ctl]")
{
    ctl_fixture fixture;
    fixture.client.script = {failure(lost)};
    CHECK(fixture.run({"targets"}) == ctl_exit::unreachable);
}

TEST_CASE("drain --wait returns when the VM has left", "[ctl]")
{
    ctl_fixture fixture;
    fixture.client.script = {
        answer(R"({"vm": "vm-3", "state": "leaving"})"),
        answer(R"({"vms": [{"vm": "vm-3", "state": "leaving"}]})"),
        failure(lost), answer(R"({"vms": [], "unreachable": ["vm-3"]})"),
        answer(R"({"vms": [{"vm": "vm-1", "state": "live"}]})")};
    CHECK(fixture.run({"drain", "vm-3", "--wait"}) == ctl_exit::ok);
    CHECK(fixture.client.calls.size() == 5);
    CHECK(fixture.out.str() == "vm-3 has left\n");
    fixture.client.script = {answer(R"({"state": "leaving"})"),
                             answer(R"({"vms": [], "unreachable": ["vm-3"]})")};
    CHECK(fixture.run({"drain", "vm-3", "--wait", "--wait-ms", "3000"}) ==
          ctl_exit::outcome_unknown);
}

TEST_CASE("the timeline shows the newest events", "[ctl]")
{
    ctl_fixture fixture;
    fixture.client.script = {
        answer(R"({"cursor": "a", "events": [{"text": "one"},
                                             {"text": "two"}]})"),
        answer(R"({"cursor": "b", "events": [{"vm": "vm-1", "number": 3,
            "stamp": "12.0", "part": "loader", "kind": "loaded",
            "text": "three"}]})"),
        answer(R"({"cursor": "b", "events": []})")};
    CHECK(fixture.run({"timeline", "--limit", "1"}) == ctl_exit::ok);
    CHECK(fixture.out.str() == "12.0 vm-1 loader loaded: three\n");
}

TEST_CASE("the confirmed configuration is printed as a file", "[ctl]")
{
    ctl_fixture fixture;
    auto const parsed = parse_declaration(declaration_text, "d.jsonc");
    std::string const text = write_declaration(std::get<declaration>(parsed));
    fixture.client.script = {configuration(7, text)};
    CHECK(fixture.run({"configuration"}) == ctl_exit::ok);
    CHECK(fixture.out.str().find("// version 7\n") == 0);
    CHECK(parse_declaration(fixture.out.str(), "x") == parsed);
}

TEST_CASE("a status is shown per VM", "[ctl]")
{
    CHECK(status_text(json(R"({"vms": [{"vm": "vm-1", "incarnation": 3,
"state": "live", "configuration": {"version": 7, "fresh": false},
"table": "reachable", "workers": [{"worker": "loglm-01", "fence": 12,
"running": 2, "queued": 0, "suspects": 0, "residents": [
{"adapter": "notes-1@2", "state": "ready", "in_flight": 1},
{"adapter": "notes-2@1", "state": "loading", "in_flight": 0}]}]}],
"unreachable": ["vm-2"]})")) ==
          "vm-1 (incarnation 3): live, configuration 7 (STALE), table "
          "reachable\n"
          "    worker    fence  running  queued  suspects  residents\n"
          "    loglm-01  12     2        0       0         notes-1@2, "
          "notes-2@1 (loading)\n"
          "vm-2: UNREACHABLE\n");
}
