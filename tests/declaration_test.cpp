#include "declaration_text.hpp"

#include "fault_check.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace mulberry;

namespace
{

using lines = std::vector<std::string>;

declaration parsed(std::string const& text)
{
    auto const result = parse_declaration(text, "d.jsonc");
    CAPTURE(fault_lines(result));
    REQUIRE(std::holds_alternative<declaration>(result));
    return std::get<declaration>(result);
}

lines faults(std::string const& text)
{
    return fault_lines(parse_declaration(text, "d.jsonc"));
}

/// A valid declaration with more members added at its end.
std::string with(std::string const& members)
{
    return R"({"deployment": "trust",
"store": {"loads_per_second": 9, "loads_at_once": 4},
"worker_series": [{"prefix": "loglm-", "count": 2, "digits": 2,
  "base_model": "m", "domain": "edfu", "url": "http://10.0.0.{n}:80/{id}"}],
"adapter_series": [{"prefix": "notes-", "count": 3, "digits": 4,
  "base_model": "m", "versions": [1, 2], "applications": ["summaries"]}],
)" + members +
           "}";
}

rc::Gen<std::string> name_gen()
{
    return rc::gen::nonEmpty(rc::gen::container<std::string>(
        rc::gen::element('a', 'Z', '0', '.', '_', '-')));
}

declaration any_declaration()
{
    declaration value;
    value.deployment = *name_gen();
    value.stall_weight = *rc::gen::inRange(0, 1001) / 1000.0;
    value.store.loads_per_second = 1.0 / *rc::gen::inRange(1, 900);
    worker_declaration worker;
    worker.id = worker_id(*name_gen());
    worker.base_model = base_model_id(*name_gen());
    worker.domain = domain_id(*name_gen());
    worker.url = "http://10.0.0.1:80/";
    worker.checks_fence = *rc::gen::arbitrary<bool>();
    value.workers[worker.id] = worker;
    for (std::string const& name :
         *rc::gen::container<std::set<std::string>>(name_gen()))
    {
        adapter_declaration adapter;
        adapter.id = adapter_id(name);
        adapter.base_model = worker.base_model;
        adapter.versions = {adapter_version(*rc::gen::inRange(1, 1000))};
        adapter.applications = {application_id(*name_gen())};
        value.adapters[adapter.id] = adapter;
        value.ready.push_back(
            {adapter.applications.front(),
             adapter_ref(adapter.id, *adapter.versions.begin()),
             *rc::gen::inRange<std::size_t>(1, 9)});
        target_declaration target;
        target.application = adapter.applications.front();
        target.bound = std::chrono::milliseconds(value.targets.size() + 1);
        target.share = 1.0 / *rc::gen::inRange(1, 100);
        value.targets.push_back(target);
    }
    return value;
}

} // namespace

TEST_CASE("the canonical text reads back as an equal value", "[declaration]")
{
    CHECK(rc::check(
        []
        {
            declaration const value = any_declaration();
            std::string const text = write_declaration(value);
            RC_LOG() << text;
            RC_ASSERT(parsed(text) == value);
            RC_ASSERT(write_declaration(parsed(text)) == text);
        }));
}

TEST_CASE("series are expanded and comments are allowed", "[declaration]")
{
    declaration const value = parsed(with(R"(
// a comment
"ready_series": [{"application": "summaries", "prefix": "notes-", "count": 2,
                  "digits": 4, "version": 2, "copies": 2}],
"targets": [{"application": "summaries", "measure": "answered_within",
             "share": 0.95, "bound_ms": 2000}] /* another */)"));
    CHECK(value.workers.at(worker_id("loglm-02")).url ==
          "http://10.0.0.2:80/loglm-02");
    CHECK(value.adapters.size() == 3);
    REQUIRE(value.ready.size() == 2);
    CHECK(value.ready[1].adapter.str() == "notes-0002@2");
    CHECK(value.targets[0].bound == std::chrono::seconds(2));
    CHECK(value.find(*parse_adapter_ref("notes-0003@2")) != nullptr);
    CHECK(value.find(*parse_adapter_ref("notes-0003@3")) == nullptr);
    CHECK(value.find(*parse_adapter_ref("notes-0004@1")) == nullptr);
}

TEST_CASE("every fault is reported with its line and key", "[declaration]")
{
    CHECK(faults(R"({
"deployment": 7,
"store": {"loads_per_second": 0, "loads_at_once": 1.5},
"wokers": [],
"workers": [{"id": "a b", "base_model": "m", "domain": "edfu",
  "url": "http://example.org:80"}]
})") == lines{"d.jsonc:2: deployment: a text is expected, not a number",
              "d.jsonc:3: store.loads_per_second: 0 is out of range: 0.001 "
              "to 100000",
              "d.jsonc:3: store.loads_at_once: 1.5 is out of range: a whole "
              "number from 1 to 10000",
              "d.jsonc:4: wokers: is not a known key; did you mean "
              "\"workers\"?",
              "d.jsonc:5: workers[0].id: \"a b\" is no name: 1 to 128 "
              "letters, digits, '.', '_' and '-'",
              "d.jsonc:6: workers[0].url: \"http://example.org:80\" is not "
              "of the form http://IP:PORT or http://IP:PORT/PATH with a "
              "numeric IP"});
}

TEST_CASE("a syntax error is reported with its line", "[declaration]")
{
    CHECK(faults("{\n\"deployment\": \"x\"\n\"store\": {}}")
              .front()
              .find("d.jsonc:3: missing ','") == 0);
    CHECK(faults("{\"a\": 1, \"a\": 2}").front().find("uplicate key") !=
          std::string::npos);
    CHECK(faults("") == lines{"d.jsonc:1: syntax error: value, object or "
                              "array expected (column 1)"});
    CHECK(faults("[]").front() == "d.jsonc:1: an object is expected, not a "
                                  "list");
    CHECK_FALSE(faults(std::string(100'000, '[')).empty());
}

TEST_CASE("a placeholder that was not filled in is reported by name",
          "[declaration]")
{
    CHECK(faults(with(R"("workers": [{"id": "x", "base_model": "m",
"domain": "edfu", "url": "http://@ENGINE@/x"}])")) ==
          lines{"d.jsonc:8: workers[0].url: @ENGINE@ is still to be "
                "filled in"});
    CHECK(faults("{\n\"port\": @PORT@}").front() ==
          "d.jsonc:2: @PORT@ is still to be filled in");
}

TEST_CASE("duplicate names and references to undeclared names are faults",
          "[declaration]")
{
    std::string const adapter =
        R"("adapters": [{"id": "notes-0001", "base_model": "m",
"versions": [1], "applications": ["summaries"]}])";
    CHECK(faults(with(adapter)) ==
          lines{"d.jsonc:5: adapter_series[0].prefix: adapter notes-0001 is "
                "declared twice"});
    CHECK(faults(with(R"("ready": [
{"application": "summaries", "adapter": "notes-0009@1"},
{"application": "receipts", "adapter": "notes-0001@1"},
{"application": "summaries", "adapter": "notes-0001"},
{"application": "summaries", "adapter": "notes-0002@1"},
{"application": "summaries", "adapter": "notes-0002@1"}])")) ==
          lines{"d.jsonc:8: ready[0].adapter: no adapter notes-0009@1 is "
                "declared",
                "d.jsonc:9: ready[1].adapter: notes-0001@1 is not declared "
                "for application receipts",
                "d.jsonc:10: ready[2].adapter: \"notes-0001\" is not "
                "ADAPTER@VERSION, as in shift-notes-0042@7",
                "d.jsonc:12: ready[4].adapter: notes-0002@1 is declared ready "
                "twice for summaries"});
    CHECK(faults(with(R"("workers": [{"id": "x", "base_model": "m",
"domain": "edfu", "url": "http://10.0.0.1:80/loglm-01"}])")) ==
          lines{"d.jsonc:4: worker_series[0].url: http://10.0.0.1:80/loglm-01 "
                "is the URL of x and of loglm-01"});
}

TEST_CASE("only answered_within has a bound", "[declaration]")
{
    CHECK(faults(with(R"("targets": [
{"application": "summaries", "measure": "stall_share", "share": 0.1,
 "bound_ms": 5},
{"application": "summaries", "measure": "answered_within", "share": 2}])")) ==
          lines{"d.jsonc:9: targets[0].bound_ms: has no meaning for "
                "stall_share",
                "d.jsonc:10: targets[1].share: 2 is out of range: 0 to 1",
                "d.jsonc:10: targets[1].bound_ms: is missing"});
}

// Guards against a payment made twice: if a call that may not be repeated
// matches the rule of a repeatable path, the call is sent again after its
// answer is lost. A path that a service normalizes to another path must not
// match such a rule.
TEST_CASE("an ambiguous path is never repeatable", "[declaration]")
{
    service_declaration service;
    service.rules = {{"POST", "/balances", true}, {"", "/payments", false}};
    CHECK(service.repeatable("POST", "/balances"));
    CHECK(service.repeatable("POST", "/balances/7"));
    CHECK(service.repeatable("GET", "/groups/%C4%90%C3%A0%20N"));
    CHECK_FALSE(service.repeatable("POST", "/balances-settle"));
    CHECK_FALSE(service.repeatable("GET", "/payments/7"));
    CHECK_FALSE(service.repeatable("POST", "/groups"));
    CHECK(service.repeatable("HEAD", "/groups"));
    for (char const* path :
         {"/balances/../payments", "/balances/%2e%2e/payments", "/p%61yments",
          "/balances/%2fpayments", "//payments", "/balances/.", "/balances/%",
          "/balances/%4", "/balances\\payments", "/balances/%zz"})
    {
        CAPTURE(path);
        CHECK_FALSE(service.repeatable("POST", path));
        CHECK_FALSE(service.repeatable("GET", path));
    }
}

TEST_CASE("the digest is SHA-256 in hexadecimal", "[declaration]")
{
    CHECK(digest_of("abc") == "ba7816bf8f01cfea414140de5dae2223"
                              "b00361a396177a9cb410ff61f20015ad");
}
