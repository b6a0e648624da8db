// Callers that misbehave at a listener: what they can make the process hold, and for how long.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Settings/DaemonConfig.h>
#include <UnitTests/FakeLog.h>
#include <platform/Ingress.h>

#include <arpa/inet.h>
#include <dirent.h>
#include <malloc.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs::Platform
{

namespace
{

/// Accepts every call and answers it at once.
class PromptCalls final : public JobCalls
{
public:
	std::optional<Admission> Admit(std::string_view, std::string_view, std::string_view, EError &outError) override
	{
		outError = EError::NoSuchService;
		if (!this->admits)
			return std::nullopt;
		Admission admission;
		admission.queue.prefix = "/jobs/";
		return admission;
	}
	void Submit(const JobCall &, JobSpec inSpec, JobReply inReply) override
	{
		this->payload_bytes.push_back(inSpec.payload.size());
		inReply(JobOutcome{});
	}
	void Show(const JobCall &, JobReply inReply) override { this->Answer(std::move(inReply)); }
	void Cancel(const JobCall &, JobReply inReply) override { inReply(JobOutcome{}); }
	void Count(const JobCall &, JobReply inReply) override { this->Answer(std::move(inReply)); }
	bool IsReady() override { return true; }
	std::string MetricsText() override { return {}; }

	bool admits = true;
	Millis answer_after_ms = 0;
	bool answers = true;
	std::vector<size_t> payload_bytes;
	std::vector<JobReply> unanswered; ///< Of calls that came while `answers` was false.

private:
	void Answer(JobReply inReply)
	{
		if (!this->answers)
			return this->unanswered.push_back(std::move(inReply));
		if (this->answer_after_ms == 0)
			return inReply(JobOutcome{});
		After(this->answer_after_ms, [reply = std::move(inReply)] { reply(JobOutcome{}); });
	}
};

/// A connection of a caller that reads only when it is told to.
class RawCaller
{
public:
	explicit RawCaller(uint16 inPort, int inReceiveBytes = 0) : connection(socket(AF_INET, SOCK_STREAM, 0))
	{
		if (inReceiveBytes > 0)
			setsockopt(this->connection, SOL_SOCKET, SO_RCVBUF, &inReceiveBytes, sizeof inReceiveBytes);
		sockaddr_in to{};
		to.sin_family = AF_INET;
		to.sin_port = htons(inPort);
		to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(connect(this->connection, reinterpret_cast<sockaddr *>(&to), sizeof to), 0);
	}
	~RawCaller() { this->Close(); }
	RawCaller(const RawCaller &) = delete;
	RawCaller &operator=(const RawCaller &) = delete;

	/// Sends all bytes while the listener runs; false if the connection has been closed by the listener.
	bool Send(std::string_view inBytes)
	{
		for (int idle = 0; !inBytes.empty() && idle < 500;)
		{
			const ssize_t sent = send(this->connection, inBytes.data(), inBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
			if (sent < 0 && errno != EAGAIN)
				return false;
			inBytes.remove_prefix(sent > 0 ? static_cast<size_t>(sent) : 0);
			idle = sent > 0 ? 0 : idle + 1;
			FakeLog::RunMainLoopFor(sent > 0 ? 1 : 10);
		}
		return inBytes.empty();
	}
	/// What has arrived within a time; stops at the end of the connection, or once a text has arrived.
	std::string Read(Millis inMillis, std::string_view inUntil = {})
	{
		std::string text;
		std::array<char, 4096> part{};
		for (Millis waited = 0; waited < inMillis; waited += 10)
		{
			const ssize_t count = recv(this->connection, part.data(), part.size(), MSG_DONTWAIT);
			this->ended = this->ended || count == 0 || (count < 0 && errno != EAGAIN);
			if (this->ended)
				break;
			text.append(part.data(), count > 0 ? static_cast<size_t>(count) : 0);
			if (!inUntil.empty() && text.find(inUntil) != std::string::npos)
				break;
			FakeLog::RunMainLoopFor(10);
		}
		return text;
	}
	/// Whether the listener has ended the connection, as far as Read has seen.
	bool Ended() const { return this->ended; }
	/// Makes the connection end with a reset.
	void Reset()
	{
		const linger at_once{1, 0};
		setsockopt(this->connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
	}
	void Close()
	{
		if (this->connection >= 0)
			close(this->connection);
		this->connection = -1;
	}

private:
	int connection;
	bool ended = false;
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

/// Number of descriptors that this process has open.
size_t OpenDescriptors()
{
	size_t count = 0;
	DIR *folder = opendir("/proc/self/fd");
	while (readdir(folder) != nullptr)
		++count;
	closedir(folder);
	return count;
}

/// Bytes on the heap that are in use.
size_t HeapBytes()
{
	const struct mallinfo2 info = mallinfo2();
	return info.uordblks + info.hblkhd;
}

const std::string cId = "5c0e7a21d94b36f8";
const std::string cHead = " HTTP/1.1\r\nHost: h\r\n";
const std::string cChunkedPost = "POST /jobs/" + cId + cHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string cShow = "GET /jobs/" + cId + cHead + "\r\n";

/// The head of a submission with a body of this many bytes.
std::string PostOf(size_t inBodyBytes, const std::string &inPath = "/jobs/" + cId)
{
	return "POST " + inPath + cHead + "Content-Length: " + std::to_string(inBodyBytes) + "\r\n\r\n";
}

/// A job whose payload has this many bytes.
std::string JobWith(size_t inPayloadBytes)
{
	return R"({"spec":")" + std::string(inPayloadBytes, 'x') + R"(","steps":[{"count":1,"cpu":1,"memMb":1}]})";
}

/// A text as a chunked body.
std::string InChunks(const std::string &inText, size_t inChunkBytes)
{
	std::ostringstream chunks;
	chunks << std::hex;
	for (size_t at = 0; at < inText.size(); at += inChunkBytes)
	{
		const std::string part = inText.substr(at, inChunkBytes);
		chunks << part.size() << "\r\n" << part << "\r\n";
	}
	return chunks.str() + "0\r\n\r\n";
}

/// Listeners for callers, readiness checks and metrics.
class ListenerLimits : public testing::Test
{
protected:
	void Open(const ConnectionLimits &inLimits = {})
	{
		ASSERT_TRUE(this->ingress.Open(this->callers, this->ready, this->metrics_port, inLimits)) << LastReasonText();
	}
	std::unique_ptr<RawCaller> Connect(int inReceiveBytes = 0) const
	{
		return std::make_unique<RawCaller>(this->callers.port, inReceiveBytes);
	}
	/// Callers that each send the same bytes and then nothing more.
	std::vector<std::unique_ptr<RawCaller>> Crowd(size_t inCount, const std::string &inBytes, int inReceiveBytes = 0) const
	{
		std::vector<std::unique_ptr<RawCaller>> crowd;
		for (size_t i = 0; i < inCount; ++i)
		{
			crowd.push_back(this->Connect(inReceiveBytes));
			crowd.back()->Send(inBytes);
		}
		return crowd;
	}
	/// What a caller gets that behaves.
	std::string Ask(const std::string &inBytes) const
	{
		const std::unique_ptr<RawCaller> caller = this->Connect();
		caller->Send(inBytes);
		return caller->Read(1000, "}");
	}

	PromptCalls calls;
	Address callers{"127.0.0.1", FreePort()};
	Address ready{"127.0.0.1", FreePort()};
	uint16 metrics_port = FreePort();
	Ingress ingress{this->calls};
};

} // namespace

/// Guards against a body in chunks of one byte that takes hundreds of times its bytes.
TEST_F(ListenerLimits, ABodyInChunksOfOneByteIsNotKeptChunkByChunk)
{
	Open();
	const std::unique_ptr<RawCaller> caller = Connect();
	ASSERT_TRUE(caller->Send(cChunkedPost));
	FakeLog::RunMainLoopFor(50);
	const size_t before = HeapBytes();
	std::string chunks;
	for (int i = 0; i < 20'000; ++i)
		chunks += "1\r\nx\r\n";
	caller->Send(chunks);
	FakeLog::RunMainLoopFor(300);
	EXPECT_LT(HeapBytes(), before + 400'000);
}

/// Guards against work without an end for chunks that are far smaller than their frames, and against a refusal that its caller can't read.
TEST_F(ListenerLimits, ABodyInVeryManyVerySmallChunksIsRefusedAtOnce)
{
	Open();
	const std::unique_ptr<RawCaller> caller = Connect();
	caller->Send(cChunkedPost + InChunks(std::string(2000, 'x'), 1).substr(0, size_t{6} * 1900));
	const std::string answer = caller->Read(3000);
	EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << answer;
	EXPECT_NE(answer.find("Loomreach-Outcome: not-run"), std::string::npos) << answer;
	EXPECT_TRUE(caller->Ended());
	EXPECT_TRUE(this->calls.payload_bytes.empty());
}

/// Guards against refusing legal bodies: the largest job in ordinary chunks, and a small one byte by byte.
TEST_F(ListenerLimits, ABodyInOrdinaryChunksIsTakenWhole)
{
	Open();
	constexpr size_t cPayload = 250'000;
	EXPECT_TRUE(Ask(cChunkedPost + InChunks(JobWith(cPayload), 1000)).starts_with("HTTP/1.1 200 "));
	EXPECT_TRUE(Ask(cChunkedPost + InChunks(JobWith(100), 1)).starts_with("HTTP/1.1 200 "));
	EXPECT_EQ(this->calls.payload_bytes, (std::vector<size_t>{cPayload, 100}));
}

/// Guards against descriptors that stay open after callers with requests ahead of unread answers have gone.
TEST_F(ListenerLimits, CallersThatHaveGoneLeaveNoDescriptors)
{
	Open();
	const size_t before = OpenDescriptors();
	this->calls.answer_after_ms = 20;
	std::string ahead;
	for (int i = 0; i < 50; ++i)
		ahead += cShow;
	std::vector<std::unique_ptr<RawCaller>> crowd = Crowd(20, ahead, 1);
	FakeLog::RunMainLoopFor(300);
	crowd.clear();
	FakeLog::RunMainLoopFor(3000);
	EXPECT_LE(OpenDescriptors(), before);
}

/// Guards against descriptors that stay open while requests are served whose callers have gone: libsoup looks at no connection meanwhile.
TEST_F(ListenerLimits, CallersThatHaveGoneWhileTheyAreServedLeaveNoDescriptors)
{
	Open();
	const size_t before = OpenDescriptors();
	this->calls.answers = false;
	std::vector<std::unique_ptr<RawCaller>> crowd = Crowd(20, cShow + cShow);
	FakeLog::RunMainLoopFor(100);
	for (const auto &caller : crowd)
		caller->Reset();
	crowd.clear();
	FakeLog::RunMainLoopFor(3000);
	EXPECT_LE(OpenDescriptors(), before);
	for (const JobReply &reply : this->calls.unanswered)
		reply(JobOutcome{});
	FakeLog::RunMainLoopFor(50);
}

/// Guards against a connection that is closed between two requests of a caller that behaves.
TEST_F(ListenerLimits, AConnectionThatWaitsBetweenRequestsStaysOpen)
{
	Open({.stall_ms = 100, .request_time_ms = 200});
	const std::unique_ptr<RawCaller> caller = Connect();
	FakeLog::RunMainLoopFor(500);
	for (int i = 0; i < 3; ++i)
	{
		caller->Send(cShow);
		EXPECT_TRUE(caller->Read(1000, "}").starts_with("HTTP/1.1 200 "));
		FakeLog::RunMainLoopFor(500);
	}
	EXPECT_FALSE(caller->Ended());
}

/// Guards against requests that are served slowly, by fault of the process itself, being taken for stalled ones.
TEST_F(ListenerLimits, ARequestThatIsServedForLongIsNotStalled)
{
	Open({.stall_ms = 100, .request_time_ms = 200});
	this->calls.answer_after_ms = 1500;
	const std::unique_ptr<RawCaller> caller = Connect();
	caller->Send(cShow);
	EXPECT_TRUE(caller->Read(4000, "}").starts_with("HTTP/1.1 200 "));
}

/// Guards against unfinished bodies that together fill the memory while each is within its limit.
TEST_F(ListenerLimits, UnfinishedBodiesTogetherStayWithinTheirMemory)
{
	Open({.max_request_bytes = 2'000'000});
	const size_t before = HeapBytes();
	const std::vector<std::unique_ptr<RawCaller>> crowd = Crowd(30, PostOf(500'000) + std::string(300'000, 'x'));
	FakeLog::RunMainLoopFor(200);
	EXPECT_LT(HeapBytes(), before + 4'000'000);
}

/// Guards against a crowd of stalled bodies that keeps out callers that behave: the stalled ones go first.
TEST_F(ListenerLimits, AStalledBodyGivesWayToACallerThatBehaves)
{
	Open({.max_request_bytes = 1'000'000});
	const std::vector<std::unique_ptr<RawCaller>> crowd = Crowd(3, PostOf(500'000) + std::string(240'000, 'x'));
	FakeLog::RunMainLoopFor(1500);
	const std::string body = JobWith(250'000);
	EXPECT_TRUE(Ask(PostOf(body.size()) + body).starts_with("HTTP/1.1 200 "));
	size_t ended = 0;
	for (const auto &caller : crowd)
	{
		caller->Read(20);
		ended += caller->Ended() ? 1 : 0;
	}
	EXPECT_GE(ended, 1u);
	EXPECT_LT(ended, 3u);
}

/// Guards against a refusal for lack of memory that says nothing of its outcome, or not when to come back.
TEST_F(ListenerLimits, ABodyForWhichThereIsNoRoomIsRefusedAsNotRun)
{
	Open({.max_request_bytes = 100'000});
	const std::string body = JobWith(200'000);
	const std::string answer = Ask(PostOf(body.size()) + body);
	EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
	EXPECT_NE(answer.find("Loomreach-Outcome: not-run"), std::string::npos) << answer;
	EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
	EXPECT_TRUE(this->calls.payload_bytes.empty());
}

/// Guards against heads that never end and fill the memory: they count like bodies.
TEST_F(ListenerLimits, UnfinishedHeadsCountAsMemory)
{
	Open({.max_request_bytes = 200'000});
	const std::vector<std::unique_ptr<RawCaller>> crowd = Crowd(10, "GET /jobs/x" + cHead + "A: " + std::string(60'000, 'x'));
	size_t ended = 0;
	for (const auto &caller : crowd)
	{
		caller->Read(50);
		ended += caller->Ended() ? 1 : 0;
	}
	EXPECT_GE(ended, 6u);
}

/// Guards against bodies that are taken in though their request has no route.
TEST_F(ListenerLimits, ARequestWithoutARouteIsRefusedBeforeItsBody)
{
	Open();
	this->calls.admits = false;
	const std::unique_ptr<RawCaller> caller = Connect();
	caller->Send(PostOf(400'000, "/nowhere/x"));
	const std::string answer = caller->Read(1000, "}");
	EXPECT_TRUE(answer.starts_with("HTTP/1.1 404 ")) << answer;
	EXPECT_NE(answer.find("Loomreach-Outcome: not-run"), std::string::npos) << answer;
	EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
}

/// Guards against bodies that are taken in at the addresses for readiness checks and metrics.
TEST_F(ListenerLimits, ABodyAtTheReadyOrMetricsAddressIsRefusedBeforeItArrives)
{
	Open();
	for (const auto &[port, path] : {std::pair(this->ready.port, "/ready"), std::pair(this->metrics_port, "/metrics")})
	{
		RawCaller caller(port);
		caller.Send(PostOf(400'000, path));
		const std::string answer = caller.Read(1000, "}");
		EXPECT_TRUE(answer.starts_with("HTTP/1.1 413 ")) << answer;
		EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
	}
}

/// Guards against idle connections that take all that may be open, so that no other caller gets in.
TEST_F(ListenerLimits, ANewCallerGetsInWhenAsManyConnectionsAreOpenAsMayBe)
{
	Open({.max_connections = 10});
	const size_t before = OpenDescriptors();
	const std::vector<std::unique_ptr<RawCaller>> crowd = Crowd(30, "");
	EXPECT_TRUE(Ask(cShow).starts_with("HTTP/1.1 200 "));
	// One at each end, and ten at the listener's
	EXPECT_LE(OpenDescriptors(), before + 30 + 10);
}

/// Guards against closing an idle connection of a caller that behaves where a stalled one could go.
TEST_F(ListenerLimits, AStalledConnectionGoesBeforeAnIdleOne)
{
	Open({.max_connections = 5});
	const std::unique_ptr<RawCaller> idle = Connect();
	idle->Send(cShow);
	ASSERT_TRUE(idle->Read(1000, "}").starts_with("HTTP/1.1 200 "));
	const std::vector<std::unique_ptr<RawCaller>> crowd = Crowd(4, "GET /jobs/");
	FakeLog::RunMainLoopFor(1500);
	EXPECT_TRUE(Ask(cShow).starts_with("HTTP/1.1 200 "));
	idle->Send(cShow);
	EXPECT_TRUE(idle->Read(1000, "}").starts_with("HTTP/1.1 200 "));
}

/// Guards against a listener that stops accepting for good once the process has run out of descriptors.
TEST_F(ListenerLimits, TheListenerAcceptsAgainAfterAllDescriptorsWereInUse)
{
	Open();
	rlimit limit{};
	ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
	std::vector<std::unique_ptr<RawCaller>> crowd(10);
	for (std::unique_ptr<RawCaller> &caller : crowd)
		caller = Connect();
	// No descriptor above the crowd's own is left for the listener
	const int next = dup(0);
	close(next);
	const rlimit lowered{static_cast<rlim_t>(next), limit.rlim_max};
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &lowered), 0);
	FakeLog::RunMainLoopFor(500);
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
	crowd.clear();
	EXPECT_TRUE(Ask(cShow).starts_with("HTTP/1.1 200 "));
}

/// Guards against heads and bodies that stop half-way and hold their connection for ever.
TEST_F(ListenerLimits, AStalledHeadOrBodyLosesItsConnection)
{
	Open({.stall_ms = 200});
	for (const std::string &part : {std::string("GET /jobs/"), PostOf(5000) + "xxx", cChunkedPost + "5\r\nxx"})
	{
		const std::unique_ptr<RawCaller> caller = Connect();
		caller->Send(part);
		caller->Read(3000);
		EXPECT_TRUE(caller->Ended()) << part;
	}
}

/// Guards against answers that wait for ever for a caller that doesn't read.
TEST_F(ListenerLimits, AnAnswerThatIsNotReadLosesItsConnection)
{
	Open({.stall_ms = 200});
	const size_t before = OpenDescriptors();
	std::string ahead;
	for (int i = 0; i < 20'000; ++i)
		ahead += cShow;
	const std::unique_ptr<RawCaller> caller = Connect(1);
	caller->Send(ahead);
	FakeLog::RunMainLoopFor(3000);
	EXPECT_LE(OpenDescriptors(), before + 1);
}

/// Guards against a body that comes byte by byte for ever, and so always makes progress.
TEST_F(ListenerLimits, ABodyThatTakesTooLongLosesItsConnection)
{
	Open({.request_time_ms = 500});
	const std::unique_ptr<RawCaller> caller = Connect();
	bool open = caller->Send(PostOf(5000));
	for (int i = 0; i < 40 && open; ++i)
	{
		open = caller->Send("x");
		caller->Read(100);
		open = open && !caller->Ended();
	}
	EXPECT_FALSE(open);
}

/// Guards against bodies within their limit that take very long to parse, and against refusing a job with as many values as fit a record.
TEST_F(ListenerLimits, AJobOfFarMoreValuesThanFitARecordIsRefused)
{
	Open();
	std::string empty = "{}";
	for (int i = 0; i < 70'000; ++i)
		empty += ",{}";
	const std::string step = R"({"count":1,"cpu":1,"memMb":1})";
	const std::string odd = R"({"spec":"x","x":[)" + empty + R"(],"steps":[)" + step + "]}";
	EXPECT_TRUE(Ask(PostOf(odd.size()) + odd).starts_with("HTTP/1.1 413 "));
	std::string steps = step;
	for (int i = 1; i < 256; ++i)
	{
		std::string before = "0";
		for (int j = 1; j < 212; ++j)
			before += "," + std::to_string(j % i);
		steps += R"(,{"count":1,"cpu":1,"memMb":1,"dependsOn":[)" + before + "]}";
	}
	const std::string large = R"({"spec":"x","steps":[)" + steps + "]}";
	EXPECT_TRUE(Ask(PostOf(large.size()) + large).starts_with("HTTP/1.1 200 "));
}

} // namespace Loomreach::Jobs::Platform
