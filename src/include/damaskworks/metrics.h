/// \file
/// Counters, gauges and distributions, exported in the Prometheus text format.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace damask {

/// Count, sum and estimated quantiles of a distribution.
struct DistributionSummary {
    std::uint64_t count = 0;
    double sum = 0;
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
    double max = 0;
};

/// A distribution of observed values with streaming quantiles (Boost.Accumulators).
class Distribution {
public:
    Distribution();
    ~Distribution();
    Distribution(Distribution&&) noexcept;
    Distribution& operator=(Distribution&&) noexcept;
    /// Adds one observation.
    void observe(double value);
    /// Quantiles of all observations so far.
    DistributionSummary summary() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Metrics of one process, created on first use. Names may include labels: `requests_total{pool="pricing"}`.
class Metrics {
public:
    /// Adds \p amount to the counter \p name.
    void count(std::string_view name, std::uint64_t amount = 1);
    /// Sets the gauge \p name to \p value.
    void gauge(std::string_view name, double value);
    /// Adds \p seconds to the distribution \p name.
    void observe(std::string_view name, std::chrono::duration<double> seconds);
    /// Value of a counter; 0 if it does not exist.
    std::uint64_t counter(std::string_view name) const;
    /// All metrics in the text exposition format.
    std::string text() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, double, std::less<>> m_gauges;
    std::map<std::string, Distribution, std::less<>> m_distributions;
};

} // namespace damask
