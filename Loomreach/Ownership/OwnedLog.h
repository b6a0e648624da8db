// The log of one cell as its owner uses it: claims the log, then appends one batch after the other. Every append carries the owner's
// epoch, so the log refuses an earlier owner's appends as soon as it contains the claim.

#pragma once

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Guarded.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Ownership/LogTypes.h>
#include <Loomreach/Ownership/OwnerTable.h>

namespace Loomreach::Jobs
{

/// What an owner needs of a log service.
template <class T>
concept JobLog = requires(T &ioLog, const AppendCall &inCall, const LogName &inName)
{
	ioLog.Append(inCall, [](const AppendAnswer &) {});
	ioLog.Read(inName, true, uint64(0), Millis(0), [](const ReadAnswer &) {});
	ioLog.Newest(inName, [](const NewestAnswer &) {});
};

/// Key of the claim record in every cell's log.
inline constexpr std::string_view cClaimKey = "o";

/// Claims one log and appends to it.
template <JobLog Log>
class OwnedLog : private Guarded
{
public:
	/// All records of the log by key, without the claim record.
	using Records = std::map<std::string, std::string>;
	using OnClaimed = std::function<void(bool inWon, const Records &inRecords)>;
	using OnAppended = std::function<void(bool inDone)>;
	/// Gets the newest claim in the log before this process makes its own; returns whether to go on.
	using ClaimCheck = std::function<bool(const ClaimRecord &)>;

	OwnedLog(Log &inLog, LogName inName, HostProcess inProcess);

	/// Reads the log and claims it. `inHeartbeatNumber`: number of this host's newest heartbeat. `inDone` gets the records of the log.
	void Claim(uint64 inHeartbeatNumber, const ClaimCheck &inClaimCheck, const OnClaimed &inDone);
	/// Appends, and repeats the append until its outcome is certain. `inDone(false)`: the log has another owner. Records that exceed the
	/// limit of one call go into several, in their order, so that a successor may read a part that begins with the first record. Records
	/// that exceed the limit of one record are left out.
	void Append(const std::vector<LogRecord> &inRecords, const OnAppended &inDone);
	/// Number of records that were left out.
	uint64 OmittedRecords() const { return this->omitted_records; }
	bool IsBusy() const { return this->busy; }
	uint64 Epoch() const { return this->epoch; }
	/// Epoch of the newest claim in the log before this owner's; 0: there was none.
	uint64 PreviousEpoch() const { return this->previous_epoch; }
	Millis LastSentAt() const { return this->last_sent_at; }

private:
	/// Reads from an offset to the end of the log.
	void ReadRest(uint64 inFrom);
	void TryClaim();
	void SendAppend();
	/// Moves the next records that fit into one call from `remaining` to `batch`.
	void TakeBatch();
	/// Sends the next records, or ends the append if there are none.
	void SendNext();
	/// The service takes no append of this length: sends fewer records at a time, or leaves out a single one.
	void OnTooLong();
	/// Leaves a record out: a repeat would be refused as well, and nothing else could be appended.
	void Omit(const LogRecord &inRecord);
	/// Writes a log line about an append that is repeated.
	void LogRetry(EAppend inResult);
	/// Ends the claim without success.
	void FailClaim(std::string_view inWhy);
	/// Adds records that were read.
	void Apply(const std::vector<LogRecord> &inRecords);

	Log &log;
	LogName name;
	HostProcess process; ///< This process.
	uint64 heartbeat_number = 0;
	ClaimCheck claim_check;
	OnClaimed on_claimed;
	Records records;
	ClaimRecord newest_claim; ///< The newest claim in the log.
	uint64 end = 0;           ///< Offset up to which the log has been read.
	uint64 epoch = 0;
	uint64 previous_epoch = 0;
	uint64 number = 0; ///< Sequence number of the next append within the epoch.
	bool busy = false;
	uint32 claim_attempts = 0;
	std::vector<LogRecord> batch;        ///< Records of the call in flight.
	std::deque<LogRecord> remaining;     ///< Records of the same append for further calls.
	size_t call_bytes = cMaxAppendBytes; ///< Most bytes in the further calls of this append.
	uint64 omitted_records = 0;
	OnAppended on_appended;
	Millis last_sent_at = 0;
	Timer retry_timer;
};

} // namespace Loomreach::Jobs

#include <Loomreach/Ownership/OwnedLog.inl>
