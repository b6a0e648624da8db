// Claims on callers' own ids, as one member of a claim group keeps them: which entry host alone may dispatch an id.
// Pure: views, readiness and time come in. docs/design/at-most-once.md has the argument.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/State/ClaimGroups.h>

namespace Loomreach
{

/// A claim: the entry host's incarnation that alone may dispatch the id.
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

/// One member's table.
class ClaimTable
{
public:
	static constexpr size_t cMaxClaims = 200'000;
	static constexpr Millis cKeepMs = Millis(6) * 3600 * 1000;

	ClaimTable(std::string inSelf, uint64 inIncarnation) : self(std::move(inSelf)), incarnation(inIncarnation) {}

	/// Takes note of the accepted view and of who holds which range. Never goes back to an older view.
	void Update(const FleetState &inState);
	/// The view that the table is at.
	uint64 ViewNumber() const { return this->view; }
	/// Answers a claim of `inOwner` made under `inView`. With Taken, `outHolder` is the other incarnation.
	EClaim Answer(const std::string &inId, uint32 inRange, uint64 inOwner, uint64 inView, bool inLeaseHolds, Millis inNow,
				  uint64 &outHolder);
	/// All claims of a range, for a member that takes over; nothing unless this member holds the range and is at the view asked for or a
	/// later one.
	std::optional<std::vector<Claim>> HandOver(uint32 inRange, uint64 inView) const;
	/// Takes over claims that a holder has handed over.
	void TakeIn(uint32 inRange, const std::vector<Claim> &inClaims, Millis inNow);
	/// Ranges that this member guards under its view and does not hold yet, with a holder to ask for each.
	std::vector<std::pair<uint32, std::string>> Missing() const;
	size_t Size() const { return this->size; }

private:
	/// A claim with its age.
	struct Kept
	{
		uint64 owner = 0;
		Millis since = 0;
	};

	void Expire(Millis inNow);

	std::string self;
	uint64 incarnation; ///< A view that names another incarnation of this member speaks of a process whose memory is gone.
	uint64 view = 0;
	std::array<std::vector<std::string>, cClaimRanges> groups;
	std::array<std::set<std::string>, cClaimRanges> holders;
	std::array<std::unordered_map<std::string, Kept>, cClaimRanges> claims;
	std::deque<std::pair<Millis, std::pair<uint32, std::string>>> order; ///< By age, for expiry.
	size_t size = 0;
};

} // namespace Loomreach
