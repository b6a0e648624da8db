// Counters, gauges and Boost histograms, and their Prometheus text.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/EnumTable.h>
#include <Loomreach/Core/Metrics.h>

#include <boost/histogram.hpp>

#include <sstream>

namespace Loomreach
{

namespace
{

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyHistogram = decltype(boost::histogram::make_histogram(LogAxis(1, 1.0, 2.0)));

constexpr unsigned cBins = 30;
constexpr double cLowestMs = 0.05;
constexpr double cHighestMs = 100'000.0;

/// Metric name and label name of a counter family.
struct FamilyName
{
	std::string_view metric;
	std::string_view label;
};

constexpr std::array<FamilyName, static_cast<size_t>(ECounter::Count)> cCounterNames = {{
	{"loomreach_requests_total", "outcome"},
	{"loomreach_refusals_total", "reason"},
	{"loomreach_proposals_accepted_total", "kind"},
	{"loomreach_proposals_rejected_total", "reason"},
	{"loomreach_peer_rejects_total", "reason"},
	{"loomreach_peer_bytes_total", "direction"},
	{"loomreach_platform_calls_total", "result"},
	{"loomreach_records_folded_total", "source"},
	{"loomreach_snapshots_total", "event"},
	{"loomreach_claims_total", "result"},
	{"loomreach_orders_total", "result"},
	{"loomreach_duties_total", "result"},
	{"loomreach_job_calls_total", "answer"},
}};

constexpr std::array<std::string_view, static_cast<size_t>(ETiming::Count)> cTimingNames = {{
	"loomreach_request_ms",
	"loomreach_queue_ms",
	"loomreach_plan_ms",
	"loomreach_fold_ms",
}};

} // namespace

struct Metrics::Histograms
{
	std::vector<LatencyHistogram> families;
	std::array<double, static_cast<size_t>(ETiming::Count)> sums{};
	std::array<uint64, static_cast<size_t>(ETiming::Count)> counts{};
};

Metrics::Metrics() : histograms(std::make_unique<Histograms>())
{
	for (size_t i = 0; i < static_cast<size_t>(ETiming::Count); ++i)
		this->histograms->families.push_back(boost::histogram::make_histogram(LogAxis(cBins, cLowestMs, cHighestMs)));
}

Metrics::~Metrics() = default;

void Metrics::Count(ECounter inFamily, std::string_view inLabel, uint64 inBy)
{
	auto &family = this->counters[static_cast<size_t>(inFamily)];
	auto found = family.find(inLabel);
	if (found == family.end())
		found = family.emplace(inLabel, 0).first;
	found->second += inBy;
}

uint64 Metrics::Value(ECounter inFamily, std::string_view inLabel) const
{
	const auto &family = this->counters[static_cast<size_t>(inFamily)];
	auto found = family.find(inLabel);
	return found == family.end() ? 0 : found->second;
}

void Metrics::Observe(ETiming inFamily, double inMillis)
{
	const size_t family = static_cast<size_t>(inFamily);
	this->histograms->families[family](std::max(inMillis, cLowestMs));
	this->histograms->sums[family] += inMillis;
	++this->histograms->counts[family];
}

void Metrics::Gauge(std::string_view inName, double inValue)
{
	auto found = this->gauges.find(inName);
	if (found == this->gauges.end())
		this->gauges.emplace(inName, inValue);
	else
		found->second = inValue;
}

std::string Metrics::Prometheus() const
{
	std::ostringstream text;
	for (size_t i = 0; i < this->counters.size(); ++i)
	{
		text << "# TYPE " << cCounterNames[i].metric << " counter\n";
		for (const auto &[label, value] : this->counters[i])
			text << cCounterNames[i].metric << '{' << cCounterNames[i].label << "=\"" << label << "\"} " << value << '\n';
	}
	for (const auto &[name, value] : this->gauges)
		text << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
	for (size_t i = 0; i < this->histograms->families.size(); ++i)
	{
		const LatencyHistogram &family = this->histograms->families[i];
		text << "# TYPE " << cTimingNames[i] << " histogram\n";
		double below = 0.0;
		for (int bin = -1; bin < static_cast<int>(cBins); ++bin)
		{
			below += family.at(bin);
			const double upper = bin < 0 ? cLowestMs : family.axis().bin(bin).upper();
			text << cTimingNames[i] << "_bucket{le=\"" << upper << "\"} " << below << '\n';
		}
		text << cTimingNames[i] << "_bucket{le=\"+Inf\"} " << this->histograms->counts[i] << '\n';
		text << cTimingNames[i] << "_sum " << this->histograms->sums[i] << '\n';
		text << cTimingNames[i] << "_count " << this->histograms->counts[i] << '\n';
	}
	return text.str();
}

} // namespace Loomreach
