// Translation between the answers to AppendInbox and the outcomes of a submission.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/CollectorAnswer.h>
#include <Loomreach/State/Codec.h>

namespace Loomreach::Jobs
{

bool IsForOtherProcess(const PeerQuestion &inQuestion, uint64 inOwnIncarnation)
{
	return inQuestion.incarnation != 0 && inQuestion.incarnation != inOwnIncarnation;
}

PeerAnswer RefuseForOtherProcess(PeerAnswer inAnswer, uint64 inOwnIncarnation)
{
	inAnswer.not_done = true;
	inAnswer.record = EncodeValue(AnsweringProcess{inOwnIncarnation});
	return inAnswer;
}

/// The outcome that an answer without an append states, whoever gave it.
static ECollected RefusalOutcome(const PeerAnswer &inAnswer, const CollectorReply &inReply)
{
	if (inReply.incarnation != 0)
		return ECollected::OtherProcess;
	if (inAnswer.refusal != EError::None)
		return ECollected::Refused;
	if (inReply.expected_wait_ms > 0)
		return ECollected::Busy;
	return inAnswer.reaches_store ? ECollected::NotDone : ECollected::CannotReach;
}

CollectorReply CollectorReplyOf(const std::optional<PeerAnswer> &inAnswer)
{
	CollectorReply reply;
	if (!inAnswer.has_value())
		return reply;
	reply.refusal = inAnswer->refusal;
	reply.expected_wait_ms = DecodeValue<CollectorStatus>(inAnswer->record).value_or(CollectorStatus{}).busy_ms;
	reply.incarnation = DecodeValue<AnsweringProcess>(inAnswer->record).value_or(AnsweringProcess{}).incarnation;
	if (inAnswer->in_progress)
		reply.outcome = ECollected::Silent;
	else if (inAnswer->appended)
		reply.outcome = ECollected::Appended;
	else if (!inAnswer->not_done)
		reply.outcome = ECollected::Unknown;
	else
	{
		reply.outcome = RefusalOutcome(*inAnswer, reply);
		reply.certain = inAnswer->IsFromOnlyHandler();
	}
	return reply;
}

} // namespace Loomreach::Jobs
