// One cell's log in the hands of its owner: the claim, and one append after the other. Every append carries the owner's epoch, so an
// earlier owner's are refused from the moment of the claim on.

#pragma once

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Guarded.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Ownership/LogTypes.h>
#include <Loomreach/Ownership/OwnerTable.h>

namespace Loomreach::Jobs
{

/// A log service as the owner needs it.
template <class T>
concept JobLog = requires(T &ioLog, const AppendCall &inCall, const LogName &inName)
{
	ioLog.Append(inCall, [](const AppendAnswer &) {});
	ioLog.Read(inName, true, uint64(0), Millis(0), [](const ReadAnswer &) {});
	ioLog.Newest(inName, [](const NewestAnswer &) {});
};

/// The key of the claim in every cell's log.
inline constexpr std::string_view cClaimKey = "o";

/// See the head of the file.
template <JobLog Log>
class OwnedLog : private Guarded
{
public:
	/// All records of the log by key, without the claim.
	using Records = std::map<std::string, std::string>;
	using OnClaimed = std::function<void(bool inWon, const Records &inRecords)>;
	using OnAppended = std::function<void(bool inDone)>;
	/// Told of the claim found in the log before ours; says whether to go on.
	using Judge = std::function<bool(const ClaimRecord &)>;

	OwnedLog(Log &inLog, LogName inName, HostProcess inProcess);

	/// Reads the log and claims it. `inBeatNumber`: of the host's newest heartbeat.
	void Claim(uint64 inBeatNumber, const Judge &inJudge, const OnClaimed &inDone);
	/// Appends, again and again until the outcome is certain. `inDone(false)`: the log has another owner.
	void Append(const std::vector<LogRecord> &inRecords, const OnAppended &inDone);
	bool IsBusy() const { return this->busy; }
	uint64 Epoch() const { return this->epoch; }
	Millis LastSentAt() const { return this->last_sent_at; }

private:
	void ReadRest(uint64 inFrom);
	void TryClaim();
	void SendAppend();
	/// Tells that an append has to be sent again.
	void LogAgain(EAppend inResult);
	void Lose(std::string_view inWhy);
	void Apply(const std::vector<LogRecord> &inRecords);

	Log &log;
	LogName name;
	HostProcess process; ///< This one.
	uint64 beat_number = 0;
	Judge judge;
	OnClaimed on_claimed;
	Records records;
	ClaimRecord seen; ///< The newest claim in the log.
	uint64 end = 0;
	uint64 epoch = 0;
	uint64 number = 0; ///< Of the next append within the epoch.
	bool busy = false;
	uint32 tries = 0;
	std::vector<LogRecord> batch;
	OnAppended on_appended;
	Millis last_sent_at = 0;
	Timer again;
};

} // namespace Loomreach::Jobs

#include <Loomreach/Ownership/OwnedLog.inl>
