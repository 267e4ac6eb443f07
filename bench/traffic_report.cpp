#include "traffic_report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace mulberry
{
namespace
{

using times = std::vector<std::chrono::microseconds>;

double ms(std::chrono::microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Sorts; 0 of none.
double percentile(times& sorted, double share)
{
    if (sorted.empty())
        return 0;
    std::sort(sorted.begin(), sorted.end());
    auto const last = static_cast<double>(sorted.size() - 1);
    return ms(sorted[static_cast<std::size_t>(std::lround(share * last))]);
}

struct target_summary
{
    std::map<std::string, std::size_t> counts;
    times first;
    times whole;
    times refusal;
};

void add(target_summary& sum, probe_result const& result)
{
    std::string name = name_of(result.verdict);
    if (result.verdict != probe_verdict::whole && !result.error_kind.empty())
        name += ":" + result.error_kind;
    ++sum.counts[name];
    if (result.verdict == probe_verdict::whole)
    {
        sum.first.push_back(result.first_event);
        sum.whole.push_back(result.whole);
    }
    else if (result.verdict == probe_verdict::refused)
        sum.refusal.push_back(result.whole);
}

std::string counts_text(target_summary const& sum)
{
    std::string text;
    for (auto const& [name, count] : sum.counts)
        text += fmt::format(" {}={}", name, count);
    return text;
}

void write_line(std::ostream& out, std::string const& name, target_summary& sum,
                std::chrono::milliseconds length)
{
    double const seconds = std::chrono::duration<double>(length).count();
    out << fmt::format(
        "{:<22} whole/s {:8.1f}  first p50 {:8.3f} p99 {:8.3f}  end p50 "
        "{:8.3f} p99 {:8.3f}  refusal p50 {:8.3f} p99 {:8.3f} |{}\n",
        name, static_cast<double>(sum.whole.size()) / seconds,
        percentile(sum.first, 0.5), percentile(sum.first, 0.99),
        percentile(sum.whole, 0.5), percentile(sum.whole, 0.99),
        percentile(sum.refusal, 0.5), percentile(sum.refusal, 0.99),
        counts_text(sum));
}

} // namespace

void write_summary(std::ostream& out, std::vector<probe_result> const& results,
                   std::chrono::milliseconds length)
{
    std::map<std::string, target_summary> targets;
    target_summary all;
    for (probe_result const& result : results)
    {
        add(targets[result.request.target.name +
                    (result.request.streamed ? " streamed" : " whole")],
            result);
        add(all, result);
    }
    for (auto& [name, sum] : targets)
        write_line(out, name, sum, length);
    write_line(out, "all", all, length);
}

void write_log(std::ostream& out, std::vector<probe_result> const& results)
{
    for (probe_result const& one : results)
        out << fmt::format(
            "{},{},{},{},{:.3f},{:.3f},{:.3f},{},{},{}\n",
            one.request.target.name, one.request.model,
            one.request.streamed ? 1 : 0,
            std::chrono::duration_cast<std::chrono::milliseconds>(
                one.sent_at.time_since_epoch())
                .count(),
            ms(one.first_event), ms(one.whole), ms(one.longest_silence),
            name_of(one.verdict), one.error_kind, one.request.try_number);
}

} // namespace mulberry
