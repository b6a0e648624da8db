// Splits an encoded state into pieces that fit into log records, and assembles snapshots from such records. Snapshots have a log stream of
// their own. A snapshot is used only if all of its pieces were read and the whole matches its hash.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// One piece of a snapshot.
struct SnapshotPiece
{
	LogOffset next_offset = 0; ///< First log offset not included in the snapshot; identifies it together with the hash.
	uint64 hash = 0;           ///< Hash of the whole snapshot.
	uint32 index = 0;
	uint32 count = 0;
	std::string bytes;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->next_offset, this->hash, this->index, this->count, this->bytes);
	}
};

/// Splits an encoded state into pieces in envelopes, each small enough for one record.
std::vector<std::string> SplitSnapshot(LogOffset inNextOffset, std::string_view inEncodedState);

/// Assembles snapshots from pieces, which may come in any order, repeatedly, and mixed with those of other snapshots.
class SnapshotAssembler
{
public:
	/// Adds a record of the snapshot stream. Returns false, with the last reason set and nothing changed, if it is not a valid piece.
	bool Add(std::string_view inRecord);
	/// Decodes the newest snapshot that is complete and matches its hash; fails with not-found if there is none.
	std::optional<FleetState> Newest() const;

private:
	/// Pieces of one snapshot read so far.
	struct PartialSnapshot
	{
		uint32 count = 0;
		std::map<uint32, std::string> pieces;
	};
	/// By offset and hash, since two writers may have written different snapshots at the same offset.
	std::map<std::pair<LogOffset, uint64>, PartialSnapshot> partial_snapshots;
};

} // namespace Loomreach
