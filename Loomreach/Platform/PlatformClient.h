// The platform as its published protocol shows it (docs/PLATFORM.md): the log service with its streams, and the host list.

#pragma once

#include <Loomreach/Fleet/Observations.h>
#include <Loomreach/Platform/HttpClient.h>

namespace Loomreach
{

/// A record of a stream.
struct LogRecord
{
	LogOffset offset = 0;
	std::string bytes;
};

/// A page of a stream. Records before `first` have been taken by retention.
struct LogPage
{
	LogOffset first = 0;
	LogOffset next = 0; ///< Offset that the next append will get.
	std::vector<LogRecord> records;
};

/// The stream of proposals and that of snapshots.
constexpr std::string_view cRecordStream = "loomreach";
constexpr std::string_view cSnapshotStream = "loomreach-snapshots";

/// What became of a read of the host list.
struct HostListResult
{
	bool answered = false;
	std::optional<std::map<std::string, ListedHost>> hosts; ///< Empty with `answered`: unchanged since the last read.
};

/// Calls the platform. An empty optional means that no answer came: an append may have taken effect all the same.
class PlatformClient
{
public:
	explicit PlatformClient(Address inPlatform) : platform(std::move(inPlatform)) {}

	void Append(std::string_view inStream, std::string inBytes, std::function<void(std::optional<LogOffset>)> inDone);
	void Read(std::string_view inStream, LogOffset inFrom, uint32 inMax, std::function<void(std::optional<LogPage>)> inDone);
	/// Reads the host list. Unchanged since the last read, it is not sent again, and `inDone` gets no hosts.
	void ReadHosts(std::function<void(HostListResult)> inDone);
	/// Hands a drained host over for its reboot. Asking again for the same boot is harmless.
	void Reboot(const std::string &inHost, uint64 inBoot, std::function<void(bool)> inDone);

	/// Bytes to and from the platform.
	uint64 Bytes() const { return this->http.Bytes(); }

private:
	Address platform;
	std::string list_etag;
	HttpClient http;
};

/// Reads a page as the platform writes it; nothing when it is not well formed.
std::optional<LogPage> ParseLogPage(const std::string &inBody);

/// Reads the host list as the platform writes it; nothing when it is not well formed.
std::optional<std::map<std::string, ListedHost>> ParseHostList(const std::string &inBody);

} // namespace Loomreach
