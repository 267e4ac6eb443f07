/// Callers that keep a deployment under load, and the record of their requests
/// and answers.
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

/// Sends requests and records them with their answers. Thread safety: safe.
class caller_registry
{
public:
    using request_ptr = std::shared_ptr<request_in_progress>;

    request_ptr send(model_call const& call);
    request_ptr send(plain_service_call const& call);
    /// Closes the caller's connection of the request.
    void disconnect(request_ptr const& request);
    /// Records that the VM must not accept requests sent from now on.
    void mark_leaving(std::string const& vm);
    /// Waits until every request is over and adds all requests to the record.
    void write_to(process_record& record);
    /// Numbers of model requests by VM and outcome, one line each.
    std::string outcome_counts();
    /// Model requests that took longer than a second, one line each.
    std::string slow_requests();

private:
    template <class Call>
    struct sent_request
    {
        recorded<Call> what;
        request_ptr request;
        mulberry::call_handle handle;
        std::chrono::steady_clock::time_point gives_up_at;
        std::chrono::steady_clock::time_point sent_at;
    };
    template <class Call>
    request_ptr send(Call const& call, std::deque<sent_request<Call>>& list);
    template <class Call>
    static void write(std::deque<sent_request<Call>>& list,
                      std::vector<recorded<Call>>& out);
    template <class Call>
    bool close(std::deque<sent_request<Call>>& list,
               request_ptr const& request);

    std::chrono::steady_clock::time_point const started_at_ =
        std::chrono::steady_clock::now();
    mulberry::http_client client_;
    std::mutex mutex_;
    std::set<std::string> leaving_;
    std::deque<sent_request<model_call>> model_calls_;
    std::deque<sent_request<plain_service_call>> service_calls_;
};

/// One run: a deployment, callers that keep it under load, and the checker at
/// the end. Thread safety: only the test's own thread may call it.
class scenario
{
public:
    explicit scenario(deployment_options const& options = {});
    ~scenario();

    deployment& world() { return world_; }
    caller_registry& callers() { return registry_; }

    /// Starts the threads of the callers.
    void start_traffic();
    /// Sets the VMs that receive the traffic from now on; initially all VMs.
    void send_traffic_to(std::vector<std::size_t> const& vms);
    /// Waits until `count` more model answers are complete. Returns false if
    /// generous_wait passes first.
    bool wait_for_answers(std::size_t count);
    /// The same for service calls that must not be repeated.
    bool wait_for_unrepeatable_calls(std::size_t count);
    void stop_traffic();

    model_call call_to(std::size_t vm, std::string const& adapter);
    plain_service_call unrepeatable_call_to(std::size_t vm,
                                            std::string const& key);
    void kill_vm(std::size_t vm);
    void freeze_vm(std::size_t vm);
    /// Waits until the VM owns workers, so that its failure affects workers.
    /// Returns false if generous_wait passes first.
    bool wait_until_owner(std::size_t vm);
    /// Waits until the VM refuses a new request and records that the VM must
    /// accept none from then on. Returns whether the VM refused one.
    bool await_refusal_of_new_work(std::size_t vm);
    /// Numbers of outcomes by VM, printed to help explain a failure.
    std::string outcome_counts();
    /// Stops the traffic, collects all histories and returns the violations.
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
    bool was_killed(std::string const& callers);
    target pick(std::mt19937& random);
    std::vector<target> targets();

    deployment world_;
    caller_registry registry_;
    process_record record_;
    std::mutex mutex_;
    std::vector<target> targets_;
    std::set<std::string> killed_addresses_;
    std::atomic<bool> stop_ = false;
    std::atomic<std::size_t> answers_ = 0;
    std::atomic<std::size_t> unrepeatable_answers_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace mulberry_test

#endif
