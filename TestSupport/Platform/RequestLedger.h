// Checks the platform's rule against unrequested work from what callers sent and what workers ran, without the entry hosts' own view.
//
// The rule has three parts, and each has the excuses that the platform's rules grant:
// - Unsent: a start of a task that no caller submitted, with another payload, or with a checkpoint that no worker issued for that task.
//   Never excused, since this part also binds hosts that are not in contact.
// - StartAfterCancel: a start more than cCancelMs after the job's cancellation was acknowledged. It binds hosts in contact only: no fault
//   on the host, its links or the store for cContactMs. An order does not name its host, so a fault on any entry host excuses it, which
//   is more than the rule grants. Faults of workers and configurations do not excuse it. An order that the fake worker carries out late
//   is excused: its host sent it earlier.
// - RunAfterCancel: a run that is still there cStopMs after that. Excused while anything but cancellations and planned departures of
//   workers went wrong nearby, that is, without a stretch of cCancelMs + cStopMs free of faults. A run that a late order started counts
//   from cContactMs after its start.
// A cancellation without a 2xx answer is not judged.

#pragma once

#include <Loomreach/Core/EnumTable.h>
#include <TestSupport/Platform/EndLedger.h>
#include <TestSupport/Platform/TroubleWatch.h>

namespace Loomreach
{

/// Parts of the rule.
enum class EUnasked : uint8
{
	Unsent,
	StartAfterCancel,
	RunAfterCancel,
	Count
};

inline constexpr std::array cUnaskedNames = {
	EnumName<EUnasked>{EUnasked::Unsent, "unsent"},
	EnumName<EUnasked>{EUnasked::StartAfterCancel, "start-after-cancel"},
	EnumName<EUnasked>{EUnasked::RunAfterCancel, "run-after-cancel"},
};

/// A run with what the order to start it said.
struct OrderedRun
{
	ObservedRun run;
	std::string payload;
	std::string checkpoint;
	uint64 token = 0;     ///< Fencing token of the order.
	bool is_late = false; ///< The fake worker carried the order out late.
};

/// A run against the rule, or one that would be without its excuse.
struct UnaskedRun
{
	EUnasked kind = EUnasked::Unsent;
	std::string what;
	std::string excuse; ///< Empty: a violation.
};

/// Compares starts and runs with callers' submissions and cancellations.
class RequestLedger
{
public:
	static constexpr Millis cCancelMs = 4000;
	static constexpr Millis cStopMs = 400;
	static constexpr Millis cContactMs = 4000;

	/// Records a submission, before it is sent.
	void OnSubmitted(const std::string &inId, const std::string &inPayload);
	/// Records a 2xx answer to a cancellation; the first one counts.
	void OnCanceled(const std::string &inId, Millis inNow) { this->canceled_at.try_emplace(inId, inNow); }
	/// Records a checkpoint that a worker issued for a task.
	void OnSaved(const std::string &inTask, const std::string &inCheckpoint) { this->checkpoints[inTask].insert(inCheckpoint); }
	/// Checks a start. Without any recorded submission the callers are not known, and nothing is checked.
	std::vector<UnaskedRun> OnStarted(const OrderedRun &inRun, const TroubleWatch &inTroubles) const;
	/// Checks a run that is there now. Each is returned at most once without an excuse and once with one.
	std::vector<UnaskedRun> OnRunning(const OrderedRun &inRun, const TroubleWatch &inTroubles, Millis inNow);

private:
	/// The job of a task named "JOB.ROUND.STEP.INDEX".
	static std::string JobOf(const std::string &inTask) { return inTask.substr(0, inTask.find('.')); }
	static std::string Describe(const OrderedRun &inRun, Millis inSinceCancel, Millis inCalm);

	std::map<std::string, std::set<std::string>> payloads;    ///< By job: as callers sent them.
	std::map<std::string, std::set<std::string>> checkpoints; ///< By task.
	std::map<std::string, Millis> canceled_at;                ///< By job.
	std::set<std::pair<std::string, bool>> reported_runs;     ///< Runs that OnRunning returned, and whether with an excuse.
};

} // namespace Loomreach
