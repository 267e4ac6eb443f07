/// The callers' listener: OpenAI-compatible paths, plain services, probes,
/// metrics.
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
    /// Distinguishes this process's request ids from those of any other life
    /// of the VM.
    std::string id_prefix;
};

class caller_listener : public daemon_part
{
public:
    /// `answers` outlives this object.
    caller_listener(callers_settings settings, pending_answers& answers);
    ~caller_listener() override;

    void start(kernel& parts) override;
    void stop() override;
    /// IP:PORT. Precondition: started.
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
