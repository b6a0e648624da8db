// Looks up the queue that a caller's request leads to and the team that sends it.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/Hash.h>
#include <Loomreach/Schedule/Catalogue.h>

namespace Loomreach::Jobs
{

const Queue *Catalogue::Find(std::string_view inHost, std::string_view inPath) const
{
	const Queue *best = nullptr;
	for (const Queue &queue : this->queues)
	{
		const bool host_fits = queue.host.empty() || queue.host == inHost;
		if (!host_fits || !inPath.starts_with(queue.prefix))
			continue;
		if (best == nullptr || queue.prefix.size() > best->prefix.size())
			best = &queue;
	}
	return best;
}

const Queue *Catalogue::FindQueue(std::string_view inName) const
{
	auto queue = std::find_if(this->queues.begin(), this->queues.end(), [&](const Queue &inOther) { return inOther.name == inName; });
	return queue == this->queues.end() ? nullptr : &*queue;
}

const Team *Catalogue::TeamOf(std::string_view inKey) const
{
	if (!this->teams.has_value() || inKey.empty())
		return nullptr;
	for (const auto &[name, team] : *this->teams)
		if (std::find(team.keys.begin(), team.keys.end(), inKey) != team.keys.end())
			return &team;
	return nullptr;
}

const Team *Catalogue::FindTeam(std::string_view inName) const
{
	if (!this->teams.has_value())
		return nullptr;
	auto found = this->teams->find(inName);
	return found == this->teams->end() ? nullptr : &found->second;
}

/// Identifies a key in messages to other entry hosts without revealing it; never 0.
static uint64 HashOfKey(std::string_view inKey) { return HashBytes(inKey, 0) | 1; }

std::set<uint64> Catalogue::KeyHashesOf(std::string_view inTeam) const
{
	std::set<uint64> hashes;
	if (const Team *team = this->FindTeam(inTeam))
		for (const std::string &key : team->keys)
			hashes.insert(HashOfKey(key));
	return hashes;
}

std::optional<Admission> Catalogue::Admit(std::string_view inHost, std::string_view inPath, std::string_view inKey) const
{
	const Queue *queue = this->Find(inHost, inPath);
	if (queue == nullptr)
		return Fail(EError::NoSuchService, std::string(inHost) + std::string(inPath));
	if (queue->open || !this->teams.has_value())
		return Admission{*queue, "", 0};
	const Team *team = this->TeamOf(inKey);
	if (team == nullptr)
		return Fail(EError::UnknownKey, "queue " + queue->name);
	return Admission{*queue, team->name, HashOfKey(inKey)};
}

bool Catalogue::StillAdmits(std::string_view inQueue, std::string_view inTeam, uint64 inKeyHash) const
{
	const Queue *queue = this->FindQueue(inQueue);
	if (queue == nullptr)
		return FailFalse(EError::NoSuchService, "queue " + std::string(inQueue));
	if (queue->open || !this->teams.has_value())
		return true;
	const Team *team = this->FindTeam(inTeam);
	const bool has_key = team != nullptr && std::any_of(team->keys.begin(), team->keys.end(),
														[&](const std::string &inKey) { return HashOfKey(inKey) == inKeyHash; });
	return has_key || FailFalse(EError::UnknownKey, "queue " + std::string(inQueue));
}

} // namespace Loomreach::Jobs
