// Checks the platform's rule against a second run of a task that was done: a start after a done end is a violation if that end has been
// acknowledged by then or is acknowledged later. An end is acknowledged by an owner's poll. If the worker's lease expires first, or the
// worker is lost, the end never counts as acknowledged.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// A run that a worker started or ended, as the fake worker observed it.
struct ObservedRun
{
	std::string task;
	uint32 run = 0;
	std::string worker; ///< Names the incarnation; sequence numbers of ends restart in the next.
	Millis at = 0;

	std::string Text() const;
};

/// Finds starts that follow an acknowledged done end of the same task.
class EndLedger
{
public:
	/// Records a start. Returns the violations that are certain already, one line each.
	std::vector<std::string> OnStarted(const ObservedRun &inRun);
	/// Records a done end with its sequence number in the worker's list.
	void OnDone(const ObservedRun &inRun, uint64 inNumber);
	/// Records that an owner acknowledged all ends of the worker up to this number. Returns the earlier starts that violate the rule by it.
	std::vector<std::string> OnAcknowledged(const std::string &inWorker, uint64 inNumber, Millis inNow);
	/// Records that the worker's lease expired: its ends that are not yet acknowledged never count.
	void OnLeaseExpired(const std::string &inWorker);
	/// Records that the worker is lost: its ends can no longer be acknowledged.
	void OnWorkerLost(const std::string &inWorker) { this->OnLeaseExpired(inWorker); }
	/// Count of the worker's done ends that are neither acknowledged nor void by an expired lease.
	size_t UnacknowledgedCount(const std::string &inWorker) const;
	/// Starts after done ends that were never acknowledged, one line each: allowed, but reported.
	const std::vector<std::string> &Excused() const { return this->excused; }

private:
	/// A done end that is not acknowledged yet, and the starts of its task since.
	struct UnacknowledgedEnd
	{
		ObservedRun run;
		uint64 number = 0;
		std::vector<ObservedRun> starts;
	};
	/// An acknowledged end; it stays so whatever happens to the worker.
	struct AcknowledgedEnd
	{
		ObservedRun run;
		uint64 number = 0;
		Millis acknowledged_at = 0;
	};

	void AddExcused(const ObservedRun &inStart, const ObservedRun &inEnd);
	static std::string DescribeViolation(const ObservedRun &inStart, const AcknowledgedEnd &inEnd);

	std::map<std::string, std::vector<UnacknowledgedEnd>> unacknowledged; ///< By worker.
	std::map<std::string, AcknowledgedEnd> acknowledged;                  ///< By task: its first such end.
	std::map<std::string, ObservedRun> never_acknowledged;                ///< By task: its first such end.
	std::vector<std::string> excused;
};

} // namespace Loomreach
