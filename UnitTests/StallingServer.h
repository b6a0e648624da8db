// HTTP server on loopback for tests of kept connections. It can stop answering on all connections that are open at that moment, while new
// ones work. A request with "wait" in its path is answered only after the time of a long poll.

#pragma once

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>

#include <atomic>
#include <cassert>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Loomreach
{

/// Answers each request after a set delay, unless its connection is stalled.
class StallingServer
{
public:
	StallingServer(Millis inAnswerMs, Millis inWaitMs)
		: answer_ms(inAnswerMs), wait_ms(inWaitMs), listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
	{
		sockaddr_in own{};
		own.sin_family = AF_INET;
		own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		socklen_t size = sizeof own;
		[[maybe_unused]] const int bound = bind(this->listener, reinterpret_cast<sockaddr *>(&own), sizeof own);
		assert(bound == 0);
		listen(this->listener, cBacklog);
		getsockname(this->listener, reinterpret_cast<sockaddr *>(&own), &size);
		this->port = ntohs(own.sin_port);
		this->thread = std::thread([this] { this->Serve(); });
	}
	~StallingServer()
	{
		this->stopping = true;
		this->thread.join();
		for (const Connection &connection : this->connections)
			close(connection.descriptor);
		close(this->listener);
	}
	StallingServer(const StallingServer &) = delete;
	StallingServer &operator=(const StallingServer &) = delete;

	uint16 Port() const { return this->port; }
	/// Number of connections accepted so far.
	uint32 ConnectionCount() const { return this->connection_count; }
	/// Number of requests received, including those that are never answered.
	uint32 RequestCount() const { return this->request_count; }
	/// Stops answering on the connections that are open now.
	void StallOpenConnections() { this->stalled_up_to = this->connection_count.load(); }
	/// Sets the delay of answers in milliseconds, for requests that arrive from now on.
	void SetAnswerMs(Millis inMillis) { this->answer_ms = inMillis; }

private:
	static constexpr int cBacklog = 64;
	static constexpr int cTickMs = 1;

	/// One client's connection.
	struct Connection
	{
		int descriptor = -1;
		uint32 number = 0;
		Millis answer_at = -1; ///< Time at which its request is answered; -1 without one.
	};

	void Serve()
	{
		while (!this->stopping)
		{
			this->PollSockets();
			for (int got = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK); got >= 0;
				 got = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK))
				this->connections.push_back({got, ++this->connection_count, -1});
			for (Connection &connection : this->connections)
				this->HandleConnection(connection);
		}
	}
	void PollSockets() const
	{
		std::vector<pollfd> descriptors{{this->listener, POLLIN, 0}};
		for (const Connection &connection : this->connections)
			descriptors.push_back({connection.descriptor, POLLIN, 0});
		poll(descriptors.data(), descriptors.size(), cTickMs);
	}
	void HandleConnection(Connection &ioConnection)
	{
		std::array<char, 4096> bytes;
		const ssize_t got = recv(ioConnection.descriptor, bytes.data(), bytes.size(), 0);
		if (got > 0)
		{
			const bool waits = std::string_view(bytes.data(), static_cast<size_t>(got)).find("wait") != std::string_view::npos;
			ioConnection.answer_at = NowMillis() + (waits ? this->wait_ms : this->answer_ms.load());
			++this->request_count;
		}
		if (ioConnection.answer_at < 0 || ioConnection.answer_at > NowMillis() || ioConnection.number <= this->stalled_up_to)
			return;
		ioConnection.answer_at = -1;
		constexpr std::string_view cAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
		send(ioConnection.descriptor, cAnswer.data(), cAnswer.size(), MSG_NOSIGNAL);
	}

	std::atomic<Millis> answer_ms;
	Millis wait_ms;
	int listener;
	uint16 port = 0;
	std::atomic<uint32> connection_count = 0;
	std::atomic<uint32> request_count = 0;
	std::atomic<uint32> stalled_up_to = 0; ///< Connections up to this number get no more answers.
	std::atomic<bool> stopping = false;
	std::vector<Connection> connections;
	std::thread thread;
};

} // namespace Loomreach
