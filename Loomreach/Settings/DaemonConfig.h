// The daemon's own configuration file: addresses, availability zone, platform, peers. Every key is checked.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// An IP address and port.
struct Address
{
	std::string ip;
	uint16 port = 0;

	bool operator==(const Address &) const = default;
	auto operator<=>(const Address &) const = default;
	std::string Text() const { return this->ip + ':' + std::to_string(this->port); }
	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->ip, this->port);
	}
};

/// Reads "ip:port".
std::optional<Address> ParseAddress(std::string_view inText);

/// What one entry host is told by its file. All times in ms.
struct DaemonConfig
{
	std::string name;              ///< Unique name of this entry host.
	std::string availability_zone; ///< Availability zone in which it runs.
	std::string region;            ///< Region of the availability zone.
	Address callers;               ///< Listener for callers.
	Address operators;             ///< Listener for operators.
	Address peers;                 ///< UDP and TCP address for other entry hosts.
	Address platform;              ///< The platform's log service and host list.
	std::string operators_token;   ///< Token that operators must show; empty: none, loopback only.
	std::string peer_key;          ///< Key that authenticates messages between entry hosts.
	std::vector<Address> seeds;    ///< Peers to ask when the platform is down at start.
	int64 heartbeat_ms = 1000;
	int64 suspect_after_ms = 3000;
	int64 remove_after_ms = 15000;
	int64 plan_interval_ms = 250;
	int64 worker_poll_ms = 1000;
	int64 worker_pace_ms = 600; ///< Added to the poll interval for each worker that is kept here: bounds the bytes a second.
	int64 worker_lease_ms = 60000;
	int64 worker_failed_after_ms = 5000;
	int64 snapshot_every_records = 500;
	int64 snapshot_max_age_s = 3600; ///< A snapshot is written anew before the platform's retention takes the last one.
	int64 append_per_s = 40;
	int64 max_request_bytes = 1 << 20;
	int64 connect_timeout_ms = 1000;
	int64 claim_lease_ms = 15000; ///< Callers' own ids are only claimed this long after the platform was last read.
	int64 claim_quiet_ms = 30000; ///< After a reset no claims for the lease and this: the longest time in which a caller repeats.
};

/// Parses the daemon's TOML. Secrets are read from the files that it names, relative to `inDirectory`.
std::optional<DaemonConfig> ParseDaemonConfig(std::string_view inText, std::string_view inFile, const std::string &inDirectory);

/// Reads a whole file, or leaves bad-config with the system's words.
std::optional<std::string> ReadFile(const std::string &inPath);

} // namespace Loomreach
