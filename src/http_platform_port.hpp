/// The platform's table service, object store and list of VMs over HTTP, one
/// client for each, so that a slow one does not hold up another.
#ifndef MULBERRY_HTTP_PLATFORM_PORT_HPP
#define MULBERRY_HTTP_PLATFORM_PORT_HPP

#include "event_sink.hpp"
#include "http_client.hpp"
#include "ports.hpp"

#include <string>

namespace mulberry
{

struct platform_urls
{
    std::string table;
    std::string objects;
    std::string vms;
};

class http_platform_port : public platform_port
{
public:
    /// `sink` outlives this object. `token_prefix` makes this process's
    /// transaction tokens differ from any other's.
    http_platform_port(platform_urls urls, std::string token_prefix,
                       event_sink& sink);

    void run(transact const& what) override;
    void run(read_row const& what) override;
    void run(scan_rows const& what) override;
    void run(fetch_object const& what) override;
    void run(store_object const& what) override;
    void request_vm_list() override;

private:
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
