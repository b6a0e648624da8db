// In-memory log service for tests, with the platform's rules for conditional appends, producer epochs and sequence numbers. Answers are
// delivered from the main context, in the order of the calls.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Ownership/LogTypes.h>

namespace Loomreach::Jobs
{

/// All logs of a test, by name.
class FakeLog
{
public:
	/// What happens to an append; each entry of the list applies to one.
	enum class EFate : uint8
	{
		Good,
		LoseAnswer, ///< Carried out, but the answer is lost.
		Refuse,     ///< Not carried out, and answered so.
		Vanish      ///< Not carried out, and not answered.
	};

	void Append(const AppendCall &inCall, std::function<void(const AppendAnswer &)> inDone)
	{
		EFate fate = EFate::Good;
		if (!this->fates.empty())
		{
			fate = this->fates.front();
			this->fates.pop_front();
		}
		AppendAnswer answer;
		if (fate == EFate::Refuse)
			answer.result = EAppend::Refused;
		if (fate == EFate::Good || fate == EFate::LoseAnswer)
			answer = this->Apply(inCall);
		if (fate == EFate::LoseAnswer)
			answer = AppendAnswer{};
		this->Defer([answer, done = std::move(inDone)] { done(answer); });
	}

	void Read(const LogName &inName, bool, uint64 inFrom, Millis, std::function<void(ReadAnswer)> inDone)
	{
		Partition &partition = this->partitions[inName];
		if (inName == this->limited_log && this->reads_left == 0)
			return;
		this->reads_left -= inName == this->limited_log ? 1 : 0;
		ReadAnswer answer;
		answer.result = ERead::Done;
		answer.end = partition.records.size();
		answer.next = std::min<uint64>(answer.end, inFrom + this->max_read_records);
		for (uint64 i = inFrom; i < answer.next; ++i)
			answer.records.push_back(partition.records[i]);
		this->Defer([answer, done = std::move(inDone)] { done(answer); });
	}

	void Newest(const LogName &inName, std::function<void(NewestAnswer)> inDone)
	{
		Partition &partition = this->partitions[inName];
		std::map<std::string, LogRecord> newest;
		for (const LogRecord &record : partition.records)
			newest[record.key] = record;
		NewestAnswer answer;
		answer.good = this->readable;
		answer.end = partition.records.size();
		for (const auto &[key, record] : newest)
			answer.records.push_back(record);
		this->Defer([answer, done = std::move(inDone)] { done(answer); });
	}

	/// Runs the main loop for `inMillis` milliseconds, so that calls in flight complete.
	static void RunMainLoopFor(Millis inMillis = 200)
	{
		bool over = false;
		Timer timer;
		timer.Once(inMillis, [&over] { over = true; });
		while (!over)
			g_main_context_iteration(nullptr, TRUE);
	}

	size_t Size(const LogName &inName) { return this->partitions[inName].records.size(); }

	std::deque<EFate> fates;
	size_t max_record_bytes = cMaxRecordBytes; ///< Longest record that is taken, with its frame.
	size_t max_append_bytes = cMaxAppendBytes; ///< Longest append.
	bool readable = true;
	uint64 max_read_records = 1'000'000; ///< Greatest number of records in the answer to one read.
	LogName limited_log;                 ///< Log of which only a limited number of reads is answered.
	uint64 reads_left = 0;               ///< Number of reads of that log that are still answered.

private:
	/// One partition, with the state of its producer.
	struct Partition
	{
		std::vector<LogRecord> records;
		uint64 epoch = 0;
		uint64 next = 0;                        ///< Sequence number that the producer must use next.
		std::map<uint64, AppendAnswer> answers; ///< First answer to each sequence number of this epoch.
	};

	AppendAnswer Apply(const AppendCall &inCall)
	{
		Partition &partition = this->partitions[inCall.log];
		AppendAnswer answer;
		answer.end = partition.records.size();
		if (inCall.producer.has_value())
		{
			const Producer &producer = *inCall.producer;
			if (producer.epoch < partition.epoch)
			{
				answer.result = EAppend::Fenced;
				return answer;
			}
			// A repeated sequence number gets the first answer again, even from another process with the same epoch: the store can't tell
			// them apart
			if (producer.epoch == partition.epoch && partition.answers.contains(producer.sequence))
				return partition.answers[producer.sequence];
			if (producer.epoch == partition.epoch && producer.sequence != partition.next && partition.epoch != 0)
			{
				answer.result = EAppend::OutOfOrder;
				return answer;
			}
		}
		if (inCall.expected_end.has_value() && *inCall.expected_end != partition.records.size())
		{
			answer.result = EAppend::NotAtEnd;
			return answer;
		}
		size_t bytes = 0;
		for (const LogRecord &record : inCall.records)
		{
			bytes += BytesInAppend(record);
			if (BytesInAppend(record) > this->max_record_bytes || bytes > this->max_append_bytes)
			{
				answer.result = EAppend::TooLong;
				return answer;
			}
		}
		answer.result = EAppend::Done;
		answer.offset = partition.records.size();
		for (LogRecord record : inCall.records)
		{
			record.offset = partition.records.size();
			partition.records.push_back(record);
		}
		answer.end = partition.records.size();
		if (inCall.producer.has_value())
		{
			if (inCall.producer->epoch > partition.epoch)
				partition.answers.clear();
			partition.epoch = inCall.producer->epoch;
			partition.next = inCall.producer->sequence + 1;
			partition.answers[inCall.producer->sequence] = answer;
		}
		return answer;
	}

	static void Defer(std::function<void()> inCall) { After(1, std::move(inCall)); }

	std::map<LogName, Partition> partitions;
};

} // namespace Loomreach::Jobs
