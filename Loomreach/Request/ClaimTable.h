// Claims on ids that callers chose, as one member of a claim group stores them: only the entry host that claimed an id may dispatch it.
// Pure: does no I/O; views, readiness and time are passed in. docs/design/at-most-once.md explains why an id is dispatched at most once.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/State/ClaimGroups.h>

namespace Loomreach
{

/// A claim: only this incarnation of an entry host may dispatch the id.
struct Claim
{
	std::string id; ///< Service and id, joined.
	uint64 owner = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->id, this->owner);
	}
};

/// A member's answer to a claim.
enum class EClaim : uint8
{
	Granted, ///< The id is bound to the claimer.
	Taken,   ///< The id is bound to another incarnation.
	OldView, ///< The claim was made under a view older than the member's.
	NotReady ///< The member does not hold the range yet, its lease has run out, or its table is full.
};

/// The claims that one member stores.
class ClaimTable
{
public:
	/// Claims over all ranges; a full table refuses new ones.
	static constexpr size_t cMaxClaims = 200'000;
	/// A claim expires after six hours.
	static constexpr Millis cKeepMs = Millis(6) * 3600 * 1000;

	ClaimTable(std::string inSelf, uint64 inIncarnation) : self(std::move(inSelf)), incarnation(inIncarnation) {}

	/// Applies the accepted view and who holds which range. The view never goes back to an older one.
	void Update(const FleetState &inState);
	/// Number of the view that was applied last.
	uint64 ViewNumber() const { return this->view; }
	/// Answers a claim that `inOwner` made under `inView`. With Taken, `outHolder` is the other incarnation.
	EClaim Answer(const std::string &inId, uint32 inRange, uint64 inOwner, uint64 inView, bool inLeaseHolds, Millis inNow,
				  uint64 &outHolder);
	/// All claims of a range, for a member that takes it over. Fails with view-rejected unless this member holds the range and has
	/// applied that view or a later one.
	std::optional<std::vector<Claim>> HandOver(uint32 inRange, uint64 inView) const;
	/// Stores claims that a holder has handed over.
	void ImportClaims(uint32 inRange, const std::vector<Claim> &inClaims, Millis inNow);
	/// Ranges whose group this member belongs to under its view and that it does not hold yet, each with a holder to ask.
	std::vector<std::pair<uint32, std::string>> MissingRanges() const;
	size_t Size() const { return this->size; }

private:
	/// A claim, and when it was stored.
	struct StoredClaim
	{
		uint64 owner = 0;
		Millis since = 0;
	};

	/// Drops claims older than cKeepMs.
	void Expire(Millis inNow);

	std::string self;
	uint64 incarnation; ///< If a view names another incarnation of this member, it refers to an earlier process, whose memory is lost.
	uint64 view = 0;
	std::array<std::vector<std::string>, cClaimRanges> groups;
	std::array<std::set<std::string>, cClaimRanges> holders;
	std::array<std::unordered_map<std::string, StoredClaim>, cClaimRanges> claims;
	std::deque<std::pair<Millis, std::pair<uint32, std::string>>> order; ///< By age, for expiry.
	size_t size = 0;
};

} // namespace Loomreach
