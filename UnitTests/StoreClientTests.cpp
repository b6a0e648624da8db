// Calls to the metadata store over a slow link.

#include <Loomreach/Loomreach.h>

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

} // namespace Loomreach::Jobs::Platform
