// Kept connections that stall without a reset, while new ones work.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Entry/HttpListener.h>
#include <Loomreach/Platform/HttpClient.h>
#include <UnitTests/FakeLog.h>
#include <UnitTests/StallingServer.h>

#include <netinet/tcp.h>

#include <gtest/gtest.h>

namespace Loomreach
{

static constexpr Millis cTimeoutMs = 300;
static constexpr uint32 cPoolSize = 5;

static HttpCall CallTo(const StallingServer &inServer, const std::string &inPath = "/")
{
	HttpCall call;
	call.method = "POST";
	call.body = "{}";
	call.repeatable = true;
	call.to = {"127.0.0.1", inServer.Port()};
	call.path = inPath;
	call.timeout_ms = cTimeoutMs;
	return call;
}

/// Opens `cPoolSize` connections, each of which has answered once, and leaves them idle.
static void FillPool(HttpClient &ioClient, const StallingServer &inServer)
{
	uint32 good = 0;
	for (uint32 i = 0; i < cPoolSize; ++i)
		ioClient.Start(CallTo(inServer), [&good](const HttpResult &inResult) { good += inResult.IsOk() ? 1 : 0; });
	while (good < cPoolSize)
		g_main_context_iteration(nullptr, TRUE);
	ASSERT_EQ(inServer.ConnectionCount(), cPoolSize);
}

/// Makes one call and waits for its result.
static HttpResult Call(HttpClient &ioClient, const HttpCall &inCall)
{
	std::optional<HttpResult> ended;
	ioClient.Start(inCall, [&ended](const HttpResult &inResult) { ended = inResult; });
	while (!ended.has_value())
		g_main_context_iteration(nullptr, TRUE);
	return *ended;
}

TEST(StalledConnections, FailOneCallAndNotSeveralInARow)
{
	// Guards against each call using the next stalled connection, which fails five calls in a row
	StallingServer server(20, 0);
	HttpClient client(16, HttpClient::EClose::Deliver);
	FillPool(client, server);
	server.StallOpenConnections();
	uint32 failed = 0;
	Millis good_after = -1;
	const Millis began = NowMillis();
	for (uint32 i = 0; i < 10; ++i)
	{
		if (!Call(client, CallTo(server)).IsOk())
			++failed;
		else if (good_after < 0)
			good_after = NowMillis() - began;
	}
	RecordProperty("failed", static_cast<int>(failed));
	RecordProperty("good_after_ms", static_cast<int>(good_after));
	std::cout << "calls failed: " << failed << ", first good answer after " << good_after << " ms\n";
	EXPECT_LE(failed, 1u);
	EXPECT_LT(good_after, 2 * cTimeoutMs);
}

TEST(StalledConnections, ACallBesideAStalledOneUsesANewConnection)
{
	// A heartbeat that is sent while another one is unanswered must not use a kept connection that may be stalled as well
	StallingServer server(20, 0);
	HttpClient client(16, HttpClient::EClose::Deliver);
	FillPool(client, server);
	server.StallOpenConnections();
	bool first_over = false;
	HttpCall first = CallTo(server);
	first.timeout_ms = 2000;
	client.Start(first, [&first_over](const HttpResult &) { first_over = true; });
	Jobs::FakeLog::RunMainLoopFor(300);
	EXPECT_TRUE(Call(client, CallTo(server)).IsOk());
	EXPECT_FALSE(first_over);
}

/// Guards against a long read that waits for its whole timeout on a connection that another call has shown to be stalled.
TEST(StalledConnections, ALongReadIsRepeatedOnceAnotherCallShowsTheStall)
{
	StallingServer server(5, 500);
	HttpClient client(16, HttpClient::EClose::Deliver);
	FillPool(client, server);
	HttpCall read;
	read.to = {"127.0.0.1", server.Port()};
	read.path = "/wait";
	read.timeout_ms = 3000;
	read.wait_ms = 2000;
	std::optional<HttpResult> ended;
	client.Start(read, [&ended](const HttpResult &inResult) { ended = inResult; });
	Jobs::FakeLog::RunMainLoopFor(100);
	server.StallOpenConnections();
	Call(client, CallTo(server));
	Jobs::FakeLog::RunMainLoopFor(1000);
	EXPECT_TRUE(ended.has_value() && ended->IsOk());
}

TEST(StalledConnections, ALongPollIsRepeatedWithinItsTimeout)
{
	// The poll extends a worker's lease, so its caller relies on the timeout
	StallingServer server(5, 500);
	HttpClient client(16, HttpClient::EClose::Deliver);
	FillPool(client, server);
	HttpCall poll_call = CallTo(server, "/wait");
	poll_call.timeout_ms = 1600;
	poll_call.wait_ms = 1000;
	const Millis began = NowMillis();
	Millis over_after = -1;
	bool good = false;
	client.Start(poll_call,
				 [&](const HttpResult &inResult)
				 {
					 over_after = NowMillis() - began;
					 good = inResult.IsOk();
				 });
	Jobs::FakeLog::RunMainLoopFor(50);
	server.StallOpenConnections();
	Call(client, CallTo(server));
	Jobs::FakeLog::RunMainLoopFor(1600);
	EXPECT_TRUE(good);
	EXPECT_LT(over_after, poll_call.timeout_ms);
	EXPECT_GE(over_after, 0);
}

/// A server whose answers take 240 ms instead of 4 ms costs at most two new connections, and no request is repeated.
TEST(StalledConnections, ASlowServerIsNotTakenForAStalledOneForLong)
{
	StallingServer server(4, 0);
	HttpClient client(16, HttpClient::EClose::Deliver);
	FillPool(client, server);
	server.SetAnswerMs(240);
	for (uint32 i = 0; i < 10; ++i)
		EXPECT_TRUE(Call(client, CallTo(server)).IsOk());
	EXPECT_LE(server.ConnectionCount(), cPoolSize + 2);
	EXPECT_EQ(server.RequestCount(), cPoolSize + 10);
}

/// Value of an integer option of a socket.
static int OptionOf(int inSocket, int inLevel, int inOption)
{
	int value = -1;
	socklen_t size = sizeof value;
	getsockopt(inSocket, inLevel, inOption, &value, &size);
	return value;
}

static void ExpectKeepAlive(int inSocket)
{
	EXPECT_EQ(OptionOf(inSocket, SOL_SOCKET, SO_KEEPALIVE), 1);
	EXPECT_LE(OptionOf(inSocket, IPPROTO_TCP, TCP_KEEPIDLE), 2);
	EXPECT_EQ(OptionOf(inSocket, IPPROTO_TCP, TCP_KEEPINTVL), 1);
	EXPECT_EQ(OptionOf(inSocket, IPPROTO_TCP, TCP_KEEPCNT), 2);
	EXPECT_GT(OptionOf(inSocket, IPPROTO_TCP, TCP_USER_TIMEOUT), 0);
}

/// Guards against sockets without TCP keep-alive and user timeout, on which a dead peer goes unnoticed.
TEST(StalledConnections, AreDetectedByTheSystemOnBothSides)
{
	constexpr uint16 cPort = 9737;
	const ObjectPtr<SoupServer> server = OpenServer({"127.0.0.1", cPort}, "test");
	ASSERT_NE(server, nullptr);
	int accepted = -1;
	const auto on_call = [](SoupServer *, SoupServerMessage *inMessage, const char *, GHashTable *, gpointer outAccepted)
	{
		*static_cast<int *>(outAccepted) = g_socket_get_fd(soup_server_message_get_socket(inMessage));
		soup_server_message_set_status(inMessage, 200, nullptr);
	};
	soup_server_add_handler(server.get(), nullptr, on_call, &accepted, nullptr);
	HttpClient client;
	HttpCall call;
	call.to = {"127.0.0.1", cPort};
	call.path = "/";
	ASSERT_EQ(Call(client, call).status, 200u);
	ASSERT_GE(accepted, 0);
	ExpectKeepAlive(accepted);
	// The client's side: the socket whose peer port is the server's
	uint32 client_sockets = 0;
	for (int descriptor = 3; descriptor < 1024; ++descriptor)
	{
		sockaddr_in other{};
		socklen_t size = sizeof other;
		if (getpeername(descriptor, reinterpret_cast<sockaddr *>(&other), &size) != 0 || ntohs(other.sin_port) != cPort)
			continue;
		++client_sockets;
		ExpectKeepAlive(descriptor);
	}
	EXPECT_EQ(client_sockets, 1u);
}

} // namespace Loomreach
