/// Names of the workers that one stand-in process plays.
#ifndef MULBERRY_WORKER_NAMES_HPP
#define MULBERRY_WORKER_NAMES_HPP

#include <string>
#include <string_view>
#include <vector>

namespace mulberry::standins
{

/// NAME stands for itself, NAME:COUNT for NAME-01 to NAME-COUNT. Throws
/// bad_option.
std::vector<std::string> worker_names(std::vector<std::string> const& patterns);

struct worker_path
{
    std::string worker;
    /// With its leading slash.
    std::string rest;
};

/// Splits /WORKER/REST.
worker_path split_worker(std::string_view path);

} // namespace mulberry::standins

#endif
