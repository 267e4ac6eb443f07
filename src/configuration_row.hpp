/// The texts of the configuration's rows in the table service.
#ifndef MULBERRY_CONFIGURATION_ROW_HPP
#define MULBERRY_CONFIGURATION_ROW_HPP

#include "ids.hpp"
#include "table.hpp"

#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

/// Row `configuration`, and row `confirmed/VERSION`, which keeps the text that
/// the former had when that version was written: so that whoever wrote it and
/// lost the answer finds its token also after later versions. Value.
struct configuration_row
{
    /// The table's version of the row; none when the row is absent.
    row_version at;
    std::string token;
    /// None before the first confirm.
    config_version version;
    std::string digest;
    std::string object;
    friend bool operator==(configuration_row const&,
                           configuration_row const&) = default;
};

std::string const& configuration_key();
std::string confirmed_key(config_version version);
std::string declaration_key(std::string const& digest);

/// The row of that key among a reply's rows; an absent one reads as a row
/// without a version. Nothing when its text is malformed.
std::optional<configuration_row>
find_configuration_row(std::vector<table_row> const& rows,
                       std::string const& key);
std::string write_configuration_row(configuration_row const& row);

/// A transaction without writes, whose condition fails for each row that
/// exists and so returns it: a read that does not lag.
table_transaction linearizable_read(std::vector<std::string> const& keys);

} // namespace mulberry

#endif
