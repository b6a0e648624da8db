// Checks the rules that a task runs once, and not after its job's cancellation, independently of the scheduler, from the logs of all entry
// hosts. For each run it follows the log lines for dispatch to a worker, receipt of the run end, its write to the owner's log, and the poll
// that acknowledges it, after which the worker drops it. For each cancellation it follows its acceptance and its receipt by the owner.
//
// The logs do not say whether a host was in contact. So a cancellation binds an owner only once that owner has received it; what another
// owner does too late is unproved.
//
// Log lines may be missing: they may have been dropped (LogStream.h) or lost with a killed process. A violation that a missing line could
// explain is therefore reported separately from a proven one.

#pragma once

#include <TestSupport/LogCheck/LogLine.h>

namespace Loomreach::LogCheck
{

/// Kinds of violation.
enum class EFinding : uint8
{
	StartAfterDone,           ///< A run was planned or dispatched after a run end `done` of its task had been received.
	TwoRuns,                  ///< A run was dispatched while an earlier one of its task had not ended.
	AcknowledgedBeforeLogged, ///< A poll acknowledged run ends that the owner's log did not hold yet.
	AcknowledgedUnseen,       ///< A poll acknowledged a done end that only another owner had received.
	StartAfterCancel,         ///< A run was dispatched too late after its job's cancellation.
	RunAfterCancel,           ///< An owner that had received the cancellation left a run alone.
};

std::string_view NameOf(EFinding inKind);

/// One violation, with the log lines that show it.
struct Finding
{
	EFinding kind = EFinding::StartAfterDone;
	std::string what;
	std::vector<std::string> lines;
};

/// Checks the lines of all hosts. Lines are passed in order of time; those of one host in the order in which it wrote them.
class RunChecker
{
public:
	void Add(const LogLine &inLine);
	/// Completes the check; called once, after the last line.
	void Finish();

	/// Violations that the logs prove.
	const std::vector<Finding> &Findings() const { return this->findings; }
	/// Possible violations: a line that would explain them may be among the missing ones.
	const std::vector<Finding> &Unproved() const { return this->unproved; }
	/// Starts after a done end that the rule allows: either its owner never logged the end and no poll acknowledged it, or the lease of
	/// that run expired in between and the owner that started the next run had not received the end.
	const std::vector<Finding> &Notes() const { return this->notes; }
	/// Reasons why the check is incomplete; empty if it is complete.
	const std::vector<std::string> &Unchecked() const { return this->unchecked; }
	/// Processes whose log ends without a `stopped` event; a killed process loses up to 20 ms of lines.
	size_t TruncatedLogs() const { return this->truncated_logs; }
	/// Counts of what was checked, as one line of text.
	std::string Summary() const;

private:
	/// An owner of a cell: cell and epoch.
	using Owner = std::pair<uint64, uint64>;

	/// A span of a host's log in which lines may be missing.
	struct Gap
	{
		std::string host;
		double from_s = 0.0;
		double to_s = 0.0;
	};
	/// State of a host's log up to the current line.
	struct Host
	{
		double last_s = 0.0;
		bool stopped = true; ///< Its process has logged `stopped`, or none has started.
		std::string name;    ///< From its `started` event.
		std::set<uint64> cells;
	};
	/// A run that was dispatched to its worker.
	struct DispatchedRun
	{
		uint64 run = 0;
		double at_s = 0.0;
		size_t line = 0;
		bool ended = false;
		bool stopped = false; ///< An owner decided to stop it.
	};
	/// A run end that an owner received.
	struct End
	{
		std::string task;
		uint64 run = 0;
		std::string outcome; ///< As logged: "done", "lapsed" and others.
		double at_s = 0.0;
		size_t line = 0;
		Owner owner;
		std::string worker; ///< Names its incarnation.
		uint64 number = 0;  ///< Sequence number in the worker's list of run ends; 0: none.
	};
	/// Receipt of a cancellation by an owner.
	struct ReceivedCancel
	{
		double at_s = 0.0;
		size_t line = 0;
		bool applied = false; ///< The owner canceled the job with it.
	};
	/// A job's cancellation.
	struct Cancel
	{
		std::optional<double> accepted_s; ///< The first acknowledgement to a caller.
		size_t accepted_line = 0;
		std::map<Owner, ReceivedCancel> received; ///< Of each owner the first receipt; one that applied it replaces others.
	};
	/// State of a task up to the current line.
	struct Task
	{
		bool copies = false;
		bool long_running = false;
		std::map<uint64, size_t> planned; ///< By run: the line that planned it.
		std::vector<DispatchedRun> dispatched;
		std::optional<End> done;
		std::map<uint64, size_t> expired_leases; ///< By run whose lease an owner found expired: that line.
	};
	/// A start after a done end; classified once all lines are read, since logging and acknowledgement may come later.
	struct LateStart
	{
		End done;
		Owner starting_owner;
		std::string task;
		uint64 run = 0;
		bool lease_expired = false; ///< The lease of the run that was done had expired before the start.
		std::vector<size_t> lines;
	};
	/// A violation if no line is missing from the logs of the cell's owners in a time span; decided once all lines are read.
	struct Candidate
	{
		Finding finding;
		uint64 cell = 0;
		double from_s = 0.0;
		double to_s = 0.0;
	};
	/// The run ends of one worker that one owner received and logged.
	struct Ledger
	{
		std::map<uint64, End> received;
		uint64 logged_up_to = 0;
		std::vector<size_t> logged_lines;
	};

	void OnHost(const LogLine &inLine);
	void OnIncarnation(const LogLine &inLine);
	/// Names a worker's current incarnation, as far as the lines show it. Sequence numbers of run ends count within one incarnation.
	std::string IncarnationOf(std::string_view inWorker) const;
	void OnPlanned(const LogLine &inLine);
	void OnDispatched(const LogLine &inLine);
	void OnRunDispatched(const LogLine &inLine, const Owner &inOwner, const std::string &inTask, uint64 inRun, size_t inLineIndex);
	void OnEnded(const LogLine &inLine);
	void OnUnmatched(const LogLine &inLine);
	void OnCancelAccepted(const LogLine &inLine);
	void OnCancelReceived(const LogLine &inLine);
	void OnStopped(const LogLine &inLine);
	void CheckStartAfterCancel(const LogLine &inLine, const Owner &inOwner, const std::string &inTask, uint64 inRun, size_t inLineIndex);
	/// Finds runs that an owner left alone though it received their job's cancellation; called once all lines are read.
	void CheckRunsAfterCancel();
	void OnLogged(const LogLine &inLine);
	void OnAcknowledged(const LogLine &inLine);
	void OnRangeAcknowledged(const LogLine &inLine, const Owner &inOwner, const std::string &inWorker, uint64 inFrom, uint64 inTo,
							 size_t inLineIndex);
	void AddEnd(const End &inEnd);
	void AddLateStart(const Task &inTask, const std::string &inName, uint64 inRun, const Owner &inOwner, double inAtS, size_t inLineIndex);
	void ClassifyLateStart(const LateStart &inStart);
	void AddFinding(EFinding inKind, std::string inWhat, const std::vector<size_t> &inLines, uint64 inCell, double inFrom, double inTo);
	void OnHostLost(std::string_view inName);
	bool HasGap(uint64 inCell, double inFrom, double inTo) const;
	std::vector<std::string> LinesOf(const std::vector<size_t> &inLines) const;
	size_t KeepLine(const LogLine &inLine);
	std::optional<Owner> OwnerOf(const LogLine &inLine);
	void AddUnreadableLine(const LogLine &inLine);

	std::vector<std::string> kept_lines; ///< Lines that a finding may quote.
	std::map<std::string, Host> hosts;
	std::vector<Gap> gaps;
	std::map<std::string, Task> tasks;
	std::map<std::string, Cancel> cancels; ///< By job.
	std::set<std::pair<std::string, Owner>>
		canceled_starts;                                  ///< Tasks and owners with a start after a cancellation; the first one is found.
	std::map<Owner, double> last_owned_s;                 ///< Time of an owner's last line.
	std::map<std::string, int64, std::less<>> started_ms; ///< By worker: the latest start time of an incarnation in any line, ms.
	std::map<std::pair<Owner, std::string>, Ledger> ledgers; ///< By owner and worker.
	std::map<std::string, std::vector<End>> done_ends;       ///< By worker.
	std::map<std::string, uint64> acknowledged_up_to;        ///< By worker: the highest sequence number that any poll acknowledged.
	std::vector<LateStart> late_starts;
	std::vector<Candidate> candidates;
	std::vector<Finding> findings;
	std::vector<Finding> unproved;
	std::vector<Finding> notes;
	std::vector<std::string> unchecked;
	size_t truncated_logs = 0;
	size_t unreadable_lines = 0;
	size_t dispatched_runs = 0;
	size_t ends = 0;
	size_t ends_done = 0;
	size_t logged_ends = 0;
	size_t acknowledgements = 0;
};

} // namespace Loomreach::LogCheck
