/// The interface for counting the outcomes of model requests.
#ifndef MULBERRY_ANSWER_COUNTER_HPP
#define MULBERRY_ANSWER_COUNTER_HPP

#include "error_kind.hpp"
#include "model_request.hpp"
#include "time_point.hpp"

namespace mulberry
{

/// Called exactly once for each model request that ends. Thread safety: none;
/// called by the decision core.
class answer_counter
{
public:
    virtual ~answer_counter() = default;
    /// The request was answered completely; `took` is the time since its
    /// arrival.
    virtual void count_completed(model_request const& request,
                                 duration took) = 0;
    virtual void count_failed(model_request const& request,
                              error_kind kind) = 0;
    /// The caller disconnected; `waited` is the time since the request's
    /// arrival.
    virtual void count_withdrawn(model_request const& request,
                                 duration waited) = 0;
};

} // namespace mulberry

#endif
