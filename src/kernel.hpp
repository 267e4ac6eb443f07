/// The micro-kernel: parts of the daemon that find each other by name.
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

/// A part of the daemon with a life of its own.
class daemon_part
{
public:
    virtual ~daemon_part() = default;
    /// Finds the parts it needs by name and starts its thread, if it has one.
    /// Throws std::runtime_error if it cannot work.
    virtual void start(kernel& parts) = 0;
    /// Ends its thread. Called once, if start() returned.
    virtual void stop() = 0;
};

/// Owns the parts. They start in the order added and stop in the reverse.
/// Thread safety: add and start before other threads look anything up; find()
/// from any thread after that.
class kernel
{
public:
    /// Throws std::logic_error if the name is taken.
    void add(std::string name, std::unique_ptr<daemon_part> part);
    /// Starts all; if one throws, those started are stopped, then it rethrows.
    void start();
    void stop();

    /// The part of that name as a T. Throws std::logic_error if there is none
    /// or it is no T.
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
