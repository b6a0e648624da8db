// Virtual time for classes with a TimeSource parameter, and a log partition that works in it.

#pragma once

#include <Loomreach/Core/TimeSource.h>
#include <Loomreach/Ownership/LogTypes.h>

namespace Loomreach::Jobs
{

/// Handle of a clock that only moves when a test runs it. Copies share the clock.
class VirtualTime
{
	/// The clock and what is to happen.
	struct State
	{
		Millis now = 1'000'000; ///< Not 0, as with a real clock.
		std::multimap<Millis, std::function<void()>> events;

		void After(Millis inMillis, std::function<void()> inCall)
		{
			this->events.emplace(this->now + std::max<Millis>(inMillis, 0), std::move(inCall));
		}
	};

public:
	/// One-shot timer on this clock.
	class OneShot
	{
	public:
		explicit OneShot(const VirtualTime &inTime) : state(inTime.state) {}
		~OneShot() { this->Stop(); }
		OneShot(const OneShot &) = delete;
		OneShot &operator=(const OneShot &) = delete;

		void Once(Millis inMillis, std::function<void()> inCall)
		{
			this->Stop();
			this->pending = std::make_shared<bool>(true);
			this->state->After(inMillis,
							   [running = this->pending, call = std::move(inCall)]
							   {
								   if (std::exchange(*running, false))
									   call();
							   });
		}
		bool IsRunning() const { return *this->pending; }

	private:
		void Stop() { *this->pending = false; }

		std::shared_ptr<State> state;
		std::shared_ptr<bool> pending = std::make_shared<bool>(false);
	};

	Millis Now() const { return this->state->now; }
	void After(Millis inMillis, std::function<void()> inCall) const { this->state->After(inMillis, std::move(inCall)); }
	/// Runs all events of the next `inMillis` ms, in the order of their times.
	void RunFor(Millis inMillis) const
	{
		const Millis end = this->state->now + inMillis;
		while (!this->state->events.empty() && this->state->events.begin()->first <= end)
		{
			auto event = this->state->events.extract(this->state->events.begin());
			this->state->now = event.key();
			event.mapped()();
		}
		this->state->now = end;
	}

private:
	std::shared_ptr<State> state = std::make_shared<State>();
};

static_assert(TimeSource<VirtualTime>);

/// A partition that carries out its appends one by one. A call that would wait longer than 2 s is refused; one that times out is carried
/// out nevertheless.
class VirtualPartition
{
public:
	explicit VirtualPartition(const VirtualTime &inTime) : time(inTime) {}

	void Append(const AppendCall &inCall, const std::function<void(const AppendAnswer &)> &inDone)
	{
		const Millis now = this->time.Now();
		++this->calls;
		this->sent.push_back(inCall);
		this->max_in_flight = std::max(this->max_in_flight, ++this->in_flight);
		size_t bytes = 0;
		for (const LogRecord &record : inCall.records)
			bytes += record.value.size();
		AppendAnswer answer;
		const Millis starts_at = std::max({this->free_at, now, this->mute_until});
		Millis wait = inCall.timeout_ms;
		if (this->refuse_until > now || starts_at - now > cMaxWaitMs)
		{
			answer.result = EAppend::Refused;
			wait = 1;
		}
		else if (this->lose_until <= now)
		{
			this->free_at = starts_at + this->append_ms + static_cast<Millis>(bytes / cBytesPerMs);
			answer.offset = this->records;
			this->records += inCall.records.size();
			if (this->free_at - now <= inCall.timeout_ms)
			{
				answer.result = EAppend::Done;
				wait = this->free_at - now;
			}
		}
		this->time.After(wait,
						 [this, answer, inDone]
						 {
							 --this->in_flight;
							 this->answers += answer.result == EAppend::Done ? 1 : 0;
							 inDone(answer);
						 });
	}

	static constexpr Millis cMaxWaitMs = 2000;
	static constexpr size_t cBytesPerMs = 20'000; ///< 20 MB/s.
	Millis append_ms = 4;
	Millis mute_until = 0;   ///< Carries out nothing until then, and what it got afterwards.
	Millis lose_until = 0;   ///< Loses calls until then.
	Millis refuse_until = 0; ///< Refuses calls until then.
	Millis free_at = 0;
	size_t calls = 0;
	size_t answers = 0; ///< Number of calls that were answered in time.
	size_t records = 0;
	size_t in_flight = 0;
	size_t max_in_flight = 0;
	std::vector<AppendCall> sent;

private:
	VirtualTime time;
};

} // namespace Loomreach::Jobs
