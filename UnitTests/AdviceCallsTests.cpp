// How the answers of the adviser are read: one that can't be read is no answer.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CannedServer.h>
#include <UnitTests/DeepJson.h>
#include <UnitTests/FakeLog.h>
#include <platform/AdviceCalls.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs::Platform
{

/// The adviser's answer about a worker, where the service sends this body; nothing if there was no call back.
static std::optional<AdviceAnswer> AskWith(const std::string &inBody, const std::string &inWorker = "w1")
{
	const CannedServer server({{inBody, 0}});
	AdviceCalls calls(Address{"127.0.0.1", server.Port()});
	std::optional<AdviceAnswer> answer;
	AdviceRequest request;
	request.job = "5c0e7a21d94b36f8";
	request.workers = {inWorker};
	calls.Ask(request, [&answer](const AdviceAnswer &inAnswer) { answer = inAnswer; });
	for (int i = 0; i < 100 && !answer.has_value(); ++i)
		FakeLog::RunMainLoopFor(20);
	return answer;
}

/// Guards against reading such an answer as one by which no worker may run the step.
TEST(PlatformAdvice, AnAnswerThatCannotBeReadIsNoAnswer)
{
	for (const std::string &body : {std::string("{}"), std::string("busy"), std::string(R"({"good":null})"), DeepObject(131'000)})
	{
		const std::optional<AdviceAnswer> answer = AskWith(body);
		ASSERT_TRUE(answer.has_value());
		EXPECT_FALSE(answer->answered) << body.substr(0, 40);
	}
	EXPECT_TRUE(AskWith(R"({"good":[]})")->answered);
	EXPECT_EQ(AskWith(R"({"good":[["w1","t"]]})")->tickets.at("w1"), "t");
}

/// Guards against an exception in a callback of the main loop, which ends the process: a key of the list of workers may be any bytes.
TEST(PlatformAdvice, AsksAboutAWorkerWhoseIdIsNotText) { EXPECT_TRUE(AskWith(R"({"good":[]})", "\xff\xfe")->answered); }

} // namespace Loomreach::Jobs::Platform
