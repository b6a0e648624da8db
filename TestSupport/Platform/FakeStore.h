// Fake of the platform's metadata store for tests with real processes. It keeps partitions in memory and supports conditional appends,
// producer epochs that fence older producers, reads that wait for a record, and faults on demand.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Settings/DaemonConfig.h>
#include <TestSupport/Platform/GapWatch.h>

#include <libsoup/soup.h>

namespace Loomreach
{

/// Fault that the store applies to every call.
enum class EStoreFault : uint8
{
	None,
	Busy,         ///< Answers 503.
	Unresponsive, ///< Keeps the connection open and never answers.
	AnswerLost    ///< Carries out appends and closes the connection without an answer.
};

/// The store and its listener.
class FakeStore
{
public:
	/// Opens the listener; false on failure, with the reason in LastReason().
	bool Open(const Address &inAddress);
	/// Appends a record to partition 0 of a keyed topic, on behalf of the operator or a worker. An empty value removes the key.
	void Put(const std::string &inTopic, const std::string &inKey, const std::string &inValue);
	/// The newest value of a key; empty if there is none.
	std::string Newest(const std::string &inTopic, const std::string &inKey) const;
	void SetFault(EStoreFault inFault) { this->fault = inFault; }
	/// Pauses between heartbeats of each entry host and between accepted jobs; the fleet adds starts of runs.
	GapWatch &Gaps() { return this->gaps; }

private:
	/// Most bytes that are kept in all partitions; nothing is removed.
	static constexpr size_t cMaxKeptBytes = size_t{400} * 1024 * 1024;

	/// Bytes of one record, without the length prefix of the append.
	using Record = std::string;
	/// State of a partition's producer.
	struct ProducerState
	{
		uint64 epoch = 0;
		uint64 next = 0;
		std::map<uint64, std::string> answers; ///< By sequence number: the first answer, returned again for a repeated call.
	};
	/// A read that waits for a record.
	struct WaitingRead
	{
		ObjectPtr<SoupServerMessage> message;
		uint64 from = 0;
		guint timeout = 0;
	};
	struct Partition
	{
		std::vector<Record> records;
		ProducerState producer;
		std::vector<std::shared_ptr<WaitingRead>> waiting;
	};
	using PartitionName = std::pair<std::string, uint32>;

	static void OnCall(SoupServer *, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	void Append(SoupServerMessage *inMessage, GHashTable *inQuery);
	void Read(SoupServerMessage *inMessage, GHashTable *inQuery);
	void AnswerNewest(SoupServerMessage *inMessage, GHashTable *inQuery);
	std::pair<uint32, std::string> DoAppend(Partition &ioPartition, GHashTable *inQuery, const std::string &inBody);
	void AnswerWaitingReads(Partition &ioPartition);
	/// Records a heartbeat or an accepted job for Gaps().
	void TrackEvent(const std::string &inTopic, const std::string &inBody);
	static void AnswerRead(SoupServerMessage *inMessage, const Partition &inPartition, uint64 inFrom);

	ObjectPtr<SoupServer> server;
	EStoreFault fault = EStoreFault::None;
	std::map<PartitionName, Partition> partitions;
	size_t kept_bytes = 0;
	GapWatch gaps;
	std::vector<ObjectPtr<SoupServerMessage>> unanswered; ///< Calls that are kept open and never answered.
};

/// A query parameter; empty if absent.
std::string QueryField(GHashTable *inQuery, const char *inName);
/// A query parameter as a number; the default if absent.
uint64 QueryNumber(GHashTable *inQuery, const char *inName, uint64 inDefault);
/// Answers a call with a JSON body.
void Reply(SoupServerMessage *inMessage, uint32 inStatus, const std::string &inBody);
/// Closes a call's connection without an answer.
void CutConnection(SoupServerMessage *inMessage);
/// The body of a call.
std::string BodyOf(SoupServerMessage *inMessage);

} // namespace Loomreach
