// The command `explain`.
#include "ctl_commands.hpp"
#include "request_trace.hpp"

#include <iterator>
#include <ostream>

namespace mulberry
{

ctl_exit run_explain(ctl_options const& options, std::ostream& out,
                     std::ostream& err)
{
    std::string const& request = options.arguments.front();
    std::vector<log_line> lines;
    for (auto file = std::next(options.arguments.begin());
         file != options.arguments.end(); ++file)
    {
        std::vector<log_line> read = parse_log(read_file(*file));
        lines.insert(lines.end(), std::make_move_iterator(read.begin()),
                     std::make_move_iterator(read.end()));
    }
    std::vector<log_line> const trace =
        trace_request(request, std::move(lines));
    for (log_line const& line : trace)
        out << to_text(line) << "\n";
    if (!trace.empty())
        return ctl_exit::ok;
    err << "no line names request " << request
        << ": it was served without a logged event, went to another VM, or "
           "its lines were left out by the log's rate limit "
           "(lines_left_out)\n";
    return ctl_exit::refused;
}

} // namespace mulberry
