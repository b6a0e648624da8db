// Latency, pacing and estimates of one inbox.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Admission/InboxLoad.h>

namespace Loomreach::Jobs
{

void InboxLoad::OnArrived(size_t inBytes, Millis inNow)
{
	++this->waiting;
	this->waiting_bytes += inBytes;
	const Millis slot = inNow / cRateSlotMs;
	// Slots that have passed without an arrival are cleared
	for (Millis i = std::max(this->rate_slot + 1, slot - static_cast<Millis>(cRateSlots) + 1); i <= slot; ++i)
		this->arrivals[static_cast<size_t>(i) % cRateSlots] = 0;
	this->rate_slot = std::max(this->rate_slot, slot);
	++this->arrivals[static_cast<size_t>(this->rate_slot) % cRateSlots];
}

void InboxLoad::OnReturned(size_t inRecords, size_t inBytes)
{
	this->waiting += inRecords;
	this->waiting_bytes += inBytes;
}

void InboxLoad::OnTaken(size_t inRecords, size_t inBytes)
{
	this->waiting -= inRecords;
	this->waiting_bytes -= inBytes;
}

uint64 InboxLoad::OnSent(size_t inBytes, Millis inNow)
{
	this->age_at_last_sent = this->OldestCallAge(inNow);
	this->last_sent_at = inNow;
	this->calls.push_back({this->next_number, inNow, inBytes});
	return this->next_number++;
}

void InboxLoad::OnEnded(uint64 inCall, EAppend inResult, Millis inNow)
{
	const auto call =
		std::find_if(this->calls.begin(), this->calls.end(), [inCall](const Call &inOther) { return inOther.number == inCall; });
	if (call == this->calls.end())
		return;
	const Millis took = inNow - call->sent_at;
	const Millis service = inNow - std::max(call->sent_at, this->ended_at);
	this->calls.erase(call);
	if (inResult == EAppend::Refused)
	{
		// Refusals come sooner than appends: they say nothing about the latency
		++this->refused;
		++this->unreported;
		this->quick_calls = 0;
		this->retry_at = inNow + std::max(this->PacingLatency(this->OldestCallAge(inNow)), cMinRetryDelayMs);
		return;
	}
	this->ended_at = inNow;
	if (inResult == EAppend::Unknown)
	{
		++this->abandoned;
		++this->unreported;
		this->quick_calls = 0;
		this->abandoned_after_ms = took;
		return;
	}
	this->abandoned_after_ms = 0;
	this->last_ms = static_cast<double>(took);
	this->mean_ms += cLatencyWeight * (this->last_ms - this->mean_ms);
	this->service_ms += cLatencyWeight * (static_cast<double>(service) - this->service_ms);
	this->quick_calls = took < cSlowPerUsual * this->usual_append_ms ? std::min(this->quick_calls + 1, cQuickCalls) : 0;
}

std::optional<Millis> InboxLoad::NextCallAt() const
{
	if (this->calls.size() >= cMaxInFlight)
		return std::nullopt;
	if (this->calls.empty())
		return this->retry_at;
	// The age is taken when the last call was sent: a present age would grow as fast as the wait that it asks for
	const Millis latency = this->PacingLatency(this->age_at_last_sent);
	const Millis doubled = Millis{1} << (this->calls.size() - 1);
	return std::max(this->retry_at, this->last_sent_at + std::max(cMinGapMs, cGapPerLatency * latency * doubled));
}

Millis InboxLoad::CallTimeout(Millis inLongestMs, Millis inNow) const
{
	const Millis limit = std::clamp(cTimeoutPerLatency * this->LatencyMs(inNow), cMaxQuickTimeoutMs, cMaxTimeoutMs);
	return std::clamp(inLongestMs, cMinTimeoutMs, limit);
}

bool InboxLoad::IsQuick(Millis inNow) const
{
	return this->IsFast(inNow) && this->ArrivalsPerMs(inNow) * this->AnsweredLatency() < cMaxQuickOccupancy;
}

bool InboxLoad::IsFast(Millis inNow) const
{
	return this->quick_calls >= cQuickCalls && this->OldestCallAge(inNow) < cSlowPerUsual * this->usual_append_ms;
}

Millis InboxLoad::ExpectedWaitMs(size_t inBytes, Millis inNow) const
{
	const double service = this->ServiceMs(inNow);
	const size_t full_calls = std::max(this->waiting / cMaxRecords, (this->waiting_bytes + inBytes) / cMaxBytes);
	const double calls = static_cast<double>(this->calls.size() + full_calls + 1);
	size_t bytes = this->waiting_bytes + inBytes;
	for (const Call &call : this->calls)
		bytes += call.bytes;
	// The call that is being carried out has been for some time
	const Millis since = this->calls.empty() ? inNow : std::max(this->calls.front().sent_at, this->ended_at);
	const double begun = std::min(static_cast<double>(inNow - since), service);
	const double wait = std::max(calls * service - begun, static_cast<double>(bytes) / cBytesPerMs + service);
	return static_cast<Millis>(wait) + std::max<Millis>(this->retry_at - inNow, 0);
}

Millis InboxLoad::LatencyMs(Millis inNow) const
{
	return std::max({static_cast<Millis>(this->AnsweredLatency()), this->abandoned_after_ms, this->OldestCallAge(inNow)});
}

Millis InboxLoad::PacingLatency(Millis inAge) const
{
	const Millis unanswered = std::min(std::max(inAge, this->abandoned_after_ms), cMaxUnansweredMs);
	return std::max(static_cast<Millis>(this->AnsweredLatency()), unanswered);
}

bool InboxLoad::TakeReportDue(Millis inNow)
{
	const bool slow = !this->IsFast(inNow) && (this->waiting > 0 || !this->calls.empty());
	const bool behind = slow || this->unreported > 0 || this->waiting > cMaxRecords || this->waiting_bytes > cMaxBytes;
	if (!behind || inNow - this->reported_at < cReportIntervalMs)
		return false;
	this->reported_at = inNow;
	this->unreported = 0;
	return true;
}

InboxFigures InboxLoad::Figures(Millis inNow) const
{
	InboxFigures figures;
	figures.in_flight = this->calls.size();
	figures.waiting = this->waiting;
	figures.waiting_bytes = this->waiting_bytes;
	figures.latency_ms = this->LatencyMs(inNow);
	figures.abandoned = this->abandoned;
	figures.refused = this->refused;
	figures.done_late = this->done_late;
	return figures;
}

double InboxLoad::ServiceMs(Millis inNow) const
{
	// Calls in flight wait for each other in the partition, so that an unanswered call's age counts from the end of the one before
	const Millis since = this->calls.empty() ? inNow : std::max(this->calls.front().sent_at, this->ended_at);
	const Millis unanswered = std::min(std::max(inNow - since, this->abandoned_after_ms), cMaxUnansweredMs);
	return std::max({this->service_ms, static_cast<double>(unanswered), static_cast<double>(this->usual_append_ms)});
}

double InboxLoad::ArrivalsPerMs(Millis inNow) const
{
	const Millis slot = inNow / cRateSlotMs;
	uint32 count = 0;
	for (Millis i = slot - static_cast<Millis>(cRateSlots) + 1; i <= std::min(slot, this->rate_slot); ++i)
		if (i >= 0 && i > this->rate_slot - static_cast<Millis>(cRateSlots))
			count += this->arrivals[static_cast<size_t>(i) % cRateSlots];
	return static_cast<double>(count) / static_cast<double>(cRateSlotMs * static_cast<Millis>(cRateSlots));
}

} // namespace Loomreach::Jobs
