// Liveness and last report of the other entry hosts, from their heartbeat messages and the log, and the choice of assigned planners.
// Suspicion is a local judgement that only influences this choice and the proposals made; the membership itself changes only by accepted
// proposals. Does no I/O; the caller passes the time in.

#pragma once

#include <Loomreach/Member/PeerMessages.h>

namespace Loomreach
{

/// Last heartbeat message of a peer, and when it was received.
struct Peer
{
	HeartbeatMessage heartbeat;
	Millis heard = 0;
};

/// Tracks the liveness of entry hosts and availability zones.
class PeerTracker
{
public:
	/// `inSuspectAfter`: time without a heartbeat message after which a member of the own zone is suspected. `inRemoteSuspectAfter`: the
	/// same for another zone, whose members send less often and to the members of this zone in turn.
	PeerTracker(std::string inSelf, std::string inZone, Millis inSuspectAfter, Millis inRemoteSuspectAfter)
		: self(std::move(inSelf)), zone(std::move(inZone)), suspect_after(inSuspectAfter), remote_suspect_after(inRemoteSuspectAfter)
	{
	}

	/// Processes a heartbeat message. Fails with replayed if it is not newer than the last one of its incarnation, or if the incarnation
	/// has been replaced by a live one of the same name.
	bool OnHeartbeat(HeartbeatMessage inHeartbeat, Millis inNow);
	/// Processes the log heartbeats of zones.
	void UpdateFromLog(const FleetState &inState, Millis inNow);
	/// Whether a zone has written a recent log heartbeat: it reaches the platform even if it is not heard over UDP.
	bool HasRecentLogHeartbeat(const std::string &inZone, Millis inNow) const;
	/// Returns the peer, or nullptr if it has never been heard.
	const Peer *Find(const std::string &inName) const;
	/// Whether a peer was heard within the suspicion time of the own zone.
	bool IsLive(const std::string &inName, Millis inNow) const;
	/// Returns the latest heartbeat message from a zone, or nullptr if it is older than the zone's suspicion time.
	const HeartbeatMessage *LatestHeartbeatOf(const std::string &inZone, Millis inNow) const;
	/// Whether a member of the view is considered live: in the own zone by its own heartbeat messages, in another zone by those of any
	/// member of that zone.
	bool IsConsideredLive(const Member &inMember, Millis inNow) const;
	/// Time of a peer's last heartbeat message, if any.
	std::optional<Millis> LastHeard(const std::string &inName) const;
	/// Time of an incarnation's last heartbeat message, if any.
	std::optional<Millis> IncarnationLastHeard(uint64 inIncarnation) const;
	/// Time of the last heartbeat message from any peer of a zone, if any.
	std::optional<Millis> ZoneLastDatagram(const std::string &inZone) const;
	/// Time of the last heartbeat of a zone, by message or by log, if any.
	std::optional<Millis> ZoneLastHeard(const std::string &inZone) const;
	/// Log offset up to which a member has read, as reported by itself or by a member of its zone; 0 if never reported.
	LogOffset ReadOffset(const std::string &inName) const;
	/// Live members of the own zone and the log offsets up to which they have read.
	std::vector<ZoneMember> ZoneMembers(Millis inNow) const;
	/// All peers by name.
	const std::map<std::string, Peer> &All() const { return this->peers; }
	/// Whether some live peer of the own zone reaches the platform.
	bool ZoneReachesPlatform(Millis inNow) const;

private:
	std::string self;
	std::string zone;
	Millis suspect_after;
	Millis remote_suspect_after;
	std::map<std::string, Peer> peers;
	/// Last log heartbeat of a zone.
	struct LogHeartbeat
	{
		LogPosition position = 0;
		Millis heard = 0;
	};
	std::map<std::string, LogHeartbeat> log_heartbeats;
	std::map<std::string, LogOffset> remote_offsets; ///< By member of another zone, as reported by any member of that zone.
	/// Last datagram of an incarnation.
	struct IncarnationRecord
	{
		uint64 sequence = 0;
		Millis heard = 0;
	};
	std::map<uint64, IncarnationRecord> incarnations; ///< By incarnation; bounded.
	std::deque<uint64> incarnation_order;             ///< Incarnations in `incarnations`, oldest first.
};

/// Determines the assigned planner of a key: the one entry host that plans for a pool, a host or the membership, by rendezvous hashing.
/// Every entry host decides this alone. If two decide differently, both plan, and the second proposal is rejected when it is applied.
class PlannerAssignment
{
public:
	/// `inSelfStopping`: a planned stop has begun, so this entry host is assigned nothing.
	PlannerAssignment(const View &inView, const PeerTracker &inTracker, const std::string &inSelf, bool inSelfReachesPlatform,
					  bool inSelfStopping, Millis inNow);
	/// Whether this entry host is the assigned planner of a key, chosen from all availability zones.
	bool IsAssigned(std::string_view inKey) const;
	/// Whether this entry host is the assigned planner of a key that belongs to an availability zone. If that zone has no eligible member,
	/// the planner is chosen from the other zones.
	bool IsAssignedInZone(std::string_view inKey, const std::string &inZone) const;
	/// Availability zones of the view from which no recent heartbeat was received, by message or by log.
	const std::set<std::string> &UnresponsiveZones() const { return this->unresponsive_zones; }

private:
	std::string self;
	std::string self_zone;
	std::vector<std::string> zones;        ///< Zones with a live member that reaches the platform.
	std::vector<std::string> zone_members; ///< Live members of the own zone that reach the platform.
	std::set<std::string> unresponsive_zones;
	bool is_candidate = false; ///< Whether this entry host may be assigned anything.
};

} // namespace Loomreach
