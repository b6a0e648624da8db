// Plans maintenance waves over the platform's hosts: which host goes down next. Pure: does no I/O, time is passed in; the owner of the
// fleet cell drives it.
//
// A wave asks for the maintenance of every host on a list within a time, with a maximum number of hosts down at the same time. The owner
// of a host's pool drains the host before it goes down: the planner names the host, asks until it is empty, and then orders the
// maintenance.

#pragma once

#include <Loomreach/Core/EnumTable.h>
#include <Loomreach/Job/JobSpec.h>

namespace Loomreach::Jobs
{

/// State of a host on the host list.
enum class EHostState : uint8
{
	Up,
	Moving,
	Maintenance,
	Down
};

/// A host as the machine service of the platform lists it.
struct HostEntry
{
	std::string name;
	std::string pool;
	EHostState state = EHostState::Down;
	std::string availability_zone;
	std::string kind;
	std::string rack;
	std::string worker; ///< Incarnation of the worker on it; empty: none.
	Resources capacity;
};

/// Kind of an order to a host.
enum class EHostOrder : uint8
{
	Move,
	Maintain
};

/// Length of a drain grant: the owner of a pool keeps a worker empty for this long after each question, ms.
inline constexpr Millis cDrainGrantMs = 1500;
/// An order must be sent this much before the grant ends, ms: the platform takes 5 to 60 ms to answer, and a lost packet must be
/// repeated.
inline constexpr Millis cHostOrderTransitMs = 300;

/// One order to a host.
struct HostOrder
{
	EHostOrder kind = EHostOrder::Maintain;
	std::string host;
	std::string from;   ///< Its pool on the host list.
	std::string worker; ///< Incarnation of the worker on it, which ends when the order is carried out.
	std::string pool;   ///< Move: the destination.
	int64 wave = 0;     ///< Maintain: number of the wave.
	std::string holder;
	uint64 token = 0;
	/// It must not be sent later: the end of the drain grant (0: none is needed), limited by the end of the ownership of the sender.
	Millis not_after = 0;
};

/// Outcome of an order to a host.
enum class EHostOrderResult : uint8
{
	Done,
	StaleToken,
	Busy, ///< The host is not up, or it is leaving.
	NotOfWave,
	Impossible, ///< There is no such host, or the pool takes other kinds of hosts.
	Refused,    ///< Certainly not carried out; a later attempt may succeed.
	Unknown
};

/// Names of the outcomes in logs and answers.
inline constexpr std::array cHostOrderResultNames = {
	EnumName<EHostOrderResult>{EHostOrderResult::Done, "done"},
	EnumName<EHostOrderResult>{EHostOrderResult::StaleToken, "stale-token"},
	EnumName<EHostOrderResult>{EHostOrderResult::Busy, "busy"},
	EnumName<EHostOrderResult>{EHostOrderResult::NotOfWave, "not-of-wave"},
	EnumName<EHostOrderResult>{EHostOrderResult::Impossible, "impossible"},
	EnumName<EHostOrderResult>{EHostOrderResult::Refused, "refused"},
	EnumName<EHostOrderResult>{EHostOrderResult::Unknown, "unknown"},
};

/// A maintenance wave as the operator requests it.
struct MaintenanceWave
{
	int64 number = 0;
	std::vector<std::string> hosts;
	Millis within_ms = 0; ///< Time within which all its hosts are to be maintained.
	uint32 max_down = 1;  ///< Maximum number of its hosts that are down at the same time.
};

/// Times of the planner, ms.
struct MaintenanceTuning
{
	Millis down_ms = 2000;  ///< Length of the maintenance of a host. Setting.
	Millis settle_ms = 600; ///< A host counts as down this much longer than that, because the list lags.
	/// An order with an unknown outcome is sent again after this long, while the drain grant holds.
	Millis resend_after_ms = 1500;
	Millis ready_for_ms = 1000; ///< An empty host is relied on to stay empty for this long after the owner of its pool was asked.
	Millis per_host_ms = 4500;  ///< Time to drain and maintain one host and to learn that it is done.
	Millis reserve_ms = 5000;   ///< A wave is planned to end this much before its time is over.
	uint32 drains_ahead = 3;    ///< Hosts that are drained in addition to those that may be down.
};

/// Progress of one host of a wave.
enum class EMaintenanceStep : uint8
{
	Waiting,
	Draining,
	Ordered, ///< The order has been sent, its outcome is not known.
	Down,
	Done
};

/// Plans the waves; see the head of the file.
class MaintenancePlanner
{
public:
	explicit MaintenancePlanner(const MaintenanceTuning &inTuning) : tuning(inTuning) {}

	/// Adds a wave. `inDone`: hosts of it that are done according to the log.
	void AddWave(const MaintenanceWave &inWave, const std::set<std::string> &inDone, Millis inNow);
	bool HasWave(int64 inNumber) const { return this->waves.contains(inNumber); }
	/// Sets the host list.
	void SetHosts(const std::vector<HostEntry> &inHosts, Millis inNow);
	/// Hosts that the owners of their pools should be asked to drain now.
	std::vector<HostEntry> HostsToDrain(Millis inNow);
	/// Sets the hosts that were ordered to move and may not have arrived yet, whatever the list shows: they are left alone.
	void SetMoving(std::set<std::string> inHosts) { this->moving = std::move(inHosts); }
	/// Sets the pools that lack hosts: theirs go down only when a wave would otherwise be late.
	void SetPoolsInDeficit(std::set<std::string> inPools) { this->pools_in_deficit = std::move(inPools); }
	/// Sets the spare pools: nothing runs on their hosts.
	void SetSpare(std::set<std::string> inPools) { this->spare = std::move(inPools); }
	/// Call when the owner of a pool, asked at `inAskedAt`, has answered that the host is empty.
	void OnDrained(const std::string &inHost, Millis inAskedAt, Millis inNow);
	/// Orders to send now. Each is returned once.
	std::vector<HostOrder> TakeHostOrders(Millis inNow);
	/// Call with the outcome of an order.
	void OnHostOrderResult(const HostOrder &inOrder, EHostOrderResult inResult, Millis inNow);
	/// Hosts of a wave that are done, or down for it.
	std::set<std::string> DoneOf(int64 inWave) const;
	/// Whether all hosts of a wave are done or have been removed.
	bool IsCompleted(int64 inWave) const;
	/// Numbers of all waves.
	std::vector<int64> Waves() const;
	/// Hosts that are being drained or are down for their maintenance.
	std::set<std::string> Busy() const;
	/// Whether any wave is not completed.
	bool IsBusy() const;

private:
	/// State of one host in one wave.
	struct Item
	{
		EMaintenanceStep step = EMaintenanceStep::Waiting;
		Millis since = 0;
		Millis empty_until = 0; ///< Until then it is relied on to be empty.
		/// When the question was asked to which its owner answered that it is empty; -1: nothing runs there, no question was asked.
		Millis asked_at = -1;
		bool sent = false; ///< An order is in flight.
		/// When an order had an unknown outcome; -1: none had, or the list has since shown that it was not carried out.
		Millis uncertain_since = -1;
	};
	/// A wave and its progress.
	struct Wave
	{
		MaintenanceWave asked;
		Millis begun_at = 0;
		std::map<std::string, Item> items;
	};

	/// Number of waves that contain the host, completed ones included.
	size_t CountWavesOf(const std::string &inHost) const;
	/// Whether to send an order with an unknown outcome again now.
	bool ShouldResend(const std::string &inHost, const Item &inItem, Millis inNow) const;
	/// Number of hosts of the wave that are down, or ordered to go down.
	uint32 CountDown(const Wave &inWave) const;
	/// Whether the rest of the wave would be late unless hosts of pools that lack hosts go down as well.
	bool IsBehindSchedule(const Wave &inWave, Millis inNow) const;

	MaintenanceTuning tuning;
	std::map<int64, Wave> waves;
	std::map<std::string, HostEntry> hosts;
	/// Whether nothing runs on the host.
	bool IsIdle(const HostEntry &inHost) const { return inHost.worker.empty() || this->spare.contains(inHost.pool); }

	std::set<std::string> pools_in_deficit;
	std::set<std::string> moving;
	std::set<std::string> spare;
	bool listed = false; ///< Whether a host list has been set.
};

} // namespace Loomreach::Jobs
