// A log service in memory that keeps the platform's rules for conditions, epochs and numbers, for tests of ownership. Answers come from the
// main context, each after the calls that were made before it.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Ownership/LogTypes.h>

namespace Loomreach::Jobs
{

/// See the head of the file.
class FakeLog
{
public:
	/// What happens to the next appends: each entry is used up by one.
	enum class EFate : uint8
	{
		Good,
		LoseAnswer, ///< Done, and the answer lost.
		Refuse,     ///< Not done, and said so.
		Vanish      ///< Not done, and no answer.
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
			answer = this->Do(inCall);
		if (fate == EFate::LoseAnswer)
			answer = AppendAnswer{};
		this->Later([answer, done = std::move(inDone)] { done(answer); });
	}

	void Read(const LogName &inName, bool, uint64 inFrom, Millis, std::function<void(ReadAnswer)> inDone)
	{
		Part &part = this->parts[inName];
		if (inName == this->held_log && this->reads_left == 0)
			return;
		this->reads_left -= inName == this->held_log ? 1 : 0;
		ReadAnswer answer;
		answer.result = ERead::Done;
		answer.end = part.records.size();
		answer.next = std::min<uint64>(answer.end, inFrom + this->most_read);
		for (uint64 i = inFrom; i < answer.next; ++i)
			answer.records.push_back(part.records[i]);
		this->Later([answer, done = std::move(inDone)] { done(answer); });
	}

	void Newest(const LogName &inName, std::function<void(NewestAnswer)> inDone)
	{
		Part &part = this->parts[inName];
		std::map<std::string, LogRecord> newest;
		for (const LogRecord &record : part.records)
			newest[record.key] = record;
		NewestAnswer answer;
		answer.good = this->readable;
		answer.end = part.records.size();
		for (const auto &[key, record] : newest)
			answer.records.push_back(record);
		this->Later([answer, done = std::move(inDone)] { done(answer); });
	}

	/// Lets everything under way come to its end.
	static void Settle(Millis inMillis = 200)
	{
		bool over = false;
		Timer timer;
		timer.Once(inMillis, [&over] { over = true; });
		while (!over)
			g_main_context_iteration(nullptr, TRUE);
	}

	size_t Size(const LogName &inName) { return this->parts[inName].records.size(); }

	std::deque<EFate> fates;
	bool readable = true;
	uint64 most_read = 1'000'000; ///< Records of one read.
	LogName held_log;             ///< Reads of this log are answered
	uint64 reads_left = 0;        ///< so often, then no more.

private:
	/// One partition.
	struct Part
	{
		std::vector<LogRecord> records;
		uint64 epoch = 0;
		uint64 next = 0;                        ///< Number that the producer must use next.
		std::map<uint64, AppendAnswer> answers; ///< First answers by number, of this epoch.
	};

	AppendAnswer Do(const AppendCall &inCall)
	{
		Part &part = this->parts[inCall.log];
		AppendAnswer answer;
		answer.end = part.records.size();
		if (inCall.producer.has_value())
		{
			const Producer &producer = *inCall.producer;
			if (producer.epoch < part.epoch)
			{
				answer.result = EAppend::Fenced;
				return answer;
			}
			// The first answer again, also to somebody else with the same epoch: the store can't tell them apart
			if (producer.epoch == part.epoch && part.answers.contains(producer.number))
				return part.answers[producer.number];
			if (producer.epoch == part.epoch && producer.number != part.next && part.epoch != 0)
			{
				answer.result = EAppend::OutOfOrder;
				return answer;
			}
		}
		if (inCall.at.has_value() && *inCall.at != part.records.size())
		{
			answer.result = EAppend::NotAtEnd;
			return answer;
		}
		answer.result = EAppend::Done;
		answer.offset = part.records.size();
		for (LogRecord record : inCall.records)
		{
			record.offset = part.records.size();
			part.records.push_back(record);
		}
		answer.end = part.records.size();
		if (inCall.producer.has_value())
		{
			if (inCall.producer->epoch > part.epoch)
				part.answers.clear();
			part.epoch = inCall.producer->epoch;
			part.next = inCall.producer->number + 1;
			part.answers[inCall.producer->number] = answer;
		}
		return answer;
	}

	static void Later(std::function<void()> inCall) { After(1, std::move(inCall)); }

	std::map<LogName, Part> parts;
};

} // namespace Loomreach::Jobs
