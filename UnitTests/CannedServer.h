// HTTP server on loopback for tests of calls. It answers the calls on one connection with a given list of answers, in order.

#pragma once

#include <Loomreach/Loomreach.h>

#include <cassert>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Loomreach
{

/// Answers the requests on the first connection with the given answers, then closes it.
class CannedServer
{
public:
	/// One answer: its body, and the delay in milliseconds before it is sent.
	struct Answer
	{
		std::string body;
		Millis after_ms = 0;
	};

	explicit CannedServer(std::vector<Answer> inAnswers) : listener(socket(AF_INET, SOCK_STREAM, 0)), answers(std::move(inAnswers))
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
	~CannedServer()
	{
		shutdown(this->listener, SHUT_RDWR);
		this->thread.join();
		close(this->listener);
	}
	CannedServer(const CannedServer &) = delete;
	CannedServer &operator=(const CannedServer &) = delete;

	uint16 Port() const { return this->port; }

private:
	void Serve() const
	{
		const int connection = accept(this->listener, nullptr, nullptr);
		for (const Answer &answer : this->answers)
		{
			std::array<char, 4096> bytes;
			if (recv(connection, bytes.data(), bytes.size(), 0) <= 0)
				break;
			std::this_thread::sleep_for(std::chrono::milliseconds(answer.after_ms));
			const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
			send(connection, text.data(), text.size(), MSG_NOSIGNAL);
		}
		close(connection);
	}

	int listener;
	uint16 port = 0;
	std::vector<Answer> answers;
	std::thread thread;
};

} // namespace Loomreach
