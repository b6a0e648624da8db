// Counters, gauges and latency histograms of one process, exported as Prometheus text. Every reason of a refusal or retry is a label value.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Counter families; each has one label.
enum class ECounter : uint8
{
	Requests,       ///< By outcome.
	Refusals,       ///< By error kind.
	Proposals,      ///< Accepted proposals, by kind.
	Rejections,     ///< Rejected proposals of this process, by error kind.
	PeerRejects,    ///< Rejected datagrams and frames from peers, by error kind.
	PeerBytes,      ///< Bytes sent to and received from peers, by direction.
	PlatformCalls,  ///< Calls to the platform, by result.
	RecordsApplied, ///< Applied log records, by source: platform or peer.
	Snapshots,      ///< By event.
	Claims,         ///< By result.
	Orders,         ///< Orders to workers, by result.
	HostOrders,     ///< Orders to hosts, by result.
	JobCalls,       ///< Callers' requests about jobs, by answer.
	Count
};

/// Latency histogram families, ms.
enum class ETiming : uint8
{
	Request, ///< From arrival to the last byte.
	Queue,   ///< From arrival to the first attempt.
	Plan,    ///< One planning round.
	Apply,   ///< Applying one batch of log records.
	Count
};

/// The metrics of a process.
class Metrics
{
public:
	Metrics();
	~Metrics();
	Metrics(const Metrics &) = delete;
	Metrics &operator=(const Metrics &) = delete;

	void Count(ECounter inFamily, std::string_view inLabel, uint64 inBy = 1);
	uint64 Value(ECounter inFamily, std::string_view inLabel) const;
	/// Records a duration in a histogram.
	void Observe(ETiming inFamily, double inMillis);
	void Gauge(std::string_view inName, double inValue);
	/// Returns all metrics in Prometheus' text format.
	std::string Prometheus() const;

private:
	struct Histograms;
	std::array<std::map<std::string, uint64, std::less<>>, static_cast<size_t>(ECounter::Count)> counters;
	std::map<std::string, double, std::less<>> gauges;
	std::unique_ptr<Histograms> histograms;
};

} // namespace Loomreach
