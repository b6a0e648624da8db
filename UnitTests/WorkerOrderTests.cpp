// What the answer to an order proves. Orders are real calls to workers on loopback, one of which carries out a start and loses the answer.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Entry/HttpListener.h>
#include <UnitTests/CellWorld.h>
#include <UnitTests/FakeLog.h>
#include <platform/WorkerCalls.h>

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace Loomreach::Jobs::Platform
{

namespace
{

using Json = nlohmann::json;

constexpr Millis cStepMs = 20; ///< Interval at which the owner plans and sends orders.
constexpr Millis cRunMs = 900; ///< Twice the time for which a worker that refused is skipped, so that a second run would show.
constexpr int64 cWallMs = 1'700'000'000'000; ///< Any wall-clock time, ms.
constexpr Millis cPollDelayMs = 100;         ///< A few of the owner's steps.
constexpr uint32 cTooMany = 429;             ///< libsoup has no name for this status.

/// How a worker loses the answer to its first start, and what the repeat that libcurl makes by itself gets.
struct LostAnswerCase
{
	std::string name;
	Millis close_delay_ms = 0;      ///< The connection closes this long after the start arrived; until then polls get no answer.
	bool ends_run = false;          ///< The run has ended by then.
	Millis not_after = 0;           ///< Starts must not be sent later than this after they were made; 0: no bound.
	bool listens = true;            ///< Whether the worker accepts the connection of the repeat.
	uint32 status = SOUP_STATUS_OK; ///< HTTP status of the answer to the repeat.
	std::string reason;             ///< Reason of the refusal, if the answer contains one.

	friend void PrintTo(const LostAnswerCase &inCase, std::ostream *outText) { *outText << inCase.name; }
};

/// The starts that all workers of a test received.
struct Starts
{
	uint32 calls = 0;               ///< Starts that arrived, including repeats.
	uint32 polls_after_start = 0;   ///< Polls that arrived after the first start.
	std::vector<std::string> begun; ///< Starts that were carried out: task, run and worker.
};

/// A worker that follows the platform's rules, except that the first start that any worker of the test receives gets no answer.
class AnswerLosingWorker
{
public:
	AnswerLosingWorker(std::string inId, const LostAnswerCase &inCase, Starts &ioStarts)
		: id(std::move(inId)), lost_answer(inCase), starts(ioStarts), server(OpenServer({"127.0.0.1", 0}, this->id))
	{
		GSList *uris = soup_server_get_uris(this->server.get());
		this->port = static_cast<uint16>(g_uri_get_port(static_cast<GUri *>(uris->data)));
		g_slist_free_full(uris, [](gpointer inUri) { g_uri_unref(static_cast<GUri *>(inUri)); });
		soup_server_add_handler(this->server.get(), nullptr, &AnswerLosingWorker::OnOrder, this, nullptr);
	}
	~AnswerLosingWorker() { soup_server_disconnect(this->server.get()); }
	AnswerLosingWorker(const AnswerLosingWorker &) = delete;
	AnswerLosingWorker &operator=(const AnswerLosingWorker &) = delete;

	WorkerEntry Entry() const
	{
		WorkerEntry entry;
		entry.id = this->id;
		entry.pool = "pool";
		entry.rack = "r";
		entry.address = {"127.0.0.1", this->port};
		entry.capacity = {16000, 32768, 0};
		return entry;
	}

	/// Ends all runs of this worker as done.
	void EndAll()
	{
		for (const Json &row : this->running)
			this->ended.push_back({this->ended.size() + 1, row[0], row[1], "done", ""});
		this->running = Json::array();
	}

private:
	static void OnOrder(SoupServer *, SoupServerMessage *inMessage, const char *inPath, GHashTable *, gpointer inSelf)
	{
		const SoupMessageBody *body = soup_server_message_get_request_body(inMessage);
		const Json order = Json::parse(body->data, body->data + body->length, nullptr, false);
		AnswerLosingWorker *self = static_cast<AnswerLosingWorker *>(inSelf);
		if (std::string_view(inPath) == "/run-start")
			return self->Start(inMessage, order);
		self->starts.polls_after_start += self->starts.calls > 0 ? 1 : 0;
		if (self->unanswered_start == nullptr && !self->poll_delay.IsRunning())
			return self->Answer(inMessage, SOUP_STATUS_OK, "");
		soup_server_message_pause(inMessage);
		self->held_polls.push_back(Share(inMessage));
	}

	void Answer(SoupServerMessage *inMessage, uint32 inStatus, const std::string &inReason) const
	{
		Json body = {{"clockMs", NowMillis()}, {"running", this->running}, {"ended", this->ended}};
		if (!inReason.empty())
			body["reason"] = inReason;
		const std::string text = body.dump();
		soup_server_message_set_status(inMessage, inStatus, nullptr);
		soup_server_message_set_response(inMessage, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
	}

	void Start(SoupServerMessage *inMessage, const Json &inOrder)
	{
		++this->starts.calls;
		const std::string what = inOrder["task"].get<std::string>() + " run " + inOrder["run"].dump() + " on " + this->id;
		if (std::count(this->starts.begun.begin(), this->starts.begun.end(), what) > 0)
			return this->Answer(inMessage, this->lost_answer.status, this->lost_answer.reason);
		this->running.push_back({inOrder["task"], inOrder["run"], "", 0});
		this->starts.begun.push_back(what);
		if (this->starts.begun.size() > 1)
			return this->Answer(inMessage, SOUP_STATUS_OK, "");
		// Carried out, but not answered
		soup_server_message_pause(inMessage);
		this->unanswered_start = Share(inMessage);
		this->close.Once(this->lost_answer.close_delay_ms, [this] { this->CloseConnection(); });
	}

	void CloseConnection()
	{
		const ObjectPtr<GIOStream> stream(soup_server_message_steal_connection(this->unanswered_start.get()));
		// Without a listener the repeat can't connect
		if (!this->lost_answer.listens)
			soup_server_disconnect(this->server.get());
		g_io_stream_close(stream.get(), nullptr, nullptr);
		this->unanswered_start.reset();
		if (this->lost_answer.ends_run)
			this->EndAll();
		// The answer to the start, if there is one, arrives before any poll lists the run
		this->poll_delay.Once(cPollDelayMs, [this] { this->AnswerPolls(); });
	}

	void AnswerPolls()
	{
		for (const ObjectPtr<SoupServerMessage> &poll : std::exchange(this->held_polls, {}))
		{
			this->Answer(poll.get(), SOUP_STATUS_OK, "");
			soup_server_message_unpause(poll.get());
		}
	}

	std::string id;
	LostAnswerCase lost_answer;
	Starts &starts;
	ObjectPtr<SoupServer> server;
	ObjectPtr<SoupServerMessage> unanswered_start;        ///< The start that gets no answer.
	std::vector<ObjectPtr<SoupServerMessage>> held_polls; ///< Polls that arrived meanwhile.
	Timer close;
	Timer poll_delay; ///< Runs while polls are still held back.
	uint16 port = 0;
	Json running = Json::array();
	Json ended = Json::array();
};

/// Drives a cell whose log persists everything at once and whose orders are calls to real addresses.
class CallingCellDriver
{
public:
	CallingCellDriver(std::vector<WorkerEntry> inWorkers, Millis inNotAfter) : workers(std::move(inWorkers)), not_after(inNotAfter)
	{
		this->cell.Begin(1, NowMillis());
		this->tick.Every(cStepMs, [this] { this->Step(); });
	}

	void Submit(JobSpec inSpec)
	{
		inSpec.accepted_wall_ms = cWallMs + NowMillis();
		this->cell.Ingest({EInbox::Submit, std::move(inSpec)}, this->cell.InboxNext(), NowMillis(), cWallMs + NowMillis());
	}
	EJobPhase Phase(const std::string &inJob) const { return this->cell.Query("queue", inJob).phase; }
	const std::vector<EOrderResult> &StartResults() const { return this->start_results; }

private:
	void Step()
	{
		const Millis now = NowMillis();
		this->cell.SetWorkers(this->workers, now);
		this->cell.Plan(now, cWallMs + now);
		if (this->cell.HasUnwrittenChanges() && !this->cell.TakeBatch(cWallMs + now).empty())
			this->cell.OnAppended(now);
		for (Order &order : this->cell.TakeOrders(now))
			this->Send(order);
	}

	void Send(Order &ioOrder)
	{
		const Millis sent_at = NowMillis();
		if (ioOrder.kind == EOrder::Start && this->not_after > 0)
			ioOrder.not_after = sent_at + this->not_after;
		this->calls.Send(ioOrder,
						 [this, order = ioOrder, sent_at](const OrderAnswer &inAnswer)
						 {
							 if (order.kind == EOrder::Start)
								 this->start_results.push_back(inAnswer.result);
							 this->cell.OnAnswer(order, inAnswer, sent_at, NowMillis());
						 });
	}

	std::vector<WorkerEntry> workers;
	Millis not_after;
	Cell cell{CellTuning{}};
	std::vector<EOrderResult> start_results;
	Timer tick;
	WorkerCalls calls;
};

class LostStart : public testing::TestWithParam<LostAnswerCase>
{
};

} // namespace

// A start is carried out, its connection closes without an answer, and libcurl sends it again by itself. Guards against taking the result
// of the repeat for the result of the start, as if it had certainly not been carried out: its task would be started twice.

TEST_P(LostStart, HasAnUnknownResultWhateverItsRepeatGets)
{
	Starts starts;
	AnswerLosingWorker worker("w0", GetParam(), starts);
	WorkerCalls calls;
	std::vector<OrderAnswer> answers;
	const auto note = [&answers](const OrderAnswer &inAnswer) { answers.push_back(inAnswer); };
	Order poll;
	poll.worker = "w0";
	poll.address = worker.Entry().address;
	// libcurl repeats calls only on kept connections
	calls.Send(poll, note);
	FakeLog::RunMainLoopFor(100);
	Order start = poll;
	start.kind = EOrder::Start;
	start.task = {"a", 0, 0, 0};
	start.run = 1;
	start.until_ms = NowMillis() + 4000;
	start.not_after = GetParam().not_after > 0 ? NowMillis() + GetParam().not_after : 0;
	calls.Send(start, note);
	FakeLog::RunMainLoopFor(cRunMs / 2);
	ASSERT_EQ(answers.size(), 2u);
	EXPECT_EQ(answers[0].result, EOrderResult::Done);
	EXPECT_EQ(starts.begun.size(), 1u);
	EXPECT_EQ(NameOf(cOrderResultNames, answers[1].result), NameOf(cOrderResultNames, EOrderResult::Unknown))
		<< "starts that arrived: " << starts.calls;
}

TEST_P(LostStart, GetsNoOtherRunBeforeItsWorkerWasPolled)
{
	Starts starts;
	AnswerLosingWorker first("w0", GetParam(), starts);
	AnswerLosingWorker second("w1", GetParam(), starts);
	CallingCellDriver driver({first.Entry(), second.Entry()}, GetParam().not_after);
	FakeLog::RunMainLoopFor(200);
	driver.Submit(MakeJob("a", 1, 1, 1000, 5000));
	FakeLog::RunMainLoopFor(cRunMs);
	ASSERT_GE(starts.begun.size(), 1u);
	EXPECT_EQ(starts.begun.size(), 1u) << "two runs at once: " << starts.begun.front() << ", " << starts.begun.back();
	ASSERT_GE(driver.StartResults().size(), 1u);
	EXPECT_EQ(NameOf(cOrderResultNames, driver.StartResults().front()), NameOf(cOrderResultNames, EOrderResult::Unknown));
	// A reachable worker was polled, and the run that it has is the task's run
	if (!GetParam().listens)
		return;
	EXPECT_GE(starts.polls_after_start, 1u);
	first.EndAll();
	second.EndAll();
	FakeLog::RunMainLoopFor(cRunMs);
	EXPECT_EQ(driver.Phase("a"), EJobPhase::Completed);
	EXPECT_EQ(starts.begun.size(), 1u);
}

INSTANTIATE_TEST_SUITE_P(WorkerOrders, LostStart,
						 testing::Values(LostAnswerCase{"RefusedAsUnhealthy", 0, false, 0, true, SOUP_STATUS_SERVICE_UNAVAILABLE, ""},
										 LostAnswerCase{"RefusedAsTooMany", 0, false, 0, true, cTooMany, ""},
										 LostAnswerCase{"RefusedAsOld", 0, true, 0, true, SOUP_STATUS_CONFLICT, "old"},
										 LostAnswerCase{"TooLateToLeave", 250, false, 150, true, SOUP_STATUS_OK, ""},
										 LostAnswerCase{"FindsNobody", 0, false, 0, false, SOUP_STATUS_OK, ""}),
						 [](const testing::TestParamInfo<LostAnswerCase> &inInfo) { return inInfo.param.name; });

} // namespace Loomreach::Jobs::Platform
