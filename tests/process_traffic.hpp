/// Callers that keep a deployment busy, and the record of what they saw.
#ifndef MULBERRY_PROCESS_TRAFFIC_HPP
#define MULBERRY_PROCESS_TRAFFIC_HPP

#include "process_caller.hpp"
#include "process_deployment.hpp"
#include "process_record.hpp"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mulberry_test
{

/// Sends requests and keeps them. Thread safe.
class caller_registry
{
public:
    using request_ptr = std::shared_ptr<pending_request>;

    request_ptr send(model_call const& call);
    request_ptr send(service_call_made const& call);
    /// The caller closes its connection.
    void disconnect(request_ptr const& request);
    /// What is sent to the VM from now on must not be taken.
    void mark_leaving(std::string const& vm);
    /// Waits until every request is over.
    void write_to(process_record& record);
    /// Counts the model requests that are over by what they were told.
    std::string outcome_counts();

private:
    template <class Call>
    struct kept
    {
        recorded<Call> what;
        request_ptr request;
        mulberry::call_handle handle;
        std::chrono::steady_clock::time_point gives_up_at;
    };
    template <class Call>
    request_ptr send(Call const& call, std::deque<kept<Call>>& list);
    template <class Call>
    static void write(std::deque<kept<Call>>& list,
                      std::vector<recorded<Call>>& out);
    template <class Call>
    bool close(std::deque<kept<Call>>& list, request_ptr const& request);

    mulberry::http_client client_;
    std::mutex mutex_;
    std::set<std::string> leaving_;
    std::deque<kept<model_call>> model_calls_;
    std::deque<kept<service_call_made>> service_calls_;
};

/// One run: a deployment, callers that keep it busy, and the checker at the
/// end. The test's own thread uses it.
class scenario
{
public:
    explicit scenario(deployment_options const& options = {});
    ~scenario();

    deployment& world() { return world_; }
    caller_registry& callers() { return registry_; }

    void start_traffic();
    /// Where traffic goes from now on; all VMs at first.
    void send_traffic_to(std::vector<std::size_t> const& vms);
    /// Waits until so many more answers came whole; whether they did.
    bool wait_for_answers(std::size_t count);
    /// The same of calls that may not be repeated.
    bool wait_for_unrepeatable_calls(std::size_t count);
    void stop_traffic();

    model_call call_to(std::size_t vm, std::string const& adapter);
    service_call_made unrepeatable_call_to(std::size_t vm,
                                           std::string const& key);
    void kill_vm(std::size_t vm);
    void freeze_vm(std::size_t vm);
    /// Waits until the VM owns workers, so that its failure touches them.
    bool wait_until_owner(std::size_t vm);
    /// Notes that the VM takes nothing new once it has said so.
    bool await_refusal_of_new_work(std::size_t vm);
    /// How often the callers were told what, for whoever reads a failure.
    std::string outcome_counts();
    /// Stops the traffic, gathers all histories and checks them.
    std::vector<finding> finish();

private:
    struct target
    {
        std::string name;
        std::string callers;
    };
    void send_model_calls(unsigned seed);
    void send_unrepeatable_calls();
    void watch_versions();
    target pick(std::mt19937& random);
    std::vector<target> targets();

    deployment world_;
    caller_registry registry_;
    process_record record_;
    std::mutex mutex_;
    std::vector<target> targets_;
    std::atomic<bool> stop_ = false;
    std::atomic<std::size_t> answers_ = 0;
    std::atomic<std::size_t> unrepeatable_answers_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace mulberry_test

#endif
