#include "answer_relay.hpp"

namespace mulberry
{

answer_relay::answer_relay(safeguards const& checks, duration progress_timeout,
                           time_point now)
    : checks_(&checks), progress_timeout_(progress_timeout),
      silent_at_(now + progress_timeout)
{
}

answer_relay::verdict answer_relay::on_event(std::uint64_t offset, bool last,
                                             time_point now)
{
    // A resumed stream may repeat events or, after a lost connection, skip
    // some. Passed on, the caller would read a text that no engine wrote.
    // Comparing with the one place expected is enough, since an engine numbers
    // the events of one request without gaps.
    if (checks_->in_place(next_, offset))
    {
        next_ = offset + 1;
        last_seen_ = last_seen_ || last;
        silent_at_ = now + progress_timeout_;
        return verdict::pass;
    }
    return offset < next_ ? verdict::repeated : verdict::gap;
}

void answer_relay::restarted(time_point now)
{
    silent_at_ = now + progress_timeout_;
}

} // namespace mulberry
