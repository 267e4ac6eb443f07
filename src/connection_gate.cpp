#include "connection_gate.hpp"

namespace mulberry
{

void connection_gate::on_loop_lag(duration lag, time_point now)
{
    if (lag < limits_.max_lag)
        return;
    if (now >= closed_until_)
        next_probe_at_ = now + limits_.probe_interval;
    closed_until_ = now + limits_.closed_time;
}

bool connection_gate::may_open(time_point now)
{
    if (now >= closed_until_)
        return true;
    if (now < next_probe_at_)
    {
        ++closed_;
        return false;
    }
    next_probe_at_ = now + limits_.probe_interval;
    return true;
}

} // namespace mulberry
