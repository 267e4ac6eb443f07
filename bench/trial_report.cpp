#include "trial_report.hpp"

#include "json_text.hpp"

#include <fmt/format.h>
#include <json/value.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace mulberry
{
namespace
{

/// Of the normal distribution: 95 in 100 lie within so many deviations. With
/// fewer than some thirty seeds the interval is a little too narrow.
constexpr double deviations = 1.96;
constexpr std::size_t least_seeds = 2;

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : double(part) / double(whole);
}

std::map<std::string, double> figures_of(trial_result const& result)
{
    std::map<std::string, double> figures{
        {"worth", result.worth},
        {"worst spans", result.worst_spans},
        {"fetches", double(result.fetches)},
        {"tokens read", double(result.tokens_read)},
        {"questions", double(result.questions)}};
    for (kind_result const& each : result.kinds)
        figures[each.name + " in time"] = share(each.in_time, each.asked);
    return figures;
}

Json::Value to_json(kind_result const& kind)
{
    Json::Value json;
    json["name"] = kind.name;
    json["asked"] = Json::UInt64(kind.asked);
    json["in_time"] = Json::UInt64(kind.in_time);
    json["late"] = Json::UInt64(kind.late);
    json["rejected"] = Json::UInt64(kind.rejected);
    json["lost"] = Json::UInt64(kind.lost);
    json["first_p50_ms"] = kind.first_p50_ms;
    json["first_p95_ms"] = kind.first_p95_ms;
    json["first_p99_ms"] = kind.first_p99_ms;
    return json;
}

kind_result kind_from(Json::Value const& json)
{
    return {json["name"].asString(),         json["asked"].asUInt64(),
            json["in_time"].asUInt64(),      json["late"].asUInt64(),
            json["rejected"].asUInt64(),     json["lost"].asUInt64(),
            json["first_p50_ms"].asDouble(), json["first_p95_ms"].asDouble(),
            json["first_p99_ms"].asDouble()};
}

} // namespace

std::string to_table(trial_result const& result)
{
    std::string text = fmt::format(
        "seed {}: worth {:.4f}, worst spans {:.4f}\n"
        "fetches {} and {} of copies, tokens read {} ({} again), orders {} "
        "({} refused), questions {}\n"
        "{:16} {:>7} {:>8} {:>7} {:>8} {:>6} {:>8} {:>8} {:>8}\n",
        result.seed, result.worth, result.worst_spans, result.fetches,
        result.fetches_of_copies, result.tokens_read, result.tokens_read_again,
        result.orders, result.orders_refused, result.questions, "kind", "asked",
        "in time", "late", "rejected", "lost", "p50 ms", "p95 ms", "p99 ms");
    for (kind_result const& each : result.kinds)
        text +=
            fmt::format("{:16} {:>7} {:>8.4f} {:>7} {:>8} {:>6} {:>8.1f} "
                        "{:>8.1f} {:>8.1f}\n",
                        each.name, each.asked, share(each.in_time, each.asked),
                        each.late, each.rejected, each.lost, each.first_p50_ms,
                        each.first_p95_ms, each.first_p99_ms);
    return text;
}

std::string to_json_line(trial_result const& result)
{
    Json::Value json;
    json["seed"] = Json::UInt64(result.seed);
    json["worth"] = result.worth;
    json["worst_spans"] = result.worst_spans;
    json["fetches"] = Json::UInt64(result.fetches);
    json["fetches_of_copies"] = Json::UInt64(result.fetches_of_copies);
    json["tokens_read"] = Json::UInt64(result.tokens_read);
    json["tokens_read_again"] = Json::UInt64(result.tokens_read_again);
    json["orders"] = Json::UInt64(result.orders);
    json["orders_refused"] = Json::UInt64(result.orders_refused);
    json["questions"] = Json::UInt64(result.questions);
    json["kinds"] = Json::arrayValue;
    for (kind_result const& each : result.kinds)
        json["kinds"].append(to_json(each));
    return to_text(json);
}

std::optional<trial_result> parse_json_line(std::string const& line)
{
    auto const json = from_text(line);
    if (!json || !json->isObject())
        return std::nullopt;
    try
    {
        trial_result result;
        result.seed = (*json)["seed"].asUInt64();
        result.worth = (*json)["worth"].asDouble();
        result.worst_spans = (*json)["worst_spans"].asDouble();
        result.fetches = (*json)["fetches"].asUInt64();
        result.fetches_of_copies = (*json)["fetches_of_copies"].asUInt64();
        result.tokens_read = (*json)["tokens_read"].asUInt64();
        result.tokens_read_again = (*json)["tokens_read_again"].asUInt64();
        result.orders = (*json)["orders"].asUInt64();
        result.orders_refused = (*json)["orders_refused"].asUInt64();
        result.questions = (*json)["questions"].asUInt64();
        for (Json::Value const& each : (*json)["kinds"])
            result.kinds.push_back(kind_from(each));
        return result;
    }
    catch (Json::Exception const&)
    {
        // Whoever reads the file says which line is malformed.
        return std::nullopt;
    }
}

std::vector<difference> compare(std::vector<trial_result> const& before,
                                std::vector<trial_result> const& after)
{
    std::map<std::string, std::vector<std::pair<double, double>>> pairs;
    for (trial_result const& one : before)
    {
        auto const other = std::find_if(after.begin(), after.end(),
                                        [&one](trial_result const& each)
                                        { return each.seed == one.seed; });
        if (other == after.end())
            continue;
        auto const figures = figures_of(*other);
        for (auto const& [name, figure] : figures_of(one))
            if (auto const found = figures.find(name); found != figures.end())
                pairs[name].emplace_back(figure, found->second);
    }
    std::vector<difference> differences;
    for (auto const& [name, of_seeds] : pairs)
    {
        if (of_seeds.size() < least_seeds)
            continue;
        double const count = double(of_seeds.size());
        difference made;
        made.of = name;
        for (auto const& [was, is] : of_seeds)
        {
            made.before += was / count;
            made.after += is / count;
        }
        made.mean = made.after - made.before;
        double squares = 0;
        for (auto const& [was, is] : of_seeds)
            squares += std::pow(is - was - made.mean, 2);
        made.half_width = deviations * std::sqrt(squares / (count - 1) / count);
        differences.push_back(made);
    }
    return differences;
}

} // namespace mulberry
