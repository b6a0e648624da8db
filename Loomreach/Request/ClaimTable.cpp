// Grants, hands over and expires claims.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Request/ClaimTable.h>

namespace Loomreach
{

void ClaimTable::Update(const FleetState &inState)
{
	LOOM_INVARIANT(inState.view.number >= this->view, "a member never goes back to an older view");
	const bool new_view = inState.view.number != this->view;
	this->view = inState.view.number;
	auto member = inState.view.members.find(this->self);
	const bool is_member = member != inState.view.members.end() && member->second.incarnation == this->incarnation;
	for (uint32 range = 0; range < cClaimRanges; ++range)
	{
		if (new_view)
			this->groups[range] = ClaimGroupOf(inState.view, range);
		const bool held = this->holders[range].count(this->self) != 0;
		this->holders[range] = inState.claim_holders[range];
		// An earlier process of the same name may have held the range; this process has none of its claims
		if (!is_member)
		{
			std::erase(this->groups[range], this->self);
			this->holders[range].erase(this->self);
		}
		const bool holds = this->holders[range].count(this->self) != 0;
		// Claims of a range that this member no longer holds are incomplete from now on; so are those that it took over under an older
		// view
		if (!holds && (held || new_view))
		{
			this->size -= this->claims[range].size();
			this->claims[range].clear();
		}
	}
}

void ClaimTable::Expire(Millis inNow)
{
	while (!this->order.empty() && inNow - this->order.front().first > cKeepMs)
	{
		const auto &[range, id] = this->order.front().second;
		auto found = this->claims[range].find(id);
		if (found != this->claims[range].end() && found->second.since == this->order.front().first)
		{
			this->claims[range].erase(found);
			--this->size;
		}
		this->order.pop_front();
	}
}

EClaim ClaimTable::Answer(const std::string &inId, uint32 inRange, uint64 inOwner, uint64 inView, bool inLeaseHolds, Millis inNow,
						  uint64 &outHolder)
{
	this->Expire(inNow);
	if (inView != this->view)
		return inView < this->view ? EClaim::OldView : EClaim::NotReady;
	const std::vector<std::string> &group = this->groups[inRange];
	const bool is_in_group = std::find(group.begin(), group.end(), this->self) != group.end();
	if (!is_in_group || this->holders[inRange].count(this->self) == 0 || !inLeaseHolds)
		return EClaim::NotReady;
	auto found = this->claims[inRange].find(inId);
	if (found != this->claims[inRange].end())
	{
		outHolder = found->second.owner;
		return found->second.owner == inOwner ? EClaim::Granted : EClaim::Taken;
	}
	// A full table refuses new claims; it never drops one before it expires
	if (this->size >= cMaxClaims)
		return EClaim::NotReady;
	this->claims[inRange].emplace(inId, StoredClaim{inOwner, inNow});
	this->order.emplace_back(inNow, std::pair(inRange, inId));
	++this->size;
	outHolder = inOwner;
	return EClaim::Granted;
}

std::optional<std::vector<Claim>> ClaimTable::HandOver(uint32 inRange, uint64 inView) const
{
	if (inRange >= cClaimRanges || this->view < inView || this->holders[inRange].count(this->self) == 0)
		return Fail(EError::ViewRejected, "this member does not hold the range at that view");
	std::vector<Claim> all;
	for (const auto &[id, stored] : this->claims[inRange])
		all.push_back({id, stored.owner});
	return all;
}

void ClaimTable::ImportClaims(uint32 inRange, const std::vector<Claim> &inClaims, Millis inNow)
{
	for (const Claim &claim : inClaims)
	{
		if (!this->claims[inRange].emplace(claim.id, StoredClaim{claim.owner, inNow}).second)
			continue;
		this->order.emplace_back(inNow, std::pair(inRange, claim.id));
		++this->size;
	}
}

std::vector<std::pair<uint32, std::string>> ClaimTable::MissingRanges() const
{
	std::vector<std::pair<uint32, std::string>> missing;
	for (uint32 range = 0; range < cClaimRanges; ++range)
	{
		const std::vector<std::string> &group = this->groups[range];
		const bool is_in_group = std::find(group.begin(), group.end(), this->self) != group.end();
		if (is_in_group && this->holders[range].count(this->self) == 0 && !this->holders[range].empty())
			missing.emplace_back(range, *this->holders[range].begin());
	}
	return missing;
}

} // namespace Loomreach
