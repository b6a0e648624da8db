// What one entry host has heard from the others by UDP: who lives, how far each has read, and what each reports.
// Suspicion is local and only picks stewards; membership changes by accepted records alone. Pure.

#pragma once

#include <Loomreach/Member/PeerMessages.h>

namespace Loomreach
{

/// A peer as last heard.
struct Peer
{
	Digest digest;
	Millis heard = 0;
};

/// The tracker.
class PeerTracker
{
public:
	/// Members of the own zone beat often, those of other zones seldom and to one of us in turn; each has its silence that is suspect.
	PeerTracker(std::string inSelf, std::string inZone, Millis inSuspectAfter, Millis inFarSuspectAfter)
		: self(std::move(inSelf)), zone(std::move(inZone)), suspect_after(inSuspectAfter), far_suspect_after(inFarSuspectAfter)
	{
	}

	/// Takes a digest. False, with replayed, for one that is not newer than the last of its incarnation.
	bool Hear(Digest inDigest, Millis inNow);
	/// Takes note of zones that told by the log that they live.
	void HearLog(const FleetState &inState, Millis inNow);
	/// Whether a zone told lately by the log that it lives: it reaches the platform although it may not be heard.
	bool IsZoneAliveByLog(const std::string &inZone, Millis inNow) const;
	/// The peer as last heard, or nullptr.
	const Peer *Find(const std::string &inName) const;
	/// Whether a peer was heard lately.
	bool IsLive(const std::string &inName, Millis inNow) const;
	/// The latest digest of a zone that was heard lately, or nullptr.
	const Digest *LiveDigestOf(const std::string &inZone, Millis inNow) const;
	/// Whether a member of the view counts as heard: itself in the own zone, any of its zone in another.
	bool IsHeard(const Member &inMember, Millis inNow) const;
	/// When a peer was last heard, if ever.
	std::optional<Millis> LastHeard(const std::string &inName) const;
	/// When a datagram of an incarnation was last heard, if ever.
	std::optional<Millis> IncarnationLastHeard(uint64 inIncarnation) const;
	/// When any peer of an availability zone was last heard by UDP, if ever.
	std::optional<Millis> ZoneLastDatagram(const std::string &inZone) const;
	/// When any peer of an availability zone was last heard, by UDP or by the log, if ever.
	std::optional<Millis> ZoneLastHeard(const std::string &inZone) const;
	/// How far a member has read, as heard from itself or from a member of its availability zone. 0: never heard.
	LogOffset ReadOffset(const std::string &inName) const;
	/// Members of the own availability zone that live, with how far they have read.
	std::vector<ZoneMember> ZoneMembers(Millis inNow) const;
	/// All peers as last heard.
	const std::map<std::string, Peer> &All() const { return this->peers; }
	/// Whether some live peer of the own availability zone reaches the platform.
	bool ZoneReachesPlatform(Millis inNow) const;

private:
	std::string self;
	std::string zone;
	Millis suspect_after;
	Millis far_suspect_after;
	std::map<std::string, Peer> peers;
	/// A zone's last word by the log.
	struct LogBeat
	{
		LogPosition position = 0;
		Millis heard = 0;
	};
	std::map<std::string, LogBeat> log_beats;
	std::map<std::string, LogOffset> far_offsets; ///< Of members of other zones, as their zone mates tell.
	/// The last datagram of an incarnation.
	struct IncarnationMark
	{
		uint64 sequence = 0;
		Millis heard = 0;
	};
	std::map<uint64, IncarnationMark> sequences; ///< Of each incarnation heard; bounded.
	std::deque<uint64> sequence_order;
};

/// Picks stewards: the one entry host that plans for a pool, keeps a host or tends the membership. Every entry host picks alone;
/// when two pick differently both plan, and the fold rejects what comes second.
class StewardPicker
{
public:
	/// `inSelfStopping`: a planned stop has begun, so this entry host picks itself for nothing.
	StewardPicker(const View &inView, const PeerTracker &inTracker, const std::string &inSelf, bool inSelfReachesPlatform,
				  bool inSelfStopping, Millis inNow);
	/// Whether this entry host is the steward of a key, over all availability zones.
	bool IsMine(std::string_view inKey) const;
	/// Whether this entry host is the steward of a key that belongs to an availability zone; another zone's member when that zone has none.
	bool IsMineIn(std::string_view inKey, const std::string &inZone) const;
	/// Availability zones of the view of which no member has been heard lately.
	const std::set<std::string> &SilentZones() const { return this->silent_zones; }

private:
	std::string self;
	std::string self_zone;
	std::vector<std::string> zones;        ///< Zones with a live member that reaches the platform.
	std::vector<std::string> zone_members; ///< Live members of the own zone that reach the platform.
	std::set<std::string> silent_zones;
	bool counts = false; ///< This entry host is itself a candidate.
};

} // namespace Loomreach
