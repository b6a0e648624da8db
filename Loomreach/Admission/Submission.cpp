// Steps of one caller's record.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Admission/Submission.h>

namespace Loomreach::Jobs
{

SubmissionStep Submission::End(SubmissionStep inStep)
{
	this->ended = true;
	return inStep;
}

SubmissionStep Submission::Accept()
{
	SubmissionStep step;
	step.kind = ESubmissionStep::Accept;
	return this->End(std::move(step));
}

SubmissionStep Submission::RefuseWith(EError inError, std::optional<Millis> inExpectedWaitMs)
{
	SubmissionStep step;
	step.kind = ESubmissionStep::Refuse;
	step.error = inError;
	step.expected_wait_ms = inExpectedWaitMs;
	return this->End(std::move(step));
}

void Submission::Note(std::string_view inHost, std::string_view inOutcome)
{
	if (!this->tried_text.empty())
		this->tried_text += ' ';
	this->tried_text += std::string(inHost) + ':' + std::string(inOutcome);
}

SubmissionStep Submission::AppendStep(const SubmissionView &inView)
{
	this->own = EOwnAppend::InFlight;
	this->own_append_tried = true;
	SubmissionStep step;
	step.kind = ESubmissionStep::Append;
	step.limit_ms = this->give_up_at - inView.now;
	return step;
}

SubmissionStep Submission::AskStep(const CollectorHost &inHost, const SubmissionView &inView)
{
	this->asking = true;
	this->asked = inHost;
	this->asked_successor = false;
	SubmissionStep step;
	step.kind = ESubmissionStep::Ask;
	step.collector = inHost;
	step.limit_ms = this->give_up_at - inView.now;
	return step;
}

SubmissionStep Submission::AskLater(const SubmissionView &inView)
{
	const Millis left_ms = this->give_up_at - inView.now - cMinLeftMs;
	if (left_ms <= 0)
		// An own append may still end in time
		return this->own == EOwnAppend::InFlight ? SubmissionStep{} : this->OnTimeUp();
	this->delayed = true;
	// The candidates may be tried again, since skipped ones come back and a lost owner is replaced
	this->tried.clear();
	this->own_append_tried = false;
	SubmissionStep step;
	step.kind = ESubmissionStep::AskLater;
	step.delay_ms = std::min(this->next_delay_ms, left_ms);
	this->next_delay_ms = std::min(2 * this->next_delay_ms, cMaxAskAgainMs);
	return step;
}

SubmissionStep Submission::Next(const SubmissionView &inView)
{
	if (inView.now + cMinLeftMs > this->give_up_at)
		return this->own == EOwnAppend::InFlight ? SubmissionStep{} : this->OnTimeUp();
	// A record in doubt is not limited: it is asked for until its outcome is known or the time is up
	const bool exhausted = this->tries >= CollectorChoice::cMaxTried && !this->IsInDoubt() && !this->persistent;
	for (const CollectorHost &host : inView.candidates)
	{
		if (exhausted || this->tried.size() >= CollectorChoice::cMaxTried)
			break;
		// The own append is that of the collector: its outcome decides. Asking the next host would make it a second collector
		if (host.is_self && this->own == EOwnAppend::InFlight && !inView.store_unresponsive)
			return SubmissionStep{};
		if (this->tried.contains(host.name) || (host.is_self && (this->own_append_tried || inView.store_unresponsive)))
			continue;
		this->tried.insert(host.name);
		++this->tries;
		return host.is_self ? this->AppendStep(inView) : this->AskStep(host, inView);
	}
	if (this->IsInDoubt() || (this->persistent && !inView.store_unresponsive))
		return this->AskLater(inView);
	return this->RefuseWith(EError::PlatformDown);
}

SubmissionStep Submission::Begin(const SubmissionView &inView)
{
	// The outcome of an append to an unresponsive store would be unknown
	if (inView.path == EInboxPath::Direct && !inView.store_unresponsive)
		return this->AppendStep(inView);
	return this->Next(inView);
}

SubmissionStep Submission::OnOwnAppend(bool inDone, EOwnAppend inOutcome, const SubmissionView &inView)
{
	if (this->ended)
		return {};
	if (inDone)
		return this->Accept();
	this->own = inOutcome;
	this->maybe_appended = this->maybe_appended || inOutcome == EOwnAppend::Unknown;
	this->Note("self", inOutcome == EOwnAppend::Refused ? "refused" : "unknown");
	if (this->asking || this->delayed)
		return {};
	// A collector's own append is repeated after a delay, in which its cell may read the record from the inbox
	const bool is_collector = !inView.candidates.empty() && inView.candidates.front().is_self;
	if (inOutcome == EOwnAppend::Unknown && is_collector)
		return this->AskLater(inView);
	return this->Next(inView);
}

SubmissionStep Submission::OnOwnBusy(Millis inExpectedWaitMs, const SubmissionView &inView)
{
	if (this->ended)
		return {};
	this->own = EOwnAppend::Refused;
	this->Note("self", NameOf(cCollectedNames, ECollected::Busy));
	return this->OnBusy(inExpectedWaitMs, inView);
}

SubmissionStep Submission::OnBusy(Millis inExpectedWaitMs, const SubmissionView &inView)
{
	// The backlog is that of the partition: another collector would have to wait as long
	if (this->IsInDoubt() || this->persistent)
		return this->AskLater(inView);
	return this->RefuseWith(EError::PlatformDown, inExpectedWaitMs);
}

SubmissionStep Submission::OnCollected(const SubmissionView &inView)
{
	if (this->ended || this->asking || this->delayed || this->own != EOwnAppend::InFlight)
		return {};
	return this->Next(inView);
}

SubmissionStep Submission::OnReply(const CollectorReply &inReply, const SubmissionView &inView)
{
	if (this->ended || !this->asking)
		return {};
	this->asking = false;
	this->Note(this->asked.name, std::string(NameOf(cCollectedNames, inReply.outcome)) + (inReply.certain ? "" : "-in-doubt"));
	this->maybe_appended = this->maybe_appended || !inReply.certain;
	switch (inReply.outcome)
	{
	case ECollected::Appended: return this->Accept();
	case ECollected::Refused:
		// The record may have been appended under the older configuration
		return this->IsInDoubt() ? this->Next(inView) : this->RefuseWith(inReply.refusal);
	case ECollected::Busy: return this->OnBusy(inReply.expected_wait_ms, inView);
	case ECollected::CannotReach:
	case ECollected::NotDone: return this->Next(inView);
	case ECollected::Unknown: this->maybe_appended = true; return this->AskLater(inView);
	case ECollected::NoAnswer:
	case ECollected::Silent: this->maybe_appended = true; return this->Next(inView);
	case ECollected::OtherProcess: return this->OnOtherProcess(inReply.incarnation, inView);
	}
	return {};
}

SubmissionStep Submission::OnOtherProcess(uint64 inIncarnation, const SubmissionView &inView)
{
	// Heartbeats tell of a new process late. Once for each candidate, so that a host whose process ends again and again is passed over
	if (this->asked_successor || inView.now + cMinLeftMs > this->give_up_at)
		return this->Next(inView);
	CollectorHost successor = this->asked;
	successor.incarnation = inIncarnation;
	SubmissionStep step = this->AskStep(successor, inView);
	this->asked_successor = true;
	return step;
}

SubmissionStep Submission::OnDelayOver(const SubmissionView &inView)
{
	if (this->ended || !std::exchange(this->delayed, false))
		return {};
	if (!inView.candidates.empty() || !inView.owner.has_value() || inView.owner->is_self)
		return this->Next(inView);
	// All candidates are skipped. The owner knows best whether it has the job
	if (inView.now + cMinLeftMs > this->give_up_at)
		return this->own == EOwnAppend::InFlight ? SubmissionStep{} : this->OnTimeUp();
	this->tried.insert(inView.owner->name);
	++this->tries;
	return this->AskStep(*inView.owner, inView);
}

SubmissionStep Submission::OnTimeUp()
{
	if (this->ended)
		return {};
	return this->RefuseWith(this->IsInDoubt() ? EError::OutcomeLost : EError::PlatformDown);
}

} // namespace Loomreach::Jobs
