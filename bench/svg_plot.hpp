/// Plots as SVG text.
#ifndef MULBERRY_SVG_PLOT_HPP
#define MULBERRY_SVG_PLOT_HPP

#include <string>
#include <utility>
#include <vector>

namespace mulberry
{

struct plot_series
{
    std::string label;
    std::vector<std::pair<double, double>> points;
    /// Joined by a line, or each a mark.
    bool joined = false;
};

/// Axes from 0 to the largest value, unless said otherwise.
struct plot_panel
{
    std::string title;
    std::string x_label;
    std::string y_label;
    std::vector<plot_series> series;
    /// Logarithmic x axis over the values given, which are above 0.
    bool log_x = false;
};

/// The panels beneath one another. Series keep one colour by label.
std::string svg_plot(std::vector<plot_panel> const& panels);

} // namespace mulberry

#endif
