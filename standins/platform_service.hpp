/// Serves the platform's table, object store, weight store and list of VMs over
/// HTTP.
#ifndef MULBERRY_PLATFORM_SERVICE_HPP
#define MULBERRY_PLATFORM_SERVICE_HPP

#include "fault_counts.hpp"
#include "standin_program.hpp"
#include "table_store.hpp"
#include "weight_gate.hpp"

#include <json/json.h>

#include <array>
#include <map>

namespace mulberry::standins
{

/// Rate limits; requests above a limit are answered with 429.
struct platform_limits
{
    double writes_per_second = 600;
    double reads_per_second = 2000;
    weight_limits weights;
};

/// Only on the loop's thread.
class platform_service : public standin_service
{
public:
    platform_service(platform_limits const& limits, standin_loop& loop);
    void handle(standin_request const& request) override;

private:
    enum class part
    {
        table,
        objects,
        weights,
        list
    };
    using answer_ptr = std::shared_ptr<http_answer>;
    struct transaction
    {
        std::vector<row_condition> conditions;
        std::vector<row_write> writes;
    };
    struct statistics
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t conflicts = 0;
        std::uint64_t throttled = 0;
        std::uint64_t loads = 0;
        std::uint64_t refused_loads = 0;
    };

    static part part_named(std::string const& name);
    static transaction parse_transaction(std::string const& body);
    bool handle_control(standin_request const& request);
    void control(Json::Value const& order);
    void set_down(Json::Value const& order);
    http_response stats() const;
    void register_vm(standin_request const& request);

    void handle_table(standin_request const& request);
    void transact(standin_request const& request);
    void apply(transaction const& wanted, answer_ptr const& answer);
    void read_row(standin_request const& request);
    void scan(standin_request const& request);
    void handle_objects(standin_request const& request);
    void handle_weights(standin_request const& request);
    void finish_weights();
    void list_vms(standin_request const& request);

    bool admit_writes(std::size_t rows);
    bool admit_read();
    bool is_down(part where) const;
    void answer(part where, answer_ptr const& answer, http_response response);

    standin_loop& loop_;
    table_store table_;
    table_store vms_;
    std::map<std::string, std::string> objects_;
    token_bucket write_bucket_;
    token_bucket read_bucket_;
    weight_gate gate_;
    loop_timer weights_timer_;
    std::map<load_id, answer_ptr> loads_;
    statistics statistics_;
    std::array<bool, 4> part_is_down_{};
    fault_counts faults_{"lose_answers"};
    std::chrono::milliseconds response_delay_{0};
    std::chrono::milliseconds read_lag_{0};
    std::chrono::milliseconds list_lag_{0};
    std::chrono::milliseconds write_delay_{0};
};

} // namespace mulberry::standins

#endif
