// Calls whose answer is late or lost: what they prove, and what remains of an abandoned call on the network.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Platform/HttpClient.h>
#include <UnitTests/CannedServer.h>
#include <UnitTests/FakeLog.h>
#include <UnitTests/SlowTransferServer.h>

#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <gtest/gtest.h>

namespace Loomreach
{

/// How the connection of an abandoned call ends at a server that never answers: 0 for an orderly close, or the errno.
static int CloseErrorOfAbandonedCall(HttpClient::EClose inClose)
{
	const int listener = socket(AF_INET, SOCK_STREAM, 0);
	sockaddr_in own{};
	own.sin_family = AF_INET;
	own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	socklen_t size = sizeof own;
	EXPECT_EQ(bind(listener, reinterpret_cast<sockaddr *>(&own), sizeof own), 0);
	EXPECT_EQ(listen(listener, 4), 0);
	getsockname(listener, reinterpret_cast<sockaddr *>(&own), &size);
	bool over = false;
	{
		HttpClient client(2, inClose);
		HttpCall call;
		call.method = "POST";
		call.body = "{}";
		call.repeatable = true;
		call.to = {"127.0.0.1", ntohs(own.sin_port)};
		call.path = "/";
		call.timeout_ms = 50;
		client.Start(call, [&over](const HttpResult &) { over = true; });
		Jobs::FakeLog::RunMainLoopFor(200);
	}
	EXPECT_TRUE(over);
	const int connection = accept(listener, nullptr, nullptr);
	std::array<char, 4096> bytes;
	ssize_t got = 1;
	while (got > 0)
		got = recv(connection, bytes.data(), bytes.size(), 0);
	const int end = got == 0 ? 0 : errno;
	close(connection);
	close(listener);
	return end;
}

namespace
{

/// A server that answers the first call, carries out the second without an answer, and refuses the third.
class RefusedRepeatServer
{
public:
	RefusedRepeatServer() : listener(socket(AF_INET, SOCK_STREAM, 0))
	{
		sockaddr_in own{};
		own.sin_family = AF_INET;
		own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		socklen_t size = sizeof own;
		EXPECT_EQ(bind(this->listener, reinterpret_cast<sockaddr *>(&own), sizeof own), 0);
		EXPECT_EQ(listen(this->listener, 4), 0);
		getsockname(this->listener, reinterpret_cast<sockaddr *>(&own), &size);
		this->port = ntohs(own.sin_port);
		this->thread = std::thread([this] { this->Serve(); });
	}
	~RefusedRepeatServer()
	{
		shutdown(this->listener, SHUT_RDWR);
		this->thread.join();
		close(this->listener);
	}
	uint16 Port() const { return this->port; }

private:
	static void Read(int inConnection)
	{
		std::array<char, 4096> bytes;
		EXPECT_GT(recv(inConnection, bytes.data(), bytes.size(), 0), 0);
	}
	static void Write(int inConnection, std::string_view inAnswer)
	{
		EXPECT_EQ(send(inConnection, inAnswer.data(), inAnswer.size(), MSG_NOSIGNAL), static_cast<ssize_t>(inAnswer.size()));
	}
	void Serve() const
	{
		const int first = accept(this->listener, nullptr, nullptr);
		Read(first);
		Write(first, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
		Read(first);
		close(first);
		const int second = accept(this->listener, nullptr, nullptr);
		if (second < 0)
			return;
		Read(second);
		Write(second, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
		close(second);
	}

	int listener;
	uint16 port = 0;
	std::thread thread;
};

/// A server that answers one call after `inAfterMs` milliseconds.
class DelayedServer
{
public:
	explicit DelayedServer(Millis inAfterMs) : listener(socket(AF_INET, SOCK_STREAM, 0))
	{
		sockaddr_in own{};
		own.sin_family = AF_INET;
		own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		socklen_t size = sizeof own;
		EXPECT_EQ(bind(this->listener, reinterpret_cast<sockaddr *>(&own), sizeof own), 0);
		EXPECT_EQ(listen(this->listener, 4), 0);
		getsockname(this->listener, reinterpret_cast<sockaddr *>(&own), &size);
		this->port = ntohs(own.sin_port);
		this->thread = std::thread([this, inAfterMs] { this->Serve(inAfterMs); });
	}
	~DelayedServer()
	{
		shutdown(this->listener, SHUT_RDWR);
		this->thread.join();
		close(this->listener);
	}
	uint16 Port() const { return this->port; }

private:
	void Serve(Millis inAfterMs) const
	{
		static constexpr std::string_view cAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
		const int connection = accept(this->listener, nullptr, nullptr);
		std::array<char, 4096> bytes;
		EXPECT_GT(recv(connection, bytes.data(), bytes.size(), 0), 0);
		std::this_thread::sleep_for(std::chrono::milliseconds(inAfterMs));
		send(connection, cAnswer.data(), cAnswer.size(), MSG_NOSIGNAL);
		std::this_thread::sleep_for(std::chrono::milliseconds(cKeepOpenMs));
		close(connection);
	}

	static constexpr Millis cKeepOpenMs = 600;
	int listener;
	uint16 port = 0;
	std::thread thread;
};

/// Result of a call with a timeout of 300 ms whose answer is sent after `inAfterMs`, if this process is paused for `inPauseMs` from 50 ms
/// on.
HttpResult CallDuringPause(Millis inAfterMs, Millis inPauseMs)
{
	const DelayedServer server(inAfterMs);
	HttpClient client(2);
	HttpCall call;
	call.method = "POST";
	call.body = "{}";
	call.repeatable = true;
	call.to = {"127.0.0.1", server.Port()};
	call.path = "/";
	call.timeout_ms = 300;
	std::vector<HttpResult> results;
	client.Start(call, [&results](const HttpResult &inResult) { results.push_back(inResult); });
	Jobs::FakeLog::RunMainLoopFor(50);
	std::this_thread::sleep_for(std::chrono::milliseconds(inPauseMs));
	Jobs::FakeLog::RunMainLoopFor(350);
	EXPECT_EQ(results.size(), 1u);
	return results.empty() ? HttpResult{} : results[0];
}

constexpr std::string_view cPart = "0123456789";

std::vector<std::string> Parts(size_t inCount) { return std::vector<std::string>(inCount, std::string(cPart)); }

/// Result of a call with a timeout of 1500 ms, and when it came.
struct TransferResult
{
	HttpResult http;
	Millis after_ms = -1;
};

/// Reads one answer from the server, which may take `inMaxTransferMs` in all.
TransferResult ReadSlowly(const SlowTransferServer &inServer, Millis inMaxTransferMs)
{
	HttpClient client(2);
	HttpCall call;
	call.to = {"127.0.0.1", inServer.Port()};
	call.path = "/";
	call.timeout_ms = 1500;
	call.max_transfer_ms = inMaxTransferMs;
	TransferResult result;
	const Millis began = NowMillis();
	client.Start(call,
				 [&result, began](const HttpResult &inResult)
				 {
					 result.http = inResult;
					 result.after_ms = NowMillis() - began;
				 });
	Jobs::FakeLog::RunMainLoopFor(4500);
	return result;
}

} // namespace

TEST(HttpClient, AnAnswerThatKeepsArrivingIsReadToItsEnd)
{
	// Guards against never reading a large answer over a slow link, however often the call is repeated
	const SlowTransferServer server(Parts(20), 20 * cPart.size(), 100);
	const TransferResult result = ReadSlowly(server, 5000);
	EXPECT_EQ(result.http.status, 200u) << result.http.error << ' ' << result.http.received << " bytes after " << result.after_ms;
	EXPECT_EQ(result.http.body.size(), 20 * cPart.size());
	EXPECT_GE(result.after_ms, 2000);
}

TEST(HttpClient, AnAnswerThatStopsArrivingTimesOut)
{
	// Guards against waiting for the longest transfer when the server is lost in the middle of its answer
	const SlowTransferServer server(Parts(3), 20 * cPart.size(), 100);
	const TransferResult result = ReadSlowly(server, 5000);
	EXPECT_EQ(result.http.status, 0u);
	EXPECT_EQ(result.http.received, 3 * cPart.size());
	EXPECT_GE(result.after_ms, 1500);
	EXPECT_LE(result.after_ms, 4000);
}

/// Guards against a peer that sends gigabytes: its answer counts as none, and is not kept.
TEST(HttpClient, AnAnswerThatIsTooLongIsBrokenOff)
{
	constexpr size_t cMaxBytes = size_t{32} << 20;
	const std::string body(cMaxBytes + 1, 'x');
	const CannedServer server({{body, 0}});
	HttpClient client;
	HttpCall call;
	call.to = {"127.0.0.1", server.Port()};
	call.path = "/";
	call.timeout_ms = 20000;
	std::optional<HttpResult> result;
	client.Start(call, [&result](const HttpResult &inResult) { result = inResult; });
	for (int i = 0; i < 1000 && !result.has_value(); ++i)
		Jobs::FakeLog::RunMainLoopFor(20);
	ASSERT_TRUE(result.has_value());
	EXPECT_EQ(result->status, 0u);
	EXPECT_FALSE(result->refused);
	EXPECT_LE(result->received, cMaxBytes);
}

TEST(HttpClient, ATransferIsBounded)
{
	// Guards against a call without an end where an answer trickles for ever; without a longest transfer the timeout is for the whole call
	for (const Millis most : {Millis{2000}, Millis{0}})
	{
		const SlowTransferServer server(Parts(100), 100 * cPart.size(), 50);
		const TransferResult result = ReadSlowly(server, most);
		EXPECT_EQ(result.http.status, 0u);
		EXPECT_GE(result.after_ms, 1500);
		EXPECT_LE(result.after_ms, most + 2500);
	}
}

TEST(HttpClient, AnAnswerThatArrivesDuringAPauseIsRead)
{
	// Guards against timing out a call whose answer arrived at the socket during the pause
	EXPECT_EQ(CallDuringPause(100, 500).status, 200u);
	// A call without an answer times out
	const HttpResult late = CallDuringPause(500, 0);
	EXPECT_EQ(late.status, 0u);
	EXPECT_FALSE(late.refused);
	EXPECT_NE(late.error, "");
}

TEST(HttpClient, ARefusedRepeatDoesNotProveThatNothingWasDone)
{
	// A record is appended and its answer lost; libcurl repeats the call by itself on a new connection, which the store refuses. Guards
	// against telling the caller that its job was not accepted, although it runs
	const RefusedRepeatServer server;
	HttpClient client(2, HttpClient::EClose::Deliver);
	HttpCall call;
	call.method = "POST";
	call.body = "{}";
	call.repeatable = true;
	call.to = {"127.0.0.1", server.Port()};
	call.path = "/";
	call.timeout_ms = 2000;
	std::vector<HttpResult> results;
	const auto note = [&results](const HttpResult &inResult) { results.push_back(inResult); };
	client.Start(call, note);
	Jobs::FakeLog::RunMainLoopFor(200);
	client.Start(call, note);
	Jobs::FakeLog::RunMainLoopFor(400);
	ASSERT_EQ(results.size(), 2u);
	EXPECT_EQ(results[0].status, 200u);
	EXPECT_EQ(results[1].status, 0u);
	EXPECT_FALSE(results[1].refused);
	EXPECT_NE(results[1].error, "");
}

TEST(HttpClient, AnAnswerThatArrivesDuringAPauseCounts)
{
	// Guards against checking the timeout of a call before its connection: a paused process would discard the answers that arrived in time,
	// and decide without them
	const CannedServer server({{"whole", 100}});
	HttpClient client;
	HttpCall call;
	call.to = {"127.0.0.1", server.Port()};
	call.path = "/";
	call.timeout_ms = 400;
	std::optional<HttpResult> result;
	client.Start(call, [&result](const HttpResult &inResult) { result = inResult; });
	Jobs::FakeLog::RunMainLoopFor(50);
	std::this_thread::sleep_for(std::chrono::milliseconds(600));
	Jobs::FakeLog::RunMainLoopFor(100);
	ASSERT_TRUE(result.has_value());
	EXPECT_EQ(result->status, 200u);
	EXPECT_EQ(result->body, "whole");
}

TEST(HttpClient, AnAbandonedCallIsDiscardedOnRequest)
{
	// Guards against delivering an abandoned order late: a network partition held an order to a host back until 4 s after it was abandoned,
	// when another host had given orders with a higher fencing token
	EXPECT_EQ(CloseErrorOfAbandonedCall(HttpClient::EClose::Discard), ECONNRESET);
	EXPECT_EQ(CloseErrorOfAbandonedCall(HttpClient::EClose::Deliver), 0);
}

} // namespace Loomreach
