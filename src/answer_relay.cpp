#include "answer_relay.hpp"

namespace mulberry
{

answer_relay::answer_relay(safeguards const& checks, duration progress_timeout,
                           time_point now)
    : checks_(&checks), progress_timeout_(progress_timeout),
      progress_deadline_(now + progress_timeout)
{
}

answer_relay::verdict answer_relay::on_event(std::uint64_t offset, bool last,
                                             time_point now)
{
    // A resumed stream may repeat events or, after a lost connection, skip
    // some. If such events were passed on, the caller would read a text that no
    // engine generated. Comparing the offset with the expected offset is
    // enough, since an engine numbers the events of a request without gaps.
    if (checks_->is_next_event(next_, offset))
    {
        next_ = offset + 1;
        end_seen_ = end_seen_ || last;
        progress_deadline_ = now + progress_timeout_;
        return verdict::pass;
    }
    return offset < next_ ? verdict::duplicate : verdict::gap;
}

void answer_relay::on_reconnect(time_point now)
{
    progress_deadline_ = now + progress_timeout_;
}

} // namespace mulberry
