/// Sends requests and orders to engines over HTTP (PROTOCOLS.md, "Towards
/// engines").
#ifndef MULBERRY_HTTP_ENGINE_PORT_HPP
#define MULBERRY_HTTP_ENGINE_PORT_HPP

#include "call_registry.hpp"
#include "event_sink.hpp"
#include "http_client.hpp"
#include "ports.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace mulberry
{

class http_engine_port : public engine_port
{
public:
    /// `sink` outlives this object.
    explicit http_engine_port(event_sink& sink);

    void configure(std::shared_ptr<declaration const> configuration) override;
    void start(start_attempt const& what) override;
    void cancel(cancel_attempt const& what) override;
    void load(load_adapter const& what) override;
    void unload(unload_adapter const& what) override;
    void request_load_reports(std::vector<worker_id> const& workers) override;

private:
    /// Returns nothing if `worker` is not declared.
    std::optional<std::string> find_url(worker_id const& worker) const;
    /// Sends an order to load or unload an adapter; posts an order_result.
    void order(order_id order, worker_id const& worker, char const* path,
               std::string body, fencing_number fence, time_point deadline);

    event_sink* sink_;
    std::shared_ptr<declaration const> configuration_;
    call_registry calls_;
    /// Names the requests for load reports.
    std::uint64_t last_report_ = 0;
};

/// Parses a worker's answer to GET /load. `asked_at` is when the call was sent;
/// the report's `as_of` is that time less the reported age. Returns nothing if
/// `text` is not valid.
std::optional<engine_report> parse_engine_report(worker_id const& worker,
                                                 std::string_view text,
                                                 time_point asked_at);

} // namespace mulberry

#endif
