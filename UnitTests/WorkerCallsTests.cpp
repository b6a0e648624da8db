// How the answers of workers are read: which runs and run ends they list, and what a damaged or missing answer proves.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CannedServer.h>
#include <UnitTests/FakeLog.h>
#include <UnitTests/StallingServer.h>
#include <platform/WorkerCalls.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs::Platform
{

static constexpr Millis cNeverMs = 60000; ///< Longer than any call's timeout.

/// Results of polls of a worker that answers them with these bodies, in order.
static std::vector<OrderAnswer> PollWith(const std::vector<std::string> &inBodies)
{
	std::vector<CannedServer::Answer> canned;
	canned.reserve(inBodies.size());
	for (const std::string &body : inBodies)
		canned.push_back({body, 0});
	const CannedServer server(canned);
	WorkerCalls calls;
	std::vector<OrderAnswer> answers;
	for (size_t i = 0; i < inBodies.size(); ++i)
	{
		Order poll_order;
		poll_order.worker = "w";
		poll_order.address = {"127.0.0.1", server.Port()};
		calls.Send(poll_order, [&answers](const OrderAnswer &inAnswer) { answers.push_back(inAnswer); });
		FakeLog::RunMainLoopFor(60);
	}
	return answers;
}

TEST(PlatformWorkers, APollListsRunsAndEnds)
{
	const std::vector<OrderAnswer> answers =
		PollWith({R"({"clockMs":7,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00",41]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
				  R"({"clockMs":7,"running":[],"ended":[]})"});
	ASSERT_EQ(answers.size(), 2u);
	EXPECT_EQ(answers[0].result, EOrderResult::Done);
	ASSERT_EQ(answers[0].running.size(), 1u);
	ASSERT_EQ(answers[0].ended.size(), 1u);
	EXPECT_EQ(answers[0].ended[0].sequence, 58u);
	EXPECT_EQ(answers[1].result, EOrderResult::Done);
}

TEST(PlatformWorkers, APollTellsWhichIncarnationAnswers)
{
	const std::vector<OrderAnswer> answers =
		PollWith({R"({"clockMs":7,"born":1790000000123,"running":[],"ended":[]})", R"({"clockMs":7,"running":[],"ended":[]})"});
	ASSERT_EQ(answers.size(), 2u);
	EXPECT_EQ(answers[0].started_ms, 1790000000123);
	EXPECT_EQ(answers[1].started_ms, cStartTimeUnknown);
}

TEST(PlatformWorkers, AnIncompleteAnswerProvesNothing)
{
	// Guards against taking an answer to a poll without its lists, or with a row that can't be read, for one of a worker that runs nothing:
	// its tasks would be started again elsewhere.
	const std::vector<std::string> bodies = {"",
											 "{}",
											 "busy",
											 R"({"clockMs":7,"running":[]})",
											 R"({"clockMs":7,"ended":[]})",
											 R"({"clockMs":7,"running":null,"ended":[]})",
											 R"({"clockMs":7,"running":[["5c0e7a21d94b36f8.0.1.17",2]],"ended":[]})",
											 R"({"clockMs":7,"running":[["no task",2,"",41]],"ended":[]})",
											 R"({"clockMs":7,"running":[],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"vanished",""]]})"};
	const std::vector<OrderAnswer> answers = PollWith(bodies);
	ASSERT_EQ(answers.size(), bodies.size());
	// Either it counts as no answer, or it is marked as partial: runs that it does not list may exist
	for (size_t i = 0; i < bodies.size(); ++i)
		EXPECT_TRUE(answers[i].result == EOrderResult::Unknown || answers[i].partial) << bodies[i];
}

TEST(PlatformWorkers, AnEndedProcessIsToldFromAnUnresponsiveHost)
{
	// A host whose process has ended closes or refuses the connection; an unresponsive host sends nothing
	uint16 port = 0;
	{
		const CannedServer server({});
		port = server.Port();
	}
	const StallingServer stalled(cNeverMs, cNeverMs);
	std::map<uint16, OrderAnswer> answers;
	WorkerCalls calls;
	for (uint16 to : {port, stalled.Port()})
	{
		Order poll_order;
		poll_order.worker = "w";
		poll_order.address = {"127.0.0.1", to};
		calls.Send(poll_order, [&answers, to](const OrderAnswer &inAnswer) { answers[to] = inAnswer; });
	}
	FakeLog::RunMainLoopFor(1500);
	ASSERT_EQ(answers.size(), 2u);
	EXPECT_TRUE(answers.at(port).connection_closed);
	EXPECT_EQ(answers.at(port).result, EOrderResult::NotSent);
	EXPECT_FALSE(answers.at(stalled.Port()).connection_closed);
	EXPECT_EQ(answers.at(stalled.Port()).result, EOrderResult::Unknown);
}

} // namespace Loomreach::Jobs::Platform
