// Wires the append queue to the platform and to the follower.

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

void Proposer::Answer(Ticket inTicket, const Verdict &inVerdict)
{
	auto found = this->callbacks.find(inTicket);
	if (found == this->callbacks.end())
		return;
	const Callback call = std::move(found->second);
	this->callbacks.erase(found);
	call(inVerdict);
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
	this->Pump();
}

void Proposer::Pump()
{
	const Millis now = NowMillis();
	for (const DroppedTicket &dropped : this->queue.DropStale(now))
	{
		this->metrics.Count(ECounter::Rejections, AnswerOf(EError::PlatformDown).name);
		this->Answer(dropped.ticket, {{}, dropped.kind, 0, EError::PlatformDown, "it waited too long for the log and was not sent"});
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
							  this->Pump();
						  });
}

void Proposer::OnAdopted(const FleetState &inState)
{
	auto mark = inState.proposers.find(this->incarnation);
	if (mark == inState.proposers.end())
		return;
	for (const DroppedTicket &unread : this->queue.OnAdopted(mark->second.sequence))
		this->Answer(unread.ticket, {{}, unread.kind, 0, EError::VerdictLost, "the state was taken over from a snapshot"});
}

void Proposer::OnVerdicts(const std::vector<Verdict> &inVerdicts)
{
	for (const Verdict &verdict : inVerdicts)
	{
		if (verdict.id.incarnation != this->incarnation || verdict.kind == EProposal::Count)
			continue;
		const std::optional<Ticket> ticket = this->queue.OnSeen(verdict.id.sequence);
		// A repeat of an append whose answer was lost: the first one counted
		if (!ticket.has_value())
			continue;
		if (verdict.Accepted())
			this->metrics.Count(ECounter::Proposals, NameOfProposal(verdict.kind));
		else
			this->metrics.Count(ECounter::Rejections, AnswerOf(verdict.error).name);
		LogEvent(ELogLevel::Info, verdict.Accepted() ? "proposal_accepted" : "proposal_rejected")
			.Field("kind", NameOfProposal(verdict.kind))
			.Field("position", verdict.position)
			.Field("reason", AnswerOf(verdict.error).name)
			.Field("detail", verdict.detail);
		this->Answer(*ticket, verdict);
	}
}

} // namespace Loomreach
