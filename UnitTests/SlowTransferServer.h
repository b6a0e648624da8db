// HTTP server on loopback for tests of slow transfers: it sends the body of one answer in parts, at equal intervals.

#pragma once

#include <Loomreach/Loomreach.h>

#include <cassert>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Loomreach
{

/// Answers one call part by part; see the head of the file.
class SlowTransferServer
{
public:
	/// Promises a body of `inPromisedBytes`, sends the parts, and then nothing more.
	SlowTransferServer(std::vector<std::string> inParts, size_t inPromisedBytes, Millis inIntervalMs)
		: listener(socket(AF_INET, SOCK_STREAM, 0)), parts(std::move(inParts)), promised_bytes(inPromisedBytes), interval_ms(inIntervalMs)
	{
		sockaddr_in own{};
		own.sin_family = AF_INET;
		own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		socklen_t size = sizeof own;
		[[maybe_unused]] const int bound = bind(this->listener, reinterpret_cast<sockaddr *>(&own), sizeof own);
		assert(bound == 0);
		listen(this->listener, 4);
		getsockname(this->listener, reinterpret_cast<sockaddr *>(&own), &size);
		this->port = ntohs(own.sin_port);
		this->thread = std::thread([this] { this->Serve(); });
	}
	~SlowTransferServer()
	{
		shutdown(this->listener, SHUT_RDWR);
		this->thread.join();
		close(this->listener);
	}
	SlowTransferServer(const SlowTransferServer &) = delete;
	SlowTransferServer &operator=(const SlowTransferServer &) = delete;

	uint16 Port() const { return this->port; }

private:
	void Serve() const
	{
		const int connection = accept(this->listener, nullptr, nullptr);
		std::array<char, 4096> bytes;
		if (recv(connection, bytes.data(), bytes.size(), 0) > 0)
		{
			const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(this->promised_bytes) + "\r\n\r\n";
			send(connection, head.data(), head.size(), MSG_NOSIGNAL);
		}
		for (const std::string &part : this->parts)
		{
			std::this_thread::sleep_for(std::chrono::milliseconds(this->interval_ms));
			send(connection, part.data(), part.size(), MSG_NOSIGNAL);
		}
		// Until the client closes the connection
		while (recv(connection, bytes.data(), bytes.size(), 0) > 0)
			;
		close(connection);
	}

	int listener;
	uint16 port = 0;
	std::vector<std::string> parts;
	size_t promised_bytes;
	Millis interval_ms;
	std::thread thread;
};

} // namespace Loomreach
