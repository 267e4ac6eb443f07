#include "ctl_commands.hpp"
#include "team_key.hpp"

#include <catch2/catch.hpp>
#include <json/reader.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include <unistd.h>

using namespace mulberry;

namespace
{

using words = std::vector<std::string>;

std::string fingerprint_of(std::string const& key)
{
    return fingerprint(digest_of_key(key));
}

routing_config version(std::uint64_t number, std::set<std::string> const& pits)
{
    routing_config made;
    made.version = config_version(number);
    team first;
    first.name = team_id("pits");
    first.priority = 1;
    first.limit = allotment{allotment_unit::tokens, 305115, 1000, 200};
    for (std::string const& key : pits)
        first.keys.insert(digest_of_key(key));
    team second;
    second.name = team_id("mills");
    second.keys.insert(digest_of_key("k-mill"));
    made.teams = {first, second};
    return made;
}

/// Runs `team` on files; a file's text is the name of its configuration.
struct team_fixture
{
    team_fixture()
        : folder(std::filesystem::temp_directory_path() /
                 ("ctl_team_test_" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(folder);
        add("seven", version(7, {"k-old"}));
        add("eight", version(8, {"k-old", "k-one"}));
        add("nine", version(9, {"k-one"}));
        add("ten", version(10, {"k-one"}));
        add("twin", version(9, {}));
        add("no-version", version(0, {"k-one"}));
        routing_config open;
        open.version = config_version(4);
        add("open", open);
        write("broken", "broken");
    }
    team_fixture(team_fixture const&) = delete;
    team_fixture& operator=(team_fixture const&) = delete;
    ~team_fixture() { std::filesystem::remove_all(folder); }

    void add(std::string const& name, routing_config config)
    {
        known.emplace(name, std::move(config));
        write(name, name);
    }

    std::string write(std::string const& name, std::string const& text) const
    {
        std::string const path = folder / name;
        std::ofstream(path, std::ios::binary) << text;
        return path;
    }

    ctl_exit run(words const& files, std::string const& key,
                 words const& more = {})
    {
        out.str("");
        err.str("");
        words arguments{"team"};
        for (std::string const& file : files)
            arguments.push_back(folder / file);
        arguments.insert(arguments.end(), more.begin(), more.end());
        std::istringstream in(key);
        return run_team(
            parse_ctl_options(arguments),
            [this](std::string const& text, std::string& fault)
            {
                auto const found = known.find(text);
                if (found != known.end())
                    return std::optional(found->second);
                fault = "not understood";
                return std::optional<routing_config>();
            },
            in, out, err);
    }

    std::string failure(words const& files, std::string const& key)
    {
        try
        {
            run(files, key);
            return "";
        }
        catch (file_failure const& failure)
        {
            return failure.what();
        }
    }

    bool printed(std::string const& text) const
    {
        return (out.str() + err.str()).find(text) != std::string::npos;
    }

    Json::Value printed_json() const
    {
        Json::Value value;
        std::istringstream(out.str()) >> value;
        return value;
    }

    std::filesystem::path folder;
    std::map<std::string, routing_config> known;
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

} // namespace

TEST_CASE("the team of a key on standard input is printed", "[ctl][team]")
{
    team_fixture fixture;
    CHECK(fixture.run({"nine", "seven", "eight"}, "k-one\n") == ctl_exit::ok);
    CHECK(fixture.out.str() ==
          "team      pits\n"
          "key       " +
              fingerprint_of("k-one") +
              "\n"
              "version   9\n"
              "since     version 8; not yet in version 7\n"
              "priority  1\n"
              "limit     305115 tokens a second, 1000 more at once; 200 for a "
              "request that tells no number\n");
    CHECK(fixture.run({"nine"}, "k-mill\r\n") == ctl_exit::ok);
    CHECK(fixture.printed("team      mills\n"));
    CHECK(
        fixture.printed("since     version 9 or before; an older version tells "
                        "more\n"));
    CHECK(fixture.printed("limit     none\n"));
}

TEST_CASE("a key can be given as a file or by its fingerprint", "[ctl][team]")
{
    team_fixture fixture;
    std::string const file = fixture.write("key", "k-one\n");
    CHECK(fixture.run({"nine"}, "k-mill", {"--team-key-file", file}) ==
          ctl_exit::ok);
    CHECK(fixture.printed("team      pits\n"));
    std::string digits = fingerprint_of("k-mill");
    std::transform(digits.begin(), digits.end(), digits.begin(),
                   [](unsigned char each) { return std::toupper(each); });
    CHECK(fixture.run({"nine"}, "", {"--fingerprint", digits}) == ctl_exit::ok);
    CHECK(fixture.printed("team      mills\n"));
    CHECK(fixture.run({"nine"}, "",
                      {"--fingerprint", digest_of_key("k-mill").str()}) ==
          ctl_exit::ok);
}

TEST_CASE("a key's team is printed as JSON with --json", "[ctl][team]")
{
    team_fixture fixture;
    CHECK(fixture.run({"seven", "eight"}, "k-one", {"--json"}) == ctl_exit::ok);
    Json::Value const printed = fixture.printed_json();
    CHECK(printed["team"].asString() == "pits");
    CHECK(printed["key"].asString() == fingerprint_of("k-one"));
    CHECK(printed["version"].asInt() == 8);
    CHECK(printed["since"].asInt() == 8);
    CHECK(printed["not_yet"].asInt() == 7);
    CHECK(printed["limit"]["unit"].asString() == "tokens");
    CHECK(printed["limit"]["per_second"].asDouble() == 305115);
    CHECK(fixture.run({"nine"}, "k-none", {"--json"}) == ctl_exit::refused);
    CHECK(fixture.printed_json()["error"]["kind"].asString() == "key_unknown");
}

// Guards against telling a customer that a removed key still works.
TEST_CASE("for a key without a team the last holder is printed", "[ctl][team]")
{
    team_fixture fixture;
    CHECK(fixture.run({"nine"}, "k-none") == ctl_exit::refused);
    CHECK(fixture.err.str() == "no team has the key " +
                                   fingerprint_of("k-none") +
                                   " in version 9\n");
    for (words const& more :
         {words{}, words{"--fingerprint", fingerprint_of("k-old")}})
    {
        CHECK(fixture.run({"eight", "nine", "ten"}, "k-old", more) ==
              ctl_exit::refused);
        CHECK(fixture.err.str() == "no team has the key " +
                                       fingerprint_of("k-old") +
                                       " in version 10: pits had it in version "
                                       "8, it is gone in version 9\n");
        CHECK(fixture.out.str().empty());
    }
    CHECK(fixture.run({"open"}, "k-one") == ctl_exit::refused);
    CHECK(fixture.printed("has no teams: callers need no key"));
    CHECK(fixture.run({"nine"}, "", {"--fingerprint", "00000000"}) ==
          ctl_exit::refused);
    CHECK(fixture.printed("no team has a key whose fingerprint begins with "
                          "00000000"));
}

// Guards against printing the team of another key with the same first digits.
TEST_CASE("a fingerprint of several keys lists all of their teams",
          "[ctl][team]")
{
    team_fixture fixture;
    routing_config many = version(11, {});
    for (int at = 0; at < 40; ++at)
        many.teams[static_cast<std::size_t>(at % 2)].keys.insert(
            digest_of_key("k-" + std::to_string(at)));
    std::map<char, std::set<team_id>> holders;
    for (team const& each : many.teams)
        for (key_digest const& key : each.keys)
            holders[key.str().front()].insert(each.name);
    auto const shared =
        std::find_if(holders.begin(), holders.end(),
                     [](auto const& each) { return each.second.size() == 2; });
    REQUIRE(shared != holders.end());
    fixture.add("many", many);
    std::string const digit(1, shared->first);
    CHECK(fixture.run({"many"}, "", {"--fingerprint", digit, "--json"}) ==
          ctl_exit::refused);
    CHECK(fixture.printed("several keys have fingerprints that begin with " +
                          digit + ": " + digit));
    CHECK(fixture.printed(" of pits"));
    CHECK(fixture.printed(" of mills"));
    CHECK(fixture.printed_json()["error"]["kind"].asString() ==
          "key_ambiguous");
}

TEST_CASE("an unreadable file is named in the error", "[ctl][team]")
{
    team_fixture fixture;
    CHECK(fixture.failure({"broken"}, "k") ==
          (fixture.folder / "broken").string() +
              ": is no configuration: not understood");
    CHECK(fixture.failure({"no-version"}, "k") ==
          (fixture.folder / "no-version").string() +
              ": is no configuration: has no version");
    CHECK(fixture.failure({"nine", "twin"}, "k") ==
          (fixture.folder / "twin").string() +
              ": is version 9, as is another file");
    CHECK(fixture.failure({"none"}, "k") ==
          (fixture.folder / "none").string() + ": cannot be read");
}

// Guards against looking up a key in another form than callers send it, and
// against a key that is printed to the terminal's log.
TEST_CASE("a text that is not a key is refused and not quoted", "[ctl][team]")
{
    team_fixture fixture;
    for (std::string const& text :
         {std::string(), std::string("\n"), std::string("Bearer k-one"),
          std::string("k-one\nk-mill\n"), std::string("k-one,k-mill"),
          std::string("k-\xc3\xa9"), std::string(5000, 'k')})
    {
        std::string const failure = fixture.failure({"nine"}, text);
        CHECK(failure.starts_with("the key: is no single word"));
        CHECK(failure.find("k-") == std::string::npos);
    }
}

TEST_CASE("the key itself is never printed", "[ctl][team]")
{
    team_fixture fixture;
    for (char const* key : {"k-one", "k-old", "k-none"})
        for (words const& more : {words{}, words{"--json"}})
        {
            fixture.run({"eight", "nine"}, key, more);
            CHECK(fixture.printed(fingerprint_of(key)));
            CHECK_FALSE(fixture.printed(key));
            CHECK_FALSE(fixture.printed(digest_of_key(key).str()));
        }
}

// Guards against a key on the command line, which other users of the machine
// can see, and against a wrong option that leaves the tool waiting for input.
TEST_CASE("a key in the wrong option is refused and not quoted", "[ctl][team]")
{
    CHECK(usage_fault({"team"}) == "team needs FILE...");
    std::string const digits = "--fingerprint must be 1 to 64 hexadecimal "
                               "digits";
    for (std::string const& wrong : {std::string("k-one"), std::string(65, 'a'),
                                     std::string(" ab"), std::string()})
        CHECK(usage_fault({"team", "f", "--fingerprint", wrong}) == digits);
    CHECK(usage_fault({"team", "f", "--key-file", "k"}) ==
          "team reads a team's key with --team-key-file; --key-file is of the "
          "operators' listener");
    CHECK_FALSE(usage_fault({"team", "f", "--fingerprint", "ab",
                             "--team-key-file", "k"})
                    .empty());
    CHECK_FALSE(usage_fault({"check", "f", "--fingerprint", "ab"}).empty());
    CHECK(works_offline("team"));
}
