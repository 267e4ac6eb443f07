/// A microkernel: starts and stops the parts of the daemon, which look each
/// other up by name.
#ifndef MULBERRY_KERNEL_HPP
#define MULBERRY_KERNEL_HPP

#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace mulberry
{

class kernel;

/// A part of the daemon that is started and stopped on its own, usually with a
/// thread of its own.
class daemon_part
{
public:
    virtual ~daemon_part() = default;
    /// Looks up the parts that this part needs by name and starts this part's
    /// thread, if any. Throws std::runtime_error if the part cannot run.
    virtual void start(kernel& parts) = 0;
    /// Ends the part's thread. Called once, and only if start() returned
    /// without an exception.
    virtual void stop() = 0;
};

/// Owns the parts. Parts start in the order in which they were added and stop
/// in the reverse order.
///
/// Thread safety: add() and start() must finish before
/// other threads call find(); after that, any thread may call find().
class kernel
{
public:
    /// Throws std::logic_error if there is already a part with this name.
    void add(std::string name, std::unique_ptr<daemon_part> part);
    /// Starts all parts. If the start of one part throws, stops the parts
    /// already started and rethrows.
    void start();
    void stop();

    /// Returns the part with this name. Throws std::logic_error if there is no
    /// such part or if the part is not a T.
    template <class T>
    T& find(std::string_view name) const
    {
        auto* const found = dynamic_cast<T*>(&part(name));
        if (found == nullptr)
            throw std::logic_error("part " + std::string(name) +
                                   " is of another kind");
        return *found;
    }

private:
    daemon_part& part(std::string_view name) const;

    std::map<std::string, daemon_part*, std::less<>> by_name_;
    std::vector<std::unique_ptr<daemon_part>> parts_;
    std::size_t started_ = 0;
};

} // namespace mulberry

#endif
