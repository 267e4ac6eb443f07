/// A complete deployment of real processes on the loopback interface: entry VMs
/// and stand-ins for the platform, the engines and the services.
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
    /// Number of adapters; each has the versions 1 and 2.
    std::size_t adapters = 8;
    /// Adapters that one worker can hold at a time.
    std::size_t adapter_slots = 3;
};

/// A temporary directory, removed by the destructor.
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

/// One entry VM and the addresses (IP:PORT) of its listeners.
struct entry_vm
{
    std::string name;
    std::unique_ptr<child_process> process;
    std::string callers;
    std::string peers;
    std::string operators;
};

/// Exit status and output of one run of mulberryctl.
struct ctl_run
{
    int status = 0;
    std::string output;
    std::string errors;
};

/// The processes of one deployment. All traffic between the VMs and the
/// stand-ins passes through links that a test can cut: "engines", "services"
/// and "platform-N" for each VM. Thread safety: only const members may be
/// called concurrently.
class deployment
{
public:
    explicit deployment(deployment_options const& options = {});
    /// Prints the logs of the VMs if MULBERRY_SHOW_LOGS is set.
    ~deployment();

    entry_vm& vm(std::size_t index) { return vms_.at(index); }
    std::vector<std::string> vm_names() const;
    /// Starts a new process of the VM under the same name and waits until the
    /// process listens.
    void start_vm(std::size_t index);
    /// Kills the VM's process without warning, as a power failure would, and
    /// removes the VM from the platform's list.
    void kill_vm(std::size_t index);

    /// All adapters as ADAPTER@VERSION, most popular first.
    std::vector<std::string> const& adapters() const { return adapters_; }
    /// Writes a declaration and returns its path. Different values of `change`
    /// give different declarations.
    std::filesystem::path write_declaration(std::string const& change);
    /// Runs mulberryctl against all running VMs and waits for its end.
    ctl_run ctl(std::vector<std::string> const& arguments);
    /// Plans and confirms the declaration and waits until it is in force on
    /// all VMs. Throws after generous_wait.
    void confirm(std::filesystem::path const& declaration);
    /// Whether the VM applies this configuration version or a newer one.
    bool in_force(std::size_t index, std::uint64_t version);

    void control_platform(Json::Value const& order);
    void control_engine(Json::Value const& order);
    void control_service(Json::Value const& order);
    void control_link(Json::Value const& order);
    /// Sets the state of the VM in the platform's list of VMs.
    void set_in_list(std::string const& vm, std::string const& state);
    std::vector<Json::Value> engine_history();
    std::vector<Json::Value> service_history();
    /// The VM's status; null if the VM does not answer.
    Json::Value status(std::size_t index);
    /// Whether /readyz reports that the VM accepts new requests.
    bool ready(std::size_t index);
    /// The text of /metrics.
    std::string metrics(std::size_t index);
    /// The timeline of all VMs, read from this VM's operators' listener.
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

/// Returns the JSON object {"name": value}.
Json::Value order(char const* name, Json::Value const& value);

} // namespace mulberry_test

#endif
