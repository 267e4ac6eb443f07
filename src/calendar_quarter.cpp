#include "calendar_quarter.hpp"

namespace mulberry
{
namespace
{

constexpr unsigned months_per_quarter = 3;

} // namespace

calendar_quarter quarter_of(std::chrono::system_clock::time_point moment)
{
    using namespace std::chrono;
    year_month_day const day(floor<days>(moment));
    unsigned const index =
        (static_cast<unsigned>(day.month()) - 1) / months_per_quarter;
    year_month const first_month =
        day.year() / month(index * months_per_quarter + 1);
    year_month const next_quarter_month =
        first_month + months(months_per_quarter);
    return {std::to_string(static_cast<int>(day.year())) + "-Q" +
                std::to_string(index + 1),
            sys_days(next_quarter_month / 1)};
}

} // namespace mulberry
