#pragma once

#include <LibCore/Time.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/histogram.hpp>

namespace GraniteField::Observe {

/// A number that only goes up. Any thread may add to it.
class Counter {
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value {0};
};

/// A number that goes up and down.
class Gauge {
public:
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    [[nodiscard]] std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value {0};
};

/// How long something took, in a Boost.Histogram with logarithmic bins from 10 microseconds to 10
/// minutes (about 8 percent wide). Any thread may add to it.
class Distribution {
public:
    Distribution();

    void add(Core::Microseconds);

    [[nodiscard]] std::uint64_t count() const { return m_count.value(); }
    /// An upper bound of the quantile (0 to 1): the upper edge of the bin that holds it.
    [[nodiscard]] Core::Microseconds quantile(double) const;
    /// Prometheus text lines of a histogram with this name and these labels.
    [[nodiscard]] std::string to_text(std::string const& name, std::string const& labels) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Cell = boost::histogram::accumulators::thread_safe<std::uint64_t>;
    using Histogram = decltype(boost::histogram::make_histogram_with(
        boost::histogram::dense_storage<Cell>(), std::declval<Axis>()));

    Histogram m_histogram;
    Counter m_count;
    Counter m_sum_microseconds;
};

/// `name="value"` pairs that tell the series of one metric apart.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// All metrics of a process. References that it gives stay valid for its life. The number of series is
/// bounded; what goes beyond is counted in one common overflow series.
class MetricRegistry {
public:
    [[nodiscard]] Counter& counter(std::string const& name, Labels const& = {});
    [[nodiscard]] Gauge& gauge(std::string const& name, Labels const& = {});
    [[nodiscard]] Distribution& distribution(std::string const& name, Labels const& = {});

    /// Everything in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string to_text() const;

private:
    template <typename Metric>
    using Family = std::map<std::string, std::map<std::string, std::unique_ptr<Metric>>>;

    template <typename Metric>
    Metric& find_or_make(Family<Metric>&, std::string const& name, Labels const&);

    mutable std::mutex m_mutex;
    Family<Counter> m_counters;
    Family<Gauge> m_gauges;
    Family<Distribution> m_distributions;
};

}
