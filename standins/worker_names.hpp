/// Names of the workers that one stand-in process simulates.
#ifndef MULBERRY_WORKER_NAMES_HPP
#define MULBERRY_WORKER_NAMES_HPP

#include <string>
#include <string_view>
#include <vector>

namespace mulberry::standins
{

/// Expands NAME:COUNT to NAME-01 ... NAME-COUNT and keeps a plain NAME. Throws
/// bad_option if a count or name is invalid.
std::vector<std::string> worker_names(std::vector<std::string> const& patterns);

struct worker_path
{
    std::string worker;
    /// The remaining path with its leading slash.
    std::string rest;
};

/// Splits /WORKER/REST.
worker_path split_worker(std::string_view path);

} // namespace mulberry::standins

#endif
