#include <LibObserve/Metrics.h>

#include <LibCore/Text.h>

#include <cmath>

#include <absl/strings/str_replace.h>

namespace GraniteField::Observe {

namespace {

constexpr unsigned s_bins = 240;
constexpr double s_least_microseconds = 10;
constexpr double s_most_microseconds = 600e6;
/// Series of one metric; classes times reasons stay far below it.
constexpr std::size_t s_largest_series_count = 2000;
constexpr char const* s_overflow_labels = "series=\"overflow\"";
/// Every how many bins the text form writes a bucket, to keep it short.
constexpr int s_bins_per_bucket = 12;

std::string label_text(Labels const& labels)
{
    std::string text;
    for (auto const& [name, value] : labels) {
        auto const escaped = absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
        Core::append(&text, text.empty() ? "" : ",", name, "=\"", escaped, "\"");
    }
    return text;
}

std::string series_text(std::string const& name, std::string const& labels)
{
    return labels.empty() ? name : Core::concat(name, "{", labels, "}");
}

}

Distribution::Distribution()
    : m_histogram(boost::histogram::make_histogram_with(
        boost::histogram::dense_storage<Cell>(), Axis(s_bins, s_least_microseconds, s_most_microseconds)))
{
}

void Distribution::add(Core::Microseconds duration)
{
    m_histogram(std::max(static_cast<double>(duration.count()), s_least_microseconds));
    m_count.add();
    m_sum_microseconds.add(static_cast<std::uint64_t>(std::max<std::int64_t>(duration.count(), 0)));
}

Core::Microseconds Distribution::quantile(double share) const
{
    auto const wanted = std::max(1.0, std::ceil(share * static_cast<double>(count())));
    double seen = 0;
    for (auto const& bin : boost::histogram::indexed(m_histogram, boost::histogram::coverage::all)) {
        seen += static_cast<double>(bin->load());
        if (seen >= wanted)
            return Core::Microseconds(static_cast<std::int64_t>(std::min(bin.bin().upper(), s_most_microseconds)));
    }
    return Core::Microseconds(0);
}

std::string Distribution::to_text(std::string const& name, std::string const& labels) const
{
    std::string text;
    auto const separator = labels.empty() ? "" : ",";
    std::uint64_t seen = 0;
    for (auto const& bin : boost::histogram::indexed(m_histogram, boost::histogram::coverage::inner)) {
        seen += bin->load();
        bool const is_bucket = bin.index() % s_bins_per_bucket == s_bins_per_bucket - 1;
        if (is_bucket)
            Core::append(
                &text, name, "_bucket{", labels, separator, "le=\"", bin.bin().upper() / 1e6, "\"} ", seen, "\n");
    }
    Core::append(&text, name, "_bucket{", labels, separator, "le=\"+Inf\"} ", count(), "\n");
    Core::append(
        &text, series_text(name + "_sum", labels), " ", static_cast<double>(m_sum_microseconds.value()) / 1e6, "\n");
    Core::append(&text, series_text(name + "_count", labels), " ", count(), "\n");
    return text;
}

template <typename Metric>
Metric& MetricRegistry::find_or_make(Family<Metric>& family, std::string const& name, Labels const& labels)
{
    std::lock_guard const lock(m_mutex);
    auto& series = family[name];
    auto text = label_text(labels);
    if (series.size() >= s_largest_series_count && !series.contains(text))
        text = s_overflow_labels;
    auto& metric = series[text];
    if (!metric)
        metric = std::make_unique<Metric>();
    return *metric;
}

Counter& MetricRegistry::counter(std::string const& name, Labels const& labels)
{
    return find_or_make(m_counters, name, labels);
}

Gauge& MetricRegistry::gauge(std::string const& name, Labels const& labels)
{
    return find_or_make(m_gauges, name, labels);
}

Distribution& MetricRegistry::distribution(std::string const& name, Labels const& labels)
{
    return find_or_make(m_distributions, name, labels);
}

std::string MetricRegistry::to_text() const
{
    std::lock_guard const lock(m_mutex);
    std::string text;
    for (auto const& [name, series] : m_counters) {
        Core::append(&text, "# TYPE ", name, " counter\n");
        for (auto const& [labels, metric] : series)
            Core::append(&text, series_text(name, labels), " ", metric->value(), "\n");
    }
    for (auto const& [name, series] : m_gauges) {
        Core::append(&text, "# TYPE ", name, " gauge\n");
        for (auto const& [labels, metric] : series)
            Core::append(&text, series_text(name, labels), " ", metric->value(), "\n");
    }
    for (auto const& [name, series] : m_distributions) {
        Core::append(&text, "# TYPE ", name, " histogram\n");
        for (auto const& [labels, metric] : series)
            Core::append(&text, metric->to_text(name, labels));
    }
    return text;
}

}
