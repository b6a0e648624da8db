// What the answers to AppendInbox say, from hosts of this version and of the one before, and over real datagrams from two processes at one
// address.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/CollectorAnswer.h>
#include <Loomreach/State/Codec.h>
#include <UnitTests/FakeLog.h>
#include <UnitTests/UdpSocket.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr uint64 cAsked = 11;
constexpr uint64 cSuccessor = 12;

/// A collector's refusals, each with the outcome that it states.
std::vector<std::pair<PeerAnswer, ECollected>> Refusals()
{
	PeerAnswer not_done;
	not_done.not_done = true;
	not_done.reaches_store = true;
	PeerAnswer cannot_reach = not_done;
	cannot_reach.reaches_store = false;
	PeerAnswer refused = not_done;
	refused.refusal = EError::UnknownKey;
	PeerAnswer busy = not_done;
	busy.record = EncodeValue(CollectorStatus{false, 4200});
	return {{not_done, ECollected::NotDone},
			{cannot_reach, ECollected::CannotReach},
			{refused, ECollected::Refused},
			{busy, ECollected::Busy},
			{RefuseForOtherProcess(not_done, cSuccessor), ECollected::OtherProcess}};
}

/// A process that answers questions to append.
class CollectorProcess
{
public:
	/// `inAnswers`: whether it answers, with a refusal.
	CollectorProcess(const Address &inAddress, uint64 inIncarnation, bool inAnswers)
		: peers(
			  inAddress, metrics,
			  [this, inIncarnation, inAnswers](const PeerQuestion &inQuestion, const std::function<void(PeerAnswer)> &inReply)
			  {
				  ++this->asked;
				  PeerAnswer answer;
				  answer.reaches_store = true;
				  answer.not_done = true;
				  answer.known = inQuestion.incarnation == inIncarnation;
				  if (inAnswers)
					  inReply(IsForOtherProcess(inQuestion, inIncarnation) ? RefuseForOtherProcess(answer, inIncarnation) : answer);
			  },
			  [](EPeerMessage, const std::string &) {})
	{
		EXPECT_TRUE(this->peers.Open());
	}

	size_t asked = 0;

private:
	Metrics metrics;
	PeerQuery peers;
};

/// Asks the process at an address, which is replaced by another one after `inReplaceAfterMs`.
CollectorReply AskAcrossRestart(uint64 inNamed, Millis inReplaceAfterMs)
{
	const Address address{"127.0.0.1", FreePort()};
	Metrics metrics;
	PeerQuery asking(
		{"127.0.0.1", FreePort()}, metrics, [](const PeerQuestion &, const std::function<void(PeerAnswer)> &) {},
		[](EPeerMessage, const std::string &) {});
	EXPECT_TRUE(asking.Open());
	auto first = std::make_unique<CollectorProcess>(address, cAsked, false);
	PeerQuestion question;
	question.kind = EQuestion::AppendInbox;
	question.incarnation = inNamed;
	std::optional<CollectorReply> reply;
	asking.Ask(address, question, 3000, [&reply](const std::optional<PeerAnswer> &inAnswer) { reply = CollectorReplyOf(inAnswer); },
			   {.report_within_ms = 1500, .silence_ms = 1500});
	for (Millis waited = 0; waited < 1000 && first->asked == 0; waited += 2)
		FakeLog::RunMainLoopFor(2);
	FakeLog::RunMainLoopFor(inReplaceAfterMs);
	EXPECT_EQ(first->asked, 1u);
	first.reset();
	const CollectorProcess second(address, cSuccessor, true);
	while (!reply.has_value())
		g_main_context_iteration(nullptr, TRUE);
	return *reply;
}

} // namespace

/// Guards against a refusal that counts as certain although the question was repeated to a host that does not say which process answers.
TEST(CollectorAnswer, ARefusalAfterARepeatIsCertainOnlyFromTheNamedProcess)
{
	for (auto [answer, outcome] : Refusals())
	{
		EXPECT_EQ(CollectorReplyOf(answer).outcome, outcome);
		EXPECT_TRUE(CollectorReplyOf(answer).certain);
		answer.repeated = true;
		EXPECT_EQ(CollectorReplyOf(answer).outcome, outcome);
		EXPECT_FALSE(CollectorReplyOf(answer).certain);
		answer.known = true;
		EXPECT_TRUE(CollectorReplyOf(answer).certain);
	}
}

/// Guards against a collector that takes no question of hosts of an earlier version, which name no process.
TEST(CollectorAnswer, AQuestionThatNamesNoProcessIsForAnyOne)
{
	PeerQuestion question;
	EXPECT_FALSE(IsForOtherProcess(question, cAsked));
	question.incarnation = cAsked;
	EXPECT_FALSE(IsForOtherProcess(question, cAsked));
	EXPECT_TRUE(IsForOtherProcess(question, cSuccessor));
}

/// Guards against a refusal of the next process that is taken for that of the one that was asked, which may have appended the record:
/// before it has reported, and after.
TEST(CollectorAnswer, ALaterProcessDoesNotSpeakForTheOneThatWasAsked)
{
	for (const Millis replace_after_ms : {5, 50})
	{
		const CollectorReply named = AskAcrossRestart(cAsked, replace_after_ms);
		EXPECT_EQ(named.outcome, ECollected::OtherProcess);
		EXPECT_EQ(named.incarnation, cSuccessor);
		EXPECT_FALSE(named.certain);
		const CollectorReply unnamed = AskAcrossRestart(0, replace_after_ms);
		EXPECT_EQ(unnamed.outcome, ECollected::NotDone);
		EXPECT_FALSE(unnamed.certain);
	}
}

} // namespace Loomreach::Jobs
