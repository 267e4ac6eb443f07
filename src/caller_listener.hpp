/// Listener for callers: OpenAI-compatible paths, plain services, health probes
/// and metrics.
#ifndef MULBERRY_CALLER_LISTENER_HPP
#define MULBERRY_CALLER_LISTENER_HPP

#include "completion_request.hpp"
#include "decision_loop.hpp"
#include "http_server.hpp"
#include "kernel.hpp"
#include "pending_answers.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace mulberry
{

struct callers_settings
{
    vm_id vm;
    http_server_options server;
    request_limits limits;
    /// Makes this process's request ids differ from those of any other
    /// incarnation of the VM.
    std::string id_prefix;
};

class caller_listener : public daemon_part
{
public:
    /// Precondition: `answers` outlives this object.
    caller_listener(callers_settings settings, pending_answers& answers);
    ~caller_listener() override;

    void start(kernel& parts) override;
    void stop() override;
    /// Returns IP:PORT, with the actual port. Precondition: start() was called.
    std::string address() const;

private:
    void handle(http_request request, std::shared_ptr<http_answer> out);
    void handle_completion(http_request const& request, model_endpoint endpoint,
                           std::shared_ptr<http_answer> out);
    void handle_service(http_request const& request,
                        std::shared_ptr<http_answer> out);
    request_id next_id();
    http_response models() const;

    callers_settings settings_;
    pending_answers* answers_;
    decision_loop* decisions_ = nullptr;
    std::atomic<std::uint64_t> last_id_{0};
    std::unique_ptr<http_server> server_;
};

} // namespace mulberry

#endif
