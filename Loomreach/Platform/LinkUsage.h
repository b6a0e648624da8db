// Bytes that this process sends and receives over its host's network link, by kind of traffic, and an estimate of what still waits to be
// sent. All that a host sends leaves over one link in order, so a burst of one kind delays all others, the heartbeats of its ownership
// lease included. What has been handed to the kernel cannot be overtaken: senders of bulk keep the backlog short instead.

#pragma once

#include <Loomreach/Core/EnumTable.h>

namespace Loomreach
{

/// Kinds of traffic.
enum class ETraffic : uint8
{
	Other,
	Heartbeat, ///< Appends of host heartbeats.
	CellLog,   ///< Appends to the logs of owned cells.
	Read,      ///< Reads of the store's logs.
	Start,     ///< Starts of runs.
	Stop,      ///< Stops and throttles of runs.
	Poll,      ///< Polls of workers.
	Question,  ///< Questions to other hosts, and all datagrams received.
	Repeat,    ///< Questions that are sent again.
	Answer,    ///< Answers to other hosts.
	Message,   ///< Messages to other hosts that need no answer.
	Count
};

/// Names of the kinds in log lines.
inline constexpr std::array cTrafficNames = {
	EnumName<ETraffic>{ETraffic::Other, "other"},     EnumName<ETraffic>{ETraffic::Heartbeat, "heartbeat"},
	EnumName<ETraffic>{ETraffic::CellLog, "log"},     EnumName<ETraffic>{ETraffic::Read, "read"},
	EnumName<ETraffic>{ETraffic::Start, "start"},     EnumName<ETraffic>{ETraffic::Stop, "stop"},
	EnumName<ETraffic>{ETraffic::Poll, "poll"},       EnumName<ETraffic>{ETraffic::Question, "question"},
	EnumName<ETraffic>{ETraffic::Repeat, "repeat"},   EnumName<ETraffic>{ETraffic::Answer, "answer"},
	EnumName<ETraffic>{ETraffic::Message, "message"},
};

/// See the head of this file. Pure: time is passed in.
class LinkUsage
{
public:
	/// `inMbitPerS`: rate of the link; 0: unknown, and the link counts as unlimited.
	explicit LinkUsage(double inMbitPerS);

	void OnSent(ETraffic inKind, size_t inBytes, Millis inNow);
	void OnReceived(ETraffic inKind, size_t inBytes) { this->received[Index(inKind)] += inBytes; }
	/// Bytes that the link carries in this time.
	size_t BytesIn(Millis inMillis) const;
	/// Time until what waits now has left.
	Millis BacklogMs(Millis inNow) const { return this->TransferMs(0, inNow); }
	/// Time until `inBytes` that are sent now have left.
	Millis TransferMs(size_t inBytes, Millis inNow) const;
	/// Bytes of bulk that may be sent now without delaying a heartbeat by much.
	size_t Room(Millis inNow) const;
	/// Writes a line about the last second if more than half of the link was in use.
	void LogIfBusy(Millis inNow);

private:
	static constexpr size_t cKinds = static_cast<size_t>(ETraffic::Count);
	using ByKind = std::array<uint64, cKinds>;

	static constexpr size_t Index(ETraffic inKind) { return static_cast<size_t>(inKind); }
	/// Bytes that wait at this time.
	double WaitingBytes(Millis inNow) const;

	double bytes_per_ms;        ///< Rate available to the counted bytes; 0: unknown.
	double waiting_bytes = 0.0; ///< Bytes that waited at `waiting_at`.
	Millis waiting_at = 0;
	Millis logged_at = 0;
	Millis max_backlog_ms = 0; ///< Since `logged_at`, as are the following.
	ByKind calls{};
	ByKind sent{};
	ByKind received{};
};

} // namespace Loomreach
