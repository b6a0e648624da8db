// JSON texts from outside: odd ones end no process, whatever their depth and size, and sound ones are read as they are.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/BoundedJson.h>
#include <Loomreach/Core/Error.h>
#include <UnitTests/DeepJson.h>
#include <platform/StoreRecords.h>
#include <platform/WorkerCalls.h>

#include <gtest/gtest.h>

namespace Loomreach
{

using Json = nlohmann::json;

/// Guards against a parser that changes sound texts.
TEST(BoundedJson, ReadsWhatTheLibraryReads)
{
	for (const char *text : {"null", "true", "-3", "18446744073709551615", "1.5", "\"a\\u00e9\\n\"", "[]", "{}", "[1,[2,{\"a\":[]}],3]",
							 R"({"a":{"b":[1,2,{"c":null}],"d":"x"},"e":false,"a2":[[],[[]]]})", R"({"a":[1],"a":2})", " [ 1 ] "})
	{
		const std::optional<Json> parsed = ParseJson(text);
		ASSERT_TRUE(parsed.has_value()) << text;
		EXPECT_EQ(*parsed, Json::parse(text)) << text;
	}
	for (const char *text : {"", "{", "[1,]", "{\"a\":1", "1 2", "nul", "\"\xff\xfe\"", "1e400", "[1]]", "{1:2}"})
	{
		EXPECT_FALSE(ParseJson(text).has_value()) << text;
		EXPECT_EQ(LastReason().kind, EError::Corrupt) << text;
	}
}

/// Guards against texts whose depth, number of values or bytes are not bounded while they are read.
TEST(BoundedJson, RefusesWhatIsTooDeepOrTooLarge)
{
	JsonLimits limits;
	EXPECT_TRUE(ParseJson(DeepArray(limits.max_depth)).has_value());
	EXPECT_FALSE(ParseJson(DeepArray(limits.max_depth + 1)).has_value());
	EXPECT_EQ(LastReason().kind, EError::Corrupt);
	EXPECT_FALSE(ParseJson(DeepArray(4'000'000)).has_value());
	EXPECT_FALSE(ParseJson(std::string(1'000'000, '[')).has_value());
	limits.max_values = 4;
	EXPECT_TRUE(ParseJson("[1,2,3]", limits).has_value());
	EXPECT_FALSE(ParseJson("[1,2,3,4]", limits).has_value());
	EXPECT_EQ(LastReason().kind, EError::TooLarge);
	limits.max_bytes = 6;
	EXPECT_FALSE(ParseJson("[1,2,3]", limits).has_value());
	EXPECT_EQ(LastReason().kind, EError::TooLarge);
}

/// Guards against an exception, which ends the process, where a text has bytes that are not UTF-8.
TEST(BoundedJson, WritesAnyBytes) { EXPECT_EQ(DumpJson(Json{{"a", "\xff"}}), "{\"a\":\"\xEF\xBF\xBD\"}"); }

namespace Jobs::Platform
{

/// Guards against a record of another writer, as deep as the store takes, that ends every entry host that reads it.
TEST(PlatformStoreRecords, ADeepRecordIsRefused)
{
	const std::string deep = DeepObject(131'000);
	EXPECT_FALSE(DecodeWorker("i-1", deep).has_value());
	EXPECT_FALSE(DecodeCatalogue(deep).has_value());
	EXPECT_FALSE(DecodeWave("wave/1", deep).has_value());
	EXPECT_FALSE(DecodeZoneOrder("evacuate/z", deep).has_value());
}

/// Guards against a worker's answer that ends the entry host that asked.
TEST(PlatformWorkers, ADeepAnswerProvesNothing)
{
	HttpResult result;
	result.status = 200;
	result.body = DeepObject(2'000'000);
	EXPECT_EQ(AnswerOf(EOrder::Poll, result).result, EOrderResult::Unknown);
}

} // namespace Jobs::Platform

} // namespace Loomreach
