// UDP sockets with which tests take the place of hosts and of the links between them.

#pragma once

#include <Loomreach/Loomreach.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace Loomreach::Jobs
{

/// A UDP socket on a free loopback port.
class UdpSocket
{
public:
	UdpSocket() : descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0))
	{
		sockaddr_in own{};
		own.sin_family = AF_INET;
		own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(this->descriptor, reinterpret_cast<sockaddr *>(&own), sizeof own), 0);
	}
	~UdpSocket() { close(this->descriptor); }
	UdpSocket(const UdpSocket &) = delete;
	UdpSocket &operator=(const UdpSocket &) = delete;

	uint16 Port() const
	{
		sockaddr_in own{};
		socklen_t size = sizeof own;
		getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&own), &size);
		return ntohs(own.sin_port);
	}
	void Send(uint16 inPort, const std::string &inBytes) const
	{
		sockaddr_in to{};
		to.sin_family = AF_INET;
		to.sin_port = htons(inPort);
		to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		sendto(this->descriptor, inBytes.data(), inBytes.size(), 0, reinterpret_cast<sockaddr *>(&to), sizeof to);
	}
	/// The next datagram and its sender's port.
	std::optional<std::pair<std::string, uint16>> ReceiveFrom() const
	{
		std::array<char, 2048> bytes;
		sockaddr_in from{};
		socklen_t size = sizeof from;
		const ssize_t got = recvfrom(this->descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr *>(&from), &size);
		if (got <= 0)
			return std::nullopt;
		return std::pair{std::string(bytes.data(), static_cast<size_t>(got)), ntohs(from.sin_port)};
	}
	size_t Receive() const
	{
		size_t count = 0;
		std::array<char, 2048> bytes;
		while (recv(this->descriptor, bytes.data(), bytes.size(), 0) > 0)
			++count;
		return count;
	}

private:
	int descriptor;
};

/// A loopback port that is free at the time of the call.
inline uint16 FreePort() { return UdpSocket().Port(); }

} // namespace Loomreach::Jobs
