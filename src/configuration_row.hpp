/// Keys and format of the configuration's rows in the table service.
#ifndef MULBERRY_CONFIGURATION_ROW_HPP
#define MULBERRY_CONFIGURATION_ROW_HPP

#include "ids.hpp"
#include "table.hpp"

#include <optional>
#include <string>
#include <vector>

namespace mulberry
{

/// Content of row `configuration` and of row `confirmed/VERSION`. The latter
/// keeps the text that row `configuration` had when that version was written,
/// so that a writer whose answer was lost finds its token even after later
/// versions were written.
struct configuration_row
{
    /// The table's version of the row; none when the row is absent.
    row_version at;
    std::string token;
    /// None (0) before the first confirm.
    config_version version;
    std::string digest;
    std::string object;
    friend bool operator==(configuration_row const&,
                           configuration_row const&) = default;
};

std::string const& configuration_key();
std::string confirmed_key(config_version version);
std::string declaration_key(std::string const& digest);

/// Parses the row with this key among a reply's rows. Returns a row without
/// version when the row is absent, and nothing when its text is malformed.
std::optional<configuration_row>
find_configuration_row(std::vector<table_row> const& rows,
                       std::string const& key);
std::string write_configuration_row(configuration_row const& row);

/// A linearizable read: a transaction without writes whose conditions require
/// the rows to be absent, so that the conflict returns each existing row.
table_transaction linearizable_read(std::vector<std::string> const& keys);

} // namespace mulberry

#endif
