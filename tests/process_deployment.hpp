/// A whole deployment of real processes: entry VMs and stand-ins on loopback.
#ifndef MULBERRY_PROCESS_DEPLOYMENT_HPP
#define MULBERRY_PROCESS_DEPLOYMENT_HPP

#include "http_client.hpp"
#include "process_child.hpp"

#include <json/value.h>

#include <atomic>
#include <cstddef>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry_test
{

struct deployment_options
{
    std::size_t vms = 3;
    std::size_t workers = 4;
    /// Each has the versions 1 and 2.
    std::size_t adapters = 8;
    std::size_t adapter_slots = 3;
};

/// A folder that goes with its owner.
class scratch_folder
{
public:
    scratch_folder();
    ~scratch_folder();
    scratch_folder(scratch_folder const&) = delete;
    scratch_folder& operator=(scratch_folder const&) = delete;
    std::filesystem::path const& path() const { return path_; }

private:
    std::filesystem::path path_;
};

/// One entry VM and the addresses of its listeners.
struct entry_vm
{
    std::string name;
    std::unique_ptr<child_process> process;
    std::string callers;
    std::string peers;
    std::string operators;
};

struct ctl_run
{
    int status = 0;
    std::string output;
    std::string errors;
};

/// Everything between a VM and the stand-ins runs through links, so that it
/// can be cut: "engines", "services", and "platform-N" for each VM. Not
/// thread safe but for the const members.
class deployment
{
public:
    explicit deployment(deployment_options const& options = {});
    /// Prints the VMs' logs if MULBERRY_SHOW_LOGS is set.
    ~deployment();

    entry_vm& vm(std::size_t index) { return vms_.at(index); }
    std::vector<std::string> vm_names() const;
    /// Starts the VM anew under the same name.
    void start_vm(std::size_t index);
    /// Ends it as a power cut would; the platform's list drops it.
    void kill_vm(std::size_t index);

    /// ADAPTER@VERSION of all, most popular first.
    std::vector<std::string> const& adapters() const { return adapters_; }
    /// A declaration; `change` makes it differ from others.
    std::filesystem::path write_declaration(std::string const& change);
    ctl_run ctl(std::vector<std::string> const& arguments);
    /// Plans and confirms until it is in force on all VMs that are named.
    void confirm(std::filesystem::path const& declaration);
    bool in_force(std::size_t index, std::uint64_t version);

    void control_platform(Json::Value const& order);
    void control_engine(Json::Value const& order);
    void control_service(Json::Value const& order);
    void control_link(Json::Value const& order);
    void set_in_list(std::string const& vm, std::string const& state);
    std::vector<Json::Value> engine_history();
    std::vector<Json::Value> service_history();
    /// The VM's own status; null when it does not answer.
    Json::Value status(std::size_t index);
    /// Whether /readyz says that it takes new work.
    bool ready(std::size_t index);
    /// The text of /metrics.
    std::string metrics(std::size_t index);
    /// The time line of all VMs, as the operators' listener gives it.
    std::vector<Json::Value> timeline(std::size_t index);
    std::string const& operators_key() const { return operators_key_; }

private:
    void start_standins();
    void start_link();
    std::filesystem::path write_settings(std::string const& name,
                                         std::size_t index);
    Json::Value rpc(std::size_t index, std::string const& method,
                    Json::Value const& parameters);
    std::vector<Json::Value> history_of(std::string const& url);

    deployment_options options_;
    scratch_folder folder_;
    mulberry::http_client client_;
    std::string operators_key_ = "operators-key";
    std::vector<std::string> adapters_;
    std::unique_ptr<child_process> platform_;
    std::unique_ptr<child_process> engine_;
    std::unique_ptr<child_process> service_;
    std::unique_ptr<child_process> link_;
    std::string platform_url_;
    std::string engine_url_;
    std::string service_url_;
    std::string link_url_;
    std::map<std::string, std::string> links_;
    std::vector<entry_vm> vms_;
    std::size_t starts_ = 0;
    std::atomic<std::size_t> files_ = 0;
};

/// {"name": value}
Json::Value order(char const* name, Json::Value const& value);

} // namespace mulberry_test

#endif
