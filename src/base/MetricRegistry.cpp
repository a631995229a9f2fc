#include "foxtailring/base/MetricRegistry.h"

#include <array>
#include <set>
#include <sstream>

namespace foxtailring {

namespace {

constexpr std::array latencyBoundsSeconds {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,  0.2,
                                           0.5,   1.0,   2.0,   4.0,  8.0,  15.0, 30.0, 60.0};

std::string_view metricName(std::string_view series)
{
    return series.substr(0, series.find('{'));
}

std::string seriesName(std::string_view series, std::string_view suffix, std::string_view label)
{
    std::string out(metricName(series));
    out += suffix;
    const auto brace = series.find('{');
    std::string labels;
    if (brace != std::string_view::npos)
        labels = series.substr(brace + 1, series.size() - brace - 2);
    if (!label.empty()) {
        if (!labels.empty())
            labels += ',';
        labels += label;
    }
    if (!labels.empty())
        out += '{' + labels + '}';
    return out;
}

class ExpositionWriter
{
public:
    void writeType(std::string_view series, std::string_view kind)
    {
        const std::string name(metricName(series));
        if (m_typedNames.insert(name).second)
            m_out << "# TYPE " << name << ' ' << kind << '\n';
    }
    template <typename T>
    void writeSample(std::string_view series, T value)
    {
        m_out << series << ' ' << value << '\n';
    }
    std::string text() const { return m_out.str(); }

private:
    std::ostringstream m_out;
    std::set<std::string> m_typedNames;
};

void writeHistogram(ExpositionWriter &writer, std::string_view series, const Histogram &histogram)
{
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < histogram.bounds().size(); ++i) {
        cumulative += histogram.counts()[i];
        std::ostringstream label;
        label << "le=\"" << histogram.bounds()[i] << '"';
        writer.writeSample(seriesName(series, "_bucket", label.str()), cumulative);
    }
    writer.writeSample(seriesName(series, "_bucket", "le=\"+Inf\""), histogram.count());
    writer.writeSample(seriesName(series, "_sum", ""), histogram.sum());
    writer.writeSample(seriesName(series, "_count", ""), histogram.count());
}

} // namespace

void MetricRegistry::add(std::string_view series, std::int64_t amount)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_counters.find(series);
    if (found == m_counters.end())
        m_counters.emplace(series, amount);
    else
        found->second += amount;
}

void MetricRegistry::setGauge(std::string_view series, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges.insert_or_assign(std::string(series), value);
}

void MetricRegistry::removeGauge(std::string_view series)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_gauges.find(series);
    if (found != m_gauges.end())
        m_gauges.erase(found);
}

void MetricRegistry::observeSeconds(std::string_view series, double seconds)
{
    const std::lock_guard lock(m_mutex);
    auto found = m_histograms.find(series);
    if (found == m_histograms.end())
        found = m_histograms.emplace(series, Histogram(latencyBoundsSeconds)).first;
    found->second.observe(seconds);
}

std::int64_t MetricRegistry::counterValue(std::string_view series) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_counters.find(series);
    return found == m_counters.end() ? 0 : found->second;
}

std::string MetricRegistry::prometheusText() const
{
    const std::lock_guard lock(m_mutex);
    ExpositionWriter writer;
    for (const auto &[series, value] : m_counters) {
        writer.writeType(series, "counter");
        writer.writeSample(series, value);
    }
    for (const auto &[series, value] : m_gauges) {
        writer.writeType(series, "gauge");
        writer.writeSample(series, value);
    }
    for (const auto &[series, histogram] : m_histograms) {
        writer.writeType(series, "histogram");
        writeHistogram(writer, series, histogram);
    }
    return writer.text();
}

} // namespace foxtailring
