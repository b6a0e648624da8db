// Counters and latency histograms of one process, written as Prometheus text. Every refusal and retry reason is a label.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Families of counters; each has one label.
enum class ECounter : uint8
{
	Requests,      ///< By outcome.
	Refusals,      ///< By error kind.
	Proposals,     ///< By kind, accepted ones.
	Rejections,    ///< By error kind, of own proposals.
	PeerRejects,   ///< Datagrams and frames that changed nothing, by error kind.
	PeerBytes,     ///< Bytes to and from peers, by direction.
	PlatformCalls, ///< By result.
	RecordsFolded, ///< By source: platform or peer.
	Snapshots,     ///< By event.
	Claims,        ///< By result.
	Orders,        ///< To workers, by result.
	Duties,        ///< To hosts, by result.
	JobCalls,      ///< Callers' requests about jobs, by answer.
	Count
};

/// Families of latency histograms, ms.
enum class ETiming : uint8
{
	Request, ///< From arrival to the last byte.
	Queue,   ///< From arrival to the first attempt.
	Plan,    ///< One planning round.
	Fold,    ///< One batch of records.
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

	/// Adds to a counter.
	void Count(ECounter inFamily, std::string_view inLabel, uint64 inBy = 1);
	/// The value of a counter.
	uint64 Value(ECounter inFamily, std::string_view inLabel) const;
	/// Notes a duration.
	void Time(ETiming inFamily, double inMillis);
	/// Sets a gauge.
	void Gauge(std::string_view inName, double inValue);
	/// All of it as Prometheus text.
	std::string Prometheus() const;

private:
	struct Histograms;
	std::array<std::map<std::string, uint64, std::less<>>, static_cast<size_t>(ECounter::Count)> counters;
	std::map<std::string, double, std::less<>> gauges;
	std::unique_ptr<Histograms> histograms;
};

} // namespace Loomreach
