// loomreach-store-limits: a proxy in front of the stand-in of the metadata store. It adds the limits that the users' pages state for the
// store and that the stand-in lacks. Usage: loomreach-store-limits PORT STORE_PORT. Prints its counts once per second.
//  * A record has at most `record_bytes`, a call at most `call_bytes`; the whole call is refused with 413 otherwise.
//  * A partition takes its appends in turn, each in `append_ms` and at `part_mb_per_s`; with over 2 s waiting, 503.
//  * A partition keeps at most `part_mb`: its oldest records are removed. With 400 MB kept in all partitions, appends get 507.
// Records older than `keep_s` (300 s) would be removed as well, but a case runs for 120 s at most.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

using Clock = std::chrono::steady_clock;

constexpr size_t cRecordBytes = 262144;
constexpr size_t cCallBytes = 2097152;
constexpr size_t cBytesPerMb = size_t{1024} * 1024;
constexpr size_t cPartitionBytes = 200 * cBytesPerMb;
constexpr size_t cAllBytes = 400 * cBytesPerMb;
constexpr std::chrono::microseconds cAppendTime{4000};
constexpr int64_t cBytesPerMicrosecond = 20; ///< 20 MB/s.
constexpr std::chrono::seconds cMaxWait{2};
constexpr size_t cLengthBytes = 4;

constexpr int cForward = 0;
constexpr int cTooLong = 413;
constexpr int cBusy = 503;
constexpr int cFull = 507;

/// One partition of a topic.
struct Partition
{
	size_t kept_bytes = 0;
	Clock::time_point free_at; ///< When its appends so far are done.
};

/// What the store has taken so far. Guarded by `lock`.
struct Limits
{
	std::mutex lock;
	std::map<std::string, Partition> partitions;
	size_t kept_bytes = 0;
	size_t appended_bytes = 0;
	size_t appends = 0;
	size_t longest_record = 0;
	size_t refused_too_long = 0;
	size_t refused_full = 0;
};

Limits gLimits;
std::atomic<uint16_t> gStorePort = 0;

/// One HTTP message: its head with the empty line, and its body.
struct Message
{
	std::string head;
	std::string body;
};

bool SendAll(int inSocket, std::string_view inBytes)
{
	while (!inBytes.empty())
	{
		const ssize_t sent = send(inSocket, inBytes.data(), inBytes.size(), MSG_NOSIGNAL);
		if (sent <= 0)
			return false;
		inBytes.remove_prefix(static_cast<size_t>(sent));
	}
	return true;
}

bool Receive(int inSocket, std::string &ioBuffer)
{
	char bytes[65536];
	const ssize_t received = recv(inSocket, bytes, sizeof(bytes), 0);
	if (received <= 0)
		return false;
	ioBuffer.append(bytes, static_cast<size_t>(received));
	return true;
}

/// Value of Content-Length; 0 if there is none.
size_t BodyLength(const std::string &inHead)
{
	std::string lower = inHead;
	std::transform(lower.begin(), lower.end(), lower.begin(),
				   [](char inCharacter)
				   { return inCharacter >= 'A' && inCharacter <= 'Z' ? static_cast<char>(inCharacter + 32) : inCharacter; });
	constexpr std::string_view cName = "\r\ncontent-length:";
	const size_t at = lower.find(cName);
	return at == std::string::npos ? 0 : std::strtoull(lower.c_str() + at + cName.size(), nullptr, 10);
}

/// Reads one message. `ioBuffer`: bytes of the connection that were received but not used yet.
bool ReadMessage(int inSocket, std::string &ioBuffer, Message &outMessage)
{
	constexpr std::string_view cEndOfHead = "\r\n\r\n";
	size_t end = ioBuffer.find(cEndOfHead);
	for (; end == std::string::npos; end = ioBuffer.find(cEndOfHead))
		if (!Receive(inSocket, ioBuffer))
			return false;
	end += cEndOfHead.size();
	outMessage.head = ioBuffer.substr(0, end);
	const size_t length = BodyLength(outMessage.head);
	while (ioBuffer.size() < end + length)
		if (!Receive(inSocket, ioBuffer))
			return false;
	outMessage.body = ioBuffer.substr(end, length);
	ioBuffer.erase(0, end + length);
	return true;
}

/// A field of the query in the first line of a request.
std::string QueryField(std::string_view inLine, std::string_view inName)
{
	const size_t at = inLine.find(inName);
	if (at == std::string_view::npos)
		return "";
	const std::string_view value = inLine.substr(at + inName.size());
	return std::string(value.substr(0, value.find_first_of("& ")));
}

size_t LongestRecord(std::string_view inBody)
{
	size_t longest = 0;
	for (size_t at = 0; at + cLengthBytes <= inBody.size();)
	{
		size_t length = 0;
		for (size_t i = 0; i < cLengthBytes; ++i)
			length = (length << 8) | static_cast<uint8_t>(inBody[at + i]);
		longest = std::max(longest, length);
		at += cLengthBytes + length;
	}
	return longest;
}

/// Applies the limits to a call: the status with which it is refused, or cForward, after the time that the append takes.
int Judge(const Message &inCall)
{
	const std::string_view line = std::string_view(inCall.head).substr(0, inCall.head.find("\r\n"));
	if (line.find(" /log-append?") == std::string_view::npos)
		return cForward;
	const size_t longest = LongestRecord(inCall.body);
	Clock::time_point done_at;
	{
		const std::lock_guard<std::mutex> guard(gLimits.lock);
		gLimits.longest_record = std::max(gLimits.longest_record, longest);
		if (longest > cRecordBytes || inCall.body.size() > cCallBytes)
		{
			++gLimits.refused_too_long;
			return cTooLong;
		}
		if (gLimits.kept_bytes >= cAllBytes)
		{
			++gLimits.refused_full;
			return cFull;
		}
		Partition &partition = gLimits.partitions[QueryField(line, "topic=") + "/" + QueryField(line, "part=")];
		const Clock::time_point now = Clock::now();
		const Clock::time_point begins_at = std::max(now, partition.free_at);
		if (begins_at - now > cMaxWait)
			return cBusy;
		done_at = begins_at + cAppendTime + std::chrono::microseconds(static_cast<int64_t>(inCall.body.size()) / cBytesPerMicrosecond);
		partition.free_at = done_at;
		const size_t kept = std::min(partition.kept_bytes + inCall.body.size(), cPartitionBytes);
		gLimits.kept_bytes += kept - partition.kept_bytes;
		partition.kept_bytes = kept;
		gLimits.appended_bytes += inCall.body.size();
		++gLimits.appends;
	}
	std::this_thread::sleep_until(done_at);
	return cForward;
}

sockaddr_in Loopback(uint16_t inPort)
{
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_port = htons(inPort);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

void DisableDelay(int inSocket)
{
	const int one = 1;
	setsockopt(inSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

int ConnectToStore()
{
	const int store = socket(AF_INET, SOCK_STREAM, 0);
	const sockaddr_in address = Loopback(gStorePort);
	DisableDelay(store);
	if (connect(store, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
		return store;
	close(store);
	return -1;
}

std::string Refusal(int inStatus)
{
	return "HTTP/1.1 " + std::to_string(inStatus) + " Refused\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
}

/// Serves one connection of an entry host over one connection to the store.
void Serve(int inHost)
{
	int store = -1;
	std::string host_buffer;
	std::string store_buffer;
	Message call;
	Message answer;
	while (ReadMessage(inHost, host_buffer, call))
	{
		if (const int status = Judge(call); status != cForward)
		{
			if (!SendAll(inHost, Refusal(status)))
				break;
			continue;
		}
		store = store < 0 ? ConnectToStore() : store;
		const bool answered = store >= 0 && SendAll(store, call.head + call.body) && ReadMessage(store, store_buffer, answer);
		if (!answered || !SendAll(inHost, answer.head + answer.body))
			break;
	}
	close(inHost);
	if (store >= 0)
		close(store);
}

/// Prints the counts once per second, until the process is ended.
void PrintCounts()
{
	for (;;)
	{
		std::this_thread::sleep_for(std::chrono::seconds(1));
		const std::lock_guard<std::mutex> guard(gLimits.lock);
		std::printf("kept_bytes=%zu appended_bytes=%zu appends=%zu longest_record=%zu refused_too_long=%zu refused_full=%zu\n",
					gLimits.kept_bytes, gLimits.appended_bytes, gLimits.appends, gLimits.longest_record, gLimits.refused_too_long,
					gLimits.refused_full);
		std::fflush(stdout);
	}
}

} // namespace

int main(int argc, char **argv)
{
	if (argc != 3)
		return 2;
	const auto port_of = [](const char *inText) { return static_cast<uint16_t>(std::strtoul(inText, nullptr, 10)); };
	gStorePort = port_of(argv[2]);
	const int listener = socket(AF_INET, SOCK_STREAM, 0);
	const int one = 1;
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	const sockaddr_in address = Loopback(port_of(argv[1]));
	constexpr int cBacklog = 256;
	if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(listener, cBacklog) != 0)
		return 1;
	std::thread(PrintCounts).detach();
	for (;;)
	{
		const int host = accept(listener, nullptr, nullptr);
		if (host < 0)
			continue;
		DisableDelay(host);
		std::thread(Serve, host).detach();
	}
}
