// Numbers from outside that no field can hold: the same on every machine, and out of reach of sums.

#include <Loomreach/Loomreach.h>

#include <platform/StoreRecords.h>
#include <platform/WorkerCalls.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs::Platform
{

/// A sound entry of a worker, with these fields of its capacity and of itself.
static std::string EntryWith(const std::string &inCapacity, const std::string &inFields = {})
{
	return R"({"service":"p","address":"10.0.0.1:80","zone":"z","state":"ready","labels":[],"capacity":{)" + inCapacity + "}" + inFields +
		   "}";
}

/// Guards against sums of capacities that overflow, and against a capacity that differs between kinds of machines.
TEST(PlatformStoreRecords, ACapacityThatNoHostHasIsRefused)
{
	EXPECT_TRUE(DecodeWorker("i-1", EntryWith(R"("cpu":16000,"memMb":1024)")).has_value());
	for (const char *amount : {"9223372036854775807", "18446744073709551615", "1e300", "-1", "1e18", "-1e300"})
		for (const char *field : {"cpu", "memMb", "gpu"})
		{
			std::string capacity = R"("cpu":1,"memMb":1)";
			capacity += std::string(R"(,")") + field + "\":" + amount;
			EXPECT_FALSE(DecodeWorker("i-1", EntryWith(capacity)).has_value()) << capacity;
		}
}

/// Guards against orders to an address that no worker can have.
TEST(PlatformStoreRecords, APortOutOfRangeIsRefused)
{
	const std::string entry = EntryWith(R"("cpu":1,"memMb":1)");
	const std::string address = "10.0.0.1:80";
	ASSERT_TRUE(DecodeWorker("i-1", entry).has_value());
	for (const char *port : {":0", ":-1", ":65536", ":70000", ":99999999999999999999", ":", ""})
	{
		std::string odd = entry;
		odd.replace(odd.find(address), address.size(), std::string("10.0.0.1") + port);
		EXPECT_FALSE(DecodeWorker("i-1", odd).has_value()) << odd;
	}
}

/// Guards against a header or an order that another writer's key breaks up, or that can't be written.
TEST(PlatformStoreRecords, AWorkersIdIsText)
{
	const std::string entry = EntryWith(R"("cpu":1,"memMb":1)");
	for (const std::string &id : {std::string(), std::string("\xff\xfe"), std::string("i-1\r\nHost: x"), std::string("i\0", 2)})
		EXPECT_FALSE(DecodeWorker(id, entry).has_value());
}

/// Guards against numbers that wrap around into others.
TEST(PlatformStoreRecords, NumbersOutOfRangeAreBounded)
{
	const std::optional<Catalogue> catalogue = DecodeCatalogue(
		R"({"version":1e300,"routes":[{"name":"q","priority":4294967296,"maxAttempts":4294967296,"stretch":1e300,"targetLatencyMs":1e300}]})");
	ASSERT_TRUE(catalogue.has_value());
	EXPECT_EQ(catalogue->version, INT64_MAX);
	EXPECT_EQ(catalogue->queues[0].priority, UINT32_MAX);
	EXPECT_EQ(catalogue->queues[0].max_attempts, UINT32_MAX);
	EXPECT_LE(catalogue->queues[0].stretch, 1e6);
	EXPECT_LE(catalogue->queues[0].target_ms, 1'000'000'000'000);
	const std::optional<MaintenanceWave> wave = DecodeWave("wave/1", R"({"wave":1,"machines":["m"],"withinS":1e300,"atMost":4294967296})");
	ASSERT_TRUE(wave.has_value());
	EXPECT_LE(wave->within_ms, 1'000'000'000'000);
	EXPECT_GT(wave->within_ms, 0);
	EXPECT_EQ(wave->max_down, UINT32_MAX);
}

/// Guards against a row whose numbers wrap around into those of another run or of another end.
TEST(PlatformWorkers, ARowWithNumbersOutOfRangeIsDamaged)
{
	HttpResult result;
	result.status = 200;
	for (const char *run : {"4294967297", "-1", "1e300", "18446744073709551617"})
	{
		result.body = std::string(R"({"running":[["a.0.0.0",)") + run + R"(,"",5]],"ended":[]})";
		EXPECT_TRUE(AnswerOf(EOrder::Poll, result).partial) << run;
		EXPECT_TRUE(AnswerOf(EOrder::Poll, result).running.empty()) << run;
		result.body = std::string(R"({"running":[],"ended":[[1,"a.0.0.0",)") + run + R"(,"done",""]]})";
		EXPECT_TRUE(AnswerOf(EOrder::Poll, result).partial) << run;
		EXPECT_TRUE(AnswerOf(EOrder::Poll, result).ended.empty()) << run;
	}
	result.body = R"({"running":[],"ended":[[-1,"a.0.0.0",1,"done",""]]})";
	EXPECT_TRUE(AnswerOf(EOrder::Poll, result).partial);
	result.body = R"({"clockMs":1e300,"running":[["a.0.0.0",1,"",1e300,-1e300]],"ended":[]})";
	const OrderAnswer answer = AnswerOf(EOrder::Poll, result);
	ASSERT_EQ(answer.running.size(), 1u);
	EXPECT_LE(answer.running[0].percent, 1'000'000'000'000);
	EXPECT_EQ(answer.running[0].measurement, 0);
	EXPECT_LE(answer.clock_ms, 1'000'000'000'000'000);
}

/// Guards against taking a damaged name for that of another task.
TEST(PlatformWorkers, ATaskNameHasNothingAfterItsIndex)
{
	for (const char *text : {"a.0.1.17x", "a.0.1.17.", "a.0.1.17.1", "a.0x1.17", "a.0.1"})
		EXPECT_FALSE(ParseTask(text).has_value()) << text;
}

} // namespace Loomreach::Jobs::Platform
