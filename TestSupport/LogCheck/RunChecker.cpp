// Follows runs and run ends through the log lines, and classifies violations once all lines are read.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/EnumTable.h>
#include <TestSupport/LogCheck/RunChecker.h>

namespace Loomreach::LogCheck
{

/// Where copies of a task may run, the rule forbids a start only this long after the done end was recorded.
static constexpr double cCopiesGraceS = 1.0;
/// A killed process loses the lines of at most the flush interval of 20 ms (LogStream.h); the rest allows for the time of the kill itself.
static constexpr double cMaxKillLossS = 0.05;
/// The rule allows starts for this long after a cancellation was acknowledged.
static constexpr double cCancelS = 4.0;
/// A stop takes this long on top.
static constexpr double cStopS = 0.4;
/// This many unreadable lines are quoted; further ones are only counted.
static constexpr size_t cMaxQuotedUnreadableLines = 5;

static constexpr std::array cFindingNames = {
	EnumName<EFinding>{EFinding::StartAfterDone, "start-after-done"},
	EnumName<EFinding>{EFinding::TwoRuns, "two-runs"},
	EnumName<EFinding>{EFinding::AcknowledgedBeforeLogged, "covered-before-logged"},
	EnumName<EFinding>{EFinding::AcknowledgedUnseen, "covered-unseen"},
	EnumName<EFinding>{EFinding::StartAfterCancel, "start-after-cancel"},
	EnumName<EFinding>{EFinding::RunAfterCancel, "run-after-cancel"},
};

std::string_view NameOf(EFinding inKind) { return Loomreach::NameOf(cFindingNames, inKind); }

size_t RunChecker::KeepLine(const LogLine &inLine)
{
	this->kept_lines.push_back(inLine.text);
	return this->kept_lines.size() - 1;
}

std::vector<std::string> RunChecker::LinesOf(const std::vector<size_t> &inLines) const
{
	std::vector<std::string> lines;
	for (const size_t line : std::set<size_t>(inLines.begin(), inLines.end()))
		lines.push_back(this->kept_lines[line]);
	return lines;
}

void RunChecker::AddUnreadableLine(const LogLine &inLine)
{
	if (++this->unreadable_lines <= cMaxQuotedUnreadableLines)
		this->unchecked.push_back("a line could not be read: " + inLine.text);
}

std::optional<RunChecker::Owner> RunChecker::OwnerOf(const LogLine &inLine)
{
	const std::optional<uint64> cell = inLine.Number("cell");
	const std::optional<uint64> epoch = inLine.Number("epoch");
	if (!cell.has_value() || !epoch.has_value())
	{
		this->AddUnreadableLine(inLine);
		return std::nullopt;
	}
	this->hosts[inLine.host].cells.insert(*cell);
	this->last_owned_s[{*cell, *epoch}] = inLine.at_s;
	return Owner{*cell, *epoch};
}

void RunChecker::Add(const LogLine &inLine)
{
	this->OnHost(inLine);
	if (inLine.event == "worker_found" || inLine.event == "worker_started_again")
		this->OnIncarnation(inLine);
	else if (inLine.event == "runs_planned")
		this->OnPlanned(inLine);
	else if (inLine.event == "runs_told")
		this->OnDispatched(inLine);
	else if (inLine.event == "run_ended" || inLine.event == "run_ended_late")
		this->OnEnded(inLine);
	else if (inLine.event == "ends_unmatched")
		this->OnUnmatched(inLine);
	else if (inLine.event == "ends_logged")
		this->OnLogged(inLine);
	else if (inLine.event == "ends_covered")
		this->OnAcknowledged(inLine);
	else if (inLine.event == "cancel_accepted")
		this->OnCancelAccepted(inLine);
	else if (inLine.event == "cancel")
		this->OnCancelReceived(inLine);
	// A run that is doubted is being stopped, whatever becomes of its job
	else if (inLine.event == "run_stopped" || inLine.event == "run_doubted")
		this->OnStopped(inLine);
	this->hosts[inLine.host].last_s = std::max(this->hosts[inLine.host].last_s, inLine.at_s);
}

void RunChecker::OnIncarnation(const LogLine &inLine)
{
	// Without a start time, the worker id alone names the incarnation
	const std::optional<uint64> started = inLine.Number("born_ms");
	if (!started.has_value())
		return;
	int64 &latest = this->started_ms[std::string(inLine.Text("worker"))];
	latest = std::max(latest, static_cast<int64>(*started));
}

std::string RunChecker::IncarnationOf(std::string_view inWorker) const
{
	auto started = this->started_ms.find(inWorker);
	return std::string(inWorker) + (started == this->started_ms.end() ? "" : '@' + std::to_string(started->second));
}

void RunChecker::OnHost(const LogLine &inLine)
{
	Host &host = this->hosts[inLine.host];
	if (inLine.event == "log_lines_dropped")
	{
		// This line may carry no time; the dropped lines follow the host's previous line
		this->gaps.push_back({inLine.host, host.last_s, std::max(inLine.at_s, host.last_s + cMaxKillLossS)});
		this->unchecked.push_back("lines were dropped: host " + inLine.host + ": " + inLine.text);
	}
	if (inLine.event == "started")
	{
		if (!host.stopped)
		{
			this->gaps.push_back({inLine.host, host.last_s, inLine.at_s});
			++this->truncated_logs;
		}
		host.stopped = false;
		host.name = inLine.Text("host");
	}
	if (inLine.event == "host_gone")
		this->OnHostLost(inLine.Text("host"));
	if (inLine.event == "stopped")
		host.stopped = true;
}

void RunChecker::OnHostLost(std::string_view inName)
{
	for (auto &[key, host] : this->hosts)
	{
		if (host.name != inName || host.stopped)
			continue;
		// The host may have been unreachable rather than killed. Then no lines are missing, and the gap only makes findings unproved
		this->gaps.push_back({key, host.last_s, host.last_s + cMaxKillLossS});
		++this->truncated_logs;
		host.stopped = true;
	}
}

void RunChecker::AddLateStart(const Task &inTask, const std::string &inName, uint64 inRun, const Owner &inOwner, double inAtS,
							  size_t inLineIndex)
{
	if (!inTask.done.has_value() || inTask.long_running)
		return;
	if (inTask.copies && inAtS - inTask.done->at_s <= cCopiesGraceS)
		return;
	// Planning and dispatch are two lines of the same start
	for (LateStart &late : this->late_starts)
		if (late.task == inName && late.run == inRun && late.starting_owner == inOwner)
		{
			late.lines.push_back(inLineIndex);
			return;
		}
	LateStart found{*inTask.done, inOwner, inName, inRun, false, {inTask.done->line, inLineIndex}};
	// The rule does not count a run end if the run's lease expired before the end was recorded
	if (auto expired_lease = inTask.expired_leases.find(inTask.done->run); expired_lease != inTask.expired_leases.end())
	{
		found.lease_expired = true;
		found.lines.push_back(expired_lease->second);
	}
	this->late_starts.push_back(std::move(found));
}

void RunChecker::OnPlanned(const LogLine &inLine)
{
	const std::optional<Owner> owner = this->OwnerOf(inLine);
	if (!owner.has_value())
		return;
	const size_t line_index = this->KeepLine(inLine);
	const std::string step_prefix =
		std::string(inLine.Text("request")) + '.' + std::string(inLine.Text("round")) + '.' + std::string(inLine.Text("step")) + '.';
	for (const std::string_view item : SplitText(inLine.Text("runs"), ' '))
	{
		const size_t dot = item.find('.');
		const size_t at = item.find('@');
		const bool is_well_formed = dot != std::string_view::npos && at != std::string_view::npos && dot < at;
		const std::optional<uint64> run = is_well_formed ? ParseNumber(item.substr(dot + 1, at - dot - 1)) : std::nullopt;
		if (!run.has_value())
		{
			this->AddUnreadableLine(inLine);
			continue;
		}
		const std::string name = step_prefix + std::string(item.substr(0, dot));
		Task &task = this->tasks[name];
		task.copies = inLine.Text("copies") == "1";
		task.long_running = inLine.Text("lasting") == "1";
		task.planned[*run] = line_index;
		this->AddLateStart(task, name, *run, *owner, inLine.at_s, line_index);
	}
}

void RunChecker::OnDispatched(const LogLine &inLine)
{
	const std::optional<Owner> owner = this->OwnerOf(inLine);
	if (!owner.has_value())
		return;
	const size_t line_index = this->KeepLine(inLine);
	size_t count = 0;
	for (const std::string_view step_runs : SplitText(inLine.Text("runs"), ' '))
	{
		const size_t colon = std::min(step_runs.find(':'), step_runs.size());
		for (const std::string_view item : SplitText(step_runs.substr(std::min(colon + 1, step_runs.size())), ','))
		{
			const size_t dot = std::min(item.find('.'), item.size());
			const std::optional<uint64> run = ParseNumber(item.substr(std::min(dot + 1, item.size())));
			if (!run.has_value())
				continue;
			++count;
			this->OnRunDispatched(inLine, *owner, std::string(step_runs.substr(0, colon)) + '.' + std::string(item.substr(0, dot)), *run,
								  line_index);
		}
	}
	if (count != inLine.Number("count"))
		this->AddUnreadableLine(inLine);
}

void RunChecker::OnRunDispatched(const LogLine &inLine, const Owner &inOwner, const std::string &inTask, uint64 inRun, size_t inLineIndex)
{
	Task &task = this->tasks[inTask];
	++this->dispatched_runs;
	this->AddLateStart(task, inTask, inRun, inOwner, inLine.at_s, inLineIndex);
	this->CheckStartAfterCancel(inLine, inOwner, inTask, inRun, inLineIndex);
	for (const DispatchedRun &earlier : task.dispatched)
	{
		if (earlier.ended || task.copies)
			continue;
		std::vector<size_t> lines = {earlier.line, inLineIndex};
		for (const uint64 run : {earlier.run, inRun})
			if (auto planned = task.planned.find(run); planned != task.planned.end())
				lines.push_back(planned->second);
		const std::string what = "task " + inTask + ": run " + std::to_string(inRun) + " was told while run " +
								 std::to_string(earlier.run) + " had neither ended nor lapsed";
		this->AddFinding(EFinding::TwoRuns, what, lines, inOwner.first, earlier.at_s, inLine.at_s);
	}
	task.dispatched.push_back({inRun, inLine.at_s, inLineIndex, false, false});
}

void RunChecker::OnCancelAccepted(const LogLine &inLine)
{
	Cancel &cancel = this->cancels[std::string(inLine.Text("request"))];
	if (cancel.accepted_s.has_value())
		return;
	cancel.accepted_s = inLine.at_s;
	cancel.accepted_line = this->KeepLine(inLine);
}

void RunChecker::OnCancelReceived(const LogLine &inLine)
{
	const std::optional<Owner> owner = this->OwnerOf(inLine);
	if (!owner.has_value())
		return;
	const ReceivedCancel received{inLine.at_s, this->KeepLine(inLine), inLine.Text("outcome") == "canceled"};
	auto [known, is_new] = this->cancels[std::string(inLine.Text("request"))].received.try_emplace(*owner, received);
	if (received.applied && !known->second.applied)
		known->second = received;
}

void RunChecker::OnStopped(const LogLine &inLine)
{
	const std::optional<uint64> run = inLine.Number("run");
	// Only the line of a stop names its owner
	if (inLine.event == "run_stopped" && !this->OwnerOf(inLine).has_value())
		return;
	if (!run.has_value())
		return this->AddUnreadableLine(inLine);
	for (DispatchedRun &dispatched : this->tasks[std::string(inLine.Text("task"))].dispatched)
		dispatched.stopped = dispatched.stopped || dispatched.run == *run;
}

static std::string JobOf(const std::string &inTask) { return inTask.substr(0, inTask.find('.')); }

void RunChecker::CheckStartAfterCancel(const LogLine &inLine, const Owner &inOwner, const std::string &inTask, uint64 inRun,
									   size_t inLineIndex)
{
	const auto found = this->cancels.find(JobOf(inTask));
	if (found == this->cancels.end())
		return;
	const Cancel &cancel = found->second;
	const auto received = cancel.received.find(inOwner);
	const bool is_received = received != cancel.received.end();
	const bool is_applied = is_received && received->second.applied;
	const bool is_late = cancel.accepted_s.has_value() && inLine.at_s > *cancel.accepted_s + cCancelS;
	if ((!is_applied && !is_late) || !this->canceled_starts.emplace(inTask, inOwner).second)
		return;
	Finding finding;
	finding.kind = EFinding::StartAfterCancel;
	finding.what = "task " + inTask + ": run " + std::to_string(inRun) + " of epoch " + std::to_string(inOwner.second) + " was told " +
				   (is_applied ? "after that epoch had canceled its job" : "over 4 s after its cancel was accepted") +
				   (is_received ? "" : ", which that epoch had not read");
	std::vector<size_t> lines = {inLineIndex};
	if (cancel.accepted_s.has_value())
		lines.push_back(cancel.accepted_line);
	if (is_received)
		lines.push_back(received->second.line);
	finding.lines = this->LinesOf(lines);
	// The lines of acceptance, receipt and dispatch are all there: no missing line explains them
	(is_received ? this->findings : this->unproved).push_back(std::move(finding));
}

void RunChecker::CheckRunsAfterCancel()
{
	for (const auto &[name, task] : this->tasks)
	{
		const auto cancel = this->cancels.find(JobOf(name));
		if (cancel == this->cancels.end() || !cancel->second.accepted_s.has_value())
			continue;
		for (const DispatchedRun &run : task.dispatched)
		{
			if (run.ended || run.stopped)
				continue;
			for (const auto &[owner, received] : cancel->second.received)
			{
				const double from_s = std::max({*cancel->second.accepted_s, received.at_s, run.at_s});
				if (this->last_owned_s[owner] <= from_s + cCancelS + cStopS)
					continue;
				const std::string what = "task " + name + ": run " + std::to_string(run.run) +
										 " was neither stopped nor ended though epoch " + std::to_string(owner.second) +
										 " had read its job's cancel";
				this->AddFinding(EFinding::RunAfterCancel, what, {cancel->second.accepted_line, received.line, run.line}, owner.first,
								 run.at_s, this->last_owned_s[owner]);
				break;
			}
		}
	}
}

void RunChecker::AddEnd(const End &inEnd)
{
	++this->ends;
	Task &task = this->tasks[inEnd.task];
	for (DispatchedRun &dispatched : task.dispatched)
		dispatched.ended = dispatched.ended || dispatched.run == inEnd.run;
	if (inEnd.outcome == "lapsed")
		task.expired_leases[inEnd.run] = inEnd.line;
	const bool is_done = inEnd.outcome == "done";
	if (is_done)
	{
		++this->ends_done;
		if (!task.done.has_value())
			task.done = inEnd;
	}
	if (inEnd.number == 0)
		return;
	this->ledgers[{inEnd.owner, inEnd.worker}].received[inEnd.number] = inEnd;
	if (is_done)
		this->done_ends[inEnd.worker].push_back(inEnd);
}

void RunChecker::OnEnded(const LogLine &inLine)
{
	const std::optional<Owner> owner = this->OwnerOf(inLine);
	const std::optional<uint64> run = inLine.Number("run");
	const std::optional<uint64> number = inLine.Number("number");
	if (!owner.has_value())
		return;
	if (!run.has_value() || !number.has_value())
		return this->AddUnreadableLine(inLine);
	this->AddEnd({std::string(inLine.Text("task")), *run, std::string(inLine.Text("end")), inLine.at_s, this->KeepLine(inLine), *owner,
				  this->IncarnationOf(inLine.Text("worker")), *number});
}

void RunChecker::OnUnmatched(const LogLine &inLine)
{
	const std::optional<Owner> owner = this->OwnerOf(inLine);
	if (!owner.has_value())
		return;
	const size_t line_index = this->KeepLine(inLine);
	const std::vector<std::string_view> items = SplitText(inLine.Text("ends"), ' ');
	// A line lists a limited number of ends; `count` includes those it omits, which leaves the check incomplete
	if (items.size() != inLine.Number("count"))
		this->AddUnreadableLine(inLine);
	for (const std::string_view item : items)
	{
		const size_t hash = std::min(item.find('#'), item.size());
		const size_t colon = std::min(item.find(':', hash), item.size());
		const size_t slash = std::min(item.find('/', colon), item.size());
		const size_t dot = item.substr(0, hash).rfind('.');
		const bool is_well_formed = hash < colon && colon < slash && dot != std::string_view::npos;
		const std::optional<uint64> run = is_well_formed ? ParseNumber(item.substr(dot + 1, hash - dot - 1)) : std::nullopt;
		const std::optional<uint64> number = is_well_formed ? ParseNumber(item.substr(hash + 1, colon - hash - 1)) : std::nullopt;
		if (!run.has_value() || !number.has_value())
		{
			this->AddUnreadableLine(inLine);
			continue;
		}
		const std::string end(item.substr(colon + 1, slash - colon - 1));
		this->AddEnd({std::string(item.substr(0, dot)), *run, end, inLine.at_s, line_index, *owner,
					  this->IncarnationOf(inLine.Text("worker")), *number});
	}
}

/// A range of sequence numbers of run ends, logged as "WORKER:FROM-TO".
struct EndRange
{
	std::string worker;
	uint64 from = 0;
	uint64 to = 0;
};

static std::optional<EndRange> ParseRange(std::string_view inItem)
{
	const size_t colon = inItem.rfind(':');
	const size_t dash = inItem.rfind('-');
	if (colon == std::string_view::npos || dash == std::string_view::npos || dash < colon)
		return std::nullopt;
	const std::optional<uint64> from = ParseNumber(inItem.substr(colon + 1, dash - colon - 1));
	const std::optional<uint64> to = ParseNumber(inItem.substr(dash + 1));
	if (!from.has_value() || !to.has_value())
		return std::nullopt;
	return EndRange{std::string(inItem.substr(0, colon)), *from, *to};
}

void RunChecker::OnLogged(const LogLine &inLine)
{
	const std::optional<Owner> owner = this->OwnerOf(inLine);
	if (!owner.has_value())
		return;
	const size_t line_index = this->KeepLine(inLine);
	for (const std::string_view item : SplitText(inLine.Text("ends"), ' '))
	{
		const std::optional<EndRange> range = ParseRange(item);
		if (!range.has_value())
		{
			this->AddUnreadableLine(inLine);
			continue;
		}
		Ledger &ledger = this->ledgers[{*owner, this->IncarnationOf(range->worker)}];
		ledger.logged_up_to = std::max(ledger.logged_up_to, range->to);
		ledger.logged_lines.push_back(line_index);
		this->logged_ends += range->to - range->from + 1;
	}
}

void RunChecker::OnAcknowledged(const LogLine &inLine)
{
	const std::optional<Owner> owner = this->OwnerOf(inLine);
	if (!owner.has_value())
		return;
	const size_t line_index = this->KeepLine(inLine);
	for (const std::string_view item : SplitText(inLine.Text("ends"), ' '))
	{
		const std::optional<EndRange> range = ParseRange(item);
		if (!range.has_value())
		{
			this->AddUnreadableLine(inLine);
			continue;
		}
		this->OnRangeAcknowledged(inLine, *owner, this->IncarnationOf(range->worker), range->from, range->to, line_index);
	}
}

void RunChecker::OnRangeAcknowledged(const LogLine &inLine, const Owner &inOwner, const std::string &inWorker, uint64 inFrom, uint64 inTo,
									 size_t inLineIndex)
{
	++this->acknowledgements;
	Ledger &ledger = this->ledgers[{inOwner, inWorker}];
	if (inTo > ledger.logged_up_to)
	{
		std::vector<size_t> lines = {inLineIndex};
		std::string tasks;
		double from_s = inLine.at_s;
		for (auto end = ledger.received.upper_bound(ledger.logged_up_to); end != ledger.received.end() && end->first <= inTo; ++end)
		{
			lines.push_back(end->second.line);
			from_s = std::min(from_s, end->second.at_s);
			tasks += (end->second.outcome == "done" ? " done:" : " ") + end->second.task;
		}
		const std::string what = "worker " + inWorker + ": a look covers ends up to " + std::to_string(inTo) + ", the log of epoch " +
								 std::to_string(inOwner.second) + " holds them up to " + std::to_string(ledger.logged_up_to) +
								 "; ends:" + tasks;
		// One process wrote all these lines in order: only a gap that reaches into their span matters; lines lost later change nothing
		bool is_gapless = true;
		for (const Gap &gap : this->gaps)
			is_gapless = is_gapless && (gap.host != inLine.host || gap.to_s < from_s);
		(is_gapless ? this->findings : this->unproved).push_back({EFinding::AcknowledgedBeforeLogged, what, this->LinesOf(lines)});
	}
	uint64 &acknowledged_to = this->acknowledged_up_to[inWorker];
	auto ends_here = this->done_ends.find(inWorker);
	if (ends_here != this->done_ends.end())
		for (const End &end : ends_here->second)
		{
			const bool here = end.number >= inFrom && end.number <= inTo && end.number > acknowledged_to;
			if (!here || end.owner == inOwner || ledger.received.contains(end.number))
				continue;
			const std::string what = "worker " + inWorker + ": a look of epoch " + std::to_string(inOwner.second) + " covers end " +
									 std::to_string(end.number) + " (done, task " + end.task + "), which only epoch " +
									 std::to_string(end.owner.second) + " had taken in";
			this->AddFinding(EFinding::AcknowledgedUnseen, what, {end.line, inLineIndex}, inOwner.first, end.at_s, inLine.at_s);
		}
	acknowledged_to = std::max(acknowledged_to, inTo);
}

bool RunChecker::HasGap(uint64 inCell, double inFrom, double inTo) const
{
	for (const Gap &gap : this->gaps)
	{
		// Only hosts that owned the cell logged its events
		const bool owned_cell = this->hosts.at(gap.host).cells.contains(inCell);
		if (owned_cell && gap.from_s <= inTo + cMaxKillLossS && gap.to_s >= inFrom - cMaxKillLossS)
			return true;
	}
	return false;
}

void RunChecker::AddFinding(EFinding inKind, std::string inWhat, const std::vector<size_t> &inLines, uint64 inCell, double inFrom,
							double inTo)
{
	this->candidates.push_back({{inKind, std::move(inWhat), this->LinesOf(inLines)}, inCell, inFrom, inTo});
}

void RunChecker::ClassifyLateStart(const LateStart &inStart)
{
	auto ledger = this->ledgers.find({inStart.done.owner, inStart.done.worker});
	const bool logged = ledger != this->ledgers.end() && ledger->second.logged_up_to >= inStart.done.number;
	auto acknowledged_to = this->acknowledged_up_to.find(inStart.done.worker);
	const bool is_acknowledged = acknowledged_to != this->acknowledged_up_to.end() && acknowledged_to->second >= inStart.done.number;
	const bool is_same_owner = inStart.done.owner == inStart.starting_owner;
	Finding finding;
	finding.kind = EFinding::StartAfterDone;
	finding.what = "task " + inStart.task + ": run " + std::to_string(inStart.run) + " of epoch " +
				   std::to_string(inStart.starting_owner.second) + " after run " + std::to_string(inStart.done.run) +
				   " was taken in as done by epoch " + std::to_string(inStart.done.owner.second) + " (worker " + inStart.done.worker +
				   ", end " + std::to_string(inStart.done.number) + ", " + (logged ? "logged" : "never logged by it") + ", " +
				   (is_acknowledged ? "covered" : "not covered") + (inStart.lease_expired ? ", its lease lapsed before the start" : "") +
				   ")";
	finding.lines = this->LinesOf(inStart.lines);
	// An end that the starting owner itself received always counts. Otherwise an end does not count if it was lost with its owner, or if
	// the lease of its run had expired
	const bool is_violation = is_same_owner || ((logged || is_acknowledged) && !inStart.lease_expired);
	(is_violation ? this->findings : this->notes).push_back(std::move(finding));
}

void RunChecker::Finish()
{
	this->CheckRunsAfterCancel();
	// All gaps are known only now
	for (Candidate &candidate : this->candidates)
	{
		const bool is_proven = !this->HasGap(candidate.cell, candidate.from_s, candidate.to_s);
		(is_proven ? this->findings : this->unproved).push_back(std::move(candidate.finding));
	}
	for (const LateStart &start : this->late_starts)
		this->ClassifyLateStart(start);
	if (this->unreadable_lines > cMaxQuotedUnreadableLines)
		this->unchecked.push_back(std::to_string(this->unreadable_lines) + " lines in all could not be read");
	if (this->dispatched_runs == 0)
		this->unchecked.emplace_back("no run was told: these are no logs of owners, or of owners that do not write runs_told");
}

std::string RunChecker::Summary() const
{
	return std::to_string(this->hosts.size()) + " hosts, " + std::to_string(this->tasks.size()) + " tasks, " +
		   std::to_string(this->dispatched_runs) + " runs told, " + std::to_string(this->ends) + " ends taken in (" +
		   std::to_string(this->ends_done) + " done), " + std::to_string(this->logged_ends) + " logged, " +
		   std::to_string(this->acknowledgements) + " covers; processes cut short: " + std::to_string(this->truncated_logs);
}

} // namespace Loomreach::LogCheck
