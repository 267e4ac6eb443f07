#include "svg_plot.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace mulberry
{
namespace
{

constexpr double width = 760;
constexpr double panel_height = 330;
constexpr double left = 70;
constexpr double right = 180;
constexpr double top = 40;
constexpr double bottom = 50;
constexpr int grid_lines = 5;
constexpr std::array colours = {"#1b6ca8", "#d1495b", "#edae49", "#66a182",
                                "#2e4057", "#8d5a97", "#7a7a7a"};

struct scale
{
    double from = 0;
    double to = 1;
    double start = 0;
    double end = 1;
    bool logarithmic = false;

    double place(double value) const
    {
        return logarithmic ? std::log10(value) : value;
    }
    double operator()(double value) const
    {
        double const share =
            (place(value) - place(from)) / (place(to) - place(from));
        return start + share * (end - start);
    }
    double at_share(double share) const
    {
        double const at = place(from) + share * (place(to) - place(from));
        return logarithmic ? std::pow(10, at) : at;
    }
};

double largest(plot_panel const& panel, bool x)
{
    double most = 0;
    for (plot_series const& one : panel.series)
        for (auto const& [at_x, at_y] : one.points)
            most = std::max(most, x ? at_x : at_y);
    return most > 0 ? most * 1.05 : 1;
}

double smallest_x(plot_panel const& panel)
{
    double least = largest(panel, true);
    for (plot_series const& one : panel.series)
        for (auto const& [at_x, at_y] : one.points)
            least = std::min(least, at_x);
    return least;
}

std::string text(double x, double y, std::string const& what,
                 std::string const& anchor, int size = 11)
{
    return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\" "
                       "font-size=\"{}\">{}</text>\n",
                       x, y, anchor, size, what);
}

std::string line(double x1, double y1, double x2, double y2)
{
    return fmt::format("<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" "
                       "y2=\"{:.1f}\" stroke=\"#dddddd\"/>\n",
                       x1, y1, x2, y2);
}

std::string axes(plot_panel const& panel, scale const& x, scale const& y)
{
    std::string out =
        text((x.start + x.end) / 2, y.end - 14, panel.title, "middle", 14);
    for (int i = 0; i <= grid_lines; ++i)
    {
        double const share = static_cast<double>(i) / grid_lines;
        double const at_x = x.at_share(share);
        double const at_y = y.at_share(share);
        out += line(x(at_x), y.start, x(at_x), y.end);
        out += line(x.start, y(at_y), x.end, y(at_y));
        out +=
            text(x(at_x), y.start + 16, fmt::format("{:.3g}", at_x), "middle");
        out +=
            text(x.start - 6, y(at_y) + 4, fmt::format("{:.3g}", at_y), "end");
    }
    out += text((x.start + x.end) / 2, y.start + 34, panel.x_label, "middle");
    out += fmt::format("<text transform=\"translate({:.1f},{:.1f}) "
                       "rotate(-90)\" text-anchor=\"middle\" "
                       "font-size=\"11\">{}</text>\n",
                       x.start - 48, (y.start + y.end) / 2, panel.y_label);
    return out;
}

std::string drawn(plot_series const& series, std::string const& colour,
                  scale const& x, scale const& y)
{
    std::string out;
    std::string path;
    for (auto const& [at_x, at_y] : series.points)
    {
        path += fmt::format("{:.1f},{:.1f} ", x(at_x), y(at_y));
        if (!series.joined)
            out += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"5\" "
                               "fill=\"{}\"/>\n",
                               x(at_x), y(at_y), colour);
    }
    if (series.joined)
        out += fmt::format("<polyline points=\"{}\" fill=\"none\" "
                           "stroke=\"{}\" stroke-width=\"1.6\"/>\n",
                           path, colour);
    return out;
}

} // namespace

std::string svg_plot(std::vector<plot_panel> const& panels)
{
    double const height = panel_height * static_cast<double>(panels.size());
    std::string out =
        fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" "
                    "height=\"{1}\" viewBox=\"0 0 {0} {1}\" "
                    "font-family=\"sans-serif\">\n"
                    "<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n",
                    width, height);
    std::map<std::string, std::string> colour_of;
    double offset = 0;
    for (plot_panel const& panel : panels)
    {
        scale const x{panel.log_x ? smallest_x(panel) / 1.2 : 0,
                      largest(panel, true), left, width - right, panel.log_x};
        scale const y{0, largest(panel, false), offset + panel_height - bottom,
                      offset + top, false};
        out += axes(panel, x, y);
        double label_y = offset + top + 10;
        for (plot_series const& series : panel.series)
        {
            std::string const& colour =
                colour_of
                    .try_emplace(series.label,
                                 colours[colour_of.size() % colours.size()])
                    .first->second;
            out += drawn(series, colour, x, y);
            out += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"10\" "
                               "height=\"10\" fill=\"{}\"/>\n",
                               width - right + 14, label_y - 9, colour);
            out += text(width - right + 30, label_y, series.label, "start");
            label_y += 18;
        }
        offset += panel_height;
    }
    return out + "</svg>\n";
}

} // namespace mulberry
