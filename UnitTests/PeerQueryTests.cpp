// Queries and notifications between entry hosts, over real datagrams.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/PeerQuery.h>
#include <Loomreach/State/Codec.h>
#include <UnitTests/FakeLog.h>
#include <UnitTests/UdpSocket.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

namespace
{

/// A host behind a link with a queue: each datagram, repeats included, is answered after `inDelayMs`.
class DelayedHost
{
public:
	explicit DelayedHost(Millis inDelayMs) : delay_ms(inDelayMs) {}

	Address At() const { return {"127.0.0.1", this->socket.Port()}; }
	/// Receives what has arrived and sends the answers that are due.
	void Step()
	{
		const Millis now = NowMillis();
		for (std::optional<std::pair<std::string, uint16>> datagram = this->socket.ReceiveFrom(); datagram.has_value();
			 datagram = this->socket.ReceiveFrom())
		{
			const std::optional<PeerQuestion> question = DecodeValue<PeerQuestion>(std::string_view(datagram->first).substr(1));
			++this->received;
			if (question.has_value())
				this->due.emplace(now + this->delay_ms, std::pair{question->nonce, datagram->second});
		}
		for (; !this->due.empty() && this->due.begin()->first <= now; this->due.erase(this->due.begin()))
		{
			PeerAnswer answer;
			answer.nonce = this->due.begin()->second.first;
			this->socket.Send(this->due.begin()->second.second, 'A' + EncodeValue(answer));
		}
	}

	Millis delay_ms;
	size_t received = 0;

private:
	UdpSocket socket;
	std::multimap<Millis, std::pair<uint64, uint16>> due; ///< Nonce and port of the questions to answer, by time.
};

} // namespace

TEST(PeerQuery, ARepeatAfterTheAnswerChangesNothing)
{
	// A helper that could not append says so. Guards against carrying out a repeat of the query that was sent before this answer arrived:
	// the job would run although its caller was told that it would not.
	Metrics metrics;
	size_t carried_out = 0;
	const uint16 port = FreePort();
	PeerQuery helper(
		{"127.0.0.1", port}, metrics,
		[&carried_out](const PeerQuestion &, const std::function<void(PeerAnswer)> &inReply)
		{
			++carried_out;
			PeerAnswer answer;
			answer.not_done = true;
			inReply(answer);
		},
		[](EPeerMessage, const std::string &) {});
	ASSERT_TRUE(helper.Open());
	const UdpSocket client;
	PeerQuestion question;
	question.kind = EQuestion::AppendInbox;
	question.nonce = 7;
	for (int i = 0; i < 3; ++i)
	{
		client.Send(port, 'Q' + EncodeValue(question));
		FakeLog::RunMainLoopFor(20);
	}
	EXPECT_EQ(carried_out, 1u);
	EXPECT_EQ(client.Receive(), 3u);
	// A query with another nonce is a new one
	question.nonce = 8;
	client.Send(port, 'Q' + EncodeValue(question));
	FakeLog::RunMainLoopFor(20);
	EXPECT_EQ(carried_out, 2u);
}

/// Guards against taking a collector that waits for a slow store for a dead one.
TEST(PeerQuery, AQuestionToAppendIsAcknowledgedAndEachRepeatToo)
{
	Metrics metrics;
	size_t handled = 0;
	const uint16 port = FreePort();
	PeerQuery collector(
		{"127.0.0.1", port}, metrics, [&handled](const PeerQuestion &, const std::function<void(PeerAnswer)> &) { ++handled; },
		[](EPeerMessage, const std::string &) {});
	ASSERT_TRUE(collector.Open());
	const UdpSocket client;
	PeerQuestion question;
	question.kind = EQuestion::AppendInbox;
	question.nonce = 7;
	for (int i = 0; i < 3; ++i)
	{
		client.Send(port, 'Q' + EncodeValue(question));
		FakeLog::RunMainLoopFor(60);
		EXPECT_EQ(client.Receive(), 1u);
	}
	EXPECT_EQ(handled, 1u);
}

/// Guards against waiting until the caller's deadline for a collector that was killed or frozen.
TEST(PeerQuery, ASilentHostIsGivenUpBeforeAndAfterItsAcknowledgement)
{
	Metrics metrics;
	const UdpSocket collector;
	PeerQuery asking(
		{"127.0.0.1", FreePort()}, metrics, [](const PeerQuestion &, const std::function<void(PeerAnswer)> &) {},
		[](EPeerMessage, const std::string &) {});
	ASSERT_TRUE(asking.Open());
	PeerQuestion question;
	question.kind = EQuestion::AppendInbox;
	std::optional<PeerAnswer> answer;
	bool done = false;
	const auto on_answer = [&answer, &done](const std::optional<PeerAnswer> &inAnswer)
	{
		answer = inAnswer;
		done = true;
	};
	asking.Ask({"127.0.0.1", collector.Port()}, question, 60000, on_answer, {.report_within_ms = 150, .silence_ms = 600});
	while (!done)
		g_main_context_iteration(nullptr, TRUE);
	EXPECT_FALSE(answer.has_value());
	EXPECT_GE(collector.Receive(), 2u);
	// Acknowledged once by a second host that stays silent afterwards
	done = false;
	size_t handled = 0;
	const uint16 port = FreePort();
	auto frozen = std::make_unique<PeerQuery>(
		Address{"127.0.0.1", port}, metrics, [&handled](const PeerQuestion &, const std::function<void(PeerAnswer)> &) { ++handled; },
		[](EPeerMessage, const std::string &) {});
	ASSERT_TRUE(frozen->Open());
	asking.Ask({"127.0.0.1", port}, question, 60000, on_answer, {.report_within_ms = 10000, .silence_ms = 600});
	FakeLog::RunMainLoopFor(60);
	frozen.reset();
	while (!done)
		g_main_context_iteration(nullptr, TRUE);
	EXPECT_EQ(handled, 1u);
	ASSERT_TRUE(answer.has_value());
	EXPECT_TRUE(answer->in_progress);
}

/// Guards against repeats that fill a link on which answers are late, and so delay them further: with one each 60 ms a question was sent
/// five times here.
TEST(PeerQuery, RepeatsNoOftenerThanAnswersTake)
{
	constexpr size_t cQuestions = 60;
	constexpr Millis cDelayMs = 250;
	Metrics metrics;
	DelayedHost host(cDelayMs);
	PeerQuery asking(
		{"127.0.0.1", FreePort()}, metrics, [](const PeerQuestion &, const std::function<void(PeerAnswer)> &) {},
		[](EPeerMessage, const std::string &) {});
	ASSERT_TRUE(asking.Open());
	size_t answered = 0;
	for (size_t i = 0; i < cQuestions; ++i)
	{
		asking.Ask(host.At(), {}, 700,
				   [&answered](const std::optional<PeerAnswer> &inAnswer) { answered += inAnswer.has_value() ? 1 : 0; });
		for (int step = 0; step < 4; ++step)
		{
			FakeLog::RunMainLoopFor(10);
			host.Step();
		}
	}
	for (Millis waited = 0; waited < 2 * cDelayMs; waited += 10)
	{
		FakeLog::RunMainLoopFor(10);
		host.Step();
	}
	EXPECT_EQ(answered, cQuestions);
	EXPECT_LE(host.received, 2 * cQuestions);
}

/// Guards against an owner that waits long for a lost datagram: on an idle link the repeat follows within the time of a short question.
TEST(PeerQuery, RepeatsALostQuestionSoonOnAnIdleLink)
{
	Metrics metrics;
	DelayedHost host(1);
	PeerQuery asking(
		{"127.0.0.1", FreePort()}, metrics, [](const PeerQuestion &, const std::function<void(PeerAnswer)> &) {},
		[](EPeerMessage, const std::string &) {});
	ASSERT_TRUE(asking.Open());
	const auto ignore = [](const std::optional<PeerAnswer> &) {};
	for (int i = 0; i < 10; ++i)
	{
		asking.Ask(host.At(), {}, 200, ignore);
		for (int step = 0; step < 2; ++step)
		{
			FakeLog::RunMainLoopFor(5);
			host.Step();
		}
	}
	host.received = 0;
	// Nothing answers from now on: every datagram counts as lost
	asking.Ask(host.At(), {}, 200, ignore);
	FakeLog::RunMainLoopFor(250);
	host.Step();
	EXPECT_GE(host.received, 3u);
}

/// Guards against a question that is sent once and lost with its datagram, because the host it goes to has just started and answered late.
TEST(PeerQuery, RepeatsAQuestionWithinItsTimeWhateverWasMeasured)
{
	constexpr Millis cLateMs = 400;
	Metrics metrics;
	DelayedHost host(cLateMs);
	PeerQuery asking(
		{"127.0.0.1", FreePort()}, metrics, [](const PeerQuestion &, const std::function<void(PeerAnswer)> &) {},
		[](EPeerMessage, const std::string &) {});
	ASSERT_TRUE(asking.Open());
	const auto ignore = [](const std::optional<PeerAnswer> &) {};
	asking.Ask(host.At(), {}, 1500, ignore);
	for (Millis waited = 0; waited < 2 * cLateMs; waited += 10)
	{
		FakeLog::RunMainLoopFor(10);
		host.Step();
	}
	host.received = 0;
	asking.Ask(host.At(), {}, 1500, ignore, {.report_within_ms = 150});
	FakeLog::RunMainLoopFor(200);
	host.Step();
	EXPECT_GE(host.received, 2u);
}

/// Guards against a pause of the process that is taken for a slow link for long.
TEST(RoundTrip, APauseIsSoonForgotten)
{
	RoundTrip round_trip;
	EXPECT_EQ(round_trip.RepeatAfterMs(), 60);
	for (int i = 0; i < 10; ++i)
		round_trip.OnMeasured(2);
	EXPECT_EQ(round_trip.RepeatAfterMs(), 60);
	round_trip.OnMeasured(4000);
	EXPECT_GT(round_trip.RepeatAfterMs(), 100);
	for (int i = 0; i < 20; ++i)
		round_trip.OnMeasured(2);
	EXPECT_EQ(round_trip.RepeatAfterMs(), 60);
}

TEST(PeerQuery, NotificationsReachTheirDestinations)
{
	Metrics metrics;
	std::vector<std::pair<EPeerMessage, std::string>> received;
	const auto no_answer = [](const PeerQuestion &, const std::function<void(PeerAnswer)> &) {};
	const uint16 port = FreePort();
	PeerQuery listener({"127.0.0.1", port}, metrics, no_answer,
					   [&received](EPeerMessage inKind, const std::string &inMessage) { received.emplace_back(inKind, inMessage); });
	ASSERT_TRUE(listener.Open());
	PeerQuery sender({"127.0.0.1", FreePort()}, metrics, no_answer, [](EPeerMessage, const std::string &) {});
	ASSERT_TRUE(sender.Open());
	// A destination on which nobody listens does not affect the other one
	sender.Notify({{"127.0.0.1", port}, {"127.0.0.1", FreePort()}}, EPeerMessage::Heartbeat, "news");
	sender.Notify({{"127.0.0.1", port}}, EPeerMessage::Ends, "ends");
	FakeLog::RunMainLoopFor(20);
	const std::vector<std::pair<EPeerMessage, std::string>> expected = {{EPeerMessage::Heartbeat, "news"}, {EPeerMessage::Ends, "ends"}};
	EXPECT_EQ(received, expected);
}

} // namespace Loomreach::Jobs
