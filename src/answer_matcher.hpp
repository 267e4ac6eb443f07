/// Tells which of the answers that arrive on one connection belongs to which
/// call, independent of sockets.
#ifndef MULBERRY_ANSWER_MATCHER_HPP
#define MULBERRY_ANSWER_MATCHER_HPP

#include "http_message.hpp"

#include <boost/container/flat_set.hpp>

#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace mulberry
{

/// Tells an answer from a second one to an earlier request on the connection.
/// Value.
struct answer_mark
{
    /// Header field by which an answer names its request.
    std::string field;
    /// The request's name, which no other request has; empty: it has none.
    std::string value;
    /// The answer may lack the name. A second copy of an earlier answer without
    /// one is then told by its status.
    bool is_optional = false;
    /// The statuses that an answer without a name may well have; empty: any.
    /// The request goes out where no copy has one of them.
    std::set<int> possible_statuses = {};
    /// An answer with this status changes nothing, so that it may be a copy.
    std::optional<int> harmless_status = {};
    friend bool operator==(answer_mark const&, answer_mark const&) = default;
};

enum class answer_owner
{
    /// The call that is under way, or, with a name that is not known here, one
    /// that its observer has to judge.
    this_call,
    /// An earlier call, which has had its whole answer.
    earlier_call,
    /// An earlier call, or the one that is under way: nothing tells.
    undecided,
    unknown
};

/// Matches the answers on one connection with its calls, one call at a time.
///
/// A server may send a copy of an answer at any later time. The copy has the
/// name of its call, also while a call with the same name is under way again,
/// and then nothing tells it from that call's own answer. So a connection
/// carries no name twice as long as it lives, however many calls lie between.
/// Thread safety: none.
class answer_matcher
{
public:
    /// Whether the answer to a call with this mark can be told from copies of
    /// the answers before it.
    bool can_carry(std::optional<answer_mark> const& mark) const;
    /// Starts a call; nullopt: all answers are its own. Preconditions:
    /// can_carry(mark); the call before has ended.
    void begin(std::optional<answer_mark> mark);
    /// Decides on the head of an answer. Precondition: a call is under way.
    answer_owner match(int status, http_headers const& headers);
    /// The call has had its whole answer. Returns whether the connection may
    /// carry another call. Precondition: the last match() returned this_call.
    bool end();

private:
    std::set<std::string> names_in(http_headers const& headers) const;
    bool is_known(std::string const& name) const;
    bool names_earlier_call(std::set<std::string> const& names) const;

    /// The call that is under way.
    std::optional<answer_mark> mark_;
    bool is_first_ = true;
    /// The answer has the mark of its call, or needs none.
    bool is_marked_ = false;
    /// Status of an answer without a name.
    std::optional<int> answer_status_;
    /// The same of the last answer.
    std::optional<int> unnamed_status_;
    /// Hashes of the names of all calls here. Names that share one only cost a
    /// connection.
    boost::container::flat_set<std::size_t> known_names_;
};

} // namespace mulberry

#endif
