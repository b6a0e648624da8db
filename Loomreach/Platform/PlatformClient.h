// Client of the platform by its published protocol (docs/PLATFORM.md): the streams of the log service, the host list, and reboots of hosts.

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

/// A page of a stream. Records before `first` have been removed by retention.
struct LogPage
{
	LogOffset first = 0;
	LogOffset next = 0; ///< Offset of the next record to be appended.
	std::vector<LogRecord> records;
};

/// Names of the streams of proposals and of snapshots.
constexpr std::string_view cRecordStream = "loomreach";
constexpr std::string_view cSnapshotStream = "loomreach-snapshots";

/// Outcome of a read of the host list.
struct HostListResult
{
	bool answered = false;                                  ///< A well-formed answer arrived.
	std::optional<std::map<std::string, ListedHost>> hosts; ///< Empty with `answered`: unchanged since the last read.
};

/// Calls the platform. An empty optional means that no valid answer arrived; an append may have taken effect nevertheless.
class PlatformClient
{
public:
	explicit PlatformClient(Address inPlatform) : platform(std::move(inPlatform)) {}

	/// Appends a record to a stream; `inDone` gets its offset.
	void Append(std::string_view inStream, std::string inBytes, std::function<void(std::optional<LogOffset>)> inDone);
	/// Reads up to `inMax` records from an offset on.
	void Read(std::string_view inStream, LogOffset inFrom, uint32 inMax, std::function<void(std::optional<LogPage>)> inDone);
	/// Reads the host list. If it is unchanged since the last read, the platform does not send it again, and `inDone` gets no hosts.
	void ReadHosts(std::function<void(HostListResult)> inDone);
	/// Has the platform reboot a drained host. Repeating the call for the same boot has no further effect.
	void Reboot(const std::string &inHost, uint64 inBoot, std::function<void(bool)> inDone);

	/// HTTP bytes to and from the platform.
	uint64 Bytes() const { return this->http.Bytes(); }

private:
	Address platform;
	std::string list_etag;
	HttpClient http;
};

/// Decodes a page of a stream; fails with `EError::Corrupt` if it is malformed.
std::optional<LogPage> ParseLogPage(const std::string &inBody);

/// Decodes the host list; fails with `EError::Corrupt` if any entry is malformed.
std::optional<std::map<std::string, ListedHost>> ParseHostList(const std::string &inBody);

} // namespace Loomreach
