// Configuration file of the daemon: addresses, availability zone, platform, peers, intervals. Every key is checked, and an unknown key is
// an error, so that a misspelt one is not silently ignored.

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

/// Parses "ip:port" with a numeric IP address. Fails with bad-config.
std::optional<Address> ParseAddress(std::string_view inText);

/// Configuration of one entry host. Durations are in the unit that ends their name.
struct DaemonConfig
{
	std::string name;              ///< Unique name of this entry host.
	std::string availability_zone; ///< Availability zone in which it runs.
	std::string region;            ///< Region of the availability zone.
	Address callers;               ///< Address of the listener for callers.
	Address operators;             ///< Address of the listener for operators.
	Address peers;                 ///< UDP and TCP address for other entry hosts.
	Address platform;              ///< Address of the platform's log service and host list.
	std::string operators_token;   ///< Token that operators must present; if empty, none is needed and the listener must be on loopback.
	std::string peer_key;          ///< Key for authenticating messages between entry hosts; at least 16 bytes.
	std::vector<Address> seeds;    ///< Peers to get the state from if the platform is down at start.
	int64 heartbeat_ms = 1000;
	int64 suspect_after_ms = 3000;
	int64 remove_after_ms = 15000;
	int64 plan_interval_ms = 250;
	int64 worker_poll_ms = 1000;
	int64 worker_pace_ms = 600; ///< Added to the poll interval for each worker polled by this entry host; limits its traffic, bytes/s.
	int64 worker_lease_ms = 60000;
	int64 worker_failed_after_ms = 5000;
	int64 snapshot_every_records = 500;
	int64 snapshot_max_age_s = 3600; ///< A new snapshot is written at this age, before the platform's retention deletes the last one.
	int64 append_per_s = 40;
	int64 max_request_bytes = 1 << 20;
	int64 connect_timeout_ms = 1000;
	int64 claim_lease_ms = 15000; ///< Caller-supplied ids are claimed only until this time after the platform was last read.
	int64 claim_quiet_ms = 30000; ///< Longest time in which callers repeat a request; after a reset, added to claim_lease_ms.
};

/// Parses the configuration file's TOML text. Secrets are read from the files that it names, relative to `inDirectory`. Fails with
/// bad-config.
std::optional<DaemonConfig> ParseDaemonConfig(std::string_view inText, std::string_view inFile, const std::string &inDirectory);

/// Reads a whole file. Fails with bad-config and the system's error message.
std::optional<std::string> ReadFile(const std::string &inPath);

} // namespace Loomreach
