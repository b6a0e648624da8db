// Counts bytes and computes the backlog of a link.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Platform/LinkUsage.h>

#include <numeric>

namespace Loomreach
{

static constexpr double cBytesPerMsPerMbit = 125.0;
/// Share of the link for the bytes counted here. Packet headers, acknowledgements and answers to callers are not counted.
static constexpr double cCountedShare = 0.75;
/// Longest backlog to which bulk may add: a fraction of the time between two heartbeats.
static constexpr Millis cMaxBulkBacklogMs = 100;
static constexpr Millis cLogIntervalMs = 1000;

LinkUsage::LinkUsage(double inMbitPerS) : bytes_per_ms(inMbitPerS * cBytesPerMsPerMbit * cCountedShare) {}

void LinkUsage::OnSent(ETraffic inKind, size_t inBytes, Millis inNow)
{
	this->waiting_bytes = this->WaitingBytes(inNow) + static_cast<double>(inBytes);
	this->waiting_at = inNow;
	this->max_backlog_ms = std::max(this->max_backlog_ms, this->BacklogMs(inNow));
	this->sent[Index(inKind)] += inBytes;
	++this->calls[Index(inKind)];
}

double LinkUsage::WaitingBytes(Millis inNow) const
{
	return std::max(0.0, this->waiting_bytes - static_cast<double>(inNow - this->waiting_at) * this->bytes_per_ms);
}

size_t LinkUsage::BytesIn(Millis inMillis) const
{
	return this->bytes_per_ms > 0.0 ? static_cast<size_t>(static_cast<double>(inMillis) * this->bytes_per_ms)
									: std::numeric_limits<size_t>::max();
}

Millis LinkUsage::TransferMs(size_t inBytes, Millis inNow) const
{
	if (this->bytes_per_ms <= 0.0)
		return 0;
	return static_cast<Millis>((this->WaitingBytes(inNow) + static_cast<double>(inBytes)) / this->bytes_per_ms);
}

size_t LinkUsage::Room(Millis inNow) const
{
	const size_t most = this->BytesIn(cMaxBulkBacklogMs);
	if (this->bytes_per_ms <= 0.0)
		return most;
	return most - std::min(most, static_cast<size_t>(this->WaitingBytes(inNow)));
}

void LinkUsage::LogIfBusy(Millis inNow)
{
	const Millis elapsed = inNow - this->logged_at;
	if (elapsed < cLogIntervalMs)
		return;
	const uint64 out = std::accumulate(this->sent.begin(), this->sent.end(), uint64{0});
	const uint64 in = std::accumulate(this->received.begin(), this->received.end(), uint64{0});
	const size_t capacity = this->BytesIn(elapsed);
	if (std::max(out, in) > capacity / 2)
	{
		LogEvent line(ELogLevel::Info, "link_busy");
		line.Field("ms", elapsed).Field("out", out).Field("in", in).Field("capacity", capacity).Field("backlog_ms", this->max_backlog_ms);
		// By kind: number of calls, bytes sent, bytes received
		for (const EnumName<ETraffic> &row : cTrafficNames)
			if (const size_t kind = Index(row.value); this->sent[kind] + this->received[kind] > 0)
				line.Field(row.name, std::to_string(this->calls[kind]) + ':' + std::to_string(this->sent[kind]) + '/' +
										 std::to_string(this->received[kind]));
	}
	this->logged_at = inNow;
	this->max_backlog_ms = 0;
	this->calls = {};
	this->sent = {};
	this->received = {};
}

} // namespace Loomreach
