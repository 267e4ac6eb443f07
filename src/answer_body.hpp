/// The body of an answer that is buffered until it is complete.
#ifndef MULBERRY_ANSWER_BODY_HPP
#define MULBERRY_ANSWER_BODY_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberry
{

/// Grows in blocks: a string that doubles takes up to three times its size
/// while it is copied, which is most of a VM's memory where many bodies grow at
/// once. Thread safety: none.
class answer_body
{
public:
    void append(std::string_view bytes)
    {
        while (!bytes.empty())
        {
            if (blocks_.empty() || blocks_.back().size() >= block_size)
                blocks_.emplace_back();
            std::string& last = blocks_.back();
            std::string_view const part =
                bytes.substr(0, block_size - last.size());
            // Growing by doubling would waste half of the block.
            if (last.size() + part.size() > block_size / 4)
                last.reserve(block_size);
            last += part;
            size_ += part.size();
            bytes.remove_prefix(part.size());
        }
    }
    std::size_t size() const { return size_; }

    /// Returns the whole body and is empty afterwards.
    std::string take()
    {
        std::vector<std::string> const blocks = std::exchange(blocks_, {});
        std::string whole;
        whole.reserve(std::exchange(size_, 0));
        for (std::string const& each : blocks)
            whole += each;
        return whole;
    }
    void clear()
    {
        blocks_.clear();
        size_ = 0;
    }

private:
    static constexpr std::size_t block_size = 64UL * 1024;

    std::vector<std::string> blocks_;
    std::size_t size_ = 0;
};

} // namespace mulberry

#endif
