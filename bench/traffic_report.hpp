/// Tables over measured requests.
#ifndef MULBERRY_TRAFFIC_REPORT_HPP
#define MULBERRY_TRAFFIC_REPORT_HPP

#include "probe.hpp"

#include <chrono>
#include <ostream>
#include <vector>

namespace mulberry
{

/// For each target, whole and streamed apart: counts by verdict, median and
/// 99th percentile of the time to the first event and to the end, and of the
/// time that refusals took.
void write_summary(std::ostream& out, std::vector<probe_result> const& results,
                   std::chrono::milliseconds length);

/// A line a request: target, model, streamed, sent (Unix ms), and in ms the
/// first event, the end and the longest silence; verdict, kind, try.
void write_log(std::ostream& out, std::vector<probe_result> const& results);

} // namespace mulberry

#endif
