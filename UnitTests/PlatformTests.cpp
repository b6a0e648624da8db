// Decoding of the platform's messages: valid ones and damaged ones.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Settings/JobHostConfig.h>
#include <platform/StoreRecords.h>
#include <platform/WorkerCalls.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Loomreach::Jobs::Platform
{

TEST(PlatformStoreRecords, DecodesTheConfiguration)
{
	const std::string body = R"({"version":7,"routes":[{"name":"q","host":"h.example","pathPrefix":"/a/","service":"p","priority":1,
		"maxAttempts":2,"stretch":1.6,"targetLatencyMs":600,"advice":{"decide_ms":50,"each_ms":5,"valid_ms":3000}},
		{"name":"deep","host":"h.example","pathPrefix":"/a/b/","service":"s"}],
		"services":[{"name":"p","enforcesCapacity":true},{"name":"s","spare":true}],"unknown":1})";
	const std::optional<Catalogue> catalogue = DecodeCatalogue(body);
	ASSERT_TRUE(catalogue.has_value());
	EXPECT_EQ(catalogue->version, 7);
	EXPECT_EQ(catalogue->Find("h.example", "/a/x")->name, "q");
	EXPECT_EQ(catalogue->Find("h.example", "/a/b/x")->name, "deep");
	EXPECT_EQ(catalogue->Find("other.example", "/a/x"), nullptr);
	EXPECT_EQ(catalogue->queues[0].max_attempts, 2u);
	ASSERT_TRUE(catalogue->queues[0].advice.has_value());
	EXPECT_EQ(catalogue->queues[0].advice->per_worker_ms, 5);
	EXPECT_TRUE(catalogue->pools.at("p").enforces_capacity);
	EXPECT_TRUE(catalogue->pools.at("s").spare);
}

TEST(PlatformStoreRecords, RefusesDamagedConfigurations)
{
	for (const char *body : {"", "[]", "{}", "{\"routes\":3}", "\xff\xfe", "{\"version\":"})
		EXPECT_FALSE(DecodeCatalogue(body).has_value()) << body;
	// Fields of the wrong type count as missing
	const std::optional<Catalogue> changed = DecodeCatalogue(R"({"version":1,"routes":[3,{"name":4,"stretch":"x"}],"services":{}})");
	ASSERT_TRUE(changed.has_value());
	EXPECT_EQ(changed->queues.size(), 1u);
}

TEST(PlatformStoreRecords, DecodesAWorker)
{
	const std::optional<WorkerEntry> worker = DecodeWorker(
		"i-1", R"({"service":"p","address":"10.0.0.1:80","zone":"z","state":"draining","capacity":{"cpu":16000,"memMb":32768,"gpu":2},
		"labels":["a","r1-3"],"clockMs":4711,"machine":"m-1"})");
	ASSERT_TRUE(worker.has_value());
	EXPECT_EQ(worker->host, "m-1");
	EXPECT_EQ(worker->rack, "r1-3");
	EXPECT_EQ(worker->kind, "a");
	EXPECT_EQ(worker->capacity.accelerators, 2);
	EXPECT_EQ(worker->clock_ms, 4711);
	EXPECT_TRUE(worker->draining);
	EXPECT_FALSE(DecodeWorker("i-1", R"({"service":"p"})").has_value());
}

TEST(PlatformStoreRecords, ReadsTheStartTimeOfAnIncarnation)
{
	const std::string entry =
		R"({"service":"p","address":"10.0.0.1:80","zone":"z","state":"ready","labels":[],"capacity":{"cpu":1,"memMb":1})";
	EXPECT_EQ(DecodeWorker("i-1", entry + R"(,"born":1790000000123})")->started_ms, 1790000000123);
	EXPECT_EQ(DecodeWorker("i-1", entry + "}")->started_ms, cStartTimeUnknown);
}

/// Guards against a worker entry of another writer that makes tasks go to an address without a worker, or that hides the other entries.
TEST(PlatformStoreRecords, RefusesWorkerEntriesOfAnotherWriter)
{
	using Json = nlohmann::json;
	const Json sound = {{"service", "p"},
						{"address", "10.0.0.1:80"},
						{"zone", "z"},
						{"state", "ready"},
						{"capacity", {{"cpu", 16000}, {"memMb", 1024}}},
						{"labels", {"a"}},
						{"born", 1}};
	ASSERT_TRUE(DecodeWorker("i-1", sound.dump()).has_value());
	for (const char *field : {"service", "address", "zone", "state", "capacity", "labels"})
	{
		Json without = sound;
		without.erase(field);
		EXPECT_FALSE(DecodeWorker("i-1", without.dump()).has_value()) << "without " << field;
		for (const Json &other : {Json(3), Json(nullptr), Json::object(), Json("never heard of")})
		{
			Json changed = sound;
			changed[field] = other;
			// A pool's and a zone's name may be any text
			const bool any_text = std::string_view(field) == "service" || std::string_view(field) == "zone";
			EXPECT_EQ(DecodeWorker("i-1", changed.dump()).has_value(), any_text && other.is_string()) << field << ' ' << other;
		}
	}
	for (const Json &born : {Json(1.5), Json("1"), Json(nullptr)})
	{
		Json changed = sound;
		changed["born"] = born;
		EXPECT_FALSE(DecodeWorker("i-1", changed.dump()).has_value()) << born;
	}
	for (const char *body : {"", "[]", "\xff\xfe", "{\"service\":"})
		EXPECT_FALSE(DecodeWorker("i-1", body).has_value()) << body;
}

TEST(PlatformStoreRecords, DecodesAWave)
{
	const std::optional<MaintenanceWave> wave = DecodeWave("wave/3", R"({"wave":3,"machines":["m-1","m-2"],"withinS":20.5,"atMost":2})");
	ASSERT_TRUE(wave.has_value());
	EXPECT_EQ(wave->within_ms, 20500);
	EXPECT_EQ(wave->max_down, 2u);
	EXPECT_FALSE(DecodeWave("config", "{}").has_value());
	EXPECT_FALSE(DecodeWave("wave/3", "{}").has_value());
	EXPECT_EQ(EncodeWaveStatus(3, true).value, R"({"state":"completed","wave":3})");
}

/// Guards against closing or opening a zone by a record that cannot be decoded, or by one of another kind.
TEST(PlatformStoreRecords, DecodesAnOrderToEvacuate)
{
	const std::optional<ZoneOrder> order = DecodeZoneOrder("evacuate/hall-a", "{}");
	ASSERT_TRUE(order.has_value());
	EXPECT_EQ(order->availability_zone, "hall-a");
	EXPECT_TRUE(order->evacuate);
	EXPECT_FALSE(DecodeZoneOrder("evacuate/hall-a", "")->evacuate);
	EXPECT_FALSE(DecodeZoneOrder("evacuate/hall-a", "\xff[").has_value());
	EXPECT_FALSE(DecodeZoneOrder("evacuate/", "{}").has_value());
	EXPECT_FALSE(DecodeZoneOrder("config", "{}").has_value());
}

TEST(PlatformWorkers, ParsesTaskNames)
{
	const std::optional<TaskId> task = ParseTask("5c0e7a21d94b36f8.2.1.17");
	ASSERT_TRUE(task.has_value());
	EXPECT_EQ(task->job, "5c0e7a21d94b36f8");
	EXPECT_EQ(task->round, 2u);
	EXPECT_EQ(task->step, 1u);
	EXPECT_EQ(task->index, 17u);
	for (const char *text : {"", "a", "a.1", "a.1.2", "a.x.1.2"})
		EXPECT_FALSE(ParseTask(text).has_value()) << text;
}

/// A worker's answer to a poll that lists `inEnds` run ends.
static HttpResult PollAnswerWith(size_t inEnds)
{
	std::string rows;
	for (size_t number = 1; number <= inEnds; ++number)
		rows += (rows.empty() ? "[" : ",[") + std::to_string(number) + R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
	HttpResult result;
	result.status = 200;
	result.body = R"({"clockMs":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]],"ended":[)" + rows + "]}";
	return result;
}

TEST(PlatformWorkers, TellsWhenMoreEndsMayFollow)
{
	// A worker lists at most 500 ends at a time. Guards against taking a run for stopped that is in neither list of a full answer
	EXPECT_FALSE(AnswerOf(EOrder::Poll, PollAnswerWith(499)).partial);
	const OrderAnswer full = AnswerOf(EOrder::Poll, PollAnswerWith(500));
	EXPECT_TRUE(full.partial);
	EXPECT_EQ(full.ended.size(), 500u);
}

TEST(PlatformWorkers, AnAnswerWithoutItsListsProvesNothing)
{
	// Guards against taking such an answer for one of a worker on which nothing runs
	HttpResult result;
	result.status = 200;
	for (const char *body : {"", "{}", R"({"clockMs":5,"running":[]})", R"({"clockMs":5,"ended":[]})", R"({"clockMs":5,"running":[)"})
	{
		result.body = body;
		EXPECT_EQ(AnswerOf(EOrder::Poll, result).result, EOrderResult::Unknown) << body;
		EXPECT_EQ(AnswerOf(EOrder::Start, result).result, EOrderResult::Done) << body;
	}
	result.body = R"({"clockMs":5,"running":[],"ended":[]})";
	EXPECT_EQ(AnswerOf(EOrder::Poll, result).result, EOrderResult::Done);
	EXPECT_FALSE(AnswerOf(EOrder::Poll, result).partial);
}

TEST(PlatformWorkers, NoEndAfterADamagedOneIsRead)
{
	HttpResult result;
	result.status = 200;
	result.body = R"({"running":[],"ended":[[1,"a.0.0.0",1,"done",""],[2,"a.0.0.1",1,"vanished",""],[3,"a.0.0.2",1,"done",""]]})";
	const OrderAnswer answer = AnswerOf(EOrder::Poll, result);
	EXPECT_EQ(answer.ended.size(), 1u);
	EXPECT_TRUE(answer.partial);
	// Nor does a row that cannot be decoded mean that its run has stopped
	result.body = R"({"running":[["a.0.0",1,"",5],["a.0.0.1",1,"",5]],"ended":[]})";
	EXPECT_TRUE(AnswerOf(EOrder::Poll, result).partial);
}

TEST(JobHostConfig, ReadsWhatTheTemplateFills)
{
	const std::string text = R"(name = "n"
availability_zone = "z"
callers = "10.0.0.1:1"
ready = "10.0.0.1:2"
peers = "10.0.0.1:3"
store = "10.0.0.2:1"
log_parts = 8
machines = "10.0.0.2:2"
adviser = ""
worker_most_lease_ms = 10000
maintenance_s = 1.5
processor_share = 0.25
link_mbit_per_s = 2.0
)";
	const std::optional<JobHostConfig> config = ParseJobHostConfig(text, "f");
	ASSERT_TRUE(config.has_value()) << LastReasonText();
	EXPECT_EQ(config->processor_milli, 250);
	EXPECT_EQ(config->link_mbit_per_s, 2.0);
	EXPECT_EQ(config->maintenance_ms, 1500);
	// A host still starts where the platform grants shorter leases than the setting asks for
	const std::optional<JobHostConfig> brief = ParseJobHostConfig(text + "worker_lease_ms = 20000\n", "f");
	ASSERT_TRUE(brief.has_value());
	EXPECT_EQ(brief->worker_lease_ms, 10000);
	EXPECT_FALSE(config->adviser.has_value());
	EXPECT_FALSE(ParseJobHostConfig(text + "colour = 3\n", "f").has_value());
	EXPECT_NE(LastReasonText().find("unknown key 'colour'"), std::string::npos);
	EXPECT_FALSE(ParseJobHostConfig("name = \"n\"\n", "f").has_value());
	EXPECT_FALSE(ParseJobHostConfig(text + "owner_lease_ms = 500\nowner_slack_ms = 400\n", "f").has_value());
}

/// Guards against a bound of callers' requests that is not read, or that is accepted where it would refuse every request.
TEST(JobHostConfig, BoundsOfRequestsAreReadAndChecked)
{
	const std::string text = "name = \"n\"\navailability_zone = \"z\"\ncallers = \"10.0.0.1:1\"\nready = \"10.0.0.1:2\"\n"
							 "peers = \"10.0.0.1:3\"\nstore = \"10.0.0.2:1\"\n";
	const std::optional<JobHostConfig> usual = ParseJobHostConfig(text, "f");
	ASSERT_TRUE(usual.has_value()) << LastReasonText();
	EXPECT_EQ(usual->request_memory_kb, 32'768);
	EXPECT_EQ(usual->max_connections, 1500);
	EXPECT_EQ(usual->request_stall_ms, 20'000);
	EXPECT_EQ(usual->request_time_ms, 60'000);
	const std::optional<JobHostConfig> narrow = ParseJobHostConfig(text + "request_memory_kb = 4096\nmax_connections = 120\n"
																		  "request_stall_ms = 2000\nrequest_time_ms = 6000\n"
																		  "max_job_values = 2000\n",
																   "f");
	ASSERT_TRUE(narrow.has_value()) << LastReasonText();
	EXPECT_EQ(narrow->request_memory_kb, 4096);
	EXPECT_EQ(narrow->max_connections, 120);
	EXPECT_EQ(narrow->request_stall_ms, 2000);
	EXPECT_EQ(narrow->request_time_ms, 6000);
	EXPECT_EQ(narrow->max_job_values, 2000);
	for (const char *line : {"request_memory_kb = 0\n", "max_connections = 0\n", "request_stall_ms = 0\n", "request_time_ms = 0\n",
							 "max_job_values = 0\n", "max_connections = \"many\"\n"})
		EXPECT_FALSE(ParseJobHostConfig(text + line, "f").has_value()) << line;
}

/// The platform gives the time as a fraction. Guards against a host that does not start because of it.
TEST(JobHostConfig, TheTimeOfAnAppendMayBeAFraction)
{
	const std::string text = "name = \"n\"\navailability_zone = \"z\"\ncallers = \"10.0.0.1:1\"\nready = \"10.0.0.1:2\"\n"
							 "peers = \"10.0.0.1:3\"\nstore = \"10.0.0.2:1\"\n";
	EXPECT_EQ(ParseJobHostConfig(text, "f").value_or(JobHostConfig()).store_append_ms, 4.0);
	EXPECT_EQ(ParseJobHostConfig(text + "store_append_ms = 2.5\n", "f").value_or(JobHostConfig()).store_append_ms, 2.5);
	EXPECT_FALSE(ParseJobHostConfig(text + "store_append_ms = 0.0\n", "f").has_value());
}

} // namespace Loomreach::Jobs::Platform
