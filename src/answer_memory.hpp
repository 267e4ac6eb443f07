/// Bounds the bytes of answers that a VM holds.
#ifndef MULBERRY_ANSWER_MEMORY_HPP
#define MULBERRY_ANSWER_MEMORY_HPP

#include <cstddef>
#include <functional>
#include <optional>
#include <utility>

namespace mulberry
{

/// Load it answers: many callers read slowly, or workers send bodies without
/// end. Each answer alone is bounded; all of them together may still exceed the
/// VM's memory, and then the process is killed with every request in it.
///
/// An answer may hold no more than what is left of the capacity (a dynamic
/// threshold; A. K. Choudhury, E. L. Hahne, "Dynamic queue length thresholds
/// for shared-memory packet switches", 1998): N answers that grow without end
/// get 1/(N+1) of the capacity each, and the rest is left to other answers.
/// Thread safety: none.
class answer_memory
{
public:
    /// An answer may hold this many bytes even if nothing is left: those of
    /// most services are some kilobytes.
    static constexpr std::size_t always_allowed = 16UL * 1024;

    /// `capacity` in bytes; nullopt: only each answer is bounded.
    explicit answer_memory(std::optional<std::size_t> capacity = std::nullopt)
        : capacity_(capacity)
    {
    }

    /// Sets what returns the bytes that were written to callers' connections
    /// and not yet sent. Empty: none.
    void set_unsent(std::function<std::size_t()> unsent)
    {
        unsent_ = std::move(unsent);
    }
    /// Sets what returns how much is left of a capacity that is shared with
    /// others; nullopt: any number. Empty: none is shared.
    void
    set_shared_left(std::function<std::optional<std::size_t>()> shared_left)
    {
        shared_left_ = std::move(shared_left);
    }
    /// Bytes held of all answers.
    std::size_t held() const { return buffered_ + unsent(); }
    /// Bytes of answers and events that are passed on when they are complete.
    std::size_t buffered() const { return buffered_; }
    std::size_t unsent() const { return unsent_ ? unsent_() : 0; }
    /// The most bytes that one answer may hold now, `largest` at most.
    std::size_t limit(std::size_t largest) const;

private:
    friend class buffered_bytes;

    std::optional<std::size_t> capacity_;
    std::function<std::size_t()> unsent_;
    std::function<std::optional<std::size_t>()> shared_left_;
    std::size_t buffered_ = 0;
};

/// The bytes buffered of one answer, as part of answer_memory::held(). The
/// memory outlives this object.
class buffered_bytes
{
public:
    explicit buffered_bytes(answer_memory& memory) : memory_(memory) {}
    ~buffered_bytes() { set(0); }
    buffered_bytes(buffered_bytes const&) = delete;
    buffered_bytes& operator=(buffered_bytes const&) = delete;

    void set(std::size_t bytes)
    {
        memory_.buffered_ += bytes - bytes_;
        bytes_ = bytes;
    }

private:
    answer_memory& memory_;
    std::size_t bytes_ = 0;
};

} // namespace mulberry

#endif
