// Messages between entry hosts: the UDP digest and the frames of the TCP exchange, each with a version, a length limit,
// and an authentication code over all of it.

#pragma once

#include <Loomreach/Request/ClaimTable.h>
#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// Requests of a service at one entry host that wait or are in flight.
struct ServiceDemand
{
	uint32 service = 0; ///< Hash of the job's path, shortened.
	uint16 requests = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->service, this->requests);
	}
};

/// How far a member of the sender's availability zone has read, as the sender last heard.
struct ZoneMember
{
	std::string name;
	LogOffset next_offset = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->name, this->next_offset);
	}
};

/// The heartbeat: who lives, how far it has read, and what changes every second.
struct Digest
{
	std::string name;
	uint64 incarnation = 0;
	uint64 sequence = 0; ///< Grows with each datagram of the incarnation; an older or equal one is a replay.
	std::string availability_zone;
	Address peers;
	LogOffset next_offset = 0;
	bool reaches_platform = false;
	bool zone_reaches_platform = false; ///< Some live member of its availability zone does.
	bool stopping = false;
	std::vector<std::string> busy_hosts;    ///< Draining hosts to which it has requests in flight.
	std::vector<std::string> leaving_hosts; ///< Hosts whose own sign or listing says that they are leaving.
	std::vector<ServiceDemand> demands;     ///< To members of the own availability zone only.
	std::vector<ZoneMember> zone_members;   ///< To members of other availability zones only.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->name, this->incarnation, this->sequence, this->availability_zone, this->peers, this->next_offset,
				  this->reaches_platform, this->zone_reaches_platform, this->stopping, this->busy_hosts, this->leaving_hosts, this->demands,
				  this->zone_members);
	}
};

/// Asks for records from an offset on.
struct FetchRecords
{
	LogOffset from = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->from);
	}
};

/// Asks for the whole accepted state.
struct FetchState
{
	template <class Archive>
	void serialize(Archive &)
	{
	}
};

/// Asks for an id to be bound to the asker.
struct AskClaim
{
	std::string id;
	uint32 range = 0;
	uint64 owner = 0;
	uint64 view = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->id, this->range, this->owner, this->view);
	}
};

/// Asks a holder for its claims of some ranges.
struct AskHandOver
{
	uint64 view = 0;
	std::vector<uint32> ranges;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->view, this->ranges);
	}
};

using PeerAsk = std::variant<FetchRecords, FetchState, AskClaim, AskHandOver>;

/// A record of the log as a peer passes it on.
struct PassedRecord
{
	LogOffset offset = 0;
	std::string bytes;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->offset, this->bytes);
	}
};

/// Records without a gap, from the offset asked for.
struct RecordsReply
{
	std::vector<PassedRecord> records;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->records);
	}
};

/// An encoded state.
struct StateReply
{
	std::string state;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->state);
	}
};

/// The answer to a claim.
struct ClaimReply
{
	EClaim answer = EClaim::NotReady;
	uint64 holder = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->answer, this->holder);
	}
};

/// Claims of the ranges that the holder could hand over.
struct HandOverReply
{
	std::vector<std::pair<uint32, std::vector<Claim>>> ranges;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->ranges);
	}
};

/// The peer could not answer.
struct RefusedReply
{
	std::string why;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->why);
	}
};

using PeerReply = std::variant<RecordsReply, StateReply, ClaimReply, HandOverReply, RefusedReply>;

/// A question with the nonce that binds its reply to it.
struct AskFrame
{
	uint64 nonce = 0;
	PeerAsk ask;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->nonce, this->ask);
	}
};

/// A reply to the question with the same nonce.
struct ReplyFrame
{
	uint64 nonce = 0;
	PeerReply reply;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->nonce, this->reply);
	}
};

constexpr size_t cMaxDatagramBytes = 1400;
constexpr size_t cMaxAskBytes = 64U << 10;
constexpr size_t cMaxReplyBytes = 64U << 20;

/// Short hash of a job's path, as demands carry it.
uint32 ServiceHash(std::string_view inJob);

/// Seals and opens messages with the key that all entry hosts share.
class PeerCodec
{
public:
	explicit PeerCodec(std::string inKey) : key(std::move(inKey)) {}

	std::string SealDigest(const Digest &inDigest) const;
	std::optional<Digest> OpenDigest(std::string_view inBytes) const;
	std::string SealAsk(const AskFrame &inFrame) const;
	std::optional<AskFrame> OpenAsk(std::string_view inBytes) const;
	std::string SealReply(const ReplyFrame &inFrame) const;
	std::optional<ReplyFrame> OpenReply(std::string_view inBytes) const;
	/// Authentication code of a short text, in hex, for issued ids.
	std::string Tag(std::string_view inText) const;

private:
	std::string Authenticate(std::string_view inBytes) const;
	std::string Seal(std::string inEnvelope) const;
	std::optional<std::string_view> CheckCode(std::string_view inBytes) const;

	std::string key;
};

} // namespace Loomreach
