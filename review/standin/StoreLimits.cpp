// store-limits: stands in front of the fake metadata store on loopback and keeps the limits of its appends, which the fake does not: a
// record has at most 262,144 bytes, and the records of one call at most 2,097,152 (`record_bytes` and `call_bytes` of the platform). An
// append beyond them is refused as a whole with 413; everything else passes unchanged. Each refusal is written as a line.

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

constexpr size_t cMaxRecordBytes = 262'144;
constexpr size_t cMaxCallBytes = 2'097'152;
constexpr size_t cLengthBytes = 4;
constexpr size_t cChunkBytes = 65'536;

sockaddr_in Loopback(int inPort)
{
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_port = htons(static_cast<uint16_t>(inPort));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

/// An HTTP message as read from a connection: head, which includes the empty line, and body.
struct Message
{
	std::string head;
	std::string body;
};

/// A socket that is closed at the end of its life, and the bytes that were read beyond the last message.
class Connection
{
public:
	explicit Connection(int inSocket) : descriptor(inSocket) {}
	~Connection() { close(this->descriptor); }
	Connection(const Connection &) = delete;
	Connection &operator=(const Connection &) = delete;

	bool Send(std::string_view inBytes) const
	{
		while (!inBytes.empty())
		{
			const ssize_t sent = send(this->descriptor, inBytes.data(), inBytes.size(), MSG_NOSIGNAL);
			if (sent <= 0)
				return false;
			inBytes.remove_prefix(static_cast<size_t>(sent));
		}
		return true;
	}

	/// Reads the next message; nothing once the peer has closed the connection.
	std::optional<Message> Read()
	{
		size_t head_end = std::string::npos;
		while ((head_end = this->unread.find("\r\n\r\n")) == std::string::npos)
			if (!this->Receive())
				return std::nullopt;
		Message message;
		message.head = this->unread.substr(0, head_end + 4);
		const size_t length = ContentLength(message.head);
		while (this->unread.size() < message.head.size() + length)
			if (!this->Receive())
				return std::nullopt;
		message.body = this->unread.substr(message.head.size(), length);
		this->unread.erase(0, message.head.size() + length);
		return message;
	}

private:
	static size_t ContentLength(const std::string &inHead)
	{
		std::string lower = inHead;
		std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char inChar) { return std::tolower(inChar); });
		const std::string name = "\r\ncontent-length:";
		const size_t at = lower.find(name);
		return at == std::string::npos ? 0 : std::strtoull(lower.c_str() + at + name.size(), nullptr, 10);
	}

	bool Receive()
	{
		std::string chunk(cChunkBytes, '\0');
		const ssize_t got = recv(this->descriptor, chunk.data(), chunk.size(), 0);
		if (got <= 0)
			return false;
		this->unread.append(chunk, 0, static_cast<size_t>(got));
		return true;
	}

	int descriptor;
	std::string unread;
};

/// The longest record in the body of an append. Each record follows its length, 4 bytes, big end first.
size_t LongestRecord(std::string_view inBody)
{
	size_t longest = 0;
	while (inBody.size() >= cLengthBytes)
	{
		size_t length = 0;
		for (size_t i = 0; i < cLengthBytes; ++i)
			length = (length << 8) | static_cast<unsigned char>(inBody[i]);
		longest = std::max(longest, length);
		inBody.remove_prefix(std::min(inBody.size(), cLengthBytes + length));
	}
	return longest;
}

/// Whether the store takes the call.
bool IsWithinLimits(const Message &inCall)
{
	const bool is_append = inCall.head.starts_with("POST /log-append");
	return !is_append || (inCall.body.size() <= cMaxCallBytes && LongestRecord(inCall.body) <= cMaxRecordBytes);
}

void Serve(int inCaller, int inStorePort)
{
	Connection caller(inCaller);
	const sockaddr_in address = Loopback(inStorePort);
	const int to_store = socket(AF_INET, SOCK_STREAM, 0);
	Connection upstream(to_store);
	if (connect(to_store, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
		return;
	while (const std::optional<Message> call = caller.Read())
	{
		if (!IsWithinLimits(*call))
		{
			const std::string line = call->head.substr(0, call->head.find("\r\n"));
			std::printf("refused %s: %zu bytes, longest record %zu\n", line.c_str(), call->body.size(), LongestRecord(call->body));
			std::fflush(stdout);
			if (!caller.Send("HTTP/1.1 413 Content Too Large\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"))
				return;
			continue;
		}
		if (!upstream.Send(call->head + call->body))
			return;
		const std::optional<Message> answer = upstream.Read();
		if (!answer.has_value() || !caller.Send(answer->head + answer->body))
			return;
	}
}

} // namespace

int main(int argc, char **argv)
{
	if (argc != 3)
	{
		std::fprintf(stderr, "usage: store-limits PORT STORE_PORT\n");
		return 1;
	}
	const int port = std::atoi(argv[1]);
	const int store_port = std::atoi(argv[2]);
	const int listener = socket(AF_INET, SOCK_STREAM, 0);
	const int enabled = 1;
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
	const sockaddr_in address = Loopback(port);
	if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(listener, SOMAXCONN) != 0)
	{
		std::perror("store-limits");
		return 1;
	}
	for (;;)
	{
		const int caller = accept(listener, nullptr, nullptr);
		if (caller >= 0)
			std::thread(Serve, caller, store_port).detach();
	}
}
