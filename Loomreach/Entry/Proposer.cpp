// Sends batches of the append queue to the platform and matches outcomes with proposals.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/Proposer.h>

namespace Loomreach
{

Proposer::Proposer(PlatformClient &ioPlatform, LogFollower &ioFollower, Metrics &ioMetrics, uint64 inIncarnation)
	: platform(ioPlatform), follower(ioFollower), metrics(ioMetrics), incarnation(inIncarnation), queue(inIncarnation, inIncarnation)
{
}

void Proposer::Complete(Ticket inTicket, const ProposalOutcome &inOutcome)
{
	auto found = this->callbacks.find(inTicket);
	if (found == this->callbacks.end())
		return;
	const Callback callback = std::move(found->second);
	this->callbacks.erase(found);
	callback(inOutcome);
}

void Proposer::Propose(ProposalBody inBody, Callback inDone)
{
	const EProposal kind = static_cast<EProposal>(inBody.index());
	const std::optional<Ticket> ticket = this->queue.Add(std::move(inBody), NowMillis());
	if (!ticket.has_value())
	{
		this->metrics.Count(ECounter::Rejections, AnswerOf(EError::NotAccepted).name);
		if (inDone)
			inDone({{}, kind, 0, EError::NotAccepted, LastReason().detail});
		return;
	}
	if (inDone)
		this->callbacks.emplace(*ticket, std::move(inDone));
	this->SendBatch();
}

void Proposer::SendBatch()
{
	const Millis now = NowMillis();
	for (const DroppedTicket &dropped : this->queue.DropStale(now))
	{
		this->metrics.Count(ECounter::Rejections, AnswerOf(EError::PlatformDown).name);
		this->Complete(dropped.ticket, {{}, dropped.kind, 0, EError::PlatformDown, "it waited too long for the log and was not sent"});
	}
	std::optional<std::string> batch = this->queue.Take(now);
	if (!batch.has_value())
		return;
	this->platform.Append(cRecordStream, std::move(*batch),
						  [this](std::optional<LogOffset> inOffset)
						  {
							  this->metrics.Count(ECounter::PlatformCalls, inOffset.has_value() ? "append-ok" : "append-failed");
							  if (inOffset.has_value())
								  this->queue.OnAppended();
							  else
								  this->queue.OnFailed(NowMillis());
							  this->follower.Poll();
							  this->SendBatch();
						  });
}

void Proposer::OnAdopted(const FleetState &inState)
{
	auto progress = inState.proposers.find(this->incarnation);
	if (progress == inState.proposers.end())
		return;
	for (const DroppedTicket &unresolved : this->queue.OnStateLoaded(progress->second.sequence))
		this->Complete(
			unresolved.ticket,
			{{}, unresolved.kind, 0, EError::OutcomeLost, "the state was taken over from a snapshot before the outcome was read"});
}

void Proposer::OnOutcomes(const std::vector<ProposalOutcome> &inOutcomes)
{
	for (const ProposalOutcome &outcome : inOutcomes)
	{
		if (outcome.id.incarnation != this->incarnation || outcome.kind == EProposal::Count)
			continue;
		const std::optional<Ticket> ticket = this->queue.OnReadBack(outcome.id.sequence);
		// Already seen: the batch was appended again because the answer to its first append was lost
		if (!ticket.has_value())
			continue;
		if (outcome.Accepted())
			this->metrics.Count(ECounter::Proposals, NameOfProposal(outcome.kind));
		else
			this->metrics.Count(ECounter::Rejections, AnswerOf(outcome.error).name);
		LogEvent(ELogLevel::Info, outcome.Accepted() ? "proposal_accepted" : "proposal_rejected")
			.Field("kind", NameOfProposal(outcome.kind))
			.Field("position", outcome.position)
			.Field("reason", AnswerOf(outcome.error).name)
			.Field("detail", outcome.detail);
		this->Complete(*ticket, outcome);
	}
}

} // namespace Loomreach
