// Calls to the metadata store over a slow link.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CannedServer.h>
#include <UnitTests/FakeLog.h>
#include <UnitTests/SlowTransferServer.h>
#include <platform/StoreClient.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs::Platform
{

static constexpr size_t cPartBytes = 4;
static constexpr Millis cPartIntervalMs = 100;

TEST(StoreClient, ReadsANewestPageThatTakesLongerThanACallWithoutProgress)
{
	// Guards against a cell that no host can claim, because its newest records take longer to arrive than the call may wait
	const std::string body = R"({"items":[{"privateKey":"a","value":"MQ==","offset":7}],"more":false,"end":8})";
	std::vector<std::string> parts;
	for (size_t at = 0; at < body.size(); at += cPartBytes)
		parts.push_back(body.substr(at, cPartBytes));
	const SlowTransferServer server(parts, body.size(), cPartIntervalMs);
	StoreClient store({"127.0.0.1", server.Port()});
	std::optional<NewestAnswer> answer;
	store.Newest({"keyed.cell", 0}, [&answer](const NewestAnswer &inAnswer) { answer = inAnswer; });
	FakeLog::RunMainLoopFor(3500);
	ASSERT_TRUE(answer.has_value());
	EXPECT_TRUE(answer->good);
	EXPECT_EQ(answer->end, 8u);
	ASSERT_EQ(answer->records.size(), 1u);
	EXPECT_EQ(answer->records[0].value, "1");
}

TEST(StoreClient, ReadsAnInboxThatTakesLongerThanACallWithoutProgress)
{
	// Guards against an inbox that is never read again, because what has gathered takes longer to arrive than the call may wait
	const std::string head(16, '\0');
	const std::string record = std::string("\0\0\0\4", 4) + "body";
	const std::vector<std::string> parts = {head, record, record, record, record, record, record, record};
	const SlowTransferServer server(parts, head.size() + 7 * record.size(), cPartIntervalMs);
	StoreClient store({"127.0.0.1", server.Port()});
	std::optional<ReadAnswer> answer;
	store.Read({"inbox", 0}, false, 5, 0, [&answer](const ReadAnswer &inAnswer) { answer = inAnswer; });
	FakeLog::RunMainLoopFor(2000);
	ASSERT_TRUE(answer.has_value());
	EXPECT_EQ(answer->result, ERead::Done);
	EXPECT_EQ(answer->records.size(), 7u);
	EXPECT_EQ(answer->next, 12u);
}

/// Guards against an append that is repeated for good, because its body takes longer on the link than the call may wait.
TEST(StoreClient, AnAppendMayTakeAsLongAsItsBytesTakeOnTheLink)
{
	constexpr size_t cBodyBytes = 100'000;
	constexpr Millis cAnswerMs = 400;
	for (const bool is_narrow : {true, false})
	{
		const CannedServer server({{R"({"offset":3,"end":4})", cAnswerMs}});
		LinkUsage link(is_narrow ? 2.0 : 1000.0);
		StoreClient store({"127.0.0.1", server.Port()}, &link);
		AppendCall call;
		call.log = {"keyed.cell", 0};
		call.keyed = true;
		call.records.push_back({"job", std::string(cBodyBytes, 'x'), 0});
		call.timeout_ms = cAnswerMs / 2;
		std::optional<AppendAnswer> answer;
		store.Append(call, [&answer](const AppendAnswer &inAnswer) { answer = inAnswer; });
		FakeLog::RunMainLoopFor(cAnswerMs + 200);
		ASSERT_TRUE(answer.has_value());
		EXPECT_EQ(answer->result, is_narrow ? EAppend::Done : EAppend::Unknown);
	}
}

} // namespace Loomreach::Jobs::Platform
