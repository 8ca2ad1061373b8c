#include <damaskworks/metrics.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace damask {
namespace {

namespace acc = boost::accumulators;
/// Markers of the P-square estimator; a superset of the quantiles in DistributionSummary.
constexpr std::array<double, 5> estimatedQuantiles { 0.25, 0.5, 0.9, 0.99, 0.999 };

/// Splits `name{labels}` into the name and the labels without braces.
std::pair<std::string, std::string> splitLabels(const std::string& key)
{
    auto brace = key.find('{');
    if (brace == std::string::npos)
        return { key, "" };
    return { key.substr(0, brace), key.substr(brace + 1, key.size() - brace - 2) };
}

void writeSummary(std::ostream& out, const std::string& key, const DistributionSummary& summary)
{
    auto [name, labels] = splitLabels(key);
    const std::string separator = labels.empty() ? "" : ",";
    const std::string braced = labels.empty() ? "" : "{" + labels + "}";
    out << name << "{" << labels << separator << "quantile=\"0.5\"} " << summary.p50 << "\n";
    out << name << "{" << labels << separator << "quantile=\"0.9\"} " << summary.p90 << "\n";
    out << name << "{" << labels << separator << "quantile=\"0.99\"} " << summary.p99 << "\n";
    out << name << "_sum" << braced << " " << summary.sum << "\n";
    out << name << "_count" << braced << " " << summary.count << "\n";
}

} // namespace

struct Distribution::State {
    acc::accumulator_set<double,
        acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square_quantile>>
        values { acc::extended_p_square_probabilities = estimatedQuantiles };
};

Distribution::Distribution()
    : m_state(std::make_unique<State>())
{
}

Distribution::~Distribution() = default;
Distribution::Distribution(Distribution&&) noexcept = default;
Distribution& Distribution::operator=(Distribution&&) noexcept = default;

void Distribution::observe(double value) { m_state->values(value); }

DistributionSummary Distribution::summary() const
{
    DistributionSummary out;
    out.count = acc::count(m_state->values);
    if (out.count == 0)
        return out;
    out.sum = acc::sum(m_state->values);
    out.max = acc::max(m_state->values);
    out.p50 = acc::quantile(m_state->values, acc::quantile_probability = 0.5);
    out.p90 = acc::quantile(m_state->values, acc::quantile_probability = 0.9);
    out.p99 = acc::quantile(m_state->values, acc::quantile_probability = 0.99);
    return out;
}

void Metrics::count(std::string_view name, std::uint64_t amount)
{
    auto it = m_counters.find(name);
    if (it == m_counters.end())
        it = m_counters.emplace(std::string(name), 0).first;
    it->second += amount;
}

void Metrics::gauge(std::string_view name, double value)
{
    m_gauges.insert_or_assign(std::string(name), value);
}

void Metrics::observe(std::string_view name, std::chrono::duration<double> seconds)
{
    auto it = m_distributions.find(name);
    if (it == m_distributions.end())
        it = m_distributions.emplace(std::string(name), Distribution()).first;
    it->second.observe(seconds.count());
}

std::uint64_t Metrics::counter(std::string_view name) const
{
    auto it = m_counters.find(name);
    return it == m_counters.end() ? 0 : it->second;
}

std::string Metrics::text() const
{
    std::ostringstream out;
    for (const auto& [name, value] : m_counters)
        out << name << " " << value << "\n";
    for (const auto& [name, value] : m_gauges)
        out << name << " " << value << "\n";
    for (const auto& [name, distribution] : m_distributions)
        writeSummary(out, name, distribution.summary());
    return out.str();
}

} // namespace damask
