// Workers, the runs they report, and the orders sent to them, independent of the wire format. The platform adapter translates these types
// to and from the workers' HTTP interface.

#pragma once

#include <Loomreach/Core/EnumTable.h>
#include <Loomreach/Job/JobRecord.h>
#include <Loomreach/Settings/DaemonConfig.h>

namespace Loomreach::Jobs
{

/// Start time of an incarnation that is not known.
inline constexpr int64 cStartTimeUnknown = -1;

/// Whether one incarnation of a worker started after another; false if either start time is unknown.
constexpr bool IsStartedAfter(int64 inStarted, int64 inOther)
{
	return inStarted != cStartTimeUnknown && inOther != cStartTimeUnknown && inStarted > inOther;
}

/// One worker as the worker list shows it: one incarnation, which is one process on a host.
struct WorkerEntry
{
	std::string id;                       ///< Identifies the worker; a new incarnation may reuse it.
	int64 started_ms = cStartTimeUnknown; ///< Start time, ms since 1970 by the host's clock; identifies the incarnation together with `id`.
	std::string host;                     ///< Host it runs on; empty if not reported.
	std::string pool;
	std::string availability_zone;
	Address address;
	std::string kind; ///< Label of its worker kind.
	std::string rack;
	std::vector<std::string> labels; ///< All labels.
	Resources capacity;
	bool draining = false;
	Millis clock_ms = -1; ///< The worker's steady clock when it reported; -1: not reported.

	bool operator==(const WorkerEntry &) const = default;
};

/// Why a run ended.
enum class ERunEnd : uint8
{
	Done,
	Failed,
	Stopped,
	LeaseExpired, ///< Its lease expired.
	GangBroken,   ///< Another member of its gang ended.
	GangTimeout   ///< The other members of its gang did not start in time.
};

inline constexpr std::array cRunEndNames = {
	EnumName<ERunEnd>{ERunEnd::Done, "done"},         EnumName<ERunEnd>{ERunEnd::Failed, "failed"},
	EnumName<ERunEnd>{ERunEnd::Stopped, "stopped"},   EnumName<ERunEnd>{ERunEnd::LeaseExpired, "lapsed"},
	EnumName<ERunEnd>{ERunEnd::GangBroken, "broken"}, EnumName<ERunEnd>{ERunEnd::GangTimeout, "alone"},
};

/// A run that a worker currently has.
struct RunningRun
{
	TaskId task;
	uint32 run = 0;
	std::string checkpoint;
	int64 percent = 0;     ///< Progress; a long-running task that is up reports 100.
	int64 measurement = 0; ///< Latency-sensitive tasks: tail latency, ms. Others: processor time in use, thousandths of a core.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->task, this->run, this->checkpoint, this->percent, this->measurement);
	}
};

/// A run that has ended on a worker and whose end is not acknowledged yet.
struct EndedRun
{
	uint64 sequence = 0; ///< Sequence number; counts up from 1 within an incarnation.
	TaskId task;
	uint32 run = 0;
	ERunEnd end = ERunEnd::Failed;
	std::string checkpoint;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->sequence, this->task, this->run, this->end, this->checkpoint);
	}
};

/// Outcome of an order to a worker.
enum class EOrderResult : uint8
{
	Done,             ///< Carried out, now or by an earlier copy of the order.
	StaleToken,       ///< The worker has seen a higher fencing token.
	StaleRun,         ///< A run of the task with this or a higher number was stopped or has ended on the worker.
	TooLate,          ///< The lease named in the order has already expired.
	NoCapacity,       ///< The run does not fit into the worker's free capacity.
	NoTicket,         ///< The adviser's ticket is missing or has expired.
	OtherIncarnation, ///< The order was for another incarnation of the worker.
	Unhealthy,        ///< The worker refused because it is unhealthy; nothing was done.
	Rejected,         ///< The worker found the order malformed.
	NotSent,          ///< The order certainly never left the sender.
	Unknown           ///< No answer: the order may be carried out, now or later, or not at all.
};

inline constexpr std::array cOrderResultNames = {
	EnumName<EOrderResult>{EOrderResult::Done, "done"},
	EnumName<EOrderResult>{EOrderResult::StaleToken, "stale-token"},
	EnumName<EOrderResult>{EOrderResult::StaleRun, "stale-run"},
	EnumName<EOrderResult>{EOrderResult::TooLate, "too-late"},
	EnumName<EOrderResult>{EOrderResult::NoCapacity, "no-room"},
	EnumName<EOrderResult>{EOrderResult::NoTicket, "no-ticket"},
	EnumName<EOrderResult>{EOrderResult::OtherIncarnation, "other-life"},
	EnumName<EOrderResult>{EOrderResult::Unhealthy, "unhealthy"},
	EnumName<EOrderResult>{EOrderResult::Rejected, "rejected"},
	EnumName<EOrderResult>{EOrderResult::NotSent, "not-sent"},
	EnumName<EOrderResult>{EOrderResult::Unknown, "unknown"},
};

/// Kind of an order to a worker.
enum class EOrder : uint8
{
	Start,
	Stop,
	Poll,    ///< Renews the leases of all runs, acknowledges run ends and lists what runs.
	Throttle ///< Throttles a best-effort run.
};

inline constexpr std::array cOrderNames = {
	EnumName<EOrder>{EOrder::Start, "start"},
	EnumName<EOrder>{EOrder::Stop, "stop"},
	EnumName<EOrder>{EOrder::Poll, "poll"},
	EnumName<EOrder>{EOrder::Throttle, "throttle"},
};

/// One order to one worker.
struct Order
{
	EOrder kind = EOrder::Poll;
	uint64 serial = 0; ///< Identifies the order between the cell and its driver.
	std::string worker;
	std::string availability_zone; ///< Of the worker.
	Address address;
	uint64 token = 0; ///< Fencing token.
	TaskId task;
	uint32 run = 0;
	std::string payload;
	std::string checkpoint;
	std::string ticket;
	Millis until_ms = -1;        ///< End of the lease on the worker's clock; -1: none given.
	uint64 acknowledged_end = 0; ///< Poll: run ends up to this sequence number are acknowledged.
	Millis wait_ms = 0;          ///< Poll: how long the worker may delay its answer until a run ends (long poll).
	int64 percent = 100;         ///< Throttle: share of full speed at which the run may work.
	Millis not_after = 0;        ///< On the sender's clock: the order must not be sent later. At most the end of its ownership.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->kind, this->serial, this->worker, this->availability_zone, this->address, this->token, this->task, this->run,
				  this->payload, this->checkpoint, this->ticket, this->until_ms, this->acknowledged_end, this->wait_ms, this->percent,
				  this->not_after);
	}
};

/// The answer to an order.
struct OrderAnswer
{
	EOrderResult result = EOrderResult::Unknown;
	Millis clock_ms = -1;                 ///< The worker's steady clock; -1: not reported.
	std::vector<RunningRun> running;      ///< Poll only.
	std::vector<EndedRun> ended;          ///< Poll only.
	bool partial = false;                 ///< Poll only: more ends may follow, so a run in neither list may have ended.
	bool connection_closed = false;       ///< No answer: the worker's host closed or refused the connection.
	int64 started_ms = cStartTimeUnknown; ///< Poll only: start time of the incarnation that answered.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->result, this->clock_ms, this->running, this->ended, this->partial, this->connection_closed, this->started_ms);
	}
};

} // namespace Loomreach::Jobs
