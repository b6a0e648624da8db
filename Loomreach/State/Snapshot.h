// Snapshots in pieces: the accepted state is cut into records of a stream of its own, and put together again
// only when every piece is there and the whole matches its hash.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// One piece of a snapshot.
struct SnapshotPiece
{
	LogOffset next_offset = 0; ///< First offset of the log that the snapshot does not hold; names the snapshot.
	uint64 hash = 0;           ///< Of the whole snapshot.
	uint32 index = 0;
	uint32 count = 0;
	std::string bytes;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->next_offset, this->hash, this->index, this->count, this->bytes);
	}
};

/// Cuts an encoded state into sealed pieces, each small enough for one record.
std::vector<std::string> CutSnapshot(LogOffset inNextOffset, std::string_view inEncodedState);

/// Puts snapshots together from the pieces of a stream, in any order, doubled or with others in between.
class SnapshotAssembler
{
public:
	/// Takes one record of the stream. False, with the reason, when it is no whole piece; it then changes nothing.
	bool Add(std::string_view inRecord);
	/// The newest snapshot that is complete and whole, decoded.
	std::optional<FleetState> Newest() const;

private:
	/// Pieces gathered of one snapshot.
	struct Gathering
	{
		uint32 count = 0;
		std::map<uint32, std::string> pieces;
	};
	/// Snapshots are told apart by offset and hash: two writers may have cut the same offset.
	std::map<std::pair<LogOffset, uint64>, Gathering> gatherings;
};

} // namespace Loomreach
