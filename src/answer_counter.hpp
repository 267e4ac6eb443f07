/// Who counts how model requests ended.
#ifndef MULBERRY_ANSWER_COUNTER_HPP
#define MULBERRY_ANSWER_COUNTER_HPP

#include "error_kind.hpp"
#include "model_request.hpp"
#include "time_point.hpp"

namespace mulberry
{

/// Told once of each request that ends. Thread safety: none;
/// called by the decision core.
class answer_counter
{
public:
    virtual ~answer_counter() = default;
    /// Answered whole, that long after it arrived.
    virtual void count_completed(model_request const& request,
                                 duration took) = 0;
    virtual void count_failed(model_request const& request,
                              error_kind kind) = 0;
    /// The caller went away, that long after the request arrived.
    virtual void count_withdrawn(model_request const& request,
                                 duration waited) = 0;
};

} // namespace mulberry

#endif
