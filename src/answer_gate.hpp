/// Holds an answer's events back until they may be seen.
#ifndef MULBERRY_ANSWER_GATE_HPP
#define MULBERRY_ANSWER_GATE_HPP

#include "http_server.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mulberry
{

/// Passes calls on to an answer whose stream has started. Chunks, and the end
/// of the answer, wait until open(). An answer that is aborted before loses its
/// chunks. Thread safety: none.
class answer_gate final : public http_answer
{
public:
    /// Precondition: `answer` is not null, and start_stream() was called.
    explicit answer_gate(std::shared_ptr<http_answer> answer);

    /// Passes on what waits, and everything from now on.
    void open();

    void respond(http_response response) override;
    void start_stream(int status, http_headers headers) override;
    void write(std::string chunk) override;
    void finish() override;
    void abort() override;
    void on_closed(std::function<void()> callback) override;
    /// Includes the chunks that wait.
    std::size_t unsent_bytes() const override;

private:
    std::shared_ptr<http_answer> const answer_;
    bool open_ = false;
    bool finished_ = false;
    std::vector<std::string> waiting_;
    std::size_t waiting_bytes_ = 0;
};

} // namespace mulberry

#endif
