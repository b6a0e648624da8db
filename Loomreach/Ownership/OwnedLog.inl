// Claims a log and appends to it.

#include <Loomreach/Schedule/WorkerToken.h>
#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

/// A claim that has not succeeded after this many attempts is given up, so that other hosts can try.
inline constexpr uint32 cMaxClaimAttempts = 8;
inline constexpr Millis cAppendRetryMs = 60; ///< Delay before an append is repeated that was refused or got no answer.
/// Slow answers of the store take 240 ms; a lost answer delays the append by this long.
inline constexpr Millis cAppendTimeoutMs = 700;

template <JobLog Log>
OwnedLog<Log>::OwnedLog(Log &inLog, LogName inName, HostProcess inProcess)
	: log(inLog), name(std::move(inName)), process(std::move(inProcess))
{
}

template <JobLog Log>
void OwnedLog<Log>::FailClaim(std::string_view inWhy)
{
	LogEvent(ELogLevel::Info, "claim_lost").Field("topic", this->name.topic).Field("part", this->name.partition).Field("why", inWhy);
	const OnClaimed done = std::move(this->on_claimed);
	done(false, this->records);
}

template <JobLog Log>
void OwnedLog<Log>::Apply(const std::vector<LogRecord> &inRecords)
{
	for (const LogRecord &record : inRecords)
	{
		if (record.key != cClaimKey)
		{
			// Empty values are kept, so that a removal overrides the value on an older page
			this->records[record.key] = record.value;
			continue;
		}
		const std::optional<ClaimRecord> claim = DecodeValue<ClaimRecord>(record.value);
		if (claim.has_value() && claim->epoch >= this->newest_claim.epoch)
			this->newest_claim = *claim;
	}
}

template <JobLog Log>
void OwnedLog<Log>::Claim(uint64 inHeartbeatNumber, const ClaimCheck &inClaimCheck, const OnClaimed &inDone)
{
	this->heartbeat_number = inHeartbeatNumber;
	this->claim_check = inClaimCheck;
	this->on_claimed = inDone;
	this->records.clear();
	this->log.Newest(this->name, this->Guard(
									 [this](NewestAnswer inAnswer)
									 {
										 if (!inAnswer.good)
											 return this->FailClaim("the newest records of the log could not be read");
										 this->Apply(inAnswer.records);
										 this->ReadRest(inAnswer.end);
									 }));
}

template <JobLog Log>
void OwnedLog<Log>::ReadRest(uint64 inFrom)
{
	// The pages are not a consistent snapshot: what was written meanwhile is read afterwards, in order
	this->log.Read(this->name, true, inFrom, 0,
				   this->Guard(
					   [this](ReadAnswer inAnswer)
					   {
						   if (inAnswer.result != ERead::Done)
							   return this->FailClaim("the log could not be read to its end");
						   this->Apply(inAnswer.records);
						   this->end = inAnswer.next;
						   if (inAnswer.next < inAnswer.end)
							   return this->ReadRest(inAnswer.next);
						   this->TryClaim();
					   }));
}

template <JobLog Log>
void OwnedLog<Log>::TryClaim()
{
	// The newest claim in the log is that of this process
	if (this->epoch != 0 && this->newest_claim.by.incarnation == this->process.incarnation && this->newest_claim.epoch == this->epoch)
	{
		this->number = 1;
		const OnClaimed done = std::move(this->on_claimed);
		return done(true, this->records);
	}
	if (!this->claim_check(this->newest_claim) || ++this->claim_attempts > cMaxClaimAttempts)
		return this->FailClaim("another owner holds the log, or too many attempts failed");
	this->previous_epoch = this->newest_claim.epoch;
	this->epoch = NextEpoch(this->previous_epoch);
	AppendCall call;
	call.log = this->name;
	call.keyed = true;
	call.records.push_back({std::string(cClaimKey), EncodeValue(ClaimRecord{this->process, this->epoch, this->heartbeat_number}), 0});
	call.expected_end = this->end;
	call.producer = Producer{"owner", this->epoch, 0};
	call.timeout_ms = cAppendTimeoutMs;
	call.traffic = ETraffic::CellLog;
	this->log.Append(call, this->Guard(
							   [this](const AppendAnswer &inAnswer)
							   {
								   // Only the log shows who won: a challenger with the same epoch and sequence number gets the answer to
								   // the winner's append
								   const bool answered = inAnswer.result == EAppend::Done;
								   this->retry_timer.Once(answered ? 0 : cAppendRetryMs, [this] { this->ReadRest(this->end); });
							   }));
}

template <JobLog Log>
void OwnedLog<Log>::Append(const std::vector<LogRecord> &inRecords, const OnAppended &inDone)
{
	this->on_appended = inDone;
	this->busy = true;
	this->call_bytes = cMaxAppendBytes;
	for (const LogRecord &record : inRecords)
		if (ExceedsRecordLimit(record))
			this->Omit(record);
		else
			this->remaining.push_back(record);
	this->TakeBatch();
	if (this->batch.empty())
		return this->retry_timer.Once(0, [this] { this->SendNext(); });
	this->SendAppend();
}

template <JobLog Log>
void OwnedLog<Log>::TakeBatch()
{
	this->batch.clear();
	size_t bytes = 0;
	while (!this->remaining.empty())
	{
		bytes += BytesInAppend(this->remaining.front());
		if (bytes > this->call_bytes && !this->batch.empty())
			return;
		this->batch.push_back(std::move(this->remaining.front()));
		this->remaining.pop_front();
	}
}

template <JobLog Log>
void OwnedLog<Log>::SendNext()
{
	this->TakeBatch();
	if (!this->batch.empty())
		return this->SendAppend();
	this->busy = false;
	const OnAppended callback = std::move(this->on_appended);
	callback(true);
}

template <JobLog Log>
void OwnedLog<Log>::OnTooLong()
{
	size_t bytes = 0;
	for (const LogRecord &record : this->batch)
		bytes += BytesInAppend(record);
	LogEvent(ELogLevel::Error, "append_too_long")
		.Field("topic", this->name.topic)
		.Field("part", this->name.partition)
		.Field("records", this->batch.size())
		.Field("bytes", bytes);
	if (this->batch.size() == 1)
		this->Omit(this->batch.front());
	else
		this->remaining.insert(this->remaining.begin(), std::make_move_iterator(this->batch.begin()),
							   std::make_move_iterator(this->batch.end()));
	this->call_bytes = bytes / 2;
	this->SendNext();
}

template <JobLog Log>
void OwnedLog<Log>::Omit(const LogRecord &inRecord)
{
	++this->omitted_records;
	LogEvent(ELogLevel::Error, "record_too_long")
		.Field("topic", this->name.topic)
		.Field("part", this->name.partition)
		.Field("key", inRecord.key)
		.Field("bytes", BytesInAppend(inRecord))
		.Field("limit", cMaxRecordBytes)
		.Field("omitted", this->omitted_records);
}

template <JobLog Log>
void OwnedLog<Log>::LogRetry(EAppend inResult)
{
	size_t bytes = 0;
	for (const LogRecord &record : this->batch)
		bytes += record.key.size() + record.value.size();
	LogEvent(ELogLevel::Warning, "append_again")
		.Field("topic", this->name.topic)
		.Field("part", this->name.partition)
		.Field("result", NameOf(cAppendNames, inResult))
		.Field("took_ms", NowMillis() - this->last_sent_at)
		.Field("records", this->batch.size())
		.Field("bytes", bytes);
}

template <JobLog Log>
void OwnedLog<Log>::SendAppend()
{
	AppendCall call;
	call.log = this->name;
	call.keyed = true;
	call.records = this->batch;
	call.producer = Producer{"owner", this->epoch, this->number};
	call.timeout_ms = cAppendTimeoutMs;
	call.traffic = ETraffic::CellLog;
	this->last_sent_at = NowMillis();
	this->log.Append(call, this->Guard(
							   [this](const AppendAnswer &inAnswer)
							   {
								   // Repeated with the same sequence number: if the append took effect before, the store answers so
								   if (inAnswer.result == EAppend::Refused || inAnswer.result == EAppend::Unknown)
								   {
									   this->LogRetry(inAnswer.result);
									   return this->retry_timer.Once(cAppendRetryMs, [this] { this->SendAppend(); });
								   }
								   if (inAnswer.result == EAppend::TooLong)
									   return this->OnTooLong();
								   if (inAnswer.result == EAppend::Done)
								   {
									   ++this->number;
									   return this->SendNext();
								   }
								   this->busy = false;
								   this->remaining.clear();
								   const OnAppended callback = std::move(this->on_appended);
								   callback(false);
							   }));
}

} // namespace Loomreach::Jobs
