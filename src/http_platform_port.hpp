/// Calls the platform's table service, object store and VM list service over
/// HTTP. Each service has its own client, so that a slow service does not delay
/// calls to the others.
#ifndef MULBERRY_HTTP_PLATFORM_PORT_HPP
#define MULBERRY_HTTP_PLATFORM_PORT_HPP

#include "event_sink.hpp"
#include "http_client.hpp"
#include "ports.hpp"

#include <string>

namespace mulberry
{

/// Base URLs of the table service and object store, and the URL of the VM list.
struct platform_urls
{
    std::string table;
    std::string objects;
    std::string vms;
};

class http_platform_port : public platform_port
{
public:
    /// Precondition: `sink` outlives this object. `token_prefix` must be unique
    /// to this process: it makes the transaction tokens unique.
    http_platform_port(platform_urls urls, std::string token_prefix,
                       event_sink& sink);

    void run(transact const& what) override;
    void run(read_row const& what) override;
    void run(scan_rows const& what) override;
    void run(fetch_object const& what) override;
    void run(store_object const& what) override;
    void request_vm_list() override;

private:
    /// Sends an idempotent GET to the table service and posts the reply.
    void read(operation_id operation, std::string url, time_point deadline);

    platform_urls urls_;
    std::string token_prefix_;
    event_sink* sink_;
    http_client table_client_;
    http_client object_client_;
    http_client list_client_;
};

} // namespace mulberry

#endif
