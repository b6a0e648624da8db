// What the listener for callers lets in: bodies and ids that no job can have end at the door.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Ownership/RecordLimit.h>
#include <Loomreach/Platform/HttpClient.h>
#include <UnitTests/FakeLog.h>
#include <platform/Ingress.h>

#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs::Platform
{

namespace
{

/// Accepts every call and notes it.
class AcceptingCalls final : public JobCalls
{
public:
	std::optional<Admission> Admit(std::string_view, std::string_view, std::string_view, EError &) override
	{
		Admission admission;
		admission.queue.prefix = "/jobs/";
		return admission;
	}
	void Submit(const JobCall &inCall, JobSpec inSpec, JobReply inReply) override
	{
		this->payloads.push_back(inSpec.payload);
		this->Note("submit " + inCall.id, inReply);
	}
	void Show(const JobCall &inCall, JobReply inReply) override { this->Note("show " + inCall.id, inReply); }
	void Cancel(const JobCall &inCall, JobReply inReply) override { this->Note("cancel " + inCall.id, inReply); }
	void Count(const JobCall &, JobReply inReply) override { this->Note("count", inReply); }
	bool IsReady() override { return true; }
	std::string MetricsText() override { return {}; }

	std::vector<std::string> noted;
	std::vector<std::string> payloads;

private:
	void Note(std::string inWhat, const JobReply &inReply)
	{
		this->noted.push_back(std::move(inWhat));
		inReply(JobOutcome{});
	}
};

/// A port that was free a moment ago.
uint16 FreePort()
{
	const int probe = socket(AF_INET, SOCK_STREAM, 0);
	sockaddr_in own{};
	own.sin_family = AF_INET;
	own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	socklen_t size = sizeof own;
	EXPECT_EQ(bind(probe, reinterpret_cast<sockaddr *>(&own), sizeof own), 0);
	getsockname(probe, reinterpret_cast<sockaddr *>(&own), &size);
	close(probe);
	return ntohs(own.sin_port);
}

/// A listener for callers, and calls to it.
class Door : public testing::Test
{
protected:
	void SetUp() override { ASSERT_TRUE(this->ingress.Open(this->callers, {"127.0.0.1", FreePort()}, 0)) << LastReasonText(); }

	/// Status of a call; 0: none.
	uint32 StatusOf(const std::string &inMethod, const std::string &inPath, std::string inBody = {})
	{
		HttpClient client;
		HttpCall call;
		call.method = inMethod;
		call.to = this->callers;
		call.path = inPath;
		call.body = std::move(inBody);
		call.timeout_ms = 10000;
		std::optional<uint32> status;
		client.Start(call, [&status](const HttpResult &inResult) { status = inResult.status; });
		for (int i = 0; i < 1000 && !status.has_value(); ++i)
			FakeLog::RunMainLoopFor(20);
		return status.value_or(0);
	}

	/// How much of an endless body the listener takes before it closes the connection.
	size_t TakenOfEndlessBody(const std::string &inHead, size_t inMostBytes)
	{
		const int connection = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		sockaddr_in to{};
		to.sin_family = AF_INET;
		to.sin_port = htons(this->callers.port);
		to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		const int connected = connect(connection, reinterpret_cast<sockaddr *>(&to), sizeof to);
		EXPECT_TRUE(connected == 0 || errno == EINPROGRESS);
		std::string unsent = inHead;
		size_t taken = 0;
		const std::string chunk = "10000\r\n" + std::string(0x10000, ' ') + "\r\n";
		for (int idle = 0; idle < 100 && taken < inMostBytes;)
		{
			const ssize_t sent = send(connection, unsent.data(), unsent.size(), MSG_NOSIGNAL);
			if (sent < 0 && errno != EAGAIN && errno != ENOTCONN)
				break;
			idle = sent > 0 ? 0 : idle + 1;
			taken += sent > 0 ? static_cast<size_t>(sent) : 0;
			unsent.erase(0, sent > 0 ? static_cast<size_t>(sent) : 0);
			if (unsent.empty())
				unsent = chunk;
			FakeLog::RunMainLoopFor(sent > 0 ? 1 : 20);
		}
		close(connection);
		return taken;
	}

	AcceptingCalls calls;
	Address callers{"127.0.0.1", FreePort()};
	Ingress ingress{this->calls};
};

const std::string cStep = R"({"count":1,"cpu":1,"memMb":1})";
const std::string cId = "5c0e7a21d94b36f8";

/// A job whose payload has this many bytes.
std::string JobWith(size_t inPayloadBytes) { return R"({"spec":")" + std::string(inPayloadBytes, 'x') + R"(","steps":[)" + cStep + "]}"; }

} // namespace

/// Guards against keeping a body of any length, and against one that no record can hold and that its cell would append for ever.
TEST_F(Door, ABodyThatIsTooLongIsRefused)
{
	EXPECT_EQ(StatusOf("POST", "/jobs/" + cId, JobWith(4000)), 200u);
	EXPECT_EQ(StatusOf("POST", "/jobs/" + cId, JobWith(cMaxRecordBytes)), 413u);
	EXPECT_EQ(StatusOf("POST", "/jobs/" + cId, JobWith(5'000'000)), 413u);
	EXPECT_EQ(this->calls.noted.size(), 1u);
}

/// Guards against a body without an end, which would fill the memory.
TEST_F(Door, ABodyWithoutAnEndIsCutOff)
{
	const std::string head = "POST /jobs/" + cId + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
	EXPECT_LT(TakenOfEndlessBody(head, 96U << 20), 64U << 20);
}

/// Guards against a job whose record is too long for the store from the start: its cell would try to append it for ever.
TEST_F(Door, AJobWhoseRecordIsTooLongIsRefused)
{
	const auto job = [](uint32 inTasks)
	{ return R"({"spec":"s","steps":[{"count":)" + std::to_string(inTasks) + R"(,"cpu":1,"memMb":1}]})"; };
	EXPECT_EQ(StatusOf("POST", "/jobs/" + cId, job(8000)), 200u);
	EXPECT_EQ(StatusOf("POST", "/jobs/" + cId, job(9500)), 413u);
	EXPECT_EQ(StatusOf("POST", "/jobs/" + cId, R"({"spec":"s","times":1000,"intervalMs":10,"steps":[{"count":32,"cpu":1}]})"), 413u);
	// Each entry takes two bytes of the body and four of the record
	std::string after = "0";
	for (int i = 0; i < 70'000; ++i)
		after += ",0";
	EXPECT_EQ(StatusOf("POST", "/jobs/" + cId, R"({"spec":"s","steps":[)" + cStep + R"(,{"count":1,"dependsOn":[)" + after + "]}]}"), 413u);
}

/// Guards against ids that the orders to workers can't carry as they are: the owner and the worker would mean different tasks.
TEST_F(Door, AnIdThatIsNone)
{
	const std::string job = JobWith(1);
	for (const std::string id :
		 {"%ff%fe1", "5c0e7a21d94b36f", "5c0e7a21d94b36f8a", "5c0e7a21d94b36fg", "5c0e7a21.94b36f8", "5c0e7a21d94b36f8/"})
		for (const char *method : {"POST", "GET", "DELETE"})
			EXPECT_EQ(StatusOf(method, "/jobs/" + id, std::string_view(method) == "POST" ? job : ""), 400u) << method << ' ' << id;
	EXPECT_EQ(StatusOf("DELETE", "/jobs/"), 400u);
	EXPECT_TRUE(this->calls.noted.empty());
	EXPECT_EQ(StatusOf("GET", "/jobs/"), 200u);
	for (const char *method : {"POST", "GET", "DELETE"})
		EXPECT_EQ(StatusOf(method, "/jobs/5C0e7a21d94b36f8", std::string_view(method) == "POST" ? job : ""), 200u);
}

/// Guards against a payload that reaches its tasks with other bytes than its caller sent.
TEST_F(Door, APayloadThatIsNotTextIsRefused)
{
	const auto job = [](const std::string &inPayload) { return R"({"spec":")" + inPayload + R"(","steps":[)" + cStep + "]}"; };
	for (const std::string payload : {"\xff\xfe", "a\xc3", "\\ud800", "\xed\xa0\x80"})
		EXPECT_EQ(StatusOf("POST", "/jobs/" + cId, job(payload)), 400u);
	EXPECT_EQ(StatusOf("POST", "/jobs/" + cId, job("\xc3\xa9\\u0000")), 200u);
	EXPECT_EQ(this->calls.payloads, std::vector<std::string>{std::string("\xc3\xa9\0", 3)});
}

} // namespace Loomreach::Jobs::Platform
