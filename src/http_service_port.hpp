/// Sends the requests for plain services (no model) to their workers over HTTP.
#ifndef MULBERRY_HTTP_SERVICE_PORT_HPP
#define MULBERRY_HTTP_SERVICE_PORT_HPP

#include "call_registry.hpp"
#include "event_sink.hpp"
#include "http_client.hpp"
#include "ports.hpp"

#include <map>
#include <memory>
#include <string>

namespace mulberry
{

class http_service_port : public service_port
{
public:
    /// `sink` outlives this object.
    explicit http_service_port(event_sink& sink);

    void configure(std::shared_ptr<declaration const> configuration) override;
    void call(call_service const& what) override;
    void cancel(attempt_id attempt) override;

private:
    event_sink* sink_;
    std::map<service_worker_id, std::string> urls_;
    call_registry calls_;
};

} // namespace mulberry

#endif
